package raft_test

import (
	"os"
	"runtime/debug"
	"testing"
)

// gcPercent keeps the garbage collector from taking most of the time: the schedules make many short-lived
// messages over a small live heap.
const gcPercent = 800

func TestMain(m *testing.M) {
	debug.SetGCPercent(gcPercent)
	os.Exit(m.Run())
}
