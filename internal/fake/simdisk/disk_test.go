package simdisk

import (
	"errors"
	"io/fs"
	"testing"

	"github.com/matryer/is"
)

func write(t *testing.T, d *Disk, name, text string, sync bool) {
	t.Helper()
	f, err := d.Create(name)
	if err != nil {
		t.Fatal(err)
	}
	if _, err := f.Write([]byte(text)); err != nil {
		t.Fatal(err)
	}
	if sync {
		if err := f.Sync(); err != nil {
			t.Fatal(err)
		}
	}
}

func TestKillKeepsWhatPowerLossTakes(t *testing.T) {
	is := is.New(t)
	d := New(1)
	write(t, d, "dir/a", "synced", true)
	is.NoErr(d.SyncDir("dir"))
	write(t, d, "dir/b", "not synced", false)
	d.Kill()
	b, err := d.ReadFile("dir/b")
	is.NoErr(err)
	is.Equal(string(b), "not synced")
	d.LosePower(Nothing)
	_, err = d.ReadFile("dir/b")
	is.True(errors.Is(err, fs.ErrNotExist))
	b, err = d.ReadFile("dir/a")
	is.NoErr(err)
	is.Equal(string(b), "synced")
}

func TestFailedSyncIsNotMadeGoodByTheNext(t *testing.T) {
	is := is.New(t)
	d := New(1)
	f, err := d.Create("dir/a")
	is.NoErr(err)
	is.NoErr(d.SyncDir("dir"))
	_, err = f.Write([]byte("first"))
	is.NoErr(err)
	d.SetFailing(true)
	is.True(f.Sync() != nil)
	d.SetFailing(false)
	_, err = f.Write([]byte("second"))
	is.NoErr(err)
	is.NoErr(f.Sync())
	b, _ := d.ReadFile("dir/a")
	is.Equal(string(b), "firstsecond")
	d.LosePower(Nothing)
	b, _ = d.ReadFile("dir/a")
	is.Equal(string(b), "\x00\x00\x00\x00\x00second")
}

func TestPowerLossLeavesEachChoiceOfWritesAndNames(t *testing.T) {
	is := is.New(t)
	seen := map[string]bool{}
	for seed := range uint64(2000) {
		d := New(seed)
		write(t, d, "dir/a", "old", true)
		is.NoErr(d.SyncDir("dir"))
		is.NoErr(d.Remove("dir/a"))
		write(t, d, "dir/b", "new", false)
		d.LosePower(Random)
		for _, name := range d.Names() {
			b, _ := d.ReadFile(name)
			seen[name+"="+string(b)] = true
		}
		if len(d.Names()) == 0 {
			seen["none"] = true
		}
	}
	for _, want := range []string{"none", "dir/a=old", "dir/b=", "dir/b=new", "dir/b=ne", "dir/b=n\x00w"} {
		is.True(seen[want])
	}
}

func TestProcessEndsAtTheChosenOperation(t *testing.T) {
	is := is.New(t)
	d := New(1)
	d.StopAfter(3)
	f, err := d.Create("dir/a")
	is.NoErr(err)
	_, err = f.Write([]byte("x"))
	is.NoErr(err)
	is.True(errors.Is(f.Sync(), ErrStopped))
	is.True(errors.Is(d.SyncDir("dir"), ErrStopped))
	d.Kill()
	is.NoErr(d.SyncDir("dir"))
}
