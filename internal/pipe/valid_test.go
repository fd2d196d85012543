package pipe_test

import (
	"net"
	"testing"

	"baobabreach/internal/pipe"
	"baobabreach/internal/stub"

	"github.com/matryer/is"
)

const requiredFields = "X-Id: 1\r\nX-Signed: s\r\n"

// Guards against a response that RFC 9110 or 9112 does not allow and that passes for a whole one.
func TestInvalidHTTPIsNoResponse(t *testing.T) {
	for _, c := range stub.InvalidResponses() {
		t.Run(c.Name, func(t *testing.T) {
			is := is.New(t)
			address := serveRaw(t, c.Bytes(requiredFields))
			_, failure := newPool().Send(t.Context(), newRequest(address, "1"))
			is.True(failure != nil)
			is.Equal(failure.Stage, pipe.StageUnknown)
		})
	}
}

// Guards against refusing valid responses of an unusual form.
func TestUnusualResponsesAreReturned(t *testing.T) {
	for _, c := range stub.ValidResponses() {
		t.Run(c.Name, func(t *testing.T) {
			is := is.New(t)
			address := serveRaw(t, c.Bytes(requiredFields))
			resp, failure := newPool().Send(t.Context(), newRequest(address, "1"))
			is.True(failure == nil)
			is.Equal(string(resp.Body), c.Body)
		})
	}
}

// serveRaw starts a server that answers each request with the response and then closes the connection.
func serveRaw(t *testing.T, response string) string {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = l.Close() })
	go stub.ServeRaw(l, stub.RawResponse{Bytes: response, End: stub.RawClose})
	return l.Addr().String()
}
