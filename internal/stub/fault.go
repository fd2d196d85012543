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

// ending is how an answer is spoilt.
type ending int

const (
	endWell ending = iota
	endFail
	endReset
	endTruncate
	endCross
)

// course is what the faults make of one request.
type course struct {
	shed    bool
	service time.Duration
	late    time.Duration
	ending  ending
}

// faults draws the course of requests. The mutex of the Upstream guards it.
type faults struct {
	Faults
	random *rand.Rand
	served int
}

func newFaults(f Faults) *faults {
	return &faults{Faults: f, random: rand.New(rand.NewPCG(f.Seed, 0))}
}

// draw always takes the same number of values, so that one share doesn't change the draws for another.
func (f *faults) draw(common time.Duration, class model.Class) course {
	var v [7]float64
	for i := range v {
		v[i] = f.random.Float64()
	}
	c := course{service: common, shed: v[0] < f.ShedShare}
	if class == model.ClassLong && f.LongMs > 0 {
		c.service = time.Duration(f.LongMs) * time.Millisecond
	}
	if v[1] < f.StragglerShare {
		c.service = time.Duration(float64(c.service) * f.StragglerFactor)
	}
	if !c.shed && f.served < f.ColdRequests {
		c.service = time.Duration(float64(c.service) * f.ColdFactor)
	}
	if v[2] < f.LateShare {
		c.late = time.Duration(f.LateMs) * time.Millisecond
	}
	switch {
	case v[3] < f.FailShare:
		c.ending = endFail
	case v[4] < f.ResetShare:
		c.ending = endReset
	case v[5] < f.TruncateShare:
		c.ending = endTruncate
	case v[6] < f.CrossShare:
		c.ending = endCross
	}
	if !c.shed {
		f.served++
	}
	return c
}

func (f *faults) crashesOn(body []byte) bool {
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
	u.faults = newFaults(f)
	close(u.thawed)
	u.thawed = make(chan struct{})
	u.mu.Unlock()
	peer.WriteJSON(w, http.StatusOK, f)
}

// waitThawed returns once the stand-in is not frozen, or done is closed.
func (u *Upstream) waitThawed(done <-chan struct{}) {
	for {
		u.mu.Lock()
		frozen, thawed := u.faults.Freeze, u.thawed
		u.mu.Unlock()
		if !frozen {
			return
		}
		select {
		case <-thawed:
		case <-done:
			return
		}
	}
}

// answer writes the body, spoilt as the course says.
func answer(w http.ResponseWriter, c course, e echo) {
	switch c.ending {
	case endFail:
		http.Error(w, "failed", http.StatusInternalServerError)
	case endCross:
		w.Header().Set(proto.HeaderRequestID, "crossed-"+e.RequestID)
		peer.WriteJSON(w, http.StatusOK, e)
	case endReset, endTruncate:
		writePart(w, c.ending == endReset, e)
	case endWell:
		peer.WriteJSON(w, http.StatusOK, e)
	}
}

// partBytes is the announced length of an answer that is cut off.
const partBytes = 64 << 10

func writePart(w http.ResponseWriter, reset bool, e echo) {
	w.Header().Set("Content-Length", strconv.Itoa(partBytes))
	w.WriteHeader(http.StatusOK)
	_, _ = w.Write([]byte(e.Upstream))
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
