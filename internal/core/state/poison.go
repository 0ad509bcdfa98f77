package state

import (
	"fmt"
	"strings"

	"github.com/cassiapass/cassiapass/internal/core/poison"
)

// Poison returns the requests that are quarantined, and the key of their fingerprints. The
// caller only reads it.
func (s *State) Poison() poison.Registry { return s.poison }

// notePoison takes a note on requests under which endpoints ended.
func (s *State) notePoison(by string, n poison.Note) Result {
	for _, f := range n.Lift {
		if !s.poison.Has(f) {
			return Result{Code: NotFound, Message: fmt.Sprintf("request %s is not quarantined", f)}
		}
	}
	for _, f := range n.Answered {
		if s.suspects.Clear(f) && s.poison.Has(f) {
			n.Lift = append(n.Lift, f)
		}
	}
	for _, e := range n.Ends {
		if _, quarantined := s.suspects.Ended(s.now, e); quarantined {
			n.Add = append(n.Add, poison.Case{Request: e.Request, Starts: s.suspects.StartsOf(e.Request), Quarantined: s.now})
		}
	}
	s.setPoison(by, n)
	return Result{Code: OK, Revision: s.index}
}

// setPoison puts a note in force and tells subscribers.
func (s *State) setPoison(by string, n poison.Note) {
	for _, f := range n.Lift {
		s.suspects.Clear(f)
		s.log(AuditEvent{By: by, Action: ActionLift, Subject: f.String()})
	}
	for _, c := range n.Add {
		s.log(AuditEvent{By: by, Action: ActionQuarantine, Subject: c.Request.String(), Reason: "ended under it: " + strings.Join(c.Starts, ", ")})
	}
	next := s.poison.Next(n)
	if next.Equal(s.poison) {
		return
	}
	s.poison = next
	s.changes = append(s.changes, Change{Index: s.index, Poison: &next})
}

// lapsePoison ends the quarantines that the log itself decided and whose time is over.
func (s *State) lapsePoison() {
	var n poison.Note
	for _, f := range s.suspects.Sweep(s.now) {
		if s.poison.Has(f) {
			n.Lift = append(n.Lift, f)
		}
	}
	if len(n.Lift) == 0 {
		return
	}
	probation := map[poison.Fingerprint]poison.Case{}
	for _, c := range s.suspects.Cases() {
		probation[c.Request] = c
	}
	s.setPoison("control", n)
	for _, f := range n.Lift {
		s.suspects.Put(probation[f]) // the next end quarantines it again
	}
}
