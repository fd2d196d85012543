// Package stub implements a stub upstream for the demo and the scenario tests. It announces itself to the entry hosts,
// checks grants, counts executions and drains on request.
package stub

import (
	"context"
	"encoding/json"
	"io"
	"maps"
	"net/http"
	"strconv"
	"sync"
	"time"

	"baobabreach/internal/errs"
	"baobabreach/internal/model"
	"baobabreach/internal/peer"
	"baobabreach/pkg/grant"
	"baobabreach/pkg/proto"

	"github.com/go-faster/errors"
)

// Config holds the settings of an Upstream.
type Config struct {
	Name       string
	Address    string
	DataCentre string
	Service    string
	Slots      int
	// Entries holds the control addresses of entry hosts. The next one is tried after a failed announcement.
	Entries      []string
	Token        string
	ChecksGrants bool
	Keyed        bool
	ServiceTime  time.Duration
	Incarnation  uint64
	Clock        func() time.Duration
	Client       *http.Client
	Faults       Faults
	// Record receives one JSON line per execution, written before the execution starts; nil disables recording.
	Record io.Writer
	// Exit terminates the process when a request body contains Faults.CrashBody.
	Exit func()
}

// CrashExitStatus is the exit status of an injected crash.
const CrashExitStatus = 3

// Execution is the record of one execution of a request.
type Execution struct {
	RequestID string `json:"request_id"`
	Upstream  string `json:"upstream"`
	Service   string `json:"service"`
	// Range and Epoch are 0 for a service without keys.
	Range uint64 `json:"range,omitempty"`
	Epoch uint64 `json:"epoch,omitempty"`
	// StartNs is the wall clock in nanoseconds since the Unix epoch.
	StartNs int64 `json:"start_ns"`
	// ServiceNs is the service time in nanoseconds.
	ServiceNs int64 `json:"service_ns"`
}

// Upstream is a stub upstream. It is safe for concurrent use.
type Upstream struct {
	cfg Config

	mu              sync.Mutex
	grants          *grant.Holder
	inFlight        int
	draining        bool
	executionCounts map[string]int
	entryIndex      int
	injector        *faultInjector
	// faultsReplaced is closed and replaced whenever the faults are replaced.
	faultsReplaced chan struct{}
}

// Stats is the response body of PathStats.
type Stats struct {
	Name string `json:"name"`
	// ExecutionCounts is the number of executions per request ID.
	ExecutionCounts map[string]int `json:"runs"`
	// Epochs maps the IDs of the granted ranges to their epochs.
	Epochs map[uint64]uint64 `json:"epochs"`
}

// New returns an upstream without grants.
func New(cfg Config) *Upstream {
	return &Upstream{
		cfg: cfg, grants: grant.NewHolder(), executionCounts: map[string]int{},
		injector: newFaultInjector(cfg.Faults), faultsReplaced: make(chan struct{}),
	}
}

// Announce sends announcements to the entry hosts until ctx is done.
func (u *Upstream) Announce(ctx context.Context) {
	for ctx.Err() == nil {
		u.waitWhileFrozen(ctx.Done())
		wait := u.announceOnce(ctx)
		select {
		case <-ctx.Done():
		case <-time.After(wait):
		}
	}
}

// Drain announces that the upstream is draining. It returns once the leader has confirmed that the upstream owns nothing
// and gets no new work, and no request is in flight, or ctx is done.
func (u *Upstream) Drain(ctx context.Context) {
	u.mu.Lock()
	u.draining = true
	u.mu.Unlock()
	t := time.NewTicker(announceRetry)
	defer t.Stop()
	for {
		u.mu.Lock()
		drained := u.grants.Drained() && u.inFlight == 0
		u.mu.Unlock()
		if drained {
			return
		}
		select {
		case <-ctx.Done():
			return
		case <-t.C:
		}
	}
}

const (
	announceTimeout = 300 * time.Millisecond
	announceRetry   = 50 * time.Millisecond
)

func (u *Upstream) announceOnce(ctx context.Context) time.Duration {
	ctx, cancel := context.WithTimeout(ctx, announceTimeout)
	defer cancel()
	a, entry := u.buildAnnouncement()
	sentAt := u.cfg.Clock()
	g, err := peer.Call[proto.Announcement, proto.Grant](ctx, u.cfg.Client, "http://"+entry+peer.PathAnnounce, u.cfg.Token, a)
	if err != nil {
		u.mu.Lock()
		u.entryIndex++
		u.mu.Unlock()
		return announceRetry
	}
	return u.installGrant(sentAt, g)
}

func (u *Upstream) buildAnnouncement() (proto.Announcement, string) {
	u.mu.Lock()
	defer u.mu.Unlock()
	a := proto.Announcement{
		Name: u.cfg.Name, Address: u.cfg.Address, DataCentre: u.cfg.DataCentre, Service: u.cfg.Service,
		Slots: u.cfg.Slots, Incarnation: u.cfg.Incarnation, ChecksGrants: u.cfg.ChecksGrants,
		Draining: u.draining, InFlight: u.inFlight, Released: u.grants.Released(),
	}
	if u.injector.FalseLoad > 0 {
		a.InFlight = u.injector.FalseLoad
	}
	return a, u.cfg.Entries[u.entryIndex%len(u.cfg.Entries)]
}

// installGrant installs a grant and returns the delay until the next announcement.
func (u *Upstream) installGrant(sentAt time.Duration, g proto.Grant) time.Duration {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.grants.Take(u.cfg.Clock(), sentAt, g)
	return time.Duration(g.NextMs) * time.Millisecond
}

// ServeHTTP serves PathFault and PathStats and executes every other request.
func (u *Upstream) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path == PathFault {
		u.serveFault(w, r)
		return
	}
	if r.URL.Path == PathStats {
		peer.WriteJSON(w, http.StatusOK, u.stats())
		return
	}
	u.waitWhileFrozen(r.Context().Done())
	if r.Context().Err() == nil {
		u.execute(w, r)
	}
}

func (u *Upstream) execute(w http.ResponseWriter, r *http.Request) {
	id := r.Header.Get(proto.HeaderRequestID)
	w.Header().Set(proto.HeaderRequestID, id)
	f, b, err := u.startExecution(r)
	if err != nil {
		peer.WriteError(w, err.WithRequestID(id))
		return
	}
	defer u.endExecution(f)
	body, _ := io.ReadAll(r.Body)
	u.mu.Lock()
	crash := u.injector.crashesOn(body)
	u.mu.Unlock()
	if crash && u.cfg.Exit != nil {
		u.cfg.Exit()
	}
	select {
	case <-r.Context().Done():
		return
	case <-time.After(b.serviceTime + b.delay):
	}
	u.waitWhileFrozen(r.Context().Done())
	writeResponse(w, b, echoBody{Upstream: u.cfg.Name, RequestID: id, Path: r.URL.Path, Bytes: len(body)})
}

// echoBody is the response body of an executed request.
type echoBody struct {
	Upstream  string `json:"upstream"`
	RequestID string `json:"request_id"`
	Path      string `json:"path"`
	Bytes     int    `json:"bytes"`
}

// ValidFences returns the fences of the grants that are valid now.
func (u *Upstream) ValidFences() []proto.Fence {
	u.mu.Lock()
	defer u.mu.Unlock()
	var out []proto.Fence
	u.grants.Each(u.cfg.Clock(), func(f proto.Fence) { out = append(out, f) })
	return out
}

// ExecutionCounts returns the number of executions per request ID.
func (u *Upstream) ExecutionCounts() map[string]int {
	u.mu.Lock()
	defer u.mu.Unlock()
	return maps.Clone(u.executionCounts)
}

// startExecution checks the grant, occupies a slot and records the execution.
func (u *Upstream) startExecution(r *http.Request) (proto.Fence, requestBehaviour, *proto.Error) {
	u.mu.Lock()
	defer u.mu.Unlock()
	var f proto.Fence
	if u.cfg.Keyed {
		// An invalid header yields epoch 0, which is never granted.
		f.Range, _ = strconv.ParseUint(r.Header.Get(proto.HeaderRange), 10, 64)
		f.Epoch, _ = strconv.ParseUint(r.Header.Get(proto.HeaderEpoch), 10, 64)
		if u.cfg.ChecksGrants && !u.grants.Holds(u.cfg.Clock(), f) {
			return f, requestBehaviour{}, proto.NotRun(proto.CodeStaleGrant, http.StatusConflict,
				"no grant for range %d epoch %d", f.Range, f.Epoch)
		}
	}
	if u.inFlight >= u.cfg.Slots {
		return f, requestBehaviour{}, proto.NotRun(proto.CodeOverloaded, http.StatusServiceUnavailable,
			"all %d slots are in use", u.cfg.Slots)
	}
	b := u.injector.drawBehaviour(u.cfg.ServiceTime, model.Class(r.Header.Get(proto.HeaderClass)))
	if b.shed {
		return f, b, proto.NotRun(proto.CodeOverloaded, http.StatusServiceUnavailable, "load is shed")
	}
	x := Execution{
		RequestID: r.Header.Get(proto.HeaderRequestID), Upstream: u.cfg.Name, Service: u.cfg.Service,
		Range: f.Range, Epoch: f.Epoch, StartNs: time.Now().UnixNano(), ServiceNs: b.serviceTime.Nanoseconds(),
	}
	if err := u.record(x); err != nil {
		return f, b, proto.NotRun(proto.CodeInternal, http.StatusServiceUnavailable, "record: %v", err)
	}
	u.inFlight++
	u.grants.Begin(f)
	u.executionCounts[x.RequestID]++
	return f, b, nil
}

// record writes the execution in a single call, so that no partial line remains if the process exits.
func (u *Upstream) record(x Execution) error {
	if u.cfg.Record == nil {
		return nil
	}
	b, err := json.Marshal(x)
	if err != nil {
		return errors.Wrap(err, "encode")
	}
	_, err = u.cfg.Record.Write(append(b, '\n'))
	return errs.Wrap(err, "write")
}

func (u *Upstream) endExecution(f proto.Fence) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.inFlight--
	u.grants.End(f)
}

func (u *Upstream) stats() json.RawMessage {
	u.mu.Lock()
	defer u.mu.Unlock()
	b, err := json.Marshal(Stats{Name: u.cfg.Name, ExecutionCounts: u.executionCounts, Epochs: u.grants.Epochs()})
	if err != nil {
		return json.RawMessage("{}")
	}
	return b
}
