// Package store persists the replicated log of one replica in a data folder. Everything that Open returns is synced.
//
// The folder contains an identity file, a snapshot file and a single log file, all made of checksummed records. The
// first record of the log holds the ID of the disk and the index of the snapshot that the log follows. A torn record
// at the end of the log was never acknowledged and is dropped. Any other damage makes Open return ErrCorrupt.
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
	identityFileName = "identity"
	logFileName      = "log"
	snapshotFileName = "snapshot"
	tmpSuffix        = ".tmp"
)

// Identity identifies the disk. The replacement for a lost disk never has the same ID.
type Identity struct {
	ID string `json:"id"`
	// Members is the member list at the time at which the disk became a member. It is written once the group has formed.
	Members *raft.Members `json:"members,omitempty"`
	// FirstStart is true if the disk was new when the whole fleet started for the first time.
	FirstStart bool `json:"first_start,omitempty"`
}

// Contents is the content of the data folder when it was opened.
type Contents struct {
	Identity  Identity
	HardState raft.HardState
	Log       []raft.Entry
	Snapshot  *raft.Snapshot
}

// FileOps holds the file operations in which tests inject failures.
type FileOps struct {
	Write  func(f *os.File, b []byte) (int, error)
	Sync   func(f *os.File) error
	Rename func(from, to string) error
}

// OSFileOps returns the file operations of the operating system.
func OSFileOps() FileOps {
	return FileOps{Write: (*os.File).Write, Sync: (*os.File).Sync, Rename: os.Rename}
}

// Store persists the identity, log and snapshot of a replica in the data folder. It is not safe for concurrent use,
// except for SyncCount.
type Store struct {
	dir     string
	fileOps FileOps
	id      string
	logFile *os.File
	// lockFile stays locked while the store is open.
	lockFile *os.File
	// writeErr is the error of the first failed write or sync. Nothing is written after it: a failed sync may have
	// dropped pages that a second sync would report as written, and a record after a partial one could not be read.
	writeErr  error
	syncCount atomic.Int64
}

// SyncCount returns the number of syncs since the store was opened.
func (s *Store) SyncCount() int64 { return s.syncCount.Load() }

func (s *Store) sync(f *os.File) error {
	s.syncCount.Add(1)
	return s.fileOps.Sync(f)
}

type logRecord struct {
	Header  *logHeader      `json:"start,omitempty"`
	Hard    *raft.HardState `json:"hard,omitempty"`
	Entries []raft.Entry    `json:"entries,omitempty"`
}

// logHeader is the first record of a log.
type logHeader struct {
	ID string `json:"id"`
	// Base is the index of the snapshot that the log follows, or 0 without a snapshot.
	Base uint64 `json:"base"`
}

// Open reads the data folder, creating it if it is missing, and truncates a torn record at the end of the log. firstStart is
// recorded in the identity of a new disk.
func Open(dir string, firstStart bool) (*Store, Contents, error) {
	return OpenWith(dir, firstStart, OSFileOps())
}

// OpenWith is like Open but uses the given file operations.
func OpenWith(dir string, firstStart bool, fileOps FileOps) (*Store, Contents, error) {
	if err := os.MkdirAll(dir, 0o700); err != nil {
		return nil, Contents{}, errors.Wrap(err, "create data folder")
	}
	lockFile, err := lockDir(dir)
	if err != nil {
		return nil, Contents{}, errors.Wrapf(err, "lock %s", dir)
	}
	s := &Store{dir: dir, fileOps: fileOps, lockFile: lockFile}
	c, err := s.load(firstStart)
	if err != nil {
		_ = lockFile.Close()
		return nil, Contents{}, errors.Wrapf(err, "load %s", dir)
	}
	return s, c, nil
}

// SaveIdentity replaces the identity file and syncs it.
func (s *Store) SaveIdentity(id Identity) error {
	return s.writeUnlessFailed(func() error { return s.replaceFile(identityFileName, id) })
}

// Append appends a record to the log and syncs it. The entries replace all stored entries from entries[0].Index on.
func (s *Store) Append(hardState *raft.HardState, entries []raft.Entry) error {
	return s.writeUnlessFailed(func() error {
		b, err := encode(logRecord{Hard: hardState, Entries: entries})
		if err != nil {
			return err
		}
		if _, err := s.fileOps.Write(s.logFile, b); err != nil {
			return errors.Wrap(err, "write log")
		}
		return errs.Wrap(s.sync(s.logFile), "sync log")
	})
}

// SaveSnapshot writes a snapshot and replaces the log with the entries after the snapshot.
func (s *Store) SaveSnapshot(snap raft.Snapshot, hardState raft.HardState, tail []raft.Entry) error {
	return s.writeUnlessFailed(func() error {
		if err := s.replaceFile(snapshotFileName, snap); err != nil {
			return errors.Wrap(err, "save snapshot")
		}
		return s.rewriteLog(snap.Index, hardState, tail)
	})
}

// Close closes the log and releases the lock on the data folder.
func (s *Store) Close() error {
	err := s.logFile.Close()
	_ = s.lockFile.Close()
	return errs.Wrap(err, "close log")
}

func (s *Store) writeUnlessFailed(write func() error) error {
	if s.writeErr != nil {
		return errors.Wrap(s.writeErr, "store rejects writes after an earlier write failure")
	}
	s.writeErr = write()
	return s.writeErr
}

func (s *Store) load(firstStart bool) (Contents, error) {
	var c Contents
	for _, n := range []string{identityFileName, logFileName, snapshotFileName} {
		if err := os.Remove(s.path(n + tmpSuffix)); err != nil && !errors.Is(err, os.ErrNotExist) {
			return c, errors.Wrap(err, "remove stale temporary file")
		}
	}
	hasIdentity, err := s.readFile(identityFileName, &c.Identity)
	if err != nil {
		return c, err
	}
	if !hasIdentity {
		return s.initialize(firstStart)
	}
	s.id = c.Identity.ID
	var snap raft.Snapshot
	hasSnapshot, err := s.readFile(snapshotFileName, &snap)
	if err != nil {
		return c, err
	}
	if hasSnapshot {
		c.Snapshot = &snap
	}
	if err := s.replayLog(&c); err != nil {
		return c, err
	}
	// Rewriting the log ensures that everything read from it is synced: after a failed sync, or a crash of the process
	// but not of the host, the end of the log may exist only in the page cache.
	return c, s.rewriteLog(c.snapshotIndex(), c.HardState, c.Log)
}

// initialize creates the log and the identity of a new disk. The log is written first, so that an identity without a
// log means that the log was lost.
func (s *Store) initialize(firstStart bool) (Contents, error) {
	if _, err := os.Stat(s.path(snapshotFileName)); err == nil {
		return Contents{}, errors.Wrap(ErrCorrupt, "found a snapshot but no identity")
	}
	if b, err := os.ReadFile(s.path(logFileName)); err == nil {
		var r logRecord
		n, err := decode(b, &r)
		if err != nil || n < len(b) {
			return Contents{}, errors.Wrap(ErrCorrupt, "found a log but no identity")
		}
	}
	var b [8]byte
	_, _ = rand.Read(b[:])
	c := Contents{Identity: Identity{ID: hex.EncodeToString(b[:]), FirstStart: firstStart}}
	s.id = c.Identity.ID
	if err := s.rewriteLog(0, c.HardState, nil); err != nil {
		return c, err
	}
	return c, s.SaveIdentity(c.Identity)
}

// rewriteLog replaces the log with a single record that follows the snapshot at base.
func (s *Store) rewriteLog(base uint64, hardState raft.HardState, entries []raft.Entry) error {
	if err := s.replaceFile(logFileName, logRecord{
		Header: &logHeader{ID: s.id, Base: base}, Hard: &hardState, Entries: entries,
	}); err != nil {
		return errors.Wrap(err, "replace log")
	}
	f, err := os.OpenFile(s.path(logFileName), os.O_WRONLY|os.O_APPEND, 0o600)
	if err != nil {
		return errors.Wrap(err, "open log")
	}
	oldLogFile := s.logFile
	s.logFile = f
	if oldLogFile == nil {
		return nil
	}
	return errs.Wrap(oldLogFile.Close(), "close old log")
}

func (s *Store) replayLog(c *Contents) error {
	b, err := os.ReadFile(s.path(logFileName))
	if errors.Is(err, os.ErrNotExist) {
		return errors.Wrap(ErrCorrupt, "the log file is missing")
	}
	if err != nil {
		return errors.Wrap(err, "read log")
	}
	base := uint64(0)
	for offset := 0; offset < len(b) || offset == 0; {
		var r logRecord
		n, err := decode(b[offset:], &r)
		if errors.Is(err, errTorn) && offset > 0 {
			break
		}
		if err != nil {
			return errors.Wrapf(asCorrupt(err), "log record at byte %d", offset)
		}
		if (offset == 0) != (r.Header != nil) || r.Header != nil && r.Header.ID != s.id {
			return errors.Wrapf(ErrCorrupt, "log record at byte %d is of the wrong type or from another disk", offset)
		}
		if r.Header != nil {
			base = r.Header.Base
		}
		if err := c.apply(base, r); err != nil {
			return err
		}
		offset += n
	}
	return c.dropSnapshotted(base)
}

// apply applies a record to the loaded log, which starts after base.
func (c *Contents) apply(base uint64, r logRecord) error {
	if r.Hard != nil {
		c.HardState = *r.Hard
	}
	for _, e := range r.Entries {
		if e.Index <= base || e.Index > base+uint64(len(c.Log))+1 {
			return errors.Wrapf(ErrCorrupt, "log entry %d follows entry %d", e.Index, base+uint64(len(c.Log)))
		}
		c.Log = append(c.Log[:e.Index-base-1], e)
	}
	return nil
}

// dropSnapshotted removes the log entries that the snapshot covers. A crash between replacing the snapshot and replacing
// the log leaves a log that starts before the snapshot and may conflict with it; a conflicting log is dropped.
func (c *Contents) dropSnapshotted(base uint64) error {
	snapshotIndex := c.snapshotIndex()
	if snapshotIndex < base {
		return errors.Wrapf(ErrCorrupt, "the log follows a snapshot at index %d, which is missing", base)
	}
	if snapshotIndex == base {
		return nil
	}
	covered := snapshotIndex - base
	if covered > uint64(len(c.Log)) || c.Log[covered-1].Term != c.Snapshot.Term {
		c.Log = nil
		return nil
	}
	c.Log = c.Log[covered:]
	return nil
}

func (c *Contents) snapshotIndex() uint64 {
	if c.Snapshot == nil {
		return 0
	}
	return c.Snapshot.Index
}

func asCorrupt(err error) error {
	if errors.Is(err, errTorn) {
		return errors.Wrap(ErrCorrupt, err.Error())
	}
	return err
}

// readFile decodes a file that holds a single record. It returns false if the file does not exist.
func (s *Store) readFile(name string, v any) (bool, error) {
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
		return false, errors.Wrapf(ErrCorrupt, "%s: unexpected data after the record", name)
	}
	return true, nil
}

// replaceFile replaces a file atomically by renaming a temporary file, so that a crash leaves either the old or the new
// content.
func (s *Store) replaceFile(name string, v any) error {
	b, err := encode(v)
	if err != nil {
		return err
	}
	f, err := os.OpenFile(s.path(name+tmpSuffix), os.O_WRONLY|os.O_CREATE|os.O_TRUNC, 0o600)
	if err != nil {
		return errors.Wrap(err, "create temporary file")
	}
	defer func() { _ = f.Close() }()
	if _, err := s.fileOps.Write(f, b); err != nil {
		return errors.Wrap(err, "write temporary file")
	}
	if err := s.sync(f); err != nil {
		return errors.Wrap(err, "sync temporary file")
	}
	if err := s.fileOps.Rename(f.Name(), s.path(name)); err != nil {
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
