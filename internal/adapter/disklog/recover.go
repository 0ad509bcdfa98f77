package disklog

import (
	"encoding/json"
	"errors"
	"fmt"
	"os"
	"path/filepath"

	"github.com/samber/oops"

	"github.com/cassiapass/cassiapass/internal/core/consensus"
	"github.com/cassiapass/cassiapass/internal/core/ident"
)

// Identity is who a data folder belongs to. It is written once. A host that
// lost its disk gets a new one and joins as a new member: under the old one it
// would have forgotten its votes.
type Identity struct {
	Node  consensus.NodeID `json:"node"`
	Group ident.Group      `json:"group"`
}

const identityName = "identity.json"

func (l *Log) identity(fresh func() Identity) (Identity, error) {
	path := filepath.Join(l.dir, identityName)
	b, err := os.ReadFile(path)
	if os.IsNotExist(err) {
		return l.newIdentity(path, fresh())
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

// newIdentity writes the identity of an empty folder. With a log but without an
// identity the folder is not empty but damaged.
func (l *Log) newIdentity(path string, id Identity) (Identity, error) {
	segs, err := l.list(segmentExt)
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
	return id, replace(path, b)
}

// replace writes a file by write, sync, rename and directory sync, so that a
// crash leaves either the old or the new content.
func replace(path string, b []byte) error {
	tmp := path + tempExt
	f, err := os.OpenFile(tmp, os.O_CREATE|os.O_TRUNC|os.O_WRONLY, fileMode)
	if err != nil {
		return oops.Wrapf(err, "create %s", tmp)
	}
	if _, err = f.Write(b); err == nil {
		err = f.Sync()
	}
	if cerr := f.Close(); err == nil {
		err = cerr
	}
	if err == nil {
		err = os.Rename(tmp, path)
	}
	if err != nil {
		return oops.Wrapf(err, "write %s", path)
	}
	return syncDir(filepath.Dir(path))
}

func (l *Log) writeSnapshot(s consensus.Snapshot) error {
	b, err := json.Marshal(s)
	if err != nil {
		return oops.Wrapf(err, "encode snapshot")
	}
	path := filepath.Join(l.dir, fmt.Sprintf("%016x%s", s.Index, snapshotExt))
	return replace(path, appendSnapshot(b))
}

func appendSnapshot(b []byte) []byte {
	sum := checksum(0, b)
	return append(b, byte(sum>>24), byte(sum>>16), byte(sum>>8), byte(sum))
}

func readSnapshot(path string) (consensus.Snapshot, error) {
	var s consensus.Snapshot
	b, err := os.ReadFile(path)
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

// Discard empties a data folder, so that the next Open makes a new identity.
// Only a host that joins its group again as a new member may use it: what the
// folder held counts towards no quorum afterwards.
func Discard(dir string) error {
	des, err := os.ReadDir(dir)
	if err != nil {
		return oops.Wrapf(err, "list data folder")
	}
	for _, de := range des {
		if err := os.Remove(filepath.Join(dir, de.Name())); err != nil {
			return oops.Wrapf(err, "empty data folder")
		}
	}
	return syncDir(dir)
}

// recover reads everything in the folder.
func (l *Log) recover(fresh func() Identity) (*Restored, error) {
	id, err := l.identity(fresh)
	if err != nil {
		return nil, err
	}
	res := &Restored{Identity: id}
	if err := l.recoverSnapshot(res); err != nil {
		return nil, err
	}
	segs, err := l.list(segmentExt)
	if err != nil {
		return nil, err
	}
	r := &reader{snap: res.Snapshot}
	for i, path := range segs {
		n, err := number(path)
		if err != nil {
			return nil, err
		}
		l.seq = max(l.seq, n)
		// Every start begins a new segment, so a torn end can stand in any
		// segment that was the last one at a crash; what follows it in a
		// later segment was written with that end already cut off.
		torn, err := r.segment(path)
		if err != nil {
			return nil, err
		}
		if i == len(segs)-1 {
			res.TornBytes = torn
		}
		l.starts[path] = r.last()
	}
	res.HardState = r.hard
	res.Entries = r.after(res.Snapshot)
	return res, nil
}

func (l *Log) recoverSnapshot(res *Restored) error {
	snaps, err := l.list(snapshotExt)
	if err != nil || len(snaps) == 0 {
		return err
	}
	res.Snapshot, err = readSnapshot(snaps[len(snaps)-1])
	return err
}

// reader collects the frames of all segments.
type reader struct {
	snap    consensus.Snapshot
	hard    consensus.HardState
	entries []consensus.Entry
}

func (r *reader) last() uint64 {
	if len(r.entries) == 0 {
		return r.snap.Index
	}
	return r.entries[len(r.entries)-1].Index
}

// segment reads one segment and cuts a torn end off.
func (r *reader) segment(path string) (torn int, err error) {
	b, err := os.ReadFile(path)
	if err != nil {
		return 0, oops.Wrapf(err, "read segment")
	}
	off := 0
	for off < len(b) {
		k, payload, size, ok := frameAt(b[off:])
		if !ok {
			return r.cut(path, b, off)
		}
		if err := r.frame(k, payload); err != nil {
			return 0, oops.With("file", path, "offset", off).Wrapf(errors.Join(ErrDamaged, err), "segment %s at offset %d", path, off)
		}
		off += size
	}
	return 0, nil
}

func (r *reader) cut(path string, b []byte, off int) (int, error) {
	if frameAfter(b[off+1:]) {
		return 0, oops.With("file", path, "offset", off).Wrapf(ErrDamaged,
			"%s is damaged at offset %d, before data that was acknowledged: remove the whole data folder, remove this member from the group and let the host join as a new one", path, off)
	}
	if err := os.Truncate(path, int64(off)); err != nil {
		return 0, oops.Wrapf(err, "cut torn end")
	}
	return len(b) - off, nil
}

func (r *reader) frame(k frameKind, payload []byte) error {
	switch k {
	case frameHard:
		return json.Unmarshal(payload, &r.hard)
	case frameEntry:
		e, err := decodeEntry(payload)
		if err != nil {
			return err
		}
		return r.entry(e)
	}
	return fmt.Errorf("frame of unknown kind %d; it was written by a newer release", k)
}

// entry appends an entry; an index that was seen replaces the tail, as a new
// leader's entries do.
func (r *reader) entry(e consensus.Entry) error {
	if len(r.entries) == 0 {
		r.entries = append(r.entries, e)
		return nil
	}
	first := r.entries[0].Index
	switch {
	case e.Index == r.snap.Index+1 && e.Index > r.last()+1:
		r.entries = r.entries[:0] // follows an installed snapshot
	case e.Index > r.last()+1:
		return fmt.Errorf("index %d follows %d: entries in between are missing", e.Index, r.last())
	case e.Index < first:
		r.entries = r.entries[:0]
	default:
		r.entries = r.entries[:e.Index-first]
	}
	r.entries = append(r.entries, e)
	return nil
}

// after returns the entries that follow the snapshot. They are kept only if the
// log agrees with the snapshot where both have the entry: after a snapshot was
// received from a leader, older entries on disk may be of a log that lost.
func (r *reader) after(s consensus.Snapshot) []consensus.Entry {
	for i, e := range r.entries {
		if e.Index == s.Index && e.Term != s.Term {
			return nil
		}
		if e.Index == s.Index+1 {
			agrees := i > 0 || s.Index == 0 || e.Term >= s.Term
			if !agrees {
				return nil
			}
			return append([]consensus.Entry(nil), r.entries[i:]...)
		}
	}
	return nil
}
