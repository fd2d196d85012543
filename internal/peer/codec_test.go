package peer_test

import (
	"context"
	"io"
	"net/http"
	"testing"

	"baobabreach/internal/peer"
	"baobabreach/pkg/proto"

	"github.com/matryer/is"
)

// Guards against the error of another daemon that names another status than its answer has: a caller that gets it would take
// it for a success, or get no answer at all.
func TestErrorWithAnotherStatusIsNotPassedOn(t *testing.T) {
	for name, c := range map[string]struct {
		status int
		body   string
		code   proto.Code
	}{
		"same status": {http.StatusServiceUnavailable, `{"code":"overloaded","status":503}`, proto.CodeOverloaded},
		"success":     {http.StatusServiceUnavailable, `{"code":"overloaded","status":200}`, proto.CodeInternal},
		"no status":   {http.StatusServiceUnavailable, `{"code":"overloaded"}`, proto.CodeInternal},
		"no error":    {http.StatusAccepted, `{"code":"overloaded","status":202}`, proto.CodeInternal},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			address := startReplica(t, func(w http.ResponseWriter, _ *http.Request) {
				w.WriteHeader(c.status)
				_, _ = io.WriteString(w, c.body)
			})
			_, err := peer.Call[struct{}, struct{}](context.Background(), http.DefaultClient, "http://"+address, "", struct{}{})
			is.True(err != nil)
			e := peer.AsError(err)
			is.Equal(e.Code, c.code)
			is.True(e.Status >= http.StatusBadRequest)
		})
	}
}
