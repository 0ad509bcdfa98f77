package disklog

import (
	"errors"
	"testing"

	"github.com/matryer/is"

	"github.com/cassiapass/cassiapass/internal/core/consensus"
	"github.com/cassiapass/cassiapass/internal/fake/simdisk"
)

// setAsideSim returns a disk whose log was damaged after entry 2 of 4 and set aside.
func setAsideSim(t *testing.T) *simdisk.Disk {
	t.Helper()
	d := simdisk.New(1)
	l := openSim(t, d, 0)
	saveSim(t, l, entries(1, 1, 1), &consensus.HardState{Term: 1, Vote: 7})
	saveSim(t, l, entries(1, 2, 2), nil)
	at := int(l.place.offset)
	saveSim(t, l, entries(2, 3, 3), &consensus.HardState{Term: 2, Vote: 9, Commit: 2})
	saveSim(t, l, entries(2, 4, 4), nil)
	d.Kill()
	d.Corrupt(l.segmentPath, func(b []byte) []byte { b[at+20] ^= 0xff; return b })
	if _, _, err := simFolder(d).Open(identity); !errors.Is(err, ErrDamaged) {
		t.Fatal(err)
	}
	if err := simFolder(d).SetAside(Identity{Node: 8, Group: "main"}); err != nil {
		t.Fatal(err)
	}
	openSim(t, d, 0)
	d.Kill()
	return d
}

func TestInspectTellsWhatCanBeRead(t *testing.T) {
	is := is.New(t)
	d := setAsideSim(t)
	before := d.Ops()
	all, err := simFolder(d).Inspect()
	is.NoErr(err)
	is.Equal(d.Ops(), before) // it changes nothing
	is.Equal(len(all), 2)
	is.Equal(all[0].Identity.Node, consensus.NodeID(7))
	is.Equal(all[0].Last(), uint64(2))
	is.True(errors.Is(all[0].Damage, ErrDamaged))
	is.True(all[1].InUse)
	is.Equal(all[1].Identity.Node, consensus.NodeID(8))
	is.Equal(all[1].Last(), uint64(0))
}

func TestRestoreNeedsTheIndexThatIsLeft(t *testing.T) {
	is := is.New(t)
	d := setAsideSim(t)
	f := simFolder(d)
	is.True(f.Restore(0, 4) != nil)
	is.True(f.Restore(5, 2) != nil)
	is.True(f.Restore(1, 0) != nil) // in force and whole
	is.NoErr(f.Restore(0, 2))
	l, res, err := f.Open(identity)
	is.NoErr(err)
	is.Equal(res.Identity.Node, consensus.NodeID(7))
	is.Equal(len(res.Entries), 2)
	is.Equal(res.HardState.Vote, consensus.None)
	is.True(res.HardState.Term > 2) // beyond each term in which it may have voted
	saveSim(t, l, entries(res.HardState.Term+1, 3, 3), nil)
	d.LosePower(simdisk.Nothing)
	openSim(t, d, 3)
}

// Guards against a restore that takes a host out of a group which lives.
func TestRestoreIsRefusedOnceTheHostJoinedAgain(t *testing.T) {
	is := is.New(t)
	d := setAsideSim(t)
	l := openSim(t, d, 0)
	saveSim(t, l, entries(5, 1, 1), nil)
	d.Kill()
	is.True(simFolder(d).Restore(0, 2) != nil)
	openSim(t, d, 1)
}

// Guards against a restore that is interrupted and leaves neither the old state nor the new one.
func TestPowerLossDuringRestoreLeavesEitherState(t *testing.T) {
	for seed := range uint64(300) {
		d := setAsideSim(t).Clone(seed)
		d.StopAfter(1 + int(seed%14))
		err := simFolder(d).Restore(0, 2)
		d.LosePower(simdisk.Random)
		_, res, openErr := simFolder(d).Open(identity)
		if openErr != nil {
			t.Fatalf("seed %d: %v", seed, openErr)
		}
		restored := res.Identity.Node == 7 && len(res.Entries) == 2
		before := res.Identity.Node == 8 && len(res.Entries) == 0
		if !restored && (!before || err == nil) {
			t.Fatalf("seed %d: node %d, %d entries after %v", seed, res.Identity.Node, len(res.Entries), err)
		}
	}
}
