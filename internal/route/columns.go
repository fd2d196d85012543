package route

import (
	"cmp"
	"math"
	"slices"

	"baobabreach/internal/model"

	"github.com/go-faster/errors"
)

// rangeColumns is a columnar encoding of ranges. Adjacent ranges have similar values in the same field, so a thousand
// ranges compress to a third of their row-wise size.
type rangeColumns struct {
	Services []string `json:"services"`
	Owners   []string `json:"owners"`
	// Version is the version of the encoded table.
	Version uint64 `json:"version"`
	// The lists below have one entry per range. ID is the difference from the ID of the previous range. Service is an index
	// in Services; Owner is an index in Owners plus 1, or 0 for no owner. Gap and Width are in units of model.OrderedSpan:
	// Gap is the distance from the end of the previous range of the service, or from 0 for the first one. Age is
	// Version minus the version of the last change of the range.
	ID      []int64       `json:"id"`
	Service []int         `json:"service"`
	Owner   []int         `json:"owner"`
	Gap     []uint64      `json:"gap"`
	Width   []uint64      `json:"width"`
	Epoch   []uint64      `json:"epoch"`
	Phase   []model.Phase `json:"phase"`
	Age     []uint64      `json:"age"`
}

// newRangeColumns encodes the ranges that fitsColumns accepts and returns the others as unfit: those with rarely used
// fields, and those of services that are not ordered.
func newRangeColumns(t *Table) (c *rangeColumns, unfit []model.Assignment) {
	c = &rangeColumns{Version: t.Version}
	services, owners := map[string]int{}, map[string]int{"": 0}
	prevID, prevEnd, service := uint64(0), uint64(0), ""
	for _, a := range t.Ranges {
		if !fitsColumns(t, a) {
			unfit = append(unfit, a)
			continue
		}
		if a.Service != service {
			service, prevEnd = a.Service, 0
		}
		if _, ok := services[service]; !ok {
			services[service] = len(c.Services)
			c.Services = append(c.Services, service)
		}
		if _, ok := owners[a.Owner]; !ok {
			c.Owners = append(c.Owners, a.Owner)
			owners[a.Owner] = len(c.Owners)
		}
		first, last := a.First/model.OrderedSpan, a.Last/model.OrderedSpan
		c.ID = append(c.ID, int64(a.ID-prevID))
		c.Service = append(c.Service, services[service])
		c.Owner = append(c.Owner, owners[a.Owner])
		c.Gap = append(c.Gap, first-prevEnd)
		c.Width = append(c.Width, last+1-first)
		c.Epoch = append(c.Epoch, a.Epoch)
		c.Phase = append(c.Phase, a.Phase)
		c.Age = append(c.Age, t.Version-a.Changed)
		prevID, prevEnd = a.ID, last+1
	}
	return c, unfit
}

// fitsColumns reports whether rangeColumns can represent the range without loss.
func fitsColumns(t *Table, a model.Assignment) bool {
	keyAligned := a.First%model.OrderedSpan == 0 && a.Last%model.OrderedSpan == model.OrderedSpan-1
	ownerKnown := a.Owner == "" && a.Incarnation == 0 || a.Owner != "" && t.Upstreams[a.Owner].Incarnation == a.Incarnation
	return t.Services[a.Service].Ordered && keyAligned && ownerKnown && a.Changed <= t.Version && a.ID < math.MaxInt64 &&
		!a.Home && !a.Hot && a.TakenAt == 0 && !a.TakenUnchecked
}

// decode returns the encoded ranges together with unfit, sorted by service and first hash.
func (c *rangeColumns) decode(t *Table, unfit []model.Assignment) ([]model.Assignment, error) {
	n := len(c.ID)
	for _, got := range []int{len(c.Service), len(c.Owner), len(c.Gap), len(c.Width), len(c.Epoch), len(c.Phase), len(c.Age)} {
		if got != n {
			return nil, errors.New("range columns have different lengths")
		}
	}
	out := make([]model.Assignment, 0, n+len(unfit))
	id, end, service := uint64(0), uint64(0), ""
	for i := range n {
		if c.Service[i] < 0 || c.Service[i] >= len(c.Services) || c.Owner[i] < 0 || c.Owner[i] > len(c.Owners) {
			return nil, errors.Errorf("range column entry %d: service or owner index out of bounds", i)
		}
		if s := c.Services[c.Service[i]]; s != service {
			service, end = s, 0
		}
		id += uint64(c.ID[i])
		first := end + c.Gap[i]
		end = first + c.Width[i]
		a := model.Assignment{
			ID: id, Service: service, First: first * model.OrderedSpan, Last: end*model.OrderedSpan - 1, Epoch: c.Epoch[i],
			Phase: c.Phase[i], Changed: c.Version - c.Age[i],
		}
		if owner := c.Owner[i]; owner > 0 {
			a.Owner = c.Owners[owner-1]
			a.Incarnation = t.Upstreams[a.Owner].Incarnation
		}
		out = append(out, a)
	}
	if len(unfit) > 0 {
		out = append(out, unfit...)
		slices.SortFunc(out, func(a, b model.Assignment) int {
			return cmp.Or(cmp.Compare(a.Service, b.Service), cmp.Compare(a.First, b.First))
		})
	}
	return out, nil
}
