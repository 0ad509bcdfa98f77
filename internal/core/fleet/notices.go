package fleet

import "time"

// Notice is what an engine asked of entries.
type Notice struct {
	Leaving     bool
	Refusing    bool      // it turns requests away and names no time
	PausedUntil time.Time // zero if it asked for no pause
}

// longPause is the pause from which on another engine is worth a load for the models that the
// pausing one holds: a load from disk takes some 0.4 s.
const longPause = time.Second

// SetNotices sets what engines asked of entries. An engine that is not named has asked for
// nothing but what it has asked for before: leaving holds for one incarnation.
func (p *Planner) SetNotices(notices map[EndpointID]Notice) {
	for id, e := range p.engines {
		n := notices[id]
		e.pausedUntil, e.refusing = n.PausedUntil, n.Refusing
		if n.Leaving && !e.saysLeaving {
			e.saysLeaving = true
			p.setLeaving(e, true)
		}
	}
}

// setLeaving applies what the list, a report or an engine's word to an entry says of its leaving. An
// incarnation that leaves never stays, whatever older news say.
func (p *Planner) setLeaving(e *engine, leaving bool) {
	if leaving && !e.ep.Leaving {
		e.ep.Leaving, p.changed = true, true
		e.needsReport = true // its report contains how long it stays
	}
}

// serves reports whether an engine takes requests for the models that it holds, and goes on to.
func (e *engine) serves(now time.Time) bool {
	return !e.ep.Leaving && !e.refusing && e.pausedUntil.Sub(now) < longPause
}
