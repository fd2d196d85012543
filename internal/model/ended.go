package model

import "maps"

// EndedUpstream records that a process and all earlier ones of its name have ended or are about to. An announcement of
// theirs that arrives late does not bring them back into use.
type EndedUpstream struct {
	Incarnation uint64 `json:"incarnation"`
	// Presumed is the highest incarnation that counts as ended because of a notice that named none. It is 0 without one.
	Presumed uint64 `json:"presumed,omitempty"`
	// PresumedAtMs is when that notice arrived, by the leader's wall clock in milliseconds since the Unix epoch.
	PresumedAtMs int64 `json:"presumed_at_ms,omitempty"`
	// Since is the version at which the end was recorded.
	Since uint64 `json:"since"`
}

// maxEnded limits the upstreams in State.Ended.
const maxEnded = 4096

// WithEnded returns a copy in which the incarnation of the upstream, and all earlier ones, have ended as of the version.
func (s *State) WithEnded(name string, incarnation, version uint64) *State {
	e, known := s.Ended[name]
	if known && incarnation <= e.Incarnation {
		return s
	}
	return s.withEndedEntry(name, EndedUpstream{
		Incarnation: incarnation, Presumed: e.Presumed, PresumedAtMs: e.PresumedAtMs, Since: version,
	})
}

// WithPresumedEnd is like WithEnded for a notice that named no incarnation and arrived at atMs. It may have come from
// an earlier process, so WithoutPresumedEnd can withdraw it.
func (s *State) WithPresumedEnd(name string, incarnation, version uint64, atMs int64) *State {
	if s.HasEnded(name, incarnation) {
		return s
	}
	return s.withEndedEntry(name, EndedUpstream{
		Incarnation: s.Ended[name].Incarnation, Presumed: incarnation, PresumedAtMs: atMs, Since: version,
	})
}

// WithoutPresumedEnd returns a copy in which only the incarnations have ended that are certain to have.
func (s *State) WithoutPresumedEnd(name string) *State {
	e := s.Ended[name]
	if e.Presumed == 0 {
		return s
	}
	e.Presumed, e.PresumedAtMs = 0, 0
	if e.Incarnation > 0 {
		return s.withEndedEntry(name, e)
	}
	c := *s
	c.Ended = maps.Clone(s.Ended)
	delete(c.Ended, name)
	return &c
}

func (s *State) withEndedEntry(name string, e EndedUpstream) *State {
	c := *s
	c.Ended = maps.Clone(s.Ended)
	if c.Ended == nil {
		c.Ended = map[string]EndedUpstream{}
	}
	c.Ended[name] = e
	if len(c.Ended) > maxEnded {
		delete(c.Ended, oldestEnded(c.Ended))
	}
	return &c
}

// HasEnded reports whether the incarnation of the upstream is recorded as ended.
func (s *State) HasEnded(name string, incarnation uint64) bool {
	e, ok := s.Ended[name]
	return ok && incarnation <= max(e.Incarnation, e.Presumed)
}

// IsPresumedEnded reports whether the incarnation counts as ended only because of a notice that named none.
func (s *State) IsPresumedEnded(name string, incarnation uint64) bool {
	e := s.Ended[name]
	return e.Incarnation < incarnation && incarnation <= e.Presumed
}

// oldestEnded returns the name of the oldest entry, the same on all replicas.
func oldestEnded(ended map[string]EndedUpstream) string {
	oldest := ""
	for name, e := range ended {
		o := ended[oldest]
		if oldest == "" || e.Since < o.Since || (e.Since == o.Since && name < oldest) {
			oldest = name
		}
	}
	return oldest
}
