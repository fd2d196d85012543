package route

import (
	"encoding/json"
	"math"
	"slices"
	"time"

	"baobabreach/internal/model"

	"github.com/go-faster/errors"
)

// counter is the entry of a tracked key in a sketch.
type counter[K comparable] struct {
	key    K
	weight float64
	count  float64
	// overestimate is the upper bound of the amount by which weight exceeds the true value.
	overestimate float64
}

// sketch tracks the heaviest keys of a stream in bounded memory with the Space-Saving algorithm (Metwally et al. 2005):
// once it is full, a new key replaces the lightest tracked key and inherits its weight as the error bound.
type sketch[K comparable] struct {
	capacity int
	counters []counter[K]
	index    map[K]int
}

func newSketch[K comparable](size int) *sketch[K] {
	return &sketch[K]{capacity: size, index: make(map[K]int, size)}
}

func (s *sketch[K]) add(key K, weight, count float64) {
	i, ok := s.index[key]
	switch {
	case ok:
	case len(s.counters) < s.capacity:
		i = len(s.counters)
		s.counters = append(s.counters, counter[K]{key: key})
		s.index[key] = i
	default:
		i = s.minIndex()
		c := &s.counters[i]
		delete(s.index, c.key)
		s.index[key] = i
		c.key, c.overestimate, c.count = key, c.weight, 0
	}
	s.counters[i].weight += weight
	s.counters[i].count += count
}

func (s *sketch[K]) minIndex() int {
	lowest := 0
	for i := range s.counters {
		if s.counters[i].weight < s.counters[lowest].weight {
			lowest = i
		}
	}
	return lowest
}

// scale multiplies all weights, error bounds and counts by factor.
func (s *sketch[K]) scale(factor float64) {
	for i := range s.counters {
		c := &s.counters[i]
		c.weight, c.overestimate, c.count = c.weight*factor, c.overestimate*factor, c.count*factor
	}
}

// top returns up to n counters by descending guaranteed weight. Ties keep their order in the sketch.
func (s *sketch[K]) top(n int) []counter[K] {
	out := slices.Clone(s.counters)
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

// Limits of a load report. A report of 16 keys and 64 ranges takes at most about 2 KB of JSON; ranges without requests
// are left out.
const (
	maxReportedKeys   = 16
	maxReportedRanges = 64
	// sketchCapacity is the number of keys, and of ranges, that are tracked; a larger capacity lowers the error of the sketch.
	sketchCapacity = 256
	// loadWindow is the interval at which the weight of past load is halved.
	loadWindow = time.Second
)

// HotKey is the load of one key.
type HotKey struct {
	Service string `json:"service"`
	Hash    uint64 `json:"hash"`
	// BusySlots is the mean number of slots that the key occupies.
	BusySlots float64 `json:"busy"`
	PerSecond float64 `json:"per_second"`
}

// RangeLoad is the load of one range in occupied slots.
type RangeLoad struct {
	Range     uint64
	BusySlots float64
	// Parts is the load of each of the LoadParts equal parts of an ordered service's range. Only the busiest ranges have it.
	Parts []float64
}

// MarshalJSON encodes the load as one list of integers: the range, its load, and the index and load of each part with
// load, where loads are in thousandths of a slot. The encoding is compact because the reports of a hundred hosts make up
// a large share of the traffic between data centres.
func (r RangeLoad) MarshalJSON() ([]byte, error) {
	out := []uint64{r.Range, milliSlots(r.BusySlots)}
	for i, b := range r.Parts {
		if x := milliSlots(b); x > 0 {
			out = append(out, uint64(i), x)
		}
	}
	return json.Marshal(out)
}

// UnmarshalJSON decodes the output of MarshalJSON.
func (r *RangeLoad) UnmarshalJSON(b []byte) error {
	var in []uint64
	if err := json.Unmarshal(b, &in); err != nil {
		return err
	}
	if len(in) < 2 || len(in)%2 > 0 {
		return errors.Errorf("range load has %d numbers; expected an even number, at least 2", len(in))
	}
	*r = RangeLoad{Range: in[0], BusySlots: float64(in[1]) / 1000}
	for k := 2; k < len(in); k += 2 {
		if in[k] >= LoadParts {
			return errors.Errorf("range load has part index %d, which is out of bounds", in[k])
		}
		if r.Parts == nil {
			r.Parts = make([]float64, LoadParts)
		}
		r.Parts[in[k]] = float64(in[k+1]) / 1000
	}
	return nil
}

func milliSlots(busy float64) uint64 { return uint64(math.Round(max(0, busy) * 1000)) }

// LoadParts is the number of equal parts for which the load of a busy ordered range is reported.
const LoadParts = 16

// Load is an entry host's report on its keyed requests.
type Load struct {
	Keys   []HotKey    `json:"keys,omitempty"`
	Ranges []RangeLoad `json:"ranges,omitempty"`
	// PerSecond is the rate of all keyed requests. Together with the loads it gives the load of one request.
	PerSecond float64 `json:"per_second,omitempty"`
}

type keyID struct {
	service string
	hash    uint64
}

// loadMeter measures the load per key and per range. The weight of past load is halved every loadWindow.
type loadMeter struct {
	keys   *sketch[keyID]
	ranges *sketch[uint64]
	// partLoads holds the load of each part of the ordered ranges, by range ID.
	partLoads map[uint64]*[LoadParts]float64
	// windowStart is the start of the current window.
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

// addPosition adds load at a position of an ordered range.
func (m *loadMeter) addPosition(now time.Duration, a model.Assignment, position uint64, busy time.Duration, count float64) {
	m.addRange(now, a.ID, busy, count)
	loads := m.partLoads[a.ID]
	if loads == nil {
		loads = new([LoadParts]float64)
		m.partLoads[a.ID] = loads
	}
	i := LoadParts * (float64(position-a.First) / (float64(a.Last-a.First) + 1))
	loads[min(LoadParts-1, int(i))] += busy.Seconds()
}

const (
	// A range is hot if its load exceeds both minHotShare of this host's total load and minHotSlots slots.
	minHotShare = 0.12
	minHotSlots = 0.05
	// minHotRequests is the number of requests for one range within about two windows that is unlikely to be chance: each
	// of a hundred hosts gets a dozen keyed requests per second, spread over hundreds of ranges.
	minHotRequests = 3
)

// hasHotRange reports whether any range with at least minHotRequests requests is hot.
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

// minSlotsForParts is the smallest load of a range, in slots of one host, for which its parts are reported.
const minSlotsForParts = 0.015

// maxRangesWithParts bounds the number of ranges in a report whose parts are included.
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

// decay halves all weights and counts once per elapsed window.
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

// weightedSeconds is the time that the decayed weights represent: all earlier windows together weigh as much as one.
func (m *loadMeter) weightedSeconds(now time.Duration) float64 {
	return (loadWindow + now - m.windowStart).Seconds()
}

// roundToMilliSlots keeps reports short: load below a thousandth of a slot is not significant.
func roundToMilliSlots(busy float64) float64 { return math.Round(busy*1000) / 1000 }

func (m *loadMeter) report(now time.Duration) Load {
	m.decay(now)
	seconds := m.weightedSeconds(now)
	var l Load
	for _, c := range m.keys.top(maxReportedKeys) {
		if busy := (c.weight - c.overestimate) / seconds; busy > 0.001 {
			l.Keys = append(l.Keys, HotKey{Service: c.key.service, Hash: c.key.hash, BusySlots: busy, PerSecond: c.count / seconds})
		}
	}
	for i := range m.ranges.counters {
		l.PerSecond += m.ranges.counters[i].count / seconds
	}
	l.PerSecond = roundToMilliSlots(l.PerSecond)
	for i, c := range m.ranges.top(maxReportedRanges) {
		if busy := (c.weight - c.overestimate) / seconds; busy > 0.001 {
			r := RangeLoad{Range: c.key, BusySlots: roundToMilliSlots(busy)}
			if i < maxRangesWithParts && busy >= minSlotsForParts {
				r.Parts = m.averageParts(c.key, seconds)
			}
			l.Ranges = append(l.Ranges, r)
		}
	}
	return l
}
