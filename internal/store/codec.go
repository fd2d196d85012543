package store

import (
	"encoding/binary"
	"encoding/json"
	"hash/crc32"
	"io"

	"github.com/go-faster/errors"
)

const (
	// headerBytes holds the length, the checksum of the payload and the checksum of those two. Without the last
	// one, a flipped bit in the length of the last record would look like a torn record and lose a synced entry.
	headerBytes = 12
	// maxRecordBytes rejects a length that no writer produces.
	maxRecordBytes = 64 << 20
)

// ErrCorrupt means that synced data is damaged. The replica must not start on it.
var ErrCorrupt = errors.New("data folder is corrupt")

// errTorn means that the data ends inside a record.
var errTorn = errors.Wrap(io.ErrUnexpectedEOF, "record is cut off")

var crcTable = crc32.MakeTable(crc32.Castagnoli)

func encode(v any) ([]byte, error) {
	p, err := json.Marshal(v)
	if err != nil {
		return nil, errors.Wrap(err, "encode record")
	}
	if len(p) > maxRecordBytes {
		return nil, errors.Errorf("record of %d bytes exceeds the maximum of %d", len(p), maxRecordBytes)
	}
	b := make([]byte, headerBytes, headerBytes+len(p))
	binary.LittleEndian.PutUint32(b, uint32(len(p)))
	binary.LittleEndian.PutUint32(b[4:], crc32.Checksum(p, crcTable))
	binary.LittleEndian.PutUint32(b[8:], crc32.Checksum(b[:8], crcTable))
	return append(b, p...), nil
}

// decode reads one record into v and returns its length. It returns errTorn or an error that wraps ErrCorrupt.
func decode(b []byte, v any) (int, error) {
	if len(b) < headerBytes {
		return 0, errTorn
	}
	if crc32.Checksum(b[:8], crcTable) != binary.LittleEndian.Uint32(b[8:]) {
		return 0, errors.Wrap(ErrCorrupt, "checksum of a record header does not match")
	}
	n := int(binary.LittleEndian.Uint32(b))
	if n > maxRecordBytes {
		return 0, errors.Wrapf(ErrCorrupt, "record length %d exceeds the maximum of %d", n, maxRecordBytes)
	}
	if len(b) < headerBytes+n {
		return 0, errTorn
	}
	p := b[headerBytes : headerBytes+n]
	if crc32.Checksum(p, crcTable) != binary.LittleEndian.Uint32(b[4:]) {
		return 0, errors.Wrap(ErrCorrupt, "checksum of a record does not match")
	}
	if err := json.Unmarshal(p, v); err != nil {
		return 0, errors.Wrapf(ErrCorrupt, "record is not the expected JSON: %v", err)
	}
	return headerBytes + n, nil
}
