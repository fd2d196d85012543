package strict_test

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"

	"baobabreach/internal/strict"
	"baobabreach/internal/stub"

	"github.com/go-faster/errors"
	"github.com/matryer/is"
)

// Guards against a check that depends on how a response is divided into reads.
func TestResponsesThatArriveByteByByte(t *testing.T) {
	for _, c := range stub.InvalidResponses() {
		t.Run(c.Name, func(t *testing.T) {
			is := is.New(t)
			_, err := get(t, c, 1)
			is.True(err != nil)
		})
	}
	for _, c := range stub.ValidResponses() {
		t.Run(c.Name, func(t *testing.T) {
			is := is.New(t)
			body, err := get(t, c, 1)
			is.NoErr(err)
			is.Equal(body, c.Body)
		})
	}
}

// Guards against control bytes that pass at some place of a head, of a chunk size or of a trailer.
func TestControlBytesAreInvalidEverywhere(t *testing.T) {
	const response = "HTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\n" +
		"HTTP/1.1 200 All right\r\nX-Id: 1\r\nTransfer-Encoding: chunked\r\n\r\n" +
		"0;a=b;c=\"d \\e\"\r\nX-Trailer: x y\r\n\r\n"
	is := is.New(t)
	is.NoErr(readAll(t, response))
	for at := range response {
		for b := rune(0); b < 0x80; b++ {
			changed := response[:at] + string(b) + response[at:]
			if b >= ' ' && b < 0x7f || b == '\t' || strings.HasPrefix(changed, response) {
				continue
			}
			if err := readAll(t, changed); !errors.Is(err, strict.ErrInvalid) {
				t.Errorf("byte %q at %d: %v", b, at, err)
			}
		}
	}
}

// readAll reads a response from a connection and returns the error for its first invalid byte.
func readAll(t *testing.T, response string) error {
	t.Helper()
	clientConn, serverConn := net.Pipe()
	defer func() { _ = clientConn.Close() }()
	go func() {
		_, _ = io.WriteString(serverConn, response)
		_ = serverConn.Close()
	}()
	c := strict.NewConn(clientConn)
	c.ExpectResponse(http.MethodGet)
	_, _ = io.Copy(io.Discard, c)
	return c.Invalid()
}

// Guards against a client that sends its request once more because an invalid response looks like a closed idle connection.
func TestInvalidResponseIsNotAskedForAgain(t *testing.T) {
	is := is.New(t)
	requests := 0
	client := newClient(t, func(c net.Conn, r *http.Request) {
		requests++
		if requests == 1 {
			_, _ = io.WriteString(c, "HTTP/1.1 204 No Content\r\n\r\n")
			return
		}
		_, _ = io.WriteString(c, "no answer")
	})
	resp, err := client.Get("http://a.example/")
	is.NoErr(err)
	is.NoErr(resp.Body.Close())
	resp, err = client.Get("http://a.example/")
	if err == nil {
		_ = resp.Body.Close()
	}
	is.True(err != nil)
	is.Equal(requests, 2)
}

// Guards against a second copy of a response that is read as the response to the next request on the connection.
func TestBytesAfterAResponseAreNotRead(t *testing.T) {
	const response = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"
	is := is.New(t)
	clientConn, serverConn := net.Pipe()
	t.Cleanup(func() { _ = clientConn.Close() })
	go func() { _, _ = io.WriteString(serverConn, response+response) }()
	c := strict.NewConn(clientConn)
	c.ExpectResponse(http.MethodGet)
	b := make([]byte, 2*len(response))
	n, err := c.Read(b)
	is.NoErr(err)
	is.Equal(string(b[:n]), response)
	is.True(c.Excess())
	c.ExpectResponse(http.MethodGet)
	n, err = c.Read(b)
	is.Equal(n, 0)
	is.True(err != nil)
	is.NoErr(c.Invalid())
}

// Guards against looking for content after responses that have none, and against losing the start of the next one.
func TestResponsesWithoutContentKeepTheConnection(t *testing.T) {
	is := is.New(t)
	conns := map[net.Conn]bool{}
	client := newClient(t, func(c net.Conn, r *http.Request) {
		conns[c] = true
		_, _ = io.WriteString(c, map[string]string{
			"/head":     "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n",
			"/chunked":  "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n",
			"/empty":    "HTTP/1.1 204 No Content\r\n\r\n",
			"/modified": "HTTP/1.1 304 Not Modified\r\nContent-Length: 2\r\n\r\n",
			"/ok":       "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok",
		}[r.URL.Path])
	})
	for _, request := range []struct{ method, path string }{
		{http.MethodHead, "/head"},
		{http.MethodHead, "/chunked"},
		{http.MethodGet, "/empty"},
		{http.MethodGet, "/modified"},
		{http.MethodGet, "/ok"},
		{http.MethodGet, "/ok"},
	} {
		req, err := http.NewRequestWithContext(t.Context(), request.method, "http://a.example"+request.path, http.NoBody)
		is.NoErr(err)
		resp, err := client.Do(req)
		is.NoErr(err)
		_, err = io.ReadAll(resp.Body)
		is.NoErr(err)
		is.NoErr(resp.Body.Close())
	}
	is.Equal(len(conns), 1)
}

// get returns the body of the response, which is written in pieces of a number of bytes.
func get(t *testing.T, c stub.ResponseCase, pieceBytes int) (string, error) {
	t.Helper()
	client := newClient(t, func(conn net.Conn, _ *http.Request) {
		rest := []byte(c.Bytes(""))
		for len(rest) > 0 {
			n := min(pieceBytes, len(rest))
			if _, err := conn.Write(rest[:n]); err != nil {
				break
			}
			rest = rest[n:]
		}
		_ = conn.Close()
	})
	resp, err := client.Get("http://a.example/")
	if err != nil {
		return "", errors.Wrap(err, "get")
	}
	defer func() { _ = resp.Body.Close() }()
	body, err := io.ReadAll(resp.Body)
	return string(body), err
}

// newClient returns a client whose connections are in-memory pipes to a server that calls respond for each request.
func newClient(t *testing.T, respond func(c net.Conn, r *http.Request)) *http.Client {
	t.Helper()
	client := &http.Client{Transport: strict.NewTransport(&http.Transport{
		DialContext: func(context.Context, string, string) (net.Conn, error) {
			clientConn, serverConn := net.Pipe()
			go func() {
				defer func() { _ = serverConn.Close() }()
				br := bufio.NewReader(serverConn)
				for {
					r, err := http.ReadRequest(br)
					if err != nil {
						return
					}
					respond(serverConn, r)
				}
			}()
			return clientConn, nil
		},
	})}
	t.Cleanup(client.CloseIdleConnections)
	return client
}
