// Package logs creates the loggers of the daemon's components.
package logs

import (
	"context"
	"io"
	"log/slog"
	"strings"

	"baobabreach/internal/errs"

	"github.com/go-faster/errors"
)

// Config holds the settings of the root logger.
type Config struct {
	// Level is debug, info, warn or error.
	Level string
	// Format is text or json.
	Format string
	Output io.Writer
}

// New returns the root logger, or an error if cfg.Level is unknown.
func New(cfg Config) (*slog.Logger, error) {
	var l slog.Level
	if err := l.UnmarshalText([]byte(strings.ToUpper(cfg.Level))); err != nil {
		return nil, errors.Wrap(err, "parse log level")
	}
	o := &slog.HandlerOptions{Level: l}
	if cfg.Format == "json" {
		return slog.New(slog.NewJSONHandler(cfg.Output, o)), nil
	}
	return slog.New(slog.NewTextHandler(cfg.Output, o)), nil
}

// ForComponent returns a logger that prefixes each message with the name of a component.
func ForComponent(l *slog.Logger, component string) *slog.Logger {
	return slog.New(prefixHandler{Handler: l.Handler(), prefix: component + ": "})
}

type prefixHandler struct {
	slog.Handler
	prefix string
}

func (p prefixHandler) Handle(ctx context.Context, r slog.Record) error {
	r.Message = p.prefix + r.Message
	return errs.Wrap(p.Handler.Handle(ctx, r), "write log record")
}

func (p prefixHandler) WithAttrs(attrs []slog.Attr) slog.Handler {
	return prefixHandler{Handler: p.Handler.WithAttrs(attrs), prefix: p.prefix}
}

func (p prefixHandler) WithGroup(name string) slog.Handler {
	return prefixHandler{Handler: p.Handler.WithGroup(name), prefix: p.prefix}
}
