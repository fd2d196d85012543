package soak

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"
)

const (
	heartbeat     = 300 * time.Millisecond
	reportTimeout = time.Second
	serviceTime   = 8 * time.Millisecond
	// serveAfterLeave is how long an upstream serves after its leave was acknowledged.
	serveAfterLeave = 4 * time.Second
)

// Backends are the upstreams of a run. They see each other's keys, so that each can tell whether it holds one alone.
type Backends struct {
	ledger     *Ledger
	registries []string

	mu   sync.Mutex
	all  []*Backend
	born int64
}

// Backend is one process of an upstream.
type Backend struct {
	fleet         *Backends
	id, service   string
	address       string
	keyed         bool
	born          int64
	server        *http.Server
	sequence      int
	url           string
	mu            sync.Mutex
	rows          [][]any
	until         time.Time
	released      [][]any
	dead, leaving bool
	leftAt        time.Time
	ctx           context.Context
	cancel        context.CancelFunc
}

// Start starts an upstream at a real address that is announced as another.
func (f *Backends) Start(id, service, real, announced string, keyed bool) (*Backend, error) {
	l, err := net.Listen("tcp", real)
	if err != nil {
		return nil, err
	}
	f.mu.Lock()
	f.born++
	b := &Backend{fleet: f, id: id, service: service, address: announced, keyed: keyed, born: f.born}
	f.all = append(f.all, b)
	f.mu.Unlock()
	b.ctx, b.cancel = context.WithCancel(context.Background())
	b.server = &http.Server{Handler: b}
	go func() { _ = b.server.Serve(l) }()
	go b.reportLoop()
	return b, nil
}

// Kill ends the process at once.
func (b *Backend) Kill() {
	b.mu.Lock()
	b.dead, b.rows = true, nil
	b.mu.Unlock()
	b.cancel()
	_ = b.server.Close()
}

// Leave announces that the upstream drains, and ends it some time after that was acknowledged.
func (b *Backend) Leave() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.leaving = true
}

// holds tells whether the upstream may run a request on the key.
func (b *Backend) holds(key int) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.dead || time.Now().After(b.until) {
		return false
	}
	for _, r := range b.rows {
		if int(r[0].(float64)) <= key && key <= int(r[1].(float64)) {
			return true
		}
	}
	return false
}

// alone reports a second upstream that holds the key.
func (f *Backends) alone(b *Backend, key int) {
	f.mu.Lock()
	all := append([]*Backend(nil), f.all...)
	f.mu.Unlock()
	for _, x := range all {
		if x != b && x.service == b.service && x.holds(key) && b.holds(key) {
			f.ledger.Violate("key %d is held by %s and %s", key, b.id, x.id)
		}
	}
}

// ServeHTTP runs a request as an upstream of the platform does.
func (b *Backend) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	id := r.Header.Get("Attempt-Id")
	w.Header().Set("Attempt-Id", id)
	if e := r.Header.Get("Expected-Instance"); e != "" && e != b.id {
		w.Header().Set("Not-Executed", "1")
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	b.mu.Lock()
	leftAt := b.leftAt
	b.mu.Unlock()
	if !leftAt.IsZero() {
		b.fleet.ledger.Late(id, b.id, time.Since(leftAt))
	}
	if b.keyed {
		key, err := strconv.Atoi(r.Header.Get("Shard-Key"))
		if err != nil || !b.holds(key) {
			w.Header().Set("Not-Executed", "1")
			w.WriteHeader(http.StatusMisdirectedRequest)
			return
		}
		b.fleet.alone(b, key)
	}
	b.fleet.ledger.Run(id, b.id, r.Method == http.MethodPost)
	time.Sleep(serviceTime)
	w.Header().Set("Response-Signature", b.id)
	w.Header().Set("Content-Length", strconv.Itoa(len(id)))
	_, _ = io.WriteString(w, id)
}

func (b *Backend) reportLoop() {
	next := 0
	for b.ctx.Err() == nil {
		pause := heartbeat
		ok := b.report(&next)
		b.mu.Lock()
		if len(b.released) > 0 {
			pause = heartbeat / 3
		}
		if !ok {
			pause = heartbeat / 6
		}
		end := !b.leftAt.IsZero() && time.Since(b.leftAt) > serveAfterLeave
		b.mu.Unlock()
		if end {
			b.depart(next)
			b.Kill()
			return
		}
		select {
		case <-b.ctx.Done():
		case <-time.After(pause):
		}
	}
}

// report sends one status report and takes the answer.
func (b *Backend) report(next *int) bool {
	b.mu.Lock()
	b.sequence++
	state := "ready"
	if b.leaving {
		state = "draining"
	}
	held := [][]any{}
	if time.Now().Before(b.until) {
		for _, r := range b.rows {
			held = append(held, r[:3])
		}
	}
	body, err := json.Marshal(map[string]any{
		"Service": b.service, "Address": b.address, "Zone": "z", "Version": "v1", "Slots": 4, "State": state,
		"WarmupLeft": "0ms", "Sequence": b.sequence, "born": b.born, "Holds": held, "Released": b.released,
	})
	target := b.url
	b.mu.Unlock()
	if err != nil {
		return false
	}
	if target == "" {
		target = b.fleet.registries[*next%len(b.fleet.registries)]
	}
	sent := time.Now()
	answer, ok := b.call(http.MethodPut, target, body)
	if !ok {
		b.mu.Lock()
		b.url = ""
		b.mu.Unlock()
		*next++
		return false
	}
	b.take(sent, answer)
	return true
}

func (b *Backend) take(sent time.Time, answer map[string]any) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.leaving && b.leftAt.IsZero() {
		b.leftAt = time.Now()
	}
	if u, ok := answer["HeartbeatUrl"].(string); ok {
		b.url = u
	}
	holds, ok := answer["Holds"].([]any)
	if !ok || b.dead {
		return
	}
	hold, err := time.ParseDuration(fmt.Sprint(answer["Hold"]))
	if err != nil {
		return
	}
	var rows [][]any
	for _, x := range holds {
		rows = append(rows, x.([]any))
	}
	b.released = nil
	for _, old := range b.rows {
		if !covered(old, rows) {
			b.released = append(b.released, []any{old[0], old[1], b.id})
		}
	}
	b.rows, b.until = rows, sent.Add(hold)
}

func covered(r []any, rows [][]any) bool {
	for _, x := range rows {
		if x[0].(float64) <= r[1].(float64) && r[0].(float64) <= x[1].(float64) {
			return true
		}
	}
	return false
}

func (b *Backend) depart(next int) {
	b.call(http.MethodDelete, b.fleet.registries[next%len(b.fleet.registries)], nil)
}

// call asks one registry. The answer counts only if it comes within a second.
func (b *Backend) call(method, address string, body []byte) (map[string]any, bool) {
	ctx, cancel := context.WithTimeout(b.ctx, reportTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, method, "http://"+address+"/baobabreach/instances/"+b.id, bytes.NewReader(body))
	if err != nil {
		return nil, false
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return nil, false
	}
	defer func() { _ = resp.Body.Close() }()
	var answer map[string]any
	if json.NewDecoder(resp.Body).Decode(&answer) != nil || resp.StatusCode != http.StatusOK {
		return nil, false
	}
	return answer, true
}
