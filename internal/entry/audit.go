package entry

import (
	"time"

	"baobabreach/internal/audit"
	"baobabreach/pkg/proto"
)

// recordDecision records the outcome of a request for the explain command. It includes the owner of the key even if the
// request was not sent there, because an operator looks it up next.
func (s *Server) recordDecision(req *Request, resp *Response, err *proto.Error) {
	if s.cfg.Audit == nil {
		return
	}
	d := audit.Decision{Kind: audit.KindRouted, Service: req.Service.Name, Key: req.Key, RequestID: req.ID}
	if req.Service.Keyed && req.Key != "" {
		table, _ := s.cfg.View.Table()
		target := table.Owner(req.Service.Name, req.Key)
		d.Upstream, d.Range, d.Epoch = target.Assignment.Owner, target.Assignment.ID, target.Assignment.Epoch
	}
	if err != nil {
		d.Kind, d.Code, d.Outcome, d.Reason = audit.KindRefused, err.Code, err.Outcome, err.Message
		if err.Code == proto.CodeQuarantined {
			d.Kind = audit.KindQuarantined
		}
	} else {
		d.Upstream, d.Outcome = resp.Upstream, resp.Outcome
	}
	s.cfg.Audit.Record(time.Now(), d)
}
