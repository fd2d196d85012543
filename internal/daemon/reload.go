package daemon

import (
	"bytes"
	"context"
	"log/slog"
	"os"
	"os/signal"
	"syscall"
	"time"

	"baobabreach/internal/config"
	"baobabreach/internal/logs"

	"go.uber.org/fx"
)

// reloadInterval is the time between two looks at the settings file, which may change without a signal.
const reloadInterval = 2 * time.Second

// reloader takes over what may change in the settings of a running daemon: the seeds.
type reloader struct {
	name      string
	directory *directory
	log       *slog.Logger
	last      []byte
}

// check reads the file again. signalled tells whether a signal asked for it.
func (r *reloader) check(signalled bool) {
	b, err := os.ReadFile(r.name)
	if err != nil {
		r.log.Warn("settings can't be read; the present ones stay in force", "file", r.name, "error", err)
		return
	}
	if bytes.Equal(b, r.last) && !signalled {
		return
	}
	r.last = b
	cfg, err := config.Load(r.name)
	if err != nil || cfg.Gateway == nil {
		r.log.Warn("settings are wrong; the present ones stay in force", "file", r.name, "error", err)
		return
	}
	r.directory.setSeeds(seedAddresses(cfg))
	r.log.Info("settings reloaded", "file", r.name, "signal", signalled, "seeds", cfg.Gateway.Seeds)
}

// startReloader reacts to SIGHUP and to changes of the file.
func startReloader(lc fx.Lifecycle, cfg config.Config, d *directory, log *slog.Logger) {
	r := &reloader{name: cfg.File, directory: d, log: logs.ForComponent(log, "settings")}
	ctx, cancel := context.WithCancel(context.Background())
	hup := make(chan os.Signal, 1)
	lc.Append(fx.Hook{
		OnStart: func(context.Context) error {
			signal.Notify(hup, syscall.SIGHUP)
			r.last, _ = os.ReadFile(r.name)
			go r.run(ctx, hup)
			return nil
		},
		OnStop: func(context.Context) error {
			cancel()
			return nil
		},
	})
}

func (r *reloader) run(ctx context.Context, hup <-chan os.Signal) {
	t := time.NewTicker(reloadInterval)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-hup:
			r.check(true)
		case <-t.C:
			r.check(false)
		}
	}
}
