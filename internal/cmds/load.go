package cmds

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"os"
	"os/signal"
	"path/filepath"
	"slices"
	"syscall"

	"baobabreach/internal/config"
	"baobabreach/internal/errs"
	"baobabreach/internal/load"

	"github.com/go-faster/errors"
)

type loadCmd struct {
	Plan   string   `default:"kovacic" help:"Built-in plan kovacic, cascade or policies, or a JSON file."`
	Seed   uint64   `default:"1" help:"Seed of the arrivals and faults."`
	Policy []string `default:"local" help:"Admission policies to compare, each on its own fleet; naive is for comparison only."`
	Target []string `help:"Caller addresses of running hosts on loopback, instead of a fleet."`
	JSON   string   `name:"json" type:"path" help:"File for the results."`
	Plot   string   `type:"path" help:"File for an SVG plot of latency and goodput over time."`
}

// Run runs the plan once per policy, or once against the targets.
func (c loadCmd) Run(out io.Writer) error {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	plan, err := load.ReadPlan(c.Plan)
	if err != nil {
		return err
	}
	executable, err := os.Executable()
	if err != nil {
		return errors.Wrap(err, "locate executable")
	}
	opts := load.Options{Plan: plan, Seed: c.Seed, Progress: os.Stderr, Binaries: filepath.Dir(executable)}
	results, err := c.runAll(ctx, opts)
	if err != nil {
		return err
	}
	if err := load.WriteTable(out, results); err != nil {
		return err
	}
	if err := writeFile(c.JSON, func(w io.Writer) error {
		e := json.NewEncoder(w)
		e.SetIndent("", "  ")
		return errs.Wrap(e.Encode(results), "encode results")
	}); err != nil {
		return err
	}
	return writeFile(c.Plot, func(w io.Writer) error { return load.WritePlot(w, results) })
}

func (c loadCmd) runAll(ctx context.Context, opts load.Options) ([]load.Result, error) {
	if len(c.Target) > 0 {
		r, err := load.RunTarget(ctx, opts, c.Target)
		return []load.Result{r}, err
	}
	var results []load.Result
	for _, policy := range c.Policy {
		if policy != load.PolicyNaive && !slices.Contains(config.Policies, config.Policy(policy)) {
			results = append(results, load.Result{
				Plan: opts.Plan.Name, Policy: policy, Seed: opts.Seed, Note: "not run: this daemon has no such policy",
			})
			continue
		}
		_, _ = fmt.Fprintln(os.Stderr, "policy", policy)
		r, err := load.RunPolicy(ctx, opts, policy)
		if err != nil {
			return results, errors.Wrapf(err, "policy %s", policy)
		}
		results = append(results, r)
	}
	return results, nil
}

// writeFile creates the file and lets write fill it. It does nothing if the name is empty.
func writeFile(name string, write func(io.Writer) error) (err error) {
	if name == "" {
		return nil
	}
	f, err := os.Create(name)
	if err != nil {
		return errors.Wrap(err, "create file")
	}
	defer func() {
		if closeErr := f.Close(); err == nil {
			err = errs.Wrap(closeErr, "close file")
		}
	}()
	return write(f)
}
