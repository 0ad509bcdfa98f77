package disklog

import (
	"os"

	"github.com/gofrs/flock"

	"github.com/cassiapass/cassiapass/internal/port"
)

const (
	dirMode  = 0o750
	fileMode = 0o640
)

// osFS is the operating system's file system.
type osFS struct{}

var _ port.FS = osFS{}

func (osFS) MkdirAll(dir string) error { return os.MkdirAll(dir, dirMode) }

func (osFS) List(dir string) ([]string, error) {
	dirEntries, err := os.ReadDir(dir)
	if err != nil {
		return nil, err
	}
	names := make([]string, 0, len(dirEntries))
	for _, de := range dirEntries {
		names = append(names, de.Name())
	}
	return names, nil
}

func (osFS) ReadFile(path string) ([]byte, error) { return os.ReadFile(path) }

func (osFS) Create(path string) (port.File, error) {
	return os.OpenFile(path, os.O_CREATE|os.O_EXCL|os.O_WRONLY, fileMode)
}

func (osFS) Rename(from, to string) error { return os.Rename(from, to) }

func (osFS) Remove(path string) error { return os.Remove(path) }

func (osFS) SyncDir(dir string) error {
	d, err := os.Open(dir)
	if err != nil {
		return err
	}
	defer d.Close()
	return d.Sync()
}

func (osFS) Lock(path string) (func() error, bool, error) {
	l := flock.New(path)
	locked, err := l.TryLock()
	return l.Unlock, locked, err
}
