package disklog

import (
	"errors"
	"fmt"
	"path/filepath"
	"slices"
	"strconv"
	"strings"

	"github.com/samber/oops"

	"github.com/cassiapass/cassiapass/internal/core/consensus"
	"github.com/cassiapass/cassiapass/internal/port"
)

const (
	segmentBytes = 16 << 20
	lockName     = "lock"
	segmentExt   = ".log"
	snapshotExt  = ".snap"
	tempExt      = ".tmp"
)

// ErrFailed means that an earlier write or sync failed and the log accepts no more
// writes.
var ErrFailed = errors.New("an earlier write or sync failed; restart the process after mending the disk")

// ErrDamaged means that data which may have been acknowledged is missing or corrupt.
// The folder must not be used again under its identity.
var ErrDamaged = errors.New("the data folder is damaged")

// Folder is a data folder.
type Folder struct {
	Dir string
	FS  port.FS // nil for the operating system's
}

func (f Folder) fs() port.FS {
	if f.FS == nil {
		return osFS{}
	}
	return f.FS
}

func (f Folder) path(name string) string { return filepath.Join(f.Dir, name) }

// Log is an open data folder. It implements port.Disk.
type Log struct {
	folder      Folder
	fs          port.FS
	unlock      func() error
	current     port.File
	size        int64
	last        uint64            // last index written
	maxIndex    map[string]uint64 // last index that a segment may hold, by segment path
	segmentPath string            // current segment path
	hardState   consensus.HardState
	failed      bool
	seq         uint64
	buf         []byte
}

// Restored is the state that Open read from the folder.
type Restored struct {
	Identity  Identity
	HardState consensus.HardState
	Snapshot  consensus.Snapshot
	Entries   []consensus.Entry
	TornBytes int // bytes truncated from the end of the last segment
	Segments  []Segment
}

// Segment is what a start read from one log segment.
type Segment struct {
	Number      uint64
	First, Last uint64 // range of entries, zero if it holds none
	TornBytes   int    // bytes after the last whole frame
}

// String returns the number, the entries and the torn bytes if there are any, for logs.
func (s Segment) String() string {
	out := fmt.Sprintf("%d:%d-%d", s.Number, s.First, s.Last)
	if s.TornBytes > 0 {
		out += fmt.Sprintf("+%dB", s.TornBytes)
	}
	return out
}

// Open locks and reads the data folder, creating it if it does not exist.
// newIdentity is called if the folder has no identity yet. With ErrDamaged, Restored holds what
// was read up to the damage.
func (f Folder) Open(newIdentity func() Identity) (*Log, *Restored, error) {
	l := &Log{folder: f, fs: f.fs(), maxIndex: map[string]uint64{}}
	if err := l.fs.MkdirAll(f.Dir); err != nil {
		return nil, nil, oops.Wrapf(err, "create data folder")
	}
	unlock, locked, err := l.fs.Lock(f.path(lockName))
	if err != nil {
		return nil, nil, oops.Wrapf(err, "lock data folder %s", f.Dir)
	}
	if !locked {
		return nil, nil, oops.Errorf("data folder %s is in use by another process", f.Dir)
	}
	l.unlock = unlock
	res, err := l.recover(newIdentity)
	if err != nil {
		_ = unlock()
		return nil, res, err
	}
	l.hardState = res.HardState
	l.last = res.Snapshot.Index + uint64(len(res.Entries))
	// Each start begins a new segment, so that nothing is ever appended after a
	// frame that a crash may have torn.
	if err := l.rotate(); err != nil {
		_ = unlock()
		return nil, nil, err
	}
	return l, res, nil
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
		l.hardState = *hs
		l.buf = appendFrame(l.buf, frameHardState, encodeHardState(*hs))
	}
	if len(l.buf) == 0 {
		return nil
	}
	if err := l.write(l.buf); err != nil {
		return err
	}
	l.maxIndex[l.segmentPath] = max(l.maxIndex[l.segmentPath], l.last)
	if l.size >= segmentBytes {
		return l.rotate()
	}
	return nil
}

// write appends b to the segment and syncs it. After any failure the log accepts no
// more writes.
func (l *Log) write(b []byte) error {
	if _, err := l.current.Write(b); err != nil {
		l.failed = true
		return oops.With("file", l.segmentPath).Wrapf(err, "write log")
	}
	if err := l.current.Sync(); err != nil {
		l.failed = true
		return oops.With("file", l.segmentPath).Wrapf(err, "sync log")
	}
	l.size += int64(len(b))
	return nil
}

// rotate starts a new segment. Its first frame repeats the hard state, so that older
// segments can be removed.
func (l *Log) rotate() error {
	if l.current != nil {
		if err := l.current.Close(); err != nil {
			l.failed = true
			return oops.Wrapf(err, "close segment")
		}
	}
	l.seq++
	l.segmentPath = filepath.Join(l.folder.Dir, fmt.Sprintf("%016x%s", l.seq, segmentExt))
	f, err := l.fs.Create(l.segmentPath)
	if err != nil {
		l.failed = true
		return oops.Wrapf(err, "create segment")
	}
	l.current, l.size = f, 0
	l.maxIndex[l.segmentPath] = l.last
	if err := l.write(appendFrame(nil, frameHardState, encodeHardState(l.hardState))); err != nil {
		return err
	}
	return l.folder.sync()
}

// SaveSnapshot implements port.Disk. The snapshot is written to a temporary file,
// synced and renamed before the segments that it replaces are removed.
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
	return l.removeObsolete(s.Index)
}

func (l *Log) removeObsolete(index uint64) error {
	names, err := l.folder.list(segmentExt)
	if err != nil {
		return err
	}
	for _, name := range names {
		if name == l.segmentPath || l.maxIndex[name] > index {
			break // later segments may depend on the truncation of the log by this one
		}
		if err := l.fs.Remove(name); err != nil {
			return oops.Wrapf(err, "remove old segment")
		}
		delete(l.maxIndex, name)
	}
	snaps, err := l.folder.list(snapshotExt)
	if err != nil {
		return err
	}
	for _, name := range snaps[:max(0, len(snaps)-keepSnapshots)] {
		if err := l.fs.Remove(name); err != nil {
			return oops.Wrapf(err, "remove old snapshot")
		}
	}
	return l.folder.sync()
}

const keepSnapshots = 1

// Close closes the segment and releases the lock. It need not sync: everything
// acknowledged has been synced.
func (l *Log) Close() error {
	err := l.current.Close()
	return errors.Join(err, l.unlock())
}

// list returns the paths with the given extension, oldest first.
func (f Folder) list(ext string) ([]string, error) {
	names, err := f.fs().List(f.Dir)
	if err != nil {
		return nil, oops.Wrapf(err, "list data folder")
	}
	var out []string
	for _, name := range names {
		if strings.HasSuffix(name, ext) {
			out = append(out, f.path(name))
		}
	}
	slices.Sort(out)
	return out, nil
}

// fileNumber returns the number in the file name of a segment or snapshot.
func fileNumber(path string) (uint64, error) {
	base := filepath.Base(path)
	stem, _, _ := strings.Cut(base, ".")
	n, err := strconv.ParseUint(stem, 16, 64)
	if err != nil {
		return 0, oops.Errorf("%s: the name is not a number; it was not written by this program, move it away", path)
	}
	return n, nil
}

func (f Folder) sync() error {
	if err := f.fs().SyncDir(f.Dir); err != nil {
		return oops.Wrapf(err, "sync data folder")
	}
	return nil
}
