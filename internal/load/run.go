package load

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"sort"
	"sync"
	"time"

	"baobabreach/internal/fleet"
	"baobabreach/internal/stub"
	"baobabreach/pkg/proto"

	"github.com/go-faster/errors"
)

// maxInFlight limits the outstanding requests; arrivals beyond it are counted as not sent.
const maxInFlight = 8000

// Arrival is one request of the schedule.
type Arrival struct {
	// At is the intended start, relative to the start of the run. Phase and Service are indexes into the plan; Host is the
	// index of the host that the request is sent to.
	At      time.Duration
	Phase   int
	Service int
	Request Request
	Host    int
}

// Schedule returns the arrivals of a plan in order of time. The same seed gives the same schedule except for the
// request ids, which contain the current time.
func Schedule(p Plan, hosts int, seed uint64) []Arrival {
	var out []Arrival
	phaseStart := 0.0
	for i, x := range p.Phases {
		for j, s := range p.Services {
			r := rand.New(rand.NewPCG(seed, uint64(i)<<32|uint64(j)))
			rate := s.Rate * x.RateFactor
			if rate <= 0 {
				continue
			}
			for at := r.ExpFloat64() / rate; at < x.Seconds; at += r.ExpFloat64() / rate {
				out = append(out, Arrival{
					At: time.Duration((phaseStart + at) * float64(time.Second)), Phase: i, Service: j, Host: r.IntN(hosts),
					Request: newArrivalRequest(r, p, x, s),
				})
			}
		}
		phaseStart += x.Seconds
	}
	sort.SliceStable(out, func(i, j int) bool { return out[i].At < out[j].At })
	return out
}

func newArrivalRequest(r *rand.Rand, p Plan, x Phase, s Service) Request {
	q := Request{ID: NewID(r), Service: s.Name, Deadline: millis(s.DeadlineMs)}
	if len(p.Tenants) > 0 {
		q.Tenant = p.Tenants[r.IntN(len(p.Tenants))]
	}
	if s.Keyed {
		key := r.IntN(s.Keys)
		if r.Float64() < x.HotShare {
			key = x.HotKey
		}
		q.Key = fmt.Sprintf("key-%d", key)
	}
	if r.Float64() < s.LongShare {
		q.Class = "long"
	}
	if !s.Idempotent {
		q.Method = http.MethodPost
	}
	return q
}

// sample is the result of one arrival.
type sample struct {
	sent    bool
	latency time.Duration
	outcome proto.Outcome
	// executed is set if the stand-ins recorded an execution; serviceTime is that of the last one.
	executed    bool
	serviceTime time.Duration
}

// run is the state of one run of a schedule.
type run struct {
	plan     Plan
	arrivals []Arrival
	samples  []sample
	hosts    []string
	client   *Client
	// fleet is nil for a run against hosts that are already running.
	fleet *fleet.Fleet
	// naive sends the requests in place of the hosts for PolicyNaive, and is nil otherwise.
	naive     *naiveRouter
	seed      uint64
	progress  io.Writer
	startedAt time.Time
}

// send sends every arrival at its scheduled time, regardless of the state of earlier ones.
func (r *run) send(ctx context.Context) error {
	inFlight := make(chan struct{}, maxInFlight)
	var wg sync.WaitGroup
	defer wg.Wait()
	eventErrors := make(chan error, len(r.plan.Phases))
	phase := -1
	r.startedAt = time.Now()
	for i, a := range r.arrivals {
		if err := sleepUntil(ctx, r.startedAt.Add(a.At)); err != nil {
			return err
		}
		if a.Phase != phase {
			phase = a.Phase
			_, _ = fmt.Fprintf(r.progress, "%5.1f s  phase %s\n", a.At.Seconds(), r.plan.Phases[phase].Name)
			wg.Go(func() { eventErrors <- r.startPhase(ctx, phase) })
		}
		select {
		case inFlight <- struct{}{}:
		default:
			continue
		}
		wg.Go(func() {
			defer func() { <-inFlight }()
			r.samples[i] = r.sendOne(ctx, a)
		})
	}
	wg.Wait()
	close(eventErrors)
	for err := range eventErrors {
		if err != nil {
			return err
		}
	}
	return nil
}

func sleepUntil(ctx context.Context, at time.Time) error {
	if d := time.Until(at); d > 0 {
		select {
		case <-time.After(d):
		case <-ctx.Done():
		}
	}
	return ctx.Err()
}

// sendOne tries the next host if one refuses the connection, as a load balancer would; it retries nothing else.
func (r *run) sendOne(ctx context.Context, a Arrival) sample {
	if r.naive != nil {
		reply := r.naive.send(ctx, a, r.plan.Services[a.Service].Idempotent)
		return sample{sent: true, latency: time.Since(r.startedAt.Add(a.At)), outcome: reply.Outcome}
	}
	var reply Reply
	for i := range r.hosts {
		reply = r.client.Send(ctx, r.hosts[(a.Host+i)%len(r.hosts)], a.Request)
		if reply.Outcome != proto.OutcomeNotRun || reply.Err == nil {
			break
		}
	}
	return sample{sent: true, latency: time.Since(r.startedAt.Add(a.At)), outcome: reply.Outcome}
}

// freezeDuration exceeds the TTL of a grant, so that the frozen upstream loses its grant.
const freezeDuration = 2 * time.Second

// startPhase sets the straggler faults of the phase and triggers its event.
func (r *run) startPhase(ctx context.Context, phase int) error {
	if r.fleet == nil {
		return nil
	}
	x := r.plan.Phases[phase]
	for i, u := range r.fleet.Upstreams {
		f := stub.Faults{
			Seed: r.seed + uint64(i), StragglerShare: x.StragglerShare, StragglerFactor: x.StragglerFactor,
		}
		for _, s := range r.plan.Services {
			if s.Name == u.Service {
				f.LongMs = s.LongMs
			}
		}
		if err := r.fleet.SetFaults(ctx, u.Name, f); err != nil {
			return errors.Wrapf(err, "phase %s", x.Name)
		}
	}
	upstream, host := r.fleet.Upstreams[0].Name, r.fleet.Hosts[len(r.fleet.Hosts)-1].Name
	switch x.Event {
	case EventFreeze:
		if err := r.fleet.Pause(upstream); err != nil {
			return err
		}
		_ = sleepUntil(ctx, time.Now().Add(freezeDuration))
		return r.fleet.Resume(upstream)
	case EventRestart:
		return r.restart(ctx, host)
	case EventDrain:
		return r.restart(ctx, upstream)
	}
	return nil
}

func (r *run) restart(ctx context.Context, name string) error {
	if err := r.fleet.Stop(ctx, name); err != nil {
		return err
	}
	return r.fleet.Restart(name)
}

// Options configures a run.
type Options struct {
	Plan Plan
	// Binaries is the directory that contains the executables.
	Binaries string
	Seed     uint64
	Progress io.Writer
}

// startTimeout limits the start of a fleet.
const startTimeout = 30 * time.Second

// RunPolicy starts a fleet with the given policy, runs the plan and closes the fleet.
func RunPolicy(ctx context.Context, o Options, policy string) (res Result, err error) {
	startCtx, cancel := context.WithTimeout(ctx, startTimeout)
	defer cancel()
	f, err := fleet.Start(startCtx, o.Plan.fleetConfig(o.Binaries, policy))
	if err != nil {
		return Result{}, err
	}
	defer func() {
		if closeErr := f.Close(); err == nil {
			err = closeErr
		}
	}()
	var hosts []string
	for _, h := range f.Hosts {
		hosts = append(hosts, h.CallerAddress)
	}
	r := newRun(o, hosts, f)
	if policy == PolicyNaive {
		r.naive = newNaiveRouter(o.Plan, f, o.Seed)
	}
	if err := r.send(ctx); err != nil {
		return Result{}, err
	}
	executions, err := f.Executions()
	if err != nil {
		return Result{}, err
	}
	return r.result(policy, executions), nil
}

// RunTarget runs the plan against hosts that are already running on loopback. It skips the faults and events of the
// plan, and the result has nothing that comes from execution records.
func RunTarget(ctx context.Context, o Options, hosts []string) (Result, error) {
	for _, h := range hosts {
		if err := fleet.CheckLoopback(h); err != nil {
			return Result{}, err
		}
	}
	r := newRun(o, hosts, nil)
	if err := r.send(ctx); err != nil {
		return Result{}, err
	}
	return r.result("target", nil), nil
}

func newRun(o Options, hosts []string, f *fleet.Fleet) *run {
	arrivals := Schedule(o.Plan, len(hosts), o.Seed)
	return &run{
		plan: o.Plan, arrivals: arrivals, samples: make([]sample, len(arrivals)), hosts: hosts, client: NewClient(), fleet: f,
		seed: o.Seed, progress: o.Progress,
	}
}
