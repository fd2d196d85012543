// Package soak runs the daemons as processes on one machine, injects faults from outside the processes, and checks the
// guarantees of the product against what callers, upstreams and the operator observe.
package soak

import (
	"io"
	"net"
	"sync"
	"time"
)

// LinkState is the state of the connections through a proxy.
type LinkState string

// States of a link.
const (
	LinkUp LinkState = "up"
	// LinkSlow delays each read by slowLinkDelay.
	LinkSlow LinkState = "slow"
	// LinkReset resets a connection as soon as it carries data.
	LinkReset LinkState = "reset"
	// LinkDropInbound drops data sent to the host, LinkDropOutbound data sent by it, LinkDropBoth both.
	LinkDropInbound  LinkState = "deaf"
	LinkDropOutbound LinkState = "mute"
	LinkDropBoth     LinkState = "silent"
)

// slowLinkDelay is the delay of each read of up to 32 KiB on a slow link.
const slowLinkDelay = 40 * time.Millisecond

// Proxy forwards TCP connections to one host.
type Proxy struct {
	mu        sync.Mutex
	link      LinkState
	listeners []net.Listener
	conns     map[net.Conn]bool
}

// NewProxy returns a proxy in state LinkUp.
func NewProxy() *Proxy { return &Proxy{link: LinkUp, conns: map[net.Conn]bool{}} }

// Forward listens on listenAddress and forwards connections to targetAddress, until Close is called.
func (p *Proxy) Forward(listenAddress, targetAddress string) error {
	l, err := net.Listen("tcp", listenAddress)
	if err != nil {
		return err
	}
	p.mu.Lock()
	p.listeners = append(p.listeners, l)
	p.mu.Unlock()
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go p.forwardConn(c, targetAddress)
		}
	}()
	return nil
}

// SetLink sets the link state of open and new connections.
func (p *Proxy) SetLink(l LinkState) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.link = l
}

func (p *Proxy) linkState() LinkState {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.link
}

// Close closes all listeners and connections.
func (p *Proxy) Close() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, l := range p.listeners {
		_ = l.Close()
	}
	for c := range p.conns {
		_ = c.Close()
	}
}

func (p *Proxy) trackConn(c net.Conn, open bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if open {
		p.conns[c] = true
	} else {
		delete(p.conns, c)
	}
}

func (p *Proxy) forwardConn(in net.Conn, targetAddress string) {
	p.trackConn(in, true)
	defer p.trackConn(in, false)
	defer func() { _ = in.Close() }()
	out, err := net.DialTimeout("tcp", targetAddress, time.Second)
	if err != nil {
		resetConn(in)
		return
	}
	p.trackConn(out, true)
	defer p.trackConn(out, false)
	defer func() { _ = out.Close() }()
	done := make(chan struct{}, 2)
	go func() { p.forwardData(out, in, LinkDropInbound); done <- struct{}{} }()
	go func() { p.forwardData(in, out, LinkDropOutbound); done <- struct{}{} }()
	<-done
}

// forwardData copies one direction of a connection until it ends. Once data has been dropped, all later data of this
// direction is discarded too, so that the connection does not deliver part of a message when the link is up again.
func (p *Proxy) forwardData(to, from net.Conn, dropState LinkState) {
	b := make([]byte, 32<<10)
	for {
		n, err := from.Read(b)
		link := p.linkState()
		switch {
		case n > 0 && link == LinkReset:
			resetConn(to)
			resetConn(from)
			return
		case n > 0 && (link == dropState || link == LinkDropBoth):
			_, _ = io.Copy(io.Discard, from)
			return
		case n > 0 && link == LinkSlow:
			time.Sleep(slowLinkDelay)
		}
		if n > 0 {
			if _, err := to.Write(b[:n]); err != nil {
				return
			}
		}
		if err != nil {
			return
		}
	}
}

func resetConn(c net.Conn) {
	if t, ok := c.(*net.TCPConn); ok {
		// An error is ignored: without linger 0, Close ends the connection with FIN instead of RST.
		_ = t.SetLinger(0)
	}
	_ = c.Close()
}
