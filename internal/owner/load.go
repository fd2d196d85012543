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
	// parts is the load of equal parts of ranges of ordered services, where it was reported.
	parts map[uint64][]float64
	// seeds is the load of parts that were cut, until it has been measured for their own sake.
	seeds map[hotKey]seed
	// coldSince is when a range with the Hot mark became cold.
	coldSince map[uint64]time.Duration
	// merging maps each part to its merge.
	merging map[uint64]*merge
}

type seed struct {
	busy  float64
	until time.Duration
}

// seedTime is how long the load of a part counts as it was before the cut; hosts need about that time to measure it.
const seedTime = 2500 * time.Millisecond

// of returns the load of a range in slots.
func (l *load) of(now time.Duration, a *model.Assignment) float64 {
	busy := l.ranges[a.ID]
	if s, ok := l.seeds[hotKey{a.Service, a.First}]; ok && now < s.until {
		return max(busy, s.busy)
	}
	return busy
}

type merge struct {
	parts    []uint64
	deadline time.Duration
}

func newLoad() load {
	return load{
		at: -loadInterval, keys: map[hotKey]float64{}, ranges: map[uint64]float64{}, parts: map[uint64][]float64{},
		seeds:     map[hotKey]seed{},
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
	for _, name := range sortedKeys(hosts) {
		addLoad(l, hosts[name].load)
	}
}

func addLoad(l *load, r route.Load) {
	for _, k := range r.Keys {
		l.keys[hotKey{service: k.Service, hash: k.Hash}] += k.Busy
	}
	for _, r := range r.Ranges {
		l.ranges[r.Range] += r.Busy
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
