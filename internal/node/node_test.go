package node_test

import (
	"context"
	"fmt"
	"log/slog"
	"math/rand/v2"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"baobabreach/internal/node"
	"baobabreach/internal/raft"
	"baobabreach/internal/state"
	"baobabreach/internal/store"
)

// BenchmarkPropose measures synced commits of a group of one replica, with 1 and 64 concurrent proposals.
func BenchmarkPropose(b *testing.B) {
	for _, clients := range []int{1, 64} {
		b.Run(fmt.Sprint(clients), func(b *testing.B) {
			is := is.New(b)
			s, l, err := store.Open(b.TempDir())
			is.NoErr(err)
			begin := time.Now()
			self := raft.Member{ID: l.Identity.ID, Host: "a"}
			n, err := node.New(node.Config{
				Self: self, Store: s, Loaded: l, Members: raft.Members{Voters: []raft.Member{self}}, Random: rand.Int64N,
				Clock: func() time.Duration { return time.Since(begin) }, Log: slog.New(slog.DiscardHandler),
				Send: func(raft.Member, []raft.Message) {}, WallMs: func() int64 { return begin.UnixMilli() },
			})
			is.NoErr(err)
			ctx, cancel := context.WithCancel(context.Background())
			defer cancel()
			go func() { _ = n.Run(ctx) }()
			cs := []state.Command{{Abandon: &state.Abandon{ID: "x", Holder: "y"}}}
			for _, err = n.Propose(ctx, cs); err != nil; _, err = n.Propose(ctx, cs) {
				time.Sleep(time.Millisecond)
			}
			b.ResetTimer()
			var g sync.WaitGroup
			for c := range clients {
				g.Go(func() {
					for i := c; i < b.N; i += clients {
						if _, err := n.Propose(ctx, cs); err != nil {
							b.Error(err)
						}
					}
				})
			}
			g.Wait()
			b.ReportMetric(float64(b.N)/b.Elapsed().Seconds(), "commits/s")
		})
	}
}
