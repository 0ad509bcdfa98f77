package disklog

import (
	"errors"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/cassiapass/cassiapass/internal/core/consensus"
	"github.com/cassiapass/cassiapass/internal/port"
)

func identity() Identity { return Identity{Node: 7, Group: "main"} }

func entries(term, from, to uint64) []consensus.Entry {
	var out []consensus.Entry
	for i := from; i <= to; i++ {
		out = append(out, consensus.Entry{Term: term, Index: i, Data: []byte("a command of ordinary size, as the control group writes them")})
	}
	return out
}

func open(t *testing.T, dir string) (*Log, *Restored) {
	t.Helper()
	l, res, err := Folder{Dir: dir}.Open(identity)
	if err != nil {
		t.Fatal(err)
	}
	return l, res
}

// threeEntries saves three entries one by one, closes the folder and returns the path and
// content of the segment that holds them.
func threeEntries(t *testing.T, dir string) (string, []byte) {
	t.Helper()
	l, _ := open(t, dir)
	for i := uint64(1); i <= 3; i++ {
		if err := l.Save(entries(1, i, i), nil); err != nil {
			t.Fatal(err)
		}
	}
	if err := l.Close(); err != nil {
		t.Fatal(err)
	}
	path := lastSegment(t, l)
	b, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	return path, b
}

func lastSegment(t *testing.T, l *Log) string {
	t.Helper()
	segs, err := l.folder.list(segmentExt)
	if err != nil {
		t.Fatal(err)
	}
	return segs[len(segs)-1]
}

func TestReopenFindsWhatWasSaved(t *testing.T) {
	is := is.New(t)
	dir := t.TempDir()
	l, res := open(t, dir)
	is.Equal(res.Identity.Node, consensus.NodeID(7))
	is.NoErr(l.Save(entries(1, 1, 5), &consensus.HardState{Term: 1, Vote: 7}))
	is.NoErr(l.Save(entries(2, 4, 6), &consensus.HardState{Term: 2, Commit: 3})) // replaces the tail
	is.NoErr(l.Close())
	l, res = open(t, dir)
	is.Equal(len(res.Entries), 6)
	is.Equal(res.Entries[3].Term, uint64(2))
	is.Equal(res.HardState, consensus.HardState{Term: 2, Commit: 3})
	is.NoErr(l.SaveSnapshot(consensus.Snapshot{Index: 5, Term: 2, Data: []byte("state")}))
	is.NoErr(l.Save(entries(2, 7, 8), nil))
	is.NoErr(l.Close())
	l, res = open(t, dir)
	defer l.Close()
	is.Equal(res.Snapshot.Index, uint64(5))
	is.Equal(len(res.Entries), 3)
	is.Equal(res.Entries[0].Index, uint64(6))
}

func TestFolderIsLocked(t *testing.T) {
	is := is.New(t)
	dir := t.TempDir()
	l, _ := open(t, dir)
	defer l.Close()
	_, _, err := Folder{Dir: dir}.Open(identity)
	is.True(err != nil)
	is.True(strings.Contains(err.Error(), "in use"))
}

// A crash in the middle of a write can leave part of a frame on the disk. Recovery
// must truncate it rather than fail or return a partial entry.
func TestTornEndIsTruncated(t *testing.T) {
	is := is.New(t)
	dir := t.TempDir()
	path, whole := threeEntries(t, dir)
	for cut := 1; cut < 60; cut += 7 {
		is.NoErr(os.WriteFile(path, whole[:len(whole)-cut], 0o600))
		l, res := open(t, dir)
		is.Equal(len(res.Entries), 2)
		is.NoErr(l.Close())
		for _, s := range segmentsAfter(t, l, path) {
			is.NoErr(os.Remove(s))
		}
	}
}

func segmentsAfter(t *testing.T, l *Log, than string) []string {
	t.Helper()
	segs, err := l.folder.list(segmentExt)
	if err != nil {
		t.Fatal(err)
	}
	var out []string
	for _, s := range segs {
		if s > than {
			out = append(out, s)
		}
	}
	return out
}

// A bad sector in the middle of the log must be reported. Truncation at the first
// bad frame would silently drop the acknowledged entries after it.
func TestDamageBeforeTheEndIsRefused(t *testing.T) {
	is := is.New(t)
	dir := t.TempDir()
	path, b := threeEntries(t, dir)
	b[len(b)/2] ^= 0xff
	is.NoErr(os.WriteFile(path, b, 0o600))
	_, _, err := Folder{Dir: dir}.Open(identity)
	is.True(err != nil)
	for _, part := range []string{filepath.Base(path), "offset", "join as a new one"} {
		is.True(strings.Contains(err.Error(), part))
	}
	is.True(errors.Is(err, ErrDamaged))

	is.NoErr(Folder{Dir: dir}.SetAside(Identity{Node: 8, Group: "main"})) // the host may join again, as a new member
	l, res, err := Folder{Dir: dir}.Open(identity)
	is.NoErr(err)
	defer l.Close()
	is.Equal(res.Identity.Node, consensus.NodeID(8))
	is.Equal(len(res.Entries), 0)
}

// brokenFile fails its syncs once syncsLeft of them have succeeded.
type brokenFile struct {
	port.File
	syncsLeft *int
}

func (b brokenFile) Sync() error {
	if *b.syncsLeft--; *b.syncsLeft < 0 {
		return errors.New("input/output error")
	}
	return b.File.Sync()
}

// After a failed sync the log must accept no more writes. The kernel marks the pages
// clean, so the next sync succeeds although the data was dropped, and an acknowledged
// change would be missing after the next restart.
func TestFailedSyncClosesLogPermanently(t *testing.T) {
	is := is.New(t)
	l, _ := open(t, t.TempDir())
	defer l.Close()
	left := 1
	l.current = brokenFile{l.current, &left}
	is.NoErr(l.Save(entries(1, 1, 1), nil))
	is.True(l.Save(entries(1, 2, 2), nil) != nil)
	left = 100
	is.True(errors.Is(l.Save(entries(1, 2, 2), nil), ErrFailed))
	is.True(errors.Is(l.SaveSnapshot(consensus.Snapshot{Index: 1}), ErrFailed))
}

func BenchmarkRecovery100000(b *testing.B) {
	dir := b.TempDir()
	l, _, err := Folder{Dir: dir}.Open(identity)
	if err != nil {
		b.Fatal(err)
	}
	for i := uint64(1); i <= 100000; i += 1000 {
		if err := l.Save(entries(1, i, i+999), nil); err != nil {
			b.Fatal(err)
		}
	}
	if err := l.Close(); err != nil {
		b.Fatal(err)
	}
	for b.Loop() {
		l, res, err := Folder{Dir: dir}.Open(identity)
		if err != nil || len(res.Entries) != 100000 {
			b.Fatal(err)
		}
		_ = l.Close()
	}
}

// BenchmarkRawSync is the baseline for BenchmarkSave: one synced write of a batch's
// size to the same disk.
func BenchmarkRawSync(b *testing.B) {
	f, err := os.Create(filepath.Join(b.TempDir(), "raw"))
	if err != nil {
		b.Fatal(err)
	}
	defer f.Close()
	buf := make([]byte, 4096)
	for b.Loop() {
		if _, err := f.Write(buf); err != nil {
			b.Fatal(err)
		}
		if err := f.Sync(); err != nil {
			b.Fatal(err)
		}
	}
}

func BenchmarkSave(b *testing.B) {
	l, _, err := Folder{Dir: b.TempDir()}.Open(identity)
	if err != nil {
		b.Fatal(err)
	}
	defer l.Close()
	next := uint64(1)
	begin := time.Now()
	for b.Loop() {
		if err := l.Save(entries(1, next, next+45), nil); err != nil {
			b.Fatal(err)
		}
		next += 46
	}
	b.ReportMetric(float64(next-1)/time.Since(begin).Seconds(), "entries/s")
}
