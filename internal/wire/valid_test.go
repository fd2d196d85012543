package wire_test

import (
	"net"
	"net/http"
	"testing"

	"baobabreach/internal/model"
	"baobabreach/internal/stub"
	"baobabreach/internal/wire"
	"baobabreach/pkg/proto"

	"github.com/matryer/is"
)

// Guards against a response that RFC 9110 or 9112 does not allow and that passes for a whole one.
func TestInvalidHTTPIsNoResponse(t *testing.T) {
	for _, c := range stub.InvalidResponses() {
		t.Run(c.Name, func(t *testing.T) {
			is := is.New(t)
			_, err := sendRaw(t, c)
			is.True(err != nil)
			is.Equal(err.Outcome, proto.OutcomeUnknown)
		})
	}
}

// Guards against refusing valid responses of an unusual form.
func TestUnusualResponsesAreReturned(t *testing.T) {
	for _, c := range stub.ValidResponses() {
		t.Run(c.Name, func(t *testing.T) {
			is := is.New(t)
			resp, err := sendRaw(t, c)
			is.True(err == nil)
			is.Equal(string(resp.Body), c.Body)
		})
	}
}

// Guards against counting an upstream that sends an invalid response as one that ended while it ran the request.
func TestInvalidResponseIsNoBrokenConnection(t *testing.T) {
	is := is.New(t)
	_, err := sendRaw(t, stub.InvalidResponses()[0])
	is.True(err != nil)
	is.Equal(err.Code, proto.CodeInvalidAnswer)
}

// sendRaw sends a request to an upstream that answers with the response.
func sendRaw(t *testing.T, c stub.ResponseCase) (*wire.Response, *proto.Error) {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = l.Close() })
	response := c.Bytes("Baobab-Request-Id: 1\r\nBaobab-Outcome: done\r\n")
	go stub.ServeRaw(l, stub.RawResponse{Bytes: response, End: stub.RawClose})
	client := wire.New(wire.Config{Host: "h1", HTTP: &http.Client{Transport: &http.Transport{}}, MaxResponseBytes: 1 << 20})
	return client.Send(t.Context(), model.Upstream{Name: "u1", Address: l.Addr().String()}, wire.Request{
		ID: "1", Method: http.MethodGet, Path: "/x", Header: http.Header{},
	})
}
