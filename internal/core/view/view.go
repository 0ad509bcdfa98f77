// Package view is a subscriber's copy of the control group's state: the records
// in force, endpoints and replicas, built from an initial full copy and the
// changes after it.
//
// A View never goes back to an older state. Changes that were already applied are
// skipped, so the same changes may come from any control host, repeatedly and at
// any time.
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
	index     ident.Index // all changes up to here are applied
	config    ident.Index // newest record change applied
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

// Index returns the log index up to which all changes are applied.
func (v *View) Index() ident.Index { return v.index }

// Config returns the log index of the newest record change applied, which
// identifies the configuration in force here.
func (v *View) Config() ident.Index { return v.config }

// Reset replaces the view by a full copy at index to. It ignores a copy older than
// the view and returns false: a control host that lags must not revert a
// subscriber to an older state. It fails if a record is not readable.
func (v *View) Reset(to ident.Index, changes []state.Change) (bool, error) {
	if to < v.index {
		return false, nil
	}
	known := v.records
	v.clear()
	for _, c := range changes {
		if err := v.applyChange(c); err != nil {
			return false, err
		}
	}
	// A record received from an agent may be newer than the copy.
	for name, r := range known {
		if r.Revision > to {
			if err := v.applyRecord(name, r); err != nil {
				return false, err
			}
		}
	}
	v.index = to
	return true, nil
}

// Apply applies the changes after index from, up to index to. It returns false if the
// view lacks changes up to from, so that the subscriber must subscribe again. It fails
// if a record is not readable.
func (v *View) Apply(from, to ident.Index, changes []state.Change) (bool, error) {
	if from > v.index {
		return false, nil
	}
	for _, c := range changes {
		if c.Index <= v.index {
			continue
		}
		if err := v.applyChange(c); err != nil {
			return false, err
		}
	}
	v.index = max(v.index, to)
	return true, nil
}

// ApplyRecords applies record changes received from an agent. The index does not
// advance, because the changes of replicas in between are missing. It fails if a
// record is not readable.
func (v *View) ApplyRecords(rs []state.Record) error {
	for _, r := range rs {
		if err := v.applyRecord(r.Name, r); err != nil {
			return err
		}
	}
	return nil
}

func (v *View) applyChange(c state.Change) error {
	switch {
	case c.Record != nil:
		return v.applyRecord(c.Record.Name, *c.Record)
	case c.Endpoint != nil:
		v.endpoints[c.Endpoint.Host] = *c.Endpoint
	case c.RemovedEndpoint != "":
		delete(v.endpoints, c.RemovedEndpoint)
	case c.Replica != nil:
		v.putReplica(*c.Replica)
	case c.Removed != 0:
		v.removeReplica(c.Removed)
	case c.Poison != nil:
		v.poison = *c.Poison
	}
	return nil
}

func (v *View) applyRecord(name string, r state.Record) error {
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

func (v *View) removeReplica(id ident.Index) {
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

// Services returns the records in force in internal form, by name. The caller must
// not modify them.
func (v *View) Services() map[string]*record.Service { return v.services }

// Record returns the newest revision of the named record, which may be withdrawn.
func (v *View) Record(name string) (state.Record, bool) {
	r, ok := v.records[name]
	return r, ok
}

// RecordsAfter returns the records changed after index i, in unspecified order. They
// bring an entry up to date that has the configuration up to i.
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

// Poison returns the registry of quarantined requests, with the key of their fingerprints.
// The caller must not modify it.
func (v *View) Poison() poison.Registry { return v.poison }

// Endpoints returns all endpoints by host. The caller must not modify the map.
func (v *View) Endpoints() map[ident.HostID]state.Endpoint { return v.endpoints }

// Ready calls f, in unspecified order, for each replica of t that accepts requests.
func (v *View) Ready(t ident.Target, f func(state.Replica, state.Endpoint)) {
	for id := range v.byTarget[t] {
		r := v.replicas[id]
		e, ok := v.endpoints[r.Host]
		if ok && r.Phase == state.Ready && !e.Leaving {
			f(r, e)
		}
	}
}

// Replicas returns all replicas by ID. The caller must not modify the map.
func (v *View) Replicas() map[ident.Index]state.Replica { return v.replicas }
