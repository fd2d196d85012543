package stage

import (
	"io"
	"net"
	"time"
)

// DelayProxy forwards connections to target. The opening of a connection, what the caller sends, and the end arrive delay
// later; what the target sends arrives at once.
func DelayProxy(listen, target string, delay time.Duration) error {
	l, err := net.Listen("tcp", listen)
	if err != nil {
		return err
	}
	go func() {
		for {
			in, err := l.Accept()
			if err != nil {
				return
			}
			go delayConn(in, target, delay)
		}
	}()
	return nil
}

type chunk struct {
	due  time.Time
	data []byte
}

func delayConn(in net.Conn, target string, delay time.Duration) {
	chunks := make(chan chunk, 1024)
	go func() {
		defer close(chunks)
		for {
			b := make([]byte, 32<<10)
			n, err := in.Read(b)
			chunks <- chunk{due: time.Now().Add(delay), data: b[:n]}
			if err != nil {
				return
			}
		}
	}()
	time.Sleep(delay)
	out, err := net.Dial("tcp", target)
	if err != nil {
		_ = in.Close()
		return
	}
	go func() {
		_, _ = io.Copy(in, out)
		_ = in.Close()
	}()
	for c := range chunks {
		time.Sleep(time.Until(c.due))
		if _, err := out.Write(c.data); err != nil {
			break
		}
	}
	_ = out.Close()
}
