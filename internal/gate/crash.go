package gate

import (
	"context"
	"log/slog"

	"baobabreach/internal/model"
	"baobabreach/internal/poison"
)

// fingerprints returns the fingerprints of the request's content.
func (c *call) fingerprints() []string {
	if c.contents == nil {
		c.contents = poison.Fingerprints(c.method, c.host, c.target, c.body)
	}
	return c.contents
}

// investigate finds out in the background whether an upstream whose connection broke during the request has ended.
func (c *call) investigate(u model.Upstream, reason string) {
	contents, id, log := c.fingerprints(), c.id, c.gate.cfg.Log
	go func() {
		liveness := c.gate.cfg.Pool.Probe(context.Background(), u.Address)
		log.Warn("connection broke during a request", slog.String("request", id), slog.Any("content", contents),
			slog.String("upstream", u.Name), slog.Uint64("incarnation", u.Incarnation), slog.String("address", u.Address),
			slog.String("reason", reason), slog.String("upstream_is", string(liveness)))
	}()
}
