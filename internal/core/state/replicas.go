package state

import (
	"fmt"

	"github.com/cassiapass/cassiapass/internal/core/ident"
)

func (s *State) setEndpoint(by string, c EndpointUpdate) Result {
	e := c.Endpoint
	old, known := s.endpoints[e.Host]
	// A delayed registration of a process that no longer exists would otherwise
	// replace that of its successor.
	if known && e.Incarnation < old.Incarnation {
		return Result{Code: Stale, Message: fmt.Sprintf("incarnation %d of %s is known", old.Incarnation, e.Host)}
	}
	if e.Memory < s.used[e.Host] {
		// A smaller memory setting does not remove replicas granted earlier.
		return Result{Code: OverMemory, Message: fmt.Sprintf("%d bytes are granted at %s, more than %d", s.used[e.Host], e.Host, e.Memory)}
	}
	e.Revision = s.index
	s.endpoints[e.Host] = e
	s.changes = append(s.changes, Change{Index: s.index, Endpoint: &e})
	s.log(AuditEvent{By: by, Action: ActionEndpoint, Subject: string(e.Host), Host: e.Host, Reason: c.Reason})
	return Result{Code: OK, Revision: s.index}
}

func (s *State) forget(by string, c EndpointRemoval) Result {
	old, known := s.endpoints[c.Host]
	if !known || old.Incarnation != c.Incarnation {
		return Result{Code: Stale, Message: fmt.Sprintf("%s is not known under incarnation %d", c.Host, c.Incarnation)}
	}
	for _, id := range s.ByHost(c.Host) {
		s.remove(by, s.replicas[id], c.Reason)
	}
	delete(s.endpoints, c.Host)
	s.changes = append(s.changes, Change{Index: s.index, RemovedEndpoint: c.Host})
	s.log(AuditEvent{By: by, Action: ActionEndpoint, Subject: string(c.Host), Host: c.Host, Reason: "forgotten: " + c.Reason})
	return Result{Code: OK}
}

// grant adds a replica unless that would exceed the endpoint's memory or the maximum
// number of replicas. The planner checks the same limits, but its state may be
// outdated; here they are checked against the state of the log.
func (s *State) grant(by string, c Grant) Result {
	stmt, ok := s.requirements[c.Target]
	bytes := stmt.Bytes
	if !ok {
		return Result{Code: NotFound, Message: fmt.Sprintf("no record in force states %s", c.Target)}
	}
	e, ok := s.endpoints[c.Host]
	if !ok || e.Leaving || !e.Up {
		return Result{Code: Unavailable, Message: fmt.Sprintf("endpoint %s is unknown, down or leaving", c.Host)}
	}
	if s.Count(c.Target) >= s.MaxReplicas(c.Target) {
		return Result{Code: TooManyReplicas, Message: fmt.Sprintf("%d replicas of %s are decided already", s.Count(c.Target), c.Target)}
	}
	if s.used[c.Host]+bytes > e.Memory {
		return Result{Code: OverMemory, Message: fmt.Sprintf("%s has %d of %d bytes granted; %d more do not fit", c.Host, s.used[c.Host], e.Memory, bytes)}
	}
	if _, dup := s.at(c.Target, c.Host); dup {
		return Result{Code: TooManyReplicas, Message: fmt.Sprintf("%s is at %s already", c.Target, c.Host)}
	}
	if base, ok := s.at(c.Target.Base(), c.Host); c.Target.IsAdapter() && (!ok || base.Phase == Draining) {
		return Result{Code: Unavailable, Message: fmt.Sprintf("%s lacks the base model of %s", c.Host, c.Target)}
	}
	r := Replica{ID: s.index, Target: c.Target, Host: c.Host, Bytes: bytes, Phase: Granted, Reason: c.Reason, Since: s.now, Revision: s.index}
	s.replicas[r.ID] = r
	s.updateIndexes(r, +1)
	s.changes = append(s.changes, Change{Index: s.index, Replica: &r})
	s.logReplica(by, ActionGrant, r, c.Reason)
	return Result{Code: OK, Revision: r.ID}
}

// at returns the replica of t on host h.
func (s *State) at(t ident.Target, h ident.HostID) (Replica, bool) {
	id, ok := s.byPlacement[placement{t, h}]
	return s.replicas[id], ok
}

// At returns the replica of t on host h.
func (s *State) At(t ident.Target, h ident.HostID) (Replica, bool) { return s.at(t, h) }

func (s *State) setReplica(by string, c ReplicaUpdate) Result {
	r, ok := s.replicas[c.ID]
	if !ok {
		return Result{Code: NotFound, Message: fmt.Sprintf("no replica %d", c.ID)}
	}
	if c.Removed {
		// The agent unloads adapters before their base model. If the base model was
		// lost, its adapters are lost with it, and the reports of their removal follow.
		for _, dep := range s.Dependents(r) {
			s.remove(by, dep, "its base model is gone: "+c.Reason)
		}
		s.remove(by, r, c.Reason)
		return Result{Code: OK}
	}
	if r.Phase == Draining && c.Phase != Draining {
		return Result{Code: Stale, Message: "a draining replica does not come back"}
	}
	if r.Phase == c.Phase {
		return Result{Code: OK, Revision: r.Revision}
	}
	r.Phase, r.Since, r.Revision = c.Phase, s.now, s.index
	s.replicas[r.ID] = r
	s.changes = append(s.changes, Change{Index: s.index, Replica: &r})
	action := ActionReady
	if c.Phase == Draining {
		action = ActionDrain
	}
	s.logReplica(by, action, r, c.Reason)
	return Result{Code: OK, Revision: s.index}
}

// Dependents returns the adapter replicas that need base replica r.
func (s *State) Dependents(r Replica) []Replica {
	if r.Target.IsAdapter() {
		return nil
	}
	var out []Replica
	for _, id := range s.ByHost(r.Host) {
		d := s.replicas[id]
		if d.Target.IsAdapter() && d.Target.Base() == r.Target {
			out = append(out, d)
		}
	}
	return out
}

func (s *State) remove(by string, r Replica, reason string) {
	if _, ok := s.replicas[r.ID]; !ok {
		return
	}
	delete(s.replicas, r.ID)
	s.updateIndexes(r, -1)
	s.changes = append(s.changes, Change{Index: s.index, Removed: r.ID, Host: r.Host})
	s.logReplica(by, ActionRemove, r, reason)
}

func (s *State) logReplica(by string, a Action, r Replica, reason string) {
	s.log(AuditEvent{By: by, Action: a, Subject: fmt.Sprintf("replica %d", r.ID), Target: r.Target.String(), Host: r.Host, Reason: reason})
}

// ReplicasOf returns the replicas of a target in ascending order of their IDs.
func (s *State) ReplicasOf(t ident.Target) []Replica {
	var out []Replica
	for _, id := range s.byTarget[t] {
		out = append(out, s.replicas[id])
	}
	return out
}
