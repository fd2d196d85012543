package soak

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/go-faster/errors"
)

// Run is one seeded schedule of faults.
type Run struct {
	cfg      Config
	random   *rand.Rand
	fleet    *Fleet
	backends *Backends
	operator *Operator
	ledger   *Ledger
	live     []*Backend
	// starts counts the upstreams started so far; each has an address of its own.
	starts int
	// wiped is true once a disk was lost: no second one may be.
	wiped bool
	// Events lists what was done, for the report of a failure.
	Events []string
	begin  time.Time
}

const (
	keyedUpstreams = 4
	orderUpstreams = 3
	callers        = 6
	faults         = 9
	faultGap       = 1200 * time.Millisecond
)

// Play runs the schedule of a seed and returns the broken promises.
func Play(cfg Config, seed uint64) (*Run, []string, error) {
	r := &Run{cfg: cfg, random: rand.New(rand.NewPCG(seed, 1)), ledger: NewLedger(), begin: time.Now()}
	f, err := NewFleet(cfg)
	if err != nil {
		return r, nil, err
	}
	r.fleet = f
	defer f.Close()
	r.backends = &Backends{ledger: r.ledger, registries: f.Registries(), born: time.Now().UnixMilli()}
	r.operator = &Operator{registries: f.Registries(), ledger: r.ledger}
	if err := r.boot(); err != nil {
		return r, nil, err
	}
	defer func() {
		for _, b := range r.live {
			b.Kill()
		}
	}()
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	var wg sync.WaitGroup
	for i := range callers {
		wg.Add(1)
		go func() { defer wg.Done(); r.call(ctx, i) }()
	}
	for range faults {
		if err := r.fault(ctx); err != nil {
			return r, nil, err
		}
		time.Sleep(time.Duration(r.random.Int64N(int64(faultGap))))
	}
	if err := r.fleet.Heal(); err != nil {
		return r, nil, err
	}
	r.recovers(ctx)
	cancel()
	wg.Wait()
	return r, r.ledger.Violations(), nil
}

// Counts returns the numbers of requests answered and failed.
func (r *Run) Counts() (answered, failed int) { return r.ledger.Counts() }

func (r *Run) note(format string, args ...any) {
	r.Events = append(r.Events, fmt.Sprintf("%6d ms ", time.Since(r.begin).Milliseconds())+fmt.Sprintf(format, args...))
}

func (r *Run) boot() error {
	for _, m := range r.fleet.Machines {
		if err := r.fleet.Start(m); err != nil {
			return err
		}
	}
	for i := range keyedUpstreams + orderUpstreams {
		if err := r.startBackend(i < keyedUpstreams); err != nil {
			return err
		}
	}
	ctx, cancel := context.WithTimeout(context.Background(), bootWait)
	defer cancel()
	r.operator.Change(ctx)
	if !r.served(ctx) {
		return errors.New("the fleet does not serve after its start")
	}
	return nil
}

// startBackend starts an upstream at a new address.
func (r *Run) startBackend(keyed bool) error {
	r.starts++
	service := "orders"
	if keyed {
		service = "styles"
	}
	address := fmt.Sprintf("127.%d.1.%d:%d", r.cfg.Net, r.starts, portBackend)
	b, err := r.backends.Start(fmt.Sprintf("i-%d", r.starts), service, address, address, keyed)
	if err != nil {
		return errors.Wrap(err, "start upstream")
	}
	r.live = append(r.live, b)
	return nil
}

// served tells whether each entry host answers a request of each kind before ctx ends.
func (r *Run) served(ctx context.Context) bool {
	c := &http.Client{Timeout: 2 * time.Second}
	for _, m := range r.fleet.Fronts() {
		for n := 0; ; n++ {
			if ctx.Err() != nil {
				return false
			}
			id := fmt.Sprintf("probe-%s-%d-%d", m.Name, time.Now().UnixNano(), n)
			keyed, _ := send(c, m, id, http.MethodGet, n*9000%65536)
			order, _ := send(c, m, id+"-o", http.MethodPost, 0)
			if keyed == http.StatusOK && order == http.StatusOK {
				break
			}
			time.Sleep(50 * time.Millisecond)
		}
	}
	return true
}

// recovers checks that everything is served again, and that nothing acknowledged is lost.
func (r *Run) recovers(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, bootWait)
	defer cancel()
	if !r.served(ctx) {
		r.ledger.Violate("not served %v after the last fault", bootWait)
	}
	for !r.operator.Check(ctx) {
		if ctx.Err() != nil {
			r.ledger.Violate("the configuration can't be read %v after the last fault", bootWait)
			return
		}
		time.Sleep(50 * time.Millisecond)
	}
}

// send makes one request. The status is 0 without a whole answer.
func send(c *http.Client, m *Machine, id, method string, key int) (int, error) {
	path, body := "/s/"+id, ""
	if method == http.MethodPost {
		path, body = "/o/"+id, "order"
	}
	req, err := http.NewRequest(method, "http://"+m.Caller()+path, strings.NewReader(body))
	if err != nil {
		return 0, err
	}
	// The transport must not send an order again by itself.
	req.GetBody = nil
	req.Host = "a.example"
	req.Header.Set("Attempt-Id", id)
	req.Header.Set("Deadline-Ms", "1500")
	req.Header.Set("Shard-Key", strconv.Itoa(key))
	resp, err := c.Do(req)
	if err != nil {
		return 0, err
	}
	defer func() { _ = resp.Body.Close() }()
	b, err := io.ReadAll(resp.Body)
	if err != nil {
		return 0, err
	}
	if resp.StatusCode == http.StatusOK && (string(b) != id || resp.Header.Get("Response-Signature") == "") {
		return -1, errors.Errorf("the answer to %s is %q", id, b)
	}
	return resp.StatusCode, nil
}

// call sends requests over kept connections until ctx ends.
func (r *Run) call(ctx context.Context, n int) {
	c := &http.Client{Timeout: 3 * time.Second, Transport: &http.Transport{MaxIdleConnsPerHost: 2}}
	random := rand.New(rand.NewPCG(uint64(n), 2))
	for i := 0; ctx.Err() == nil; i++ {
		m := r.fleet.Fronts()[random.IntN(len(r.fleet.Fronts()))]
		id := fmt.Sprintf("c%d-%d", n, i)
		method := http.MethodGet
		if i%2 == 1 {
			method = http.MethodPost
		}
		status, err := send(c, m, id, method, random.IntN(65536))
		switch {
		case status < 0:
			r.ledger.Violate("%v", err)
		case status == http.StatusOK:
			r.ledger.Answered()
		case status == http.StatusNotFound:
			r.ledger.Violate("request %s was answered 404", id)
		case method == http.MethodPost && (status == http.StatusServiceUnavailable || status == http.StatusTooManyRequests):
			r.ledger.Refused(id)
			r.ledger.Failed()
		default:
			r.ledger.Failed()
		}
		time.Sleep(10 * time.Millisecond)
	}
}

// fault does one thing to the fleet. Faults overlap: most are undone later in the background of the schedule.
func (r *Run) fault(ctx context.Context) error {
	m := r.fleet.Machines[r.random.IntN(len(r.fleet.Machines))]
	switch r.random.IntN(12) {
	case 0:
		r.note("kill %s", m.Name)
		m.Kill()
		return r.fleet.Start(m)
	case 1:
		r.note("stop %s", m.Name)
		m.Stop()
		return r.fleet.Start(m)
	case 2:
		r.note("pause %s", m.Name)
		m.Signal(syscall.SIGSTOP)
		time.Sleep(time.Duration(r.random.Int64N(int64(3 * time.Second))))
		m.Signal(syscall.SIGCONT)
	case 3:
		r.note("hangup %s", m.Name)
		m.Signal(syscall.SIGHUP)
	case 4, 5:
		link := []Link{LinkSlow, LinkReset, LinkDeaf, LinkMute, LinkSilent}[r.random.IntN(5)]
		r.note("link of %s is %s", m.Name, link)
		m.proxy.Set(link)
		d := time.Duration(r.random.Int64N(int64(3 * time.Second)))
		time.AfterFunc(d, func() { m.proxy.Set(LinkUp) })
	case 6:
		return r.killCores()
	case 7:
		return r.wipe()
	case 8:
		r.note("change the configuration")
		r.operator.Change(ctx)
		r.operator.Check(ctx)
	case 9, 10, 11:
		return r.faultBackend()
	}
	return nil
}

func (r *Run) killCores() error {
	r.note("kill all replicas")
	for _, m := range r.fleet.Machines[:coreCount] {
		m.Kill()
	}
	for _, m := range r.fleet.Machines[:coreCount] {
		if err := r.fleet.Start(m); err != nil {
			return err
		}
	}
	return nil
}

// wipe takes the disk of one replica, while the others are in order.
func (r *Run) wipe() error {
	if r.wiped {
		return nil
	}
	r.wiped = true
	if err := r.fleet.Heal(); err != nil {
		return err
	}
	time.Sleep(2 * time.Second)
	m := r.fleet.Machines[r.random.IntN(coreCount)]
	r.note("wipe %s", m.Name)
	m.Kill()
	if err := r.fleet.Wipe(m); err != nil {
		return err
	}
	if err := r.fleet.Start(m); err != nil {
		return err
	}
	// A second loss must be survived only after the repair.
	time.Sleep(4 * time.Second)
	return nil
}

func (r *Run) faultBackend() error {
	i := r.random.IntN(len(r.live))
	b := r.live[i]
	r.live = append(r.live[:i:i], r.live[i+1:]...)
	if r.random.IntN(2) == 0 {
		r.note("kill upstream %s", b.id)
		b.Kill()
	} else {
		r.note("drain upstream %s", b.id)
		b.Leave()
	}
	return r.startBackend(b.keyed)
}
