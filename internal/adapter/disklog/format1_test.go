package disklog

import (
	"errors"
	"os"
	"path/filepath"
	"testing"

	"github.com/matryer/is"

	"github.com/cassiapass/cassiapass/internal/core/consensus"
)

// format1Folder returns a copy of a folder of format 1: snapshot at 3, entries to 8, a torn end.
func format1Folder(t *testing.T) string {
	t.Helper()
	dir := t.TempDir()
	if err := os.CopyFS(dir, os.DirFS(filepath.Join("testdata", "format1"))); err != nil {
		t.Fatal(err)
	}
	return dir
}

func TestFolderOfFormat1IsContinued(t *testing.T) {
	is := is.New(t)
	dir := format1Folder(t)
	for last := uint64(8); last < 11; last++ {
		l, res := open(t, dir)
		is.Equal(res.Identity.Node, consensus.NodeID(7))
		is.Equal(res.HardState, consensus.HardState{Term: 2, Vote: 7, Commit: 5})
		is.Equal(res.Snapshot.Index, uint64(3))
		is.Equal(res.Snapshot.Index+uint64(len(res.Entries)), last)
		is.Equal(res.Entries[1].Term, uint64(1))
		is.Equal(res.Entries[2].Term, uint64(2)) // index 6 was replaced
		is.NoErr(l.Save(entries(3, last+1, last+1), nil))
		is.NoErr(l.Close())
	}
	l, _ := open(t, dir)
	is.NoErr(l.SaveSnapshot(consensus.Snapshot{Index: 11, Term: 3}))
	is.NoErr(l.Close())
	old, err := l.folder.list(segmentExt1)
	is.NoErr(err)
	is.Equal(len(old), 1) // the barrier
}

func TestDamageInFormat1IsRefused(t *testing.T) {
	is := is.New(t)
	dir := format1Folder(t)
	segs, err := Folder{Dir: dir}.segments(0)
	is.NoErr(err)
	path := segs[0]
	b, err := os.ReadFile(path)
	is.NoErr(err)
	b[60] ^= 0xff
	is.NoErr(os.WriteFile(path, b, 0o600))
	_, _, err = Folder{Dir: dir}.Open(identity)
	is.True(errors.Is(err, ErrDamaged))
}

func TestMissingSegmentOfFormat1IsRefused(t *testing.T) {
	is := is.New(t)
	dir := format1Folder(t)
	segs, err := Folder{Dir: dir}.segments(0)
	is.NoErr(err)
	is.NoErr(os.Remove(segs[1]))
	_, _, err = Folder{Dir: dir}.Open(identity)
	is.True(errors.Is(err, ErrDamaged))
}

// Guards against an older release that takes a newer folder for a damaged one and empties it.
func TestBarrierIsReadBeforeAnySegmentOfFormat1(t *testing.T) {
	is := is.New(t)
	dir := format1Folder(t)
	l, _ := open(t, dir)
	defer l.Close()
	first, err := l.folder.list(segmentExt1)
	is.NoErr(err)
	is.Equal(filepath.Base(first[0]), barrierName)
	_, err = fileNumber(first[0])
	is.True(err != nil)
	is.True(!errors.Is(err, ErrDamaged))
}

// Guards against a later format that this release takes for damage.
func TestBatchOfUnknownKindIsNotDamage(t *testing.T) {
	is := is.New(t)
	dir := t.TempDir()
	l, _ := open(t, dir)
	is.NoErr(l.write(batch{kind: batchStart + 1}))
	is.NoErr(l.Close())
	_, _, err := Folder{Dir: dir}.Open(identity)
	is.True(errors.Is(err, ErrNewer))
	is.True(!errors.Is(err, ErrDamaged))
}
