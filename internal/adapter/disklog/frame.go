package disklog

import (
	"bytes"
	"encoding/binary"
	"encoding/json"
	"fmt"
	"hash/crc32"

	"github.com/cassiapass/cassiapass/internal/core/consensus"
)

const (
	frameMagic  = 0x43504c31
	frameHeader = 13 // mark, length, checksum, kind
	maxFrame    = 64 << 20
)

// frameKind is the type of a frame's payload.
type frameKind byte

const (
	frameEntry frameKind = iota + 1
	frameHardState
)

var (
	castagnoli = crc32.MakeTable(crc32.Castagnoli)
	magicBytes = binary.BigEndian.AppendUint32(nil, frameMagic)
)

// appendFrame appends one frame to buf.
func appendFrame(buf []byte, k frameKind, payload []byte) []byte {
	buf = append(buf, magicBytes...)
	buf = binary.BigEndian.AppendUint32(buf, uint32(len(payload)))
	buf = binary.BigEndian.AppendUint32(buf, checksum(k, payload))
	buf = append(buf, byte(k))
	return append(buf, payload...)
}

func checksum(k frameKind, payload []byte) uint32 {
	return crc32.Update(crc32.Checksum([]byte{byte(k)}, castagnoli), castagnoli, payload)
}

// frameAt decodes the frame at the start of b. ok is false if there is no complete
// frame with a valid checksum.
func frameAt(b []byte) (k frameKind, payload []byte, size int, ok bool) {
	if len(b) < frameHeader || !bytes.Equal(b[:4], magicBytes) {
		return 0, nil, 0, false
	}
	n := int(binary.BigEndian.Uint32(b[4:]))
	if n > maxFrame || len(b) < frameHeader+n {
		return 0, nil, 0, false
	}
	k = frameKind(b[12])
	payload = b[frameHeader : frameHeader+n]
	if checksum(k, payload) != binary.BigEndian.Uint32(b[8:]) {
		return 0, nil, 0, false
	}
	return k, payload, frameHeader + n, true
}

// containsFrame reports whether b contains a valid frame at any offset. After a damaged
// frame this distinguishes lost data from a torn end.
func containsFrame(b []byte) bool {
	for {
		i := bytes.Index(b, magicBytes)
		if i < 0 {
			return false
		}
		if _, _, _, ok := frameAt(b[i:]); ok {
			return true
		}
		b = b[i+1:]
	}
}

// encodeEntry encodes an entry as term, index, kind and data.
func encodeEntry(e consensus.Entry) []byte {
	b := make([]byte, 0, 17+len(e.Data))
	b = binary.BigEndian.AppendUint64(b, e.Term)
	b = binary.BigEndian.AppendUint64(b, e.Index)
	b = append(b, byte(e.Kind))
	return append(b, e.Data...)
}

func decodeEntry(b []byte) (consensus.Entry, error) {
	if len(b) < 17 {
		return consensus.Entry{}, fmt.Errorf("entry of %d bytes", len(b))
	}
	e := consensus.Entry{Term: binary.BigEndian.Uint64(b), Index: binary.BigEndian.Uint64(b[8:]), Kind: consensus.EntryKind(b[16])}
	if len(b) > 17 {
		e.Data = append([]byte(nil), b[17:]...)
	}
	return e, nil
}

func encodeHardState(hs consensus.HardState) []byte {
	b, err := json.Marshal(hs)
	if err != nil {
		panic("invariant: disklog: hard state cannot be encoded: " + err.Error())
	}
	return b
}
