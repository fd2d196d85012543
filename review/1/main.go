// Command 1 shows that a status report that arrives seconds late, after a change of the leader, gives the keys of a backend
// to another one while the first still holds them.
package main

import (
	"fmt"
	"net/http"
	"time"

	"baobabreach/review/stage"
)

const (
	// reportDelay is how late the first report of the leaving backend arrives.
	reportDelay = 7 * time.Second
	// leaveAfter is the age at which the backend leaves, and stopAfter the time from then until the leader is stopped.
	leaveAfter = 4500 * time.Millisecond
	stopAfter  = 200 * time.Millisecond
	// watchTime is how long the holds are compared after the leave.
	watchTime = 11 * time.Second
	// maxSharedHold is how long two backends may hold the same keys.
	maxSharedHold  = 500 * time.Millisecond
	sampleInterval = 20 * time.Millisecond
	timeLimit      = 1500 * time.Millisecond
)

func main() { stage.Main("review/1", run) }

func run(rec *stage.Record, trouble bool) ([]string, error) {
	f, err := stage.NewFleet(rec, 2)
	if err != nil {
		return nil, err
	}
	defer f.Close()
	err = f.Configure([]stage.Service{{Name: "styles", Sharded: true}}, []stage.Route{{
		Name: "browse", Prefix: "/styles/", Type: "safe", Service: "styles", Timeout: 800 * time.Millisecond,
		Target: 400 * time.Millisecond, Attempts: 2,
	}}, 1<<20)
	if err != nil {
		return nil, err
	}
	backends := []*stage.Backend{
		{ID: "i-stays-1", Service: "styles", Zone: "zone-a", Sharded: true},
		{ID: "i-stays-2", Service: "styles", Zone: "zone-b", Sharded: true},
	}
	for _, b := range backends {
		if err := f.StartBackend(b); err != nil {
			return nil, err
		}
	}
	for _, key := range []int{0, 30000, 65000} {
		if err := f.AwaitService(http.MethodGet, "/styles/", key); err != nil {
			return nil, err
		}
	}
	stop := make(chan struct{})
	defer close(stop)
	for i, front := range f.Fronts {
		go browse(stage.NewCaller(fmt.Sprintf("c%d", i), f, front, 4), stop)
	}
	time.Sleep(stage.StableWindow)

	leaving := &stage.Backend{ID: "i-leaves", Service: "styles", Zone: "zone-c", Sharded: true}
	leader := f.CoreAt(backends[0].Leader())
	if leader == nil {
		return nil, fmt.Errorf("no leader is known")
	}
	if trouble {
		slowPath := f.BackendAddress()
		if err := stage.DelayProxy(slowPath, f.Registry(f.Follower(leader)), reportDelay); err != nil {
			return nil, err
		}
		leaving.NextRegistry = slowPath
		rec.Add("network: the first report of %s will arrive %v late", leaving.ID, reportDelay)
	}
	startedAt := time.Now()
	if err := f.StartBackend(leaving); err != nil {
		return nil, err
	}
	backends = append(backends, leaving)
	time.Sleep(time.Until(startedAt.Add(leaveAfter)))
	if _, holds := leaving.Held(); !holds {
		return nil, fmt.Errorf("the backend that leaves got no keys in %v", leaveAfter)
	}
	if _, err := leaving.Leave(); err != nil {
		return nil, err
	}
	rec.Add("backend %s: goes on to serve; its hold ends in %v", leaving.ID,
		time.Until(leaving.HoldEnd()).Round(time.Millisecond))
	from := time.Now()
	if trouble {
		from = startedAt.Add(reportDelay + stage.Thaw)
		time.AfterFunc(stopAfter, func() { _ = f.StopAndRestart(leader) })
	}
	return watch(rec, backends, from), nil
}

// watch compares the holds of the backends, from the given time on, and returns the pairs that held the same keys for too
// long.
func watch(rec *stage.Record, backends []*stage.Backend, from time.Time) []string {
	end := time.Now().Add(watchTime)
	time.Sleep(time.Until(from))
	var out []string
	sharedSince, reported := map[string]time.Time{}, map[string]bool{}
	for ; time.Now().Before(end); time.Sleep(sampleInterval) {
		for i, a := range backends {
			heldByA, ok := a.Held()
			if !ok {
				continue
			}
			for _, b := range backends[i+1:] {
				pair := a.ID + " and " + b.ID
				heldByB, _ := b.Held()
				first, last, n := sharedKeys(&heldByA, &heldByB)
				since, known := sharedSince[pair]
				switch {
				case n == 0:
					delete(sharedSince, pair)
				case !known:
					sharedSince[pair] = time.Now()
					rec.Add("check: %s both hold %d keys from %d to %d", pair, n, first, last)
				case time.Since(since) > maxSharedHold && !reported[pair]:
					reported[pair] = true
					out = append(out, fmt.Sprintf("OWNER: %s both hold %d keys from %d to %d for more than %v", pair, n, first, last,
						maxSharedHold))
				}
			}
		}
	}
	return out
}

func sharedKeys(a, b *[1 << 16]bool) (first, last, n int) {
	for k := range a {
		if a[k] && b[k] {
			if n == 0 {
				first = k
			}
			last, n = k, n+1
		}
	}
	return first, last, n
}

// browse sends a request every 50 ms, over all keys.
func browse(c *stage.Caller, stop <-chan struct{}) {
	for key := 0; ; key = (key + 4099) % (1 << 16) {
		select {
		case <-stop:
			return
		case <-time.After(50 * time.Millisecond):
			go c.Send(http.MethodGet, "/styles/", key, nil, timeLimit)
		}
	}
}
