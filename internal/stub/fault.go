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

// Paths of a stand-in beside the requests.
const (
	PathStats = "/stub/stats"
	PathFault = "/stub/fault"
)

// maxFaultBytes bounds the body of PathFault.
const maxFaultBytes = 64 << 10

// Faults is the misbehaviour of a stand-in. Shares lie between 0 and 1 and are drawn from a generator with the seed.
type Faults struct {
	Seed uint64 `json:"seed,omitempty" help:"Seed of the draws."`
	// LongMs is the service time of class long; 0 means the common service time.
	LongMs          int64   `json:"long_ms,omitempty" help:"Service time of class long in ms."`
	StragglerShare  float64 `json:"straggler_share,omitempty" help:"Share of requests that run longer."`
	StragglerFactor float64 `json:"straggler_factor,omitempty" help:"How many times longer stragglers run."`
	// Freeze holds back announcements and answers until the faults are replaced.
	Freeze bool `json:"freeze,omitempty" help:"Answer and announce nothing."`
	// CrashBody ends the process when a request body contains it.
	CrashBody     string  `json:"crash_body,omitempty" help:"Exit on a body with this text."`
	ShedShare     float64 `json:"shed_share,omitempty" help:"Share of requests refused with 503 and not_run."`
	FailShare     float64 `json:"fail_share,omitempty" help:"Share of requests run and answered with a bare 500."`
	ResetShare    float64 `json:"reset_share,omitempty" help:"Share of answers reset in the middle."`
	TruncateShare float64 `json:"truncate_share,omitempty" help:"Share of answers that end early."`
	CrossShare    float64 `json:"cross_share,omitempty" help:"Share of answers with another request id."`
	LateShare     float64 `json:"late_share,omitempty" help:"Share of answers that come late."`
	LateMs        int64   `json:"late_ms,omitempty" help:"Delay of late answers in ms."`
	// ColdRequests first requests take ColdFactor times longer.
	ColdRequests int     `json:"cold_requests,omitempty" help:"Number of slower first requests."`
	ColdFactor   float64 `json:"cold_factor,omitempty" help:"How many times longer the first requests run."`
	// FalseLoad is announced instead of the requests in flight if it is positive.
	FalseLoad int `json:"false_load,omitempty" help:"Announce this load."`
}

// responseMode is how an answer is spoilt.
type responseMode int

const (
	responseNormal responseMode = iota
	responseServerError
	responseReset
	responseTruncated
	responseForeignID
)

// requestBehaviour is what the faults make of one request.
type requestBehaviour struct {
	shed        bool
	serviceTime time.Duration
	delay       time.Duration
	response    responseMode
}

// faultInjector draws the course of requests. The mutex of the Upstream guards it.
type faultInjector struct {
	Faults
	random   *rand.Rand
	accepted int
}

func newFaultInjector(f Faults) *faultInjector {
	return &faultInjector{Faults: f, random: rand.New(rand.NewPCG(f.Seed, 0))}
}

// drawBehaviour always takes the same number of values, so that one share doesn't change the draws for another.
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

// serveFault replaces the faults. A frozen stand-in still answers this path.
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

// waitWhileFrozen returns once the stand-in is not frozen, or done is closed.
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

// writeResponse writes the body, spoilt as the course says.
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

// truncatedContentLength is the announced length of an answer that is cut off.
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
		// With linger 0 the kernel sends a reset instead of an ordinary end.
		_ = t.SetLinger(0)
	}
	_ = conn.Close()
}
