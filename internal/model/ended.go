package model

import "maps"

// EndedUpstream records that a process and all earlier ones of its name have ended or are about to. An announcement of
// theirs that arrives late does not bring them back into use.
type EndedUpstream struct {
	Incarnation uint64 `json:"incarnation"`
	// Since is the version at which the end was recorded.
	Since uint64 `json:"since"`
}

// maxEnded limits the upstreams in State.Ended.
const maxEnded = 4096

// WithEnded returns a copy in which the incarnation of the upstream, and all earlier ones, have ended as of the version.
func (s *State) WithEnded(name string, incarnation, version uint64) *State {
	if s.HasEnded(name, incarnation) {
		return s
	}
	c := *s
	c.Ended = maps.Clone(s.Ended)
	if c.Ended == nil {
		c.Ended = map[string]EndedUpstream{}
	}
	c.Ended[name] = EndedUpstream{Incarnation: incarnation, Since: version}
	if len(c.Ended) > maxEnded {
		delete(c.Ended, oldestEnded(c.Ended))
	}
	return &c
}

// HasEnded reports whether the incarnation of the upstream is recorded as ended.
func (s *State) HasEnded(name string, incarnation uint64) bool {
	e, ok := s.Ended[name]
	return ok && incarnation <= e.Incarnation
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
