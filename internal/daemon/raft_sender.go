package daemon

import (
	"context"
	"net/http"
	"sync"
	"time"

	"baobabreach/internal/peer"
	"baobabreach/internal/raft"
)

const (
	sendQueueLength = 256
	sendTimeout     = time.Second
)

// raftSender delivers raft messages in order, one worker per replica, so that a slow replica delays no other.
//
// On a platform replicas reach each other at an address of their own: hundreds of hosts that connect at the same moment
// after a loss of power would otherwise fill the queue of new connections and keep the replicas from electing a leader.
type raftSender struct {
	client *http.Client
	token  string
	ctx    context.Context
	// raftAddress maps the control raftAddress of a replica to the one for raft messages.
	raftAddress func(control string) string

	mu     sync.Mutex
	queues map[string]chan []raft.Message
}

func newRaftSender(ctx context.Context, client *http.Client, token string, raftAddress func(string) string) *raftSender {
	return &raftSender{
		client: client, token: token, ctx: ctx, raftAddress: raftAddress, queues: map[string]chan []raft.Message{},
	}
}

// send queues messages. Messages that find the queue full are lost, as on a network.
func (s *raftSender) send(to raft.Member, ms []raft.Message) {
	s.mu.Lock()
	q, ok := s.queues[to.Address]
	if !ok {
		q = make(chan []raft.Message, sendQueueLength)
		s.queues[to.Address] = q
		go s.deliver(to.Address, q)
	}
	s.mu.Unlock()
	select {
	case q <- ms:
	default:
	}
}

func (s *raftSender) deliver(address string, q chan []raft.Message) {
	url := "http://" + s.raftAddress(address) + peer.PathRaft
	for {
		select {
		case <-s.ctx.Done():
			return
		case ms := <-q:
			ctx, cancel := context.WithTimeout(s.ctx, sendTimeout)
			_, _ = peer.Call[[]raft.Message, struct{}](ctx, s.client, url, s.token, ms)
			cancel()
		}
	}
}
