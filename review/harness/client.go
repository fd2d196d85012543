package harness

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"time"
)

// Request is one client attempt.
type Request struct {
	ID, Method, Host, Path string
	// Key is the Shard-Key; negative for none.
	Key      int
	Deadline time.Duration
	Body     []byte
}

// Answer is what a client saw of an attempt. Status is 0 if the connection ended without a complete answer.
type Answer struct {
	Status    int
	Header    http.Header
	Signature string
	Body      []byte
	Err       error
	Elapsed   time.Duration
}

// NewID returns an Attempt-Id.
func NewID() string { return fmt.Sprintf("%016x", rand.Uint64()) }

// Send sends a request on a new connection.
func Send(address string, r Request) Answer {
	started := time.Now()
	a := send(address, r)
	a.Elapsed = time.Since(started)
	return a
}

func send(address string, r Request) Answer {
	c, err := net.DialTimeout("tcp", address, time.Second)
	if err != nil {
		return Answer{Err: fmt.Errorf("connect: %w", err)}
	}
	defer func() { _ = c.Close() }()
	_ = c.SetDeadline(time.Now().Add(r.Deadline))
	var b bytes.Buffer
	fmt.Fprintf(&b, "%s %s HTTP/1.1\r\nHost: %s\r\nAttempt-Id: %s\r\nDeadline-Ms: %d\r\n", r.Method, r.Path, r.Host, r.ID,
		r.Deadline.Milliseconds())
	if r.Key >= 0 {
		fmt.Fprintf(&b, "Shard-Key: %d\r\n", r.Key)
	}
	if r.Method != http.MethodGet {
		fmt.Fprintf(&b, "Content-Length: %d\r\n", len(r.Body))
	}
	b.WriteString("\r\n")
	b.Write(r.Body)
	if _, err := c.Write(b.Bytes()); err != nil {
		return Answer{Err: fmt.Errorf("send: %w", err)}
	}
	resp, err := http.ReadResponse(bufio.NewReader(c), &http.Request{Method: r.Method})
	if err != nil {
		return Answer{Err: fmt.Errorf("read answer: %w", err)}
	}
	defer func() { _ = resp.Body.Close() }()
	body, err := io.ReadAll(resp.Body)
	if err != nil {
		return Answer{Err: fmt.Errorf("read body: %w", err)}
	}
	return Answer{
		Status: resp.StatusCode, Header: resp.Header, Signature: resp.Header.Get("Response-Signature"), Body: body,
	}
}
