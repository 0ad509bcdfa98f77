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
	segmentBytes  = 16 << 20
	maxKeptBuffer = 1 << 20 // bytes of the write buffer kept between writes
	lockName      = "lock"
	segmentExt    = ".seg"
	snapshotExt   = ".snap"
	tempExt       = ".tmp"
)

// ErrFailed means that an earlier write or sync failed and the log accepts no more
// writes.
var ErrFailed = errors.New("an earlier write or sync failed; restart the process after mending the disk")

// ErrDamaged means that data which may have been acknowledged is missing or corrupt.
// The folder must not be used again under its identity.
var ErrDamaged = errors.New("the data folder is damaged")

// ErrNewer means that the folder was written by a newer release, which must be used to read it.
var ErrNewer = errors.New("the data folder was written by a newer release")

// errBrokenFrame is the cause of ErrDamaged for a frame whose checksum does not match.
var errBrokenFrame = errors.New("a broken frame precedes data that was acknowledged")

// remedy tells an operator what to do with a damaged folder.
const remedy = "move the whole data folder away, remove this member from the group and let the host join as a new one"

// damaged reports damage of a file at an offset.
func damaged(path string, offset int, cause error) error {
	kind := ErrDamaged
	if errors.Is(cause, ErrNewer) {
		kind = ErrNewer
	}
	return oops.With("file", path, "offset", offset).Wrapf(errors.Join(kind, cause), "segment %s at offset %d; %s", path, offset, remedy)
}

// Folder is a data folder.
type Folder struct {
	Dir string
	FS  port.FS // nil for the operating system's

	segmentBytes int64 // replaces the constant of this name if not 0
}

func (f Folder) segmentSize() int64 {
	if f.segmentBytes > 0 {
		return f.segmentBytes
	}
	return segmentBytes
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
	last        uint64            // last index written
	maxIndex    map[string]uint64 // last index that a segment may hold, by segment path
	segmentPath string            // current segment path
	place       place             // of the next frame
	generation  uint64            // of the segments and snapshots in use
	hardState   consensus.HardState
	failed      bool
	buf         []byte
}

// Restored is the state that Open read from the folder.
type Restored struct {
	Identity  Identity
	HardState consensus.HardState
	Snapshot  consensus.Snapshot
	Entries   []consensus.Entry
	TornBytes int // bytes after the last whole frame of the last segment
	Segments  []Segment
	// newest is the number of Entries that the newest frame holds. Its sync may never have
	// happened, if the process was killed, or have failed.
	newest int
}

// maybeUnsynced returns the entries that may be gone after a loss of power.
func (r *Restored) maybeUnsynced() []consensus.Entry {
	return r.Entries[len(r.Entries)-min(r.newest, len(r.Entries)):]
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
	if err := l.begin(res.maybeUnsynced()); err != nil {
		_ = unlock()
		return nil, nil, err
	}
	return l, res, nil
}

// begin prepares a folder that was read for writing: a new segment, because the last one may end
// in a torn frame. The segment repeats the entries that may not be durable where they were read.
func (l *Log) begin(maybeUnsynced []consensus.Entry) error {
	if err := l.folder.writeBarrier(); err != nil {
		return err
	}
	return l.rotate(maybeUnsynced)
}

// Save implements port.Disk.
func (l *Log) Save(entries []consensus.Entry, hs *consensus.HardState) error {
	if l.failed {
		return ErrFailed
	}
	if len(entries) == 0 && hs == nil {
		return nil
	}
	if err := l.write(batch{kind: batchSave, hardState: hs, entries: entries}); err != nil {
		return err
	}
	if len(entries) > 0 {
		l.last = entries[len(entries)-1].Index
	}
	if hs != nil {
		l.hardState = *hs
	}
	l.maxIndex[l.segmentPath] = max(l.maxIndex[l.segmentPath], l.last)
	if l.place.offset >= l.folder.segmentSize() {
		return l.rotate(nil)
	}
	return nil
}

// write appends one frame to the segment and syncs it. After any failure the log accepts no
// more writes.
func (l *Log) write(b batch) error {
	l.buf = appendFrame(l.buf[:0], l.place, b)
	if _, err := l.current.Write(l.buf); err != nil {
		l.failed = true
		return oops.With("file", l.segmentPath).Wrapf(err, "write log")
	}
	if err := l.current.Sync(); err != nil {
		l.failed = true
		return oops.With("file", l.segmentPath).Wrapf(err, "sync log")
	}
	l.place.offset += int64(len(l.buf))
	if cap(l.buf) > maxKeptBuffer {
		l.buf = nil
	}
	return nil
}

// rotate starts a new segment. Its first frame repeats the hard state, so that older
// segments can be removed, and the given entries.
func (l *Log) rotate(repeated []consensus.Entry) error {
	if l.current != nil {
		if err := l.current.Close(); err != nil {
			l.failed = true
			return oops.Wrapf(err, "close segment")
		}
	}
	l.place.segment++
	l.place.offset = 0
	l.segmentPath = l.folder.path(l.folder.segmentName(l.place.segment, l.generation))
	f, err := l.fs.Create(l.segmentPath)
	if err != nil {
		l.failed = true
		return oops.Wrapf(err, "create segment")
	}
	l.current = f
	l.maxIndex[l.segmentPath] = l.last
	if err := l.write(batch{kind: batchStart, last: l.last, hardState: &l.hardState, entries: repeated}); err != nil {
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
	if err := l.rotate(nil); err != nil {
		return err
	}
	return l.removeObsolete(s.Index)
}

func (l *Log) removeObsolete(index uint64) error {
	segs, err := l.folder.segments(l.generation)
	if err != nil {
		return err
	}
	for _, name := range segs {
		if name == l.segmentPath || l.maxIndex[name] > index {
			break // later segments may depend on the truncation of the log by this one
		}
		if err := l.fs.Remove(name); err != nil {
			return oops.Wrapf(err, "remove old segment")
		}
		delete(l.maxIndex, name)
	}
	snaps, err := l.folder.list(extension(snapshotExt, l.generation))
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

// segments returns the paths of all segments of a generation, oldest first.
func (f Folder) segments(generation uint64) ([]string, error) {
	present, err := f.list(extension(segmentExt, generation))
	if err != nil || generation > 0 {
		return present, err
	}
	old, err := f.list(segmentExt1)
	old = slices.DeleteFunc(old, func(path string) bool { return filepath.Base(path) == barrierName })
	return append(old, present...), err
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
