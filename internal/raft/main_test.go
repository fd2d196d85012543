package raft_test

import (
	"os"
	"runtime/debug"
	"testing"
)

// gcPercent is the GOGC value of the tests. The schedules allocate many short-lived messages on a small live heap, and
// with the default value the garbage collector would take most of the run time.
const gcPercent = 800

func TestMain(m *testing.M) {
	debug.SetGCPercent(gcPercent)
	os.Exit(m.Run())
}
