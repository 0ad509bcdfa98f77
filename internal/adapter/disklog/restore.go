package disklog

import (
	"fmt"

	"github.com/samber/oops"

	"github.com/cassiapass/cassiapass/internal/core/consensus"
)

// restoredTermGap is added to the term of a restored log. The part that is lost may hold votes; no
// election reaches their terms again.
const restoredTermGap = 1 << 20

// Generation is what can be read of one log in a data folder.
type Generation struct {
	Number    uint64
	InUse     bool
	Identity  Identity // zero if it can't be read
	HardState consensus.HardState
	Snapshot  consensus.Snapshot
	Entries   []consensus.Entry
	Damage    error // what ends the readable part; nil if all can be read
}

// Last returns the index of the last entry that can be read.
func (g Generation) Last() uint64 { return g.Snapshot.Index + uint64(len(g.Entries)) }

// Inspect reads all logs of a data folder that no process uses, the damaged ones as far as they can
// be read. It changes nothing.
func (f Folder) Inspect() ([]Generation, error) {
	if _, err := f.fs().List(f.Dir); err != nil {
		return nil, oops.Wrapf(err, "list data folder")
	}
	unlock, locked, err := f.fs().Lock(f.path(lockName))
	if err != nil || !locked {
		return nil, oops.Errorf("data folder %s is in use: stop its process first (%v)", f.Dir, err)
	}
	defer func() { _ = unlock() }()
	return f.generations()
}

func (f Folder) generations() ([]Generation, error) {
	newest, _, err := f.newestGeneration()
	if err != nil {
		return nil, err
	}
	present, presentErr := f.readIdentity(identityName)
	if presentErr == nil {
		newest = max(newest, present.Generation)
	}
	var out []Generation
	for n := uint64(0); n <= newest; n++ {
		if presentErr == nil && present.Generation == n {
			out = append(out, f.generation(present, nil, true))
			continue
		}
		id, err := f.setAsideIdentity(n)
		segs, listErr := f.segments(n)
		if listErr != nil {
			return nil, listErr
		}
		if len(segs) > 0 {
			out = append(out, f.generation(id, err, false))
		}
	}
	return out, nil
}

// setAsideIdentity reads the identity of a log that was set aside.
func (f Folder) setAsideIdentity(generation uint64) (storedIdentity, error) {
	id := storedIdentity{Generation: generation}
	stored, err := f.readIdentity(setAsideName(generation))
	if err == nil && stored.Generation != generation {
		err = oops.Wrapf(ErrDamaged, "the identity of generation %d", generation)
	}
	if err != nil {
		return id, err
	}
	return stored, nil
}

// generation reads the log of one generation as far as it can be read.
func (f Folder) generation(id storedIdentity, idErr error, inUse bool) Generation {
	g := Generation{Number: id.Generation, InUse: inUse, Identity: id.Identity, Damage: idErr}
	if idErr != nil {
		return g
	}
	res := &Restored{}
	l := &Log{folder: f, fs: f.fs(), maxIndex: map[string]uint64{}, generation: id.Generation, place: place{node: id.Node}}
	g.Damage = l.readAll(res)
	g.HardState, g.Snapshot, g.Entries = res.HardState, res.Snapshot, res.Entries
	return g
}

// Restore puts a log that was set aside in force again under its own identity, as far as it can
// be read. What followed is lost, so last must be the index that Inspect gives: the caller has
// read it. No file is overwritten but the identity, which names the log in force; a loss of power
// leaves either the old or the new state.
//
// It is for a group that has lost its quorum for good. With a quorum left, the host must join as
// a new member instead, which loses nothing.
func (f Folder) Restore(number, last uint64) error {
	all, err := f.Inspect()
	if err != nil {
		return err
	}
	newest, from := uint64(0), (*Generation)(nil)
	for i, g := range all {
		newest = max(newest, g.Number)
		if g.InUse && g.Number != number && g.Last() > 0 {
			return fmt.Errorf("generation %d is in force and holds entries up to %d: this host is part of a group that lives", g.Number, g.Last())
		}
		if g.Number == number {
			from = &all[i]
		}
	}
	switch {
	case from == nil:
		return fmt.Errorf("data folder %s holds no generation %d", f.Dir, number)
	case from.Identity.Node == consensus.None:
		return fmt.Errorf("the identity of generation %d cannot be read: %w", number, from.Damage)
	case from.InUse && from.Damage == nil:
		return fmt.Errorf("generation %d is in force and whole", number)
	case from.Last() != last:
		return fmt.Errorf("generation %d can be read up to entry %d, not %d", number, from.Last(), last)
	}
	return f.restore(*from, newest+1)
}

func (f Folder) restore(from Generation, number uint64) error {
	if err := f.writeBarrier(); err != nil {
		return err
	}
	l := &Log{folder: f, fs: f.fs(), maxIndex: map[string]uint64{}, generation: number, place: place{node: from.Identity.Node}, last: from.Last()}
	l.hardState = consensus.HardState{Term: from.HardState.Term + restoredTermGap, Commit: max(from.Snapshot.Index, min(from.HardState.Commit, from.Last()))}
	if from.Snapshot.Index > 0 {
		if err := l.writeSnapshot(from.Snapshot); err != nil {
			return err
		}
	}
	if err := l.rotate(from.Entries); err != nil {
		return err
	}
	if err := l.current.Close(); err != nil {
		return oops.Wrapf(err, "close segment")
	}
	return f.writeIdentity(storedIdentity{Identity: from.Identity, Generation: number})
}
