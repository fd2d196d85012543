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

// limitBodyTime makes reads of the request body fail after the timeout. http.Server.ReadTimeout can't be used, because
// it also cancels the context of a handler that takes longer, such as a long poll. A response that begins before the
// body has been read reaches the caller.
func limitBodyTime(next http.Handler, timeout time.Duration) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.ContentLength == 0 || timeout <= 0 {
			next.ServeHTTP(w, r)
			return
		}
		body := &timedBody{ReadCloser: r.Body, control: http.NewResponseController(w), length: r.ContentLength}
		if body.control.SetReadDeadline(time.Now().Add(timeout)) != nil {
			next.ServeHTTP(w, r)
			return
		}
		r.Body = body
		next.ServeHTTP(&earlyWriter{ResponseWriter: w, body: body}, r)
		if r.Header.Get("Expect") == "" {
			body.discardRest()
		}
	})
}

const (
	// maxKeptRest is the largest rest of a body for which a connection is kept after the response, and discardTime the
	// time for which a larger one is read.
	maxKeptRest = 64 << 10
	discardTime = 500 * time.Millisecond
)

// timedBody is a request body with a read deadline, which it removes at the end of the body.
type timedBody struct {
	io.ReadCloser
	control *http.ResponseController
	// length is the length of the body, or negative if it is not known, and read what has been read of it.
	length, read int64
	ended        bool
}

// Read implements io.Reader.
func (b *timedBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	b.read += int64(n)
	if err == io.EOF {
		b.ended = true
		// The server reads from the connection while the handler runs, and cancels the request at a timeout.
		_ = b.control.SetReadDeadline(time.Time{})
	}
	return n, err
}

// hasLargeRest reports whether the rest of the body is too large to be read for the sake of the connection.
func (b *timedBody) hasLargeRest() bool {
	return !b.ended && (b.length < 0 || b.length-b.read > maxKeptRest)
}

// discardRest reads a large rest of the body for a while after the response. A connection that is closed with unread
// bytes is reset, and the caller, which is still sending, may lose the response with it.
func (b *timedBody) discardRest() {
	if !b.hasLargeRest() || b.control.Flush() != nil || b.control.SetReadDeadline(time.Now().Add(discardTime)) != nil {
		return
	}
	_, _ = io.Copy(io.Discard, b)
}

// earlyWriter closes the connection after a response that begins before a large rest of the body has been read.
// http.Server would read a part of that first, and so make the caller wait for the response.
type earlyWriter struct {
	http.ResponseWriter
	body        *timedBody
	wroteHeader bool
}

// WriteHeader implements http.ResponseWriter.
func (w *earlyWriter) WriteHeader(status int) {
	if w.body.hasLargeRest() {
		w.Header().Set("Connection", "close")
	}
	w.wroteHeader = true
	w.ResponseWriter.WriteHeader(status)
}

// Write implements http.ResponseWriter.
func (w *earlyWriter) Write(b []byte) (int, error) {
	if !w.wroteHeader {
		w.WriteHeader(http.StatusOK)
	}
	return w.ResponseWriter.Write(b)
}

// Unwrap returns the writer that http.ResponseController needs.
func (w *earlyWriter) Unwrap() http.ResponseWriter { return w.ResponseWriter }
