package stage

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
	reportTimeout    = time.Second
	maxReportAnswer  = 4 << 10
	releaseInterval  = 100 * time.Millisecond
	keyCount         = 1 << 16
	slotsPerBackend  = 3
	queuePerBackend  = 12
	defaultWorkTime  = 100 * time.Millisecond
	idleConnTimeout  = 10 * time.Second
	responseBodySize = 400
)

// row is a granted range of keys.
type row struct {
	from, to, fence int
}

// Arrival is a request that reached a backend and was run.
type Arrival struct {
	ID string
	At time.Time
}

// Backend is a stand-in for an upstream process.
type Backend struct {
	ID, Service, Zone, Address string
	Sharded                    bool
	// WorkTime is the time to run one request.
	WorkTime time.Duration
	// NextRegistry, if set, is where the next report is sent. Once the backend has started, ReportNextTo sets it.
	NextRegistry string
	// Answer, if set, writes the answer to a request in place of the usual one. It returns false for the usual one.
	Answer func(w http.ResponseWriter, r *http.Request) bool

	fleet  *Fleet
	ctx    context.Context
	cancel context.CancelFunc
	server *http.Server
	born   int64
	slots  chan struct{}

	mu           sync.Mutex
	sequence     int
	rows         []row
	expiry       time.Time
	released     []row
	highestFence [keyCount]int
	heartbeatURL string
	registry     int
	working      map[int]int
	draining     bool
	arrivals     []Arrival
	// notAcknowledged counts the reports without an acknowledgement.
	notAcknowledged int
	inQueue         int
	reporting       bool
}

// StartBackend starts a backend that reports to the registries.
func (f *Fleet) StartBackend(b *Backend) error {
	b.fleet, b.Address = f, f.BackendAddress()
	if b.WorkTime == 0 {
		b.WorkTime = defaultWorkTime
	}
	l, err := net.Listen("tcp", b.Address)
	if err != nil {
		return err
	}
	b.ctx, b.cancel = context.WithCancel(context.Background())
	b.born, b.working, b.slots = time.Now().UnixMilli(), map[int]int{}, make(chan struct{}, slotsPerBackend)
	b.reporting = true
	b.server = &http.Server{Handler: b, IdleTimeout: idleConnTimeout}
	go func() { _ = b.server.Serve(l) }()
	go b.reportLoop()
	f.Record.Add("backend %s: started at %s, service %s", b.ID, b.Address, b.Service)
	return nil
}

// Stop ends the backend.
func (b *Backend) Stop() {
	b.cancel()
	_ = b.server.Close()
}

// Up reports whether the backend has not ended.
func (b *Backend) Up() bool { return b.ctx.Err() == nil }

// Held returns for each key whether the backend holds it, and whether it holds any.
func (b *Backend) Held() (keys [keyCount]bool, holdsAny bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if time.Now().After(b.expiry) || !b.Up() {
		return keys, false
	}
	for _, r := range b.rows {
		for k := r.from; k <= r.to; k++ {
			keys[k], holdsAny = true, true
		}
	}
	return keys, holdsAny
}

// HoldEnd returns the end of the present hold.
func (b *Backend) HoldEnd() time.Time {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.expiry
}

// Leader returns the registry address that the last report was referred to.
func (b *Backend) Leader() string {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.heartbeatURL
}

// ReportNextTo makes the next report go to the address.
func (b *Backend) ReportNextTo(registry string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.NextRegistry = registry
}

// NotAcknowledged returns the number of reports without an acknowledgement.
func (b *Backend) NotAcknowledged() int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.notAcknowledged
}

// Arrivals returns the requests that the backend has run.
func (b *Backend) Arrivals() []Arrival {
	b.mu.Lock()
	defer b.mu.Unlock()
	return append([]Arrival(nil), b.arrivals...)
}

func (b *Backend) reportLoop() {
	failures := 0
	for b.ctx.Err() == nil {
		b.mu.Lock()
		reporting := b.reporting
		b.mu.Unlock()
		if !reporting {
			return
		}
		pause := Heartbeat
		if b.report() {
			failures = 0
		} else if failures++; failures%replicaCount != 0 {
			// The next daemon is called at once, until all have been called.
			pause = 0
		}
		b.mu.Lock()
		if len(b.released) > 0 {
			pause = releaseInterval
		}
		b.mu.Unlock()
		select {
		case <-b.ctx.Done():
		case <-time.After(pause):
		}
	}
}

// message returns the body of the next status report and the address that it goes to.
func (b *Backend) message() (body []byte, target string, sequence int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.sequence++
	held, released := [][]any{}, [][]any{}
	if time.Now().Before(b.expiry) {
		for _, r := range b.rows {
			held = append(held, []any{r.from, r.to, r.fence})
		}
	}
	for _, r := range b.released {
		released = append(released, []any{r.from, r.to, "00c0ffee00c0ffee"})
	}
	state := "ready"
	if b.draining {
		state = "draining"
	}
	body, _ = json.Marshal(map[string]any{
		"Service": b.Service, "Address": b.Address, "Zone": b.Zone, "Version": "v1", "Slots": slotsPerBackend, "State": state,
		"WarmupLeft": "0ms", "Sequence": b.sequence, "born": b.born, "Holds": held, "Released": released,
	})
	target = b.heartbeatURL
	if target == "" {
		target = b.fleet.Registries()[b.registry%replicaCount]
	}
	if b.NextRegistry != "" {
		target, b.NextRegistry = b.NextRegistry, ""
	}
	return body, target, b.sequence
}

// report sends one status report. It returns false if the next daemon is to be called at once.
func (b *Backend) report() bool {
	body, target, sequence := b.message()
	sentAt := time.Now()
	status, answer, err := b.call(http.MethodPut, target, body)
	b.mu.Lock()
	defer b.mu.Unlock()
	if err != nil || status/100 != 2 || len(answer) > maxReportAnswer {
		b.fleet.Record.Add("backend %s: report %d to %s not acknowledged: status %d, %d bytes, %v", b.ID, sequence, target, status,
			len(answer), err)
		b.heartbeatURL = ""
		b.registry++
		b.notAcknowledged++
		return false
	}
	var grant struct {
		HeartbeatUrl string //nolint:revive // the name is the platform's
		Holds        *[][]any
		Hold         string
	}
	if err := json.Unmarshal(answer, &grant); err != nil {
		return false
	}
	if grant.HeartbeatUrl != "" {
		b.heartbeatURL = grant.HeartbeatUrl
	}
	b.released = nil
	if grant.Holds == nil {
		return true
	}
	hold, err := time.ParseDuration(grant.Hold)
	if err != nil {
		return true
	}
	b.takeGrant(sentAt, hold, *grant.Holds)
	return true
}

// takeGrant replaces the rows by those of a grant. The caller holds mu.
func (b *Backend) takeGrant(sentAt time.Time, hold time.Duration, granted [][]any) {
	var rows []row
	for _, g := range granted {
		r := row{from: number(g[0]), to: number(g[1]), fence: number(g[2])}
		accepted := true
		for k := r.from; k <= r.to; k++ {
			accepted = accepted && r.fence >= b.highestFence[k]
		}
		if !accepted {
			continue
		}
		for k := r.from; k <= r.to; k++ {
			b.highestFence[k] = r.fence
		}
		rows = append(rows, r)
	}
	before, after := describe(b.rows), describe(rows)
	if time.Now().Before(b.expiry) {
		b.released = missing(b.rows, rows)
	}
	b.rows, b.expiry = rows, sentAt.Add(hold)
	if before != after {
		b.fleet.Record.Add("backend %s: granted for %v from the report: %s", b.ID, hold, after)
	}
}

func number(v any) int {
	f, _ := v.(float64)
	return int(f)
}

func describe(rows []row) string {
	var out bytes.Buffer
	for _, r := range rows {
		fmt.Fprintf(&out, "[%d-%d fence %d]", r.from, r.to, r.fence)
	}
	if out.Len() == 0 {
		return "no keys"
	}
	return out.String()
}

// missing returns the old rows that no new row overlaps.
func missing(old, current []row) []row {
	var out []row
	for _, o := range old {
		found := false
		for _, c := range current {
			found = found || c.from <= o.to && o.from <= c.to
		}
		if !found {
			out = append(out, o)
		}
	}
	return out
}

// call sends a request to a registry. It fails unless the answer arrives in time.
func (b *Backend) call(method, target string, body []byte) (int, []byte, error) {
	ctx, cancel := context.WithTimeout(b.ctx, reportTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, method, "http://"+target+"/baobabreach/instances/"+b.ID, bytes.NewReader(body))
	if err != nil {
		return 0, nil, err
	}
	req.Header.Set("Content-Type", "application/json")
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return 0, nil, err
	}
	defer func() { _ = resp.Body.Close() }()
	answer, err := io.ReadAll(resp.Body)
	return resp.StatusCode, answer, err
}

// Drain reports that the backend drains and waits until the report is acknowledged and the keys are given back.
func (b *Backend) Drain() {
	b.mu.Lock()
	b.draining = true
	b.mu.Unlock()
	b.fleet.Record.Add("backend %s: drains", b.ID)
	for end := time.Now().Add(maxDrain); time.Now().Before(end); time.Sleep(releaseInterval) {
		if _, holdsAny := b.Held(); !holdsAny {
			break
		}
	}
	time.Sleep(Drain)
}

// maxDrain is how long a backend waits until its keys are taken from it.
const maxDrain = 10 * time.Second

// Leave says that the backend is gone, without having drained, and returns the time of the acknowledgement. The backend goes
// on to serve and to hold its keys, but reports no more.
func (b *Backend) Leave() (time.Time, error) {
	b.mu.Lock()
	b.reporting = false
	target := b.heartbeatURL
	b.mu.Unlock()
	for i := range 2 * replicaCount {
		if target == "" {
			target = b.fleet.Registries()[i%replicaCount]
		}
		status, _, err := b.call(http.MethodDelete, target, nil)
		b.fleet.Record.Add("backend %s: DELETE sent to %s, status %d, %v", b.ID, target, status, err)
		if err == nil && status/100 == 2 {
			return time.Now(), nil
		}
		target = ""
	}
	return time.Time{}, fmt.Errorf("the leave of %s was not acknowledged", b.ID)
}

// ServeHTTP runs a request as a sound backend does.
func (b *Backend) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	id := r.Header.Get("Attempt-Id")
	w.Header().Set("Attempt-Id", id)
	if r.URL.Path == "/health" {
		w.Header().Set("Instance-Id", b.ID)
		return
	}
	if e := r.Header.Get("Expected-Instance"); e != "" && e != b.ID {
		reject(w, http.StatusMisdirectedRequest)
		return
	}
	key, _ := strconv.Atoi(r.Header.Get("Shard-Key"))
	if b.Sharded && !b.holds(key) {
		reject(w, http.StatusMisdirectedRequest)
		return
	}
	if !b.takeSlot() {
		reject(w, http.StatusServiceUnavailable)
		return
	}
	defer func() { <-b.slots }()
	_, _ = io.Copy(io.Discard, r.Body)
	b.mu.Lock()
	b.arrivals = append(b.arrivals, Arrival{ID: id, At: time.Now()})
	b.mu.Unlock()
	b.fleet.Record.Add("backend %s: runs %s", b.ID, id)
	if b.Answer != nil && b.Answer(w, r) {
		return
	}
	select {
	case <-time.After(b.WorkTime):
	case <-r.Context().Done():
		return
	}
	w.Header().Set("Response-Signature", "signed."+b.ID+"."+id)
	w.Header().Set("Content-Length", strconv.Itoa(responseBodySize))
	_, _ = w.Write(bytes.Repeat([]byte("x"), responseBodySize))
}

func reject(w http.ResponseWriter, status int) {
	w.Header().Set("Not-Executed", "1")
	w.Header().Set("Content-Length", "0")
	w.WriteHeader(status)
}

func (b *Backend) holds(key int) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if time.Now().After(b.expiry) {
		return false
	}
	for _, r := range b.rows {
		if r.from <= key && key <= r.to {
			return true
		}
	}
	return false
}

// takeSlot waits for a slot. It returns false if the queue is full.
func (b *Backend) takeSlot() bool {
	b.mu.Lock()
	if b.inQueue >= queuePerBackend {
		b.mu.Unlock()
		return false
	}
	b.inQueue++
	b.mu.Unlock()
	b.slots <- struct{}{}
	b.mu.Lock()
	b.inQueue--
	b.mu.Unlock()
	return true
}
