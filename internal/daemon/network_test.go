package daemon_test

import (
	"context"
	"net"
	"sync"

	"baobabreach/internal/daemon"
)

// link is one direction of the connection between two sites.
type link struct{ from, to string }

// network connects the daemons and upstreams of a test and can cut links. Data sent over a cut link is dropped without
// an error, as in a real partition.
type network struct {
	mu sync.Mutex
	// sites maps addresses to sites. Links of an unknown address are never cut.
	sites map[string]string
	cut   map[link]bool
}

func newNetwork() *network {
	return &network{sites: map[string]string{}, cut: map[link]bool{}}
}

func (n *network) assignSite(address, site string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.sites[address] = site
}

// cutBothWays cuts the link between two sites in both directions.
func (n *network) cutBothWays(a, b string) {
	n.cutOneWay(a, b)
	n.cutOneWay(b, a)
}

func (n *network) cutOneWay(from, to string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.cut[link{from, to}] = true
}

func (n *network) heal() {
	n.mu.Lock()
	defer n.mu.Unlock()
	clear(n.cut)
}

func (n *network) isCut(from, to string) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.cut[link{from, to}]
}

// dialFrom returns the dial function for daemons and upstreams at a site.
func (n *network) dialFrom(site string) daemon.DialFunc {
	return func(ctx context.Context, proto, address string) (net.Conn, error) {
		n.mu.Lock()
		to := n.sites[address]
		n.mu.Unlock()
		if n.isCut(site, to) || n.isCut(to, site) {
			// A lost SYN or SYN-ACK causes a timeout, never a refused connection.
			<-ctx.Done()
			return nil, ctx.Err()
		}
		c, err := daemon.NetDial(ctx, proto, address)
		if err != nil {
			return nil, err
		}
		return &lossyConn{Conn: c, network: n, from: site, to: to}, nil
	}
}

// lossyConn drops data that crosses a cut link. Once it has dropped any, it drops everything, since TCP delivers no data
// beyond a gap.
type lossyConn struct {
	net.Conn
	network  *network
	from, to string

	mu     sync.Mutex
	broken bool
}

func (c *lossyConn) drops(from, to string) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.broken = c.broken || c.network.isCut(from, to)
	return c.broken
}

func (c *lossyConn) Write(b []byte) (int, error) {
	if c.drops(c.from, c.to) {
		return len(b), nil
	}
	return c.Conn.Write(b)
}

func (c *lossyConn) Read(b []byte) (int, error) {
	for {
		n, err := c.Conn.Read(b)
		if err != nil || !c.drops(c.to, c.from) {
			return n, err
		}
	}
}
