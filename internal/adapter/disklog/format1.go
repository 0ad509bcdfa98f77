package disklog

import (
	"bytes"
	"encoding/binary"
	"encoding/json"
	"fmt"
	"hash/crc32"

	"github.com/cassiapass/cassiapass/internal/core/consensus"
)

// Format 1 wrote each entry and each hard state as a frame of its own, with mark, length,
// checksum and kind, into segments of another extension. Its folders are read and continued in
// the present format.

const (
	segmentExt1  = ".log"
	frameMagic1  = 0x43504c31
	frameHeader1 = 13
	entryHeader1 = 17
	// barrierName has the extension of format 1 but no number. A release that knows only
	// format 1 reads it before any segment, reports the name and changes nothing.
	barrierName = "0-written-by-a-newer-release" + segmentExt1
)

// frameKind1 is the type of a frame's payload.
type frameKind1 byte

const (
	frameEntry1 frameKind1 = iota + 1
	frameHardState1
)

var magicBytes1 = binary.BigEndian.AppendUint32(nil, frameMagic1)

func checksum1(k frameKind1, payload []byte) uint32 {
	return crc32.Update(crc32.Checksum([]byte{byte(k)}, castagnoli), castagnoli, payload)
}

// frameAt1 decodes the frame at the start of b. ok is false if there is no complete frame with a
// valid checksum.
func frameAt1(b []byte) (k frameKind1, payload []byte, size int, ok bool) {
	if len(b) < frameHeader1 || !bytes.HasPrefix(b, magicBytes1) {
		return 0, nil, 0, false
	}
	n := int64(binary.BigEndian.Uint32(b[4:]))
	if int64(len(b)) < frameHeader1+n {
		return 0, nil, 0, false
	}
	k = frameKind1(b[12])
	payload = b[frameHeader1 : frameHeader1+n]
	if checksum1(k, payload) != binary.BigEndian.Uint32(b[8:]) {
		return 0, nil, 0, false
	}
	return k, payload, frameHeader1 + int(n), true
}

// containsFrame1 reports whether b contains a valid frame at any offset.
func containsFrame1(b []byte) bool {
	for {
		i := bytes.Index(b, magicBytes1)
		if i < 0 {
			return false
		}
		if _, _, _, ok := frameAt1(b[i:]); ok {
			return true
		}
		b = b[i+1:]
	}
}

// readSegment1 reads one segment of format 1.
func (r *reader) readSegment1(path string, b []byte) error {
	// It does not tell which frames one Save wrote: all may have been written by the last one.
	defer func() { r.newest = len(r.entries) }()
	for off := 0; off < len(b); {
		k, payload, size, ok := frameAt1(b[off:])
		if !ok {
			r.segment.TornBytes = len(b) - off
			if containsFrame1(b[off+1:]) {
				return damaged(path, off, errBrokenFrame)
			}
			return nil
		}
		if err := r.applyFrame1(k, payload); err != nil {
			return damaged(path, off, err)
		}
		off += size
	}
	return nil
}

func (r *reader) applyFrame1(k frameKind1, payload []byte) error {
	switch k {
	case frameHardState1:
		return json.Unmarshal(payload, &r.hardState)
	case frameEntry1:
		if len(payload) < entryHeader1 {
			return errShortFrame
		}
		e := consensus.Entry{Term: binary.BigEndian.Uint64(payload), Index: binary.BigEndian.Uint64(payload[8:]), Kind: consensus.EntryKind(payload[16])}
		if len(payload) > entryHeader1 {
			e.Data = bytes.Clone(payload[entryHeader1:])
		}
		return r.appendEntry(e)
	}
	return fmt.Errorf("frame of unknown kind %d", k)
}
