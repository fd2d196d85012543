package daemon

import (
	"io"
	"net/http"
	"time"
)

const (
	// readHeaderTimeout closes connections that send their headers too slowly.
	readHeaderTimeout = 5 * time.Second
	// writeTimeout closes connections whose peer does not read the response. It covers the time from the end of the request
	// headers and is longer than any request may take.
	writeTimeout = 2 * time.Minute
)

// newServer returns a server that bounds the size of request headers, and the time in which a peer sends its headers and
// body and reads the response.
func newServer(h http.Handler, maxHeaderBytes int, bodyTimeout time.Duration) *http.Server {
	return &http.Server{
		Handler: limitBodyTime(h, bodyTimeout), ReadHeaderTimeout: readHeaderTimeout, WriteTimeout: writeTimeout,
		MaxHeaderBytes: maxHeaderBytes,
	}
}

// limitBodyTime makes reads of the request body fail after the timeout. http.Server.ReadTimeout can't be used, because it
// also cancels the context of a handler that takes longer, such as a long poll.
func limitBodyTime(next http.Handler, timeout time.Duration) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.ContentLength != 0 && timeout > 0 {
			body := &timedBody{ReadCloser: r.Body, control: http.NewResponseController(w)}
			if body.control.SetReadDeadline(time.Now().Add(timeout)) == nil {
				r.Body = body
			}
		}
		next.ServeHTTP(w, r)
	})
}

// timedBody is a request body with a read deadline, which it removes at the end of the body.
type timedBody struct {
	io.ReadCloser
	control *http.ResponseController
}

// Read implements io.Reader.
func (b *timedBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if err == io.EOF {
		// The server reads from the connection while the handler runs, and cancels the request at a timeout.
		_ = b.control.SetReadDeadline(time.Time{})
	}
	return n, err
}
