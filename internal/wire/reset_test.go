package wire_test

import (
	"bytes"
	"net/http"
	"testing"
	"time"

	"baobabreach/internal/model"
	"baobabreach/internal/stub"
	"baobabreach/internal/wire"
	"baobabreach/pkg/proto"

	"github.com/matryer/is"
)

// Guards against a response without a length that is reset during the upload and passes for a whole one, because the write
// of the request body takes the error of the connection; and against refusing a whole one.
func TestUnframedResponseToAnUpload(t *testing.T) {
	const unframed = "HTTP/1.1 200 OK\r\nBaobab-Request-Id: 1\r\nBaobab-Outcome: done\r\n\r\nwhole"
	const uploads = 100
	for name, c := range map[string]struct {
		response stub.RawResponse
		whole    bool
	}{
		"reset at once": {stub.RawResponse{Bytes: unframed, Early: true, End: stub.RawReset}, false},
		"reset later":   {stub.RawResponse{Bytes: unframed, Early: true, End: stub.RawReset, Delay: 5 * time.Millisecond}, false},
		"closed early":  {stub.RawResponse{Bytes: unframed, Early: true, End: stub.RawClose}, true},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			l, err := stub.ListenWithSmallBuffers("127.0.0.1:0")
			is.NoErr(err)
			t.Cleanup(func() { _ = l.Close() })
			go stub.ServeRaw(l, c.response)
			client := wire.New(wire.Config{Host: "h1", HTTP: &http.Client{Transport: &http.Transport{}}, MaxResponseBytes: 1 << 20})
			u := model.Upstream{Name: "u1", Address: l.Addr().String()}
			served := 0
			for range uploads {
				resp, err := client.Send(t.Context(), u, wire.Request{
					ID: "1", Method: http.MethodPost, Path: "/x", Header: http.Header{}, Body: bytes.Repeat([]byte("x"), 1<<20),
				})
				if err != nil {
					is.Equal(err.Outcome, proto.OutcomeUnknown)
					continue
				}
				is.Equal(string(resp.Body), "whole")
				served++
			}
			if c.whole {
				is.Equal(served, uploads)
			} else {
				is.Equal(served, 0)
			}
		})
	}
}
