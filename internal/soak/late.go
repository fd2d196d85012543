package soak

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"baobabreach/internal/errs"

	"github.com/go-faster/errors"
)

const (
	// lateOrders is the number of orders of each kind that are sent during a stop, at intervals of lateInterval.
	lateOrders   = 16
	lateInterval = 120 * time.Millisecond
	// lateTimeLimit is the time limit of these orders. It is longer than a host takes to stop.
	lateTimeLimit = 5 * time.Second
	// lateServiceTime is how long an upstream works on them.
	lateServiceTime = 700 * time.Millisecond
	// latePath begins the path of orders that take lateServiceTime.
	latePath = "/w/"
)

// RunLateOrders stops an entry host under load. Connections that were opened before are first used during the stop, and
// bodies whose heads were sent before end during it. An order that ends without an answer, or that an upstream executes and
// that is not answered 200, is a violation.
func RunLateOrders(cfg Config) (*Run, []string, error) {
	r := newRun(cfg, 1)
	r.plannedOnly = true
	return r.run(func(context.Context) error {
		h := r.fleet.EntryHosts()[0]
		var orders []*lateOrder
		for i := range 2 * lateOrders {
			o := &lateOrder{
				id: fmt.Sprintf("late-%d", i), sendAt: time.Duration(i%lateOrders+1) * lateInterval, headFirst: i >= lateOrders,
			}
			if err := o.open(h); err != nil {
				return err
			}
			orders = append(orders, o)
		}
		// The host accepts the connections before it closes its listener.
		time.Sleep(lateInterval)
		r.recordEvent("stop %s", h.Name)
		stoppedAt := time.Now()
		h.Signal(syscall.SIGTERM)
		var wg sync.WaitGroup
		for _, o := range orders {
			wg.Add(1)
			go func() { defer wg.Done(); r.checkLateOrder(o, stoppedAt) }()
		}
		wg.Wait()
		h.Stop()
		return r.fleet.Start(h)
	})
}

// lateOrder is an order that is complete sendAt after a stop began.
type lateOrder struct {
	id     string
	sendAt time.Duration
	// headFirst is true if the head and a part of the body are sent before the stop.
	headFirst  bool
	connection net.Conn
}

func (o *lateOrder) open(h *Host) error {
	c, err := net.Dial("tcp", net.JoinHostPort(h.daemonIP, strconv.Itoa(portCaller)))
	if err != nil {
		return errors.Wrap(err, "connect to entry host")
	}
	o.connection = c
	if o.headFirst {
		_, err = io.WriteString(c, o.head()+"or")
	}
	return errs.Wrap(err, "send head")
}

func (o *lateOrder) head() string {
	return fmt.Sprintf("POST %s%s HTTP/1.1\r\nHost: a.example\r\nAttempt-Id: %s\r\nDeadline-Ms: %d\r\n"+
		"Content-Length: 5\r\n\r\n", latePath, o.id, o.id, lateTimeLimit.Milliseconds())
}

// complete sends what is left of the order and returns the answer.
func (o *lateOrder) complete() (int, error) {
	rest := o.head() + "order"
	if o.headFirst {
		rest = "der"
	}
	_ = o.connection.SetDeadline(time.Now().Add(lateTimeLimit))
	if _, err := io.WriteString(o.connection, rest); err != nil {
		return 0, errors.Wrap(err, "send order")
	}
	resp, err := http.ReadResponse(bufio.NewReader(o.connection), nil)
	if err != nil {
		return 0, errors.Wrap(err, "read answer")
	}
	defer func() { _ = resp.Body.Close() }()
	_, err = io.ReadAll(resp.Body)
	return resp.StatusCode, errs.Wrap(err, "read answer")
}

func (r *Run) checkLateOrder(o *lateOrder, stoppedAt time.Time) {
	defer func() { _ = o.connection.Close() }()
	time.Sleep(time.Until(stoppedAt.Add(o.sendAt)))
	status, err := o.complete()
	if status == http.StatusServiceUnavailable {
		r.checker.RecordRefusal(o.id)
	}
	if status == http.StatusOK {
		r.checker.RecordAnswer()
		return
	}
	r.checker.RecordFailure()
	switch executed := r.checker.WasExecuted(o.id); {
	case status == 0:
		r.checker.ReportViolation("order %s, complete %v after the stop began, ended without an answer (executed: %v): %v",
			o.id, o.sendAt, executed, err)
	case executed:
		r.checker.ReportViolation("order %s, complete %v after the stop began, was executed and answered %d",
			o.id, o.sendAt, status)
	}
}

// serviceTimeOf returns how long an upstream works on the request.
func serviceTimeOf(r *http.Request) time.Duration {
	if strings.HasPrefix(r.URL.Path, latePath) {
		return lateServiceTime
	}
	return serviceTime
}
