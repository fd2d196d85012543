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

// settingsPollInterval is the time between two looks at the settings file, which may change without a signal.
const settingsPollInterval = 2 * time.Second

// reloader takes over what may change in the settings of a running daemon: the seeds.
type reloader struct {
	path        string
	directory   *replicaDirectory
	log         *slog.Logger
	lastContent []byte
}

// reload reads the file again. signalled tells whether a signal asked for it.
func (r *reloader) reload(signalled bool) {
	b, err := os.ReadFile(r.path)
	if err != nil {
		r.log.Warn("settings can't be read; the present ones stay in force", "file", r.path, "error", err)
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

// startReloader reacts to SIGHUP and to changes of the file.
func startReloader(lc fx.Lifecycle, cfg config.Config, d *replicaDirectory, log *slog.Logger) {
	r := &reloader{path: cfg.File, directory: d, log: logs.Part(log, "settings")}
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
