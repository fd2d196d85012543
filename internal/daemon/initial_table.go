package daemon

import (
	"context"
	"log/slog"
	"math/rand/v2"
	"net/http"
	"time"

	"baobabreach/internal/config"
	"baobabreach/internal/logs"
	"baobabreach/internal/peer"
	"baobabreach/internal/route"

	"go.uber.org/fx"
)

const (
	// initialTableDelay is the time that a leader has to answer the first renewal, before the host asks other replicas.
	initialTableDelay = 300 * time.Millisecond
	// initialTableInterval is the time between two rounds over the replicas.
	initialTableInterval = 150 * time.Millisecond
)

// packedTable is a table as made by route.Pack.
type packedTable []byte

// MarshalBinary returns the table as it is.
func (t packedTable) MarshalBinary() ([]byte, error) { return t, nil }

// UnmarshalBinary takes the table as it is.
func (t *packedTable) UnmarshalBinary(b []byte) error {
	*t = b
	return nil
}

// table answers a host without a table while no leader is known.
func (c controlAPI) table(context.Context, struct{}) (packedTable, error) {
	n, err := c.replicaNode()
	if err != nil {
		return nil, err
	}
	return n.UnledTable()
}

// initialTableFetcher gives a host that has just started the table of any replica until the leader's arrives: after a loss of
// all power the election takes most of the time in which nothing is served.
type initialTableFetcher struct {
	view      *route.View
	directory *replicaDirectory
	client    *http.Client
	token     string
	clock     Clock
	log       *slog.Logger
}

func (f initialTableFetcher) run(ctx context.Context) {
	pause := initialTableDelay
	for {
		select {
		case <-ctx.Done():
			return
		case <-time.After(pause):
		}
		pause = initialTableInterval
		addresses := f.directory.candidates()
		// In any order, so that a hundred hosts that start at once don't all ask the same replica.
		rand.Shuffle(len(addresses), func(i, k int) { addresses[i], addresses[k] = addresses[k], addresses[i] })
		for _, a := range addresses {
			if t, _ := f.view.Table(); t.Version > 0 {
				return
			}
			f.fetch(ctx, a)
		}
	}
}

func (f initialTableFetcher) fetch(ctx context.Context, address string) {
	ctx, cancel := context.WithTimeout(ctx, fullTableTimeout)
	defer cancel()
	sentAt := f.clock()
	a, err := peer.Call[struct{}, packedTable](ctx, f.client, "http://"+address+peer.PathTable, f.token, struct{}{})
	if err != nil {
		// Most answers are that a leader is known, or that the replica is not up yet.
		f.log.Debug("no table from the replica", "asked", address, "error", err)
		return
	}
	t, _, err := route.Unpack(a)
	if err != nil || t == nil {
		f.log.Warn("the replica sent a table that can't be read", "asked", address, "error", err)
		return
	}
	if f.view.Provide(sentAt, t) {
		f.log.Info("serving by the table of a replica until a leader is found", "asked", address, "table", t.Version)
	}
}

func startInitialTableFetcher(
	lc fx.Lifecycle, cfg config.Config, v *route.View, d *replicaDirectory, c clients, t tokens, now Clock, log *slog.Logger,
) {
	if cfg.Caller == "" {
		return
	}
	f := initialTableFetcher{
		view: v, directory: d, client: c.control, token: t.control, clock: now, log: logs.Part(log, "lease"),
	}
	runInBackground(lc, f.run)
}
