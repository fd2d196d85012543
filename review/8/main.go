// Command 8 checks that a service is served again after its backend was restarted under the same Id, although the DELETE of
// the earlier process was held up by a partition.
package main

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"time"

	"baobabreach/review/harness"
)

const (
	interval = 50 * time.Millisecond
	workTime = 60 * time.Millisecond
	// before is the time of traffic before the partition.
	before = 5 * time.Second
	// cut is the length of the partition, and late how much later its end the DELETE arrives that it held up.
	cut  = 6 * time.Second
	late = time.Second
	// leaveAt, exitAt and startAt are the times of the restart from the start of the partition.
	leaveAt = 50 * time.Millisecond
	exitAt  = 5 * time.Second
	startAt = 5500 * time.Millisecond
	// settle is the time from the end of the partition until requests are counted, and counted how long they are.
	settle  = 8 * time.Second
	counted = 40 * time.Second
	// minRequests and minShare are the bounds of the rule.
	minRequests = 20
	minShare    = 0.25
)

// tally counts the requests of one route.
type tally struct{ sent, served int }

type observed struct {
	mu       sync.Mutex
	counting bool
	tallies  map[string]*tally
}

func main() {
	harness.Run(harness.FleetConfig{Cores: 3, Fronts: 3}, play)
}

func play(c *harness.Case) ([]string, error) {
	if err := c.Fleet.StartAll(); err != nil {
		return nil, err
	}
	first := harness.Route{
		Name: "orders", Host: "shop.example", Prefix: "/orders/", Type: "safe", Service: "narocila", Timeout: "2000ms",
		TargetLatency: "500ms", MaxAttempts: 2,
	}
	later := harness.Route{
		Name: "sheets", Host: "shop.example", Prefix: "/sheets/", Type: "safe", Service: "nega", Timeout: "2000ms",
		TargetLatency: "500ms", MaxAttempts: 2,
	}
	steps := [][]harness.Route{{first}, {first, later}}
	services := []harness.Service{{Name: "narocila"}, {Name: "nega"}}
	for i, routes := range steps {
		body, err := harness.DesiredStateAt(fmt.Sprintf("r%d", 7+i), routes, services[:i+1])
		if err != nil {
			return nil, err
		}
		if err := c.Fleet.Apply(c.Record, body, 20*time.Second); err != nil {
			return nil, err
		}
	}
	sheets, links, start, err := startBackends(c)
	if err != nil {
		return nil, err
	}
	if err := c.Fleet.AwaitReady(20 * time.Second); err != nil {
		return nil, err
	}
	time.Sleep(3 * time.Second)
	o := &observed{tallies: map[string]*tally{"/orders/": {}, "/sheets/": {}}}
	var sending sync.WaitGroup
	o.traffic(c, &sending, before)
	if c.Trouble {
		c.Record.Printf("%s is partitioned from control", sheets.ID())
		for _, l := range links {
			l.Cut(late)
		}
		time.AfterFunc(cut, func() {
			for _, l := range links {
				l.Heal()
			}
			c.Record.Printf("the partition is over")
		})
	}
	restart(c, sheets, start)
	o.traffic(c, &sending, cut+settle)
	o.count(true)
	o.traffic(c, &sending, counted)
	sending.Wait()
	return o.breaches(c.Record)
}

// restart stops the backend as planned and starts it again under the same Id.
func restart(c *harness.Case, b *harness.Backend, start func() error) {
	time.AfterFunc(leaveAt, func() {
		b.StopReports()
		c.Record.Printf("%s leaves: DELETE", b.ID())
		c.Record.Printf("%s: DELETE is acknowledged: %v", b.ID(), b.DeleteKept())
	})
	time.AfterFunc(exitAt, func() {
		c.Record.Printf("%s exits", b.ID())
		b.Crash()
	})
	time.AfterFunc(startAt, func() {
		c.Record.Printf("%s starts again", b.ID())
		if err := start(); err != nil {
			c.Record.Printf("start: %v", err)
		}
	})
}

// startBackends starts three backends of the first service and the only one of the other, which reaches control through
// links. start starts the latter again.
func startBackends(c *harness.Case) (sheets *harness.Backend, links []*harness.Link, start func() error, err error) {
	through := map[string]string{}
	for _, m := range c.Fleet.Cores {
		l, err := harness.NewLink(m.IP, m.ControlAddress())
		if err != nil {
			return nil, nil, nil, err
		}
		links = append(links, l)
		through[m.ControlAddress()] = l.Address()
	}
	work := func(*http.Request) time.Duration { return workTime }
	for i := range 3 {
		b, err := harness.StartBackend(harness.BackendConfig{
			ID: fmt.Sprintf("i-narocila%d", i), Service: "narocila", Address: c.Fleet.BackendAddress(i), Zone: harness.Zone(i),
			Slots: 3, Queue: 12, Record: c.Record, ControlAddress: c.Fleet.ControlAddresses(), Work: work,
		})
		if err != nil {
			return nil, nil, nil, err
		}
		b.Report()
	}
	cfg := harness.BackendConfig{
		ID: "i-nega0", Service: "nega", Address: c.Fleet.BackendAddress(3), Zone: harness.Zone(0), Slots: 3, Queue: 12,
		Record: c.Record, ControlAddress: c.Fleet.ControlAddresses(), Work: work,
		Dial: func(ctx context.Context, network, address string) (net.Conn, error) {
			var d net.Dialer
			return d.DialContext(ctx, network, through[address])
		},
	}
	start = func() error {
		b, err := harness.StartBackend(cfg)
		if err != nil {
			return err
		}
		b.Report()
		sheets = b
		return nil
	}
	err = start()
	return sheets, links, start, err
}

func (o *observed) count(on bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.counting = on
}

func (o *observed) traffic(c *harness.Case, sending *sync.WaitGroup, d time.Duration) {
	for end := time.Now().Add(d); time.Now().Before(end); time.Sleep(interval) {
		for prefix := range o.tallies {
			o.send(c, sending, prefix)
		}
	}
}

func (o *observed) send(c *harness.Case, sending *sync.WaitGroup, prefix string) {
	front := c.Fleet.Fronts[rand.IntN(len(c.Fleet.Fronts))]
	r := harness.Request{
		ID: harness.NewID(), Method: http.MethodGet, Host: "shop.example", Path: prefix + harness.NewID(), Key: -1,
		Deadline: 2 * time.Second,
	}
	o.mu.Lock()
	counting := o.counting
	o.mu.Unlock()
	sending.Add(1)
	go func() {
		defer sending.Done()
		c.Record.Printf("client: sends %s (%s) to %s", r.ID, r.Path, front.Name)
		a := harness.Send(front.FrontAddress(), r)
		c.Record.Printf("client: %s answered %d after %v, error %v", r.ID, a.Status, a.Elapsed.Round(time.Millisecond), a.Err)
		if !counting {
			return
		}
		o.mu.Lock()
		defer o.mu.Unlock()
		t := o.tallies[prefix]
		t.sent++
		if a.Status == http.StatusOK {
			t.served++
		}
	}()
}

// breaches compares the share of requests that are served on the route that was added later with that on the first one.
func (o *observed) breaches(rec *harness.Record) ([]string, error) {
	o.mu.Lock()
	defer o.mu.Unlock()
	first, later := o.tallies["/orders/"], o.tallies["/sheets/"]
	rec.Printf("served on the first route: %d of %d, on the later one: %d of %d", first.served, first.sent, later.served, later.sent)
	if first.served < first.sent/2 || later.sent < minRequests {
		return nil, fmt.Errorf("the first route was served %d of %d times", first.served, first.sent)
	}
	share := func(t *tally) float64 { return float64(t.served) / float64(t.sent) }
	if share(later) < minShare*share(first) {
		return []string{fmt.Sprintf("CONFIG: in %v of steady state %d of %d requests were served on the route added later, %d of %d on the first",
			counted, later.served, later.sent, first.served, first.sent)}, nil
	}
	return nil, nil
}
