package disklog

import (
	"errors"
	"testing"

	"github.com/cassiapass/cassiapass/internal/core/consensus"
	"github.com/cassiapass/cassiapass/internal/fake/simdisk"
)

func simFolder(d *simdisk.Disk) Folder { return Folder{Dir: "data", FS: d} }

// openSim opens the folder on a simulated disk and checks that its log ends at last.
func openSim(t *testing.T, d *simdisk.Disk, last uint64) *Log {
	t.Helper()
	l, res, err := simFolder(d).Open(identity)
	if err != nil {
		t.Fatal(err)
	}
	if got := res.Snapshot.Index + uint64(len(res.Entries)); got != last {
		t.Fatalf("the log ends at %d, not %d", got, last)
	}
	return l
}

func saveSim(t *testing.T, l *Log, entries []consensus.Entry, hs *consensus.HardState) {
	t.Helper()
	if err := l.Save(entries, hs); err != nil {
		t.Fatal(err)
	}
}

// stopBeforeSync saves an entry and ends the process between the write and its sync.
func stopBeforeSync(t *testing.T, d *simdisk.Disk, l *Log, entries []consensus.Entry) {
	t.Helper()
	d.StopAfter(2)
	if err := l.Save(entries, nil); !errors.Is(err, simdisk.ErrStopped) {
		t.Fatal(err)
	}
}

// Guards against an entry that a start reads from the page cache, answers for and never syncs.
func TestEntryReadAfterKillSurvivesPowerLoss(t *testing.T) {
	d := simdisk.New(1)
	l := openSim(t, d, 0)
	saveSim(t, l, entries(1, 1, 2), nil)
	stopBeforeSync(t, d, l, entries(1, 3, 3))
	d.Kill()
	l = openSim(t, d, 3)
	saveSim(t, l, entries(2, 4, 4), nil)
	d.LosePower(simdisk.Nothing)
	openSim(t, d, 4)
}

// Guards against a vote that a start reads from the page cache, holds to and never syncs.
func TestVoteReadAfterKillSurvivesPowerLoss(t *testing.T) {
	d := simdisk.New(1)
	l := openSim(t, d, 0)
	d.StopAfter(2)
	vote := consensus.HardState{Term: 3, Vote: 9}
	if err := l.Save(nil, &vote); !errors.Is(err, simdisk.ErrStopped) {
		t.Fatal(err)
	}
	d.Kill()
	openSim(t, d, 0)
	d.LosePower(simdisk.Nothing)
	if _, res, err := simFolder(d).Open(identity); err != nil || res.HardState != vote {
		t.Fatal(res.HardState, err)
	}
}

// Guards against a write under way, torn by a loss of power, that is taken for damage.
func TestTornWriteOfSeveralEntriesIsNotDamage(t *testing.T) {
	for seed := range uint64(300) {
		d := simdisk.New(seed)
		l := openSim(t, d, 0)
		saveSim(t, l, entries(1, 1, 2), nil)
		stopBeforeSync(t, d, l, entries(1, 3, 11))
		d.LosePower(simdisk.Random)
		if _, _, err := simFolder(d).Open(identity); err != nil {
			t.Fatalf("seed %d: %v", seed, err)
		}
	}
}

// Guards against segments below a snapshot, of which some removals were lost, that are taken for damage.
func TestOldSegmentsRemovedInPartAreNotDamage(t *testing.T) {
	for seed := range uint64(400) {
		d := simdisk.New(seed)
		l := openSim(t, d, 0)
		for i := uint64(1); i <= 9; i += 3 {
			saveSim(t, l, entries(1, i, i+2), nil)
			if err := l.Close(); err != nil {
				t.Fatal(err)
			}
			l = openSim(t, d, i+2)
		}
		d.StopAfter(1 + int(seed%20))
		err := l.SaveSnapshot(consensus.Snapshot{Index: 9, Term: 1})
		d.LosePower(simdisk.Random)
		if _, _, openErr := simFolder(d).Open(identity); openErr != nil {
			t.Fatalf("seed %d: %v after %v", seed, openErr, err)
		}
	}
}

// Guards against an entry that holds a copy of a frame, which makes a torn write look like damage.
func TestTornWriteOfContentThatLooksLikeAFrameIsNotDamage(t *testing.T) {
	for seed := range uint64(100) {
		d := simdisk.New(seed)
		l := openSim(t, d, 0)
		saveSim(t, l, entries(1, 1, 1), nil)
		segment, err := d.ReadFile(l.segmentPath)
		if err != nil {
			t.Fatal(err)
		}
		stopBeforeSync(t, d, l, []consensus.Entry{{Term: 1, Index: 2, Data: segment}})
		d.LosePower(simdisk.Random)
		if _, _, err := simFolder(d).Open(identity); err != nil {
			t.Fatalf("seed %d: %v", seed, err)
		}
	}
}

// Guards against a folder that loses its damaged log, or its identity alone, while it is set aside.
func TestPowerLossWhileSettingAsideKeepsTheDamagedLog(t *testing.T) {
	fresh := Identity{Node: 8, Group: "main"}
	for seed := range uint64(600) {
		d := simdisk.New(seed)
		l := openSim(t, d, 0)
		for i := uint64(1); i <= 3; i++ {
			saveSim(t, l, entries(1, i, i), nil)
		}
		d.LosePower(simdisk.Nothing)
		damagedSegment := l.segmentPath
		d.Corrupt(damagedSegment, func(b []byte) []byte { b[100] ^= 0xff; return b })
		for try := 0; ; try++ {
			if try < 3 {
				d.StopAfter(1 + int(seed+uint64(try)*7)%20)
			}
			l, res, err := simFolder(d).Open(identity)
			if errors.Is(err, ErrDamaged) {
				err = simFolder(d).SetAside(fresh)
			}
			if err == nil && l != nil {
				if res.Identity != fresh || res.Snapshot.Index+uint64(len(res.Entries)) != 0 || res.HardState.Vote != consensus.None {
					t.Fatalf("seed %d: opened %+v", seed, res)
				}
				break
			}
			if err != nil && !errors.Is(err, simdisk.ErrStopped) {
				t.Fatalf("seed %d: %v", seed, err)
			}
			d.LosePower(simdisk.Random)
		}
		if b, err := d.ReadFile(damagedSegment); err != nil || len(b) == 0 {
			t.Fatalf("seed %d: the damaged log is gone: %v", seed, err)
		}
		if b, err := d.ReadFile("data/identity.json-0.damaged"); err != nil || len(b) == 0 {
			t.Fatalf("seed %d: the old identity is gone: %v", seed, err)
		}
	}
}
