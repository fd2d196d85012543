package harness

import (
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"
)

// Exit statuses of a case.
const (
	Held      = 0
	Broken    = 1
	CannotRun = 2
)

// maxTime ends a case that hangs.
const maxTime = 118 * time.Second

// Case is one run of a script.
type Case struct {
	Record *Record
	Fleet  *Fleet
	// Trouble is false if the run leaves out the disruption.
	Trouble bool
}

// Run plays a case in the repository of the working directory and exits. The arguments of the program are the folder of
// the case. play returns the breaches of the rule.
func Run(cfg FleetConfig, play func(c *Case) (breaches []string, err error)) {
	os.Exit(run(cfg, play))
}

func run(cfg FleetConfig, play func(c *Case) ([]string, error)) int {
	if len(os.Args) != 3 {
		fmt.Fprintln(os.Stderr, "usage: CASE ROOT FOLDER")
		return CannotRun
	}
	cfg.Root = os.Args[1]
	rec, err := OpenRecord(os.Args[2] + "/record.txt")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return CannotRun
	}
	defer func() { _ = rec.Close() }()
	fleet, err := NewFleet(cfg)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return CannotRun
	}
	defer fleet.Close()
	type result struct {
		breaches []string
		err      error
	}
	done := make(chan result, 1)
	c := &Case{Record: rec, Fleet: fleet, Trouble: os.Getenv("TROUBLE") != "0"}
	rec.Printf("disruption: %v", c.Trouble)
	go func() {
		breaches, err := play(c)
		done <- result{breaches, err}
	}()
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, os.Interrupt, syscall.SIGTERM)
	var r result
	select {
	case r = <-done:
	case <-signals:
		r.err = fmt.Errorf("interrupted")
	case <-time.After(maxTime):
		r.err = fmt.Errorf("not done after %v", maxTime)
	}
	if r.err != nil {
		rec.Printf("the case could not run: %v", r.err)
		fmt.Println("the case could not run:", r.err)
		return CannotRun
	}
	for _, b := range r.breaches {
		rec.Printf("BREACH %s", b)
	}
	rec.Printf("%d breaches", len(r.breaches))
	fmt.Printf("disruption %v: %d breaches\n", c.Trouble, len(r.breaches))
	for i, b := range r.breaches {
		if i < 3 {
			fmt.Println(" ", b)
		}
	}
	if len(r.breaches) > 0 {
		return Broken
	}
	return Held
}
