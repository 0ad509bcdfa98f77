package disklog

import (
	"errors"
	"fmt"
	"testing"

	"github.com/cassiapass/cassiapass/internal/fake/simdisk"
)

// damageHistory returns a closed folder with a snapshot, several segments and votes, and where
// its newest frame begins in the newest segment.
func damageHistory(t *testing.T) (h *history, newest string, offset int) {
	t.Helper()
	h, err := newHistory(1)
	if err != nil {
		t.Fatal(err)
	}
	for i := range 4 {
		h.save(h.done.last(), 2, 30, uint64(i+1), true)
		h.save(h.done.last(), 0, 0, uint64(i+1), true)
		if i == 1 {
			h.compact(2)
		}
		if err := h.restart(2, 0); err != nil {
			t.Fatal(err)
		}
		h.save(h.done.last(), 1, 30, uint64(i+1), false)
	}
	newest, offset = h.log.segmentPath, int(h.log.place.offset)
	h.save(h.done.last(), 1, 30, 4, false)
	return h, newest, offset
}

// checkDamaged applies f to a file of a copy and reports an error unless the folder is refused or
// holds what it held.
func checkDamaged(h *history, name string, f func([]byte) []byte) error {
	c := *h
	c.disk = h.disk.Clone(1)
	c.folder.FS = c.disk
	c.disk.LosePower(simdisk.Nothing)
	c.disk.Corrupt(name, f)
	if _, _, err := c.folder.Open(identity); errors.Is(err, ErrDamaged) {
		return nil
	}
	if err := c.open(); err != nil {
		return fmt.Errorf("%s: %w", name, err)
	}
	return nil
}

// Guards against acknowledged data that a flipped byte takes away unnoticed.
func TestFlippedByteBeforeTheNewestFrameIsRefusedOrHarmless(t *testing.T) {
	h, newest, offset := damageHistory(t)
	places := 0
	for _, name := range h.disk.Names() {
		b, err := h.disk.ReadFile(name)
		if err != nil {
			t.Fatal(err)
		}
		if name == newest {
			b = b[:offset]
		}
		for i := range b {
			for _, mask := range []byte{0x01, 0x10, 0xff} {
				err := checkDamaged(h, name, func(b []byte) []byte { b[i] ^= mask; return b })
				if err != nil {
					t.Fatalf("byte %d: %v", i, err)
				}
				places++
			}
		}
	}
	t.Logf("%d places", places)
}

// Guards against acknowledged data that is gone with the end of a file, unnoticed.
func TestShortenedFileIsRefusedOrHarmless(t *testing.T) {
	h, newest, _ := damageHistory(t)
	for _, name := range h.disk.Names() {
		if name == newest {
			continue // as if its last frames had not been written
		}
		b, err := h.disk.ReadFile(name)
		if err != nil {
			t.Fatal(err)
		}
		for size := range b {
			if err := checkDamaged(h, name, func(b []byte) []byte { return b[:size] }); err != nil {
				t.Fatalf("cut to %d: %v", size, err)
			}
		}
	}
}

// Guards against acknowledged entries that are gone with the end of a segment which only votes follow.
func TestShortenedSegmentBeforeAVoteIsRefused(t *testing.T) {
	h, err := newHistory(1)
	if err != nil {
		t.Fatal(err)
	}
	h.save(0, 1, 30, 1, false)
	whole := int(h.log.place.offset)
	h.save(1, 1, 30, 1, false)
	h.save(2, 0, 0, 2, true)
	segment := h.log.segmentPath
	if err := h.restart(2, 0); err != nil {
		t.Fatal(err)
	}
	h.save(2, 0, 0, 3, true)
	h.disk.LosePower(simdisk.Nothing)
	h.disk.Corrupt(segment, func(b []byte) []byte { return b[:whole] })
	if _, _, err := h.folder.Open(identity); !errors.Is(err, ErrDamaged) {
		t.Fatal(err)
	}
}

// FuzzSegment checks that no content of a segment makes recovery fail otherwise than by a report.
func FuzzSegment(f *testing.F) {
	h, err := newHistory(1)
	if err != nil {
		f.Fatal(err)
	}
	h.save(0, 2, 30, 1, true)
	b, err := h.disk.ReadFile(h.log.segmentPath)
	if err != nil {
		f.Fatal(err)
	}
	f.Add(b)
	f.Fuzz(func(t *testing.T, content []byte) {
		d := simdisk.New(1)
		l, _, err := simFolder(d).Open(identity)
		if err != nil {
			t.Fatal(err)
		}
		d.Corrupt(l.segmentPath, func([]byte) []byte { return content })
		_, _, err = simFolder(d).Open(identity)
		if err != nil && !errors.Is(err, ErrDamaged) && !errors.Is(err, ErrNewer) {
			t.Fatal(err)
		}
	})
}

// FuzzSnapshot checks the same of a snapshot.
func FuzzSnapshot(f *testing.F) {
	f.Add([]byte(`{"index":1}`))
	f.Fuzz(func(t *testing.T, content []byte) {
		for _, b := range [][]byte{content, appendChecksum(append([]byte{}, content...))} {
			d := simdisk.New(1)
			if err := simFolder(d).replace("data/0000000000000001.snap", b); err != nil {
				t.Fatal(err)
			}
			_, _, err := simFolder(d).Open(identity)
			if err != nil && !errors.Is(err, ErrDamaged) && !errors.Is(err, ErrNewer) {
				t.Fatal(err)
			}
		}
	})
}
