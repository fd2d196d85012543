package broker

import (
	"context"
	"math/rand/v2"
	"net/netip"
	"slices"
	"sync"
	"time"

	"baobabreach/internal/assign"
	"baobabreach/internal/model"

	"github.com/go-faster/errors"
)

const (
	// answerTimeout is how long a host waits for an answer before it chooses an upstream on its own.
	answerTimeout = 30 * time.Millisecond
	// missesToSuspect is the number of consecutive missing answers after which a broker is not asked for suspectTime. Single
	// datagrams get lost.
	missesToSuspect = 2
	suspectTime     = 400 * time.Millisecond
)

// Query is a request for an upstream.
type Query struct {
	Service string
	// Owner is the only upstream that may run the request, or empty.
	Owner string
	// Objective is the time left until a response is late, Timeout the time left until the request ends.
	Objective, Timeout time.Duration
	// MayMove is true if another data centre can still be asked.
	MayMove bool
	// Tried holds upstreams that are not to be assigned again; only some of them are sent.
	Tried map[string]bool
}

// Ticket identifies an assigned request at its broker. The zero value stands for a request without a broker.
type Ticket struct {
	broker   netip.AddrPort
	sequence uint64
}

// Answer is the decision of a broker.
type Answer struct {
	Ticket Ticket
	// Granted is false if the request is refused. It may then be repeated after RetryAfter.
	Granted    bool
	RetryAfter time.Duration

	upstream, incarnation uint64
}

// Find returns the assigned upstream if it is among the candidates.
func (a Answer) Find(candidates []model.Upstream) (model.Upstream, bool) {
	for _, u := range candidates {
		if u.Incarnation == a.incarnation && hashName(u.Name) == a.upstream {
			return u, true
		}
	}
	return model.Upstream{}, false
}

// ErrNoAnswer means that the broker did not answer in time or is skipped because it did not answer before.
var ErrNoAnswer = errors.New("no answer of the broker")

// Client asks brokers. It is safe for concurrent use.
type Client struct {
	cfg   ClientConfig
	token []byte

	mu       sync.Mutex
	sequence uint64
	pending  map[uint64]chan answer
	suspects map[netip.AddrPort]*suspect
	stats    ClientStats
}

// ClientStats counts the questions and those without an answer in time.
type ClientStats struct {
	Asked, Unanswered int64
}

// suspect records the missing answers of a broker.
type suspect struct {
	misses int
	until  time.Duration
}

// ClientConfig configures a Client.
type ClientConfig struct {
	Clock func() time.Duration
	// Token authenticates the datagrams; it may be empty.
	Token string
	// Send sends a datagram. It must not block.
	Send func(b []byte, to netip.AddrPort)
	// DataCentre is that of the host, and Members returns the current brokers.
	DataCentre string
	Members    func() []Member
}

// NewClient returns a client. The owner of the socket must pass received datagrams to Receive.
func NewClient(cfg ClientConfig) *Client {
	return &Client{
		cfg: cfg, token: []byte(cfg.Token), pending: map[uint64]chan answer{},
		// A host that restarts must not reuse the numbers of its previous process.
		sequence: rand.Uint64(), suspects: map[netip.AddrPort]*suspect{},
	}
}

// Available reports whether the broker is worth asking.
func (c *Client) Available(broker netip.AddrPort) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.available(broker)
}

func (c *Client) available(broker netip.AddrPort) bool {
	s := c.suspects[broker]
	return s == nil || c.cfg.Clock() >= s.until
}

// minBrokersToConclude is the number of silent brokers of a data centre from which a host concludes that it can't reach
// the data centre. A single one may have failed.
const minBrokersToConclude = 2

// Reachable returns false if all brokers of the data centre are silent while one of the own data centre answers. Requests
// to upstreams there would most likely wait until they time out.
func (c *Client) Reachable(dataCentre string) bool {
	if dataCentre == c.cfg.DataCentre {
		return true
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	silent, anyLocal := 0, false
	for _, m := range c.cfg.Members() {
		switch available := c.available(m.Address); {
		case m.DataCentre == dataCentre && available:
			return true
		case m.DataCentre == dataCentre:
			silent++
		case m.DataCentre == c.cfg.DataCentre && available:
			anyLocal = true
		}
	}
	return silent < minBrokersToConclude || !anyLocal
}

// expectAnswer returns the number of a new question and the channel of its answer, until forget is called.
func (c *Client) expectAnswer() (uint64, <-chan answer) {
	answers := make(chan answer, 1)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.sequence++
	c.pending[c.sequence] = answers
	return c.sequence, answers
}

// forget ends the wait for an answer and reports whether there was none yet.
func (c *Client) forget(sequence uint64) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	_, unanswered := c.pending[sequence]
	delete(c.pending, sequence)
	return unanswered
}

// Ask requests an upstream from the broker.
func (c *Client) Ask(ctx context.Context, broker netip.AddrPort, q Query) (Answer, error) {
	c.mu.Lock()
	available := c.available(broker)
	if available {
		c.stats.Asked++
	}
	c.mu.Unlock()
	if !available {
		return Answer{}, ErrNoAnswer
	}
	sequence, answers := c.expectAnswer()
	m := ask{
		Service: hashName(q.Service), ObjectiveMs: milliseconds(q.Objective), TimeoutMs: milliseconds(q.Timeout),
		MayMove: q.MayMove,
	}
	if q.Owner != "" {
		m.Owner = hashName(q.Owner)
	}
	i := 0
	for name := range q.Tried {
		if i < maxTried {
			m.Tried[i] = hashName(name)
			i++
		}
	}
	c.cfg.Send(encode(c.token, kindAsk, sequence, m), broker)
	timer := time.NewTimer(answerTimeout)
	defer timer.Stop()
	ticket := Ticket{broker: broker, sequence: sequence}
	select {
	case a := <-answers:
		return Answer{
			Ticket: ticket, Granted: a.Upstream != 0, RetryAfter: time.Duration(a.RetryAfterMs) * time.Millisecond,
			upstream: a.Upstream, incarnation: a.Incarnation,
		}, nil
	case <-timer.C:
		c.miss(broker)
	case <-ctx.Done():
	}
	c.forget(sequence)
	// The broker may have assigned an upstream.
	c.Done(ticket, assign.ResultNeutral, 0)
	return Answer{}, ErrNoAnswer
}

// miss records a missing answer. After the first one it probes all brokers of the data centre, to learn soon whether the
// data centre or only that broker is silent.
func (c *Client) miss(broker netip.AddrPort) {
	if c.recordMiss(broker) != 1 {
		return
	}
	members := c.cfg.Members()
	i := slices.IndexFunc(members, func(m Member) bool { return m.Address == broker })
	if i < 0 {
		return
	}
	for _, m := range members {
		if m.DataCentre == members[i].DataCentre && m.DataCentre != c.cfg.DataCentre {
			c.probe(m.Address)
		}
	}
}

// recordMiss returns the number of consecutive missing answers of the broker.
func (c *Client) recordMiss(broker netip.AddrPort) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.stats.Unanswered++
	s := c.suspects[broker]
	if s == nil {
		s = &suspect{}
		c.suspects[broker] = s
	}
	s.misses++
	if s.misses >= missesToSuspect {
		s.until = c.cfg.Clock() + suspectTime
	}
	return s.misses
}

// probe sends datagrams that only ask for a sign of life.
func (c *Client) probe(broker netip.AddrPort) {
	for range missesToSuspect {
		sequence, _ := c.expectAnswer()
		c.cfg.Send(encode(c.token, kindPing, sequence, done{}), broker)
		time.AfterFunc(answerTimeout, func() {
			if c.forget(sequence) {
				c.recordMiss(broker)
			}
		})
	}
}

// Done reports the end of an assigned request. elapsed is the time from its sending.
func (c *Client) Done(t Ticket, r assign.Result, elapsed time.Duration) {
	if t.sequence == 0 {
		return
	}
	c.cfg.Send(encode(c.token, kindDone, t.sequence, done{Result: uint8(r), ElapsedMs: milliseconds(elapsed)}), t.broker)
}

// Pause reports that the upstream of an assigned request wants no requests of this host for a while. It must come before
// Done.
func (c *Client) Pause(t Ticket, d time.Duration) {
	if t.sequence == 0 {
		return
	}
	c.cfg.Send(encode(c.token, kindPause, t.sequence, pause{ForMs: milliseconds(d)}), t.broker)
}

// Receive processes a datagram. It ignores datagrams that are no answer to a pending question.
func (c *Client) Receive(b []byte, from netip.AddrPort) {
	h, body, err := decodeHead(c.token, b)
	if err != nil || h.Kind != kindAnswer {
		return
	}
	a, err := decodeBody[answer](body)
	if err != nil {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	answers, ok := c.pending[h.Sequence]
	if !ok {
		return
	}
	delete(c.pending, h.Sequence)
	delete(c.suspects, from)
	answers <- a
}

// Stats returns the counts since the start.
func (c *Client) Stats() ClientStats {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.stats
}
