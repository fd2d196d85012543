package peer_test

import (
	"context"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"baobabreach/internal/peer"

	"github.com/matryer/is"
)

// startReplica starts a server for messages of other daemons and returns its address.
func startReplica(t *testing.T, h http.HandlerFunc) string {
	t.Helper()
	s := httptest.NewServer(h)
	t.Cleanup(s.Close)
	return strings.TrimPrefix(s.URL, "http://")
}

// Guards against a host that leaves a leader which answers its renewals, because a report beside them took too long: it
// searched for the leader for three seconds, without the changes of the configuration (clc-gateway-grown, scale-1).
func TestSlowReportKeepsTheLeader(t *testing.T) {
	is := is.New(t)
	leader := startReplica(t, func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == peer.PathRuns {
			time.Sleep(300 * time.Millisecond)
		}
		peer.WriteJSON(w, http.StatusOK, struct{}{})
	})
	l := peer.NewLeaderClient(http.DefaultClient, "", []string{leader, "127.0.0.1:1"})
	ctx := context.Background()
	_, err := peer.ReportToLeader[struct{}, struct{}](ctx, l, peer.PathRuns, 20*time.Millisecond, struct{}{})
	is.True(err != nil)
	is.Equal(l.Leader(), leader)
	_, err = peer.CallLeader[struct{}, struct{}](ctx, l, peer.PathRenew, time.Second, struct{}{})
	is.NoErr(err)

	// A renewal without an answer, or a report that finds no process, shows that there may be another leader.
	_, err = peer.CallLeader[struct{}, struct{}](ctx, l, peer.PathRuns, 20*time.Millisecond, struct{}{})
	is.True(err != nil)
	is.Equal(l.Leader(), "127.0.0.1:1")
	_, err = peer.ReportToLeader[struct{}, struct{}](ctx, l, peer.PathRuns, time.Second, struct{}{})
	is.True(err != nil)
	is.Equal(l.Leader(), leader)
}
