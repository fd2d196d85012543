package load

import (
	"fmt"
	"io"
	"text/tabwriter"
	"time"

	"baobabreach/internal/errs"
	"baobabreach/internal/stub"
	"baobabreach/pkg/proto"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// Figures are the counts and latencies of a part of a run. Latencies run from the intended start and cover answered
// requests only.
type Figures struct {
	Name     string `json:"name"`
	Planned  int    `json:"planned"`
	NotSent  int    `json:"not_sent"`
	Answered int    `json:"answered"`
	Refused  int    `json:"refused"`
	Unknown  int    `json:"unknown"`
	// Goodput is the number of requests answered within their deadline per second.
	Goodput float64 `json:"goodput"`
	P50Ms   float64 `json:"p50_ms"`
	P99Ms   float64 `json:"p99_ms"`
	P999Ms  float64 `json:"p999_ms"`
}

// Result is the report of one run.
type Result struct {
	Plan   string    `json:"plan"`
	Policy string    `json:"policy"`
	Seed   uint64    `json:"seed"`
	Note   string    `json:"note,omitempty"`
	Total  Figures   `json:"total"`
	Phases []Figures `json:"phases"`
	// Seconds holds one entry per second of the run.
	Seconds []Figures `json:"seconds"`
	// RunTwice, Imbalance and LongestWaitMs come from the stand-ins' records and are 0 without them.
	RunTwice int `json:"run_twice"`
	// Imbalance is the highest number of executions of an upstream over the mean, of the worst service.
	Imbalance float64 `json:"imbalance"`
	// LongestWaitMs is the longest time from the intended start of a short request to its execution on an upstream
	// that ran long work meanwhile.
	LongestWaitMs float64 `json:"longest_wait_ms"`
}

// Range and precision of the histograms, in microseconds.
const (
	lowestMicros  = 1
	highestMicros = 120_000_000
	digits        = 3
)

// tally gathers Figures.
type tally struct {
	Figures
	good    int
	latency *hdrhistogram.Histogram
}

func newTally(name string) *tally {
	return &tally{Figures: Figures{Name: name}, latency: hdrhistogram.New(lowestMicros, highestMicros, digits)}
}

func (t *tally) add(s sample, deadline time.Duration) {
	t.Planned++
	switch {
	case !s.sent:
		t.NotSent++
	case s.outcome == proto.OutcomeDone:
		t.Answered++
		_ = t.latency.RecordValue(min(s.latency.Microseconds(), highestMicros))
		if s.latency <= deadline {
			t.good++
		}
	case s.outcome == proto.OutcomeNotRun:
		t.Refused++
	default:
		t.Unknown++
	}
}

func (t *tally) figures(seconds float64) Figures {
	f := t.Figures
	f.Goodput = float64(t.good) / seconds
	at := func(q float64) float64 { return float64(t.latency.ValueAtQuantile(q)) / 1000 }
	f.P50Ms, f.P99Ms, f.P999Ms = at(50), at(99), at(99.9)
	return f
}

func (r *run) result(policy string, xs []stub.Execution) Result {
	res := Result{Plan: r.plan.Name, Policy: policy, Seed: r.seed}
	total, seconds := newTally("total"), 0.0
	var phases, parts []*tally
	for _, x := range r.plan.Phases {
		phases = append(phases, newTally(x.Name))
		seconds += x.Seconds
	}
	for i := range int(seconds + 1) {
		parts = append(parts, newTally(fmt.Sprint(i)))
	}
	for i, a := range r.arrivals {
		for _, t := range []*tally{total, phases[a.Phase], parts[int(a.At.Seconds())]} {
			t.add(r.samples[i], a.Request.Deadline)
		}
	}
	res.Total = total.figures(seconds)
	for i, t := range phases {
		res.Phases = append(res.Phases, t.figures(r.plan.Phases[i].Seconds))
	}
	for _, t := range parts[:int(seconds)] {
		res.Seconds = append(res.Seconds, t.figures(1))
	}
	r.addExecutions(&res, xs)
	return res
}

// addExecutions adds what only the records of the stand-ins tell.
func (r *run) addExecutions(res *Result, xs []stub.Execution) {
	runs := map[string]int{}
	perUpstream := map[string]map[string]int{}
	long := map[string][]stub.Execution{}
	class := map[string]Arrival{}
	for _, a := range r.arrivals {
		class[a.Request.ID] = a
	}
	for _, x := range xs {
		runs[x.RequestID]++
		if perUpstream[x.Service] == nil {
			perUpstream[x.Service] = map[string]int{}
		}
		perUpstream[x.Service][x.Upstream]++
		if a, ok := class[x.RequestID]; ok && x.ServiceNs > longFactor*ms(r.plan.Services[a.Service].ServiceMs).Nanoseconds() {
			long[x.Upstream] = append(long[x.Upstream], x)
		}
	}
	for _, a := range r.arrivals {
		if !r.plan.Services[a.Service].Idempotent && runs[a.Request.ID] > 1 {
			res.RunTwice++
		}
	}
	for _, s := range r.plan.Services {
		res.Imbalance = max(res.Imbalance, imbalance(perUpstream[s.Name], s.Upstreams))
	}
	for _, x := range xs {
		a, ok := class[x.RequestID]
		if ok && r.plan.Services[a.Service].Class == "short" && a.Request.Class != "long" {
			wait := waitBehind(x, long[x.Upstream], r.began.Add(a.At).UnixNano())
			res.LongestWaitMs = max(res.LongestWaitMs, wait.Seconds()*1000)
		}
	}
}

// waitBehind returns the time from due to the execution, or 0 unless long work ran on the upstream meanwhile.
func waitBehind(x stub.Execution, long []stub.Execution, due int64) time.Duration {
	for _, l := range long {
		if l.RequestID != x.RequestID && l.StartNs < x.StartNs && l.StartNs+l.ServiceNs > due {
			return time.Duration(x.StartNs - due)
		}
	}
	return 0
}

// longFactor is how many times its service's common time an execution takes to count as long work.
const longFactor = 5

func imbalance(counts map[string]int, upstreams int) float64 {
	highest, sum := 0, 0
	for _, n := range counts {
		highest = max(highest, n)
		sum += n
	}
	if sum == 0 {
		return 0
	}
	return float64(highest) * float64(upstreams) / float64(sum)
}

// WriteTable writes the results as a plain table, with the phases of each run.
func WriteTable(w io.Writer, rs []Result) error {
	t := tabwriter.NewWriter(w, 0, 8, 2, ' ', tabwriter.AlignRight)
	_, _ = fmt.Fprintln(t, "policy\tphase\tplanned\tnot sent\tp50 ms\tp99 ms\tp99.9 ms\tgoodput/s\trefused\tunknown\t"+
		"run twice\timbalance\tlongest wait ms\t")
	for _, r := range rs {
		if r.Note != "" {
			_, _ = fmt.Fprintf(t, "%s\t%s\t\n", r.Policy, r.Note)
			continue
		}
		for _, f := range append(r.Phases, r.Total) {
			_, _ = fmt.Fprintf(t, "%s\t%s\t%d\t%d\t%.1f\t%.1f\t%.1f\t%.0f\t%d\t%d\t", r.Policy, f.Name, f.Planned, f.NotSent,
				f.P50Ms, f.P99Ms, f.P999Ms, f.Goodput, f.Refused, f.Unknown)
			if f.Name == "total" {
				_, _ = fmt.Fprintf(t, "%d\t%.2f\t%.0f\t", r.RunTwice, r.Imbalance, r.LongestWaitMs)
			}
			_, _ = fmt.Fprintln(t)
		}
	}
	return errs.Wrap(t.Flush(), "write table")
}
