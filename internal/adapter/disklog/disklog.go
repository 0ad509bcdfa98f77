package disklog

import (
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"slices"
	"strconv"
	"strings"

	"github.com/gofrs/flock"
	"github.com/samber/oops"

	"github.com/cassiapass/cassiapass/internal/core/consensus"
)

const (
	segmentBytes = 16 << 20
	lockName     = "lock"
	segmentExt   = ".log"
	snapshotExt  = ".snap"
	tempExt      = ".tmp"
	dirMode      = 0o750
	fileMode     = 0o640
)

// ErrFailed tells that an earlier write failed and the folder is closed.
var ErrFailed = errors.New("an earlier write or sync failed; restart the process after mending the disk")

// ErrDamaged tells that the folder lacks or garbles something that may have been
// acknowledged. It must not be used again under its identity.
var ErrDamaged = errors.New("the data folder is damaged")

// file is what the log needs of a segment file; tests hand in one that fails.
type file interface {
	Write(p []byte) (int, error)
	Sync() error
	Close() error
}

// Log is an open data folder. It implements port.Disk.
type Log struct {
	dir     string
	lock    *flock.Flock
	create  func(path string) (file, error)
	current file
	size    int64
	last    uint64            // last index written
	starts  map[string]uint64 // segment path to the last index it may hold
	name    string            // current segment path
	hard    consensus.HardState
	failed  bool
	seq     uint64
	buf     []byte
}

// Restored is what Open found.
type Restored struct {
	Identity  Identity
	HardState consensus.HardState
	Snapshot  consensus.Snapshot
	Entries   []consensus.Entry
	TornBytes int // bytes cut off the end of the last segment
}

// Open locks and reads the data folder, creating it if it does not exist.
// newIdentity is called when the folder has none.
func Open(dir string, newIdentity func() Identity) (*Log, *Restored, error) {
	if err := os.MkdirAll(dir, dirMode); err != nil {
		return nil, nil, oops.Wrapf(err, "create data folder")
	}
	l := &Log{dir: dir, lock: flock.New(filepath.Join(dir, lockName)), create: createFile, starts: map[string]uint64{}}
	locked, err := l.lock.TryLock()
	if err != nil {
		return nil, nil, oops.Wrapf(err, "lock data folder %s", dir)
	}
	if !locked {
		return nil, nil, oops.Errorf("data folder %s is in use by another process", dir)
	}
	res, err := l.recover(newIdentity)
	if err != nil {
		_ = l.lock.Unlock()
		return nil, nil, err
	}
	l.hard = res.HardState
	l.last = res.Snapshot.Index + uint64(len(res.Entries))
	// A new segment at each start: nothing is ever written behind a place
	// that a crash may have torn.
	if err := l.rotate(); err != nil {
		_ = l.lock.Unlock()
		return nil, nil, err
	}
	return l, res, nil
}

func createFile(path string) (file, error) {
	return os.OpenFile(path, os.O_CREATE|os.O_EXCL|os.O_WRONLY, fileMode)
}

// Save implements port.Disk.
func (l *Log) Save(entries []consensus.Entry, hs *consensus.HardState) error {
	if l.failed {
		return ErrFailed
	}
	l.buf = l.buf[:0]
	for _, e := range entries {
		l.buf = appendFrame(l.buf, frameEntry, encodeEntry(e))
		l.last = e.Index
	}
	if hs != nil {
		l.hard = *hs
		l.buf = appendFrame(l.buf, frameHard, encodeHard(*hs))
	}
	if len(l.buf) == 0 {
		return nil
	}
	if err := l.write(l.buf); err != nil {
		return err
	}
	l.starts[l.name] = max(l.starts[l.name], l.last)
	if l.size >= segmentBytes {
		return l.rotate()
	}
	return nil
}

// write appends and syncs. Any failure closes the log for good.
func (l *Log) write(b []byte) error {
	if _, err := l.current.Write(b); err != nil {
		l.failed = true
		return oops.With("file", l.name).Wrapf(err, "write log")
	}
	if err := l.current.Sync(); err != nil {
		l.failed = true
		return oops.With("file", l.name).Wrapf(err, "sync log")
	}
	l.size += int64(len(b))
	return nil
}

// rotate starts a new segment, whose first frame repeats the hard state so that
// older segments can be dropped.
func (l *Log) rotate() error {
	if l.current != nil {
		if err := l.current.Close(); err != nil {
			l.failed = true
			return oops.Wrapf(err, "close segment")
		}
	}
	l.seq++
	l.name = filepath.Join(l.dir, fmt.Sprintf("%016x%s", l.seq, segmentExt))
	f, err := l.create(l.name)
	if err != nil {
		l.failed = true
		return oops.Wrapf(err, "create segment")
	}
	l.current, l.size = f, 0
	l.starts[l.name] = l.last
	if err := l.write(appendFrame(nil, frameHard, encodeHard(l.hard))); err != nil {
		return err
	}
	return syncDir(l.dir)
}

// SaveSnapshot implements port.Disk. The snapshot is written aside, synced and
// renamed, and only then are the segments it replaces removed.
func (l *Log) SaveSnapshot(s consensus.Snapshot) error {
	if l.failed {
		return ErrFailed
	}
	if err := l.writeSnapshot(s); err != nil {
		l.failed = true
		return err
	}
	l.last = max(l.last, s.Index)
	if err := l.rotate(); err != nil {
		return err
	}
	return l.dropOld(s.Index)
}

func (l *Log) dropOld(index uint64) error {
	names, err := l.list(segmentExt)
	if err != nil {
		return err
	}
	for _, name := range names {
		if name == l.name || l.starts[name] > index {
			break // later segments may depend on what this one truncates
		}
		if err := os.Remove(name); err != nil {
			return oops.Wrapf(err, "remove old segment")
		}
		delete(l.starts, name)
	}
	snaps, err := l.list(snapshotExt)
	if err != nil {
		return err
	}
	for _, name := range snaps[:max(0, len(snaps)-keepSnapshots)] {
		if err := os.Remove(name); err != nil {
			return oops.Wrapf(err, "remove old snapshot")
		}
	}
	return syncDir(l.dir)
}

const keepSnapshots = 1

// Close syncs nothing: everything acknowledged is synced already.
func (l *Log) Close() error {
	err := l.current.Close()
	return errors.Join(err, l.lock.Unlock())
}

// list returns the paths with the given extension, oldest first.
func (l *Log) list(ext string) ([]string, error) {
	des, err := os.ReadDir(l.dir)
	if err != nil {
		return nil, oops.Wrapf(err, "list data folder")
	}
	var out []string
	for _, de := range des {
		if strings.HasSuffix(de.Name(), ext) {
			out = append(out, filepath.Join(l.dir, de.Name()))
		}
	}
	slices.Sort(out)
	return out, nil
}

// number returns the number in a segment's or snapshot's name.
func number(path string) (uint64, error) {
	base := filepath.Base(path)
	stem, _, _ := strings.Cut(base, ".")
	n, err := strconv.ParseUint(stem, 16, 64)
	if err != nil {
		return 0, oops.Errorf("%s: the name is not a number; it was not written by this program, move it away", path)
	}
	return n, nil
}

func syncDir(dir string) error {
	d, err := os.Open(dir)
	if err != nil {
		return oops.Wrapf(err, "open data folder")
	}
	defer d.Close()
	if err := d.Sync(); err != nil {
		return oops.Wrapf(err, "sync data folder")
	}
	return nil
}
