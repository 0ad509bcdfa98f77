package control

import (
	"github.com/cassiapass/cassiapass/internal/core/consensus"
	"github.com/cassiapass/cassiapass/internal/port"
)

// volatileDisk replaces the log on disk on a host that has no disk. Such a host
// never votes and gets a new identity at each start, so nothing that it forgets was
// promised to any other host; consensus itself holds what it needs while it runs. A
// temporary folder instead fails on a platform that allows neither locks nor renames in
// it: control then restarts every 0.3 s and never runs.
type volatileDisk struct{}

// Save implements port.Disk.
func (volatileDisk) Save([]consensus.Entry, *consensus.HardState) error { return nil }

// SaveSnapshot implements port.Disk.
func (volatileDisk) SaveSnapshot(consensus.Snapshot) error { return nil }

// Close implements port.Disk.
func (volatileDisk) Close() error { return nil }

var _ port.Disk = volatileDisk{}
