package daemon_test

import (
	"bytes"
	"net"
	"testing"

	"baobabreach/internal/config"
	"baobabreach/internal/daemon"
	"baobabreach/internal/peer"
	"baobabreach/internal/stub"

	"github.com/matryer/is"
)

// Guards against an answer of another daemon that is reset while a large message is sent to it and passes for a whole one.
func TestAnswerOfAPeerThatIsResetIsNotWhole(t *testing.T) {
	is := is.New(t)
	l, err := stub.ListenWithSmallBuffers("127.0.0.1:0")
	is.NoErr(err)
	t.Cleanup(func() { _ = l.Close() })
	go stub.ServeRaw(l, stub.RawResponse{Bytes: "HTTP/1.1 200 OK\r\n\r\n{}", Early: true, End: stub.RawReset})
	message := bytes.Repeat([]byte("x"), 1<<20)
	for name, client := range daemon.PeerClients(config.Config{}) {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			const calls = 200
			whole := 0
			for range calls {
				if _, err := peer.Call[[]byte, struct{}](t.Context(), client, "http://"+l.Addr().String()+"/", "", message); err == nil {
					whole++
				}
			}
			is.Equal(whole, 0)
		})
	}
}

// Guards against an answer of another daemon that RFC 9110 or 9112 does not allow and that passes for a whole one.
func TestInvalidAnswerOfAPeerIsAnError(t *testing.T) {
	for name, client := range daemon.PeerClients(config.Config{}) {
		for _, c := range stub.InvalidResponses() {
			t.Run(name+", "+c.Name, func(t *testing.T) {
				is := is.New(t)
				l, err := net.Listen("tcp", "127.0.0.1:0")
				is.NoErr(err)
				t.Cleanup(func() { _ = l.Close() })
				response := c.Bytes("Content-Type: application/octet-stream\r\n")
				go stub.ServeRaw(l, stub.RawResponse{Bytes: response, End: stub.RawClose})
				_, err = peer.Call[struct{}, anyBytes](t.Context(), client, "http://"+l.Addr().String()+"/", "", struct{}{})
				is.True(err != nil)
			})
		}
	}
}

// anyBytes decodes from any binary answer.
type anyBytes struct{}

func (*anyBytes) UnmarshalBinary([]byte) error { return nil }
