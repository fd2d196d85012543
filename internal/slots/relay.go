package slots

import (
	"bytes"
	"context"
	"encoding/binary"
	"encoding/json"
	"io"
	"net/http"
	"net/http/httptrace"
	"sync/atomic"
	"time"

	"baobabreach/internal/admit"
	"baobabreach/internal/entry"
	"baobabreach/internal/model"
	"baobabreach/internal/peer"
	"baobabreach/internal/route"
	"baobabreach/pkg/proto"

	"github.com/go-faster/errors"
)

// A relayed message is a frame: the length of the JSON head in 4 bytes, the head, and the body. The headers of the
// caller travel in the head, so that they can't collide with those of the message itself.
const (
	frameLengthBytes = 4
	maxFrameHead     = 2 << 20
	maxRelayBody     = 64 << 20
)

// relayHead describes a relayed request.
type relayHead struct {
	Pool      poolID `json:"pool"`
	Holder    string `json:"holder"`
	MaxWaitUs int64  `json:"max_wait_us"`
	// SlotLeftUs is the time left to get a slot, LeftUs the time left for the whole request.
	SlotLeftUs int64         `json:"slot_left_us"`
	LeftUs     int64         `json:"left_us"`
	NoWait     bool          `json:"no_wait"`
	Request    entry.Request `json:"request"`
	// Range and Epoch are the assignment that the entry host routed by; zero for a service that is not keyed.
	Range uint64 `json:"range"`
	Epoch uint64 `json:"epoch"`
}

// relayReply describes the answer of an upstream to a relayed request.
type relayReply struct {
	Answer entry.Response `json:"answer"`
}

// Relay implements entry.Config.Relay.
func (s *Slots) Relay(ctx context.Context, t entry.SlotRequest, to route.Target) (*entry.Response, *proto.Error) {
	var answer *entry.Response
	err := s.eachPool(ctx, t, func(id poolID, a admit.Request) *proto.Error {
		for _, d := range s.dispatchers(id) {
			if d.Host == s.host {
				break
			}
			var err *proto.Error
			var reached bool
			if answer, err, reached = s.relayTo(ctx, d.Control, id, a, t, to); reached {
				return err
			}
		}
		var err *proto.Error
		answer, err = s.forwardHere(ctx, id, a, t, to, s.leased(t.Request.Service))
		return err
	})
	return answer, err
}

func (s *Slots) leased(v model.Service) func() bool {
	if !v.Keyed {
		return nil
	}
	return func() bool { return s.view.Leased(s.clock()) }
}

// forwardHere takes the slot from this host's own queue and forwards the request.
func (s *Slots) forwardHere(
	ctx context.Context, id poolID, a admit.Request, t entry.SlotRequest, to route.Target, mayForward func() bool,
) (*entry.Response, *proto.Error) {
	acquire := func(ctx context.Context, t entry.SlotRequest) (model.Upstream, func(admit.Result), *proto.Error) {
		a := a
		if t.NoWait {
			a.ID, a.MaxWait = s.newID(), time.Nanosecond
		}
		u, err := s.local.acquire(ctx, id, a)
		if err != nil {
			return u, nil, err
		}
		release := s.releaser("", id, a, u)
		if t.Request.Service.Keyed && u != to.Upstream {
			release(admit.Result{Kind: admit.KindNeutral})
			return u, nil, staleRoute()
		}
		return u, release, nil
	}
	return s.server.Forward(ctx, acquire, t, to, mayForward)
}

func staleRoute() *proto.Error {
	return proto.NotRun(proto.CodeStaleGrant, http.StatusServiceUnavailable, "the key has moved to another owner")
}

// relayTo sends the request to a dispatcher. It returns false if certainly nothing reached it.
func (s *Slots) relayTo(
	ctx context.Context, address string, id poolID, a admit.Request, t entry.SlotRequest, to route.Target,
) (*entry.Response, *proto.Error, bool) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	s.mu.Lock()
	s.holdings[a.ID] = holding{kept: kept{Pool: id}, address: address, cancel: cancel}
	s.mu.Unlock()
	defer func() {
		s.mu.Lock()
		delete(s.holdings, a.ID)
		s.mu.Unlock()
	}()
	head := relayHead{
		Pool: id, Holder: s.host, MaxWaitUs: (a.MaxWait + time.Microsecond - 1).Microseconds(), NoWait: t.NoWait,
		SlotLeftUs: (a.Deadline - s.clock()).Microseconds(), Request: *t.Request,
		Range: to.Assignment.ID, Epoch: to.Assignment.Epoch,
	}
	head.LeftUs = forever.Microseconds()
	if d, ok := ctx.Deadline(); ok {
		head.LeftUs = time.Until(d).Microseconds()
	}
	head.Request.Body = nil
	status, reply, wrote, err := s.post(ctx, address, head, t.Request.Body)
	switch {
	case err != nil && !wrote && ctx.Err() == nil:
		s.suspect(address)
		return nil, nil, false
	case err != nil && !wrote:
		return nil, proto.NotRun(proto.CodeDeadline, http.StatusServiceUnavailable, "no slot was free before the deadline"), true
	case err != nil:
		return nil, proto.Unknown(proto.CodeUpstreamFailed, "dispatcher %s failed: %v", address, err), true
	case status != http.StatusOK:
		return nil, relayError(address, status, reply), true
	}
	var r relayReply
	body, err := splitFrame(reply, &r)
	if err != nil {
		return nil, proto.Unknown(proto.CodeTruncatedAnswer, "the answer of dispatcher %s: %v", address, err), true
	}
	if r.Answer.RequestID != t.Request.ID {
		return nil, proto.Unknown(proto.CodeCrossedAnswer, "dispatcher %s answered request %q", address, r.Answer.RequestID), true
	}
	r.Answer.Body = body
	return &r.Answer, nil, true
}

// relayError keeps the typed error of a dispatcher. Without one nothing is known of the request.
func relayError(address string, status int, body []byte) *proto.Error {
	var e proto.Error
	if err := json.Unmarshal(body, &e); err != nil || e.Outcome == "" {
		return proto.Unknown(proto.CodeUpstreamFailed, "dispatcher %s answered status %d", address, status)
	}
	return &e
}

// post sends one frame. wrote tells whether a byte of it may have reached the other side.
func (s *Slots) post(ctx context.Context, address string, head relayHead, body []byte) (int, []byte, bool, error) {
	var wrote atomic.Bool
	trace := &httptrace.ClientTrace{WroteHeaderField: func(string, []string) { wrote.Store(true) }}
	frame, err := makeFrame(head, body)
	if err != nil {
		return 0, nil, false, err
	}
	req, err := http.NewRequestWithContext(
		httptrace.WithClientTrace(ctx, trace), http.MethodPost, "http://"+address+pathRelay, bytes.NewReader(frame))
	if err != nil {
		return 0, nil, false, errors.Wrap(err, "make request")
	}
	// Without GetBody the transport never sends the frame a second time by itself.
	req.GetBody = nil
	if s.token != "" {
		req.Header.Set("Authorization", "Bearer "+s.token)
	}
	resp, err := s.client.Do(req)
	if err != nil {
		return 0, nil, wrote.Load(), errors.Wrap(err, "send frame")
	}
	defer func() { _ = resp.Body.Close() }()
	reply, err := io.ReadAll(io.LimitReader(resp.Body, s.maxAnswer+maxFrameHead))
	if err != nil {
		return 0, nil, true, errors.Wrap(err, "read answer")
	}
	return resp.StatusCode, reply, true, nil
}

func makeFrame(head any, body []byte) ([]byte, error) {
	h, err := json.Marshal(head)
	if err != nil {
		return nil, errors.Wrap(err, "encode frame")
	}
	out := make([]byte, frameLengthBytes, frameLengthBytes+len(h)+len(body))
	binary.BigEndian.PutUint32(out, uint32(len(h)))
	return append(append(out, h...), body...), nil
}

// splitFrame decodes the head and returns the body.
func splitFrame(b []byte, head any) ([]byte, error) {
	if len(b) < frameLengthBytes {
		return nil, errors.New("frame is too short")
	}
	n := binary.BigEndian.Uint32(b)
	if n > maxFrameHead || int(n) > len(b)-frameLengthBytes {
		return nil, errors.Errorf("frame head of %d bytes is too long", n)
	}
	rest := b[frameLengthBytes:]
	if err := json.Unmarshal(rest[:n], head); err != nil {
		return nil, errors.Wrap(err, "decode frame head")
	}
	return rest[n:], nil
}

// serveRelay forwards a request of another entry host.
func (s *Slots) serveRelay(w http.ResponseWriter, r *http.Request) {
	b, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxRelayBody+maxFrameHead))
	if err != nil {
		peer.WriteError(w, proto.NotRun(proto.CodeBadRequest, http.StatusBadRequest, "frame can't be read: %v", err))
		return
	}
	var head relayHead
	body, err := splitFrame(b, &head)
	if err != nil {
		peer.WriteError(w, proto.NotRun(proto.CodeBadRequest, http.StatusBadRequest, "%v", err))
		return
	}
	head.Request.Body = body
	ctx, cancel := context.WithTimeout(r.Context(), time.Duration(head.LeftUs)*time.Microsecond)
	defer cancel()
	answer, perr := s.forwardRelayed(ctx, head)
	if perr != nil {
		peer.WriteError(w, perr.WithRequestID(head.Request.ID))
		return
	}
	out := *answer
	out.Body, out.RequestID = nil, head.Request.ID
	frame, err := makeFrame(relayReply{Answer: out}, answer.Body)
	if err != nil {
		peer.WriteError(w, proto.Unknown(proto.CodeInternal, "encode answer: %v", err))
		return
	}
	_, _ = w.Write(frame)
}

// forwardRelayed checks the route by this host's own table and lease, as the entry host's may be older.
func (s *Slots) forwardRelayed(ctx context.Context, h relayHead) (*entry.Response, *proto.Error) {
	now := s.clock()
	a := admit.Request{
		ID: s.newID(), Holder: s.host, Class: h.Request.Class, MaxWait: time.Duration(h.MaxWaitUs) * time.Microsecond,
		Deadline: now + time.Duration(h.SlotLeftUs)*time.Microsecond,
	}
	t := entry.SlotRequest{Request: &h.Request, NoWait: h.NoWait}
	if !h.Request.Service.Keyed {
		return s.forwardHere(ctx, h.Pool, a, t, route.Target{}, nil)
	}
	table, _ := s.view.Table()
	to := table.Owner(h.Request.Service.Name, h.Request.Key)
	if to.Moving || to.Assignment.ID != h.Range || to.Assignment.Epoch != h.Epoch || to.Upstream.Name != h.Pool.Upstream {
		return nil, staleRoute()
	}
	done, ok := s.view.BeginRequest(table.Version)
	if !ok {
		return nil, staleRoute()
	}
	defer done()
	return s.forwardHere(ctx, h.Pool, a, t, to, s.leased(h.Request.Service))
}
