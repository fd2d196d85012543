package owner

import (
	"maps"
	"slices"
	"time"

	"baobabreach/internal/model"
	"baobabreach/internal/route"
)

const (
	// hotShare is the share of an upstream's slots above which a key gets a range of its own. Even three keys just
	// below it in one range leave a quarter of the upstream free, so such ranges can be balanced as a whole.
	hotShare = 0.25
	// coldShare is the share of an upstream's slots below which the range of a hot key counts as cold. The gap to
	// hotShare prevents flapping.
	coldShare = 0.05
	// coldTime is how long a range must be cold before it is merged again.
	coldTime = 10 * time.Second
	// mergeWait limits how long the parts of a merge wait without an owner for one another.
	mergeWait = 500 * time.Millisecond
	// loadInterval is the time between two load samples. A sample adds up the latest load reports of all hosts.
	loadInterval = 500 * time.Millisecond
)

// rangeWeight is the base weight of a range in the balance. Measured load adds as much again on average over
// the service. An idle range counts because it may get load again at any time.
const rangeWeight = 1000

// servicePosition is a position in the hash space of a service: that of a key or the first of a range.
type servicePosition struct {
	service  string
	position uint64
}

// loadTracker holds the measured load of all live entry hosts together, in occupied slots.
type loadTracker struct {
	refreshedAt time.Duration
	keyLoads    map[servicePosition]float64
	rangeLoads  map[uint64]float64
	// averages holds the smoothed loads of ranges.
	averages map[uint64]loadAverage
	// loadPerRequest is the load in slots that a single request adds to a sample.
	loadPerRequest float64
	// partLoads holds the loads of equal parts of the ranges of ordered services, where they were reported.
	partLoads map[uint64][]float64
	// estimates holds the loads of the pieces of split ranges, by first position, until the pieces themselves have been
	// measured.
	estimates map[servicePosition]loadEstimate
	// coldSince holds when a range with the Hot flag became cold.
	coldSince map[uint64]time.Duration
	// merging maps the ID of each part to its merge.
	merging map[uint64]*merge
}

// loadAverage is the mean load in slots over several samples.
type loadAverage struct {
	load float64
	// samples is the number of samples in the mean.
	samples int
}

const (
	// averagedSamples is the number of samples that an average covers, about six seconds.
	averagedSamples = 12
	// jumpDeviations is the number of standard deviations by which a sample must differ from the average to replace
	// it at once.
	jumpDeviations = 5.0
	// measuredSeconds is the mean period that a host's load report represents: half of the current one-second window,
	// plus the earlier windows, which are decayed and together weigh as much as one.
	measuredSeconds = 1.5
)

// add returns the average with one more sample. Each request changes a sample by loadPerRequest; with requests that arrive
// at random, the variance of the load is loadPerRequest times its mean.
func (a loadAverage) add(load, loadPerRequest float64) loadAverage {
	if diff := load - a.load; diff*diff > jumpDeviations*jumpDeviations*max(a.load, loadPerRequest)*loadPerRequest {
		return loadAverage{load: load, samples: 1}
	}
	n := min(a.samples+1, averagedSamples)
	return loadAverage{load: a.load + (load-a.load)/float64(n), samples: n}
}

// variance returns the variance of the average that results from random arrivals. Two consecutive samples share most
// of the hosts' reports.
func (a loadAverage) variance(loadPerRequest float64) float64 {
	return a.load * loadPerRequest / max(1, float64(a.samples)/2)
}

// loadEstimate is the load of a piece of a split range, as measured before the split.
type loadEstimate struct {
	load      float64
	expiresAt time.Duration
}

// estimateTTL is how long the load measured before the split counts for a piece. Hosts need about that time to measure
// it.
const estimateTTL = 2500 * time.Millisecond

// rangeLoad returns the load of a range in slots.
func (l *loadTracker) rangeLoad(now time.Duration, a *model.Assignment) float64 {
	load := l.averages[a.ID].load
	if s, ok := l.estimates[servicePosition{a.Service, a.First}]; ok && now < s.expiresAt {
		return max(load, s.load)
	}
	return load
}

// variance returns the variance of a range's measured load that results from random arrivals.
func (l *loadTracker) variance(now time.Duration, a *model.Assignment) float64 {
	if s, ok := l.estimates[servicePosition{a.Service, a.First}]; ok && now < s.expiresAt {
		return s.load * l.loadPerRequest
	}
	return l.averages[a.ID].variance(l.loadPerRequest)
}

// merge is a pending merge of ranges, given by ID, which are being released. It is given up at deadline.
type merge struct {
	parts    []uint64
	deadline time.Duration
}

func newLoadTracker() loadTracker {
	return loadTracker{
		refreshedAt: -loadInterval, keyLoads: map[servicePosition]float64{}, rangeLoads: map[uint64]float64{},
		partLoads: map[uint64][]float64{},
		estimates: map[servicePosition]loadEstimate{}, averages: map[uint64]loadAverage{},
		coldSince: map[uint64]time.Duration{}, merging: map[uint64]*merge{},
	}
}

// refresh takes a load sample if the last one is older than loadInterval.
func (l *loadTracker) refresh(now time.Duration, hosts map[string]*entryHost) {
	if now-l.refreshedAt < loadInterval {
		return
	}
	l.refreshedAt = now
	clear(l.keyLoads)
	clear(l.rangeLoads)
	clear(l.partLoads)
	maps.DeleteFunc(l.estimates, func(_ servicePosition, x loadEstimate) bool { return now >= x.expiresAt })
	// The reports are added up in a fixed order, because rounding can decide which range moves.
	totalLoad, perSecond := 0.0, 0.0
	for _, name := range sortedKeys(hosts) {
		report := hosts[name].load
		addReport(l, report)
		perSecond += report.PerSecond
		for _, x := range report.Ranges {
			totalLoad += x.BusySlots
		}
	}
	l.loadPerRequest = totalLoad / max(perSecond, 1) / measuredSeconds
	l.updateAverages()
}

// updateAverages adds the new sample to the averages.
func (l *loadTracker) updateAverages() {
	for id, a := range l.averages {
		if _, ok := l.rangeLoads[id]; !ok {
			l.averages[id] = a.add(0, l.loadPerRequest)
		}
		if l.averages[id].load < minAverageLoad {
			delete(l.averages, id)
		}
	}
	for id, load := range l.rangeLoads {
		l.averages[id] = l.averages[id].add(load, l.loadPerRequest)
	}
}

// minAverageLoad is the load in slots below which an average is dropped.
const minAverageLoad = 0.001

// addReport adds the load report of one host to the current sample.
func addReport(l *loadTracker, report route.Load) {
	for _, k := range report.Keys {
		l.keyLoads[servicePosition{service: k.Service, position: k.Hash}] += k.BusySlots
	}
	for _, r := range report.Ranges {
		l.rangeLoads[r.Range] += r.BusySlots
		if len(r.Parts) != route.LoadParts {
			continue
		}
		if l.partLoads[r.Range] == nil {
			l.partLoads[r.Range] = make([]float64, route.LoadParts)
		}
		for i, b := range r.Parts {
			l.partLoads[r.Range][i] += b
		}
	}
}

// hottestKey returns the hottest key in the range that needs a range of its own, or false if there is none.
func (l *loadTracker) hottestKey(hot []uint64, a model.Assignment) (uint64, bool) {
	best, found := uint64(0), false
	for _, h := range hot {
		if h < a.First || h > a.Last || a.First == a.Last {
			continue
		}
		x, y := l.keyLoads[servicePosition{a.Service, h}], l.keyLoads[servicePosition{a.Service, best}]
		if !found || x > y || (x == y && h < best) {
			best, found = h, true
		}
	}
	return best, found
}

// hotKeys returns the keys of a service that use more than hotShare of the slots of one upstream.
func (l *loadTracker) hotKeys(service string, slots int) []uint64 {
	var out []uint64
	for k, load := range l.keyLoads {
		if k.service == service && load > hotShare*float64(slots) {
			out = append(out, k.position)
		}
	}
	slices.Sort(out)
	return out
}

// cooledDown reports whether the range of a hot key has been cold for long enough to be merged.
func (l *loadTracker) cooledDown(now time.Duration, a model.Assignment, slots int) bool {
	if !a.Hot || l.keyLoads[servicePosition{a.Service, a.First}] >= coldShare*float64(slots) {
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
