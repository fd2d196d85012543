package harness

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"
)

const (
	// Heartbeat is the interval of status reports.
	Heartbeat = 870 * time.Millisecond
	// reportTimeout is how long a backend waits for the answer to a report before it calls the next daemon.
	reportTimeout = time.Second
	// releaseInterval is the time to the next report while keys are being released.
	releaseInterval = 100 * time.Millisecond
	// maxReportAnswer is the largest answer to a report that a backend reads.
	maxReportAnswer = 4 << 10
)

// BackendConfig describes a backend.
type BackendConfig struct {
	ID, Service, Address, Zone string
	// Born is the start in Unix milliseconds; 0 means now.
	Born           int64
	Sharded        bool
	Slots, Queue   int
	Work           func(r *http.Request) time.Duration
	Record         *Record
	ControlAddress []string
	// Dial opens the connections of reports. Nil dials the address itself.
	Dial func(ctx context.Context, network, address string) (net.Conn, error)
	// OnArrival sees each request that is not a health probe, before it is answered. It may be nil.
	OnArrival func(b *Backend, id string, status int)
	// OnRun sees each request that begins to run. It may be nil. If it returns false, the connection is reset without an answer.
	OnRun func(b *Backend, r *http.Request, id string) bool
}

// row is a range of keys with its generation number.
type row struct {
	first, last int
	fence       uint64
}

func (r row) has(key int) bool { return r.first <= key && key <= r.last }

func (r row) overlaps(o row) bool { return r.first <= o.last && o.first <= r.last }

// work is a request that a backend runs.
type work struct {
	key int
	row row
}

// Backend is a stand-in for a backend of the platform. It is safe for concurrent use.
type Backend struct {
	cfg      BackendConfig
	listener net.Listener
	client   *http.Client
	ctx      context.Context
	cancel   context.CancelFunc
	slots    chan struct{}

	mu       sync.Mutex
	queued   int
	held     []row
	until    time.Time
	released [][]any
	// highest holds the highest generation number seen for each granted range.
	highest      []row
	working      map[*work]bool
	sequence     int
	heartbeatURL string
	silent       bool
	conns        map[net.Conn]bool
}

// StartBackend starts a backend that listens and reports itself.
func StartBackend(cfg BackendConfig) (*Backend, error) {
	if cfg.Born == 0 {
		cfg.Born = time.Now().UnixMilli()
	}
	l, err := net.Listen("tcp", cfg.Address)
	if err != nil {
		return nil, fmt.Errorf("listen for %s: %w", cfg.ID, err)
	}
	b := &Backend{
		cfg: cfg, listener: l, slots: make(chan struct{}, cfg.Slots), working: map[*work]bool{}, conns: map[net.Conn]bool{},
	}
	b.ctx, b.cancel = context.WithCancel(context.Background())
	b.client = &http.Client{Transport: &http.Transport{DialContext: cfg.Dial, MaxIdleConnsPerHost: 2}}
	go b.accept()
	return b, nil
}

// ID returns the Id of the backend.
func (b *Backend) ID() string { return b.cfg.ID }

// Address returns the address of the backend.
func (b *Backend) Address() string { return b.cfg.Address }

// Zone returns the zone of the backend.
func (b *Backend) Zone() string { return b.cfg.Zone }

// Report starts the status reports.
func (b *Backend) Report() { go b.reportLoop() }

// Crash ends the backend at once: its connections are reset and its address refuses connections.
func (b *Backend) Crash() {
	b.cancel()
	_ = b.listener.Close()
	b.mu.Lock()
	defer b.mu.Unlock()
	for c := range b.conns {
		if t, ok := c.(*net.TCPConn); ok {
			_ = t.SetLinger(0)
		}
		_ = c.Close()
	}
	b.held = nil
}

// Ended reports whether the backend has ended.
func (b *Backend) Ended() bool { return b.ctx.Err() != nil }

// StopReports ends the reports, as before a DELETE.
func (b *Backend) StopReports() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.silent = true
}

// Holds returns the range that the backend holds with the key, whether or not it still runs a request of it.
func (b *Backend) Holds(key int) (fence uint64, ok bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.holds(key)
}

func (b *Backend) holds(key int) (uint64, bool) {
	if time.Now().After(b.until) {
		return 0, false
	}
	for _, r := range b.held {
		if r.has(key) {
			return r.fence, true
		}
	}
	return 0, false
}

// HeldKeys returns the number of keys that the backend holds.
func (b *Backend) HeldKeys() int {
	b.mu.Lock()
	defer b.mu.Unlock()
	n := 0
	if time.Now().Before(b.until) {
		for _, r := range b.held {
			n += r.last - r.first + 1
		}
	}
	return n
}

func (b *Backend) reportBody() []byte {
	b.sequence++
	m := map[string]any{
		"Service": b.cfg.Service, "Address": b.cfg.Address, "Zone": b.cfg.Zone, "Version": "v1", "Slots": b.cfg.Slots,
		"State": "ready", "WarmupLeft": "0ms", "Sequence": b.sequence, "born": b.cfg.Born,
	}
	if b.cfg.Sharded {
		holds := [][]any{}
		if time.Now().After(b.until) {
			b.held = nil
		}
		listed := append([]row{}, b.held...)
		for w := range b.working {
			listed = appendMissing(listed, w.row)
		}
		for _, r := range listed {
			holds = append(holds, []any{r.first, r.last, r.fence})
		}
		released := [][]any{}
		released = append(released, b.released...)
		m["Holds"], m["Released"] = holds, released
	}
	body, err := json.Marshal(m)
	if err != nil {
		panic(err) // All values are plain.
	}
	return body
}

func appendMissing(rows []row, r row) []row {
	for _, x := range rows {
		if x == r {
			return rows
		}
	}
	return append(rows, r)
}

func (b *Backend) reportLoop() {
	next := 0
	for b.ctx.Err() == nil {
		b.mu.Lock()
		if b.silent {
			b.mu.Unlock()
			return
		}
		address := b.heartbeatURL
		if address == "" {
			address = b.cfg.ControlAddress[next%len(b.cfg.ControlAddress)]
		}
		body, sentReleased := b.reportBody(), len(b.released)
		b.mu.Unlock()
		sentAt := time.Now()
		answer, err := b.put(address, body)
		wait := Heartbeat
		b.mu.Lock()
		if err != nil {
			b.heartbeatURL = ""
			next++
			wait = releaseInterval
		} else {
			b.released = b.released[sentReleased:]
			if b.apply(sentAt, answer) {
				wait = releaseInterval
			}
		}
		b.mu.Unlock()
		select {
		case <-b.ctx.Done():
		case <-time.After(wait):
		}
	}
}

// reportAnswer is the answer to a status report.
type reportAnswer struct {
	HeartbeatURL string `json:"HeartbeatUrl"`
	Holds        *[][]any
	Hold         string
}

func (b *Backend) put(address string, body []byte) (reportAnswer, error) {
	ctx, cancel := context.WithTimeout(b.ctx, reportTimeout)
	defer cancel()
	return b.putWith(ctx, address, body)
}

func (b *Backend) putWith(ctx context.Context, address string, body []byte) (reportAnswer, error) {
	var a reportAnswer
	req, err := http.NewRequestWithContext(ctx, http.MethodPut, "http://"+address+"/baobabreach/instances/"+b.cfg.ID,
		bytes.NewReader(body))
	if err != nil {
		return a, fmt.Errorf("create report: %w", err)
	}
	req.GetBody = nil
	req.Header.Set("Content-Type", "application/json")
	resp, err := b.client.Do(req)
	if err != nil {
		return a, fmt.Errorf("report: %w", err)
	}
	defer func() { _ = resp.Body.Close() }()
	answer, err := io.ReadAll(io.LimitReader(resp.Body, maxReportAnswer+1))
	if err != nil {
		return a, fmt.Errorf("read answer to report: %w", err)
	}
	if resp.StatusCode/100 != 2 || len(answer) > maxReportAnswer {
		return a, fmt.Errorf("report: status %d, %d bytes", resp.StatusCode, len(answer))
	}
	if err := json.Unmarshal(answer, &a); err != nil {
		return a, fmt.Errorf("decode answer to report: %w", err)
	}
	return a, nil
}

// apply takes over the grant in an answer. It returns true if keys are still being released. The caller holds mu.
func (b *Backend) apply(sentAt time.Time, a reportAnswer) bool {
	b.heartbeatURL = a.HeartbeatURL
	if !b.cfg.Sharded || a.Holds == nil {
		return false
	}
	hold, err := time.ParseDuration(a.Hold)
	if err != nil {
		return false
	}
	if time.Now().After(b.until) {
		b.held = nil
	}
	var granted []row
	for _, v := range *a.Holds {
		r := row{first: toInt(v[0]), last: toInt(v[1]), fence: uint64(toInt(v[2]))}
		if !b.outdated(r) {
			granted = append(granted, r)
			b.remember(r)
		}
	}
	for _, old := range b.held {
		if !covered(old, granted) {
			b.released = append(b.released, []any{old.first, old.last, fmt.Sprintf("%s-%d", b.cfg.ID, old.fence)})
		}
	}
	b.held, b.until = granted, sentAt.Add(hold)
	return len(b.released) > 0
}

func covered(r row, rows []row) bool {
	n := 0
	for _, x := range rows {
		if x.overlaps(r) {
			n += min(x.last, r.last) - max(x.first, r.first) + 1
		}
	}
	return n == r.last-r.first+1
}

func (b *Backend) outdated(r row) bool {
	for _, h := range b.highest {
		if h.overlaps(r) && h.fence > r.fence {
			return true
		}
	}
	return false
}

func (b *Backend) remember(r row) {
	kept := b.highest[:0]
	for _, h := range b.highest {
		if !(r.first <= h.first && h.last <= r.last) {
			kept = append(kept, h)
		}
	}
	b.highest = append(kept, r)
}

func toInt(v any) int {
	f, _ := v.(float64)
	if f > math.MaxInt32 {
		return math.MaxInt32
	}
	return int(f)
}

// Delete tells a daemon that the backend leaves, and reports whether that was acknowledged.
func (b *Backend) Delete(address string) bool {
	status, err := call(http.MethodDelete, address, "/baobabreach/instances/"+b.cfg.ID, nil)
	return err == nil && status/100 == 2
}

// DeleteKept is like Delete, but uses the connection of the reports.
func (b *Backend) DeleteKept() bool {
	b.mu.Lock()
	address := b.heartbeatURL
	b.mu.Unlock()
	if address == "" {
		address = b.cfg.ControlAddress[0]
	}
	ctx, cancel := context.WithTimeout(b.ctx, reportTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodDelete, "http://"+address+"/baobabreach/instances/"+b.cfg.ID, nil)
	if err != nil {
		return false
	}
	resp, err := b.client.Do(req)
	if err != nil {
		return false
	}
	_ = resp.Body.Close()
	return resp.StatusCode/100 == 2
}

func (b *Backend) accept() {
	for {
		c, err := b.listener.Accept()
		if err != nil {
			return
		}
		b.mu.Lock()
		b.conns[c] = true
		b.mu.Unlock()
		go b.serve(c)
	}
}

func (b *Backend) serve(c net.Conn) {
	defer func() {
		_ = c.Close()
		b.mu.Lock()
		delete(b.conns, c)
		b.mu.Unlock()
	}()
	br := bufio.NewReader(c)
	for {
		r, err := http.ReadRequest(br)
		if err != nil {
			return
		}
		if _, err := io.Copy(io.Discard, r.Body); err != nil {
			return
		}
		answer := b.handle(r)
		if answer == nil {
			return
		}
		if _, err := c.Write(answer); err != nil {
			return
		}
	}
}

// handle answers a request. A nil answer resets the connection.
func (b *Backend) handle(r *http.Request) []byte {
	id := r.Header.Get("Attempt-Id")
	if r.Method == http.MethodGet && r.URL.Path == "/health" {
		return encodeAnswer(http.StatusOK, map[string]string{"Instance-Id": b.cfg.ID}, nil)
	}
	refuse := func(status int) []byte {
		b.arrived(id, status)
		return encodeAnswer(status, map[string]string{"Attempt-Id": id, "Not-Executed": "1"}, nil)
	}
	if e := r.Header.Get("Expected-Instance"); e != "" && e != b.cfg.ID {
		return refuse(http.StatusMisdirectedRequest)
	}
	if !b.enter(r) {
		return refuse(http.StatusServiceUnavailable)
	}
	defer func() { <-b.slots }()
	w := &work{key: -1}
	if b.cfg.Sharded {
		key, err := strconv.Atoi(r.Header.Get("Shard-Key"))
		if err != nil || !b.begin(w, key) {
			return refuse(http.StatusMisdirectedRequest)
		}
		defer b.end(w)
	}
	b.arrived(id, 0)
	b.cfg.Record.Printf("%s: runs %s key %d generation %d", b.cfg.ID, id, w.key, w.row.fence)
	if b.cfg.OnRun != nil && !b.cfg.OnRun(b, r, id) {
		return nil
	}
	select {
	case <-b.ctx.Done():
		return nil
	case <-time.After(b.cfg.Work(r)):
	}
	header := map[string]string{"Attempt-Id": id, "Response-Signature": b.cfg.ID + "." + id, "Keep-Alive": "timeout=10"}
	return encodeAnswer(http.StatusOK, header, []byte("done by "+b.cfg.ID))
}

func (b *Backend) arrived(id string, status int) {
	if status != 0 {
		b.cfg.Record.Printf("%s: refuses %s with %d", b.cfg.ID, id, status)
	}
	if b.cfg.OnArrival != nil {
		b.cfg.OnArrival(b, id, status)
	}
}

// enter waits for a slot. It returns false if the queue is full or the time limit passes before.
func (b *Backend) enter(r *http.Request) bool {
	select {
	case b.slots <- struct{}{}:
		return true
	default:
	}
	b.mu.Lock()
	full := b.queued >= b.cfg.Queue
	if !full {
		b.queued++
	}
	b.mu.Unlock()
	if full {
		return false
	}
	defer func() {
		b.mu.Lock()
		b.queued--
		b.mu.Unlock()
	}()
	limit := 30 * time.Second
	if ms, err := strconv.Atoi(r.Header.Get("Deadline-Ms")); err == nil {
		limit = time.Duration(ms) * time.Millisecond
	}
	select {
	case b.slots <- struct{}{}:
		return true
	case <-time.After(limit):
		return false
	case <-b.ctx.Done():
		return false
	}
}

// begin starts the work on a key if the backend holds it.
func (b *Backend) begin(w *work, key int) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if _, ok := b.holds(key); !ok {
		return false
	}
	for _, r := range b.held {
		if r.has(key) {
			w.key, w.row = key, r
		}
	}
	b.working[w] = true
	return true
}

func (b *Backend) end(w *work) {
	b.mu.Lock()
	defer b.mu.Unlock()
	delete(b.working, w)
}

func encodeAnswer(status int, header map[string]string, body []byte) []byte {
	var out bytes.Buffer
	fmt.Fprintf(&out, "HTTP/1.1 %d %s\r\nContent-Length: %d\r\n", status, http.StatusText(status), len(body))
	for k, v := range header {
		fmt.Fprintf(&out, "%s: %s\r\n", k, v)
	}
	out.WriteString("\r\n")
	out.Write(body)
	return out.Bytes()
}
