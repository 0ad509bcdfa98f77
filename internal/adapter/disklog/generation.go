package disklog

import (
	"encoding/json"
	"errors"
	"fmt"
	"io/fs"
	"path/filepath"
	"strconv"
	"strings"

	"github.com/samber/oops"

	"github.com/cassiapass/cassiapass/internal/core/consensus"
	"github.com/cassiapass/cassiapass/internal/core/ident"
)

// Identity names the member and group that a data folder belongs to. It is written
// once. A host that lost its disk gets a new identity and joins as a new member:
// under the old one it could vote twice in a term, because its votes are lost too.
type Identity struct {
	Node  consensus.NodeID `json:"node"`
	Group ident.Group      `json:"group"`
}

const (
	identityName     = "identity.json"
	damagedExt       = ".damaged"
	generationMarker = "-" // between extension and generation
)

// storedIdentity is the content of the identity file. Generation selects the segments and
// snapshots that belong to the identity, by their extension: replacing this one file sets all
// others aside, and a loss of power leaves either the old or the new state.
type storedIdentity struct {
	Identity
	Generation uint64  `json:"generation,omitempty"`
	Sum        *uint32 `json:"sum,omitempty"` // checksum; nil if an earlier release wrote the file
}

func (id storedIdentity) checksum() uint32 {
	return place{node: id.Node, segment: id.Generation}.checksum([]byte(id.Group))
}

// extension returns the extension of files of a generation.
func extension(ext string, generation uint64) string {
	if generation == 0 {
		return ext
	}
	return ext + generationMarker + strconv.FormatUint(generation, 10)
}

// identity reads the identity, or writes a new one to an empty folder.
func (f Folder) identity(makeIdentity func() Identity) (storedIdentity, error) {
	id, err := f.readIdentity(identityName)
	if errors.Is(err, fs.ErrNotExist) {
		return f.newIdentity(f.path(identityName), makeIdentity)
	}
	return id, err
}

func (f Folder) readIdentity(name string) (storedIdentity, error) {
	b, err := f.fs().ReadFile(f.path(name))
	if err != nil {
		return storedIdentity{}, oops.Wrapf(err, "read identity")
	}
	var id storedIdentity
	err = json.Unmarshal(b, &id)
	if err != nil || id.Node == consensus.None || id.Sum != nil && *id.Sum != id.checksum() {
		return storedIdentity{}, oops.Wrapf(ErrDamaged, "%s is damaged; %s", f.path(name), remedy)
	}
	return id, nil
}

// setAsideName returns the name under which the identity of a generation is set aside.
func setAsideName(generation uint64) string {
	return identityName + generationMarker + strconv.FormatUint(generation, 10) + damagedExt
}

// newIdentity writes the identity of an empty folder. A folder with log segments but
// without an identity is damaged.
func (f Folder) newIdentity(path string, makeIdentity func() Identity) (storedIdentity, error) {
	newest, found, err := f.newestGeneration()
	if err != nil {
		return storedIdentity{}, err
	}
	if found {
		return storedIdentity{}, oops.Wrapf(ErrDamaged, "%s is missing but log segments of generation %d exist; %s", path, newest, remedy)
	}
	id := storedIdentity{Identity: makeIdentity()}
	return id, f.writeIdentity(id)
}

func (f Folder) writeIdentity(id storedIdentity) error {
	sum := id.checksum()
	id.Sum = &sum
	b, err := json.Marshal(id)
	if err != nil {
		return oops.Wrapf(err, "encode identity")
	}
	return f.replace(f.path(identityName), b)
}

// newestGeneration returns the highest generation of which the folder holds segments.
func (f Folder) newestGeneration() (newest uint64, found bool, err error) {
	names, err := f.fs().List(f.Dir)
	if err != nil {
		return 0, false, oops.Wrapf(err, "list data folder")
	}
	for _, name := range names {
		if g, ok := segmentGeneration(name); ok {
			newest, found = max(newest, g), true
		}
	}
	return newest, found, nil
}

// segmentGeneration returns the generation of a segment; ok is false for other files.
func segmentGeneration(name string) (generation uint64, ok bool) {
	if name == barrierName {
		return 0, false
	}
	ext, suffix, marked := strings.Cut(filepath.Ext(name), generationMarker)
	if ext != segmentExt && ext != segmentExt1 {
		return 0, false
	}
	if !marked {
		return 0, true
	}
	generation, err := strconv.ParseUint(suffix, 10, 64)
	return generation, err == nil
}

// SetAside gives a damaged folder a new identity and an empty log of its own. All files of the
// old one stay as they are until RemoveSetAside. Only a host that joins its group as a new
// member may call it: what the folder held no longer counts towards a quorum.
func (f Folder) SetAside(id Identity) error {
	if err := f.writeBarrier(); err != nil {
		return err
	}
	newest, _, err := f.newestGeneration()
	if err != nil {
		return err
	}
	old, err := f.fs().ReadFile(f.path(identityName))
	if err == nil {
		var stored storedIdentity
		if json.Unmarshal(old, &stored) == nil {
			newest = max(newest, stored.Generation)
		}
		err = f.replace(f.path(setAsideName(newest)), old)
	}
	if err != nil && !errors.Is(err, fs.ErrNotExist) {
		return oops.Wrapf(err, "keep the identity of a damaged folder")
	}
	return f.writeIdentity(storedIdentity{Identity: id, Generation: newest + 1})
}

// HasSetAside reports whether the folder may hold files that were set aside.
func (l *Log) HasSetAside() bool { return l.generation > 0 }

// RemoveSetAside removes the files of earlier generations and returns how many there were. It may
// be called once the group holds what they held.
func (l *Log) RemoveSetAside() (removed int, err error) {
	names, err := l.fs.List(l.folder.Dir)
	if err != nil {
		return 0, oops.Wrapf(err, "list data folder")
	}
	for _, name := range names {
		if !l.isSetAside(name) {
			continue
		}
		if err := l.fs.Remove(l.folder.path(name)); err != nil {
			return removed, oops.Wrapf(err, "remove a file that was set aside")
		}
		removed++
	}
	return removed, nil
}

// isSetAside reports whether a file belongs to an earlier generation.
func (l *Log) isSetAside(name string) bool {
	if l.generation == 0 || name == barrierName {
		return false
	}
	ext, _, _ := strings.Cut(filepath.Ext(name), generationMarker)
	switch ext {
	case segmentExt1, damagedExt:
		return true
	case segmentExt, snapshotExt:
		return filepath.Ext(name) != extension(ext, l.generation)
	}
	return false
}

// writeBarrier creates the file that keeps releases which know only format 1 from reading the
// folder. The next sync of the folder makes it durable.
func (f Folder) writeBarrier() error {
	w, err := f.fs().Create(f.path(barrierName))
	if errors.Is(err, fs.ErrExist) {
		return nil
	}
	if err != nil {
		return oops.Wrapf(err, "create %s", barrierName)
	}
	return errors.Join(w.Sync(), w.Close())
}

func (f Folder) segmentName(number, generation uint64) string {
	return fmt.Sprintf("%016x%s", number, extension(segmentExt, generation))
}
