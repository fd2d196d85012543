package gate_test

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"strconv"
	"testing"
	"time"

	"baobabreach/internal/gate"
	"baobabreach/internal/model"

	"github.com/go-faster/errors"
	"github.com/matryer/is"
)

func respondLeaving(c net.Conn, _ int, r *http.Request) {
	writeResponse(c, r, "200 OK", "X-Signed: s\r\nX-Leaving: 1\r\n", "ok")
}

func respondRetryAfter(seconds string) func(c net.Conn, n int, r *http.Request) {
	return func(c net.Conn, _ int, r *http.Request) {
		writeResponse(c, r, "503 Full", "X-Not-Run: 1\r\nRetry-After: "+seconds+"\r\n", "")
	}
}

// Guards against requests to an upstream that says in its answers that it leaves, and reports that it is ready.
func TestLeavingAnswerEndsTheUse(t *testing.T) {
	is := is.New(t)
	f := newFixture(t)
	leaving, good := newFakeUpstream(t, respondLeaving), newFakeUpstream(t, respondOK)
	f.setTable(1, true, newUpstream("u1", leaving), newUpstream("u2", good))
	for range 20 {
		is.Equal(f.do(http.MethodGet, "/o/1", "").StatusCode, http.StatusOK)
	}
	is.True(leaving.requestCount() <= 1)

	// The next process may have the name of the one that left.
	back := newFakeUpstream(t, respondOK)
	u := newUpstream("u1", back)
	u.Incarnation = 2
	f.setTable(2, true, u)
	is.Equal(f.do(http.MethodGet, "/o/1", "").StatusCode, http.StatusOK)
	is.Equal(back.requestCount(), 1)
}

// Guards against requests for the owner of a key later than it serves after it said that it leaves, and against an owner
// that is left alone before its keys can have moved.
func TestLeavingOwnerIsUsedWhileKeysMove(t *testing.T) {
	is := is.New(t)
	f := newFixture(t)
	owner := newFakeUpstream(t, respondLeaving)
	f.setTable(1, true, newUpstream("u1", owner))
	is.Equal(f.do(http.MethodGet, "/s/1", "").StatusCode, http.StatusOK)
	is.Equal(f.do(http.MethodGet, "/s/1", "").StatusCode, http.StatusOK)
	f.advance(1700 * time.Millisecond)
	is.Equal(f.do(http.MethodGet, "/s/1", "").StatusCode, http.StatusServiceUnavailable)
	is.Equal(owner.requestCount(), 2)
	f.setTable(2, true, newUpstream("u2", newFakeUpstream(t, respondOK)))
	is.Equal(f.do(http.MethodGet, "/s/1", "").StatusCode, http.StatusOK)
}

// Guards against requests for an owner that leaves, on a platform where it goes on serving for a shorter time.
func TestShortDrainTimeEndsTheUseOfOwnersEarlier(t *testing.T) {
	is := is.New(t)
	f := newFixture(t)
	f.view.SetDrainTime(time.Second)
	owner := newFakeUpstream(t, respondLeaving)
	f.setTable(1, true, newUpstream("u1", owner))
	is.Equal(f.do(http.MethodGet, "/s/1", "").StatusCode, http.StatusOK)
	f.advance(900 * time.Millisecond)
	is.Equal(f.do(http.MethodGet, "/s/1", "").StatusCode, http.StatusServiceUnavailable)
	is.Equal(owner.requestCount(), 1)
}

// Guards against requests for a key that wait for a next owner although all upstreams of the service leave.
func TestKeyWithoutPossibleOwnerIsRefusedAtOnce(t *testing.T) {
	is := is.New(t)
	f := newFixture(t)
	u1, u2 := newUpstream("u1", newFakeUpstream(t, respondLeaving)), newUpstream("u2", newFakeUpstream(t, respondOK))
	u1.Service, u2.Service = "styles", "styles"
	f.setTable(1, true, u1)
	is.Equal(f.do(http.MethodGet, "/s/1", "").StatusCode, http.StatusOK)
	f.advance(1700 * time.Millisecond)
	startedAt := f.clock()
	resp := f.do(http.MethodGet, "/s/1", "")
	is.Equal(resp.StatusCode, http.StatusServiceUnavailable)
	is.Equal(resp.Header.Get("Retry-After"), "1.000")
	is.True(f.clock()-startedAt < 200*time.Millisecond) // it may wait for 300 ms if the key can move

	startedAt = f.clock()
	f.setTable(2, true, u1, u2)
	is.Equal(f.do(http.MethodGet, "/s/1", "").StatusCode, http.StatusServiceUnavailable)
	is.True(f.clock()-startedAt >= 300*time.Millisecond)
}

// Guards against an upstream whose leave only one host knows of: the others go on using it, and its keys do not move.
func TestLeavingAnswerIsReportedToTheLeader(t *testing.T) {
	is := is.New(t)
	reports := make(chan []model.Upstream, 8)
	f := newFixtureWith(t, func(cfg *gate.Config) {
		cfg.ReportLeaving = func(_ context.Context, upstreams []model.Upstream) error {
			reports <- upstreams
			return errors.New("no leader")
		}
	})
	u := newUpstream("u1", newFakeUpstream(t, respondLeaving))
	f.setTable(1, true, u)
	is.Equal(f.do(http.MethodGet, "/s/1", "").StatusCode, http.StatusOK)
	is.Equal((<-reports)[0].Name, "u1")
	f.gate.Sweep()
	is.Equal((<-reports)[0].Name, "u1") // until the table shows the leave
	u.LeavingSince = 2
	f.setTable(2, true, u)
	f.gate.Sweep()
	time.Sleep(50 * time.Millisecond)
	is.Equal(len(reports), 0)
}

// Guards against requests to upstreams that asked for none for a while, and against callers who are not told when to come
// back.
func TestRetryAfterOfUpstreamsIsHonoured(t *testing.T) {
	is := is.New(t)
	f := newFixture(t)
	var us []model.Upstream
	var fakes []*fakeUpstream
	for i := range 4 {
		fake := newFakeUpstream(t, respondRetryAfter("3"))
		us, fakes = append(us, newUpstream(fmt.Sprint("u", i), fake)), append(fakes, fake)
	}
	f.setTable(1, true, us...)
	var resp callerResponse
	for range 30 {
		resp = f.do(http.MethodGet, "/o/1", "")
		is.Equal(resp.StatusCode, http.StatusServiceUnavailable)
	}
	for _, x := range fakes {
		is.True(x.requestCount() <= 2)
	}
	seconds, err := strconv.ParseFloat(resp.Header.Get("Retry-After"), 64)
	is.NoErr(err)
	is.True(seconds > 2 && seconds <= 3)
	is.Equal(f.lastRequestEntry()["sends"], 0.0)

	f.advance(3100 * time.Millisecond)
	before := fakes[0].requestCount() + fakes[1].requestCount() + fakes[2].requestCount() + fakes[3].requestCount()
	f.do(http.MethodGet, "/o/1", "")
	is.True(fakes[0].requestCount()+fakes[1].requestCount()+fakes[2].requestCount()+fakes[3].requestCount() > before)
}

// Guards against requests for a key whose owner asked for none, and against an owner that stays unused after the time.
func TestRetryAfterOfAnOwnerIsHonoured(t *testing.T) {
	is := is.New(t)
	f := newFixture(t)
	owner := newFakeUpstream(t, func(c net.Conn, n int, r *http.Request) {
		if n == 1 {
			respondRetryAfter("1.5")(c, n, r)
			return
		}
		respondOK(c, n, r)
	})
	f.setTable(1, true, newUpstream("u1", owner))
	for range 10 {
		resp := f.do(http.MethodGet, "/s/1", "")
		is.Equal(resp.StatusCode, http.StatusServiceUnavailable)
		is.True(resp.Header.Get("Retry-After") > "1")
	}
	is.Equal(owner.requestCount(), 1)
	f.advance(1600 * time.Millisecond)
	is.Equal(f.do(http.MethodGet, "/s/1", "").StatusCode, http.StatusOK)
}

// Guards against an upstream that takes itself out of use by a Retry-After that means nothing.
func TestInvalidRetryAfterIsIgnored(t *testing.T) {
	for _, value := range []string{"", "soon", "-1", "NaN", "0"} {
		is := is.New(t)
		f := newFixture(t)
		fake := newFakeUpstream(t, respondRetryAfter(value))
		f.setTable(1, true, newUpstream("u1", fake))
		f.do(http.MethodGet, "/o/1", "")
		f.do(http.MethodGet, "/o/1", "")
		is.Equal(fake.requestCount(), 2)
	}
}
