// Package soak runs the real programs as processes on one machine, injects faults from outside them, and checks the
// promises of the product from what callers, upstreams and the operator see.
package soak

import (
	"io"
	"net"
	"sync"
	"time"
)

// Link is the state of the connections through a proxy.
type Link string

// States of a link.
const (
	LinkUp Link = "up"
	// LinkSlow delays every piece of data.
	LinkSlow Link = "slow"
	// LinkReset resets every connection as soon as it carries data.
	LinkReset Link = "reset"
	// LinkDeaf drops what is sent to the machine, LinkMute what it sends, LinkSilent both.
	LinkDeaf   Link = "deaf"
	LinkMute   Link = "mute"
	LinkSilent Link = "silent"
)

// slowDelay is the delay of each piece of data on a slow link.
const slowDelay = 40 * time.Millisecond

// Proxy forwards connections to the addresses of one machine.
type Proxy struct {
	mu        sync.Mutex
	link      Link
	listeners []net.Listener
	conns     map[net.Conn]bool
}

// NewProxy returns a proxy with its link up.
func NewProxy() *Proxy { return &Proxy{link: LinkUp, conns: map[net.Conn]bool{}} }

// Forward listens on an address and forwards to another.
func (p *Proxy) Forward(from, to string) error {
	l, err := net.Listen("tcp", from)
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
			go p.serve(c, to)
		}
	}()
	return nil
}

// Set changes the state of the link for open and new connections.
func (p *Proxy) Set(l Link) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.link = l
}

func (p *Proxy) state() Link {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.link
}

// Close ends everything.
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

func (p *Proxy) track(c net.Conn, on bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if on {
		p.conns[c] = true
	} else {
		delete(p.conns, c)
	}
}

func (p *Proxy) serve(in net.Conn, to string) {
	p.track(in, true)
	defer p.track(in, false)
	defer func() { _ = in.Close() }()
	out, err := net.DialTimeout("tcp", to, time.Second)
	if err != nil {
		reset(in)
		return
	}
	p.track(out, true)
	defer p.track(out, false)
	defer func() { _ = out.Close() }()
	done := make(chan struct{}, 2)
	go func() { p.copy(out, in, LinkDeaf); done <- struct{}{} }()
	go func() { p.copy(in, out, LinkMute); done <- struct{}{} }()
	<-done
}

// copy forwards one direction until it ends. Data that a link drops is lost for good, so that a connection which was
// cut does not deliver half of a message later.
func (p *Proxy) copy(to, from net.Conn, cut Link) {
	b := make([]byte, 32<<10)
	for {
		n, err := from.Read(b)
		link := p.state()
		switch {
		case n > 0 && link == LinkReset:
			reset(to)
			reset(from)
			return
		case n > 0 && (link == cut || link == LinkSilent):
			_, _ = io.Copy(io.Discard, from)
			return
		case n > 0 && link == LinkSlow:
			time.Sleep(slowDelay)
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

func reset(c net.Conn) {
	if t, ok := c.(*net.TCPConn); ok {
		// The connection is closed either way.
		_ = t.SetLinger(0)
	}
	_ = c.Close()
}
