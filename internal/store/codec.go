package store

import (
	"encoding/binary"
	"encoding/json"
	"hash/crc32"
	"io"

	"github.com/go-faster/errors"
)

const (
	// headerBytes is the size of a record header: the payload length, the payload checksum and a checksum of these
	// two. Without the header checksum, a flipped bit in the length of the last record would look like a torn record,
	// and a synced entry would be lost.
	headerBytes = 12
	// maxRecordBytes is the maximum payload size. Larger lengths are rejected because encode never writes them.
	maxRecordBytes = 64 << 20
)

// ErrCorrupt means that synced data is damaged. The replica must not start with it.
var ErrCorrupt = errors.New("data folder is corrupt")

// errTorn means that the data ends within a record.
var errTorn = errors.Wrap(io.ErrUnexpectedEOF, "record is truncated")

var crcTable = crc32.MakeTable(crc32.Castagnoli)

func encode(v any) ([]byte, error) {
	payload, err := json.Marshal(v)
	if err != nil {
		return nil, errors.Wrap(err, "encode record")
	}
	if len(payload) > maxRecordBytes {
		return nil, errors.Errorf("record of %d bytes exceeds the maximum of %d", len(payload), maxRecordBytes)
	}
	b := make([]byte, headerBytes, headerBytes+len(payload))
	binary.LittleEndian.PutUint32(b, uint32(len(payload)))
	binary.LittleEndian.PutUint32(b[4:], crc32.Checksum(payload, crcTable))
	binary.LittleEndian.PutUint32(b[8:], crc32.Checksum(b[:8], crcTable))
	return append(b, payload...), nil
}

// decode reads one record from b into v and returns its length in bytes. Its errors are errTorn or wrap ErrCorrupt.
func decode(b []byte, v any) (int, error) {
	if len(b) < headerBytes {
		return 0, errTorn
	}
	if crc32.Checksum(b[:8], crcTable) != binary.LittleEndian.Uint32(b[8:]) {
		return 0, errors.Wrap(ErrCorrupt, "record header checksum mismatch")
	}
	length := int(binary.LittleEndian.Uint32(b))
	if length > maxRecordBytes {
		return 0, errors.Wrapf(ErrCorrupt, "record length %d exceeds the maximum of %d", length, maxRecordBytes)
	}
	if len(b) < headerBytes+length {
		return 0, errTorn
	}
	payload := b[headerBytes : headerBytes+length]
	if crc32.Checksum(payload, crcTable) != binary.LittleEndian.Uint32(b[4:]) {
		return 0, errors.Wrap(ErrCorrupt, "record payload checksum mismatch")
	}
	if err := json.Unmarshal(payload, v); err != nil {
		return 0, errors.Wrapf(ErrCorrupt, "decode record: %v", err)
	}
	return headerBytes + length, nil
}
