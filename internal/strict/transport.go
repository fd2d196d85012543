package strict

import (
	"context"
	"net"
	"net/http"
	"net/http/httptrace"
)

// Transport is an http.Transport whose connections are of type Conn.
type Transport struct{ *http.Transport }

// NewTransport returns a transport that sends requests with t, which must not be in use yet.
func NewTransport(t *http.Transport) *Transport {
	dial := t.DialContext
	if dial == nil {
		dial = (&net.Dialer{}).DialContext
	}
	t.DialContext = func(ctx context.Context, network, address string) (net.Conn, error) {
		c, err := dial(ctx, network, address)
		if err != nil {
			return nil, err
		}
		return NewConn(c), nil
	}
	return &Transport{t}
}

// RoundTrip implements http.RoundTripper.
func (t *Transport) RoundTrip(r *http.Request) (*http.Response, error) {
	trace := &httptrace.ClientTrace{GotConn: func(info httptrace.GotConnInfo) {
		if c, ok := info.Conn.(*Conn); ok {
			c.ExpectResponse(r.Method)
		}
	}}
	return t.Transport.RoundTrip(r.WithContext(httptrace.WithClientTrace(r.Context(), trace)))
}

// WithoutKeepAlives returns a transport with the same settings that opens a connection for each request.
func (t *Transport) WithoutKeepAlives() *Transport {
	// Its connections are of type Conn, since it dials as t does.
	clone := t.Clone()
	clone.DisableKeepAlives = true
	return &Transport{clone}
}
