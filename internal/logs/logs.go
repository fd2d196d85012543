// Package logs makes the loggers of the daemon's parts.
package logs

import (
	"context"
	"io"
	"log/slog"
	"strings"

	"baobabreach/internal/errs"

	"github.com/go-faster/errors"
)

// Config configures the root logger.
type Config struct {
	// Level is debug, info, warn or error.
	Level string
	// Format is text or json.
	Format string
	Output io.Writer
}

// New returns the root logger.
func New(cfg Config) (*slog.Logger, error) {
	var l slog.Level
	if err := l.UnmarshalText([]byte(strings.ToUpper(cfg.Level))); err != nil {
		return nil, errors.Wrap(err, "log level")
	}
	o := &slog.HandlerOptions{Level: l}
	if cfg.Format == "json" {
		return slog.New(slog.NewJSONHandler(cfg.Output, o)), nil
	}
	return slog.New(slog.NewTextHandler(cfg.Output, o)), nil
}

// ForComponent returns a logger whose messages start with the name of the part.
func ForComponent(l *slog.Logger, part string) *slog.Logger {
	return slog.New(prefixed{Handler: l.Handler(), prefix: part + ": "})
}

type prefixed struct {
	slog.Handler
	prefix string
}

func (p prefixed) Handle(ctx context.Context, r slog.Record) error {
	r.Message = p.prefix + r.Message
	return errs.Wrap(p.Handler.Handle(ctx, r), "write log record")
}

func (p prefixed) WithAttrs(as []slog.Attr) slog.Handler {
	return prefixed{Handler: p.Handler.WithAttrs(as), prefix: p.prefix}
}

func (p prefixed) WithGroup(name string) slog.Handler {
	return prefixed{Handler: p.Handler.WithGroup(name), prefix: p.prefix}
}
