package entry

import (
	"time"

	"baobabreach/internal/audit"
	"baobabreach/pkg/proto"
)

// recordDecision keeps the outcome of a request for explain. The owner of the key is named even if the request never got
// there, because that is what an operator asks for next.
func (s *Server) recordDecision(req *Request, resp *Answer, err *proto.Error) {
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
