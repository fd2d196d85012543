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

// Stats are the counts and latencies of a part of a run. Latencies are measured from the intended start and cover
// answered requests only.
type Stats struct {
	Name     string `json:"name"`
	Planned  int    `json:"planned"`
	NotSent  int    `json:"not_sent"`
	Answered int    `json:"answered"`
	Refused  int    `json:"refused"`
	Unknown  int    `json:"unknown"`
	// Goodput is the number of requests per second that were answered within their deadline.
	Goodput float64 `json:"goodput"`
	P50Ms   float64 `json:"p50_ms"`
	P99Ms   float64 `json:"p99_ms"`
	P999Ms  float64 `json:"p999_ms"`
	// OverheadP50Ms and OverheadP99Ms are quantiles of the latency minus the service time, of short requests only.
	OverheadP50Ms float64 `json:"over_p50_ms"`
	OverheadP99Ms float64 `json:"over_p99_ms"`
	// SlotShare is the service time of the requests answered within their deadline, as a share of the total slot time.
	SlotShare float64 `json:"slot_share"`
}

// Result is the report of one run.
type Result struct {
	Plan   string  `json:"plan"`
	Policy string  `json:"policy"`
	Seed   uint64  `json:"seed"`
	Note   string  `json:"note,omitempty"`
	Total  Stats   `json:"total"`
	Phases []Stats `json:"phases"`
	// Seconds holds one entry per second of the run.
	Seconds []Stats `json:"seconds"`
	// ExecutedTwice, Imbalance and LongestWaitMs come from the execution records of the stand-ins and are 0 without
	// them. ExecutedTwice counts non-idempotent requests that were executed more than once.
	ExecutedTwice int `json:"run_twice"`
	// Imbalance is the executions of the busiest upstream divided by the mean per upstream, for the worst service.
	Imbalance float64 `json:"imbalance"`
	// LongestWaitMs is the longest time from the intended start of a short request to its execution on an upstream
	// that ran long work in the meantime.
	LongestWaitMs float64 `json:"longest_wait_ms"`
	// RecoveryMs is the time from the end of the phase with the highest rate until the share of short requests answered
	// within maxPromptOverhead in one recoveryWindow is at most recoveryTolerance below that of the phase before the
	// peak; -1 if no window of the next phase reaches it, or if the plan has no phase before or after the peak.
	RecoveryMs float64 `json:"normal_ms"`
}

// Range of the histograms in microseconds, and their precision.
const (
	lowestMicros      = 1
	highestMicros     = 120_000_000
	significantDigits = 3
)

// statsRecorder accumulates Stats.
type statsRecorder struct {
	Stats
	withinDeadline  int
	goodServiceTime time.Duration
	latency         *hdrhistogram.Histogram
	overhead        *hdrhistogram.Histogram
}

func newStatsRecorder(name string) *statsRecorder {
	return &statsRecorder{
		Stats: Stats{Name: name}, latency: hdrhistogram.New(lowestMicros, highestMicros, significantDigits),
		overhead: hdrhistogram.New(lowestMicros, highestMicros, significantDigits),
	}
}

func (t *statsRecorder) add(s sample, deadline time.Duration, short bool) {
	t.Planned++
	switch {
	case !s.sent:
		t.NotSent++
	case s.outcome == proto.OutcomeDone:
		t.Answered++
		_ = t.latency.RecordValue(min(s.latency.Microseconds(), highestMicros))
		if short && s.executed {
			_ = t.overhead.RecordValue(min(s.overhead().Microseconds(), highestMicros))
		}
		if s.latency <= deadline {
			t.withinDeadline++
			t.goodServiceTime += s.serviceTime
		}
	case s.outcome == proto.OutcomeNotRun:
		t.Refused++
	default:
		t.Unknown++
	}
}

func (t *statsRecorder) stats(seconds float64, slots int) Stats {
	stats := t.Stats
	stats.Goodput = float64(t.withinDeadline) / seconds
	latencyMs := func(q float64) float64 { return float64(t.latency.ValueAtQuantile(q)) / 1000 }
	stats.P50Ms, stats.P99Ms, stats.P999Ms = latencyMs(50), latencyMs(99), latencyMs(99.9)
	stats.OverheadP50Ms = float64(t.overhead.ValueAtQuantile(50)) / 1000
	stats.OverheadP99Ms = float64(t.overhead.ValueAtQuantile(99)) / 1000
	stats.SlotShare = t.goodServiceTime.Seconds() / seconds / float64(slots)
	return stats
}

func (r *run) result(policy string, executions []stub.Execution) Result {
	res := Result{Plan: r.plan.Name, Policy: policy, Seed: r.seed}
	total, seconds, slots := newStatsRecorder("total"), 0.0, 0
	for _, s := range r.plan.Services {
		slots += s.Upstreams * s.Slots
	}
	r.addServiceTimes(executions)
	var perPhase, perSecond []*statsRecorder
	for _, x := range r.plan.Phases {
		perPhase = append(perPhase, newStatsRecorder(x.Name))
		seconds += x.Seconds
	}
	for i := range int(seconds + 1) {
		perSecond = append(perSecond, newStatsRecorder(fmt.Sprint(i)))
	}
	for i, a := range r.arrivals {
		for _, t := range []*statsRecorder{total, perPhase[a.Phase], perSecond[int(a.At.Seconds())]} {
			t.add(r.samples[i], a.Request.Deadline, r.isShort(a))
		}
	}
	res.Total = total.stats(seconds, slots)
	for i, t := range perPhase {
		res.Phases = append(res.Phases, t.stats(r.plan.Phases[i].Seconds, slots))
	}
	for _, t := range perSecond[:int(seconds)] {
		res.Seconds = append(res.Seconds, t.stats(1, slots))
	}
	r.addExecutionStats(&res, executions)
	res.RecoveryMs = r.recoveryTimeMs()
	return res
}

func (r *run) isShort(a Arrival) bool {
	return r.plan.Services[a.Service].Class == "short" && a.Request.Class != "long"
}

// addServiceTimes sets the service time of each sample to that of the last execution of its request.
func (r *run) addServiceTimes(executions []stub.Execution) {
	last := map[string]stub.Execution{}
	for _, x := range executions {
		if x.StartNs > last[x.RequestID].StartNs {
			last[x.RequestID] = x
		}
	}
	for i, a := range r.arrivals {
		x, ok := last[a.Request.ID]
		r.samples[i].executed, r.samples[i].serviceTime = ok, time.Duration(x.ServiceNs)
	}
}

// overhead is the latency minus the service time.
func (s sample) overhead() time.Duration { return max(0, s.latency-s.serviceTime) }

const (
	recoveryWindow = 250 * time.Millisecond
	// maxPromptOverhead is the target for the time that a short request takes on top of its own service time.
	maxPromptOverhead = 13 * time.Millisecond
	// recoveryTolerance is how far the share of prompt answers in a window may be below that of the phase before the
	// peak.
	recoveryTolerance = 0.05
)

func (r *run) recoveryTimeMs() float64 {
	peak := 0
	for i, x := range r.plan.Phases {
		if x.RateFactor > r.plan.Phases[peak].RateFactor {
			peak = i
		}
	}
	if peak == 0 || peak == len(r.plan.Phases)-1 {
		return -1
	}
	var peakEnd time.Duration
	for _, x := range r.plan.Phases[:peak+1] {
		peakEnd += time.Duration(x.Seconds * float64(time.Second))
	}
	length := time.Duration(r.plan.Phases[peak+1].Seconds * float64(time.Second))
	shareBefore := r.promptShare(
		peakEnd-time.Duration((r.plan.Phases[peak].Seconds+r.plan.Phases[peak-1].Seconds)*float64(time.Second)),
		peakEnd-time.Duration(r.plan.Phases[peak].Seconds*float64(time.Second)))
	for offset := time.Duration(0); offset+recoveryWindow <= length; offset += recoveryWindow {
		if r.promptShare(peakEnd+offset, peakEnd+offset+recoveryWindow) >= shareBefore-recoveryTolerance {
			return offset.Seconds() * 1000
		}
	}
	return -1
}

// promptShare returns the share of the short requests due in [from, to) that were answered within maxPromptOverhead.
func (r *run) promptShare(from, to time.Duration) float64 {
	due, prompt := 0, 0
	for i, a := range r.arrivals {
		if a.At < from || a.At >= to || !r.isShort(a) {
			continue
		}
		due++
		if s := r.samples[i]; s.outcome == proto.OutcomeDone && s.overhead() <= maxPromptOverhead {
			prompt++
		}
	}
	return float64(prompt) / float64(max(1, due))
}

// addExecutionStats sets the fields that are computed from the execution records of the stand-ins.
func (r *run) addExecutionStats(res *Result, executions []stub.Execution) {
	executionCount := map[string]int{}
	perUpstream := map[string]map[string]int{}
	longWork := map[string][]stub.Execution{}
	arrivalByID := map[string]Arrival{}
	for _, a := range r.arrivals {
		arrivalByID[a.Request.ID] = a
	}
	for _, x := range executions {
		executionCount[x.RequestID]++
		if perUpstream[x.Service] == nil {
			perUpstream[x.Service] = map[string]int{}
		}
		perUpstream[x.Service][x.Upstream]++
		if a, ok := arrivalByID[x.RequestID]; ok &&
			x.ServiceNs > longWorkFactor*millis(r.plan.Services[a.Service].ServiceMs).Nanoseconds() {
			longWork[x.Upstream] = append(longWork[x.Upstream], x)
		}
	}
	for _, a := range r.arrivals {
		if !r.plan.Services[a.Service].Idempotent && executionCount[a.Request.ID] > 1 {
			res.ExecutedTwice++
		}
	}
	for _, s := range r.plan.Services {
		res.Imbalance = max(res.Imbalance, imbalance(perUpstream[s.Name], s.Upstreams))
	}
	for _, x := range executions {
		a, ok := arrivalByID[x.RequestID]
		if ok && r.isShort(a) {
			wait := waitBehindLongWork(x, longWork[x.Upstream], r.startedAt.Add(a.At).UnixNano())
			res.LongestWaitMs = max(res.LongestWaitMs, wait.Seconds()*1000)
		}
	}
}

// waitBehindLongWork returns the time from due to the start of x, or 0 unless other long work ran on its upstream meanwhile.
func waitBehindLongWork(x stub.Execution, longWork []stub.Execution, due int64) time.Duration {
	for _, l := range longWork {
		if l.RequestID != x.RequestID && l.StartNs < x.StartNs && l.StartNs+l.ServiceNs > due {
			return time.Duration(x.StartNs - due)
		}
	}
	return 0
}

// longWorkFactor is the multiple of the normal service time of its service above which an execution counts as long work.
const longWorkFactor = 5

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

// WriteTable writes the results as a text table with a row for each phase and the total of each run.
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
				f.P50Ms, f.P99Ms, f.P999Ms, f.OverheadP50Ms, f.OverheadP99Ms, f.Goodput, 100*f.SlotShare, f.Refused, f.Unknown)
			if f.Name == "total" {
				_, _ = fmt.Fprintf(t, "%d\t%.2f\t%.0f\t%.0f\t", r.ExecutedTwice, r.Imbalance, r.LongestWaitMs, r.RecoveryMs)
			}
			_, _ = fmt.Fprintln(t)
		}
	}
	return errs.Wrap(t.Flush(), "write table")
}
