// Command 7 checks that a backend whose leave was acknowledged gets no new orders, although one of its earlier status
// reports was held up by a partition and arrives after that.
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
	backends = 4
	workTime = 140 * time.Millisecond
	interval = 25 * time.Millisecond
	// before is the time of traffic before the partition.
	before = 4 * time.Second
	// cut is the length of the partition, and late how much later its end the report arrives that it held up.
	cut  = 10 * time.Second
	late = time.Second
	// leaveAt is when the backend decides to leave, from the start of the partition.
	leaveAt = 9800 * time.Millisecond
	// serve is how long the backend goes on to serve after its leave was acknowledged.
	serve = 7 * time.Second
	// drain is the bound of the rule.
	drain = 2 * time.Second
	// after is the time of traffic after the leave.
	after = 9 * time.Second
)

// arrival is a request at the backend that leaves.
type arrival struct {
	id string
	at time.Time
}

type observed struct {
	mu       sync.Mutex
	sentAt   map[string]time.Time
	statuses map[int]int
	arrivals []arrival
}

func main() {
	harness.Run(harness.FleetConfig{Cores: 3, Fronts: 3}, play)
}

func play(c *harness.Case) ([]string, error) {
	if err := c.Fleet.StartAll(); err != nil {
		return nil, err
	}
	body, err := harness.DesiredState(
		[]harness.Route{{
			Name: "orders", Host: "orders.example", Prefix: "/orders/", Type: "unsafe", Service: "narocila", Timeout: "2000ms",
			TargetLatency: "500ms", MaxAttempts: 2,
		}},
		[]harness.Service{{Name: "narocila"}},
	)
	if err != nil {
		return nil, err
	}
	if err := c.Fleet.Apply(c.Record, body, 20*time.Second); err != nil {
		return nil, err
	}
	o := &observed{sentAt: map[string]time.Time{}, statuses: map[int]int{}}
	leaving, links, err := startBackends(c, o)
	if err != nil {
		return nil, err
	}
	if err := c.Fleet.AwaitReady(20 * time.Second); err != nil {
		return nil, err
	}
	time.Sleep(3 * time.Second)
	var sending sync.WaitGroup
	o.traffic(c, &sending, before)
	if c.Trouble {
		c.Record.Printf("%s is partitioned from control", leaving.ID())
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
	acked := make(chan time.Time, 1)
	time.AfterFunc(leaveAt, func() { acked <- leave(c, leaving, links) })
	o.traffic(c, &sending, cut+after)
	sending.Wait()
	return o.breaches(c.Record, leaving.ID(), <-acked)
}

// startBackends starts the backends. The first one, which is to leave, reaches control through links.
func startBackends(c *harness.Case, o *observed) (*harness.Backend, []*harness.Link, error) {
	var links []*harness.Link
	through := map[string]string{}
	for _, m := range c.Fleet.Cores {
		l, err := harness.NewLink(m.IP, m.ControlAddress())
		if err != nil {
			return nil, nil, err
		}
		links = append(links, l)
		through[m.ControlAddress()] = l.Address()
	}
	var leaving *harness.Backend
	for i := range backends {
		cfg := harness.BackendConfig{
			ID: fmt.Sprintf("i-narocila%d", i), Service: "narocila", Address: c.Fleet.BackendAddress(i), Zone: harness.Zone(i),
			Slots: 3, Queue: 12, Record: c.Record, ControlAddress: c.Fleet.ControlAddresses(),
			Work: func(*http.Request) time.Duration { return workTime },
		}
		if i == 0 {
			cfg.Dial = func(ctx context.Context, network, address string) (net.Conn, error) {
				var d net.Dialer
				return d.DialContext(ctx, network, through[address])
			}
			cfg.OnArrival = func(_ *harness.Backend, id string, _ int) {
				o.mu.Lock()
				defer o.mu.Unlock()
				o.arrivals = append(o.arrivals, arrival{id: id, at: time.Now()})
			}
		}
		b, err := harness.StartBackend(cfg)
		if err != nil {
			return nil, nil, err
		}
		b.Report()
		if i == 0 {
			leaving = b
		}
	}
	return leaving, links, nil
}

// leave ends the reports of a backend, sends a DELETE to one daemon after the other until one acknowledges it, and ends the
// backend later. It returns the time of the acknowledgement.
func leave(c *harness.Case, b *harness.Backend, links []*harness.Link) time.Time {
	b.StopReports()
	c.Record.Printf("%s leaves: it sends no more reports", b.ID())
	for i := 1; ; i++ {
		l := links[i%len(links)]
		c.Record.Printf("%s: DELETE at %s", b.ID(), c.Fleet.Cores[i%len(links)].Name)
		if b.Delete(l.Address()) {
			acked := time.Now()
			c.Record.Printf("%s: DELETE is acknowledged by %s", b.ID(), c.Fleet.Cores[i%len(links)].Name)
			time.AfterFunc(serve, func() {
				c.Record.Printf("%s exits", b.ID())
				b.Crash()
			})
			return acked
		}
	}
}

func (o *observed) traffic(c *harness.Case, sending *sync.WaitGroup, d time.Duration) {
	for end := time.Now().Add(d); time.Now().Before(end); time.Sleep(interval) {
		front := c.Fleet.Fronts[rand.IntN(len(c.Fleet.Fronts))]
		r := harness.Request{
			ID: harness.NewID(), Method: http.MethodPost, Host: "orders.example", Path: "/orders/" + harness.NewID(), Key: -1,
			Deadline: 2 * time.Second, Body: []byte("forty auburn bobs"),
		}
		sending.Add(1)
		o.mu.Lock()
		o.sentAt[r.ID] = time.Now()
		o.mu.Unlock()
		go func() {
			defer sending.Done()
			c.Record.Printf("client: sends %s to %s", r.ID, front.Name)
			a := harness.Send(front.FrontAddress(), r)
			c.Record.Printf("client: %s answered %d after %v, error %v", r.ID, a.Status, a.Elapsed.Round(time.Millisecond), a.Err)
			o.mu.Lock()
			defer o.mu.Unlock()
			o.statuses[a.Status]++
		}()
	}
}

// breaches returns the requests that clients sent later than the bound after the acknowledgement and that reached the
// backend.
func (o *observed) breaches(rec *harness.Record, id string, acked time.Time) ([]string, error) {
	o.mu.Lock()
	defer o.mu.Unlock()
	rec.Printf("answers by status (0: none): %v", o.statuses)
	total := 0
	for _, n := range o.statuses {
		total += n
	}
	if o.statuses[http.StatusOK] < total/4 {
		return nil, fmt.Errorf("only %d of %d requests were served", o.statuses[http.StatusOK], total)
	}
	var out []string
	for _, a := range o.arrivals {
		if sent := o.sentAt[a.id]; sent.After(acked.Add(drain)) {
			out = append(out, fmt.Sprintf("DRAIN: %s, sent %.3f s after the acknowledgement of the leave, reached %s at %.3f", a.id,
				sent.Sub(acked).Seconds(), id, rec.Since(a.at)))
		}
	}
	return out, nil
}
