package daemon_test

import (
	"context"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/matryer/is"

	"baobabreach/internal/daemon"
	"baobabreach/internal/opapi"
	"baobabreach/internal/peer"
	"baobabreach/internal/state"
	"baobabreach/pkg/proto"
)

// Guards against accepting a token file that other users of the host can access, or an empty one.
func TestTokenFileMode(t *testing.T) {
	is := is.New(t)
	name := filepath.Join(t.TempDir(), "token")
	is.NoErr(os.WriteFile(name, []byte("secret\n"), 0o600))
	token, err := daemon.ReadToken(name)
	is.NoErr(err)
	is.Equal(token, "secret")
	for _, mode := range []os.FileMode{0o640, 0o604, 0o660} {
		is.NoErr(os.Chmod(name, mode))
		_, err = daemon.ReadToken(name)
		is.True(err != nil)
	}
	empty := filepath.Join(t.TempDir(), "empty")
	is.NoErr(os.WriteFile(empty, []byte("\n"), 0o600))
	_, err = daemon.ReadToken(empty)
	is.True(err != nil)
}

// Guards against operator requests that are accepted without a valid token, or on the caller address at all.
func TestOperatorPathsNeedTheTokenAndTheOperatorAddress(t *testing.T) {
	is := is.New(t)
	callers, operators := daemon.Routers("secret")
	statusOf := func(h http.Handler, method, path, token string) int {
		r := httptest.NewRequest(method, path, nil)
		r.Header.Set("Authorization", token)
		w := httptest.NewRecorder()
		h.ServeHTTP(w, r)
		return w.Code
	}
	for path, method := range map[string]string{
		opapi.PathPlan: http.MethodPost, opapi.PathConfirm: http.MethodPost, opapi.PathStatus: http.MethodGet,
		opapi.PathExplain: http.MethodGet, opapi.PathLocal: http.MethodGet, "/metrics": http.MethodGet,
	} {
		for _, token := range []string{"", "secret", "Bearer ", "Bearer wrong", "Bearer secret2", "Bearer secre"} {
			is.Equal(statusOf(operators, method, path, token), http.StatusUnauthorized)
		}
		is.Equal(statusOf(callers, method, path, "Bearer secret"), http.StatusNotFound)
	}
	is.Equal(statusOf(operators, http.MethodGet, opapi.PathLocal, "Bearer secret"), http.StatusOK)
}

// Guards against reporting a command as not run although it may have reached the raft log before its response was lost.
func TestOutcomeWithoutALeader(t *testing.T) {
	is := is.New(t)
	propose := func(address string) *proto.Error {
		ctx, cancel := context.WithTimeout(context.Background(), 100*time.Millisecond)
		defer cancel()
		return peer.AsError(daemon.ProposeTo(ctx, address, state.Command{}))
	}
	l, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	is.NoErr(l.Close())
	e := propose(l.Addr().String())
	is.Equal(e.Code, proto.CodeNoLeader)
	is.Equal(e.Outcome, proto.OutcomeNotRun)
	for _, tc := range []struct {
		handler http.HandlerFunc
		outcome proto.Outcome
	}{
		{func(w http.ResponseWriter, _ *http.Request) {
			peer.WriteError(w, proto.NotRun(proto.CodeNotLeader, http.StatusMisdirectedRequest, "follower"))
		}, proto.OutcomeNotRun},
		{func(w http.ResponseWriter, _ *http.Request) {
			peer.WriteError(w, proto.Unknown(proto.CodeNoLeader, "deposed"))
		}, proto.OutcomeUnknown},
		{func(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) }, proto.OutcomeUnknown},
	} {
		s := httptest.NewServer(tc.handler)
		e := propose(s.Listener.Addr().String())
		s.Close()
		is.Equal(e.Code, proto.CodeNoLeader)
		is.Equal(e.Outcome, tc.outcome)
	}
}
