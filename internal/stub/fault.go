package stub

import (
	"bytes"
	"math/rand/v2"
	"net/http"
	"strconv"
	"time"

	"baobabreach/internal/model"
	"baobabreach/internal/peer"
	"baobabreach/pkg/proto"
)

// HTTP paths of the stub itself; all other paths are executed as requests.
const (
	PathStats = "/stub/stats"
	PathFault = "/stub/fault"
)

// maxFaultBytes limits the request body of PathFault.
const maxFaultBytes = 64 << 10

// Faults configures the faults that a stub injects. Shares are probabilities from 0 to 1; a random generator that is
// initialised with Seed decides for each request.
type Faults struct {
	Seed uint64 `json:"seed,omitempty" help:"Seed of the draws."`
	// LongMs is the service time of class long; 0 selects Config.ServiceTime.
	LongMs          int64   `json:"long_ms,omitempty" help:"Service time of class long in ms."`
	StragglerShare  float64 `json:"straggler_share,omitempty" help:"Share of requests that run longer."`
	StragglerFactor float64 `json:"straggler_factor,omitempty" help:"How many times longer stragglers run."`
	// Freeze suspends announcements and responses until the faults are replaced.
	Freeze bool `json:"freeze,omitempty" help:"Answer and announce nothing."`
	// CrashBody terminates the process when a request body contains it.
	CrashBody     string  `json:"crash_body,omitempty" help:"Exit on a body with this text."`
	ShedShare     float64 `json:"shed_share,omitempty" help:"Share of requests refused with 503 and not_run."`
	FailShare     float64 `json:"fail_share,omitempty" help:"Share of requests run and answered with a bare 500."`
	ResetShare    float64 `json:"reset_share,omitempty" help:"Share of answers reset in the middle."`
	TruncateShare float64 `json:"truncate_share,omitempty" help:"Share of answers that end early."`
	CrossShare    float64 `json:"cross_share,omitempty" help:"Share of answers with another request id."`
	LateShare     float64 `json:"late_share,omitempty" help:"Share of answers that come late."`
	LateMs        int64   `json:"late_ms,omitempty" help:"Delay of late answers in ms."`
	// ColdRequests is the number of requests, counted from the last change of the faults, whose service time is multiplied
	// by ColdFactor.
	ColdRequests int     `json:"cold_requests,omitempty" help:"Number of slower first requests."`
	ColdFactor   float64 `json:"cold_factor,omitempty" help:"How many times longer the first requests run."`
	// FalseLoad, if positive, is announced in place of the number of requests in flight.
	FalseLoad int `json:"false_load,omitempty" help:"Announce this load."`
}

// responseMode selects a correct response or the fault injected into it.
type responseMode int

const (
	responseNormal responseMode = iota
	responseServerError
	responseReset
	responseTruncated
	responseForeignID
)

// requestBehaviour holds the faults drawn for one request and its service time.
type requestBehaviour struct {
	shed        bool
	serviceTime time.Duration
	delay       time.Duration
	response    responseMode
}

// faultInjector draws the behaviour of each request. It is guarded by the mutex of the Upstream.
type faultInjector struct {
	Faults
	random   *rand.Rand
	accepted int
}

func newFaultInjector(f Faults) *faultInjector {
	return &faultInjector{Faults: f, random: rand.New(rand.NewPCG(f.Seed, 0))}
}

// drawBehaviour draws the same number of values for every request, so that changing one share does not affect the draws
// of the others.
func (f *faultInjector) drawBehaviour(baseServiceTime time.Duration, class model.Class) requestBehaviour {
	var draws [7]float64
	for i := range draws {
		draws[i] = f.random.Float64()
	}
	b := requestBehaviour{serviceTime: baseServiceTime, shed: draws[0] < f.ShedShare}
	if class == model.ClassLong && f.LongMs > 0 {
		b.serviceTime = time.Duration(f.LongMs) * time.Millisecond
	}
	if draws[1] < f.StragglerShare {
		b.serviceTime = time.Duration(float64(b.serviceTime) * f.StragglerFactor)
	}
	if !b.shed && f.accepted < f.ColdRequests {
		b.serviceTime = time.Duration(float64(b.serviceTime) * f.ColdFactor)
	}
	if draws[2] < f.LateShare {
		b.delay = time.Duration(f.LateMs) * time.Millisecond
	}
	switch {
	case draws[3] < f.FailShare:
		b.response = responseServerError
	case draws[4] < f.ResetShare:
		b.response = responseReset
	case draws[5] < f.TruncateShare:
		b.response = responseTruncated
	case draws[6] < f.CrossShare:
		b.response = responseForeignID
	}
	if !b.shed {
		f.accepted++
	}
	return b
}

func (f *faultInjector) crashesOn(body []byte) bool {
	return f.CrashBody != "" && bytes.Contains(body, []byte(f.CrashBody))
}

// serveFault replaces the faults. It also responds while the stub is frozen.
func (u *Upstream) serveFault(w http.ResponseWriter, r *http.Request) {
	f, err := peer.Decode[Faults](w, r, maxFaultBytes)
	if err != nil {
		peer.WriteError(w, err)
		return
	}
	u.mu.Lock()
	u.injector = newFaultInjector(f)
	close(u.faultsReplaced)
	u.faultsReplaced = make(chan struct{})
	u.mu.Unlock()
	peer.WriteJSON(w, http.StatusOK, f)
}

// waitWhileFrozen blocks until the stub is not frozen or done is closed.
func (u *Upstream) waitWhileFrozen(done <-chan struct{}) {
	for {
		u.mu.Lock()
		frozen, replaced := u.injector.Freeze, u.faultsReplaced
		u.mu.Unlock()
		if !frozen {
			return
		}
		select {
		case <-replaced:
		case <-done:
			return
		}
	}
}

// writeResponse writes the body with the fault selected by b.response.
func writeResponse(w http.ResponseWriter, b requestBehaviour, body echoBody) {
	switch b.response {
	case responseServerError:
		http.Error(w, "failed", http.StatusInternalServerError)
	case responseForeignID:
		w.Header().Set(proto.HeaderRequestID, "crossed-"+body.RequestID)
		peer.WriteJSON(w, http.StatusOK, body)
	case responseReset, responseTruncated:
		writeTruncated(w, b.response == responseReset, body)
	case responseNormal:
		peer.WriteJSON(w, http.StatusOK, body)
	}
}

// truncatedContentLength is the Content-Length in bytes of a response that is cut off before its end.
const truncatedContentLength = 64 << 10

func writeTruncated(w http.ResponseWriter, reset bool, body echoBody) {
	w.Header().Set("Content-Length", strconv.Itoa(truncatedContentLength))
	w.WriteHeader(http.StatusOK)
	_, _ = w.Write([]byte(body.Upstream))
	_ = http.NewResponseController(w).Flush()
	conn, _, err := http.NewResponseController(w).Hijack()
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	if t, ok := conn.(interface{ SetLinger(seconds int) error }); ok && reset {
		// With linger 0 the kernel sends RST instead of FIN.
		_ = t.SetLinger(0)
	}
	_ = conn.Close()
}
