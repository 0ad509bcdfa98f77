// Package view is what a subscriber knows of the control group's state: the
// records in force, endpoints and replicas, built from a first full copy and
// the changes after it.
//
// A View never goes back. Changes that were seen are skipped, so it does not
// matter which control host sends them, how often, or after how long a silence.
package view

import (
	"fmt"

	"github.com/cassiapass/cassiapass/internal/core/ident"
	"github.com/cassiapass/cassiapass/internal/core/poison"
	"github.com/cassiapass/cassiapass/internal/core/record"
	"github.com/cassiapass/cassiapass/internal/core/state"
)

// View is one subscriber's copy. It is not safe for concurrent use.
type View struct {
	index     ident.Index // everything up to here is taken in
	config    ident.Index // newest record change taken in
	records   map[string]state.Record
	services  map[string]*record.Service
	endpoints map[ident.HostID]state.Endpoint
	replicas  map[ident.Index]state.Replica
	byTarget  map[ident.Target]map[ident.Index]struct{}
	poison    poison.Registry
}

// New returns an empty View.
func New() *View {
	v := &View{}
	v.clear()
	return v
}

func (v *View) clear() {
	v.records = map[string]state.Record{}
	v.services = map[string]*record.Service{}
	v.endpoints = map[ident.HostID]state.Endpoint{}
	v.replicas = map[ident.Index]state.Replica{}
	v.byTarget = map[ident.Target]map[ident.Index]struct{}{}
	v.poison = poison.Registry{}
}

// Index returns the index up to which everything is taken in.
func (v *View) Index() ident.Index { return v.index }

// Config returns the index of the newest record change taken in: the
// configuration in force here.
func (v *View) Config() ident.Index { return v.config }

// Reset replaces the view by a full copy at index to. A copy older than the
// view is ignored: a control host that lags must not take a process back.
func (v *View) Reset(to ident.Index, changes []state.Change) (bool, error) {
	if to < v.index {
		return false, nil
	}
	known := v.records
	v.clear()
	for _, c := range changes {
		if err := v.take(c); err != nil {
			return false, err
		}
	}
	// A record handed over by an agent may be newer than the copy.
	for name, r := range known {
		if r.Revision > to {
			if err := v.takeRecord(name, r); err != nil {
				return false, err
			}
		}
	}
	v.index = to
	return true, nil
}

// Apply takes in the changes after from, up to index to. It returns false when
// changes are missing before from, so that the subscriber asks anew.
func (v *View) Apply(from, to ident.Index, changes []state.Change) (bool, error) {
	if from > v.index {
		return false, nil
	}
	for _, c := range changes {
		if c.Index <= v.index {
			continue
		}
		if err := v.take(c); err != nil {
			return false, err
		}
	}
	v.index = max(v.index, to)
	return true, nil
}

// ApplyRecords takes in record changes that an agent handed over. The index
// does not move: replica changes in between are not among them.
func (v *View) ApplyRecords(rs []state.Record) error {
	for _, r := range rs {
		if err := v.takeRecord(r.Name, r); err != nil {
			return err
		}
	}
	return nil
}

func (v *View) take(c state.Change) error {
	switch {
	case c.Record != nil:
		return v.takeRecord(c.Record.Name, *c.Record)
	case c.Endpoint != nil:
		v.endpoints[c.Endpoint.Host] = *c.Endpoint
	case c.Forgot != "":
		delete(v.endpoints, c.Forgot)
	case c.Replica != nil:
		v.putReplica(*c.Replica)
	case c.Removed != 0:
		v.dropReplica(c.Removed)
	case c.Poison != nil:
		v.poison = *c.Poison
	}
	return nil
}

func (v *View) takeRecord(name string, r state.Record) error {
	if old, ok := v.records[name]; ok && old.Revision >= r.Revision {
		return nil
	}
	before := v.config
	v.records[name] = r
	v.config = max(v.config, r.Revision)
	if v.config < before {
		panic(fmt.Sprintf("invariant: view: configuration went back from %d to %d", before, v.config))
	}
	delete(v.services, name)
	if r.Withdrawn {
		return nil
	}
	svc, err := record.Parse(r.Raw)
	if err != nil {
		return fmt.Errorf("record %s at revision %d: %w", name, r.Revision, err)
	}
	v.services[name] = svc
	return nil
}

func (v *View) putReplica(r state.Replica) {
	v.replicas[r.ID] = r
	if v.byTarget[r.Target] == nil {
		v.byTarget[r.Target] = map[ident.Index]struct{}{}
	}
	v.byTarget[r.Target][r.ID] = struct{}{}
}

func (v *View) dropReplica(id ident.Index) {
	r, ok := v.replicas[id]
	if !ok {
		return
	}
	delete(v.replicas, id)
	delete(v.byTarget[r.Target], id)
	if len(v.byTarget[r.Target]) == 0 {
		delete(v.byTarget, r.Target)
	}
}

// Services returns the records in force in internal form, by name. The caller
// only reads them.
func (v *View) Services() map[string]*record.Service { return v.services }

// Record returns one record.
func (v *View) Record(name string) (state.Record, bool) {
	r, ok := v.records[name]
	return r, ok
}

// RecordsAfter returns the records changed after index i: what an entry lacks
// that knows the configuration only up to there.
func (v *View) RecordsAfter(i ident.Index) []state.Record {
	var out []state.Record
	for _, r := range v.records {
		if r.Revision > i {
			out = append(out, r)
		}
	}
	return out
}

// Endpoint returns the endpoint on host h.
func (v *View) Endpoint(h ident.HostID) (state.Endpoint, bool) {
	e, ok := v.endpoints[h]
	return e, ok
}

// Poison returns the requests that are quarantined, and the key of their fingerprints. The
// caller only reads it.
func (v *View) Poison() poison.Registry { return v.poison }

// Endpoints returns all endpoints. The caller only reads them.
func (v *View) Endpoints() map[ident.HostID]state.Endpoint { return v.endpoints }

// Ready calls f for each replica of t that takes requests.
func (v *View) Ready(t ident.Target, f func(state.Replica, state.Endpoint)) {
	for id := range v.byTarget[t] {
		r := v.replicas[id]
		e, ok := v.endpoints[r.Host]
		if ok && r.Phase == state.Ready && !e.Leaving {
			f(r, e)
		}
	}
}

// Replicas returns all replicas. The caller only reads them.
func (v *View) Replicas() map[ident.Index]state.Replica { return v.replicas }
