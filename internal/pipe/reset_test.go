package pipe_test

import (
	"bytes"
	"net"
	"net/http"
	"testing"
	"time"

	"baobabreach/internal/pipe"
	"baobabreach/internal/stub"

	"github.com/matryer/is"
)

// uploads is the number of requests per case: which of its calls learns of a reset first differs between them.
const uploads = 40

// Guards against a response without a length that is reset during the upload and passes for a whole one, because the write
// of the request body takes the error of the connection and the read sees its end only; and against refusing a whole one.
func TestUnframedResponseToAnUpload(t *testing.T) {
	const unframed = "HTTP/1.1 200 OK\r\nX-Id: 1\r\nX-Signed: s\r\n\r\nwhole"
	for name, c := range map[string]struct {
		response stub.RawResponse
		whole    bool
	}{
		"reset at once": {stub.RawResponse{Bytes: unframed, Early: true, End: stub.RawReset}, false},
		"reset later":   {stub.RawResponse{Bytes: unframed, Early: true, End: stub.RawReset, Delay: 20 * time.Millisecond}, false},
		"reset after the upload": {
			stub.RawResponse{Bytes: unframed, End: stub.RawReset, Delay: 20 * time.Millisecond}, false,
		},
		"closed early":             {stub.RawResponse{Bytes: unframed, Early: true, End: stub.RawClose}, true},
		"closed early, then reset": {stub.RawResponse{Bytes: unframed, Early: true, End: stub.RawCloseUnread}, true},
		"closed after the upload":  {stub.RawResponse{Bytes: unframed, End: stub.RawClose}, true},
	} {
		for size, body := range map[string][]byte{
			"small body": bytes.Repeat([]byte("x"), 16<<10), "large body": bytes.Repeat([]byte("x"), 1<<20),
		} {
			t.Run(name+", "+size, func(t *testing.T) {
				t.Parallel()
				is := is.New(t)
				l, err := stub.ListenWithSmallBuffers("127.0.0.1:0")
				is.NoErr(err)
				t.Cleanup(func() { _ = l.Close() })
				go stub.ServeRaw(l, c.response)
				served := sendUploads(t, l, body)
				if c.whole {
					is.Equal(served, uploads)
				} else {
					is.Equal(served, 0)
				}
			})
		}
	}
}

// sendUploads returns the number of requests with the body that got a response.
func sendUploads(t *testing.T, l net.Listener, body []byte) int {
	t.Helper()
	p, served := newPool(), 0
	for range uploads {
		req := newRequest(l.Addr().String(), "1")
		req.Method, req.Body = http.MethodPost, body
		resp, failure := p.Send(t.Context(), req)
		switch {
		case failure == nil && string(resp.Body) == "whole":
			served++
		case failure == nil:
			t.Errorf("body is %q", resp.Body)
		case failure.Stage != pipe.StageUnknown:
			t.Errorf("stage is %s: %v", failure.Stage, failure)
		}
	}
	return served
}
