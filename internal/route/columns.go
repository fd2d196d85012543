package route

import (
	"cmp"
	"math"
	"slices"

	"baobabreach/internal/model"

	"github.com/go-faster/errors"
)

// rangeColumns holds ranges by field: the same fields of neighbours are alike, so that a thousand ranges pack to a third of
// what they take one by one.
type rangeColumns struct {
	Services []string `json:"services"`
	Owners   []string `json:"owners"`
	// Version is that of the table.
	Version uint64 `json:"version"`
	// The other lists have an entry per range. Service and Owner are positions in the lists above, Owner is 0 for none and
	// counts from 1. ID is the difference to the range before. Gap and Width are in units of model.OrderedSpan: Gap is what
	// lies between the end of the range before, or 0, and this one. Age is the difference of Changed to Version.
	ID      []int64       `json:"id"`
	Service []int         `json:"service"`
	Owner   []int         `json:"owner"`
	Gap     []uint64      `json:"gap"`
	Width   []uint64      `json:"width"`
	Epoch   []uint64      `json:"epoch"`
	Phase   []model.Phase `json:"phase"`
	Age     []uint64      `json:"age"`
}

// newRangeColumns returns the ranges that fit, and the others: those with rare fields, or of services that are not ordered.
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

// fitsColumns tells whether columns hold all that there is to know of a range.
func fitsColumns(t *Table, a model.Assignment) bool {
	keyAligned := a.First%model.OrderedSpan == 0 && a.Last%model.OrderedSpan == model.OrderedSpan-1
	ownerKnown := a.Owner == "" && a.Incarnation == 0 || a.Owner != "" && t.Upstreams[a.Owner].Incarnation == a.Incarnation
	return t.Services[a.Service].Ordered && keyAligned && ownerKnown && a.Changed <= t.Version && a.ID < math.MaxInt64 &&
		!a.Home && !a.Hot && a.TakenAt == 0 && !a.TakenUnchecked
}

// decode returns the ranges of the columns with the rest, in order.
func (c *rangeColumns) decode(t *Table, unfit []model.Assignment) ([]model.Assignment, error) {
	n := len(c.ID)
	for _, length := range []int{len(c.Service), len(c.Owner), len(c.Gap), len(c.Width), len(c.Epoch), len(c.Phase), len(c.Age)} {
		if length != n {
			return nil, errors.New("columns of ranges differ in length")
		}
	}
	out := make([]model.Assignment, 0, n+len(unfit))
	id, end, service := uint64(0), uint64(0), ""
	for i := range n {
		if c.Service[i] < 0 || c.Service[i] >= len(c.Services) || c.Owner[i] < 0 || c.Owner[i] > len(c.Owners) {
			return nil, errors.Errorf("range %d names an unknown service or owner", i)
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
