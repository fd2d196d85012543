package strict_test

import (
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"baobabreach/internal/strict"
)

// loopConn returns the same bytes to each read.
type loopConn struct {
	net.Conn
	data string
}

func (c loopConn) Read(b []byte) (int, error) { return copy(b, c.data), nil }

// BenchmarkCheck reads a response with a head of usual size.
func BenchmarkCheck(b *testing.B) {
	data := "HTTP/1.1 200 OK\r\nDate: " + time.RFC1123 + "\r\nContent-Type: application/json\r\nContent-Length: 2000\r\n" +
		"X-Id: 9c41d07be2a35f68\r\nX-Signed: 3e1b.07.5a2.600.0.c9f2a4d1\r\nKeep-Alive: timeout=5\r\n\r\n" +
		strings.Repeat("x", 2000)
	c := strict.NewConn(loopConn{data: data})
	buffer := make([]byte, 4<<10)
	for b.Loop() {
		c.ExpectResponse(http.MethodGet)
		if n, err := c.Read(buffer); n != len(data) || err != nil {
			b.Fatal(n, err)
		}
	}
}
