package broker_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/netip"
	"sync"
	"testing"
	"time"

	"baobabreach/internal/assign"
	"baobabreach/internal/broker"
	"baobabreach/internal/model"

	"github.com/matryer/is"
)

var (
	hostAddress   = netip.MustParseAddrPort("10.0.0.1:7000")
	brokerAddress = netip.MustParseAddrPort("10.0.0.2:7000")
	secondAddress = netip.MustParseAddrPort("10.0.0.3:7000")
	localAddress  = netip.MustParseAddrPort("10.0.0.4:7000")
)

// pair is a client and a server that exchange datagrams in memory.
type pair struct {
	client *broker.Client
	server *broker.Server

	mu  sync.Mutex
	now time.Duration
	// lost makes datagrams to the server disappear.
	lost bool
}

func (p *pair) clock() time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.now
}

func (p *pair) set(now time.Duration, lost bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.now, p.lost = now, lost
}

func newUpstreams(n int) map[string]model.Upstream {
	out := map[string]model.Upstream{}
	for i := range n {
		name := fmt.Sprintf("u%d", i)
		out[name] = model.Upstream{Name: name, Incarnation: 7, DataCentre: "a", Service: "orders", Slots: 2}
	}
	return out
}

// newPair connects a client with a server that knows the state. The tokens may differ.
func newPair(state *model.State, clientToken, serverToken string) *pair {
	p := &pair{now: time.Minute}
	p.server = broker.NewServer(broker.ServerConfig{
		Clock: p.clock, Token: serverToken, Self: brokerAddress,
		Members: func() []broker.Member { return []broker.Member{{Address: brokerAddress, DataCentre: "a"}} },
		State:   func() *model.State { return state },
		Send:    func(b []byte, _ netip.AddrPort) { p.client.Receive(b, brokerAddress) },
	})
	p.client = broker.NewClient(broker.ClientConfig{
		Clock: p.clock, Token: clientToken, DataCentre: "b",
		Members: func() []broker.Member {
			return []broker.Member{
				{Address: brokerAddress, DataCentre: "a"},
				{Address: secondAddress, DataCentre: "a"},
				{Address: localAddress, DataCentre: "b"},
			}
		},
		Send: func(b []byte, to netip.AddrPort) {
			p.mu.Lock()
			lost := p.lost && to != localAddress
			p.mu.Unlock()
			if !lost {
				p.server.Receive(b, hostAddress)
			}
		},
	})
	return p
}

func query() broker.Query {
	return broker.Query{Service: "orders", Objective: 600 * time.Millisecond, Timeout: time.Second}
}

// Guards against an assignment of an upstream that the host excluded, of more requests than fit, or of none although an
// earlier request has ended.
func TestBrokerAssignsUpstreams(t *testing.T) {
	is := is.New(t)
	state := &model.State{Version: 1, Upstreams: newUpstreams(2)}
	p := newPair(state, "secret", "secret")
	candidates := []model.Upstream{state.Upstreams["u0"], state.Upstreams["u1"]}
	q := query()
	q.Tried = map[string]bool{"u0": true}
	a, err := p.client.Ask(context.Background(), brokerAddress, q)
	is.NoErr(err)
	is.True(a.Granted)
	u, ok := a.Find(candidates)
	is.True(ok)
	is.Equal(u.Name, "u1")
	q.Tried, q.Owner = nil, "u1"
	var granted []broker.Answer
	for {
		a, err := p.client.Ask(context.Background(), brokerAddress, q)
		is.NoErr(err)
		if !a.Granted {
			is.True(a.RetryAfter > 0)
			break
		}
		granted = append(granted, a)
		is.True(len(granted) < 100)
	}
	for _, g := range granted {
		p.client.Done(g.Ticket, assign.ResultSuccess, 100*time.Millisecond)
	}
	a, err = p.client.Ask(context.Background(), brokerAddress, q)
	is.NoErr(err)
	is.True(a.Granted)
}

// Guards against requests that wait for a broker which does not answer: a host asks it only now and then.
func TestSilentBrokerIsSkipped(t *testing.T) {
	is := is.New(t)
	p := newPair(&model.State{Version: 1, Upstreams: newUpstreams(1)}, "", "")
	p.set(time.Minute, true)
	is.True(p.client.Reachable("a"))
	for range 5 {
		_, err := p.client.Ask(context.Background(), brokerAddress, query())
		is.True(err != nil)
	}
	is.Equal(p.client.Stats().Asked, int64(2))
	is.True(!p.client.Available(brokerAddress))
	p.set(time.Minute+10*time.Second, false)
	a, err := p.client.Ask(context.Background(), brokerAddress, query())
	is.NoErr(err)
	is.True(a.Granted)
}

// Guards against datagrams of strangers: without the token nothing is answered.
func TestDatagramsWithAnotherTokenAreIgnored(t *testing.T) {
	is := is.New(t)
	p := newPair(&model.State{Version: 1, Upstreams: newUpstreams(1)}, "secret", "other")
	_, err := p.client.Ask(context.Background(), brokerAddress, query())
	is.True(err != nil)
	is.Equal(p.server.Stats(), assign.Stats{})
}

// Guards against a malformed datagram that ends the process or changes what the broker knows.
func TestMalformedDatagramsAreIgnored(t *testing.T) {
	p := newPair(&model.State{Version: 1, Upstreams: newUpstreams(1)}, "", "")
	random := rand.New(rand.NewPCG(3, 4))
	for i := range 20_000 {
		b := make([]byte, random.IntN(broker.MaxDatagramBytes))
		for j := range b {
			b[j] = byte(random.UintN(256))
		}
		if len(b) > 1 && i%2 == 0 {
			b[0], b[1] = 1, byte(i%5)
		}
		p.server.Receive(b, hostAddress)
		p.client.Receive(b, brokerAddress)
	}
	if got := p.server.Stats(); got != (assign.Stats{}) {
		t.Fatalf("random datagrams led to decisions: %+v", got)
	}
}

// Guards against a loss or an addition of a broker that changes the brokers of many upstreams, and against a broker beyond
// a link between data centres while there is one nearby.
func TestResponsibleChangesLittle(t *testing.T) {
	is := is.New(t)
	var members []broker.Member
	for i := range 6 {
		members = append(members, broker.Member{
			Address:    netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 0, byte(i)}), 7000),
			DataCentre: string(rune('a' + i%2)),
		})
	}
	moved, n := 0, 0
	for _, u := range newUpstreams(300) {
		before, ok := broker.Responsible(members, u)
		is.True(ok)
		is.Equal(before.DataCentre, "a")
		after, _ := broker.Responsible(members[1:], u)
		n++
		if after != before {
			moved++
			is.Equal(before, members[0])
		}
	}
	is.True(moved > n/6 && moved < n/2)
	_, ok := broker.Responsible(nil, model.Upstream{Name: "u"})
	is.True(!ok)
}

// Guards against keyed requests that wait for owners in a data centre from which the host is cut off: after the first
// question without an answer all brokers there are probed, and after a sign of life the data centre is used again.
func TestSilentDataCentreIsUnreachable(t *testing.T) {
	is := is.New(t)
	p := newPair(&model.State{Version: 1, Upstreams: newUpstreams(1)}, "", "")
	p.set(time.Minute, true)
	_, err := p.client.Ask(context.Background(), brokerAddress, query())
	is.True(err != nil)
	deadline := time.Now().Add(5 * time.Second)
	for p.client.Reachable("a") {
		is.True(time.Now().Before(deadline))
		time.Sleep(time.Millisecond)
	}
	is.True(p.client.Reachable("b"))
	p.set(time.Minute+time.Second, false)
	_, err = p.client.Ask(context.Background(), secondAddress, query())
	is.NoErr(err)
	is.True(p.client.Reachable("a"))
}

// Guards against a broker that does not learn that an upstream wants no requests of a host.
func TestPauseReachesTheBroker(t *testing.T) {
	is := is.New(t)
	state := model.NewState()
	state.Upstreams = newUpstreams(1)
	p := newPair(state, "secret", "secret")
	q := broker.Query{Service: "orders", Objective: time.Second, Timeout: time.Second}
	g, err := p.client.Ask(context.Background(), brokerAddress, q)
	is.NoErr(err)
	is.True(g.Granted)
	p.client.Pause(g.Ticket, 3*time.Second)
	p.client.Done(g.Ticket, assign.ResultRefused, time.Millisecond)
	g, err = p.client.Ask(context.Background(), brokerAddress, q)
	is.NoErr(err)
	is.True(!g.Granted)
	is.Equal(g.RetryAfter, 3*time.Second)
}
