// Command measure starts a fleet on loopback and measures how long a change takes to be in force on all daemons, and
// how long a restarted daemon takes to reach the newest revision.
package main

import (
	"context"
	"fmt"
	"os"
	"slices"
	"sync"
	"time"

	"baobabreach/internal/fleet"
	"baobabreach/internal/intent"
	"baobabreach/internal/model"

	"github.com/alecthomas/kong"
	"github.com/go-faster/errors"
)

type cli struct {
	Hosts   int           `default:"4" help:"Daemons in each of the three data centres; at least 2."`
	Changes int           `default:"50" help:"Changes whose time to all daemons is measured."`
	Missed  int           `default:"500" help:"Changes that a restarted daemon has missed; 0 leaves this part out."`
	Poll    time.Duration `default:"5ms" help:"Time between two looks at one daemon; the resolution of the figures."`
	Limit   time.Duration `default:"5m" help:"Time after which the run fails."`
}

func main() {
	var c cli
	kong.Parse(&c)
	if err := c.run(); err != nil {
		fmt.Fprintln(os.Stderr, "measure:", err)
		os.Exit(1)
	}
}

func (c cli) run() (err error) {
	ctx, cancel := context.WithTimeout(context.Background(), c.Limit)
	defer cancel()
	f, err := fleet.Start(ctx, fleet.Config{
		Binaries: "bin", DataCentres: []string{"a", "b", "c"}, HostsPerCentre: c.Hosts, Services: []fleet.Service{
			{Name: "catalogue", Keyed: true, Idempotent: true, Class: "short", Ranges: 12, Upstreams: 3, Slots: 3},
		},
	})
	if err != nil {
		return err
	}
	defer func() { err = errors.Join(err, f.Close()) }()
	loadAverage, _ := os.ReadFile("/proc/loadavg")
	fmt.Printf("daemons %d, load average at the start %s", len(f.Hosts), loadAverage)
	if err := c.measurePropagation(ctx, f); err != nil || c.Missed == 0 {
		return err
	}
	for _, host := range []string{"c2", "c1"} {
		if err := c.measureRestart(ctx, f, host); err != nil {
			return err
		}
	}
	return nil
}

// measurePropagation measures the time from sending a confirmation until the change is in force on all daemons.
func (c cli) measurePropagation(ctx context.Context, f *fleet.Fleet) error {
	var durations []time.Duration
	for i := range c.Changes {
		host := f.Hosts[i%len(f.Hosts)].Name
		id, err := f.Plan(ctx, host, limitChange(i))
		if err != nil {
			return err
		}
		start := time.Now()
		r, err := f.Confirm(ctx, host, id)
		if err != nil {
			return err
		}
		errs := make([]error, len(f.Hosts))
		var wg sync.WaitGroup
		for j, h := range f.Hosts {
			wg.Go(func() { errs[j] = c.waitForRevision(ctx, f, h.Name, r.Revision) })
		}
		wg.Wait()
		if err := errors.Join(errs...); err != nil {
			return err
		}
		durations = append(durations, time.Since(start))
	}
	slices.Sort(durations)
	fmt.Printf("confirmation to force on all daemons, %d changes: median %d ms, longest %d ms\n",
		len(durations), durations[len(durations)/2].Milliseconds(), durations[len(durations)-1].Milliseconds())
	return nil
}

func (c cli) waitForRevision(ctx context.Context, f *fleet.Fleet, host string, revision uint64) error {
	for {
		l, err := f.Local(ctx, host)
		if err == nil && l.Revision >= revision {
			return nil
		}
		select {
		case <-ctx.Done():
			return errors.Wrapf(ctx.Err(), "wait for revision %d on %s", revision, host)
		case <-time.After(c.Poll):
		}
	}
}

// measureRestart measures the time from the start of a daemon that missed changes until it reaches the newest revision.
func (c cli) measureRestart(ctx context.Context, f *fleet.Fleet, host string) error {
	if err := f.Kill(host); err != nil {
		return err
	}
	revision := uint64(0)
	for i := range c.Missed {
		err := fleet.Wait(ctx, func(ctx context.Context) (err error) {
			revision, err = f.Change(ctx, "a2", limitChange(i))
			return err
		})
		if err != nil {
			return err
		}
	}
	start := time.Now()
	if err := f.Restart(host); err != nil {
		return err
	}
	if err := c.waitForRevision(ctx, f, host, revision); err != nil {
		return err
	}
	fmt.Printf("start of %s to the newest revision after %d missed changes: %d ms\n",
		host, c.Missed, time.Since(start).Milliseconds())
	return nil
}

func limitChange(i int) intent.Intent {
	return intent.Intent{Limit: &intent.Limit{
		Tenant: fmt.Sprintf("tenant-%d", i%10), Class: model.ClassLong, PerSecond: float64(i + 1),
	}}
}
