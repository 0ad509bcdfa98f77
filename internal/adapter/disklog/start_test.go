package disklog

import (
	"errors"
	"io/fs"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/matryer/is"

	"github.com/cassiapass/cassiapass/internal/core/consensus"
	"github.com/cassiapass/cassiapass/internal/fake/simdisk"
	"github.com/cassiapass/cassiapass/internal/port"
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

// denied refuses an operation on files with a suffix, or on the folder, for lack of permission.
type denied struct {
	port.FS
	op, suffix string
}

func (d denied) check(op, path string) error {
	if d.op == op && strings.HasSuffix(path, d.suffix) {
		return &fs.PathError{Op: op, Path: path, Err: fs.ErrPermission}
	}
	return nil
}

func (d denied) List(dir string) ([]string, error) {
	if err := d.check("list", dir); err != nil {
		return nil, err
	}
	return d.FS.List(dir)
}

func (d denied) ReadFile(path string) ([]byte, error) {
	if err := d.check("read", path); err != nil {
		return nil, err
	}
	return d.FS.ReadFile(path)
}

func (d denied) Create(path string) (port.File, error) {
	if err := d.check("create", path); err != nil {
		return nil, err
	}
	return d.FS.Create(path)
}

// Guards against a folder that is taken for empty or damaged because it may not be read or written.
func TestLackOfPermissionAtStartLosesNothing(t *testing.T) {
	for _, no := range []denied{{op: "list"}, {op: "read", suffix: ".seg"}, {op: "read", suffix: ".snap"}, {op: "read", suffix: ".json"}, {op: "create"}} {
		t.Run(no.op+no.suffix, func(t *testing.T) {
			is := is.New(t)
			d := simdisk.New(1)
			l := openSim(t, d, 0)
			saveSim(t, l, entries(1, 1, 2), nil)
			is.NoErr(l.SaveSnapshot(consensus.Snapshot{Index: 1, Term: 1}))
			no.FS = d
			f := simFolder(d)
			f.FS = no
			_, _, err := f.Open(identity)
			is.True(errors.Is(err, fs.ErrPermission))
			is.True(!errors.Is(err, ErrDamaged))
			_, res, err := simFolder(d).Open(identity)
			is.NoErr(err)
			is.Equal(res.Snapshot.Index, uint64(1))
			is.Equal(len(res.Entries), 1)
		})
	}
}
