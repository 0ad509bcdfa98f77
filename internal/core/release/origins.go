package release

import (
	"bytes"
	"maps"
	"slices"
	"time"
)

// maxOrigins bounds each of the two generations of Origins: 5 MB.
const maxOrigins = 32768

// Origin says which release sent the first event of a stream.
type Origin struct {
	Stream  StreamID `json:"stream"`
	Release Name     `json:"release"`
}

// Origins remembers the releases that began streams, for StreamLife at least unless there are too
// many. The zero value is ready for use; it is not safe for concurrent use.
type Origins struct {
	newer, older map[StreamID]Name
	rotatedAt    time.Time
}

// Began records which release sent the first event of a stream, and reports whether that was not known.
// The first word stands.
func (o *Origins) Began(now time.Time, id StreamID, n Name) bool {
	o.Rotate(now)
	_, known := o.Lookup(id)
	if !known && o.newer == nil {
		o.newer = map[StreamID]Name{}
	}
	if !known {
		o.newer[id] = n
	}
	return !known
}

// Find returns the release that began a stream, if it is known.
func (o *Origins) Find(now time.Time, id StreamID) (Name, bool) {
	o.Rotate(now)
	return o.Lookup(id)
}

// Lookup is Find without a change of o.
func (o *Origins) Lookup(id StreamID) (Name, bool) {
	if n, known := o.newer[id]; known {
		return n, true
	}
	n, known := o.older[id]
	return n, known
}

// All calls f for each stream.
func (o *Origins) All(f func(StreamID, Name)) {
	for id, n := range o.older {
		f(id, n)
	}
	for id, n := range o.newer {
		f(id, n)
	}
}

// Rotate forgets the older generation when the newer one is as old as a stream lasts, or full.
func (o *Origins) Rotate(now time.Time) {
	if !o.rotatedAt.IsZero() && now.Sub(o.rotatedAt) < StreamLife && len(o.newer) < maxOrigins {
		return
	}
	o.older, o.newer, o.rotatedAt = o.newer, nil, now
}

// Clone returns a copy that shares nothing with o.
func (o *Origins) Clone() Origins {
	return Origins{newer: maps.Clone(o.newer), older: maps.Clone(o.older), rotatedAt: o.rotatedAt}
}

// From returns a copy all of which is kept for StreamLife from now on, by a clock that may differ from
// that of o.
func (o *Origins) From(now time.Time) Origins {
	c := o.Clone()
	c.rotatedAt = now
	return c
}

// Note is what the log says of begun streams: the ids, one after the other, by the release that began
// them.
type Note map[Name][]byte

// NoteOf returns the Note of some streams.
func NoteOf(os []Origin) Note {
	n := Note{}
	for _, o := range os {
		n[o.Release] = append(n[o.Release], o.Stream[:]...)
	}
	return n
}

// Record records the streams of a Note.
func (o *Origins) Record(now time.Time, n Note) {
	for _, name := range slices.Sorted(maps.Keys(n)) {
		for ids := n[name]; len(ids) >= len(StreamID{}); ids = ids[len(StreamID{}):] {
			o.Began(now, StreamID(ids[:len(StreamID{})]), name)
		}
	}
}

// OriginsImage is the encoded form of Origins.
type OriginsImage struct {
	Newer     Note      `json:"newer,omitempty"`
	Older     Note      `json:"older,omitempty"`
	RotatedAt time.Time `json:"rotatedAt,omitzero"`
}

// Image returns the encoded form; the same Origins give the same one.
func (o *Origins) Image() OriginsImage {
	return OriginsImage{Newer: noteOf(o.newer), Older: noteOf(o.older), RotatedAt: o.rotatedAt}
}

// Origins returns the decoded form.
func (i OriginsImage) Origins() Origins {
	var newer, older Origins
	newer.Record(i.RotatedAt, i.Newer)
	older.Record(i.RotatedAt, i.Older)
	return Origins{newer: newer.newer, older: older.newer, rotatedAt: i.RotatedAt}
}

func noteOf(m map[StreamID]Name) Note {
	ids := slices.SortedFunc(maps.Keys(m), func(a, b StreamID) int { return bytes.Compare(a[:], b[:]) })
	n := Note{}
	for _, id := range ids {
		n[m[id]] = append(n[m[id]], id[:]...)
	}
	return n
}
