package daemon_test

import (
	"context"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"baobabreach/internal/config"
	"baobabreach/internal/daemon"
	"baobabreach/internal/model"

	"github.com/matryer/is"
)

// boundedFixture is a server for callers whose bounds change while connections are open.
type boundedFixture struct {
	*stopFixture
	bounds atomic.Pointer[model.Bounds]
}

func newBoundedFixture(t *testing.T, header, idle time.Duration, handle http.HandlerFunc) *boundedFixture {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	f := &boundedFixture{stopFixture: &stopFixture{t: t, address: l.Addr().String()}}
	f.set(header, idle)
	f.server = daemon.NewBoundedServer(config.Config{}, l, handle, func() model.Bounds { return *f.bounds.Load() })
	t.Cleanup(func() { f.server.Stop(context.Background()) })
	return f
}

func (f *boundedFixture) set(header, idle time.Duration) {
	f.bounds.Store(&model.Bounds{HeaderTimeoutMs: header.Milliseconds(), IdleTimeoutMs: idle.Milliseconds()})
}

// closedWithin reports whether the server closes the connection within d.
func closedWithin(c net.Conn, d time.Duration) bool {
	_ = c.SetReadDeadline(time.Now().Add(d))
	defer func() { _ = c.SetReadDeadline(time.Time{}) }()
	_, err := c.Read(make([]byte, 1))
	var timeout net.Error
	return err != nil && (!asNetError(err, &timeout) || !timeout.Timeout())
}

func asNetError(err error, target *net.Error) bool {
	e, ok := err.(net.Error) //nolint:errorlint // the errors of net.Conn are not wrapped
	*target = e
	return ok
}

// Guards against headers that may take as long as they like, or only as long as a fixed limit, whatever the
// configuration says.
func TestHeaderTimeoutOfTheConfigurationHolds(t *testing.T) {
	is := is.New(t)
	f := newBoundedFixture(t, 400*time.Millisecond, 10*time.Second, func(w http.ResponseWriter, _ *http.Request) {
		_, _ = io.WriteString(w, "ok")
	})
	send := func(c net.Conn, part string) { _, _ = io.WriteString(c, part) }
	slow, used, unused := f.dial(), f.dial(), f.dial()
	_, _ = f.get(used)
	send(slow, "GET / HTTP/1.1\r\n")
	send(used, "GET / HTTP/1.1\r\n")
	is.True(!closedWithin(slow, 200*time.Millisecond))
	is.True(closedWithin(slow, time.Second))
	is.True(closedWithin(used, time.Second))
	_, _ = f.get(unused) // an idle connection has no headers to send

	f.set(7*time.Second, 10*time.Second)
	time.Sleep(300 * time.Millisecond)
	patient := f.dial()
	send(patient, "GET / HTTP/1.1\r\n")
	time.Sleep(5500 * time.Millisecond) // longer than the default
	send(patient, "Host: a\r\n")
	status, _ := f.finish(patient)
	is.Equal(status, http.StatusOK)
}

// Guards against idle connections that are closed while callers may still use them, or kept for longer than the
// configuration says, also if it changes while they are idle.
func TestIdleTimeoutOfTheConfigurationHolds(t *testing.T) {
	is := is.New(t)
	running := make(chan struct{})
	f := newBoundedFixture(t, time.Second, 20*time.Second, func(_ http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/long" {
			close(running)
			time.Sleep(1200 * time.Millisecond)
		}
	})
	used, unused, busy := f.dial(), f.dial(), f.dial()
	_, _ = f.get(used)
	_, _ = io.WriteString(busy, "GET /long HTTP/1.1\r\nHost: a\r\n")
	answered := make(chan int, 1)
	go func() {
		status, _ := f.finish(busy)
		answered <- status
	}()
	<-running
	is.True(!closedWithin(used, 500*time.Millisecond))
	f.set(time.Second, 300*time.Millisecond)
	is.True(closedWithin(used, 600*time.Millisecond))
	is.True(closedWithin(unused, 600*time.Millisecond))
	is.Equal(<-answered, http.StatusOK)
	is.True(closedWithin(busy, time.Second))
}
