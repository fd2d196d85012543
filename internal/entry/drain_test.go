package entry_test

import (
	"net"
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"baobabreach/pkg/proto"
)

// Guards against a request that is claimed or passed on so late in a planned stop that the end of the host cuts it off.
func TestLateRequestOfAStoppingHostIsRefused(t *testing.T) {
	for _, c := range []struct {
		name, method, deadlineMs string
		code                     proto.Code
	}{
		{name: "order that outlasts the host", method: http.MethodPost, deadlineMs: "2000", code: proto.CodeStopping},
		{name: "read that outlasts the host", method: http.MethodGet, deadlineMs: "2000", code: proto.CodeStopping},
		{name: "order that ends in time", method: http.MethodPost, deadlineMs: "500"},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				ts := newTestServer(t, false, func(_ int64, r *http.Request, c net.Conn) { respond(c, 200, requestID(r), "ok") })
				ts.drain.Begin(ts.clock()) // the host ends in a second
				time.Sleep(100 * time.Millisecond)
				w, e := ts.call(c.method, "/s/free/x", "", proto.HeaderDeadlineMs, c.deadlineMs)
				is.Equal(e.Code, c.code)
				if c.code == "" {
					is.Equal(w.Code, http.StatusOK)
					return
				}
				is.Equal(w.Header().Get(proto.HeaderOutcome), string(proto.OutcomeNotRun))
				is.Equal(ts.sends.Load()+ts.proposals.Load(), int64(0))
			})
		})
	}
}
