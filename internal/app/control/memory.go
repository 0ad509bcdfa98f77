package control

import (
	"github.com/cassiapass/cassiapass/internal/core/consensus"
	"github.com/cassiapass/cassiapass/internal/port"
)

// memory is in the place of the log on disk where a host has no disk. Such a host
// never votes and is made anew at each start, so nothing that it forgets was promised
// to anybody; consensus itself holds what it needs while it runs. A temporary folder
// in its place fails where the platform's allows neither locks nor renames: control
// then starts every 0.3 s, all day, and never runs.
type memory struct{}

// Save implements port.Disk.
func (memory) Save([]consensus.Entry, *consensus.HardState) error { return nil }

// SaveSnapshot implements port.Disk.
func (memory) SaveSnapshot(consensus.Snapshot) error { return nil }

// Close implements port.Disk.
func (memory) Close() error { return nil }

var _ port.Disk = memory{}
