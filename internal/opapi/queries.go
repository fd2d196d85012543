package opapi

import (
	"fmt"
	"net/http"
	"slices"

	"baobabreach/internal/audit"
	"baobabreach/internal/model"
	"baobabreach/internal/peer"
	"baobabreach/pkg/proto"
)

// Status is the response to the status query.
type Status struct {
	// Host is the name of the daemon that responded; Local holds the settings revision and table version in force on it.
	Host  string      `json:"host"`
	Local LocalStatus `json:"local"`
	// Fleet is the leader's view; nil if no leader responded, with the reason in LeaderError.
	Fleet       *Fleet          `json:"fleet,omitempty"`
	LeaderError string          `json:"leader_error,omitempty"`
	Replicas    []ReplicaStatus `json:"replicas"`
	// Unreachable names the replicas, daemons and upstreams that can't be reached.
	Unreachable []string `json:"cut_off"`
	Warnings    []string `json:"warnings"`
}

// LocalStatus holds the settings revision and the version of the routing table in force on one daemon.
type LocalStatus struct {
	Host         string `json:"host"`
	Revision     uint64 `json:"revision"`
	TableVersion uint64 `json:"version"`
}

// Decisions holds the decisions of several daemons, newest first.
type Decisions struct {
	Decisions []audit.Decision `json:"decisions"`
	// Asked is the number of daemons queried; Unanswered names those that did not respond, Skipped counts those not queried.
	Asked      int      `json:"asked"`
	Unanswered []string `json:"silent"`
	Skipped    int      `json:"skipped"`
}

// Explanation is the response to the explain query.
type Explanation struct {
	// Range is the range of the key with its owner; nil unless the query names a key.
	Range *model.Assignment `json:"range,omitempty"`
	// Hash is the position of the key in the hash space.
	Hash uint64 `json:"hash,omitempty"`
	// Upstream is the upstream that the query names, if it is registered.
	Upstream *model.Upstream `json:"upstream,omitempty"`
	// TableVersion is the version of the routing table that Range and Upstream were read from.
	TableVersion uint64 `json:"version"`
	Decisions
}

// maxDecisions limits the number of decisions in an Explanation.
const maxDecisions = 20

func (s *Server) local(*http.Request) (LocalStatus, error) {
	t, _ := s.cfg.View.Table()
	return LocalStatus{Host: s.cfg.Host, Revision: t.Revision, TableVersion: t.Version}, nil
}

func (s *Server) status(r *http.Request) (Status, error) {
	local, _ := s.local(r)
	out := Status{Host: s.cfg.Host, Local: local, Unreachable: []string{}, Warnings: []string{}}
	out.Replicas = s.cfg.Replicas(r.Context())
	f, err := s.cfg.Fleet(r.Context())
	if err != nil {
		out.LeaderError = peer.AsError(err).Error()
	} else {
		out.Fleet = &f
	}
	out.diagnose()
	return out, nil
}

// diagnose fills Unreachable and Warnings from the statuses of the replicas and of the fleet.
func (s *Status) diagnose() {
	voters, reachable := len(s.Replicas), 0
	for _, r := range s.Replicas {
		if r.Error == "" {
			reachable++
		} else if !s.isRemoved(r.Host) {
			s.Unreachable = append(s.Unreachable, "replica "+r.Host)
		}
	}
	if s.Fleet != nil {
		voters, reachable = s.Fleet.countVoters()
	}
	majority := voters/2 + 1
	switch {
	case reachable < majority:
		s.Warnings = append(s.Warnings, "no majority of the replicas can be reached from "+s.Host+": no change is accepted")
	case reachable == majority && voters > 1:
		s.Warnings = append(s.Warnings, "the loss of one more replica stops all changes")
	}
	if s.Fleet == nil {
		s.Warnings = append(s.Warnings, "no leader answered: the fleet is not shown")
		return
	}
	s.Warnings = append(s.Warnings, s.Fleet.learnerWarnings()...)
	for _, d := range s.Fleet.Daemons {
		if !d.Leased {
			s.Unreachable = append(s.Unreachable, "daemon "+d.Host)
		}
	}
	for _, u := range s.Fleet.Upstreams {
		if !u.Live {
			s.Unreachable = append(s.Unreachable, "upstream "+u.Name)
		}
	}
	for _, v := range s.Fleet.Services {
		if v.Upstreams == 0 {
			s.Warnings = append(s.Warnings, "service "+v.Name+" has no upstream that accepts work")
		}
	}
}

func (s *Status) isRemoved(host string) bool {
	return s.Fleet != nil && slices.ContainsFunc(s.Fleet.Members, func(m MemberStatus) bool {
		return m.Host == host && m.Removed && m.Role == model.RoleNone
	})
}

func (f *Fleet) learnerWarnings() []string {
	var out []string
	for _, m := range f.Members {
		if m.Role == model.RoleLearner {
			out = append(out, fmt.Sprintf("the replica of %s is a learner, %d entries behind", m.Host, m.Behind))
		}
	}
	return out
}

// countVoters returns the number of voters and how many of them the leader reaches.
func (f *Fleet) countVoters() (all, live int) {
	for _, m := range f.Members {
		if m.Role != model.RoleVoter {
			continue
		}
		all++
		if m.Live {
			live++
		}
	}
	return all, live
}

func (s *Server) explain(r *http.Request) (Explanation, error) {
	q, err := parseExplain(r)
	if err != nil {
		return Explanation{}, err
	}
	t, _ := s.cfg.View.Table()
	out := Explanation{TableVersion: t.Version}
	if q.Key != "" {
		if service, ok := t.Services[q.Service]; !ok || !service.Keyed {
			return out, proto.NotRun(proto.CodeNotFound, http.StatusNotFound, "keyed service %q is not known", q.Service)
		}
		assignment := t.Owner(q.Service, q.Key).Assignment
		out.Range, out.Hash, q.Range = &assignment, model.HashKey(q.Service, q.Key), assignment.ID
	}
	if u, ok := t.Upstreams[q.Upstream]; ok {
		out.Upstream = &u
	}
	out.Decisions = s.cfg.Decisions(r.Context(), q)
	if out.Range == nil && out.Upstream == nil && len(out.Decisions.Decisions) == 0 {
		return out, proto.NotRun(proto.CodeNotFound, http.StatusNotFound,
			"none of the %d daemons that were asked remembers %q", out.Asked, q.RequestID+q.Upstream)
	}
	return out, nil
}

// parseExplain parses a query that must have exactly one of request, upstream, or service with key.
func parseExplain(r *http.Request) (audit.Query, *proto.Error) {
	params := r.URL.Query()
	q := audit.Query{
		RequestID: params.Get("request"), Upstream: params.Get("upstream"),
		Service: params.Get("service"), Key: params.Get("key"), Limit: maxDecisions,
	}
	given := 0
	for _, x := range []string{q.RequestID, q.Upstream, q.Key} {
		if x != "" {
			given++
		}
	}
	if given != 1 || (q.Key == "") != (q.Service == "") {
		return q, proto.NotRun(proto.CodeBadRequest, http.StatusBadRequest,
			"expected one of request, upstream, or service with key")
	}
	return q, nil
}
