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
	// over bounds by how much weight exceeds the true value.
	over float64
}

// sketch keeps the heaviest keys of a stream in bounded memory (space saving, Metwally et al. 2005): a key that
// isn't monitored replaces the lightest one and inherits its weight as its error.
type sketch[K comparable] struct {
	size     int
	counters []counter[K]
	index    map[K]int
}

func newSketch[K comparable](size int) *sketch[K] {
	return &sketch[K]{size: size, index: make(map[K]int, size)}
}

func (k *sketch[K]) add(key K, weight, count float64) {
	i, ok := k.index[key]
	switch {
	case ok:
	case len(k.counters) < k.size:
		i = len(k.counters)
		k.counters = append(k.counters, counter[K]{key: key})
		k.index[key] = i
	default:
		i = k.lightest()
		c := &k.counters[i]
		delete(k.index, c.key)
		k.index[key] = i
		c.key, c.over, c.count = key, c.weight, 0
	}
	k.counters[i].weight += weight
	k.counters[i].count += count
}

func (k *sketch[K]) lightest() int {
	low := 0
	for i := range k.counters {
		if k.counters[i].weight < k.counters[low].weight {
			low = i
		}
	}
	return low
}

// scale multiplies everything by factor.
func (k *sketch[K]) scale(factor float64) {
	for i := range k.counters {
		c := &k.counters[i]
		c.weight, c.over, c.count = c.weight*factor, c.over*factor, c.count*factor
	}
}

// top returns up to n counters by descending certain weight, ties by age in the sketch.
func (k *sketch[K]) top(n int) []counter[K] {
	out := slices.Clone(k.counters)
	slices.SortStableFunc(out, func(a, b counter[K]) int {
		switch x, y := a.weight-a.over, b.weight-b.over; {
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
	reportedKeys   = 16
	reportedRanges = 64
	// monitored is the number of keys and of ranges that are counted; larger numbers lower the sketch's error.
	monitored = 256
	// loadWindow is the time in which past load loses half its weight.
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
	// Parts is the load of LoadParts equal parts of a range of an ordered service, for the busiest of them.
	Parts []float64
}

// MarshalJSON writes the range, its load and position and load of each part that has one as one list, loads in thousandths
// of a slot: reports of a hundred hosts make up a good part of the bytes between data centres.
func (r RangeLoad) MarshalJSON() ([]byte, error) {
	out := []uint64{r.Range, thousandths(r.BusySlots)}
	for i, b := range r.Parts {
		if x := thousandths(b); x > 0 {
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
	*r = RangeLoad{Range: in[0], BusySlots: float64(in[1]) / 1000}
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

func thousandths(busy float64) uint64 { return uint64(math.Round(max(0, busy) * 1000)) }

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

// meter measures the load per key and range. Load halves in steps of loadWindow.
type meter struct {
	keys   *sketch[keyID]
	ranges *sketch[uint64]
	// parts divides the load of ordered ranges by position.
	parts map[uint64]*[LoadParts]float64
	// since is the start of the running window.
	since time.Duration
}

func newMeter() *meter {
	return &meter{
		keys: newSketch[keyID](monitored), ranges: newSketch[uint64](monitored),
		parts: map[uint64]*[LoadParts]float64{},
	}
}

func (m *meter) add(now time.Duration, service string, hash, rangeID uint64, elapsed time.Duration) {
	m.addRange(now, rangeID, elapsed, 1)
	m.keys.add(keyID{service: service, hash: hash}, elapsed.Seconds(), 1)
}

func (m *meter) addRange(now time.Duration, rangeID uint64, elapsed time.Duration, count float64) {
	m.age(now)
	m.ranges.add(rangeID, elapsed.Seconds(), count)
}

// addPosition counts load of an ordered range at a position in it.
func (m *meter) addPosition(now time.Duration, a model.Assignment, position uint64, elapsed time.Duration, count float64) {
	m.addRange(now, a.ID, elapsed, count)
	ps := m.parts[a.ID]
	if ps == nil {
		ps = new([LoadParts]float64)
		m.parts[a.ID] = ps
	}
	i := LoadParts * (float64(position-a.First) / (float64(a.Last-a.First) + 1))
	ps[min(LoadParts-1, int(i))] += elapsed.Seconds()
}

const (
	// hotShare is the share of one range of the load of all from which the load counts as uneven, and hotBusy the load of
	// the range in slots of this host.
	hotShare = 0.12
	hotBusy  = 0.05
	// hotCount is the number of requests for one range within about two windows that says more than chance: a host of a
	// hundred gets a dozen keyed requests a second for hundreds of ranges.
	hotCount = 3
)

func (m *meter) hot(now time.Duration) bool {
	m.age(now)
	sum, most := 0.0, 0.0
	for _, c := range m.ranges.counters {
		sum += c.weight
		if c.count >= hotCount {
			most = max(most, c.weight-c.over)
		}
	}
	return most/m.span(now) > hotBusy && most > hotShare*sum
}

// minPartsBusy is the load in slots of one host from which the parts of a range are reported.
const minPartsBusy = 0.015

// reportedParts bounds the ranges with parts in a report.
const reportedParts = 6

func (m *meter) partsOf(id uint64, span float64) []float64 {
	ps := m.parts[id]
	if ps == nil {
		return nil
	}
	out := make([]float64, LoadParts)
	for i, x := range ps {
		out[i] = round(x / span)
	}
	return out
}

// age halves the counts once per window that has passed.
func (m *meter) age(now time.Duration) {
	for range min((now-m.since)/loadWindow, 64) {
		m.keys.scale(0.5)
		m.ranges.scale(0.5)
		for id, ps := range m.parts {
			sum := 0.0
			for i := range ps {
				ps[i] /= 2
				sum += ps[i]
			}
			if sum < minPartsBusy/4 {
				delete(m.parts, id)
			}
		}
	}
	m.since += (now - m.since) / loadWindow * loadWindow
}

// span is the time that the counts stand for: all earlier windows together weigh as much as one.
func (m *meter) span(now time.Duration) float64 {
	return (loadWindow + now - m.since).Seconds()
}

// round keeps reports short: more digits than a thousandth of a slot say nothing.
func round(busy float64) float64 { return math.Round(busy*1000) / 1000 }

func (m *meter) load(now time.Duration) Load {
	m.age(now)
	span := m.span(now)
	var l Load
	for _, c := range m.keys.top(reportedKeys) {
		if b := (c.weight - c.over) / span; b > 0.001 {
			l.Keys = append(l.Keys, HotKey{Service: c.key.service, Hash: c.key.hash, BusySlots: b, PerSecond: c.count / span})
		}
	}
	for i := range m.ranges.counters {
		l.PerSecond += m.ranges.counters[i].count / span
	}
	l.PerSecond = round(l.PerSecond)
	for i, c := range m.ranges.top(reportedRanges) {
		if b := (c.weight - c.over) / span; b > 0.001 {
			r := RangeLoad{Range: c.key, BusySlots: round(b)}
			if i < reportedParts && b >= minPartsBusy {
				r.Parts = m.partsOf(c.key, span)
			}
			l.Ranges = append(l.Ranges, r)
		}
	}
	return l
}
