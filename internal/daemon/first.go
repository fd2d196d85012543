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
	// firstTableAfter is the time that a leader has to answer the first renewal, before the host asks other replicas.
	firstTableAfter = 300 * time.Millisecond
	// firstTablePause is the time between two rounds over the replicas.
	firstTablePause = 150 * time.Millisecond
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
func (c control) table(context.Context, struct{}) (packedTable, error) {
	n, err := c.replicaNode()
	if err != nil {
		return nil, err
	}
	return n.TableWithoutLeader()
}

// firstTable gives a host that has just started the table of any replica until the leader's arrives: after a loss of
// all power the election takes most of the time in which nothing is served.
type firstTable struct {
	view      *route.View
	directory *directory
	client    *http.Client
	token     string
	clock     Clock
	log       *slog.Logger
}

func (f firstTable) run(ctx context.Context) {
	pause := firstTableAfter
	for {
		select {
		case <-ctx.Done():
			return
		case <-time.After(pause):
		}
		pause = firstTablePause
		as := f.directory.candidates()
		// In any order, so that a hundred hosts that start at once don't all ask the same replica.
		rand.Shuffle(len(as), func(i, k int) { as[i], as[k] = as[k], as[i] })
		for _, a := range as {
			if t, _ := f.view.Table(); t.Version > 0 {
				return
			}
			f.ask(ctx, a)
		}
	}
}

func (f firstTable) ask(ctx context.Context, address string) {
	ctx, cancel := context.WithTimeout(ctx, firstTableTimeout)
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
	if f.view.SetProvisional(sentAt, t) {
		f.log.Info("serving by the table of a replica until a leader is found", "asked", address, "table", t.Version)
	}
}

func startFirstTable(
	lc fx.Lifecycle, cfg config.Config, v *route.View, d *directory, c clients, t tokens, now Clock, log *slog.Logger,
) {
	if cfg.Caller == "" {
		return
	}
	f := firstTable{view: v, directory: d, client: c.control, token: t.control, clock: now, log: logs.ForComponent(log, "lease")}
	inBackground(lc, f.run)
}
