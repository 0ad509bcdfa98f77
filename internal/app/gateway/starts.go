package gateway

import (
	"time"

	"github.com/cassiapass/cassiapass/internal/core/fleet"
)

// overKept is how long an ended incarnation is remembered: longer than lists and publications lag.
const overKept = 30 * time.Second

// latestStart is the latest start of an endpoint that has been known.
type latestStart struct {
	startedAt int64
	leaving   bool
	knownAt   time.Time // when it was last known
}

// noteStart remembers an incarnation of an endpoint, and whether it leaves. The caller holds mu.
func (d *directory) noteStart(ep fleet.Endpoint, leaving bool) {
	l := d.starts[ep.Name()]
	if ep.StartedAt < l.startedAt || ep.StartedAt == 0 {
		return
	}
	leaving = leaving || l.leaving && ep.StartedAt == l.startedAt
	d.starts[ep.Name()] = latestStart{ep.StartedAt, leaving, time.Now()}
}

// isOver reports whether a later incarnation than a listed one is known or was: a new leader's list may
// be older than what this entry has read. The caller holds mu.
func (d *directory) isOver(ep fleet.Endpoint) bool {
	l := d.starts[ep.Name()]
	return ep.StartedAt != 0 && ep.StartedAt < l.startedAt
}

// pruneStarts forgets ended incarnations. The caller holds mu.
func (d *directory) pruneStarts(now time.Time) {
	for _, e := range d.byID {
		d.noteStart(e.Endpoint, d.saysItLeaves(e))
	}
	for name, l := range d.starts {
		if now.Sub(l.knownAt) > overKept {
			delete(d.starts, name)
		}
	}
}
