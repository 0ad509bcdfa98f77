package state

import (
	"fmt"
	"strings"

	"github.com/cassiapass/cassiapass/internal/core/poison"
)

// Poison returns the requests that are quarantined, and the key of their fingerprints. The
// caller only reads it.
func (s *State) Poison() poison.Registry { return s.poison }

// notePoison takes a note on quarantined requests in.
func (s *State) notePoison(by string, n poison.Note) Result {
	for _, f := range n.Lift {
		if !s.poison.Has(f) {
			return Result{Code: NotFound, Message: fmt.Sprintf("request %s is not quarantined", f)}
		}
	}
	for _, f := range n.Lift {
		s.log(AuditEvent{By: by, Action: ActionLift, Subject: f.String()})
	}
	for _, c := range n.Add {
		s.log(AuditEvent{By: by, Action: ActionQuarantine, Subject: c.Request.String(), Reason: "ended under it: " + strings.Join(c.Starts, ", ")})
	}
	s.poison = s.poison.Next(n)
	return Result{Code: OK, Revision: s.index}
}
