package route

import (
	"bytes"
	"compress/flate"
	"encoding/json"
	"io"

	"github.com/go-faster/errors"
)

// maxUnpackedBytes bounds the decompressed size of an update.
const maxUnpackedBytes = 64 << 20

type packedUpdate struct {
	Table *Table `json:"table,omitempty"`
	Delta *Delta `json:"delta,omitempty"`
	// Columns holds the ranges of the table that Table.Ranges leaves out.
	Columns *rangeColumns `json:"columns,omitempty"`
}

// Pack encodes and compresses a table or a delta, because some links carry only a few Mbit/s. Tables with hundreds of
// upstreams shrink to about an eighth.
func Pack(t *Table, d *Delta) ([]byte, error) {
	var b bytes.Buffer
	w, err := flate.NewWriter(&b, flate.BestSpeed)
	if err != nil {
		return nil, errors.Wrap(err, "create compressor")
	}
	p := packedUpdate{Table: t, Delta: d}
	if t != nil {
		stripped := *t
		p.Table = &stripped
		p.Columns, stripped.Ranges = newRangeColumns(t)
	}
	if err := json.NewEncoder(w).Encode(p); err != nil {
		return nil, errors.Wrap(err, "encode update")
	}
	if err := w.Close(); err != nil {
		return nil, errors.Wrap(err, "compress update")
	}
	return b.Bytes(), nil
}

// Unpack decodes the output of Pack.
func Unpack(b []byte) (*Table, *Delta, error) {
	var p packedUpdate
	r := flate.NewReader(bytes.NewReader(b))
	if err := json.NewDecoder(io.LimitReader(r, maxUnpackedBytes)).Decode(&p); err != nil {
		return nil, nil, errors.Wrap(err, "decode update")
	}
	if p.Table != nil && p.Columns != nil {
		ranges, err := p.Columns.decode(p.Table, p.Table.Ranges)
		if err != nil {
			return nil, nil, err
		}
		p.Table.Ranges = ranges
	}
	return p.Table, p.Delta, nil
}
