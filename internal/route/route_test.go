package route_test

import (
	"encoding/json"
	"testing"
	"time"

	"github.com/matryer/is"

	"baobabreach/internal/model"
	"baobabreach/internal/route"
)

// Guards against a hot key that many light keys push out of the bounded sketch, and against load that never decays.
func TestHotKeyIsReported(t *testing.T) {
	is := is.New(t)
	v := route.NewView()
	const step = time.Millisecond
	now := time.Duration(0)
	for i := range 10_000 {
		now += step
		v.Record(now, "catalogue", uint64(i+10), uint64(i%100), step/10)
		v.Record(now, "catalogue", 1, 7, step)
	}
	l := v.Report(now)
	is.Equal(l.Keys[0].Hash, uint64(1))
	is.True(l.Keys[0].BusySlots > 0.9 && l.Keys[0].BusySlots < 1.1) // one slot all the time
	is.True(l.Keys[0].PerSecond > 900 && l.Keys[0].PerSecond < 1100)
	is.Equal(l.Ranges[0].Range, uint64(7))
	is.True(len(l.Keys) <= 16 && len(l.Ranges) <= 64)
	is.True(v.Report(now+time.Millisecond) == nil) // one report a second, to bound the control traffic
	is.Equal(len(v.Report(now+20*time.Second).Keys), 0)
}

// Guards against a lease that is extended while the host still routes by a table older than the leader's.
func TestLeaseNeedsTheLeadersTable(t *testing.T) {
	is := is.New(t)
	v := route.NewView()
	s := model.NewState().WithVersion(5)
	v.Update(0, route.Update{TTL: time.Second, Version: 5, Table: route.NewTable(s)})
	is.Equal(v.LeaseLeft(0), time.Second)
	v.Update(time.Second, route.Update{TTL: time.Second, Version: 9, Delta: &route.Delta{From: 6, Version: 9}})
	is.True(!v.Leased(time.Second)) // the changes up to version 6 are missing
	v.Update(time.Second, route.Update{TTL: time.Second, Version: 9, Delta: &route.Delta{From: 5, Version: 9}})
	is.True(v.Leased(time.Second))
}

// Guards against loads that get lost on their way to the leader: ranges would be spread by nothing.
func TestLoadReportsComeBackWhole(t *testing.T) {
	is := is.New(t)
	sent := route.Load{PerSecond: 12.5, Ranges: []route.RangeLoad{
		{Range: 7, BusySlots: 1.25}, {Range: 1 << 40, BusySlots: 0.003, Parts: make([]float64, route.LoadParts)},
	}}
	sent.Ranges[1].Parts[1], sent.Ranges[1].Parts[15] = 0.002, 0.001
	b, err := json.Marshal(sent)
	is.NoErr(err)
	var got route.Load
	is.NoErr(json.Unmarshal(b, &got))
	is.Equal(got, sent)
	is.True(json.Unmarshal([]byte(`{"ranges":[[7]]}`), &got) != nil)
	is.True(json.Unmarshal([]byte(`{"ranges":[[7,1,16,1]]}`), &got) != nil)
}
