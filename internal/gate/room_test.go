package gate_test

import (
	"net"
	"net/http"
	"net/http/httptest"
	"testing"

	"baobabreach/internal/gate"
	"baobabreach/internal/pipe"
	"baobabreach/internal/room"

	"github.com/matryer/is"
)

// newFixtureWithRoom returns a fixture whose responses may take limit bytes together.
func newFixtureWithRoom(t *testing.T, limit int64) (*fixture, *pipe.Pool) {
	t.Helper()
	var pool *pipe.Pool
	f := newFixtureWith(t, func(cfg *gate.Config) {
		pool = pipe.New(pipe.Config{
			Names: names, Dial: (&net.Dialer{}).DialContext, Now: cfg.Clock, MaxHeadBytes: 64 << 10, MaxResponseBytes: 1 << 20,
			MaxIdle: 2, Responses: room.New(limit),
		})
		cfg.Pool = pool
	})
	return f, pool
}

// Guards against a request that is sent although there is no room for its response, and against an upstream that is then
// taken for a faulty one.
func TestRequestWithoutRoomForItsResponseIsRefused(t *testing.T) {
	is := is.New(t)
	f, _ := newFixtureWithRoom(t, 0)
	u := newFakeUpstream(t, respondOK)
	f.setTable(1, true, newUpstream("u1", u))
	for range 20 {
		resp := f.do("GET", "/o/1", "")
		is.Equal(resp.StatusCode, http.StatusServiceUnavailable)
		is.True(resp.Header.Get("Retry-After") != "")
		is.Equal(f.lastRequestEntry()["outcome"], "not_run")
		is.Equal(f.lastRequestEntry()["code"], "overloaded")
	}
	is.Equal(u.requestCount(), 0)
	is.Equal(f.gate.Stats().Ejected, int64(0))
}

// slowCaller blocks the response until resume is closed.
type slowCaller struct {
	*httptest.ResponseRecorder
	blocked, resume chan struct{}
}

func (c slowCaller) Write(b []byte) (int, error) {
	close(c.blocked)
	<-c.resume
	return c.ResponseRecorder.Write(b)
}

// Guards against responses that take memory without being counted while callers read them slowly, and against room that is
// never given back.
func TestResponseTakesRoomUntilTheCallerHasIt(t *testing.T) {
	is := is.New(t)
	f, pool := newFixtureWithRoom(t, 1<<20)
	f.setTable(1, true, newUpstream("u1", newFakeUpstream(t, respondOK)))
	c := slowCaller{httptest.NewRecorder(), make(chan struct{}), make(chan struct{})}
	r := httptest.NewRequest(http.MethodGet, "/o/1", nil)
	r.Host = "a.example"
	r.Header.Set("X-Id", "id-1")
	done := make(chan struct{})
	go func() {
		defer close(done)
		f.gate.ServeHTTP(c, r)
	}()
	<-c.blocked
	is.True(pool.Stats().ResponseBytes > 0)
	close(c.resume)
	<-done
	is.Equal(pool.Stats().ResponseBytes, int64(0))
}

// Guards against room that failed attempts do not give back.
func TestFailedAttemptsGiveTheirRoomBack(t *testing.T) {
	for name, reply := range map[string]func(c net.Conn, n int, r *http.Request){
		"refused": respondRefused, "closed": closeConnection, "failed": respondError,
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			f, pool := newFixtureWithRoom(t, 1<<20)
			f.setTable(1, true, newUpstream("u1", newFakeUpstream(t, reply)), newUpstream("u2", newFakeUpstream(t, reply)))
			for range 10 {
				f.do("POST", "/o/1", "x")
			}
			is.Equal(pool.Stats().ResponseBytes, int64(0))
			is.Equal(f.gate.Stats().BufferedBytes, int64(0))
		})
	}
}
