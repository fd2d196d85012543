package node_test

import (
	"context"
	"fmt"
	"log/slog"
	"math/rand/v2"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"baobabreach/internal/model"
	"baobabreach/internal/node"
	"baobabreach/internal/owner"
	"baobabreach/internal/raft"
	"baobabreach/internal/route"
	"baobabreach/internal/state"
	"baobabreach/internal/store"
	"baobabreach/pkg/proto"
)

// startNode runs a replica with its store in dir and the given other voters until the returned function is called.
func startNode(tb testing.TB, dir string, others ...raft.Member) (*node.Node, func()) {
	tb.Helper()
	is := is.New(tb)
	s, l, err := store.Open(dir, false)
	is.NoErr(err)
	start := time.Now()
	self := raft.Member{ID: l.Identity.ID, Host: "a"}
	n, err := node.New(node.Config{
		Self: self, Store: s, Loaded: l, Members: raft.Members{Voters: append([]raft.Member{self}, others...)},
		Random: rand.Int64N, Clock: func() time.Duration { return time.Since(start) }, WallMs: func() int64 { return 0 },
		Log: slog.New(slog.DiscardHandler), Send: func(raft.Member, []raft.Message) {},
	})
	is.NoErr(err)
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		defer close(done)
		_ = n.Run(ctx)
	}()
	return n, func() {
		cancel()
		<-done
		is.NoErr(s.Close())
	}
}

// BenchmarkPropose measures synced commits of a group of one replica, with 1 and 64 concurrent proposals.
func BenchmarkPropose(b *testing.B) {
	for _, clients := range []int{1, 64} {
		b.Run(fmt.Sprint(clients), func(b *testing.B) {
			n, stop := startNode(b, b.TempDir())
			defer stop()
			ctx := context.Background()
			commands := []state.Command{{Abandon: &state.Abandon{ID: "x", Holder: "y"}}}
			for _, err := n.Propose(ctx, commands); err != nil; _, err = n.Propose(ctx, commands) {
				time.Sleep(time.Millisecond)
			}
			b.ResetTimer()
			var g sync.WaitGroup
			for c := range clients {
				g.Go(func() {
					for i := c; i < b.N; i += clients {
						if _, err := n.Propose(ctx, commands); err != nil {
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

// Guards against AwaitLeader returning before a leader is elected, which makes hosts repeat their calls during an
// election, and against a replica that serves its own table although a leader has a newer one.
func TestCallsWaitForALeader(t *testing.T) {
	is := is.New(t)
	timesOut := func(n *node.Node, d time.Duration) bool {
		ctx, cancel := context.WithTimeout(context.Background(), d)
		defer cancel()
		n.AwaitLeader(ctx)
		return ctx.Err() != nil
	}
	noMajority, stop := startNode(t, t.TempDir(), raft.Member{ID: "b"}, raft.Member{ID: "c"})
	defer stop()
	is.True(timesOut(noMajority, time.Second))
	_, err := noMajority.TableWithoutLeader()
	is.True(err != nil) // a replica without a configuration has no table to serve
	leader, stopLeader := startNode(t, t.TempDir())
	defer stopLeader()
	is.True(!timesOut(leader, 5*time.Second))
	_, err = leader.TableWithoutLeader()
	is.True(strings.Contains(err.Error(), string(proto.CodeNotLeader)))
}

// Guards against a leader that misses a route that was added and removed again in entries that it replayed from its
// log: a host that had the route in a table of another replica kept it forever (kovacic-gateway, scale-2).
func TestChangesOfAReplayedLogAreToldApart(t *testing.T) {
	is := is.New(t)
	dir := t.TempDir()
	start := func() (*node.Node, func()) {
		n, stop := startNode(t, dir)
		n.AwaitLeader(context.Background())
		return n, stop
	}
	service := model.Service{Name: "s", Keyed: true, Ranges: 8}
	routeChange := func(version uint64, dropped bool) state.Command {
		return state.Command{Items: &model.Change{
			Services: map[string]model.Item[model.Service]{"s": {Version: 1, Value: service}},
			Routes: map[string]model.Item[model.Route]{"r": {Version: version, Dropped: dropped, Value: model.Route{
				Name: "r", Host: "a.example", Prefix: "/x/", TimeoutMs: 100, Attempts: 1,
				Services: []model.WeightedService{{Service: "s", Weight: 1}},
			}}},
		}}
	}
	n, stop := start()
	results, err := n.Propose(context.Background(), []state.Command{routeChange(1, false)})
	is.NoErr(err)
	is.Equal(results[0].Invalid, "")
	oldVersion := n.Model().Version
	_, err = n.Propose(context.Background(), []state.Command{routeChange(2, true)})
	is.NoErr(err)
	stop()
	n, stop = start()
	defer stop()
	l, err := n.Renew(0, owner.Renewal{Daemon: route.Daemon{Host: "h"}, TableVersion: oldVersion})
	is.NoErr(err)
	is.True(l.Delta != nil || l.Table != nil)
	if l.Delta != nil {
		is.Equal(l.Delta.RemovedRoutes, []string{"r"})
	}
}
