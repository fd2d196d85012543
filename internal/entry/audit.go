package entry

import (
	"time"

	"baobabreach/internal/audit"
	"baobabreach/pkg/proto"
)

// record keeps the outcome of a request for explain. The owner of the key is named even if the request never got
// there, because that is what an operator asks for next.
func (s *Server) record(q *Request, a *Response, err *proto.Error) {
	if s.cfg.Audit == nil {
		return
	}
	d := audit.Decision{Kind: audit.KindRouted, Service: q.Service.Name, Key: q.Key, RequestID: q.ID}
	if q.Service.Keyed && q.Key != "" {
		table, _ := s.cfg.View.Table()
		t := table.Owner(q.Service.Name, q.Key)
		d.Upstream, d.Range, d.Epoch = t.Assignment.Owner, t.Assignment.ID, t.Assignment.Epoch
	}
	if err != nil {
		d.Kind, d.Code, d.Outcome, d.Reason = audit.KindRefused, err.Code, err.Outcome, err.Message
		if err.Code == proto.CodeQuarantined {
			d.Kind = audit.KindQuarantined
		}
	} else {
		d.Upstream, d.Outcome = a.Upstream, a.Outcome
	}
	s.cfg.Audit.Record(time.Now(), d)
}
