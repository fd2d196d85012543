package slots

import (
	"bytes"
	"context"
	"encoding/binary"
	"encoding/json"
	"io"
	"net/http"
	"net/http/httptrace"
	"strconv"
	"sync/atomic"
	"time"

	"baobabreach/internal/admit"
	"baobabreach/internal/entry"
	"baobabreach/internal/model"
	"baobabreach/internal/peer"
	"baobabreach/internal/room"
	"baobabreach/internal/route"
	"baobabreach/internal/strict"
	"baobabreach/pkg/proto"

	"github.com/go-faster/errors"
)

// A relayed message is a frame: the length of the JSON head in 4 bytes (big endian), the head, and the body. The head
// includes the headers of the caller's request, so that they can't collide with those of the message itself.
const (
	frameLengthBytes  = 4
	maxFrameHeadBytes = 2 << 20
	maxRelayBodyBytes = 64 << 20
	// minReplyBytes is the room that every response to a relayed request takes before the request is sent.
	minReplyBytes = 8 << 10
)

// relayHead describes a relayed request.
type relayHead struct {
	Pool      poolID `json:"pool"`
	Holder    string `json:"holder"`
	MaxWaitUs int64  `json:"max_wait_us"`
	// SlotLeftUs is the time left to acquire a slot, LeftUs the time left for the whole request.
	SlotLeftUs int64         `json:"slot_left_us"`
	LeftUs     int64         `json:"left_us"`
	NoWait     bool          `json:"no_wait"`
	Request    entry.Request `json:"request"`
	// Range and Epoch identify the assignment that the entry host used for routing; zero if the service is not keyed.
	Range uint64 `json:"range"`
	Epoch uint64 `json:"epoch"`
}

// relayReply is the head of the response to a relayed request.
type relayReply struct {
	Answer entry.Response `json:"answer"`
}

// Relay implements entry.Config.Relay: it sends the whole request to the first dispatcher of the pool that can be reached,
// or forwards the request itself if that is this host or no dispatcher can be reached.
func (s *Slots) Relay(ctx context.Context, slotReq entry.SlotRequest, target route.Target) (*entry.Response, *proto.Error) {
	var resp *entry.Response
	err := s.tryPools(ctx, slotReq, func(id poolID, req admit.Request) *proto.Error {
		for _, d := range s.dispatchers(id) {
			if d.Host == s.host {
				break
			}
			var err *proto.Error
			var reached bool
			if resp, err, reached = s.relayTo(ctx, d.Control, id, req, slotReq, target); reached {
				return err
			}
		}
		var err *proto.Error
		resp, err = s.forwardLocal(ctx, id, req, slotReq, target, s.leaseCheck(slotReq.Request.Service))
		return err
	})
	return resp, err
}

func (s *Slots) leaseCheck(service model.Service) func() bool {
	if !service.Keyed {
		return nil
	}
	return func() bool { return s.view.Leased(s.clock()) }
}

// forwardLocal acquires a slot from the queue of this host and forwards the request.
func (s *Slots) forwardLocal(
	ctx context.Context, id poolID, req admit.Request, slotReq entry.SlotRequest, target route.Target, mayForward func() bool,
) (*entry.Response, *proto.Error) {
	acquire := func(ctx context.Context, slotReq entry.SlotRequest) (model.Upstream, func(admit.Result), *proto.Error) {
		req := req
		if slotReq.NoWait {
			req.ID, req.MaxWait = s.newID(), time.Nanosecond
		}
		u, err := s.local.acquire(ctx, id, req)
		if err != nil {
			return u, nil, err
		}
		release := s.trackCredit("", id, req, u)
		if slotReq.Request.Service.Keyed && u != target.Upstream {
			release(admit.Result{Kind: admit.KindNeutral})
			return u, nil, staleRouteError()
		}
		return u, release, nil
	}
	return s.server.Forward(ctx, acquire, slotReq, target, mayForward)
}

func staleRouteError() *proto.Error {
	return proto.NotRun(proto.CodeStaleGrant, http.StatusServiceUnavailable, "the key has moved to another owner")
}

// relayTo sends the request to a dispatcher. It returns false only if certainly nothing of it was sent.
func (s *Slots) relayTo(
	ctx context.Context, address string, id poolID, req admit.Request, slotReq entry.SlotRequest, target route.Target,
) (*entry.Response, *proto.Error, bool) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	s.mu.Lock()
	s.active[req.ID] = activeRequest{pooledCredit: pooledCredit{Pool: id}, address: address, cancel: cancel}
	s.mu.Unlock()
	defer func() {
		s.mu.Lock()
		delete(s.active, req.ID)
		s.mu.Unlock()
	}()
	head := relayHead{
		Pool: id, Holder: s.host, MaxWaitUs: (req.MaxWait + time.Microsecond - 1).Microseconds(), NoWait: slotReq.NoWait,
		SlotLeftUs: (req.Deadline - s.clock()).Microseconds(), Request: *slotReq.Request,
		Range: target.Assignment.ID, Epoch: target.Assignment.Epoch,
	}
	head.LeftUs = noTimeout.Microseconds()
	if d, ok := ctx.Deadline(); ok {
		head.LeftUs = time.Until(d).Microseconds()
	}
	head.Request.Body = nil
	status, reply, wrote, err := s.sendFrame(ctx, address, head, slotReq.Request.Body)
	switch {
	case errors.Is(err, room.ErrFull) && !wrote:
		return nil, proto.NotRun(proto.CodeOverloaded, http.StatusServiceUnavailable, "%v", err), true
	case err != nil && !wrote && ctx.Err() == nil:
		s.markSuspect(address)
		return nil, nil, false
	case err != nil && !wrote:
		return nil, proto.NotRun(proto.CodeDeadline, http.StatusServiceUnavailable, "no slot was free before the deadline"), true
	case err != nil:
		return nil, proto.Unknown(proto.CodeUpstreamFailed, "dispatcher %s failed: %v", address, err), true
	case status != http.StatusOK:
		return nil, relayError(address, status, reply), true
	}
	var r relayReply
	body, err := decodeFrame(reply, &r)
	if err != nil {
		return nil, proto.Unknown(proto.CodeTruncatedAnswer, "the answer of dispatcher %s: %v", address, err), true
	}
	if r.Answer.RequestID != slotReq.Request.ID {
		return nil, proto.Unknown(proto.CodeCrossedAnswer, "dispatcher %s answered request %q", address, r.Answer.RequestID), true
	}
	if err := strict.CheckHead(r.Answer.Status, r.Answer.Header); err != nil {
		return nil, proto.Unknown(proto.CodeInvalidAnswer, "the answer of dispatcher %s is not valid: %v", address, err), true
	}
	r.Answer.Body = body
	return &r.Answer, nil, true
}

// relayError decodes the error of a dispatcher. If that fails, the outcome of the request is unknown.
func relayError(address string, status int, body []byte) *proto.Error {
	e, ok := peer.DecodeError(status, body)
	if !ok || e.Outcome == "" {
		return proto.Unknown(proto.CodeUpstreamFailed, "dispatcher %s answered status %d", address, status)
	}
	return e
}

// sendFrame sends one frame and returns the status and the body of the response. The boolean result is true if a byte of
// the frame may have reached the dispatcher.
func (s *Slots) sendFrame(ctx context.Context, address string, head relayHead, body []byte) (int, []byte, bool, error) {
	var wrote atomic.Bool
	trace := &httptrace.ClientTrace{WroteHeaderField: func(string, []string) { wrote.Store(true) }}
	frameHead, err := encodeFrameHead(head)
	if err != nil {
		return 0, nil, false, err
	}
	sendCtx, cancel := context.WithCancelCause(httptrace.WithClientTrace(ctx, trace))
	defer cancel(nil)
	buffer := s.responses.NewAbortable(address, func() { cancel(room.ErrFull) })
	defer room.Keep(ctx, buffer)
	if err := buffer.Resize(minReplyBytes); err != nil {
		return 0, nil, false, errors.Wrap(err, "take room for the answer")
	}
	req, err := http.NewRequestWithContext(
		sendCtx, http.MethodPost, "http://"+address+pathRelay, io.MultiReader(bytes.NewReader(frameHead), bytes.NewReader(body)))
	if err != nil {
		return 0, nil, false, errors.Wrap(err, "make request")
	}
	req.ContentLength = int64(len(frameHead) + len(body))
	// Without GetBody, the transport can't retry and so never sends the frame twice.
	req.GetBody = nil
	if s.token != "" {
		req.Header.Set("Authorization", "Bearer "+s.token)
	}
	resp, err := s.client.Do(req)
	if err != nil {
		return 0, nil, wrote.Load(), errors.Wrap(err, "send frame")
	}
	defer func() { _ = resp.Body.Close() }()
	reply, err := buffer.Read(resp.Body, resp.ContentLength, s.maxResponseBytes+maxFrameHeadBytes)
	if err == nil {
		err = buffer.Complete()
	}
	if err != nil {
		return 0, nil, true, errors.Wrap(err, "read answer")
	}
	return resp.StatusCode, reply, true, nil
}

// encodeFrameHead returns a frame without its body.
func encodeFrameHead(head any) ([]byte, error) {
	h, err := json.Marshal(head)
	if err != nil {
		return nil, errors.Wrap(err, "encode frame")
	}
	out := make([]byte, frameLengthBytes, frameLengthBytes+len(h))
	binary.BigEndian.PutUint32(out, uint32(len(h)))
	return append(out, h...), nil
}

// decodeFrame decodes the head of a frame into head and returns the body.
func decodeFrame(b []byte, head any) ([]byte, error) {
	if len(b) < frameLengthBytes {
		return nil, errors.New("frame is too short")
	}
	n := binary.BigEndian.Uint32(b)
	if n > maxFrameHeadBytes || int(n) > len(b)-frameLengthBytes {
		return nil, errors.Errorf("frame head of %d bytes is too long", n)
	}
	rest := b[frameLengthBytes:]
	if err := json.Unmarshal(rest[:n], head); err != nil {
		return nil, errors.Wrap(err, "decode frame head")
	}
	return rest[n:], nil
}

// serveRelay forwards a request that another entry host has relayed.
func (s *Slots) serveRelay(w http.ResponseWriter, r *http.Request) {
	ctx, scope := room.NewScope(r.Context())
	defer scope.End()
	buffer := s.requests.NewBuffer(r.RemoteAddr)
	room.Keep(ctx, buffer)
	const maxBytes = maxRelayBodyBytes + maxFrameHeadBytes
	b, err := buffer.ReadRequest(http.MaxBytesReader(w, r.Body, maxBytes), r.ContentLength, maxBytes)
	if errors.Is(err, room.ErrFull) {
		peer.WriteError(w, proto.NotRun(proto.CodeOverloaded, http.StatusServiceUnavailable, "frame can't be read: %v", err))
		return
	}
	if err != nil {
		peer.WriteError(w, proto.NotRun(proto.CodeBadRequest, http.StatusBadRequest, "frame can't be read: %v", err))
		return
	}
	var head relayHead
	body, err := decodeFrame(b, &head)
	if err != nil {
		peer.WriteError(w, proto.NotRun(proto.CodeBadRequest, http.StatusBadRequest, "%v", err))
		return
	}
	head.Request.Body = body
	ctx, cancel := context.WithTimeout(ctx, time.Duration(head.LeftUs)*time.Microsecond)
	defer cancel()
	resp, perr := s.forwardRelayed(ctx, head)
	if perr != nil {
		peer.WriteError(w, perr.WithRequestID(head.Request.ID))
		return
	}
	out := *resp
	out.Body, out.RequestID = nil, head.Request.ID
	frameHead, err := encodeFrameHead(relayReply{Answer: out})
	if err != nil {
		peer.WriteError(w, proto.Unknown(proto.CodeInternal, "encode answer: %v", err))
		return
	}
	w.Header().Set("Content-Length", strconv.Itoa(len(frameHead)+len(resp.Body)))
	_, _ = w.Write(frameHead)
	_, _ = w.Write(resp.Body)
}

// forwardRelayed checks the route against the table and lease of this host, as those of the entry host may be older.
func (s *Slots) forwardRelayed(ctx context.Context, h relayHead) (*entry.Response, *proto.Error) {
	now := s.clock()
	req := admit.Request{
		ID: s.newID(), Holder: s.host, Class: h.Request.Class, MaxWait: time.Duration(h.MaxWaitUs) * time.Microsecond,
		Deadline: now + time.Duration(h.SlotLeftUs)*time.Microsecond,
	}
	slotReq := entry.SlotRequest{Request: &h.Request, NoWait: h.NoWait}
	if !h.Request.Service.Keyed {
		return s.forwardLocal(ctx, h.Pool, req, slotReq, route.Target{}, nil)
	}
	table, _ := s.view.Table()
	target := table.Owner(h.Request.Service.Name, h.Request.Key)
	if target.Moving || target.Assignment.ID != h.Range || target.Assignment.Epoch != h.Epoch ||
		target.Upstream.Name != h.Pool.Upstream {
		return nil, staleRouteError()
	}
	done, ok := s.view.BeginRequest(table.Version)
	if !ok {
		return nil, staleRouteError()
	}
	defer done()
	return s.forwardLocal(ctx, h.Pool, req, slotReq, target, s.leaseCheck(h.Request.Service))
}
