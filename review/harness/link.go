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
	cuts   int
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
	k.cuts++
}

// Heal ends the cut.
func (k *Link) Heal() {
	k.mu.Lock()
	defer k.mu.Unlock()
	close(k.healed)
}

func (k *Link) state() (healed <-chan struct{}, cuts int, late time.Duration) {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.healed, k.cuts, k.late
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
	healed, cuts, _ := k.state()
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
		k.pipe(s, c, cuts, true)
		done <- struct{}{}
	}()
	go func() {
		k.pipe(c, s, cuts, false)
		_ = c.Close()
		done <- struct{}{}
	}()
	<-done
	<-done
}

// pipe copies until the end of from. Bytes that arrive during a cut are held up.
func (k *Link) pipe(to, from net.Conn, cuts int, outward bool) {
	var b [64 << 10]byte
	for {
		n, err := from.Read(b[:])
		if healed, count, late := k.state(); count != cuts && n > 0 {
			select {
			case <-healed:
			default:
				<-healed
				time.Sleep(late)
			}
			cuts = count
		}
		if outward && n > 0 {
			time.Sleep(k.slowness())
		}
		if n > 0 {
			if _, err := to.Write(b[:n]); err != nil {
				return
			}
		}
		if err != nil {
			if t, ok := to.(*net.TCPConn); ok {
				_ = t.CloseWrite()
			}
			return
		}
	}
}

// Slow makes all bytes to the target arrive late, without changing their order.
func (k *Link) Slow(d time.Duration) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.slow = d
}

func (k *Link) slowness() time.Duration {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.slow
}
