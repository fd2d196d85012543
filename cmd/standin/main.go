// Command standin is a stand-in upstream for the demo and the scenario tests.
package main

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"os"
	"os/signal"
	"syscall"
	"time"

	"baobabreach/internal/stub"

	"github.com/alecthomas/kong"
)

type cli struct {
	Name        string        `required:"" help:"Name of the upstream."`
	Listen      string        `required:"" help:"Address to listen on, IP:port."`
	DataCentre  string        `required:"" help:"Data centre."`
	Service     string        `required:"" help:"Service."`
	Entry       []string      `required:"" help:"Control addresses of entry hosts."`
	Slots       int           `default:"3" help:"Requests run at once."`
	Keyed       bool          `help:"The service is divided by key."`
	NoCheck     bool          `help:"Run whatever arrives, without checking grants."`
	ServiceTime time.Duration `default:"5ms" help:"Time to run one request."`
	Record      string        `help:"File to which every execution is appended."`

	Faults stub.Faults `embed:"" prefix:"fault-"`
}

// drainTimeout bounds the wait at shutdown until the ranges of the upstream have moved away.
const drainTimeout = 10 * time.Second

func main() {
	var c cli
	kong.Parse(&c, kong.Name("standin"), kong.Description("A stand-in upstream."))
	if err := run(c); err != nil {
		fmt.Fprintln(os.Stderr, "standin:", err)
		os.Exit(1)
	}
}

func run(c cli) error {
	start := time.Now()
	var record io.Writer
	if c.Record != "" {
		f, err := os.OpenFile(c.Record, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
		if err != nil {
			return err
		}
		defer func() { _ = f.Close() }()
		record = f
	}
	upstream := stub.New(stub.Config{
		Name: c.Name, Address: c.Listen, DataCentre: c.DataCentre, Service: c.Service, Slots: c.Slots,
		Entries: c.Entry, ChecksGrants: !c.NoCheck, Keyed: c.Keyed, ServiceTime: c.ServiceTime,
		Incarnation: uint64(start.UnixNano()), Clock: func() time.Duration { return time.Since(start) },
		Client: http.DefaultClient, Faults: c.Faults, Record: record, Exit: func() { os.Exit(stub.CrashExitStatus) },
	})
	announceCtx, stopAnnouncing := context.WithCancel(context.Background())
	defer stopAnnouncing()
	go upstream.Announce(announceCtx)
	server := &http.Server{Addr: c.Listen, Handler: upstream, ReadHeaderTimeout: 5 * time.Second}
	serveErr := make(chan error, 1)
	go func() { serveErr <- server.ListenAndServe() }()
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, os.Interrupt, syscall.SIGTERM)
	select {
	case err := <-serveErr:
		return err
	case <-signals:
	}
	ctx, cancel := context.WithTimeout(context.Background(), drainTimeout)
	defer cancel()
	upstream.Drain(ctx)
	stopAnnouncing()
	if err := server.Shutdown(ctx); err != nil && !errors.Is(err, http.ErrServerClosed) {
		return err
	}
	return nil
}
