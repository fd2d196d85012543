package intent

import (
	"fmt"
	"math"
	"sort"

	"baobabreach/internal/model"
)

// Times for the estimate of Plan.ExpectedMs. With 12 daemons on one machine and upstreams that check grants, 2 batches of
// moves take 811 ms and 4 batches 1,130 ms (medians). For upstreams that don't check grants, a batch takes longer because
// every entry host must renew its lease (300 ms) before and after a range is given back.
const (
	moveStartMs          = 450
	moveBatchMs          = 160
	uncheckedMoveBatchMs = 600
	// applyMs is the time until a change without moves is in force: one commit and its delivery to the watching hosts.
	applyMs = 50
)

// maxListEntries bounds the lists of effects and warnings in a plan, because plans are stored with their intents.
const maxListEntries = 32

// PlanInputs are the inputs of a plan that are not part of the state. They are sent in the command, so that every replica
// computes the same plan.
type PlanInputs struct {
	// Host is the host whose daemon measured PerSecond, which covers only the requests of its own callers.
	Host string `json:"host"`
	// PerSecond is the rate of requests per service.
	PerSecond map[string]float64 `json:"per_second,omitempty"`
	// MaxMoves is the largest number of ranges of one service that move at the same time, at least 1.
	MaxMoves int `json:"max_moves"`
}

// Effect describes how much of one service a plan affects.
type Effect struct {
	Service string `json:"service"`
	// KeyShare is the share of the hash space whose owner changes, from 0 to 1; 0 for a service without keys.
	KeyShare float64 `json:"key_share"`
	// RequestShare estimates the share of requests that go to another upstream, from 0 to 1: by keys, or by slots for a
	// service without keys.
	RequestShare float64 `json:"request_share"`
	// RequestsPerSecond is RequestShare times the rate that Plan.MeasuredBy measured for its own callers.
	RequestsPerSecond float64 `json:"requests_per_second"`
	Moves             int     `json:"moves"`
}

// Plan describes what an intent would change.
type Plan struct {
	ID string `json:"id"`
	// Revision is the settings revision that the plan is based on.
	Revision uint64   `json:"revision"`
	Changes  []string `json:"changes"`
	// Effects lists the services by name; EffectsOmitted counts those beyond maxListEntries.
	Effects        []Effect `json:"effects"`
	EffectsOmitted int      `json:"effects_omitted,omitempty"`
	// Moves is the number of ranges that change their owner, across all services.
	Moves int `json:"moves"`
	// ExpectedMs estimates the time from the confirmation until all moves are complete.
	ExpectedMs int64    `json:"expected_ms"`
	Warnings   []string `json:"warnings"`
	MeasuredBy string   `json:"measured_by"`
}

// Apply returns the state after the change but with the old revision. The intent must be valid for the state.
func Apply(in Intent, s *model.State) *model.State {
	switch {
	case in.Service != nil:
		return s.WithService(in.Service.applyTo(s))
	case in.Keyed != nil:
		v := s.Services[in.Keyed.Service]
		v.Keyed, v.Ranges = true, in.Keyed.Ranges
		if v.Ranges == 0 {
			v.Ranges = model.DefaultRanges
		}
		return s.WithService(v)
	case in.Drain != nil:
		return s.WithDrained(in.Drain.Name, true)
	case in.Return != nil:
		return s.WithDrained(in.Return.Name, false)
	case in.StopDC != nil:
		return s.WithStoppedDC(in.StopDC.Name, true)
	case in.ReturnDC != nil:
		return s.WithStoppedDC(in.ReturnDC.Name, false)
	case in.Limit != nil:
		return s.WithLimit(model.Limit(*in.Limit))
	case in.Members != nil:
		return s.WithRemovedReplica(in.Members.Add+in.Members.Remove, in.Members.Remove != "")
	}
	return s
}

func (v Service) applyTo(s *model.State) model.Service {
	out, ok := s.Services[v.Name]
	if !ok {
		out = model.Service{
			Name: v.Name, Class: model.ClassShort, PartitionPolicy: model.PartitionMajority,
			Ranges: model.DefaultRanges, DeadlineMs: 2000,
		}
	}
	setIfPresent(&out.Idempotent, v.Idempotent)
	setIfPresent(&out.Class, v.Class)
	setIfPresent(&out.PartitionPolicy, v.PartitionPolicy)
	setIfPresent(&out.DeadlineMs, v.DeadlineMs)
	return out
}

func setIfPresent[T any](to, from *T) {
	if from != nil {
		*to = *from
	}
}

// NewPlan returns the plan of a valid intent.
func NewPlan(in Intent, s *model.State, inputs PlanInputs) Plan {
	next := Apply(in, s)
	p := Plan{
		ID: in.ID, Revision: s.Revision, Changes: describeChange(in, s, next), Effects: []Effect{},
		Warnings: warnings(in, s, next), MeasuredBy: inputs.Host, ExpectedMs: applyMs,
	}
	perBatchMs := int64(moveBatchMs)
	// MaxMoves applies to each service, and services move in parallel, so the service with the most moves sets the time.
	maxServiceMoves := 0
	for _, name := range sortedKeys(next.Services) {
		e, unchecked := serviceEffect(s, next, name)
		if e.Moves == 0 && e.RequestShare == 0 {
			continue
		}
		e.RequestsPerSecond = roundTo4Decimals(inputs.PerSecond[name] * e.RequestShare)
		p.Moves += e.Moves
		maxServiceMoves = max(maxServiceMoves, e.Moves)
		if len(p.Effects) < maxListEntries {
			p.Effects = append(p.Effects, e)
		} else {
			p.EffectsOmitted++
		}
		if unchecked {
			perBatchMs = uncheckedMoveBatchMs
		}
	}
	parallel := max(1, inputs.MaxMoves)
	if maxServiceMoves > 0 {
		p.ExpectedMs += moveStartMs + int64((maxServiceMoves+parallel-1)/parallel)*perBatchMs
	}
	return p
}

// serviceEffect compares the upstreams that accept requests of the service before and after the change. It also reports
// whether an owner that loses ranges doesn't check grants.
func serviceEffect(before, after *model.State, name string) (Effect, bool) {
	e := Effect{Service: name}
	from, to := acceptingSlots(before, name), acceptingSlots(after, name)
	if !after.Services[name].Keyed {
		e.RequestShare = roundTo4Decimals(changedSlotShare(from, to))
		return e, false
	}
	keptRanges, movedShare, unchecked := map[string]int{}, 0.0, false
	for _, a := range after.Ranges {
		if a.Service != name {
			continue
		}
		_, stays := to[a.Owner]
		if a.Phase != model.PhaseFree && stays {
			keptRanges[a.Owner]++
			continue
		}
		_, stayed := from[a.Owner]
		isNew := !before.Services[name].Keyed
		if (stayed && a.Phase != model.PhaseFree) || isNew {
			e.Moves++
			movedShare += rangeShare(a)
			unchecked = unchecked || !before.Upstreams[a.Owner].ChecksGrants
		}
	}
	if len(to) > len(from) {
		joinMoves, joinShare := estimateJoinMoves(after, name, keptRanges, to)
		e.Moves, movedShare = e.Moves+joinMoves, movedShare+joinShare
	}
	e.KeyShare, e.RequestShare = roundTo4Decimals(movedShare), roundTo4Decimals(movedShare)
	return e, unchecked
}

// estimateJoinMoves estimates how many ranges move to returning upstreams, and their share of the hash space. Each
// upstream gets an equal number of ranges.
func estimateJoinMoves(s *model.State, name string, keptRanges map[string]int, to map[string]int) (int, float64) {
	rangeCount, totalShare := 0, 0.0
	for _, a := range s.Ranges {
		if a.Service == name {
			rangeCount++
			totalShare += rangeShare(a)
		}
	}
	moves := 0
	for u := range to {
		moves += max(0, rangeCount/len(to)-keptRanges[u])
	}
	if rangeCount == 0 {
		return 0, 0
	}
	return moves, totalShare * float64(moves) / float64(rangeCount)
}

// acceptingSlots returns the number of slots of each upstream of a service, without drained upstreams and those in stopped
// data centres.
func acceptingSlots(s *model.State, service string) map[string]int {
	out := map[string]int{}
	for name, u := range s.Upstreams {
		if u.Service == service && !s.Drained[name] && !s.StoppedDCs[u.DataCentre] {
			out[name] = u.Slots
		}
	}
	return out
}

// changedSlotShare returns the share of slots that are removed or added.
func changedSlotShare(from, to map[string]int) float64 {
	total, changed := 0, 0
	for name, n := range from {
		total += n
		if _, ok := to[name]; !ok {
			changed += n
		}
	}
	for name, n := range to {
		if _, ok := from[name]; !ok {
			total += n
			changed += n
		}
	}
	if total == 0 {
		return 0
	}
	return float64(changed) / float64(total)
}

func rangeShare(a model.Assignment) float64 {
	return (float64(a.Last-a.First) + 1) / math.Exp2(64)
}

func describeChange(in Intent, before, after *model.State) []string {
	switch {
	case in.Service != nil:
		return describeService(before, after, in.Service.Name)
	case in.Keyed != nil:
		return []string{fmt.Sprintf("service %s: keyed false -> true, %d ranges",
			in.Keyed.Service, after.Services[in.Keyed.Service].Ranges)}
	case in.Drain != nil:
		return describeFlag("upstream", in.Drain.Name, "drained", before.Drained[in.Drain.Name], true)
	case in.Return != nil:
		return describeFlag("upstream", in.Return.Name, "drained", before.Drained[in.Return.Name], false)
	case in.StopDC != nil:
		return describeFlag("data centre", in.StopDC.Name, "stopped", before.StoppedDCs[in.StopDC.Name], true)
	case in.ReturnDC != nil:
		return describeFlag("data centre", in.ReturnDC.Name, "stopped", before.StoppedDCs[in.ReturnDC.Name], false)
	case in.Limit != nil:
		key := model.Limit(*in.Limit).Key()
		return []string{fmt.Sprintf("limit %s: %s -> %s", key, describeRate(before, key), describeRate(after, key))}
	case in.Members != nil:
		return describeMembers(*in.Members, before, after)
	}
	return []string{}
}

func describeService(before, after *model.State, name string) []string {
	old, existed := before.Services[name]
	updated := after.Services[name]
	if !existed {
		return []string{fmt.Sprintf("service %s: created, idempotent %t, class %s, on_cut %s, deadline %d ms",
			name, updated.Idempotent, updated.Class, updated.PartitionPolicy, updated.DeadlineMs)}
	}
	out := []string{}
	addIfChanged := func(field string, from, to any) {
		if from != to {
			out = append(out, fmt.Sprintf("service %s: %s %v -> %v", name, field, from, to))
		}
	}
	addIfChanged("idempotent", old.Idempotent, updated.Idempotent)
	addIfChanged("class", old.Class, updated.Class)
	addIfChanged("on_cut", old.PartitionPolicy, updated.PartitionPolicy)
	addIfChanged("deadline_ms", old.DeadlineMs, updated.DeadlineMs)
	return out
}

func describeFlag(kind, name, field string, before, after bool) []string {
	if before == after {
		return []string{}
	}
	return []string{fmt.Sprintf("%s %s: %s %t -> %t", kind, name, field, before, after)}
}

func describeRate(s *model.State, key string) string {
	if l, ok := s.Limits[key]; ok {
		return fmt.Sprintf("%g/s", l.PerSecond)
	}
	return "unlimited"
}

func warnings(in Intent, before, after *model.State) []string {
	out := []string{}
	if len(describeChange(in, before, after)) == 0 {
		out = append(out, "this changes nothing")
	}
	var singleUpstreamWarnings []string
	for _, name := range sortedKeys(after.Services) {
		from, to := acceptingSlots(before, name), acceptingSlots(after, name)
		switch {
		case len(to) == 0 && len(from) > 0:
			out = append(out, "no upstream left for service "+name)
		case len(to) == 1 && len(from) > 1:
			singleUpstreamWarnings = append(singleUpstreamWarnings, "one upstream left for service "+name)
		}
	}
	// Services without any upstream come first, so that these warnings are never cut from a long list in favour of less
	// severe ones.
	out = append(out, singleUpstreamWarnings...)
	if in.Keyed != nil {
		out = append(out, keyedWarnings(before, in.Keyed.Service)...)
	}
	if in.Members != nil {
		out = append(out, memberWarnings(*in.Members, before)...)
	}
	if in.Service != nil && in.Service.Idempotent != nil && *in.Service.Idempotent {
		out = append(out, "requests of every method may be repeated after a failure")
	}
	if omitted := len(out) - maxListEntries; omitted > 0 {
		out = append(out[:maxListEntries], fmt.Sprintf("and %d more warnings", omitted))
	}
	return out
}

func keyedWarnings(s *model.State, service string) []string {
	out := []string{
		"requests without the header Baobab-Key will be refused as missing_key",
		"a keyed service can't be made unkeyed again",
	}
	for _, name := range sortedKeys(s.Upstreams) {
		if u := s.Upstreams[name]; u.Service == service && !u.ChecksGrants {
			out = append(out, "upstream "+name+" doesn't check grants, so its moves take longer")
		}
	}
	return out
}

// roundTo4Decimals keeps plans readable and makes them independent of the order in which shares are added up.
func roundTo4Decimals(x float64) float64 { return math.Round(x*1e4) / 1e4 }

func sortedKeys[V any](m map[string]V) []string {
	out := make([]string, 0, len(m))
	for k := range m {
		out = append(out, k)
	}
	sort.Strings(out)
	return out
}
