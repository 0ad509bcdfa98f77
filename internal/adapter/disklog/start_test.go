package disklog

import (
	"errors"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/matryer/is"

	"github.com/cassiapass/cassiapass/internal/fake/simdisk"
)

func TestForeignFileIsReportedAndNothingChanged(t *testing.T) {
	for _, name := range []string{"notes.seg", "notes.log", "0-backup.seg"} {
		is := is.New(t)
		dir := t.TempDir()
		l, _ := open(t, dir)
		is.NoErr(l.Save(entries(1, 1, 2), nil))
		is.NoErr(l.Close())
		before, err := Folder{Dir: dir}.segments(0)
		is.NoErr(err)
		is.NoErr(os.WriteFile(filepath.Join(dir, name), []byte("not ours"), 0o600))
		_, _, err = Folder{Dir: dir}.Open(identity)
		is.True(err != nil && !errors.Is(err, ErrDamaged) && strings.Contains(err.Error(), name))
		is.NoErr(os.Remove(filepath.Join(dir, name)))
		after, err := Folder{Dir: dir}.segments(0)
		is.NoErr(err)
		is.Equal(before, after)
		_, res := open(t, dir)
		is.Equal(len(res.Entries), 2)
	}
}

func TestFullDiskAtStartLosesNothing(t *testing.T) {
	is := is.New(t)
	d := simdisk.New(1)
	l := openSim(t, d, 0)
	saveSim(t, l, entries(1, 1, 2), nil)
	d.SetFailing(true)
	for range 3 {
		_, _, err := simFolder(d).Open(identity)
		is.True(errors.Is(err, simdisk.ErrIO))
		is.True(!errors.Is(err, ErrDamaged))
	}
	d.SetFailing(false)
	l = openSim(t, d, 2)
	saveSim(t, l, entries(1, 3, 3), nil)
	d.LosePower(simdisk.Nothing)
	openSim(t, d, 3)
}
