package room

import (
	"bytes"
	"io"
	"net"
	"net/http"
	"time"

	"github.com/go-faster/errors"
)

// Handler returns a handler that reads the body of each request, of at most maxBytes+1 bytes, before it calls next. Bodies
// take room as they arrive until next returns. Senders are told apart by their IP addresses; a request without room gets
// status 503.
func Handler(r *Room, maxBytes int64, next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, req *http.Request) {
		if req.ContentLength == 0 {
			next.ServeHTTP(w, req)
			return
		}
		control := http.NewResponseController(w)
		buffer := r.NewAbortable(senderOf(req), func() {
			// A read that has started fails with a deadline in the past. Without support for deadlines, the time limit of the
			// body ends it.
			_ = control.SetReadDeadline(time.Unix(1, 0))
		})
		defer buffer.Release()
		body, err := buffer.Read(req.Body, req.ContentLength, maxBytes)
		if completeErr := buffer.Complete(); completeErr != nil {
			err = completeErr
		}
		if errors.Is(err, ErrFull) {
			w.Header().Set("Connection", "close")
			w.Header().Set("Retry-After", "1")
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		req.Body = &readBody{Reader: bytes.NewReader(body), err: err}
		next.ServeHTTP(w, req)
	})
}

func senderOf(req *http.Request) string {
	host, _, err := net.SplitHostPort(req.RemoteAddr)
	if err != nil {
		return req.RemoteAddr
	}
	return host
}

// readBody is a body that has been read, and how that ended.
type readBody struct {
	*bytes.Reader
	err error
}

// Read implements io.Reader.
func (b *readBody) Read(p []byte) (int, error) {
	n, err := b.Reader.Read(p)
	if errors.Is(err, io.EOF) && b.err != nil {
		return n, b.err
	}
	return n, err
}

// Close implements io.Closer.
func (b *readBody) Close() error { return nil }
