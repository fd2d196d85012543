package broker

import (
	"crypto/hmac"
	"crypto/sha256"
	"encoding/binary"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/go-faster/errors"
)

// formatVersion is the first byte of every datagram. Datagrams of another version are ignored, so that hosts of two
// versions choose upstreams without a broker.
const formatVersion = 1

type kind uint8

const (
	kindAsk kind = iota + 1
	kindAnswer
	kindDone
	// kindPing has the body of kindDone, which is not used, and gets an empty answer.
	kindPing
	// kindPause precedes kindDone if the upstream asked for a pause. Brokers of an earlier build ignore it.
	kindPause
)

// signatureBytes is the length of the truncated HMAC at the end of each datagram, which is left out without a token.
const signatureBytes = 8

// maxTried is the number of upstreams that a request may exclude.
const maxTried = 4

// MaxDatagramBytes is larger than any message.
const MaxDatagramBytes = 256

type head struct {
	Version  uint8
	Kind     kind
	Sequence uint64
}

// ask requests an upstream. Names are sent as hashes; an Owner of 0 means any upstream of the service.
type ask struct {
	Service, Owner         uint64
	ObjectiveMs, TimeoutMs uint32
	MayMove                bool
	Tried                  [maxTried]uint64
}

// answer has an Upstream of 0 if the request is refused.
type answer struct {
	Upstream, Incarnation uint64
	RetryAfterMs          uint32
}

type done struct {
	Result    uint8
	ElapsedMs uint32
}

// pause tells for how long the upstream wants no requests of the host.
type pause struct {
	ForMs uint32
}

// hashName returns the hash by which messages name a service or upstream.
func hashName(name string) uint64 { return xxhash.Sum64String(name) }

// encode returns a datagram with the body, signed if there is a token.
func encode[T ask | answer | done | pause](token []byte, k kind, sequence uint64, body T) []byte {
	b := make([]byte, 0, MaxDatagramBytes)
	// Appending structs of fixed size never fails.
	b, _ = binary.Append(b, binary.LittleEndian, head{Version: formatVersion, Kind: k, Sequence: sequence})
	b, _ = binary.Append(b, binary.LittleEndian, body)
	if len(token) > 0 {
		b = append(b, sign(token, b)...)
	}
	return b
}

func sign(token, message []byte) []byte {
	m := hmac.New(sha256.New, token)
	m.Write(message)
	return m.Sum(nil)[:signatureBytes]
}

// decodeHead checks version and signature. It returns the head and the encoded body.
func decodeHead(token, b []byte) (head, []byte, error) {
	if len(token) > 0 {
		n := len(b) - signatureBytes
		if n < 0 || !hmac.Equal(sign(token, b[:n]), b[n:]) {
			return head{}, nil, errors.New("signature does not match")
		}
		b = b[:n]
	}
	var h head
	n, err := binary.Decode(b, binary.LittleEndian, &h)
	if err != nil {
		return h, nil, errors.Wrap(err, "decode head")
	}
	if h.Version != formatVersion {
		return h, nil, errors.Errorf("format version is %d", h.Version)
	}
	return h, b[n:], nil
}

// decodeBody decodes a body of exactly the size of T.
func decodeBody[T ask | answer | done | pause](b []byte) (T, error) {
	var body T
	n, err := binary.Decode(b, binary.LittleEndian, &body)
	if err != nil {
		return body, errors.Wrap(err, "decode body")
	}
	if n != len(b) {
		return body, errors.Errorf("%d bytes follow the body", len(b)-n)
	}
	return body, nil
}

// milliseconds converts a duration to the range of a message field.
func milliseconds(d time.Duration) uint32 {
	return uint32(min(max(d.Milliseconds(), 0), int64(^uint32(0))))
}
