// Command demo runs a fleet of three data centres on loopback, kills an upstream and the leader daemon under load
// and checks that no request was lost and no non-idempotent request was executed twice.
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"syscall"
	"time"

	"baobabreach/internal/fleet"

	"github.com/alecthomas/kong"
	"github.com/go-faster/errors"
)

type cli struct {
	Binaries string        `default:"bin" type:"existingdir" help:"Folder with the programs."`
	Seed     uint64        `default:"1" help:"Seed of keys and request ids."`
	Duration time.Duration `default:"14s" help:"Time under load, at most 40s."`
	Measure  string        `enum:",unavailability" default:"" help:"Measure the unavailability of keys instead."`
	Runs     int           `default:"10" help:"Losses of each kind that are measured."`
}

const (
	maxDuration = 40 * time.Second
	// runTimeout bounds the whole demo.
	runTimeout = 58 * time.Second
	// finishTimeout bounds the retries after the last new request.
	finishTimeout = 8 * time.Second
)

func main() {
	var c cli
	kong.Parse(&c, kong.Name("demo"), kong.Description("Shows a fleet that loses an upstream and its leader."))
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	if c.Measure != "" {
		if err := measureUnavailability(ctx, c.Binaries, c.Runs); err != nil {
			fmt.Fprintln(os.Stderr, "demo:", err)
			os.Exit(1)
		}
		return
	}
	ctx, cancel := context.WithTimeout(ctx, runTimeout)
	defer cancel()
	s, err := run(ctx, c)
	if err != nil {
		fmt.Fprintln(os.Stderr, "demo:", err)
		os.Exit(1)
	}
	fmt.Println(s)
	if !s.ok() {
		os.Exit(1)
	}
}

func run(ctx context.Context, c cli) (s summary, err error) {
	if c.Duration > maxDuration {
		return s, errors.Errorf("duration %s exceeds the maximum of %s", c.Duration, maxDuration)
	}
	binaries, err := filepath.Abs(c.Binaries)
	if err != nil {
		return s, errors.Wrap(err, "resolve binaries directory")
	}
	fmt.Println("starting 12 daemons and 18 stand-in upstreams")
	f, err := fleet.Start(ctx, fleet.Config{
		Binaries: binaries, DataCentres: []string{"a", "b", "c"}, HostsPerCentre: 4, Services: services(),
	})
	if err != nil {
		return s, err
	}
	defer func() {
		if closeErr := f.Close(); closeErr != nil && err == nil {
			err = closeErr
		}
	}()
	fmt.Println("every host is ready and every key has an owner")
	t := newTraffic(f, c.Seed)
	loadCtx, cancel := context.WithTimeout(ctx, c.Duration)
	defer cancel()
	injected := make(chan error, 1)
	go func() { injected <- injectFailures(loadCtx, f, c.Duration) }()
	finishCtx, cancelFinish := context.WithTimeout(ctx, c.Duration+finishTimeout)
	defer cancelFinish()
	t.run(loadCtx, finishCtx)
	injectErr := <-injected
	if ctx.Err() != nil {
		return s, errors.Wrap(ctx.Err(), "interrupted")
	}
	if s, err = t.summary(); injectErr != nil {
		s.incomplete = "; not everything was killed: " + injectErr.Error()
	}
	return s, err
}

func services() []fleet.Service {
	return []fleet.Service{
		{
			Name: "catalogue", Keyed: true, Idempotent: true, Class: "short", Ranges: 48, Upstreams: 6, Slots: 3,
			ServiceTime: 5 * time.Millisecond,
		},
		{Name: "orders", Class: "short", Upstreams: 6, Slots: 3, ServiceTime: 10 * time.Millisecond},
		{
			Name: "care_sheets", Idempotent: true, Class: "long", Upstreams: 6, Slots: 3,
			ServiceTime: 50 * time.Millisecond, Deadline: 5 * time.Second,
		},
	}
}

// injectFailures kills an upstream after a quarter of the time and the leader after half of it.
func injectFailures(ctx context.Context, f *fleet.Fleet, d time.Duration) error {
	steps := []func() error{
		func() error {
			fmt.Println("killing upstream catalogue-b1")
			return f.Kill("catalogue-b1")
		},
		func() error {
			var leader string
			err := fleet.Wait(ctx, func(ctx context.Context) (err error) {
				leader, err = f.Leader(ctx)
				return err
			})
			if err != nil {
				return err
			}
			fmt.Println("killing the leading daemon", leader)
			return f.Kill(leader)
		},
	}
	for _, step := range steps {
		select {
		case <-ctx.Done():
			return nil
		case <-time.After(d / 4):
		}
		if err := step(); err != nil {
			return err
		}
	}
	return nil
}
