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

// raftSender delivers raft messages in order. Each replica has its own queue and goroutine, so that a slow replica does
// not delay the others.
//
// On a hosting platform, raft messages use a separate address: after a power loss hundreds of hosts connect to the control
// address together, which would fill its accept queue and keep the replicas from electing a leader.
type raftSender struct {
	client *http.Client
	token  string
	ctx    context.Context
	// raftAddress maps the control address of a replica to the one for raft messages.
	raftAddress func(controlAddress string) string

	mu     sync.Mutex
	queues map[string]chan []raft.Message
}

func newRaftSender(ctx context.Context, client *http.Client, token string, raftAddress func(string) string) *raftSender {
	return &raftSender{
		client: client, token: token, ctx: ctx, raftAddress: raftAddress, queues: map[string]chan []raft.Message{},
	}
}

// send queues messages for a replica. If its queue is full, they are dropped, which raft tolerates as packet loss.
func (s *raftSender) send(to raft.Member, messages []raft.Message) {
	s.mu.Lock()
	q, ok := s.queues[to.Address]
	if !ok {
		q = make(chan []raft.Message, sendQueueLength)
		s.queues[to.Address] = q
		go s.deliver(to.Address, q)
	}
	s.mu.Unlock()
	select {
	case q <- messages:
	default:
	}
}

func (s *raftSender) deliver(address string, q chan []raft.Message) {
	url := "http://" + s.raftAddress(address) + peer.PathRaft
	for {
		select {
		case <-s.ctx.Done():
			return
		case messages := <-q:
			ctx, cancel := context.WithTimeout(s.ctx, sendTimeout)
			_, _ = peer.Call[[]raft.Message, struct{}](ctx, s.client, url, s.token, messages)
			cancel()
		}
	}
}
