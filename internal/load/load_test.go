package load_test

import (
	"bytes"
	"context"
	"encoding/json"
	"encoding/xml"
	"errors"
	"io"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"testing"
	"time"

	"baobabreach/internal/load"
	"baobabreach/pkg/proto"

	"github.com/matryer/is"
)

func smallPlan() load.Plan {
	return load.Plan{
		Name: "small", HostsPerCentre: 1,
		Services: []load.Service{
			{
				Name: "catalogue", Keyed: true, Idempotent: true, Class: "short", Upstreams: 1, Slots: 1,
				DeadlineMs: 1000, Rate: 50, Keys: 10,
			},
			{Name: "orders", Class: "short", Upstreams: 1, Slots: 1, DeadlineMs: 1000, Rate: 10},
		},
		Phases: []load.Phase{{Name: "steady", Seconds: 1, RateFactor: 1}, {Name: "crest", Seconds: 1, RateFactor: 4}},
	}
}

// Guards against runs that cannot be compared although they have the same seed, and against a peak phase without higher
// load.
func TestScheduleFollowsSeedAndPhases(t *testing.T) {
	is := is.New(t)
	first, second := load.Schedule(smallPlan(), 3, 7), load.Schedule(smallPlan(), 3, 7)
	is.Equal(len(first), len(second))
	perPhase := [2]int{}
	for i := range first {
		is.Equal(first[i].At, second[i].At)
		is.Equal(first[i].Host, second[i].Host)
		is.Equal(first[i].Request.Key, second[i].Request.Key)
		is.True(i == 0 || first[i-1].At <= first[i].At)
		perPhase[first[i].Phase]++
	}
	is.True(perPhase[1] > 2*perPhase[0])
	is.True(len(load.Schedule(smallPlan(), 3, 8)) != len(first) || load.Schedule(smallPlan(), 3, 8)[0].At != first[0].At)
}

// Guards against a plan that would overload the machine, and against built-in plans that exceed the limits.
func TestPlanBounds(t *testing.T) {
	is := is.New(t)
	for i, change := range []func(*load.Plan){
		func(*load.Plan) {},
		func(p *load.Plan) { p.Services[0].Rate = 4000 },
		func(p *load.Plan) { p.Phases[0].Seconds = 400 },
		func(p *load.Plan) { p.Services[0].Upstreams = 60 },
		func(p *load.Plan) { p.Phases[1].Event = "explode" },
		func(p *load.Plan) { p.Services[0].Keys = 0 },
	} {
		p := smallPlan()
		change(&p)
		b, err := json.Marshal(p)
		is.NoErr(err)
		name := filepath.Join(t.TempDir(), "plan.json")
		is.NoErr(os.WriteFile(name, b, 0o600))
		_, err = load.ReadPlan(name)
		is.Equal(err == nil, i == 0) // only the unchanged plan is accepted
	}
	for _, name := range []string{"kovacic", "cascade", "policies"} {
		p, err := load.ReadPlan(name)
		is.NoErr(err)
		b, err := json.Marshal(p)
		is.NoErr(err)
		file := filepath.Join(t.TempDir(), name)
		is.NoErr(os.WriteFile(file, b, 0o600))
		_, err = load.ReadPlan(file)
		is.NoErr(err)
	}
}

// Guards against latencies measured from the send instead of the intended start, against outcomes counted in the wrong
// column, and against reports that lack phases or are not well-formed XML.
func TestRunTargetCountsOutcomes(t *testing.T) {
	is := is.New(t)
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set(proto.HeaderRequestID, r.Header.Get(proto.HeaderRequestID))
		outcome := proto.OutcomeDone
		if r.Method == http.MethodPost {
			outcome = proto.OutcomeUnknown
		}
		w.Header().Set(proto.HeaderOutcome, string(outcome))
		time.Sleep(10 * time.Millisecond)
	}))
	defer s.Close()
	o := load.Options{Plan: smallPlan(), Seed: 1, Progress: io.Discard}
	res, err := load.RunTarget(context.Background(), o, []string{s.Listener.Addr().String()})
	is.NoErr(err)
	orderCount := 0
	for _, a := range load.Schedule(smallPlan(), 1, 1) {
		if a.Request.Service == "orders" {
			orderCount++
		}
	}
	is.Equal(res.Total.Unknown, orderCount)
	is.Equal(res.Total.Planned, res.Total.Answered+res.Total.Unknown)
	is.True(res.Total.P50Ms >= 10)
	is.Equal(len(res.Seconds), 2)
	var table, plot bytes.Buffer
	is.NoErr(load.WriteTable(&table, []load.Result{res}))
	is.True(bytes.Contains(table.Bytes(), []byte("crest")))
	is.NoErr(load.WritePlot(&plot, []load.Result{res}))
	d := xml.NewDecoder(&plot)
	for err == nil {
		_, err = d.Token()
	}
	is.True(errors.Is(err, io.EOF)) // the plot is well-formed
}
