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

// settingsPollInterval is how often the settings file is checked, because it may change without a SIGHUP.
const settingsPollInterval = 2 * time.Second

// reloader applies the settings that may change while the daemon runs, which are only the seeds.
type reloader struct {
	path        string
	directory   *replicaDirectory
	log         *slog.Logger
	lastContent []byte
}

// reload applies the settings file if its content has changed or signalled is true.
func (r *reloader) reload(signalled bool) {
	b, err := os.ReadFile(r.path)
	if err != nil {
		r.log.Warn("cannot read settings file; keeping the current settings", "file", r.path, "error", err)
		return
	}
	if bytes.Equal(b, r.lastContent) && !signalled {
		return
	}
	r.lastContent = b
	cfg, err := config.Load(r.path)
	if err != nil || cfg.Gateway == nil {
		r.log.Warn("settings are wrong; the present ones stay in force", "file", r.path, "error", err)
		return
	}
	r.directory.setSeeds(seedAddresses(cfg))
	r.log.Info("settings reloaded", "file", r.path, "signal", signalled, "seeds", cfg.Gateway.Seeds)
}

// startReloader reloads the settings on SIGHUP and whenever the file changes.
func startReloader(lc fx.Lifecycle, cfg config.Config, d *replicaDirectory, log *slog.Logger) {
	r := &reloader{path: cfg.File, directory: d, log: logs.ForComponent(log, "settings")}
	ctx, cancel := context.WithCancel(context.Background())
	hup := make(chan os.Signal, 1)
	lc.Append(fx.Hook{
		OnStart: func(context.Context) error {
			signal.Notify(hup, syscall.SIGHUP)
			r.lastContent, _ = os.ReadFile(r.path)
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
	t := time.NewTicker(settingsPollInterval)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-hup:
			r.reload(true)
		case <-t.C:
			r.reload(false)
		}
	}
}
