package disklog

import (
	"bytes"
	"encoding/binary"
	"errors"
	"hash/crc32"

	"github.com/cassiapass/cassiapass/internal/core/consensus"
)

const (
	frameMagic  = 0x43504c32
	frameHeader = 12 // mark, length, checksum
	entryHeader = 21 // term, index, kind, length
)

var (
	castagnoli = crc32.MakeTable(crc32.Castagnoli)
	magicBytes = binary.BigEndian.AppendUint32(nil, frameMagic)
)

var errShortFrame = errors.New("a frame ends early")

// place is where a frame lies. It is part of the frame's checksum, so that content which looks
// like a frame is not taken for one.
type place struct {
	node    consensus.NodeID
	segment uint64
	offset  int64
}

func (p place) checksum(payload []byte) uint32 {
	b := binary.BigEndian.AppendUint64(nil, uint64(p.node))
	b = binary.BigEndian.AppendUint64(b, p.segment)
	b = binary.BigEndian.AppendUint64(b, uint64(p.offset))
	return crc32.Update(crc32.Checksum(b, castagnoli), castagnoli, payload)
}

func (p place) at(offset int) place {
	p.offset = int64(offset)
	return p
}

// appendFrame appends one frame at its place to buf.
func appendFrame(buf []byte, p place, b batch) []byte {
	start := len(buf)
	buf = append(buf, magicBytes...)
	buf = append(buf, make([]byte, frameHeader-len(magicBytes))...)
	buf = b.appendTo(buf)
	payload := buf[start+frameHeader:]
	binary.BigEndian.PutUint32(buf[start+4:], uint32(len(payload)))
	binary.BigEndian.PutUint32(buf[start+8:], p.checksum(payload))
	return buf
}

// frameAt returns the payload and size of the frame at place p, which b starts with. ok is false
// if there is no complete frame with a valid checksum.
func frameAt(b []byte, p place) (payload []byte, size int, ok bool) {
	if len(b) < frameHeader || !bytes.HasPrefix(b, magicBytes) {
		return nil, 0, false
	}
	n := int64(binary.BigEndian.Uint32(b[4:]))
	if int64(len(b)) < frameHeader+n {
		return nil, 0, false
	}
	payload = b[frameHeader : frameHeader+n]
	if p.checksum(payload) != binary.BigEndian.Uint32(b[8:]) {
		return nil, 0, false
	}
	return payload, frameHeader + int(n), true
}

// containsFrame reports whether the segment b holds a valid frame at or after an offset. After a
// broken frame this distinguishes lost data from a torn end.
func containsFrame(b []byte, p place, from int) bool {
	for from < len(b) {
		i := bytes.Index(b[from:], magicBytes)
		if i < 0 {
			return false
		}
		from += i
		if _, _, ok := frameAt(b[from:], p.at(from)); ok {
			return true
		}
		from++
	}
	return false
}

// batchKind is the first byte of a frame's payload.
type batchKind byte

const (
	// batchSave is what one Save appends.
	batchSave batchKind = iota + 1
	// batchStart is the first frame of a segment.
	batchStart
)

// batch is the payload of a frame: entries and the hard state that are durable together.
type batch struct {
	kind      batchKind
	last      uint64               // of a batchStart: index at which the log before it ends
	hardState *consensus.HardState // nil if unchanged
	entries   []consensus.Entry
}

// appendTo appends the kind, the last index, whether there is a hard state, the hard state, and
// the entries.
func (b batch) appendTo(out []byte) []byte {
	out = append(out, byte(b.kind))
	out = binary.BigEndian.AppendUint64(out, b.last)
	if b.hardState == nil {
		out = append(out, 0)
	} else {
		out = append(out, 1)
		out = binary.BigEndian.AppendUint64(out, b.hardState.Term)
		out = binary.BigEndian.AppendUint64(out, uint64(b.hardState.Vote))
		out = binary.BigEndian.AppendUint64(out, b.hardState.Commit)
	}
	for _, e := range b.entries {
		out = binary.BigEndian.AppendUint64(out, e.Term)
		out = binary.BigEndian.AppendUint64(out, e.Index)
		out = append(out, byte(e.Kind))
		out = binary.BigEndian.AppendUint32(out, uint32(len(e.Data)))
		out = append(out, e.Data...)
	}
	return out
}

// decodeBatch decodes a payload. The data of its entries is copied.
func decodeBatch(p []byte) (batch, error) {
	const start, hardStateSize = 10, 24
	if len(p) < start {
		return batch{}, errShortFrame
	}
	b := batch{kind: batchKind(p[0]), last: binary.BigEndian.Uint64(p[1:])}
	if b.kind != batchSave && b.kind != batchStart || p[9] > 1 {
		return batch{}, ErrNewer
	}
	hasHardState := p[9] == 1
	p = p[start:]
	if hasHardState {
		if len(p) < hardStateSize {
			return batch{}, errShortFrame
		}
		b.hardState = &consensus.HardState{Term: binary.BigEndian.Uint64(p), Vote: consensus.NodeID(binary.BigEndian.Uint64(p[8:])), Commit: binary.BigEndian.Uint64(p[16:])}
		p = p[hardStateSize:]
	}
	b.entries = make([]consensus.Entry, 0, countEntries(p))
	for len(p) > 0 {
		e, rest, err := decodeEntry(p)
		if err != nil {
			return batch{}, err
		}
		b.entries, p = append(b.entries, e), rest
	}
	return b, nil
}

// countEntries returns the number of complete entries in p.
func countEntries(p []byte) int {
	n := 0
	for len(p) >= entryHeader {
		size := entryHeader + int64(binary.BigEndian.Uint32(p[entryHeader-4:]))
		if int64(len(p)) < size {
			break
		}
		p = p[size:]
		n++
	}
	return n
}

// decodeEntry decodes the entry that p starts with and returns the rest.
func decodeEntry(p []byte) (consensus.Entry, []byte, error) {
	if len(p) < entryHeader {
		return consensus.Entry{}, nil, errShortFrame
	}
	e := consensus.Entry{Term: binary.BigEndian.Uint64(p), Index: binary.BigEndian.Uint64(p[8:]), Kind: consensus.EntryKind(p[16])}
	n := int64(binary.BigEndian.Uint32(p[17:]))
	p = p[entryHeader:]
	if int64(len(p)) < n {
		return consensus.Entry{}, nil, errShortFrame
	}
	if n > 0 {
		e.Data = bytes.Clone(p[:n])
	}
	return e, p[n:], nil
}
