package disklog

import (
	"encoding/json"
	"errors"
	"fmt"
	"io/fs"
	"path/filepath"

	"github.com/samber/oops"

	"github.com/cassiapass/cassiapass/internal/core/consensus"
	"github.com/cassiapass/cassiapass/internal/port"
)

// replace replaces a file atomically, by write, sync, rename and directory sync: a
// crash leaves either the old or the new content.
func (f Folder) replace(path string, b []byte) error {
	tmp := path + tempExt
	if err := f.fs().Remove(tmp); err != nil && !errors.Is(err, fs.ErrNotExist) {
		return oops.Wrapf(err, "remove %s", tmp)
	}
	w, err := f.fs().Create(tmp)
	if err != nil {
		return oops.Wrapf(err, "create %s", tmp)
	}
	if _, err = w.Write(b); err == nil {
		err = w.Sync()
	}
	if cerr := w.Close(); err == nil {
		err = cerr
	}
	if err == nil {
		err = f.fs().Rename(tmp, path)
	}
	if err != nil {
		return oops.Wrapf(err, "write %s", path)
	}
	return f.sync()
}

func (l *Log) writeSnapshot(s consensus.Snapshot) error {
	b, err := json.Marshal(s)
	if err != nil {
		return oops.Wrapf(err, "encode snapshot")
	}
	path := l.folder.path(fmt.Sprintf("%016x%s", s.Index, extension(snapshotExt, l.generation)))
	return l.folder.replace(path, appendChecksum(b))
}

func appendChecksum(b []byte) []byte {
	sum := checksum1(0, b)
	return append(b, byte(sum>>24), byte(sum>>16), byte(sum>>8), byte(sum))
}

func (f Folder) readSnapshot(path string) (consensus.Snapshot, error) {
	var s consensus.Snapshot
	b, err := f.fs().ReadFile(path)
	if err != nil {
		return s, oops.Wrapf(err, "read snapshot")
	}
	damaged := oops.Wrapf(ErrDamaged, "%s: the checksum of the snapshot does not match; %s", path, remedy)
	if len(b) < 4 {
		return s, damaged
	}
	body, tail := b[:len(b)-4], b[len(b)-4:]
	sum := uint32(tail[0])<<24 | uint32(tail[1])<<16 | uint32(tail[2])<<8 | uint32(tail[3])
	if sum != checksum1(0, body) {
		return s, damaged
	}
	if err := json.Unmarshal(body, &s); err != nil {
		return s, oops.Wrapf(errors.Join(ErrNewer, err), "decode snapshot %s", path)
	}
	return s, nil
}

// recover reads the identity, the newest snapshot and all segments of the folder. It changes
// nothing that a later start reads.
func (l *Log) recover(makeIdentity func() Identity) (*Restored, error) {
	res := &Restored{}
	id, err := l.folder.identity(makeIdentity)
	if err != nil {
		return res, err
	}
	res.Identity, l.generation, l.place.node = id.Identity, id.Generation, id.Node
	return res, l.readAll(res)
}

// readAll reads the newest snapshot and all segments of a generation, up to damage.
func (l *Log) readAll(res *Restored) error {
	if err := l.recoverSnapshot(res); err != nil {
		return err
	}
	r := &reader{fs: l.fs, snap: res.Snapshot, place: l.place}
	err := l.readSegments(r, res)
	res.HardState = r.hardState
	res.Entries, res.newest = r.entriesAfterSnapshot(), r.newest
	return err
}

// readSegments reads all segments into r.
func (l *Log) readSegments(r *reader, res *Restored) error {
	segs, err := l.folder.segments(l.generation)
	if err != nil {
		return err
	}
	for _, path := range segs {
		n, err := fileNumber(path)
		if err != nil {
			return err
		}
		l.place.segment = max(l.place.segment, n)
		r.segment = Segment{Number: n}
		err = r.readSegment(path)
		res.Segments = append(res.Segments, r.segment)
		if err != nil {
			return err
		}
		res.TornBytes = r.segment.TornBytes
		l.maxIndex[path] = max(r.lastIndex(), r.segment.Last)
	}
	return nil
}

func (l *Log) recoverSnapshot(res *Restored) error {
	snaps, err := l.folder.list(extension(snapshotExt, l.generation))
	if err != nil || len(snaps) == 0 {
		return err
	}
	res.Snapshot, err = l.folder.readSnapshot(snaps[len(snaps)-1])
	return err
}

// reader accumulates the hard state and entries of all segments.
type reader struct {
	fs        port.FS
	segment   Segment // being read
	place     place   // of the frame being read
	snap      consensus.Snapshot
	hardState consensus.HardState
	entries   []consensus.Entry
	newest    int // entries in the newest frame
}

func (r *reader) lastIndex() uint64 { return r.snap.Index + uint64(len(r.entries)) }

// readSegment reads one segment up to a torn end, if it has one. Any segment may: a start begins
// a new one and leaves the last one as it is.
func (r *reader) readSegment(path string) error {
	b, err := r.fs.ReadFile(path)
	if err != nil {
		return oops.Wrapf(err, "read segment")
	}
	if filepath.Ext(path) == segmentExt1 {
		return r.readSegment1(path, b)
	}
	r.place.segment = r.segment.Number
	for off := 0; off < len(b); {
		payload, size, ok := frameAt(b[off:], r.place.at(off))
		if !ok {
			r.segment.TornBytes = len(b) - off
			if containsFrame(b, r.place, off+1) {
				return damaged(path, off, errBrokenFrame)
			}
			return nil
		}
		if err := r.applyFrame(payload); err != nil {
			return damaged(path, off, err)
		}
		off += size
	}
	return nil
}

func (r *reader) applyFrame(payload []byte) error {
	b, err := decodeBatch(payload)
	if err != nil {
		return err
	}
	r.newest = len(b.entries)
	for _, e := range b.entries {
		if err := r.appendEntry(e); err != nil {
			return err
		}
	}
	if b.kind == batchStart && b.last > r.lastIndex() {
		return fmt.Errorf("the log ended at index %d, not %d: entries are missing", b.last, r.lastIndex())
	}
	if b.hardState != nil {
		r.hardState = *b.hardState
	}
	return nil
}

// appendEntry appends an entry. If its index is present already, the entry replaces all
// from there on, because a new leader overwrites the tail of the log.
//
// Entries up to the snapshot are dropped: a segment that holds no others may have been removed
// or not, as removals since the last sync of the folder may each be lost.
func (r *reader) appendEntry(e consensus.Entry) error {
	if r.segment.First == 0 {
		r.segment.First = e.Index
	}
	r.segment.Last = e.Index
	switch {
	case e.Index <= r.snap.Index:
		r.entries = r.entries[:0]
		return nil
	case e.Index > r.lastIndex()+1:
		return fmt.Errorf("index %d follows %d: entries in between are missing", e.Index, r.lastIndex())
	}
	r.entries = append(r.entries[:e.Index-r.snap.Index-1], e)
	return nil
}

// entriesAfterSnapshot returns the entries that follow the snapshot, or none if they belong to
// a log that the snapshot replaced. The leader of the first one's term had the snapshot's last
// entry in its log unless its term is older than that of the snapshot.
func (r *reader) entriesAfterSnapshot() []consensus.Entry {
	if len(r.entries) == 0 || r.entries[0].Term < r.snap.Term {
		return nil
	}
	return r.entries
}
