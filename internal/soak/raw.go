package soak

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"baobabreach/internal/stub"
)

const (
	// rawUpstreams is the number of upstreams that send raw responses.
	rawUpstreams = 12
	// earlyResets is the number of uploads whose response is reset while they are written, and uploadBytes their size, which
	// is less than max_body_bytes.
	earlyResets = 40
	uploadBytes = 900 << 10
	// rawAttempts limits the requests until one of them has reached an upstream.
	rawAttempts = 40
)

// rawCase is a response that upstreams send to some requests.
type rawCase struct {
	name string
	// response has rawFields in place of the fields that differ between requests.
	response stub.RawResponse
	// valid is true if callers must get the response, with the body.
	valid bool
	body  string
	// uploaded is the size of the request body.
	uploaded int
	// repeats is the number of requests of each method.
	repeats int
}

// rawFields stands for the ID of the request and the signature of the upstream.
const rawFields = "{fields}"

func rawCases() []rawCase {
	var cases []rawCase
	add := func(c stub.ResponseCase, valid bool) {
		response := stub.RawResponse{Bytes: c.Bytes(rawFields), End: stub.RawClose}
		cases = append(cases, rawCase{name: c.Name, response: response, valid: valid, body: c.Body, repeats: 1})
	}
	for _, c := range stub.ValidResponses() {
		add(c, true)
	}
	for _, c := range stub.InvalidResponses() {
		add(c, false)
	}
	for _, delay := range []time.Duration{0, 20 * time.Millisecond} {
		cases = append(cases, rawCase{
			name: fmt.Sprintf("reset %v after an early response", delay), uploaded: uploadBytes, repeats: earlyResets / 2,
			response: stub.RawResponse{
				Bytes: "HTTP/1.1 200 OK\r\n" + rawFields + "\r\npart", Early: true, Delay: delay, End: stub.RawReset,
			},
		})
	}
	return cases
}

// rawResponder answers requests with the case that their query names.
type rawResponder struct {
	cases []rawCase

	mu sync.Mutex
	// answered counts the answers to each case.
	answered map[int]int
}

func (p *rawResponder) respond(w http.ResponseWriter, r *http.Request) {
	n, err := strconv.Atoi(r.URL.RawQuery)
	if err != nil || n >= len(p.cases) {
		return
	}
	p.mu.Lock()
	p.answered[n]++
	p.mu.Unlock()
	fields := "Attempt-Id: " + r.Header.Get("Attempt-Id") + "\r\nResponse-Signature: f\r\n"
	response := p.cases[n].response
	response.Bytes = strings.ReplaceAll(response.Bytes, rawFields, fields)
	if !response.Early {
		_, _ = io.Copy(io.Discard, r.Body)
	}
	c, _, err := http.NewResponseController(w).Hijack()
	if err != nil {
		return
	}
	// An error means that the host has closed the connection.
	_ = response.Send(c)
}

func (p *rawResponder) answers(n int) int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.answered[n]
}

// RunRawResponses lets upstreams with small receive buffers send valid responses of unusual form, invalid ones, and ones
// that are reset during the upload. It is a violation if a caller gets an invalid one or only a part, or if it doesn't get a
// valid one.
func RunRawResponses(cfg Config) (*Run, []string, error) {
	r := newRun(cfg, 1)
	p := &rawResponder{cases: rawCases(), answered: map[int]int{}}
	return r.run(func(ctx context.Context) error {
		r.group.SetRaw(p.respond)
		r.group.listen = stub.ListenWithSmallBuffers
		for range rawUpstreams - orderUpstreams {
			if err := r.startUpstream(false); err != nil {
				return err
			}
		}
		time.Sleep(2 * heartbeatInterval)
		c := &http.Client{Timeout: 3 * time.Second}
		for n, x := range p.cases {
			for _, method := range []string{http.MethodGet, http.MethodPost} {
				for i := range x.repeats {
					r.sendRaw(ctx, c, p, n, method, i)
				}
			}
		}
		answers := 0
		for n := range p.cases {
			answers += p.answers(n)
		}
		r.recordEvent("%d cases, %d raw responses", len(p.cases), answers)
		return nil
	})
}

// sendRaw sends one request until it has reached an upstream, and a valid case until it has been served.
func (r *Run) sendRaw(ctx context.Context, c *http.Client, p *rawResponder, n int, method string, repeat int) {
	x, before := p.cases[n], p.answers(n)
	hosts := r.fleet.EntryHosts()
	for attempt := range rawAttempts {
		id := fmt.Sprintf("raw-%d-%s-%d-%d", n, method, repeat, attempt)
		content := id + strings.Repeat("x", x.uploaded)
		order := CrashConfig{Method: method, Service: "orders"}
		target := rawTarget + "?" + strconv.Itoa(n)
		status, body := r.sendTo(ctx, c, hosts[(n+repeat+attempt)%len(hosts)], order, target, id, content)
		// Hosts answer with errors only.
		answered := status > 0 && status < http.StatusBadRequest || status > 599
		switch {
		case answered && (!x.valid || body != x.body):
			r.checker.ReportViolation("case %s was answered %d with the body %q", x.name, status, body)
			return
		case answered, !x.valid && p.answers(n) > before:
			return
		}
		time.Sleep(50 * time.Millisecond)
	}
	r.checker.ReportViolation("case %s reached no upstream, or was not served, in %d requests", x.name, rawAttempts)
}
