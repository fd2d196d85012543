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

// Status is the answer to the status query.
type Status struct {
	// Host is the daemon that answered; Local is what is in force there.
	Host  string      `json:"host"`
	Local LocalStatus `json:"local"`
	// Fleet is the leader's view; nil if no leader answered, for the reason in LeaderError.
	Fleet       *Fleet          `json:"fleet,omitempty"`
	LeaderError string          `json:"leader_error,omitempty"`
	Replicas    []ReplicaStatus `json:"replicas"`
	// CutOff names the replicas, daemons and upstreams that can't be reached.
	CutOff   []string `json:"cut_off"`
	Warnings []string `json:"warnings"`
}

// LocalStatus is what is in force on one daemon.
type LocalStatus struct {
	Host     string `json:"host"`
	Revision uint64 `json:"revision"`
	Version  uint64 `json:"version"`
}

// Decisions holds the decisions of several daemons, newest first.
type Decisions struct {
	Decisions []audit.Decision `json:"decisions"`
	// Asked is the number of daemons asked; Silent names those that did not answer, Skipped counts those not asked.
	Asked      int      `json:"asked"`
	Unanswered []string `json:"silent"`
	Skipped    int      `json:"skipped"`
}

// Explanation is the answer to the explain query.
type Explanation struct {
	// Range is the range of the key with its owner; nil unless a key was asked for.
	Range *model.Assignment `json:"range,omitempty"`
	// Hash is the position of the key in the hash space.
	Hash uint64 `json:"hash,omitempty"`
	// Upstream is the upstream asked for, if it is registered.
	Upstream *model.Upstream `json:"upstream,omitempty"`
	Version  uint64          `json:"version"`
	Decisions
}

// maxDecisions is the number of decisions in an answer.
const maxDecisions = 20

func (s *Server) local(*http.Request) (LocalStatus, error) {
	t, _ := s.cfg.View.Table()
	return LocalStatus{Host: s.cfg.Host, Revision: t.Revision, Version: t.Version}, nil
}

func (s *Server) status(r *http.Request) (Status, error) {
	local, _ := s.local(r)
	out := Status{Host: s.cfg.Host, Local: local, CutOff: []string{}, Warnings: []string{}}
	out.Replicas = s.cfg.Replicas(r.Context())
	f, err := s.cfg.Fleet(r.Context())
	if err != nil {
		out.LeaderError = peer.AsError(err).Error()
	} else {
		out.Fleet = &f
	}
	out.judge()
	return out, nil
}

// judge fills in what is cut off and what an operator should know.
func (s *Status) judge() {
	voters, reachable := len(s.Replicas), 0
	for _, r := range s.Replicas {
		if r.Error == "" {
			reachable++
		} else if !s.isRemoved(r.Host) {
			s.CutOff = append(s.CutOff, "replica "+r.Host)
		}
	}
	if s.Fleet != nil {
		voters, reachable = s.Fleet.voters()
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
	s.Warnings = append(s.Warnings, s.Fleet.learners()...)
	for _, d := range s.Fleet.Daemons {
		if !d.Leased {
			s.CutOff = append(s.CutOff, "daemon "+d.Host)
		}
	}
	for _, u := range s.Fleet.Upstreams {
		if !u.Live {
			s.CutOff = append(s.CutOff, "upstream "+u.Name)
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

func (f *Fleet) learners() []string {
	var out []string
	for _, m := range f.Members {
		if m.Role == model.RoleLearner {
			out = append(out, fmt.Sprintf("the replica of %s is a learner, %d entries behind", m.Host, m.Behind))
		}
	}
	return out
}

// voters counts the voters and those that the leader reaches.
func (f *Fleet) voters() (all, live int) {
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
	out := Explanation{Version: t.Version}
	if q.Key != "" {
		if x, ok := t.Services[q.Service]; !ok || !x.Keyed {
			return out, proto.NotRun(proto.CodeNotFound, http.StatusNotFound, "keyed service %q is not known", q.Service)
		}
		a := t.Owner(q.Service, q.Key).Assignment
		out.Range, out.Hash, q.Range = &a, model.HashKey(q.Service, q.Key), a.ID
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

// parseExplain accepts exactly one of request, upstream, or service with key.
func parseExplain(r *http.Request) (audit.Query, *proto.Error) {
	v := r.URL.Query()
	q := audit.Query{
		RequestID: v.Get("request"), Upstream: v.Get("upstream"), Service: v.Get("service"), Key: v.Get("key"),
		Limit: maxDecisions,
	}
	n := 0
	for _, x := range []string{q.RequestID, q.Upstream, q.Key} {
		if x != "" {
			n++
		}
	}
	if n != 1 || (q.Key == "") != (q.Service == "") {
		return q, proto.NotRun(proto.CodeBadRequest, http.StatusBadRequest,
			"expected one of request, upstream, or service with key")
	}
	return q, nil
}
