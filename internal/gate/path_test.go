package gate_test

import (
	"bufio"
	"math/rand/v2"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"baobabreach/internal/model"
	"baobabreach/internal/route"

	"github.com/matryer/is"
)

// newNestedRoutes returns a fixture with the routes /x/ to the service outer and /x/ny/ to the service inner, and the
// targets that the upstreams of either received.
func newNestedRoutes(t *testing.T) (f *fixture, outer, inner chan string) {
	t.Helper()
	f = newFixture(t)
	table := &route.Table{Version: 1, Services: map[string]model.Service{}, Upstreams: map[string]model.Upstream{}}
	addRoute := func(name, prefix string) chan string {
		targets := make(chan string, 1)
		u := newUpstream("u-"+name, newFakeUpstream(t, func(c net.Conn, n int, r *http.Request) {
			targets <- r.RequestURI
			respondOK(c, n, r)
		}))
		u.Service = name
		table.Services[name] = model.Service{Name: name}
		table.Upstreams[u.Name] = u
		table.Routes = append(table.Routes, model.Route{
			Name: name, Host: "a.example", Prefix: prefix, Idempotent: true, TimeoutMs: 2000, ObjectiveMs: 400, Attempts: 1,
			Services: []model.WeightedService{{Service: name, Weight: 1}},
		})
		return targets
	}
	// A table has the longest prefix first.
	inner = addRoute("inner", "/x/ny/")
	outer = addRoute("outer", "/x/")
	f.view.Update(f.clock(), route.Update{Version: 1, Table: table, TTL: 1 << 50, HostCount: 1})
	return f, outer, inner
}

// requestTarget sends a GET request with the target as it is. It returns false if the target is not a valid one.
func (f *fixture) requestTarget(target string) (status int, ok bool) {
	r, err := http.ReadRequest(bufio.NewReader(strings.NewReader("GET " + target + " HTTP/1.1\r\nHost: a.example\r\n\r\n")))
	if err != nil {
		return 0, false
	}
	r.Header.Set("X-Id", "id-1")
	w := httptest.NewRecorder()
	f.gate.ServeHTTP(w, r)
	return w.Code, true
}

// Guards against a request that is run by a service to which the path as it is forwarded does not lead, because the path was
// matched in another form.
func TestRouteIsMatchedOnTheForwardedPath(t *testing.T) {
	f, outer, inner := newNestedRoutes(t)
	check := func(target string) {
		t.Helper()
		status, ok := f.requestTarget(target)
		if !ok {
			return
		}
		path, _, _ := strings.Cut(target, "?")
		var want chan string
		switch {
		case strings.HasPrefix(path, "/x/ny/"):
			want = inner
		case strings.HasPrefix(path, "/x/"):
			want = outer
		}
		var got chan string
		received := ""
		select {
		case received = <-outer:
			got = outer
		case received = <-inner:
			got = inner
		default:
		}
		if got != want || want == nil && status != http.StatusNotFound {
			t.Errorf("%s: status %d, wrong service", target, status)
		}
		if want != nil && received != target {
			t.Errorf("%s was forwarded as %s", target, received)
		}
	}
	for _, target := range []string{
		"/x/ny/1", "/x/1", "/x/ny%2F1", "/x/ny%2f1", "/x%2Fny/1", "/%78/ny/1", "/x/%6Ey/1", "/x/%6ey/1", "/x//ny/1", "/x/./ny/1",
		"/x/ny/../1", "/x/ny/%2E%2E/1", "/x/ny%00/1", "/x/ny/%00", "/X/ny/1", "//x/ny/1", "/x/ny", "/x", "/x/?/x/ny/", "/x%3F/ny/",
	} {
		check(target)
	}
	random := rand.New(rand.NewPCG(1, 2))
	parts := []string{"/", "x", "ny", "%2F", "%2f", "..", ".", "%6E", "%00", "?", "%", "n", "y", "%25", ";", "%2E"}
	for range 500 {
		target := "/"
		for range random.IntN(8) {
			target += parts[random.IntN(len(parts))]
		}
		check(target)
	}
	is.New(t).Equal(len(outer)+len(inner), 0) // each request was checked
}
