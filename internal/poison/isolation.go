package poison

import "time"

// maxSurvivors limits the content that survivors keeps.
const maxSurvivors = 4096

// survivors holds the content that has survived a run within WatchTTL, as far as there is room for it.
type survivors struct {
	// recent and older hold when the content last survived a run. older is dropped once recent is full.
	recent, older map[string]time.Duration
}

func (s *survivors) add(now time.Duration, fingerprint string) {
	if s.recent == nil || len(s.recent) >= maxSurvivors/2 {
		s.recent, s.older = make(map[string]time.Duration, maxSurvivors/2), s.recent
	}
	s.recent[fingerprint] = now
}

func (s *survivors) has(now time.Duration, fingerprint string) bool {
	at, ok := s.recent[fingerprint]
	if !ok {
		at, ok = s.older[fingerprint]
	}
	return ok && now < at+WatchTTL
}

// maxRunPermitTTL limits the time for which a permit keeps content from running elsewhere.
const maxRunPermitTTL = 30 * time.Second

// RunPermitRequest asks the leader for a permit to run isolated content. Its end is reported in RunReport.Ended.
type RunPermitRequest struct {
	Contents []string `json:"contents"`
	// Holder identifies the run in the whole fleet.
	Holder string `json:"holder"`
	// TTLMs is the longest time that the run takes.
	TTLMs int64 `json:"ttl_ms"`
	// Version is that of the host's list.
	Version uint64 `json:"version"`
}

// runPermit is the right to run isolated content.
type runPermit struct {
	holder string
	until  time.Duration
}

// PermitRun returns true if the content may run. No other run of isolated content is permitted meanwhile.
func (t *Tracker) PermitRun(now time.Duration, q RunPermitRequest) bool {
	t.expire(now)
	// A new leader may not know yet that the content is isolated.
	isolated := !SameLeader(q.Version, t.version)
	for _, f := range q.Contents {
		switch v, _ := t.chains.Check(now, f); v {
		case VerdictRefuse:
			return false
		case VerdictIsolate:
			isolated = true
		}
	}
	if !isolated {
		return true
	}
	for _, f := range q.Contents {
		if p, ok := t.runPermits[f]; ok && now < p.until && p.holder != q.Holder {
			return false
		}
	}
	until := now + min(maxRunPermitTTL, max(0, time.Duration(q.TTLMs)*time.Millisecond))
	for _, f := range q.Contents {
		if len(t.runPermits) < maxSuspects {
			t.runPermits[f] = runPermit{holder: q.Holder, until: until}
		}
	}
	return true
}

// endRuns returns permits.
func (t *Tracker) endRuns(holders []string) {
	for _, h := range holders {
		for f, p := range t.runPermits {
			if p.holder == h {
				delete(t.runPermits, f)
			}
		}
	}
}

// expireRunPermits drops the permits of runs whose end was not reported.
func (t *Tracker) expireRunPermits(now time.Duration) {
	for f, p := range t.runPermits {
		if now >= p.until {
			delete(t.runPermits, f)
		}
	}
}
