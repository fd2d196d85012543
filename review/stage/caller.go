package stage

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"sync/atomic"
	"time"
)

// Caller sends requests to one entry host over connections that it keeps.
type Caller struct {
	Name   string
	Fleet  *Fleet
	Front  *Host
	client *http.Client
	count  atomic.Int64
}

// Result is how a request ended.
type Result struct {
	ID     string
	SentAt time.Time
	// Status is 0 if the connection ended without a complete answer.
	Status int
	Err    error
}

// NewCaller returns a caller of an entry host.
func NewCaller(name string, f *Fleet, front *Host, connections int) *Caller {
	return &Caller{Name: name, Fleet: f, Front: front, client: &http.Client{Transport: &http.Transport{
		MaxIdleConnsPerHost: connections, MaxConnsPerHost: connections, DisableCompression: true,
	}}}
}

// Send sends one request and waits for its answer, at most for the time limit.
func (c *Caller) Send(method, path string, key int, body []byte, limit time.Duration) Result {
	return c.SendBody(method, path, key, bytes.NewReader(body), int64(len(body)), limit)
}

// SendBody is like Send, with a body of the given length.
func (c *Caller) SendBody(method, path string, key int, body io.Reader, length int64, limit time.Duration) Result {
	id := fmt.Sprintf("%s-%d", c.Name, c.count.Add(1))
	ctx, cancel := context.WithTimeout(context.Background(), limit)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, method, "http://"+c.Fleet.Caller(c.Front)+path+id, body)
	if err != nil {
		return Result{ID: id, Err: err}
	}
	req.ContentLength = length
	// Without GetBody the transport can't send a request twice on its own.
	req.GetBody = nil
	req.Host = HostName
	req.Header.Set("Attempt-Id", id)
	req.Header.Set("Deadline-Ms", strconv.FormatInt(limit.Milliseconds(), 10))
	if key >= 0 {
		req.Header.Set("Shard-Key", strconv.Itoa(key))
	}
	res := Result{ID: id, SentAt: time.Now()}
	resp, err := c.client.Do(req)
	if err != nil {
		res.Err = err
		c.Fleet.Record.Add("caller: %s to %s ended without an answer: %v", id, c.Front.Name, err)
		return res
	}
	defer func() { _ = resp.Body.Close() }()
	if _, err := io.Copy(io.Discard, resp.Body); err != nil {
		res.Err = err
		c.Fleet.Record.Add("caller: %s to %s got an incomplete answer: %v", id, c.Front.Name, err)
		return res
	}
	res.Status = resp.StatusCode
	c.Fleet.Record.Add("caller: %s to %s answered %d after %d ms", id, c.Front.Name, resp.StatusCode,
		time.Since(res.SentAt).Milliseconds())
	return res
}

// probeLimit is the time limit of a request of AwaitService.
const probeLimit = 1500 * time.Millisecond

// AwaitService waits until every entry host has answered a request with 200.
func (f *Fleet) AwaitService(method, path string, key int) error {
	for _, h := range f.Fronts {
		c := NewCaller("probe-"+h.Name, f, h, 1)
		served := func() bool { return c.Send(method, path, key, nil, probeLimit).Status == http.StatusOK }
		if err := wait(served); err != nil {
			return fmt.Errorf("%s does not serve %s: %w", h.Name, path, err)
		}
	}
	return nil
}
