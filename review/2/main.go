// Command 2 shows that a status report that arrives seconds late, after a change of the leader, brings a backend back into
// use that has left.
package main

import (
	"fmt"
	"net/http"
	"sync"
	"time"

	"baobabreach/review/stage"
)

const (
	// reportDelay is how late the last report before the leave arrives.
	reportDelay = 4 * time.Second
	// stopAfter is the time from the acknowledgement of the leave until the leader is stopped.
	stopAfter = 200 * time.Millisecond
	// serveAfterLeave is how long the backend goes on to serve after the acknowledgement.
	serveAfterLeave = 9 * time.Second
	requestInterval = 50 * time.Millisecond
	timeLimit       = 2 * time.Second
)

func main() { stage.Main("review/2", run) }

func run(rec *stage.Record, trouble bool) ([]string, error) {
	f, err := stage.NewFleet(rec, 3)
	if err != nil {
		return nil, err
	}
	defer f.Close()
	err = f.Configure([]stage.Service{{Name: "orders"}}, []stage.Route{{
		Name: "order", Prefix: "/orders/", Type: "unsafe", Service: "orders", Timeout: 1500 * time.Millisecond,
		Target: 800 * time.Millisecond, Attempts: 2,
	}}, 1<<20)
	if err != nil {
		return nil, err
	}
	backends := []*stage.Backend{
		{ID: "i-stays-1", Service: "orders", Zone: "zone-a"},
		{ID: "i-stays-2", Service: "orders", Zone: "zone-b"},
		{ID: "i-leaves", Service: "orders", Zone: "zone-c"},
	}
	for _, b := range backends {
		if err := f.StartBackend(b); err != nil {
			return nil, err
		}
	}
	if err := f.AwaitService(http.MethodPost, "/orders/", -1); err != nil {
		return nil, err
	}
	failed := &failedOrders{ids: map[string]bool{}}
	stop := make(chan struct{})
	defer close(stop)
	for i, front := range f.Fronts {
		go order(stage.NewCaller(fmt.Sprintf("c%d", i), f, front, 8), failed, stop)
	}
	time.Sleep(stage.StableWindow)

	leaving := backends[2]
	leader := f.CoreAt(leaving.Leader())
	if leader == nil {
		return nil, fmt.Errorf("no leader is known")
	}
	if trouble {
		slowPath := f.BackendAddress()
		if err := stage.DelayProxy(slowPath, f.Registry(f.Follower(leader)), reportDelay); err != nil {
			return nil, err
		}
		rec.Add("network: the next report of %s will arrive %v late", leaving.ID, reportDelay)
		before := leaving.NotAcknowledged()
		leaving.ReportNextTo(slowPath)
		for leaving.NotAcknowledged() == before {
			time.Sleep(10 * time.Millisecond)
		}
	}
	leftAt, err := leaving.Leave()
	if err != nil {
		return nil, err
	}
	calmAt := leftAt
	if trouble {
		time.Sleep(stopAfter)
		if err := f.StopAndRestart(leader); err != nil {
			return nil, err
		}
		calmAt = time.Now()
	}
	time.Sleep(time.Until(leftAt.Add(serveAfterLeave)))
	leaving.Stop()
	rec.Add("backend %s: ended", leaving.ID)
	time.Sleep(timeLimit)
	n := failed.of(leaving)
	rec.Add("callers: %d orders that %s had begun ended without its answer", n, leaving.ID)
	fmt.Println(n, "orders that the backend had begun ended without its answer")
	return late(leaving, leftAt, calmAt.Add(stage.StableWindow)), nil
}

// late returns a violation if requests reached the backend later than the drain time after its leave was acknowledged, from
// machines in touch, which they are again at inTouchAt.
func late(b *stage.Backend, leftAt, inTouchAt time.Time) []string {
	from := leftAt.Add(stage.Drain)
	if inTouchAt.After(from) {
		from = inTouchAt
	}
	// A request that reached the backend in the first time limit may have been sent before.
	from = from.Add(timeLimit)
	n, last := 0, time.Duration(0)
	for _, a := range b.Arrivals() {
		if a.At.After(from) {
			n, last = n+1, a.At.Sub(leftAt)
		}
	}
	if n == 0 {
		return nil
	}
	return []string{fmt.Sprintf("DRAIN: %d requests reached %s from machines in touch, the last %v after the ack of its leave",
		n, b.ID, last.Round(time.Millisecond))}
}

// order sends orders until stop is closed, and passes on those that were not answered 200.
func order(c *stage.Caller, failed *failedOrders, stop <-chan struct{}) {
	for {
		select {
		case <-stop:
			return
		case <-time.After(requestInterval):
			go func() {
				if r := c.Send(http.MethodPost, "/orders/", -1, []byte("forty auburn bobs"), timeLimit); r.Status != http.StatusOK {
					failed.add(r.ID)
				}
			}()
		}
	}
}

// failedOrders holds the IDs of orders that were not answered 200.
type failedOrders struct {
	mu  sync.Mutex
	ids map[string]bool
}

func (o *failedOrders) add(id string) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.ids[id] = true
}

// of returns the number of them that the backend had begun to run.
func (o *failedOrders) of(b *stage.Backend) int {
	o.mu.Lock()
	defer o.mu.Unlock()
	n := 0
	for _, a := range b.Arrivals() {
		if o.ids[a.ID] {
			n++
		}
	}
	return n
}
