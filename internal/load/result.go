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
	// OverP50Ms and OverP99Ms are of the latency less the service time of the execution, of short requests.
	OverP50Ms float64 `json:"over_p50_ms"`
	OverP99Ms float64 `json:"over_p99_ms"`
	// SlotShare is the service time of the requests answered within their deadline as a share of all slot time.
	SlotShare float64 `json:"slot_share"`
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
	// NormalMs is the time from the end of the phase with the highest rate until the requests of one normalWindow are
	// answered as promptly as before that phase; -1 if they never were, or if the plan has no phase before or after it.
	NormalMs float64 `json:"normal_ms"`
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
	work    time.Duration
	latency *hdrhistogram.Histogram
	over    *hdrhistogram.Histogram
}

func newTally(name string) *tally {
	return &tally{
		Figures: Figures{Name: name}, latency: hdrhistogram.New(lowestMicros, highestMicros, digits),
		over: hdrhistogram.New(lowestMicros, highestMicros, digits),
	}
}

func (t *tally) add(s sample, deadline time.Duration, short bool) {
	t.Planned++
	switch {
	case !s.sent:
		t.NotSent++
	case s.outcome == proto.OutcomeDone:
		t.Answered++
		_ = t.latency.RecordValue(min(s.latency.Microseconds(), highestMicros))
		if short && s.ran {
			_ = t.over.RecordValue(min(s.over().Microseconds(), highestMicros))
		}
		if s.latency <= deadline {
			t.good++
			t.work += s.service
		}
	case s.outcome == proto.OutcomeNotRun:
		t.Refused++
	default:
		t.Unknown++
	}
}

func (t *tally) figures(seconds float64, slots int) Figures {
	f := t.Figures
	f.Goodput = float64(t.good) / seconds
	at := func(q float64) float64 { return float64(t.latency.ValueAtQuantile(q)) / 1000 }
	f.P50Ms, f.P99Ms, f.P999Ms = at(50), at(99), at(99.9)
	f.OverP50Ms = float64(t.over.ValueAtQuantile(50)) / 1000
	f.OverP99Ms = float64(t.over.ValueAtQuantile(99)) / 1000
	f.SlotShare = t.work.Seconds() / seconds / float64(slots)
	return f
}

func (r *run) result(policy string, xs []stub.Execution) Result {
	res := Result{Plan: r.plan.Name, Policy: policy, Seed: r.seed}
	total, seconds, slots := newTally("total"), 0.0, 0
	for _, s := range r.plan.Services {
		slots += s.Upstreams * s.Slots
	}
	r.addService(xs)
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
			t.add(r.samples[i], a.Request.Deadline, r.isShort(a))
		}
	}
	res.Total = total.figures(seconds, slots)
	for i, t := range phases {
		res.Phases = append(res.Phases, t.figures(r.plan.Phases[i].Seconds, slots))
	}
	for _, t := range parts[:int(seconds)] {
		res.Seconds = append(res.Seconds, t.figures(1, slots))
	}
	r.addExecutions(&res, xs)
	res.NormalMs = r.normalAfterCrest()
	return res
}

func (r *run) isShort(a Arrival) bool {
	return r.plan.Services[a.Service].Class == "short" && a.Request.Class != "long"
}

// addService adds the service times of the executions to the samples.
func (r *run) addService(xs []stub.Execution) {
	last := map[string]stub.Execution{}
	for _, x := range xs {
		if x.StartNs > last[x.RequestID].StartNs {
			last[x.RequestID] = x
		}
	}
	for i, a := range r.arrivals {
		x, ok := last[a.Request.ID]
		r.samples[i].ran, r.samples[i].service = ok, time.Duration(x.ServiceNs)
	}
}

// over is the latency less the service time.
func (s sample) over() time.Duration { return max(0, s.latency-s.service) }

const (
	normalWindow = 250 * time.Millisecond
	// promptOver is the target of a short request over its own service time, and normalLoss the share of prompt
	// answers that a window may lack against the phase before the crest.
	promptOver = 13 * time.Millisecond
	normalLoss = 0.05
)

func (r *run) normalAfterCrest() float64 {
	crest := 0
	for i, x := range r.plan.Phases {
		if x.RateFactor > r.plan.Phases[crest].RateFactor {
			crest = i
		}
	}
	if crest == 0 || crest == len(r.plan.Phases)-1 {
		return -1
	}
	var end time.Duration
	for _, x := range r.plan.Phases[:crest+1] {
		end += time.Duration(x.Seconds * float64(time.Second))
	}
	length := time.Duration(r.plan.Phases[crest+1].Seconds * float64(time.Second))
	before := r.prompt(end-time.Duration((r.plan.Phases[crest].Seconds+r.plan.Phases[crest-1].Seconds)*float64(time.Second)),
		end-time.Duration(r.plan.Phases[crest].Seconds*float64(time.Second)))
	for at := time.Duration(0); at+normalWindow <= length; at += normalWindow {
		if r.prompt(end+at, end+at+normalWindow) >= before-normalLoss {
			return at.Seconds() * 1000
		}
	}
	return -1
}

// prompt returns the share of the short requests due in the given time that were answered within promptOver.
func (r *run) prompt(from, to time.Duration) float64 {
	n, good := 0, 0
	for i, a := range r.arrivals {
		if a.At < from || a.At >= to || !r.isShort(a) {
			continue
		}
		n++
		if s := r.samples[i]; s.outcome == proto.OutcomeDone && s.over() <= promptOver {
			good++
		}
	}
	return float64(good) / float64(max(1, n))
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
		if ok && r.isShort(a) {
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
	_, _ = fmt.Fprintln(t, "policy\tphase\tplanned\tnot sent\tp50 ms\tp99 ms\tp99.9 ms\tover p50 ms\tover p99 ms\t"+
		"goodput/s\tslot time\trefused\tunknown\t"+
		"run twice\timbalance\tlongest wait ms\tnormal after ms\t")
	for _, r := range rs {
		if r.Note != "" {
			_, _ = fmt.Fprintf(t, "%s\t%s\t\n", r.Policy, r.Note)
			continue
		}
		for _, f := range append(r.Phases, r.Total) {
			_, _ = fmt.Fprintf(t, "%s\t%s\t%d\t%d\t%.1f\t%.1f\t%.1f\t%.1f\t%.1f\t%.0f\t%.1f%%\t%d\t%d\t",
				r.Policy, f.Name, f.Planned, f.NotSent,
				f.P50Ms, f.P99Ms, f.P999Ms, f.OverP50Ms, f.OverP99Ms, f.Goodput, 100*f.SlotShare, f.Refused, f.Unknown)
			if f.Name == "total" {
				_, _ = fmt.Fprintf(t, "%d\t%.2f\t%.0f\t%.0f\t", r.RunTwice, r.Imbalance, r.LongestWaitMs, r.NormalMs)
			}
			_, _ = fmt.Fprintln(t)
		}
	}
	return errs.Wrap(t.Flush(), "write table")
}
