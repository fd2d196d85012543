// Package store keeps the replicated log of one replica in a data folder. Everything returned by Open was synced.
package store

import (
	"bytes"
	"crypto/rand"
	"encoding/binary"
	"encoding/hex"
	"encoding/json"
	"hash/crc32"
	"io"
	"os"
	"path/filepath"

	"baobabreach/internal/errs"
	"baobabreach/internal/raft"

	"github.com/go-faster/errors"
)

const (
	identityName = "identity.json"
	logName      = "log"
	snapshotName = "snapshot.json"
	headerBytes  = 8
	// maxRecordBytes rejects a length that no writer produces.
	maxRecordBytes = 64 << 20
)

// ErrCorrupt means that synced data is damaged. The replica must not start on it.
var ErrCorrupt = errors.New("data folder is corrupt")

var crcTable = crc32.MakeTable(crc32.Castagnoli)

// Identity names the disk. A lost disk never returns under the same ID.
type Identity struct {
	ID string `json:"id"`
	// Members is the first member list, written once the group has formed.
	Members *raft.Members `json:"members,omitempty"`
}

// Loaded is what the data folder held.
type Loaded struct {
	Identity Identity
	Hard     raft.HardState
	Log      []raft.Entry
	Snapshot *raft.Snapshot
}

// Store writes the data folder. It is not safe for concurrent use. After an error it must not be used again.
type Store struct {
	dir  string
	file *os.File
}

type record struct {
	Hard    *raft.HardState `json:"hard,omitempty"`
	Entries []raft.Entry    `json:"entries,omitempty"`
}

// Open reads the data folder, creating it if it is missing, and cuts off a torn last record.
func Open(dir string) (*Store, Loaded, error) {
	if err := os.MkdirAll(dir, 0o700); err != nil {
		return nil, Loaded{}, errors.Wrap(err, "create data folder")
	}
	s := &Store{dir: dir}
	l, err := s.load()
	if err != nil {
		return nil, Loaded{}, errors.Wrapf(err, "load %s", dir)
	}
	return s, l, nil
}

// SaveIdentity replaces the identity file.
func (s *Store) SaveIdentity(id Identity) error {
	return s.writeFile(identityName, id)
}

// Save appends to the log and syncs it. Entries replace any stored entry from the first index on.
func (s *Store) Save(hard *raft.HardState, entries []raft.Entry) error {
	b, err := encodeRecord(record{Hard: hard, Entries: entries})
	if err != nil {
		return err
	}
	if _, err := s.file.Write(b); err != nil {
		return errors.Wrap(err, "write log")
	}
	return errs.Wrap(s.file.Sync(), "sync log")
}

// SaveSnapshot writes a snapshot and replaces the log by the entries after it.
func (s *Store) SaveSnapshot(snap raft.Snapshot, hard raft.HardState, tail []raft.Entry) error {
	if err := s.writeFile(snapshotName, snap); err != nil {
		return errors.Wrap(err, "write snapshot")
	}
	b, err := encodeRecord(record{Hard: &hard, Entries: tail})
	if err != nil {
		return err
	}
	if err := s.replace(logName, b); err != nil {
		return errors.Wrap(err, "replace log")
	}
	old := s.file
	if err := s.openLog(); err != nil {
		return err
	}
	return errs.Wrap(old.Close(), "close old log")
}

// Close closes the log.
func (s *Store) Close() error {
	return errs.Wrap(s.file.Close(), "close log")
}

func (s *Store) load() (Loaded, error) {
	var l Loaded
	if err := s.loadIdentity(&l); err != nil {
		return l, err
	}
	var snap raft.Snapshot
	ok, err := s.readFile(snapshotName, &snap)
	if err != nil {
		return l, err
	}
	if ok {
		l.Snapshot = &snap
	}
	if err := s.openLog(); err != nil {
		return l, err
	}
	return l, s.replay(&l)
}

func (s *Store) loadIdentity(l *Loaded) error {
	ok, err := s.readFile(identityName, &l.Identity)
	if err != nil || ok {
		return err
	}
	if _, err := os.Stat(filepath.Join(s.dir, logName)); err == nil {
		return errors.Wrap(ErrCorrupt, "a log without an identity")
	}
	var b [8]byte
	_, _ = rand.Read(b[:])
	l.Identity.ID = hex.EncodeToString(b[:])
	return s.SaveIdentity(l.Identity)
}

func (s *Store) openLog() error {
	f, err := os.OpenFile(filepath.Join(s.dir, logName), os.O_RDWR|os.O_CREATE|os.O_APPEND, 0o600)
	if err != nil {
		return errors.Wrap(err, "open log")
	}
	s.file = f
	return s.syncDir()
}

func (s *Store) replay(l *Loaded) error {
	b, err := io.ReadAll(s.file)
	if err != nil {
		return errors.Wrap(err, "read log")
	}
	at := 0
	for at < len(b) {
		r, n, err := decodeRecord(b[at:])
		if errors.Is(err, io.ErrUnexpectedEOF) {
			break
		}
		if err != nil {
			return errors.Wrapf(err, "record at byte %d", at)
		}
		if err := l.add(r); err != nil {
			return err
		}
		at += n
	}
	if at < len(b) {
		return errs.Wrap(s.file.Truncate(int64(at)), "cut torn record")
	}
	return nil
}

func (l *Loaded) add(r record) error {
	if r.Hard != nil {
		l.Hard = *r.Hard
	}
	base := uint64(0)
	if l.Snapshot != nil {
		base = l.Snapshot.Index
	}
	for _, e := range r.Entries {
		if e.Index <= base {
			continue
		}
		keep := e.Index - base - 1
		if keep > uint64(len(l.Log)) {
			return errors.Wrapf(ErrCorrupt, "entry %d is missing", base+uint64(len(l.Log))+1)
		}
		l.Log = append(l.Log[:keep], e)
	}
	return nil
}

func encodeRecord(r record) ([]byte, error) {
	p, err := json.Marshal(r)
	if err != nil {
		return nil, errors.Wrap(err, "encode record")
	}
	b := make([]byte, headerBytes, headerBytes+len(p))
	binary.LittleEndian.PutUint32(b, uint32(len(p)))
	binary.LittleEndian.PutUint32(b[4:], crc32.Checksum(p, crcTable))
	return append(b, p...), nil
}

func decodeRecord(b []byte) (record, int, error) {
	var r record
	if len(b) < headerBytes {
		return r, 0, io.ErrUnexpectedEOF
	}
	n := int(binary.LittleEndian.Uint32(b))
	if n > maxRecordBytes {
		return r, 0, errors.Wrap(ErrCorrupt, "record length out of range")
	}
	if len(b) < headerBytes+n {
		return r, 0, io.ErrUnexpectedEOF
	}
	p := b[headerBytes : headerBytes+n]
	if crc32.Checksum(p, crcTable) != binary.LittleEndian.Uint32(b[4:]) {
		return r, 0, errors.Wrap(ErrCorrupt, "checksum mismatch")
	}
	if err := json.NewDecoder(bytes.NewReader(p)).Decode(&r); err != nil {
		return r, 0, errors.Wrap(ErrCorrupt, "record is not JSON")
	}
	return r, headerBytes + n, nil
}

func (s *Store) readFile(name string, v any) (bool, error) {
	b, err := os.ReadFile(filepath.Join(s.dir, name))
	if errors.Is(err, os.ErrNotExist) {
		return false, nil
	}
	if err != nil {
		return false, errors.Wrapf(err, "read %s", name)
	}
	if err := json.Unmarshal(b, v); err != nil {
		return false, errors.Wrapf(ErrCorrupt, "%s: %v", name, err)
	}
	return true, nil
}

func (s *Store) writeFile(name string, v any) error {
	b, err := json.Marshal(v)
	if err != nil {
		return errors.Wrapf(err, "encode %s", name)
	}
	return s.replace(name, b)
}

// replace writes a file through a temporary one, so that a crash leaves the old or the new content.
func (s *Store) replace(name string, b []byte) error {
	tmp := filepath.Join(s.dir, name+".tmp")
	f, err := os.OpenFile(tmp, os.O_WRONLY|os.O_CREATE|os.O_TRUNC, 0o600)
	if err != nil {
		return errors.Wrap(err, "create temporary file")
	}
	if _, err := f.Write(b); err != nil {
		return errors.Wrap(err, "write temporary file")
	}
	if err := f.Sync(); err != nil {
		return errors.Wrap(err, "sync temporary file")
	}
	if err := f.Close(); err != nil {
		return errors.Wrap(err, "close temporary file")
	}
	if err := os.Rename(tmp, filepath.Join(s.dir, name)); err != nil {
		return errors.Wrap(err, "rename temporary file")
	}
	return s.syncDir()
}

func (s *Store) syncDir() error {
	d, err := os.Open(s.dir)
	if err != nil {
		return errors.Wrap(err, "open data folder")
	}
	defer func() { _ = d.Close() }()
	return errs.Wrap(d.Sync(), "sync data folder")
}
