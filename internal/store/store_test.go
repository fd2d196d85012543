package store_test

import (
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"sync/atomic"
	"syscall"
	"testing"

	"github.com/matryer/is"

	"baobabreach/internal/raft"
	"baobabreach/internal/store"
)

func entry(i uint64) raft.Entry {
	return raft.Entry{Index: i, Term: 1, Kind: raft.EntryCommand, Data: []byte(fmt.Sprint("command ", i))}
}

// createLog creates a data folder whose log has three synced records after its header. It also returns the
// offset of the last of them in the log.
func createLog(t *testing.T) (dir string, lastOffset int64) {
	is := is.New(t)
	dir = t.TempDir()
	s, _, err := store.Open(dir, false)
	is.NoErr(err)
	for i := uint64(1); i <= 3; i++ {
		st, err := os.Stat(filepath.Join(dir, "log"))
		is.NoErr(err)
		lastOffset = st.Size()
		is.NoErr(s.Append(&raft.HardState{Term: i}, []raft.Entry{entry(i)}))
	}
	is.NoErr(s.Close())
	return dir, lastOffset
}

// Guards against opening damaged data, and against refusing to open if no acknowledged data is lost.
func TestOpenDamagedFolder(t *testing.T) {
	editFile := func(name string, fn func(b []byte, lastOffset int64) []byte) func(string, int64) error {
		return func(dir string, lastOffset int64) error {
			b, err := os.ReadFile(filepath.Join(dir, name))
			if err != nil {
				return err
			}
			return os.WriteFile(filepath.Join(dir, name), fn(b, lastOffset), 0o600)
		}
	}
	flipLogBit := func(at func(lastOffset int64) int64) func(string, int64) error {
		return editFile("log", func(b []byte, lastOffset int64) []byte { b[at(lastOffset)] ^= 1; return b })
	}
	for name, c := range map[string]struct {
		damage func(dir string, lastOffset int64) error
		// entries is the number of recovered entries, or 0 if Open must return ErrCorrupt.
		entries int
	}{
		"none":                    {func(string, int64) error { return nil }, 3},
		"torn header":             {editFile("log", func(b []byte, lastOffset int64) []byte { return b[:lastOffset+5] }), 2},
		"torn payload":            {editFile("log", func(b []byte, lastOffset int64) []byte { return b[:len(b)-1] }), 2},
		"flipped in the middle":   {flipLogBit(func(int64) int64 { return 30 }), 0},
		"flipped payload of tail": {flipLogBit(func(lastOffset int64) int64 { return lastOffset + 20 }), 0},
		"flipped length of tail":  {flipLogBit(func(lastOffset int64) int64 { return lastOffset + 1 }), 0},
		"flipped identity":        {editFile("identity", func(b []byte, _ int64) []byte { b[20] ^= 1; return b }), 0},
		"missing log":             {func(dir string, _ int64) error { return os.Remove(filepath.Join(dir, "log")) }, 0},
		"empty log":               {editFile("log", func([]byte, int64) []byte { return nil }), 0},
		"missing identity":        {func(dir string, _ int64) error { return os.Remove(filepath.Join(dir, "identity")) }, 0},
		"half-written snapshot": {func(dir string, _ int64) error {
			return os.WriteFile(filepath.Join(dir, "snapshot"), []byte("{"), 0o600)
		}, 0},
		"stale temporary file": {func(dir string, _ int64) error {
			return os.WriteFile(filepath.Join(dir, "snapshot.tmp"), []byte("{"), 0o600)
		}, 3},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			dir, lastOffset := createLog(t)
			is.NoErr(c.damage(dir, lastOffset))
			_, contents, err := store.Open(dir, false)
			if c.entries == 0 {
				is.True(errors.Is(err, store.ErrCorrupt))
				return
			}
			is.NoErr(err)
			is.Equal(len(contents.Log), c.entries)
			is.Equal(contents.HardState.Term, uint64(c.entries))
			_, err = os.Stat(filepath.Join(dir, "snapshot.tmp"))
			is.True(os.IsNotExist(err)) // stale temporary files are removed
		})
	}
}

// Guards against writes after a failed write or sync, which could report data as durable that is not.
func TestFailedWrites(t *testing.T) {
	for name, c := range map[string]func(f *store.FileOps){
		"full disk": func(f *store.FileOps) {
			f.Write = func(f *os.File, b []byte) (int, error) {
				n, _ := f.Write(b[:len(b)/2])
				return n, syscall.ENOSPC
			}
		},
		"failed sync": func(f *store.FileOps) { f.Sync = func(*os.File) error { return syscall.EIO } },
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			dir, _ := createLog(t)
			workingOps := store.OSFileOps()
			workingOps.Write = func(f *os.File, b []byte) (int, error) { return f.Write(b) }
			failingOps := workingOps
			c(&failingOps)
			var failing atomic.Bool
			currentOps := func() store.FileOps {
				if failing.Load() {
					return failingOps
				}
				return workingOps
			}
			s, _, err := store.OpenWith(dir, false, store.FileOps{
				Write: func(f *os.File, b []byte) (int, error) { return currentOps().Write(f, b) },
				Sync:  func(f *os.File) error { return currentOps().Sync(f) }, Rename: workingOps.Rename,
			})
			is.NoErr(err)
			failing.Store(true)
			is.True(s.Append(nil, []raft.Entry{entry(4)}) != nil)
			failing.Store(false)
			is.True(s.Append(nil, []raft.Entry{entry(4)}) != nil) // the store keeps rejecting writes
			is.True(s.SaveIdentity(store.Identity{ID: "x"}) != nil)
			is.NoErr(s.Close()) // closes the files like the end of the process does
			_, contents, err := store.Open(dir, false)
			is.NoErr(err)
			is.True(len(contents.Log) >= 3) // acknowledged entries are still in the log
		})
	}
}

// Guards against a crash between renaming the snapshot and renaming the log: the old log must match the snapshot or be
// dropped.
func TestSnapshotWithOldLog(t *testing.T) {
	for term, want := range map[uint64]int{1: 1, 2: 0} {
		is := is.New(t)
		dir, _ := createLog(t)
		old, err := os.ReadFile(filepath.Join(dir, "log"))
		is.NoErr(err)
		s, _, err := store.Open(dir, false)
		is.NoErr(err)
		is.NoErr(s.SaveSnapshot(raft.Snapshot{Index: 2, Term: term}, raft.HardState{Term: 3}, nil))
		is.NoErr(s.Close())
		is.NoErr(os.WriteFile(filepath.Join(dir, "log"), old, 0o600))
		s, contents, err := store.Open(dir, false)
		is.NoErr(err)
		is.Equal(len(contents.Log), want)
		is.NoErr(s.Close())
		is.NoErr(os.Remove(filepath.Join(dir, "snapshot")))
		_, _, err = store.Open(dir, false)
		is.True(errors.Is(err, store.ErrCorrupt)) // a lost snapshot must not look like an empty state
	}
}

// BenchmarkAppend measures synced appends, with up to 64 proposals per sync as in the main loop of the node.
func BenchmarkAppend(b *testing.B) {
	for _, batch := range []int{1, 64} {
		b.Run(fmt.Sprint(batch), func(b *testing.B) {
			s, _, err := store.Open(b.TempDir(), false)
			is.New(b).NoErr(err)
			next := uint64(1)
			for b.Loop() {
				es := make([]raft.Entry, batch)
				for i := range es {
					es[i] = entry(next)
					next++
				}
				is.New(b).NoErr(s.Append(nil, es))
			}
			b.ReportMetric(float64(next-1)/b.Elapsed().Seconds(), "entries/s")
		})
	}
}

// Guards against two processes that run a replica with the same identity.
func TestFolderIsLocked(t *testing.T) {
	is := is.New(t)
	dir := t.TempDir()
	first, _, err := store.Open(dir, false)
	is.NoErr(err)
	_, _, err = store.Open(dir, false)
	is.True(errors.Is(err, store.ErrLocked))
	is.NoErr(first.Close())
	second, _, err := store.Open(dir, false)
	is.NoErr(err)
	is.NoErr(second.Close())
}
