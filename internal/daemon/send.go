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

// sender delivers raft messages in order, one worker per replica, so that a slow replica delays no other.
//
// On a platform replicas reach each other at an address of their own: hundreds of hosts that connect at the same moment
// after a loss of power would otherwise fill the queue of new connections and keep the replicas from electing a leader.
type sender struct {
	client *http.Client
	token  string
	ctx    context.Context
	// address maps the control address of a replica to the one for raft messages.
	address func(control string) string

	mu     sync.Mutex
	queues map[string]chan []raft.Message
}

func newSender(ctx context.Context, client *http.Client, token string, address func(string) string) *sender {
	return &sender{client: client, token: token, ctx: ctx, address: address, queues: map[string]chan []raft.Message{}}
}

// send queues messages. Messages that find the queue full are lost, as on a network.
func (s *sender) send(to raft.Member, ms []raft.Message) {
	s.mu.Lock()
	q, ok := s.queues[to.Address]
	if !ok {
		q = make(chan []raft.Message, sendQueueLength)
		s.queues[to.Address] = q
		go s.work(to.Address, q)
	}
	s.mu.Unlock()
	select {
	case q <- ms:
	default:
	}
}

func (s *sender) work(address string, q chan []raft.Message) {
	url := "http://" + s.address(address) + peer.PathRaft
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
