package route

import (
	"encoding/json"
	"math"
	"slices"
	"time"

	"baobabreach/internal/model"

	"github.com/go-faster/errors"
)

// counter is one monitored key of a sketch.
type counter[K comparable] struct {
	key    K
	weight float64
	count  float64
	// overestimate bounds by how much weight exceeds the true value.
	overestimate float64
}

// sketch keeps the heaviest keys of a stream in bounded memory (space saving, Metwally et al. 2005): a key that
// isn't monitored replaces the lightest one and inherits its weight as its error.
type sketch[K comparable] struct {
	capacity int
	counters []counter[K]
	index    map[K]int
}

func newSketch[K comparable](size int) *sketch[K] {
	return &sketch[K]{capacity: size, index: make(map[K]int, size)}
}

func (k *sketch[K]) add(key K, weight, count float64) {
	i, ok := k.index[key]
	switch {
	case ok:
	case len(k.counters) < k.capacity:
		i = len(k.counters)
		k.counters = append(k.counters, counter[K]{key: key})
		k.index[key] = i
	default:
		i = k.minIndex()
		c := &k.counters[i]
		delete(k.index, c.key)
		k.index[key] = i
		c.key, c.overestimate, c.count = key, c.weight, 0
	}
	k.counters[i].weight += weight
	k.counters[i].count += count
}

func (k *sketch[K]) minIndex() int {
	lowest := 0
	for i := range k.counters {
		if k.counters[i].weight < k.counters[lowest].weight {
			lowest = i
		}
	}
	return lowest
}

// scale multiplies everything by factor.
func (k *sketch[K]) scale(factor float64) {
	for i := range k.counters {
		c := &k.counters[i]
		c.weight, c.overestimate, c.count = c.weight*factor, c.overestimate*factor, c.count*factor
	}
}

// top returns up to n counters by descending certain weight, ties by age in the sketch.
func (k *sketch[K]) top(n int) []counter[K] {
	out := slices.Clone(k.counters)
	slices.SortStableFunc(out, func(a, b counter[K]) int {
		switch x, y := a.weight-a.overestimate, b.weight-b.overestimate; {
		case x > y:
			return -1
		case x < y:
			return 1
		}
		return 0
	})
	return out[:min(n, len(out))]
}

// Sizes of a load report. A report of 16 keys and 64 ranges takes about 2 KB of JSON at most; ranges without
// requests are not in it.
const (
	maxReportedKeys   = 16
	maxReportedRanges = 64
	// sketchCapacity is the number of keys and of ranges that are counted; larger numbers lower the sketch's error.
	sketchCapacity = 256
	// loadWindow is the time in which past load loses half its weight.
	loadWindow = time.Second
)

// HotKey is the load of one key.
type HotKey struct {
	Service string `json:"service"`
	Hash    uint64 `json:"hash"`
	// Busy is the mean number of slots that the key occupies.
	Busy      float64 `json:"busy"`
	PerSecond float64 `json:"per_second"`
}

// RangeLoad is the load of one range in occupied slots.
type RangeLoad struct {
	Range uint64
	Busy  float64
	// Parts is the load of LoadParts equal parts of a range of an ordered service, for the busiest of them.
	Parts []float64
}

// MarshalJSON writes the range, its load and position and load of each part that has one as one list, loads in thousandths
// of a slot: reports of a hundred hosts make up a good part of the bytes between data centres.
func (r RangeLoad) MarshalJSON() ([]byte, error) {
	out := []uint64{r.Range, milliSlots(r.Busy)}
	for i, b := range r.Parts {
		if x := milliSlots(b); x > 0 {
			out = append(out, uint64(i), x)
		}
	}
	return json.Marshal(out)
}

// UnmarshalJSON reads what MarshalJSON wrote.
func (r *RangeLoad) UnmarshalJSON(b []byte) error {
	var in []uint64
	if err := json.Unmarshal(b, &in); err != nil {
		return err
	}
	if len(in) < 2 || len(in)%2 > 0 {
		return errors.Errorf("load of a range has %d numbers", len(in))
	}
	*r = RangeLoad{Range: in[0], Busy: float64(in[1]) / 1000}
	for k := 2; k < len(in); k += 2 {
		if in[k] >= LoadParts {
			return errors.Errorf("load of a range has a part %d", in[k])
		}
		if r.Parts == nil {
			r.Parts = make([]float64, LoadParts)
		}
		r.Parts[in[k]] = float64(in[k+1]) / 1000
	}
	return nil
}

func milliSlots(busy float64) uint64 { return uint64(math.Round(max(0, busy) * 1000)) }

// LoadParts is the number of parts that the load of a busy range is divided by.
const LoadParts = 16

// Load is what an entry host reports of its keyed requests.
type Load struct {
	Keys   []HotKey    `json:"keys,omitempty"`
	Ranges []RangeLoad `json:"ranges,omitempty"`
	// PerSecond is the rate of all keyed requests. With the loads it tells how much one request counts.
	PerSecond float64 `json:"per_second,omitempty"`
}

type keyID struct {
	service string
	hash    uint64
}

// loadMeter measures the load per key and range. Load halves in steps of loadWindow.
type loadMeter struct {
	keys   *sketch[keyID]
	ranges *sketch[uint64]
	// partLoads divides the load of ordered ranges by position.
	partLoads map[uint64]*[LoadParts]float64
	// windowStart is the start of the running window.
	windowStart time.Duration
}

func newLoadMeter() *loadMeter {
	return &loadMeter{
		keys: newSketch[keyID](sketchCapacity), ranges: newSketch[uint64](sketchCapacity),
		partLoads: map[uint64]*[LoadParts]float64{},
	}
}

func (m *loadMeter) addKey(now time.Duration, service string, hash, rangeID uint64, elapsed time.Duration) {
	m.addRange(now, rangeID, elapsed, 1)
	m.keys.add(keyID{service: service, hash: hash}, elapsed.Seconds(), 1)
}

func (m *loadMeter) addRange(now time.Duration, rangeID uint64, elapsed time.Duration, count float64) {
	m.decay(now)
	m.ranges.add(rangeID, elapsed.Seconds(), count)
}

// addPosition counts load of an ordered range at a position in it.
func (m *loadMeter) addPosition(now time.Duration, a model.Assignment, position uint64, elapsed time.Duration, count float64) {
	m.addRange(now, a.ID, elapsed, count)
	loads := m.partLoads[a.ID]
	if loads == nil {
		loads = new([LoadParts]float64)
		m.partLoads[a.ID] = loads
	}
	i := LoadParts * (float64(position-a.First) / (float64(a.Last-a.First) + 1))
	loads[min(LoadParts-1, int(i))] += elapsed.Seconds()
}

const (
	// minHotShare is the share of one range of the load of all from which the load counts as uneven, and minHotSlots the load of
	// the range in slots of this host.
	minHotShare = 0.12
	minHotSlots = 0.05
	// minHotRequests is the number of requests for one range within about two windows that says more than chance: a host of a
	// hundred gets a dozen keyed requests a second for hundreds of ranges.
	minHotRequests = 3
)

func (m *loadMeter) hasHotRange(now time.Duration) bool {
	m.decay(now)
	total, maxWeight := 0.0, 0.0
	for _, c := range m.ranges.counters {
		total += c.weight
		if c.count >= minHotRequests {
			maxWeight = max(maxWeight, c.weight-c.overestimate)
		}
	}
	return maxWeight/m.weightedSeconds(now) > minHotSlots && maxWeight > minHotShare*total
}

// minSlotsForParts is the load in slots of one host from which the parts of a range are reported.
const minSlotsForParts = 0.015

// maxRangesWithParts bounds the ranges with parts in a report.
const maxRangesWithParts = 6

func (m *loadMeter) averageParts(id uint64, seconds float64) []float64 {
	loads := m.partLoads[id]
	if loads == nil {
		return nil
	}
	out := make([]float64, LoadParts)
	for i, x := range loads {
		out[i] = roundToMilliSlots(x / seconds)
	}
	return out
}

// decay halves the counts once per window that has passed.
func (m *loadMeter) decay(now time.Duration) {
	for range min((now-m.windowStart)/loadWindow, 64) {
		m.keys.scale(0.5)
		m.ranges.scale(0.5)
		for id, loads := range m.partLoads {
			sum := 0.0
			for i := range loads {
				loads[i] /= 2
				sum += loads[i]
			}
			if sum < minSlotsForParts/4 {
				delete(m.partLoads, id)
			}
		}
	}
	m.windowStart += (now - m.windowStart) / loadWindow * loadWindow
}

// weightedSeconds is the time that the counts stand for: all earlier windows together weigh as much as one.
func (m *loadMeter) weightedSeconds(now time.Duration) float64 {
	return (loadWindow + now - m.windowStart).Seconds()
}

// roundToMilliSlots keeps reports short: more digits than a thousandth of a slot say nothing.
func roundToMilliSlots(busy float64) float64 { return math.Round(busy*1000) / 1000 }

func (m *loadMeter) report(now time.Duration) Load {
	m.decay(now)
	seconds := m.weightedSeconds(now)
	var l Load
	for _, c := range m.keys.top(maxReportedKeys) {
		if busy := (c.weight - c.overestimate) / seconds; busy > 0.001 {
			l.Keys = append(l.Keys, HotKey{Service: c.key.service, Hash: c.key.hash, Busy: busy, PerSecond: c.count / seconds})
		}
	}
	for i := range m.ranges.counters {
		l.PerSecond += m.ranges.counters[i].count / seconds
	}
	l.PerSecond = roundToMilliSlots(l.PerSecond)
	for i, c := range m.ranges.top(maxReportedRanges) {
		if busy := (c.weight - c.overestimate) / seconds; busy > 0.001 {
			r := RangeLoad{Range: c.key, Busy: roundToMilliSlots(busy)}
			if i < maxRangesWithParts && busy >= minSlotsForParts {
				r.Parts = m.averageParts(c.key, seconds)
			}
			l.Ranges = append(l.Ranges, r)
		}
	}
	return l
}
