package soak

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net/http"
	"slices"
	"strings"
	"sync"
	"time"

	"baobabreach/internal/errs"

	"github.com/go-faster/errors"
)

const (
	// uploadMemoryMB is the memory limit of the entry host that takes the uploads.
	uploadMemoryMB = 284
	// uploadTimeLimit is the time limit of an upload, and trickleTime the time over which a slow one is sent.
	uploadTimeLimit = 20 * time.Second
	trickleTime     = 4 * time.Second
	// calmTime is how long small requests are measured before the uploads, and smallInterval the time between two of them.
	calmTime      = 2 * time.Second
	smallInterval = 10 * time.Millisecond
	// maxSlowdown is how many times longer small requests may take beside uploads, of at least minSmallTime.
	maxSlowdown  = 2
	minSmallTime = 20 * time.Millisecond
	// uploadChange adds a route for uploads and allows bodies of 64 MB.
	uploadChange = `{"Upsert":{"Routes":{"Columns":["Name","Host","PathPrefix","RouteType","Timeout","TargetLatency",` +
		`"Priority","MaxAttempts","Version","Service"],"Rows":[["r-upload","u.example","/","unsafe","20000ms","10000ms",1,1,` +
		`"r1","orders"]]},"Limits":{"MaxHeaderBytes":16384,"MaxBodyBytes":67108864,"HeaderTimeout":"3000ms",` +
		`"IdleTimeout":"15000ms","Version":"r1"}},"Remove":{}}`
)

// UploadConfig selects uploads that are sent at the same time to one entry host.
type UploadConfig struct {
	Count, MB int
	// Chunked sends no length, and Trickle sends the body over trickleTime.
	Chunked, Trickle bool
	// CheckTimes makes slow small requests a violation. It needs a machine on which nothing else runs.
	CheckTimes bool
}

// uploadResult is what RunUploads measures.
type uploadResult struct {
	// served, refused and other count the uploads by their answers: 200, 503 and any other or none.
	served, refused, other int
	// calm and beside are the medians of the times of small requests before and during the uploads.
	calm, beside time.Duration
}

// RunUploads sends uploads at the same time, beside small requests. It is a violation if the entry host needs more than
// its share of the memory or ends, if an upload gets no answer or a false one, or if small requests are not served in
// time.
func RunUploads(cfg Config, uploads UploadConfig) (*Run, []string, error) {
	cfg.MemoryMB = uploadMemoryMB
	r := newRun(cfg, 1)
	return r.run(func(ctx context.Context) error {
		if err := r.allowUploads(ctx); err != nil {
			return err
		}
		h := r.fleet.EntryHosts()[0]
		var result uploadResult
		result.calm = r.timeSmallRequests(ctx, h, "calm", calmTime, nil)
		done := make(chan struct{})
		go func() {
			defer close(done)
			result.served, result.refused, result.other = r.sendUploads(ctx, h, uploads)
		}()
		result.beside = r.timeSmallRequests(ctx, h, "beside", 2*uploadTimeLimit, done)
		<-done
		peak, err := h.peakMemoryMB()
		r.recordEvent("%d served, %d refused, %d neither; %d MB of %d at the peak; small requests %v before, %v beside",
			result.served, result.refused, result.other, peak, uploadMemoryMB, result.calm, result.beside)
		if err != nil {
			r.checker.ReportViolation("%s has ended: %v", h.Name, err)
		}
		if float64(peak) > maxMemoryShare*uploadMemoryMB {
			r.checker.ReportViolation("%s took %d MB of %d", h.Name, peak, uploadMemoryMB)
		}
		if result.served == 0 || result.other > 0 {
			r.checker.ReportViolation("%d uploads served, %d refused, %d neither", result.served, result.refused, result.other)
		}
		if limit := max(minSmallTime, maxSlowdown*result.calm); uploads.CheckTimes && result.beside > limit {
			r.checker.ReportViolation("small requests took %v beside uploads, %v before", result.beside, result.calm)
		}
		return nil
	})
}

func (r *Run) allowUploads(ctx context.Context) error {
	req, err := http.NewRequestWithContext(ctx, http.MethodPatch, "http://"+r.fleet.Registries()[0]+"/baobabreach/config",
		strings.NewReader(uploadChange))
	if err != nil {
		return errors.Wrap(err, "make change")
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return errors.Wrap(err, "change limits")
	}
	_ = resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return errors.Errorf("change limits: status %d", resp.StatusCode)
	}
	time.Sleep(time.Second)
	return nil
}

// timeSmallRequests sends small requests until done is closed, for at most d, and returns the median of their times.
func (r *Run) timeSmallRequests(
	ctx context.Context, h *Host, name string, d time.Duration, done <-chan struct{},
) time.Duration {
	c := &http.Client{Timeout: 2 * time.Second}
	var times []time.Duration
	failed := 0
	for n, end := 0, time.Now().Add(d); time.Now().Before(end) && ctx.Err() == nil; n++ {
		select {
		case <-done:
			end = time.Now()
		case <-time.After(smallInterval):
		}
		sentAt := time.Now()
		status, err := send(c, h, fmt.Sprintf("%s-%d", name, n), http.MethodGet, n*4099%65536)
		if status != http.StatusOK || err != nil {
			failed++
			continue
		}
		times = append(times, time.Since(sentAt))
	}
	if float64(len(times)) < minServedShare*float64(len(times)+failed) {
		r.checker.ReportViolation("%d of %d small requests (%s) were served", len(times), len(times)+failed, name)
	}
	if len(times) == 0 {
		return 0
	}
	slices.Sort(times)
	return times[len(times)/2]
}

func (r *Run) sendUploads(ctx context.Context, h *Host, uploads UploadConfig) (served, refused, other int) {
	var mu sync.Mutex
	var wg sync.WaitGroup
	content := bytes.Repeat([]byte("upload, "), uploads.MB<<20/8)
	for i := range uploads.Count {
		wg.Go(func() {
			status, err := sendUpload(ctx, h, fmt.Sprintf("upload-%d", i), content, uploads)
			mu.Lock()
			defer mu.Unlock()
			switch status {
			case http.StatusOK:
				served++
			case http.StatusServiceUnavailable:
				refused++
			default:
				other++
				r.recordEvent("upload %d: status %d, %v", i, status, err)
			}
		})
	}
	wg.Wait()
	return served, refused, other
}

// sendUpload sends one upload and returns the status of the answer, which may come before the whole body was sent.
func sendUpload(ctx context.Context, h *Host, id string, content []byte, uploads UploadConfig) (int, error) {
	var body io.Reader = bytes.NewReader(content)
	if uploads.Trickle {
		body = &slowReader{content: content, startedAt: time.Now()}
	}
	if uploads.Chunked {
		body = struct{ io.Reader }{body}
	}
	url := fmt.Sprintf("http://%s:%d/o/%s", h.daemonIP, portCaller, id)
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, url, body)
	if err != nil {
		return 0, errors.Wrap(err, "make upload")
	}
	if !uploads.Chunked {
		req.ContentLength = int64(len(content))
	}
	req.GetBody, req.Host = nil, "u.example"
	req.Header.Set("Attempt-Id", id)
	req.Header.Set("Deadline-Ms", fmt.Sprint(uploadTimeLimit.Milliseconds()))
	t := &http.Transport{DisableKeepAlives: true}
	defer t.CloseIdleConnections()
	resp, err := (&http.Client{Transport: t, Timeout: uploadTimeLimit}).Do(req)
	if err != nil {
		return 0, errors.Wrap(err, "upload")
	}
	defer func() { _ = resp.Body.Close() }()
	_, err = io.Copy(io.Discard, resp.Body)
	return resp.StatusCode, errs.Wrap(err, "read answer")
}

// slowReader returns its content evenly over trickleTime.
type slowReader struct {
	content   []byte
	startedAt time.Time
	read      int
}

// Read implements io.Reader.
func (s *slowReader) Read(b []byte) (int, error) {
	for s.read < len(s.content) {
		share := min(1, float64(time.Since(s.startedAt))/float64(trickleTime))
		if due := int(share * float64(len(s.content))); due > s.read {
			n := copy(b, s.content[s.read:due])
			s.read += n
			return n, nil
		}
		time.Sleep(smallInterval)
	}
	return 0, io.EOF
}
