package intent

import (
	"fmt"
	"math"
	"sort"

	"baobabreach/internal/model"
)

// Estimated times. moveStartMs and batchMs fit 20 runs with 12 daemons on one machine (medians 811 ms for 2 batches
// and 1,130 ms for 4), all upstreams checking grants. uncheckedBatchMs is not measured: for upstreams that don't check
// grants every entry host must renew its lease (300 ms) before and after a range is given back.
const (
	moveStartMs      = 450
	batchMs          = 160
	uncheckedBatchMs = 600
	// forceMs is the time until a change without moves is in force: a commit and one delivery by watch.
	forceMs = 50
)

// maxListed bounds the effects and the warnings of a plan, because plans are kept with their intents.
const maxListed = 32

// PlanInputs are measurements that a plan reports but that are not part of the state. They travel in the command, so
// that every replica computes the same plan.
type PlanInputs struct {
	// Host is the daemon that measured PerSecond, over its own callers only.
	Host string `json:"host"`
	// PerSecond is the rate of requests per service.
	PerSecond map[string]float64 `json:"per_second,omitempty"`
	// MaxMoves is the number of ranges that move at once; at least 1.
	MaxMoves int `json:"max_moves"`
}

// Effect tells how much of one service a plan affects.
type Effect struct {
	Service string `json:"service"`
	// KeyShare is the share of the hash space whose owner changes, from 0 to 1; 0 for a service without keys.
	KeyShare float64 `json:"key_share"`
	// RequestShare estimates the share of requests that go elsewhere, from 0 to 1: by keys, or by slots without keys.
	RequestShare float64 `json:"request_share"`
	// RequestsPerSecond is RequestShare of the rate that MeasuredBy saw from its own callers.
	RequestsPerSecond float64 `json:"requests_per_second"`
	Moves             int     `json:"moves"`
}

// Plan tells what an intent would change.
type Plan struct {
	ID string `json:"id"`
	// Revision is the settings revision that the plan is based on.
	Revision uint64   `json:"revision"`
	Changes  []string `json:"changes"`
	// Effects lists the services by name; EffectsOmitted counts those beyond maxListed.
	Effects        []Effect `json:"effects"`
	EffectsOmitted int      `json:"effects_omitted,omitempty"`
	// Moves is the number of ranges that change their owner, over all services.
	Moves int `json:"moves"`
	// ExpectedMs estimates the time from the confirmation until all moves have ended.
	ExpectedMs int64    `json:"expected_ms"`
	Warnings   []string `json:"warnings"`
	MeasuredBy string   `json:"measured_by"`
}

// Apply returns the state after the change, without the new revision. The intent must be valid for the state.
func Apply(in Intent, s *model.State) *model.State {
	switch {
	case in.Service != nil:
		return s.WithService(in.Service.resolve(s))
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

func (v Service) resolve(s *model.State) model.Service {
	out, ok := s.Services[v.Name]
	if !ok {
		out = model.Service{
			Name: v.Name, Class: model.ClassShort, OnCut: model.OnCutMajority, Ranges: model.DefaultRanges, DeadlineMs: 2000,
		}
	}
	set(&out.Idempotent, v.Idempotent)
	set(&out.Class, v.Class)
	set(&out.OnCut, v.OnCut)
	set(&out.DeadlineMs, v.DeadlineMs)
	return out
}

func set[T any](to, from *T) {
	if from != nil {
		*to = *from
	}
}

// New plans a valid intent.
func New(in Intent, s *model.State, f PlanInputs) Plan {
	next := Apply(in, s)
	p := Plan{
		ID: in.ID, Revision: s.Revision, Changes: describe(in, s, next), Effects: []Effect{}, Warnings: warnings(in, s, next),
		MeasuredBy: f.Host, ExpectedMs: forceMs,
	}
	batch := int64(batchMs)
	// MaxMoves bounds the moves of each service; services move at the same time.
	most := 0
	for _, name := range sortedKeys(next.Services) {
		e, unchecked := effect(s, next, name)
		if e.Moves == 0 && e.RequestShare == 0 {
			continue
		}
		e.RequestsPerSecond = round(f.PerSecond[name] * e.RequestShare)
		p.Moves += e.Moves
		most = max(most, e.Moves)
		if len(p.Effects) < maxListed {
			p.Effects = append(p.Effects, e)
		} else {
			p.EffectsOmitted++
		}
		if unchecked {
			batch = uncheckedBatchMs
		}
	}
	parallel := max(1, f.MaxMoves)
	if most > 0 {
		p.ExpectedMs += moveStartMs + int64((most+parallel-1)/parallel)*batch
	}
	return p
}

// effect compares who may serve the service before and after. It also tells whether a leaving owner doesn't check
// grants.
func effect(before, after *model.State, name string) (Effect, bool) {
	e := Effect{Service: name}
	from, to := accepting(before, name), accepting(after, name)
	if !after.Services[name].Keyed {
		e.RequestShare = round(lost(from, to))
		return e, false
	}
	held, width, unchecked := map[string]int{}, 0.0, false
	for _, a := range after.Ranges {
		if a.Service != name {
			continue
		}
		_, stays := to[a.Owner]
		if a.Phase != model.PhaseFree && stays {
			held[a.Owner]++
			continue
		}
		_, stayed := from[a.Owner]
		isNew := !before.Services[name].Keyed
		if (stayed && a.Phase != model.PhaseFree) || isNew {
			e.Moves++
			width += share(a)
			unchecked = unchecked || !before.Upstreams[a.Owner].ChecksGrants
		}
	}
	if len(to) > len(from) {
		n, w := joining(after, name, held, to)
		e.Moves, width = e.Moves+n, width+w
	}
	e.KeyShare, e.RequestShare = round(width), round(width)
	return e, unchecked
}

// joining estimates the ranges that returning upstreams take: their fair share of what is held.
func joining(s *model.State, name string, held map[string]int, to map[string]int) (int, float64) {
	total, ranges := 0, 0.0
	for _, a := range s.Ranges {
		if a.Service == name {
			total++
			ranges += share(a)
		}
	}
	n := 0
	for u := range to {
		n += max(0, total/len(to)-held[u])
	}
	if total == 0 {
		return 0, 0
	}
	return n, ranges * float64(n) / float64(total)
}

// accepting returns the slots of the upstreams of a service that an operator lets accept new work.
func accepting(s *model.State, service string) map[string]int {
	out := map[string]int{}
	for name, u := range s.Upstreams {
		if u.Service == service && !s.Drained[name] && !s.StoppedDCs[u.DataCentre] {
			out[name] = u.Slots
		}
	}
	return out
}

// lost returns the share of slots that leave or join.
func lost(from, to map[string]int) float64 {
	all, changed := 0, 0
	for name, n := range from {
		all += n
		if _, ok := to[name]; !ok {
			changed += n
		}
	}
	for name, n := range to {
		if _, ok := from[name]; !ok {
			all += n
			changed += n
		}
	}
	if all == 0 {
		return 0
	}
	return float64(changed) / float64(all)
}

func share(a model.Assignment) float64 {
	return (float64(a.Last-a.First) + 1) / math.Exp2(64)
}

func describe(in Intent, before, after *model.State) []string {
	switch {
	case in.Service != nil:
		return describeService(before, after, in.Service.Name)
	case in.Keyed != nil:
		return []string{fmt.Sprintf("service %s: keyed false -> true, %d ranges",
			in.Keyed.Service, after.Services[in.Keyed.Service].Ranges)}
	case in.Drain != nil:
		return flag("upstream", in.Drain.Name, "drained", before.Drained[in.Drain.Name], true)
	case in.Return != nil:
		return flag("upstream", in.Return.Name, "drained", before.Drained[in.Return.Name], false)
	case in.StopDC != nil:
		return flag("data centre", in.StopDC.Name, "stopped", before.StoppedDCs[in.StopDC.Name], true)
	case in.ReturnDC != nil:
		return flag("data centre", in.ReturnDC.Name, "stopped", before.StoppedDCs[in.ReturnDC.Name], false)
	case in.Limit != nil:
		key := model.Limit(*in.Limit).Key()
		return []string{fmt.Sprintf("limit %s: %s -> %s", key, rate(before, key), rate(after, key))}
	case in.Members != nil:
		return describeMembers(*in.Members, before, after)
	}
	return []string{}
}

func describeService(before, after *model.State, name string) []string {
	a, existed := before.Services[name]
	b := after.Services[name]
	if !existed {
		return []string{fmt.Sprintf("service %s: created, idempotent %t, class %s, on_cut %s, deadline %d ms",
			name, b.Idempotent, b.Class, b.OnCut, b.DeadlineMs)}
	}
	out := []string{}
	add := func(field string, x, y any) {
		if x != y {
			out = append(out, fmt.Sprintf("service %s: %s %v -> %v", name, field, x, y))
		}
	}
	add("idempotent", a.Idempotent, b.Idempotent)
	add("class", a.Class, b.Class)
	add("on_cut", a.OnCut, b.OnCut)
	add("deadline_ms", a.DeadlineMs, b.DeadlineMs)
	return out
}

func flag(what, name, field string, before, after bool) []string {
	if before == after {
		return []string{}
	}
	return []string{fmt.Sprintf("%s %s: %s %t -> %t", what, name, field, before, after)}
}

func rate(s *model.State, key string) string {
	if l, ok := s.Limits[key]; ok {
		return fmt.Sprintf("%g/s", l.PerSecond)
	}
	return "unlimited"
}

func warnings(in Intent, before, after *model.State) []string {
	out := []string{}
	if len(describe(in, before, after)) == 0 {
		out = append(out, "this changes nothing")
	}
	var fewer []string
	for _, name := range sortedKeys(after.Services) {
		from, to := accepting(before, name), accepting(after, name)
		switch {
		case len(to) == 0 && len(from) > 0:
			out = append(out, "no upstream left for service "+name)
		case len(to) == 1 && len(from) > 1:
			fewer = append(fewer, "one upstream left for service "+name)
		}
	}
	// Services that stop come first, so that a long list never leaves them out for lesser warnings.
	out = append(out, fewer...)
	if in.Keyed != nil {
		out = append(out, keyedWarnings(before, in.Keyed.Service)...)
	}
	if in.Members != nil {
		out = append(out, memberWarnings(*in.Members, before)...)
	}
	if in.Service != nil && in.Service.Idempotent != nil && *in.Service.Idempotent {
		out = append(out, "requests of every method may be repeated after a failure")
	}
	if n := len(out) - maxListed; n > 0 {
		out = append(out[:maxListed], fmt.Sprintf("and %d more warnings", n))
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

// round keeps plans readable and independent of the order of additions.
func round(x float64) float64 { return math.Round(x*1e4) / 1e4 }

func sortedKeys[V any](m map[string]V) []string {
	out := make([]string, 0, len(m))
	for k := range m {
		out = append(out, k)
	}
	sort.Strings(out)
	return out
}
