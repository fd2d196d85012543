// Package cmds implements the command line of baobabreach.
package cmds

import (
	"context"
	"fmt"
	"io"
	"os"

	"baobabreach/internal/config"
	"baobabreach/internal/daemon"
	"baobabreach/internal/errs"
	"baobabreach/internal/intent"
	"baobabreach/pkg/proto"
	"baobabreach/platform"

	"github.com/alecthomas/kong"
	"github.com/go-faster/errors"
	"go.uber.org/fx"
)

// Version is the version of the program; the build may override it.
var Version = "0.1.0-dev"

// Exit statuses of the program.
const (
	exitFailure = 1
	exitUsage   = 2
	// exitOutdated means that another change was accepted first, so that the operator has to plan again.
	exitOutdated = 3
)

type cli struct {
	Serve   serveCmd   `cmd:"" help:"Run a daemon."`
	Gateway gatewayCmd `cmd:"" help:"Run a daemon on the platform."`
	Plan    planCmd    `cmd:"" help:"Plan a change; nothing changes until it is confirmed."`
	Confirm confirmCmd `cmd:"" help:"Execute a plan."`
	Status  statusCmd  `cmd:"" help:"Show services, owners, moves, replicas and daemons."`
	Explain explainCmd `cmd:"" help:"Show why a request, key or upstream was treated as it was."`
	Check   checkCmd   `cmd:"" help:"Check a settings file without starting."`
	Logs    logsCmd    `cmd:"" help:"Show the lines of a request, upstream, range or key in the logs of several daemons."`
	Load    loadCmd    `cmd:"" help:"Generate load on loopback and report latencies and goodput."`
	Version versionCmd `cmd:"" help:"Print the version."`
}

// Main runs the command line and returns the exit status.
func Main(args []string, stdout, stderr io.Writer) int {
	var c cli
	parserStatus := -1
	parser, err := kong.New(&c, kong.Name("baobabreach"),
		kong.Description("A router for upstreams that own keys exclusively."),
		kong.Writers(stdout, stderr), kong.Exit(func(status int) { parserStatus = status }),
		kong.BindTo(stdout, (*io.Writer)(nil)), kong.Vars{"user": defaultOperator()},
	)
	if err != nil {
		_, _ = fmt.Fprintln(stderr, "baobabreach:", err)
		return exitUsage
	}
	ctx, err := parser.Parse(args)
	if parserStatus >= 0 {
		return parserStatus
	}
	if err != nil {
		_, _ = fmt.Fprintln(stderr, "baobabreach:", err)
		return exitUsage
	}
	if err := ctx.Run(); err != nil {
		_, _ = fmt.Fprintln(stderr, err)
		return exitStatus(err)
	}
	return 0
}

// defaultOperator returns the operator name that is recorded with changes unless a flag sets another.
func defaultOperator() string {
	if u := os.Getenv("USER"); u != "" {
		return u
	}
	return "operator"
}

func exitStatus(err error) int {
	var problems config.Problems
	if errors.As(err, &problems) {
		return exitUsage
	}
	var refusal *intent.Refusal
	if errors.As(err, &refusal) && (refusal.Code == proto.CodeConflict || refusal.Code == proto.CodeStalePlan) {
		return exitOutdated
	}
	return exitFailure
}

type serveCmd struct {
	Config string `arg:"" type:"path" help:"Settings file."`
}

// Run runs a daemon until SIGINT or SIGTERM.
func (c serveCmd) Run() error {
	cfg, err := config.Load(c.Config)
	if err != nil {
		return err
	}
	return runApp(daemon.New(cfg, daemon.NetDial))
}

type gatewayCmd struct {
	Config string `arg:"" optional:"" type:"path" env:"BAOBABREACH_CONFIG" help:"Settings file."`
}

// Run runs a daemon on the platform until SIGINT or SIGTERM.
func (c gatewayCmd) Run() error {
	cfg, err := config.Load(c.Config)
	if err != nil {
		return err
	}
	if cfg.Gateway == nil {
		return config.Problems{{File: c.Config, Section: "gateway", Expected: "a section of this name"}}
	}
	return runApp(daemon.NewGateway(cfg, daemon.NetDial, platform.Adapter()))
}

// runApp runs the application until it receives a signal or shuts down by itself.
func runApp(app *fx.App) error {
	if err := app.Err(); err != nil {
		return errors.Wrap(err, "build daemon")
	}
	if err := app.Start(context.Background()); err != nil {
		return errors.Wrap(err, "start daemon")
	}
	signal := <-app.Wait()
	ctx, cancel := context.WithTimeout(context.Background(), app.StopTimeout())
	defer cancel()
	if err := app.Stop(ctx); err != nil {
		return errors.Wrap(err, "stop daemon")
	}
	if signal.ExitCode != 0 {
		os.Exit(signal.ExitCode)
	}
	return nil
}

type checkCmd struct {
	Config string `arg:"" type:"path" help:"Settings file."`
}

func (c checkCmd) Run(out io.Writer) error {
	if _, err := config.Load(c.Config); err != nil {
		return err
	}
	_, err := fmt.Fprintln(out, c.Config+": ok")
	return errs.Wrap(err, "print")
}

type versionCmd struct{}

func (versionCmd) Run(out io.Writer) error {
	_, err := fmt.Fprintln(out, Version)
	return errs.Wrap(err, "print")
}
