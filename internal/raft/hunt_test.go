package raft_test

import (
	"fmt"
	"os"
	"sync"
	"sync/atomic"
	"testing"
)

func TestHunt(t *testing.T) {
	if os.Getenv("HUNT") == "" {
		t.Skip()
	}
	for _, c := range []struct {
		n string
		d defences
	}{
		{"sticky", defences{noSticky: true}},
		{"lease", defences{longLease: true}},
		{"anyterm", defences{anyTerm: true}},
		{"sync", defences{noSync: true}},
		{"identity", defences{sameIdentity: true}},
		{"none", defences{}},
	} {
		var next, fails atomic.Int64
		var g sync.WaitGroup
		for range 8 {
			g.Go(func() {
				for i := next.Add(1); i < 4000 && fails.Load() < 4; i = next.Add(1) {
					if err := run(schedules.Example(int(i)), c.d); err != nil && fails.Add(1) < 5 {
						fmt.Println(c.n, i, err)
					}
				}
			})
		}
		g.Wait()
		fmt.Println(c.n, "ran", next.Load())
	}
}
