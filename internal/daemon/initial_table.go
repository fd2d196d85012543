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
	// initialTableDelay is how long the first renewal may take before the host requests a table from any replica.
	initialTableDelay = 300 * time.Millisecond
	// initialTableInterval is the pause between two rounds of requests to the replicas.
	initialTableInterval = 150 * time.Millisecond
)

// packedTable is a table encoded by route.Pack.
type packedTable []byte

// MarshalBinary returns the packed bytes unchanged.
func (t packedTable) MarshalBinary() ([]byte, error) { return t, nil }

// UnmarshalBinary stores the packed bytes unchanged.
func (t *packedTable) UnmarshalBinary(b []byte) error {
	*t = b
	return nil
}

// table returns the table of the local replica while no leader is known, for hosts that have no table yet.
func (c controlAPI) table(context.Context, struct{}) (packedTable, error) {
	n, err := c.replicaNode()
	if err != nil {
		return nil, err
	}
	return n.TableWithoutLeader()
}

// initialTableFetcher fetches a table from any replica, which a host that has just started uses until the leader's
// arrives. After a power loss of the whole fleet the election would otherwise be most of the downtime.
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
		// In random order, so that a hundred hosts that start together don't all query the same replica.
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
	packed, err := peer.Call[struct{}, packedTable](ctx, f.client, "http://"+address+peer.PathTable, f.token, struct{}{})
	if err != nil {
		// Expected if the replica knows a leader or has not started yet, hence the debug level.
		f.log.Debug("replica did not provide a table", "asked", address, "error", err)
		return
	}
	t, _, err := route.Unpack(packed)
	if err != nil || t == nil {
		f.log.Warn("cannot decode the table from the replica", "asked", address, "error", err)
		return
	}
	if f.view.SetProvisional(sentAt, t) {
		f.log.Info("using the table of a replica until a leader is found", "asked", address, "table", t.Version)
	}
}

func startInitialTableFetcher(
	lc fx.Lifecycle, cfg config.Config, v *route.View, d *replicaDirectory, c clients, t tokens, now Clock, log *slog.Logger,
) {
	if cfg.Caller == "" {
		return
	}
	f := initialTableFetcher{
		view: v, directory: d, client: c.control, token: t.control, clock: now, log: logs.ForComponent(log, "lease"),
	}
	runInBackground(lc, f.run)
}
