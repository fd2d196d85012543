package gate_test

import (
	"context"
	"net"
	"net/http"
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
