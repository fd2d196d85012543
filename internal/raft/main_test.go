package raft_test

import (
	"os"
	"runtime/debug"
	"testing"
)

// collectorPercent keeps the garbage collector from taking most of the time: the schedules make many short-lived
// messages over a small live heap.
const collectorPercent = 800

func TestMain(m *testing.M) {
	debug.SetGCPercent(collectorPercent)
	os.Exit(m.Run())
}
