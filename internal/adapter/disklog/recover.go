package disklog

import (
	"encoding/json"
	"errors"
	"fmt"
	"io/fs"

	"github.com/samber/oops"

	"github.com/cassiapass/cassiapass/internal/core/consensus"
	"github.com/cassiapass/cassiapass/internal/core/ident"
	"github.com/cassiapass/cassiapass/internal/port"
)

// Identity names the member and group that a data folder belongs to. It is written
// once. A host that lost its disk gets a new identity and joins as a new member:
// under the old one it could vote twice in a term, because its votes are lost too.
type Identity struct {
	Node  consensus.NodeID `json:"node"`
	Group ident.Group      `json:"group"`
}

const identityName = "identity.json"

func (l *Log) identity(makeIdentity func() Identity) (Identity, error) {
	path := l.folder.path(identityName)
	b, err := l.fs.ReadFile(path)
	if errors.Is(err, fs.ErrNotExist) {
		return l.newIdentity(path, makeIdentity())
	}
	if err != nil {
		return Identity{}, oops.Wrapf(err, "read identity")
	}
	var id Identity
	if err := json.Unmarshal(b, &id); err != nil || id.Node == consensus.None {
		return Identity{}, oops.Wrapf(ErrDamaged, "%s is damaged: remove the whole data folder, remove this member from the group and let the host join as a new one", path)
	}
	return id, nil
}

// newIdentity writes the identity of an empty folder. A folder with log segments but
// without an identity is damaged.
func (l *Log) newIdentity(path string, id Identity) (Identity, error) {
	segs, err := l.folder.list(segmentExt)
	if err != nil {
		return Identity{}, err
	}
	if len(segs) > 0 {
		return Identity{}, oops.Wrapf(ErrDamaged, "%s is missing but log segments exist: remove the whole data folder, remove this member from the group and let the host join as a new one", path)
	}
	b, err := json.Marshal(id)
	if err != nil {
		return Identity{}, oops.Wrapf(err, "encode identity")
	}
	return id, l.folder.replace(path, b)
}

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
	path := l.folder.path(fmt.Sprintf("%016x%s", s.Index, snapshotExt))
	return l.folder.replace(path, appendChecksum(b))
}

func appendChecksum(b []byte) []byte {
	sum := checksum(0, b)
	return append(b, byte(sum>>24), byte(sum>>16), byte(sum>>8), byte(sum))
}

func (f Folder) readSnapshot(path string) (consensus.Snapshot, error) {
	var s consensus.Snapshot
	b, err := f.fs().ReadFile(path)
	if err != nil {
		return s, oops.Wrapf(err, "read snapshot")
	}
	damaged := oops.Wrapf(ErrDamaged, "%s: the checksum of the snapshot does not match: remove the whole data folder, remove this member from the group and let the host join as a new one", path)
	if len(b) < 4 {
		return s, damaged
	}
	body, tail := b[:len(b)-4], b[len(b)-4:]
	sum := uint32(tail[0])<<24 | uint32(tail[1])<<16 | uint32(tail[2])<<8 | uint32(tail[3])
	if sum != checksum(0, body) {
		return s, damaged
	}
	if err := json.Unmarshal(body, &s); err != nil {
		return s, oops.Wrapf(err, "decode snapshot %s", path)
	}
	return s, nil
}

// Discard empties a data folder, so that the next Open creates a new identity.
// Only a host that rejoins its group as a new member may call it: the entries that
// the folder held no longer count towards a quorum.
func (f Folder) Discard() error {
	names, err := f.fs().List(f.Dir)
	if err != nil {
		return oops.Wrapf(err, "list data folder")
	}
	for _, name := range names {
		if err := f.fs().Remove(f.path(name)); err != nil {
			return oops.Wrapf(err, "empty data folder")
		}
	}
	return f.sync()
}

// recover reads the identity, the newest snapshot and all segments of the folder.
func (l *Log) recover(makeIdentity func() Identity) (*Restored, error) {
	res := &Restored{}
	var err error
	if res.Identity, err = l.identity(makeIdentity); err != nil {
		return res, err
	}
	if err := l.recoverSnapshot(res); err != nil {
		return res, err
	}
	r := &reader{fs: l.fs, snap: res.Snapshot}
	err = l.readSegments(r, res)
	res.HardState = r.hardState
	res.Entries = r.entriesAfterSnapshot()
	return res, err
}

// readSegments reads all segments into r.
func (l *Log) readSegments(r *reader, res *Restored) error {
	segs, err := l.folder.list(segmentExt)
	if err != nil {
		return err
	}
	for _, path := range segs {
		n, err := fileNumber(path)
		if err != nil {
			return err
		}
		l.seq = max(l.seq, n)
		// Every start begins a new segment, so any segment that was the last
		// one at a crash may have had a torn end. Later segments were written
		// after that end had been truncated.
		r.segment = Segment{Number: n}
		r.segment.TornBytes, err = r.readSegment(path)
		res.Segments = append(res.Segments, r.segment)
		if err != nil {
			return err
		}
		res.TornBytes = r.segment.TornBytes
		l.maxIndex[path] = r.lastIndex()
	}
	return nil
}

func (l *Log) recoverSnapshot(res *Restored) error {
	snaps, err := l.folder.list(snapshotExt)
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
	snap      consensus.Snapshot
	hardState consensus.HardState
	entries   []consensus.Entry
}

func (r *reader) lastIndex() uint64 {
	if len(r.entries) == 0 {
		return r.snap.Index
	}
	return r.entries[len(r.entries)-1].Index
}

// readSegment reads one segment and truncates a torn end. It returns the number of
// bytes truncated.
func (r *reader) readSegment(path string) (torn int, err error) {
	b, err := r.fs.ReadFile(path)
	if err != nil {
		return 0, oops.Wrapf(err, "read segment")
	}
	off := 0
	for off < len(b) {
		k, payload, size, ok := frameAt(b[off:])
		if !ok {
			return r.truncateTornEnd(path, b, off)
		}
		if err := r.applyFrame(k, payload); err != nil {
			return 0, oops.With("file", path, "offset", off).Wrapf(errors.Join(ErrDamaged, err), "segment %s at offset %d", path, off)
		}
		off += size
	}
	return 0, nil
}

func (r *reader) truncateTornEnd(path string, b []byte, off int) (int, error) {
	if containsFrame(b[off+1:]) {
		return 0, oops.With("file", path, "offset", off).Wrapf(ErrDamaged,
			"%s is damaged at offset %d, before data that was acknowledged: remove the whole data folder, remove this member from the group and let the host join as a new one", path, off)
	}
	if err := r.fs.Truncate(path, int64(off)); err != nil {
		return 0, oops.Wrapf(err, "cut torn end")
	}
	return len(b) - off, nil
}

func (r *reader) applyFrame(k frameKind, payload []byte) error {
	switch k {
	case frameHardState:
		return json.Unmarshal(payload, &r.hardState)
	case frameEntry:
		e, err := decodeEntry(payload)
		if err != nil {
			return err
		}
		if r.segment.First == 0 {
			r.segment.First = e.Index
		}
		r.segment.Last = e.Index
		return r.appendEntry(e)
	}
	return fmt.Errorf("frame of unknown kind %d; it was written by a newer release", k)
}

// appendEntry appends an entry. If its index is present already, the entry replaces all
// from there on, because a new leader overwrites the tail of the log.
//
// Entries up to the snapshot are dropped: a segment that holds no others may have been removed
// or not, as removals since the last sync of the folder may each be lost.
func (r *reader) appendEntry(e consensus.Entry) error {
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
