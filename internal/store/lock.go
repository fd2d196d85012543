package store

import (
	"os"
	"path/filepath"

	"github.com/go-faster/errors"
	"golang.org/x/sys/unix"
)

// ErrLocked means that another process has opened the data folder.
var ErrLocked = errors.New("data folder is in use by another process")

const lockFileName = "lock"

// lockDir locks the data folder against other processes: two replicas with the same identity could vote twice. The
// kernel releases the lock when the process ends.
func lockDir(dir string) (*os.File, error) {
	f, err := os.OpenFile(filepath.Join(dir, lockFileName), os.O_RDWR|os.O_CREATE, 0o600)
	if err != nil {
		return nil, errors.Wrap(err, "open lock file")
	}
	if err := unix.Flock(int(f.Fd()), unix.LOCK_EX|unix.LOCK_NB); err != nil {
		_ = f.Close()
		return nil, errors.Wrapf(ErrLocked, "%v", err)
	}
	return f, nil
}
