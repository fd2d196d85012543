package harness

import (
	"fmt"
	"net"
	"sync"
	"time"
)

// Link is a proxy in front of one address. While it is cut, it behaves like a partition: it answers nothing, bytes of open
// connections are held up and arrive after it has healed, and connections that are opened meanwhile come to nothing if
// they are given up before.
type Link struct {
	target   string
	listener net.Listener

	mu sync.Mutex
	// healed is closed while the link is not cut.
	healed chan struct{}
	// late is how much later than the end of a cut the bytes arrive that were held up.
	late time.Duration
	// slow is the time that bytes to the target take.
	slow time.Duration
}

// NewLink opens a proxy to target on a free port of the address.
func NewLink(ip, target string) (*Link, error) {
	l, err := net.Listen("tcp", ip+":0")
	if err != nil {
		return nil, fmt.Errorf("open link: %w", err)
	}
	k := &Link{target: target, listener: l, healed: make(chan struct{})}
	close(k.healed)
	go k.accept()
	return k, nil
}

// Address returns the address of the proxy.
func (k *Link) Address() string { return k.listener.Addr().String() }

// Cut cuts the link. Bytes that it holds up arrive late after Heal.
func (k *Link) Cut(late time.Duration) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.healed, k.late = make(chan struct{}), late
}

// Heal ends the cut.
func (k *Link) Heal() {
	k.mu.Lock()
	defer k.mu.Unlock()
	close(k.healed)
}

func (k *Link) state() <-chan struct{} {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.healed
}

func (k *Link) accept() {
	for {
		c, err := k.listener.Accept()
		if err != nil {
			return
		}
		go k.forward(c)
	}
}

func (k *Link) forward(c net.Conn) {
	defer func() { _ = c.Close() }()
	healed := k.state()
	select {
	case <-healed:
	default:
		// The opening packets are lost. Whoever gives up before the link heals has sent nothing.
		<-healed
		_ = c.SetReadDeadline(time.Now().Add(time.Millisecond))
		var b [64 << 10]byte
		n, err := c.Read(b[:])
		if n > 0 || err == nil {
			// The caller may have closed the connection behind its bytes.
			return
		}
		if e, ok := err.(net.Error); !ok || !e.Timeout() {
			return
		}
		_ = c.SetReadDeadline(time.Time{})
	}
	s, err := net.DialTimeout("tcp", k.target, time.Second)
	if err != nil {
		return
	}
	defer func() { _ = s.Close() }()
	done := make(chan struct{}, 2)
	go func() {
		k.pipe(s, c, true)
		done <- struct{}{}
	}()
	go func() {
		k.pipe(c, s, false)
		_ = c.Close()
		done <- struct{}{}
	}()
	<-done
	<-done
}

// packet is what one read returned, and when it may arrive.
type packet struct {
	bytes []byte
	err   error
	due   time.Time
	// healed is not nil for bytes that a cut holds up. They arrive late after it.
	healed <-chan struct{}
	late   time.Duration
}

// pipe copies until the end of from. Bytes, and the end, arrive in order and as late as the link makes them.
func (k *Link) pipe(to, from net.Conn, outward bool) {
	packets := make(chan packet, 1024)
	go func() {
		defer close(packets)
		for {
			b := make([]byte, 64<<10)
			n, err := from.Read(b)
			packets <- k.packet(b[:n], err, outward)
			if err != nil {
				return
			}
		}
	}()
	for p := range packets {
		if p.healed != nil {
			<-p.healed
			p.due = time.Now().Add(p.late)
		}
		time.Sleep(time.Until(p.due))
		if len(p.bytes) > 0 {
			if _, err := to.Write(p.bytes); err != nil {
				_ = from.Close()
			}
		}
		if t, ok := to.(*net.TCPConn); ok && p.err != nil {
			_ = t.CloseWrite()
		}
	}
}

func (k *Link) packet(b []byte, err error, outward bool) packet {
	k.mu.Lock()
	defer k.mu.Unlock()
	p := packet{bytes: b, err: err, due: time.Now()}
	if outward {
		p.due = p.due.Add(k.slow)
	}
	select {
	case <-k.healed:
	default:
		p.healed, p.late = k.healed, k.late
	}
	return p
}

// Slow makes all bytes to the target arrive late, without changing their order.
func (k *Link) Slow(d time.Duration) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.slow = d
}
