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

// filled returns a folder with three synced records after the start of the log, and the size before the last.
func filled(t *testing.T) (dir string, beforeLast int64) {
	is := is.New(t)
	dir = t.TempDir()
	s, _, err := store.Open(dir)
	is.NoErr(err)
	for i := uint64(1); i <= 3; i++ {
		st, err := os.Stat(filepath.Join(dir, "log"))
		is.NoErr(err)
		beforeLast = st.Size()
		is.NoErr(s.Append(&raft.HardState{Term: i}, []raft.Entry{entry(i)}))
	}
	is.NoErr(s.Close())
	return dir, beforeLast
}

// Guards against a start on damaged data, and against a refusal where nothing acknowledged is lost.
func TestDamage(t *testing.T) {
	edit := func(name string, fn func(b []byte, last int64) []byte) func(string, int64) error {
		return func(dir string, last int64) error {
			b, err := os.ReadFile(filepath.Join(dir, name))
			if err != nil {
				return err
			}
			return os.WriteFile(filepath.Join(dir, name), fn(b, last), 0o600)
		}
	}
	flip := func(at func(last int64) int64) func(string, int64) error {
		return edit("log", func(b []byte, last int64) []byte { b[at(last)] ^= 1; return b })
	}
	for name, c := range map[string]struct {
		damage func(dir string, last int64) error
		// entries is the number recovered; 0 means that Open must refuse.
		entries int
	}{
		"none":                    {func(string, int64) error { return nil }, 3},
		"torn header":             {edit("log", func(b []byte, last int64) []byte { return b[:last+5] }), 2},
		"torn payload":            {edit("log", func(b []byte, last int64) []byte { return b[:len(b)-1] }), 2},
		"flipped in the middle":   {flip(func(int64) int64 { return 30 }), 0},
		"flipped payload of tail": {flip(func(last int64) int64 { return last + 20 }), 0},
		"flipped length of tail":  {flip(func(last int64) int64 { return last + 1 }), 0},
		"flipped identity":        {edit("identity", func(b []byte, _ int64) []byte { b[20] ^= 1; return b }), 0},
		"missing log":             {func(dir string, _ int64) error { return os.Remove(filepath.Join(dir, "log")) }, 0},
		"empty log":               {edit("log", func([]byte, int64) []byte { return nil }), 0},
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
			dir, last := filled(t)
			is.NoErr(c.damage(dir, last))
			_, l, err := store.Open(dir)
			if c.entries == 0 {
				is.True(errors.Is(err, store.ErrCorrupt))
				return
			}
			is.NoErr(err)
			is.Equal(len(l.Log), c.entries)
			is.Equal(l.HardState.Term, uint64(c.entries))
			_, err = os.Stat(filepath.Join(dir, "snapshot.tmp"))
			is.True(os.IsNotExist(err)) // stale temporary files are removed
		})
	}
}

// Guards against a write after a failed write or sync, which could report as durable what is not.
func TestFailedWrites(t *testing.T) {
	for name, c := range map[string]func(f *store.Files){
		"full disk": func(f *store.Files) {
			f.Write = func(f *os.File, b []byte) (int, error) {
				n, _ := f.Write(b[:len(b)/2])
				return n, syscall.ENOSPC
			}
		},
		"failed sync": func(f *store.Files) { f.Sync = func(*os.File) error { return syscall.EIO } },
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			dir, _ := filled(t)
			files := store.Disk()
			files.Write = func(f *os.File, b []byte) (int, error) { return f.Write(b) }
			broken := files
			c(&broken)
			var failing atomic.Bool
			pick := func() store.Files {
				if failing.Load() {
					return broken
				}
				return files
			}
			s, _, err := store.OpenWith(dir, store.Files{
				Write: func(f *os.File, b []byte) (int, error) { return pick().Write(f, b) },
				Sync:  func(f *os.File) error { return pick().Sync(f) }, Rename: files.Rename,
			})
			is.NoErr(err)
			failing.Store(true)
			is.True(s.Append(nil, []raft.Entry{entry(4)}) != nil)
			failing.Store(false)
			is.True(s.Append(nil, []raft.Entry{entry(4)}) != nil) // the store stays stopped
			is.True(s.SaveIdentity(store.Identity{ID: "x"}) != nil)
			is.NoErr(s.Close()) // as the end of the process would
			_, l, err := store.Open(dir)
			is.NoErr(err)
			is.True(len(l.Log) >= 3) // what was acknowledged is still there
		})
	}
}

// Guards against a crash between the two renames of a snapshot: the old log must fit or be dropped.
func TestSnapshotWithOldLog(t *testing.T) {
	for term, want := range map[uint64]int{1: 1, 2: 0} {
		is := is.New(t)
		dir, _ := filled(t)
		old, err := os.ReadFile(filepath.Join(dir, "log"))
		is.NoErr(err)
		s, _, err := store.Open(dir)
		is.NoErr(err)
		is.NoErr(s.SaveSnapshot(raft.Snapshot{Index: 2, Term: term}, raft.HardState{Term: 3}, nil))
		is.NoErr(s.Close())
		is.NoErr(os.WriteFile(filepath.Join(dir, "log"), old, 0o600))
		s, l, err := store.Open(dir)
		is.NoErr(err)
		is.Equal(len(l.Log), want)
		is.NoErr(s.Close())
		is.NoErr(os.Remove(filepath.Join(dir, "snapshot")))
		_, _, err = store.Open(dir)
		is.True(errors.Is(err, store.ErrCorrupt)) // a lost snapshot must not look like an empty state
	}
}

// BenchmarkAppend measures synced appends; 64 proposals share one sync, as in the node's loop.
func BenchmarkAppend(b *testing.B) {
	for _, batch := range []int{1, 64} {
		b.Run(fmt.Sprint(batch), func(b *testing.B) {
			s, _, err := store.Open(b.TempDir())
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

// Guards against two processes that run one replica with one identity.
func TestFolderIsLocked(t *testing.T) {
	is := is.New(t)
	dir := t.TempDir()
	first, _, err := store.Open(dir)
	is.NoErr(err)
	_, _, err = store.Open(dir)
	is.True(errors.Is(err, store.ErrLocked))
	is.NoErr(first.Close())
	second, _, err := store.Open(dir)
	is.NoErr(err)
	is.NoErr(second.Close())
}
