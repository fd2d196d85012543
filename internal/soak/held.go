package soak

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"slices"
	"time"

	"github.com/go-faster/errors"
)

const (
	// cutBeforeLeave is how long an upstream reports nothing before it leaves. It is longer than a grant.
	cutBeforeLeave = 3500 * time.Millisecond
	// restartAfterLeave is how long after its notice an upstream that got no answer starts again under its ID, and
	// maxNoticeDelay how long that notice is held up.
	restartAfterLeave = 500 * time.Millisecond
	maxNoticeDelay    = 6 * time.Second
	// returnTime is the time within which an upstream must be in use again after a late notice of its predecessor, and
	// returnCheck the time within which requests show that.
	returnTime  = 20 * time.Second
	returnCheck = 8 * time.Second
	// oddReports is the number of reports of another writer in each round.
	oddReports = 6
)

// StopReporting ends the reports of the upstream, which goes on to serve.
func (u *Upstream) StopReporting() {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.cutOff = true
}

// Executions returns the number of requests that the upstream has executed.
func (u *Upstream) Executions() int64 { return u.executions.Load() }

// leaveAfterCut lets an upstream leave that has reported nothing for longer than its grant.
func (r *Run) leaveAfterCut(u *Upstream) bool {
	r.recordEvent("%s is cut off", u.id)
	u.StopReporting()
	time.Sleep(cutBeforeLeave)
	r.recordEvent("%s leaves", u.id)
	if !u.Leave() {
		return false
	}
	time.AfterFunc(serveAfterLeave, u.Kill)
	return true
}

// restartDuringNotice ends an upstream whose notice is held up and starts it again under its ID. The notice arrives,
// once or twice, after the first reports of the new process, which must be in use later.
func (r *Run) restartDuringNotice(u *Upstream) error {
	r.recordEvent("%s ends, its notice is held up", u.id)
	u.Kill()
	time.Sleep(restartAfterLeave)
	next, err := r.group.Start(u.id, u.service, u.address, u.address, u.keyed)
	if err != nil {
		return errors.Wrap(err, "start upstream again")
	}
	lastNotice := time.Duration(0)
	for range 1 + r.random.IntN(2) {
		delay := time.Second + time.Duration(r.random.Int64N(int64(maxNoticeDelay-time.Second)))
		lastNotice = max(lastNotice, delay)
		registry := u.group.registries[r.random.IntN(len(u.group.registries))]
		r.background.Go(func() {
			time.Sleep(delay)
			late := &Upstream{id: u.id, ctx: context.Background()}
			_, _ = late.callRegistry(http.MethodDelete, registry, nil)
		})
	}
	r.background.Go(func() {
		time.Sleep(lastNotice + returnTime)
		before := next.Executions()
		for deadline := time.Now().Add(returnCheck); time.Now().Before(deadline); time.Sleep(heartbeatInterval) {
			if next.Executions() > before {
				return
			}
		}
		r.checker.ReportViolation("upstream %s got no request from %v to %v after a late notice of its predecessor", u.id,
			returnTime, returnTime+returnCheck)
	})
	return nil
}

// deliverOddReports delivers reports of another writer about running upstreams: of a later process, with one field
// missing or of another type.
func (r *Run) deliverOddReports() {
	for range oddReports {
		running := r.group.running([]string{"styles", "orders"}[r.random.IntN(2)])
		if len(running) == 0 {
			continue
		}
		u := running[r.random.IntN(len(running))]
		reports := u.reports()
		if len(reports) == 0 {
			continue
		}
		var fields map[string]any
		if err := json.Unmarshal(reports[len(reports)-1], &fields); err != nil {
			continue
		}
		names := make([]string, 0, len(fields))
		for name := range fields {
			names = append(names, name)
		}
		slices.Sort(names)
		name := names[r.random.IntN(len(names))]
		fields["born"], fields["Holds"] = u.incarnation+1, [][]any{}
		switch kind := r.random.IntN(4); {
		case kind == 0:
			fields[name] = map[string]any{"odd": name}
		case kind == 1:
			fields[name] = nil
		case kind == 2 && u.keyed:
			delete(fields, "Holds")
			delete(fields, "Released")
		default:
			delete(fields, name)
		}
		body, err := json.Marshal(fields)
		if err != nil {
			continue
		}
		r.recordEvent("report of another writer about %s: %s", u.id, fmt.Sprintf("%.300s", body))
		u.deliverLate(u.group.registries[r.random.IntN(len(u.group.registries))], body)
	}
}
