package daemon

import (
	"context"
	"net"
	"net/netip"
	"sync/atomic"

	"baobabreach/internal/broker"
	"baobabreach/internal/config"
	"baobabreach/internal/gate"
	"baobabreach/internal/model"

	"github.com/go-faster/errors"
	"go.uber.org/fx"
)

// brokerSocket is the UDP socket of a daemon at its control address. An entry host uses it to ask the brokers, a replica
// to answer as a broker.
type brokerSocket struct {
	address   string
	conn      atomic.Pointer[net.UDPConn]
	client    *broker.Client
	server    *broker.Server
	directory *replicaDirectory
}

func newBrokerSocket(cfg config.Config, d *replicaDirectory, r *localReplica, now Clock, t tokens) *brokerSocket {
	s := &brokerSocket{address: cfg.Control, directory: d}
	if cfg.Caller != "" {
		s.client = broker.NewClient(broker.ClientConfig{
			Clock: now, Token: t.control, Send: s.send, DataCentre: cfg.DataCentre, Members: d.brokers,
		})
	}
	if self, err := netip.ParseAddrPort(cfg.Advertise); err == nil && cfg.IsReplica() {
		s.server = broker.NewServer(broker.ServerConfig{
			Clock: now, Token: t.control, Self: self, Members: d.brokers, Send: s.send,
			State: func() *model.State {
				if n := r.node.Load(); n != nil {
					return n.Model()
				}
				return nil
			},
		})
	}
	return s
}

// gateBrokers returns the access of a gate to the brokers.
func (s *brokerSocket) gateBrokers() *gate.Brokers {
	if s.client == nil {
		return nil
	}
	return &gate.Brokers{
		Members: s.directory.brokers, Done: s.client.Done, Pause: s.client.Pause, Reachable: s.client.Reachable,
		Ask: func(ctx context.Context, m broker.Member, q broker.Query) (broker.Answer, error) {
			return s.client.Ask(ctx, m.Address, q)
		},
	}
}

// send sends a datagram. Errors are ignored like the loss of a datagram.
func (s *brokerSocket) send(b []byte, to netip.AddrPort) {
	if c := s.conn.Load(); c != nil {
		_, _ = c.WriteToUDPAddrPort(b, to)
	}
}

// receive passes datagrams on until the socket is closed.
func (s *brokerSocket) receive(c *net.UDPConn) {
	var b [broker.MaxDatagramBytes]byte
	for {
		n, from, err := c.ReadFromUDPAddrPort(b[:])
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			continue
		}
		from = netip.AddrPortFrom(from.Addr().Unmap(), from.Port())
		if s.server != nil {
			s.server.Receive(b[:n], from)
		}
		if s.client != nil {
			s.client.Receive(b[:n], from)
		}
	}
}

// startBrokerSocket opens the socket before callers are served and closes it after them.
func startBrokerSocket(lc fx.Lifecycle, s *brokerSocket) {
	lc.Append(fx.Hook{
		OnStart: func(context.Context) error {
			address, err := net.ResolveUDPAddr("udp4", s.address)
			if err != nil {
				return errors.Wrap(err, "resolve broker address")
			}
			c, err := net.ListenUDP("udp4", address)
			if err != nil {
				return errors.Wrap(err, "open broker socket")
			}
			s.conn.Store(c)
			go s.receive(c)
			return nil
		},
		OnStop: func(context.Context) error { return s.conn.Load().Close() },
	})
}
