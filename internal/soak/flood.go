package soak

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"baobabreach/internal/errs"

	"github.com/go-faster/errors"
)

const (
	// floodUpstreams is the number of upstreams that answer requests for rawTarget with bytes without end, floodCallers the
	// number of callers that send such requests, and floodTime how long.
	floodUpstreams = 12
	floodCallers   = 48
	floodTime      = 12 * time.Second
	// floodMemoryMB is the memory limit of the smallest entry hosts, of which they may use maxMemoryShare.
	floodMemoryMB  = 184
	maxMemoryShare = 0.8
	// nearLimitBytes is what an upstream sends of a response that is almost as large as one may be and never ends.
	nearLimitBytes = 15 << 20
	// minServedShare is the share of the other requests that must be served meanwhile.
	minServedShare = 0.99
)

// floods are the starts of responses and what follows them without end. The ID of the request replaces %s.
var floods = []struct{ start, rest string }{
	{"HTTP/1.1 200 OK\r\nAttempt-Id: %s\r\nResponse-Signature: f\r\nTransfer-Encoding: chunked\r\n\r\n", "3\r\nabc\r\n"},
	{"HTTP/1.1 200 OK\r\nAttempt-Id: %s\r\nResponse-Signature: f\r\nContent-Length: 9000000000\r\n\r\n", "abc"},
	{"HTTP/1.1 200 OK\r\nAttempt-Id: %s\r\nResponse-Signature: f\r\nContent-Length: 16000000\r\n\r\n", ""},
	{"HTTP/1.1 200 OK\r\nAttempt-Id: %s\r\nResponse-Signature: f\r\n\r\n", "abc"},
	{"HTTP/1.1 200 OK\r\nAttempt-Id: %s", "a"},
	{"HTTP/1.1 200 OK\r\n", "X-Some: header\r\n"},
	{"", "HTTP/1.1 102 Processing\r\n\r\n"},
	{"", "no answer\r\n"},
}

// flood sends one kind of endless response after the other.
type flood struct {
	responses atomic.Int64
	bytes     atomic.Int64
}

// respond takes over the connection and writes until the caller closes it.
func (f *flood) respond(w http.ResponseWriter, r *http.Request) {
	c, _, err := http.NewResponseController(w).Hijack()
	if err != nil {
		return
	}
	defer func() { _ = c.Close() }()
	kind := floods[int(f.responses.Add(1))%len(floods)]
	if strings.Contains(kind.start, "%s") {
		kind.start = fmt.Sprintf(kind.start, r.Header.Get("Attempt-Id"))
	}
	if _, err := io.WriteString(c, kind.start); err != nil {
		return
	}
	if kind.rest == "" {
		f.fill(c, nearLimitBytes)
		_, _ = c.Read(make([]byte, 1))
		return
	}
	const blockBytes = 64 << 10
	block := []byte(strings.Repeat(kind.rest, blockBytes/len(kind.rest)))
	for {
		n, err := c.Write(block)
		f.bytes.Add(int64(n))
		if err != nil {
			return
		}
	}
}

func (f *flood) fill(c net.Conn, bytes int64) {
	n, _ := io.CopyN(c, zeros{}, bytes)
	f.bytes.Add(n)
}

type zeros struct{}

func (zeros) Read(b []byte) (int, error) {
	clear(b)
	return len(b), nil
}

// RunEndlessResponses lets all upstreams of one service answer some requests with bytes without end, or with almost as many
// as one response may have. It is a violation if an entry host needs more than its share of the memory or ends, or if other
// requests are not served meanwhile.
func RunEndlessResponses(cfg Config) (*Run, []string, error) {
	cfg.MemoryMB = floodMemoryMB
	r := newRun(cfg, 1)
	f := &flood{}
	return r.run(func(ctx context.Context) error {
		r.group.SetRaw(f.respond)
		for range floodUpstreams - orderUpstreams {
			if err := r.startUpstream(false); err != nil {
				return err
			}
		}
		time.Sleep(2 * heartbeatInterval)
		ctx, cancel := context.WithTimeout(ctx, floodTime)
		defer cancel()
		served, sent := r.sendFlooded(ctx)
		r.recordEvent("%d endless responses, %d MB; %d of %d other requests served", f.responses.Load(), f.bytes.Load()>>20,
			served, sent)
		if float64(served) < minServedShare*float64(sent) {
			r.checker.ReportViolation("%d of %d other requests were served", served, sent)
		}
		if f.responses.Load() < int64(floodCallers) {
			r.checker.ReportViolation("%d endless responses only", f.responses.Load())
		}
		return r.checkMemory(r.fleet.EntryHosts())
	})
}

// RunEndlessReports lets one faulty upstream send parts of many reports to each replica. It is a violation if a replica
// needs more than its share of the memory or ends, or if requests are not served meanwhile.
func RunEndlessReports(cfg Config) (*Run, []string, error) {
	cfg.MemoryMB = floodMemoryMB
	r := newRun(cfg, 1)
	return r.run(func(ctx context.Context) error {
		answeredBefore, failedBefore := r.checker.Counts()
		ctx, cancel := context.WithTimeout(ctx, floodTime)
		defer cancel()
		for i, h := range r.fleet.Hosts[:replicaCount] {
			for range floodReports {
				go r.sendPartOfReport(ctx, h, i)
			}
		}
		<-ctx.Done()
		answered, failed := r.checker.Counts()
		answered, failed = answered-answeredBefore, failed-failedBefore
		r.recordEvent("%d requests answered, %d failed", answered, failed)
		if float64(answered) < minServedShare*float64(answered+failed) {
			r.checker.ReportViolation("%d of %d requests were served", answered, answered+failed)
		}
		return r.checkMemory(r.fleet.Hosts)
	})
}

const (
	// floodReports is the number of reports that the faulty upstream sends to each replica at the same time, and
	// partOfReportBytes what it sends of each.
	floodReports      = 1000
	partOfReportBytes = 250 << 10
)

// sendPartOfReport sends a part of a report from an address of its own, and the same again when the replica closes the
// connection, until ctx is done.
func (r *Run) sendPartOfReport(ctx context.Context, h *Host, replica int) {
	d := net.Dialer{LocalAddr: &net.TCPAddr{IP: net.IPv4(127, byte(r.cfg.LoopbackOctet), 2, byte(replica+1))}}
	for ctx.Err() == nil {
		c, err := d.DialContext(ctx, "tcp", fmt.Sprintf("%s:%d", h.daemonIP, portRegistry))
		if err != nil {
			time.Sleep(reportTimeout)
			continue
		}
		stop := context.AfterFunc(ctx, func() { _ = c.Close() })
		_, _ = io.WriteString(c, "PUT /baobabreach/instances/i-faulty HTTP/1.1\r\nHost: a\r\nContent-Length: 1000000\r\n\r\n{")
		_, _ = io.CopyN(c, zeros{}, partOfReportBytes)
		_, _ = c.Read(make([]byte, 1))
		stop()
		_ = c.Close()
		time.Sleep(reportTimeout)
	}
}

// sendFlooded sends requests that get endless responses until ctx is done, and keyed ones beside them, which it counts.
func (r *Run) sendFlooded(ctx context.Context) (served, sent int64) {
	var servedCount, sentCount atomic.Int64
	var wg sync.WaitGroup
	for i := range floodCallers {
		wg.Add(2)
		go func() {
			defer wg.Done()
			c := &http.Client{Timeout: 3 * time.Second}
			for n := 0; ctx.Err() == nil; n++ {
				hosts := r.fleet.EntryHosts()
				order := CrashConfig{Method: http.MethodPost, Service: "orders"}
				r.sendRepeated(ctx, c, hosts[(i+n)%len(hosts)], order, rawTarget+"?"+strconv.Itoa(n), fmt.Sprintf("flood-%d-%d", i, n))
			}
		}()
		go func() {
			defer wg.Done()
			c := &http.Client{Timeout: 3 * time.Second}
			for n := 0; ctx.Err() == nil; n++ {
				hosts := r.fleet.EntryHosts()
				status, _ := send(c, hosts[(i+n)%len(hosts)], fmt.Sprintf("beside-%d-%d", i, n), http.MethodGet, (i*7919+n*4099)%65536)
				if ctx.Err() == nil {
					sentCount.Add(1)
					if status == http.StatusOK {
						servedCount.Add(1)
					}
				}
				time.Sleep(time.Second)
			}
		}()
	}
	wg.Wait()
	return servedCount.Load(), sentCount.Load()
}

// checkMemory reports a violation for each host that ended or took more than its share of the memory.
func (r *Run) checkMemory(hosts []*Host) error {
	for _, h := range hosts {
		peak, err := h.peakMemoryMB()
		if err != nil {
			r.checker.ReportViolation("%s has ended: %v", h.Name, err)
			continue
		}
		r.recordEvent("%s: %d MB of %d at the peak", h.Name, peak, r.cfg.MemoryMB)
		if float64(peak) > maxMemoryShare*float64(r.cfg.MemoryMB) {
			r.checker.ReportViolation("%s took %d MB of %d", h.Name, peak, r.cfg.MemoryMB)
		}
	}
	return nil
}

// peakMemoryMB returns the largest resident memory of the daemon since its start.
func (h *Host) peakMemoryMB() (int, error) {
	b, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", h.process.Process.Pid))
	if err != nil {
		return 0, errors.Wrap(err, "read status of the process")
	}
	for line := range strings.Lines(string(b)) {
		if kb, ok := strings.CutPrefix(line, "VmHWM:"); ok {
			n, err := strconv.Atoi(strings.TrimSuffix(strings.TrimSpace(kb), " kB"))
			return n >> 10, errs.Wrap(err, "parse VmHWM")
		}
	}
	return 0, errors.New("the status has no VmHWM")
}
