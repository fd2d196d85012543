package cmds

import (
	"fmt"
	"io"
	"net/http"
	"net/url"
	"strings"
	"time"

	"baobabreach/internal/opapi"
)

type statusCmd struct {
	target
}

// Help implements kong.HelpProvider.
func (statusCmd) Help() string {
	return `Examples:
  baobabreach status --operator 10.0.0.1:7102 --token-file op.token
  baobabreach status --json`
}

func (c statusCmd) Run(out io.Writer) error {
	s, err := callDaemon[opapi.Status](c.target, http.MethodGet, opapi.PathStatus, nil)
	if err != nil {
		return printRefusal(out, c.JSON, err)
	}
	return printResult(out, c.JSON, s, func(w io.Writer) { printStatus(w, s) })
}

func printStatus(w io.Writer, s opapi.Status) {
	writeRow(w, "answered by", s.Host)
	writeRow(w, "revision", s.Local.Revision)
	writeRow(w, "table version", s.Local.TableVersion)
	for _, warning := range s.Warnings {
		writeRow(w, "warning", warning)
	}
	writeRow(w, "cut off", joinOrNone(s.Unreachable))
	writeRow(w, "\nREPLICA", "ROLE", "TERM", "LEADER", "COMMIT", "LAG", "ERROR")
	for _, r := range s.Replicas {
		writeRow(w, r.Host, r.Role, r.Term, r.Leader, r.Commit, r.Lag, r.Error)
	}
	if s.Fleet == nil {
		writeRow(w, "\nleader", s.LeaderError)
		return
	}
	printFleet(w, *s.Fleet)
}

func printFleet(w io.Writer, f opapi.Fleet) {
	writeRow(w, "\nMEMBER", "ID", "ROLE", "LIVE", "SYNCED", "BEHIND", "REMOVED")
	for _, m := range f.Members {
		writeRow(w, m.Host, m.ID, m.Role, m.Live, m.Synced, m.Behind, m.Removed)
	}
	writeRow(w, "\nSERVICE", "KEYED", "CLASS", "UPSTREAMS", "RANGES FREE", "RELEASING", "OWNERS")
	for _, v := range f.Services {
		var owners []string
		for _, o := range v.Owners {
			owners = append(owners, fmt.Sprintf("%s %.0f%%", o.Upstream, 100*o.Share))
		}
		writeRow(w, v.Name, v.Keyed, v.Class, v.Upstreams, v.Free, v.Releasing, joinOrNone(owners))
	}
	writeRow(w, "\nUPSTREAM", "SERVICE", "DATA CENTRE", "LIVE", "DRAINED", "DC STOPPED", "DRAINING", "RANGES")
	for _, u := range f.Upstreams {
		writeRow(w, u.Name, u.Service, u.DataCentre, u.Live, u.Drained, u.DCStopped, u.Draining, u.Ranges)
	}
	writeRow(w, "\nMOVE OF RANGE", "SERVICE", "FROM", "PHASE", "EPOCH")
	for _, m := range f.Moves {
		writeRow(w, m.ID, m.Service, m.Owner, m.Phase, m.Epoch)
	}
	if f.MovesOmitted > 0 {
		writeRow(w, fmt.Sprintf("and %d more", f.MovesOmitted))
	}
	writeRow(w, "\nLIMIT OF TENANT", "CLASS", "PER SECOND")
	for _, l := range f.Limits {
		writeRow(w, l.Tenant, l.Class, l.PerSecond)
	}
	writeRow(w, "\nDAEMON", "DATA CENTRE", "LEASED", "REVISION", "TABLE VERSION", "BEHIND")
	for _, d := range f.Daemons {
		writeRow(w, d.Host, d.DataCentre, d.Leased, d.Revision, d.TableVersion, f.TableVersion-min(f.TableVersion, d.TableVersion))
	}
}

func joinOrNone(xs []string) string {
	if len(xs) == 0 {
		return "none"
	}
	return strings.Join(xs, ", ")
}

type explainCmd struct {
	Key      explainKeyCmd      `cmd:"" help:"Range, owner, epoch, phase and latest decisions of a key."`
	Request  explainRequestCmd  `cmd:"" help:"What became of a request."`
	Upstream explainUpstreamCmd `cmd:"" help:"Latest decisions about an upstream."`
}

// Help implements kong.HelpProvider.
func (explainCmd) Help() string {
	return `Examples:
  baobabreach explain key catalogue silk-042
  baobabreach explain request 0193a1c2-6c00-7abc-8def-0123456789ab
  baobabreach explain upstream catalogue-3 --json`
}

type explainKeyCmd struct {
	target
	Service string `arg:"" help:"Keyed service."`
	Key     string `arg:"" help:"Key."`
}

func (c explainKeyCmd) Run(out io.Writer) error {
	return c.explain(out, url.Values{"service": {c.Service}, "key": {c.Key}})
}

type explainRequestCmd struct {
	target
	ID string `arg:"" help:"Request id."`
}

func (c explainRequestCmd) Run(out io.Writer) error {
	return c.explain(out, url.Values{"request": {c.ID}})
}

type explainUpstreamCmd struct {
	target
	Name string `arg:"" help:"Upstream."`
}

func (c explainUpstreamCmd) Run(out io.Writer) error {
	return c.explain(out, url.Values{"upstream": {c.Name}})
}

func (t target) explain(out io.Writer, q url.Values) error {
	e, err := callDaemon[opapi.Explanation](t, http.MethodGet, opapi.PathExplain+"?"+q.Encode(), nil)
	if err != nil {
		return printRefusal(out, t.JSON, err)
	}
	return printResult(out, t.JSON, e, func(w io.Writer) { printExplanation(w, e) })
}

func printExplanation(w io.Writer, e opapi.Explanation) {
	if r := e.Range; r != nil {
		writeRow(w, "hash", fmt.Sprintf("%016x", e.Hash))
		writeRow(w, "range", fmt.Sprintf("%d, %016x to %016x", r.ID, r.First, r.Last))
		writeRow(w, "owner", r.Owner)
		writeRow(w, "epoch", r.Epoch)
		writeRow(w, "phase", r.Phase)
	}
	if u := e.Upstream; u != nil {
		writeRow(w, "upstream", u.Name+" of "+u.Service+" in "+u.DataCentre+" at "+u.Address)
	}
	writeRow(w, "table version", e.TableVersion)
	writeRow(w, "daemons asked", e.Asked)
	if len(e.Unanswered) > 0 || e.Skipped > 0 {
		writeRow(w, "incomplete", fmt.Sprintf("no answer from %s; %d daemons not asked", joinOrNone(e.Unanswered), e.Skipped))
	}
	writeRow(w, "\nTIME", "HOST", "DECISION", "SERVICE", "KEY", "UPSTREAM", "RANGE", "EPOCH", "CODE", "OUTCOME", "REASON")
	for _, d := range e.Decisions.Decisions {
		at := time.UnixMilli(d.AtMs).UTC().Format("15:04:05.000")
		writeRow(w, at, d.Host, d.Kind, d.Service, d.Key, d.Upstream, d.Range, d.Epoch, d.Code, d.Outcome, d.Reason)
	}
}
