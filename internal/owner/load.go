package owner

import (
	"maps"
	"slices"
	"time"

	"baobabreach/internal/model"
	"baobabreach/internal/route"
)

const (
	// hotShare is the share of its owner's slots above which a key gets a range of its own. Three keys below it
	// leave a quarter of the owner free, so whole ranges can still be balanced.
	hotShare = 0.25
	// coldShare is the share below which such a range counts as cold; the gap to hotShare prevents flapping.
	coldShare = 0.05
	// coldTime is how long a range must be cold before it is merged again.
	coldTime = 10 * time.Second
	// mergeWait bounds how long the parts of a merge wait for each other without an owner.
	mergeWait = 500 * time.Millisecond
	// loadInterval is the time between two sums over all hosts.
	loadInterval = 500 * time.Millisecond
)

// Weight of a range in the balance: rangeWeight for the range itself and as much again, on average over the
// service, for its measured load. An idle range still counts, because its load may come back at any moment.
const rangeWeight = 1000

type hotKey struct {
	service string
	hash    uint64
}

// load is the measured load of all live entry hosts together, in occupied slots.
type load struct {
	at     time.Duration
	keys   map[hotKey]float64
	ranges map[uint64]float64
	// smooth holds the loads of ranges without the differences that chance makes.
	smooth map[uint64]average
	// quantum is the load in slots that one request more or less makes in a sum.
	quantum float64
	// parts is the load of equal parts of ranges of ordered services, where it was reported.
	parts map[uint64][]float64
	// seeds is the load of parts that were cut, until it has been measured for their own sake.
	seeds map[hotKey]seed
	// coldSince is when a range with the Hot mark became cold.
	coldSince map[uint64]time.Duration
	// merging maps each part to its merge.
	merging map[uint64]*merge
}

// average is a mean over several sums.
type average struct {
	busy float64
	// n is the number of sums in it.
	n int
}

const (
	// smoothSums is the number of sums that an average goes back, about six seconds.
	smoothSums = 12
	// surprise is the number of standard deviations by which a sum must differ from the average to replace it at once.
	surprise = 5.0
	// measuredTime is the time that the loads of one sum stand for: the running window of a host and those before it.
	measuredTime = 1.5
)

// with returns the average with one more sum. One request more or less makes a difference of quantum; requests that come
// at random make the variance of the load quantum times its mean.
func (a average) with(busy, quantum float64) average {
	if difference := busy - a.busy; difference*difference > surprise*surprise*max(a.busy, quantum)*quantum {
		return average{busy: busy, n: 1}
	}
	n := min(a.n+1, smoothSums)
	return average{busy: a.busy + (busy-a.busy)/float64(n), n: n}
}

// variance returns the variance that chance gives the average. Two sums share most of what hosts reported.
func (a average) variance(quantum float64) float64 { return a.busy * quantum / max(1, float64(a.n)/2) }

type seed struct {
	busy  float64
	until time.Duration
}

// seedTime is how long the load of a part counts as it was before the cut; hosts need about that time to measure it.
const seedTime = 2500 * time.Millisecond

// of returns the load of a range in slots.
func (l *load) of(now time.Duration, a *model.Assignment) float64 {
	busy := l.smooth[a.ID].busy
	if s, ok := l.seeds[hotKey{a.Service, a.First}]; ok && now < s.until {
		return max(busy, s.busy)
	}
	return busy
}

// variance returns the variance that chance gives the load of a range.
func (l *load) variance(now time.Duration, a *model.Assignment) float64 {
	if s, ok := l.seeds[hotKey{a.Service, a.First}]; ok && now < s.until {
		return s.busy * l.quantum
	}
	return l.smooth[a.ID].variance(l.quantum)
}

type merge struct {
	parts    []uint64
	deadline time.Duration
}

func newLoad() load {
	return load{
		at: -loadInterval, keys: map[hotKey]float64{}, ranges: map[uint64]float64{}, parts: map[uint64][]float64{},
		seeds: map[hotKey]seed{}, smooth: map[uint64]average{},
		coldSince: map[uint64]time.Duration{}, merging: map[uint64]*merge{},
	}
}

func (l *load) refresh(now time.Duration, hosts map[string]*entryHost) {
	if now-l.at < loadInterval {
		return
	}
	l.at = now
	clear(l.keys)
	clear(l.ranges)
	clear(l.parts)
	maps.DeleteFunc(l.seeds, func(_ hotKey, x seed) bool { return now >= x.until })
	// Summed in a fixed order, because the rounding of the sums decides moves.
	busy, perSecond := 0.0, 0.0
	for _, name := range sortedKeys(hosts) {
		r := hosts[name].load
		addLoad(l, r)
		perSecond += r.PerSecond
		for _, x := range r.Ranges {
			busy += x.BusySlots
		}
	}
	l.quantum = busy / max(perSecond, 1) / measuredTime
	l.average()
}

// average takes the new sums into the averages.
func (l *load) average() {
	for id, a := range l.smooth {
		if _, ok := l.ranges[id]; !ok {
			l.smooth[id] = a.with(0, l.quantum)
		}
		if l.smooth[id].busy < forgottenBusy {
			delete(l.smooth, id)
		}
	}
	for id, busy := range l.ranges {
		l.smooth[id] = l.smooth[id].with(busy, l.quantum)
	}
}

// forgottenBusy is the load in slots below which an average is dropped.
const forgottenBusy = 0.001

func addLoad(l *load, r route.Load) {
	for _, k := range r.Keys {
		l.keys[hotKey{service: k.Service, hash: k.Hash}] += k.BusySlots
	}
	for _, r := range r.Ranges {
		l.ranges[r.Range] += r.BusySlots
		if len(r.Parts) != route.LoadParts {
			continue
		}
		if l.parts[r.Range] == nil {
			l.parts[r.Range] = make([]float64, route.LoadParts)
		}
		for i, b := range r.Parts {
			l.parts[r.Range][i] += b
		}
	}
}

// hottest returns the hottest key of a range that needs a range of its own, or false.
func (l *load) hottest(hot []uint64, a model.Assignment) (uint64, bool) {
	best, found := uint64(0), false
	for _, h := range hot {
		if h < a.First || h > a.Last || a.First == a.Last {
			continue
		}
		x, y := l.keys[hotKey{a.Service, h}], l.keys[hotKey{a.Service, best}]
		if !found || x > y || (x == y && h < best) {
			best, found = h, true
		}
	}
	return best, found
}

// hotKeys returns the keys of a service that exceed hotShare of the slots of one upstream.
func (l *load) hotKeys(service string, slots int) []uint64 {
	var out []uint64
	for k, busy := range l.keys {
		if k.service == service && busy > hotShare*float64(slots) {
			out = append(out, k.hash)
		}
	}
	slices.Sort(out)
	return out
}

// cold tells whether a hot key's own range has been cold for long enough to be merged.
func (l *load) cold(now time.Duration, a model.Assignment, slots int) bool {
	if !a.Hot || l.keys[hotKey{a.Service, a.First}] >= coldShare*float64(slots) {
		delete(l.coldSince, a.ID)
		return false
	}
	since, ok := l.coldSince[a.ID]
	if !ok {
		l.coldSince[a.ID] = now
		return false
	}
	return now-since >= coldTime
}
