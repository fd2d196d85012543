// Package store keeps the replicated log of one replica in a data folder. Everything returned by Open was synced.
//
// The folder holds an identity, a snapshot and a single log, all made of checksummed records. The log starts with a
// record that names the disk and the snapshot it follows. A cut-off record at the end of the log was never
// acknowledged and is dropped; any other damage makes Open return ErrCorrupt.
package store

import (
	"crypto/rand"
	"encoding/hex"
	"os"
	"path/filepath"
	"sync/atomic"

	"baobabreach/internal/errs"
	"baobabreach/internal/raft"

	"github.com/go-faster/errors"
)

const (
	identityName = "identity"
	logName      = "log"
	snapshotName = "snapshot"
	tmpSuffix    = ".tmp"
)

// Identity names the disk. A lost disk never returns under the same ID.
type Identity struct {
	ID string `json:"id"`
	// Members is the member list at the time the disk became a member, written once the group has formed.
	Members *raft.Members `json:"members,omitempty"`
}

// Contents is what the data folder held.
type Contents struct {
	Identity  Identity
	HardState raft.HardState
	Log       []raft.Entry
	Snapshot  *raft.Snapshot
}

// Files holds the file operations that can fail; tests replace them.
type Files struct {
	Write  func(f *os.File, b []byte) (int, error)
	Sync   func(f *os.File) error
	Rename func(from, to string) error
}

// Disk returns the operations of the operating system.
func Disk() Files {
	return Files{Write: (*os.File).Write, Sync: (*os.File).Sync, Rename: os.Rename}
}

// Store writes the data folder. It is not safe for concurrent use.
type Store struct {
	dir   string
	files Files
	id    string
	file  *os.File
	// lock is held while the store is open.
	lock *os.File
	// failed is the first error of a write. Nothing is written after it: a failed sync may have dropped pages that
	// a second sync would report as written, and a record after a partial one could not be read.
	failed error
	syncs  atomic.Int64
}

// Syncs returns the number of syncs since the store was opened.
func (s *Store) Syncs() int64 { return s.syncs.Load() }

func (s *Store) sync(f *os.File) error {
	s.syncs.Add(1)
	return s.files.Sync(f)
}

type record struct {
	Start   *start          `json:"start,omitempty"`
	Hard    *raft.HardState `json:"hard,omitempty"`
	Entries []raft.Entry    `json:"entries,omitempty"`
}

// start is the first record of a log.
type start struct {
	ID string `json:"id"`
	// Base is the index of the snapshot that the log follows.
	Base uint64 `json:"base"`
}

// Open reads the data folder, creating it if it is missing, and cuts off a torn last record.
func Open(dir string) (*Store, Contents, error) { return OpenWith(dir, Disk()) }

// OpenWith is Open with the given file operations.
func OpenWith(dir string, files Files) (*Store, Contents, error) {
	if err := os.MkdirAll(dir, 0o700); err != nil {
		return nil, Contents{}, errors.Wrap(err, "create data folder")
	}
	lock, err := lockFolder(dir)
	if err != nil {
		return nil, Contents{}, errors.Wrapf(err, "lock %s", dir)
	}
	s := &Store{dir: dir, files: files, lock: lock}
	l, err := s.load()
	if err != nil {
		_ = lock.Close()
		return nil, Contents{}, errors.Wrapf(err, "load %s", dir)
	}
	return s, l, nil
}

// SaveIdentity replaces the identity file.
func (s *Store) SaveIdentity(id Identity) error {
	return s.guard(func() error { return s.replace(identityName, id) })
}

// Append appends to the log and syncs it. Entries replace any stored entry from the first index on.
func (s *Store) Append(hard *raft.HardState, entries []raft.Entry) error {
	return s.guard(func() error {
		b, err := encode(record{Hard: hard, Entries: entries})
		if err != nil {
			return err
		}
		if _, err := s.files.Write(s.file, b); err != nil {
			return errors.Wrap(err, "write log")
		}
		return errs.Wrap(s.sync(s.file), "sync log")
	})
}

// SaveSnapshot writes a snapshot and replaces the log by the entries after it.
func (s *Store) SaveSnapshot(snap raft.Snapshot, hard raft.HardState, tail []raft.Entry) error {
	return s.guard(func() error {
		if err := s.replace(snapshotName, snap); err != nil {
			return errors.Wrap(err, "save snapshot")
		}
		return s.rewrite(snap.Index, hard, tail)
	})
}

// Close closes the log.
func (s *Store) Close() error {
	err := s.file.Close()
	_ = s.lock.Close()
	return errs.Wrap(err, "close log")
}

func (s *Store) guard(write func() error) error {
	if s.failed != nil {
		return errors.Wrap(s.failed, "store stopped after an earlier failure")
	}
	s.failed = write()
	return s.failed
}

func (s *Store) load() (Contents, error) {
	var l Contents
	for _, n := range []string{identityName, logName, snapshotName} {
		if err := os.Remove(s.path(n + tmpSuffix)); err != nil && !errors.Is(err, os.ErrNotExist) {
			return l, errors.Wrap(err, "remove stale temporary file")
		}
	}
	known, err := s.read(identityName, &l.Identity)
	if err != nil {
		return l, err
	}
	if !known {
		return s.create()
	}
	s.id = l.Identity.ID
	var snap raft.Snapshot
	ok, err := s.read(snapshotName, &snap)
	if err != nil {
		return l, err
	}
	if ok {
		l.Snapshot = &snap
	}
	if err := s.replay(&l); err != nil {
		return l, err
	}
	// The log is written anew, so that all that was read is synced: after the crash of the process alone, or after
	// a failed sync, the end of the log may exist only in the page cache.
	return l, s.rewrite(l.base(), l.HardState, l.Log)
}

// create gives a new disk its identity. The log comes first, so that an identity without a log means a lost log.
func (s *Store) create() (Contents, error) {
	if _, err := os.Stat(s.path(snapshotName)); err == nil {
		return Contents{}, errors.Wrap(ErrCorrupt, "a snapshot without an identity")
	}
	if b, err := os.ReadFile(s.path(logName)); err == nil {
		var r record
		n, err := decode(b, &r)
		if err != nil || n < len(b) {
			return Contents{}, errors.Wrap(ErrCorrupt, "a log without an identity")
		}
	}
	var b [8]byte
	_, _ = rand.Read(b[:])
	l := Contents{Identity: Identity{ID: hex.EncodeToString(b[:])}}
	s.id = l.Identity.ID
	if err := s.rewrite(0, l.HardState, nil); err != nil {
		return l, err
	}
	return l, s.SaveIdentity(l.Identity)
}

// rewrite replaces the log by one record that follows the snapshot at base.
func (s *Store) rewrite(base uint64, hard raft.HardState, entries []raft.Entry) error {
	if err := s.replace(logName, record{Start: &start{ID: s.id, Base: base}, Hard: &hard, Entries: entries}); err != nil {
		return errors.Wrap(err, "replace log")
	}
	f, err := os.OpenFile(s.path(logName), os.O_WRONLY|os.O_APPEND, 0o600)
	if err != nil {
		return errors.Wrap(err, "open log")
	}
	old := s.file
	s.file = f
	if old == nil {
		return nil
	}
	return errs.Wrap(old.Close(), "close old log")
}

func (s *Store) replay(l *Contents) error {
	b, err := os.ReadFile(s.path(logName))
	if errors.Is(err, os.ErrNotExist) {
		return errors.Wrap(ErrCorrupt, "the log file is missing")
	}
	if err != nil {
		return errors.Wrap(err, "read log")
	}
	base := uint64(0)
	for at := 0; at < len(b) || at == 0; {
		var r record
		n, err := decode(b[at:], &r)
		if errors.Is(err, errTorn) && at > 0 {
			break
		}
		if err != nil {
			return errors.Wrapf(asCorrupt(err), "log record at byte %d", at)
		}
		if (at == 0) != (r.Start != nil) || r.Start != nil && r.Start.ID != s.id {
			return errors.Wrapf(ErrCorrupt, "log record at byte %d does not belong there", at)
		}
		if r.Start != nil {
			base = r.Start.Base
		}
		if err := l.add(base, r); err != nil {
			return err
		}
		at += n
	}
	return l.trim(base)
}

// add applies a record to a log that starts after base.
func (l *Contents) add(base uint64, r record) error {
	if r.Hard != nil {
		l.HardState = *r.Hard
	}
	for _, e := range r.Entries {
		if e.Index <= base || e.Index > base+uint64(len(l.Log))+1 {
			return errors.Wrapf(ErrCorrupt, "entry %d follows entry %d", e.Index, base+uint64(len(l.Log)))
		}
		l.Log = append(l.Log[:e.Index-base-1], e)
	}
	return nil
}

// trim drops what the snapshot covers. A crash between the replacement of the snapshot and that of the log leaves a
// log that starts before the snapshot, and possibly one that differs from it.
func (l *Contents) trim(base uint64) error {
	at := l.base()
	if at < base {
		return errors.Wrapf(ErrCorrupt, "the snapshot at %d that the log follows is missing", base)
	}
	if at == base {
		return nil
	}
	n := at - base
	if n > uint64(len(l.Log)) || l.Log[n-1].Term != l.Snapshot.Term {
		l.Log = nil
		return nil
	}
	l.Log = l.Log[n:]
	return nil
}

func (l *Contents) base() uint64 {
	if l.Snapshot == nil {
		return 0
	}
	return l.Snapshot.Index
}

func asCorrupt(err error) error {
	if errors.Is(err, errTorn) {
		return errors.Wrap(ErrCorrupt, err.Error())
	}
	return err
}

// read decodes a file of one record; false means that it does not exist.
func (s *Store) read(name string, v any) (bool, error) {
	b, err := os.ReadFile(s.path(name))
	if errors.Is(err, os.ErrNotExist) {
		return false, nil
	}
	if err != nil {
		return false, errors.Wrapf(err, "read %s", name)
	}
	n, err := decode(b, v)
	if err != nil {
		return false, errors.Wrapf(asCorrupt(err), "%s", name)
	}
	if n != len(b) {
		return false, errors.Wrapf(ErrCorrupt, "%s: bytes after the record", name)
	}
	return true, nil
}

// replace writes a file through a temporary one, so that a crash leaves the old or the new content.
func (s *Store) replace(name string, v any) error {
	b, err := encode(v)
	if err != nil {
		return err
	}
	f, err := os.OpenFile(s.path(name+tmpSuffix), os.O_WRONLY|os.O_CREATE|os.O_TRUNC, 0o600)
	if err != nil {
		return errors.Wrap(err, "create temporary file")
	}
	defer func() { _ = f.Close() }()
	if _, err := s.files.Write(f, b); err != nil {
		return errors.Wrap(err, "write temporary file")
	}
	if err := s.sync(f); err != nil {
		return errors.Wrap(err, "sync temporary file")
	}
	if err := s.files.Rename(f.Name(), s.path(name)); err != nil {
		return errors.Wrap(err, "rename temporary file")
	}
	return s.syncDir()
}

func (s *Store) path(name string) string { return filepath.Join(s.dir, name) }

func (s *Store) syncDir() error {
	d, err := os.Open(s.dir)
	if err != nil {
		return errors.Wrap(err, "open data folder")
	}
	defer func() { _ = d.Close() }()
	return errs.Wrap(s.sync(d), "sync data folder")
}
