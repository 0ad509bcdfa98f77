package state

import (
	"fmt"
	"strings"

	"github.com/cassiapass/cassiapass/internal/core/poison"
)

// Poison returns the registry of quarantined requests, with the key of their fingerprints.
// The caller must not modify it.
func (s *State) Poison() poison.Registry { return s.poison }

// applyPoison applies a change of the quarantines as it was submitted (Add, Lift), and the
// observations of entries: it quarantines requests with enough reported ends, and lifts the
// quarantines of requests that were answered.
func (s *State) applyPoison(by string, n poison.Change) Result {
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
			n.Add = append(n.Add, poison.Case{Request: e.Request, Incarnations: s.suspects.IncarnationsOf(e.Request), Quarantined: s.now})
		}
	}
	s.setPoison(by, n)
	return Result{Code: OK, Revision: s.index}
}

// setPoison updates the registry, writes the audit events and publishes the change.
func (s *State) setPoison(by string, n poison.Change) {
	for _, f := range n.Lift {
		s.suspects.Clear(f)
		s.log(AuditEvent{By: by, Action: ActionLift, Subject: f.String()})
	}
	for _, c := range n.Add {
		s.log(AuditEvent{By: by, Action: ActionQuarantine, Subject: c.Request.String(), Reason: "ended under it: " + strings.Join(c.Incarnations, ", ")})
	}
	next := s.poison.Next(n)
	if next.Equal(s.poison) {
		return
	}
	s.poison = next
	s.changes = append(s.changes, Change{Index: s.index, Poison: &next})
}

// expireQuarantines lifts the quarantines that the state machine itself decided from reported
// ends and whose time is over; those submitted as Change.Add are lifted by a Change only. The
// requests stay on probation: the next end of an endpoint quarantines them again.
func (s *State) expireQuarantines() {
	var n poison.Change
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
		s.suspects.Put(probation[f]) // setPoison cleared the case
	}
}
