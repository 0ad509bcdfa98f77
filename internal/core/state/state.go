package state

import (
	"encoding/json"
	"fmt"
	"maps"
	"slices"
	"time"

	"github.com/samber/oops"

	"github.com/cassiapass/cassiapass/internal/core/holder"
	"github.com/cassiapass/cassiapass/internal/core/ident"
	"github.com/cassiapass/cassiapass/internal/core/keepalive"
	"github.com/cassiapass/cassiapass/internal/core/poison"
	"github.com/cassiapass/cassiapass/internal/core/record"
)

// State is the replicated state. It is not safe for concurrent use; a Clone is
// independent of its origin.
type State struct {
	index   ident.Index
	config  ident.Index // index of the last record change
	now     time.Time
	records map[string]Record
	results map[string]storedResult

	endpoints map[ident.HostID]Endpoint
	replicas  map[ident.Index]Replica
	used      map[ident.HostID]int64         // bytes of all replicas by endpoint
	byTarget  map[ident.Target][]ident.Index // in order of decision
	where     map[spot]ident.Index
	byHost    map[ident.HostID][]ident.Index
	stated    map[ident.Target]Statement // what the records in force say of each target

	claims   map[ClaimKey]Claim
	expiry   map[int64][]ClaimKey // minute of expiry to keys
	open     map[ClaimKey]struct{}
	audit    []AuditEvent
	history  *keepalive.History
	deployed Deployment
	holder   holder.Record
	poison   poison.Registry
	suspects *poison.Book // requests under which endpoints ended, as entries noted

	changes []Change // of the command being applied
}

// spot is a target at an endpoint; at most one replica is decided for it.
type spot struct {
	target ident.Target
	host   ident.HostID
}

// storedResult is the first answer to an operator request. The content of a
// conflict is kept by reference to its revision, so a million answers stay small.
type storedResult struct {
	Code     Code        `json:"code"`
	Index    ident.Index `json:"index"`
	Revision ident.Index `json:"revision,omitempty"`
	Message  string      `json:"message,omitempty"`
	Name     string      `json:"name,omitempty"`
	Digest   uint64      `json:"digest"` // of the request, to notice an id used for something else
}

// New returns an empty State.
func New() *State {
	return &State{
		records: map[string]Record{}, results: map[string]storedResult{},
		endpoints: map[ident.HostID]Endpoint{}, replicas: map[ident.Index]Replica{},
		where: map[spot]ident.Index{}, byHost: map[ident.HostID][]ident.Index{},
		used: map[ident.HostID]int64{}, byTarget: map[ident.Target][]ident.Index{}, stated: map[ident.Target]Statement{},
		claims: map[ClaimKey]Claim{}, expiry: map[int64][]ClaimKey{}, open: map[ClaimKey]struct{}{},
		history: keepalive.NewHistory(), suspects: poison.NewBook(),
	}
}

// Index returns the index of the last applied entry.
func (s *State) Index() ident.Index { return s.index }

// Config returns the index of the last record change: the configuration in force.
func (s *State) Config() ident.Index { return s.config }

// Now returns the time of the last command.
func (s *State) Now() time.Time { return s.now }

// History returns the keep-alive statistics. The caller only reads them.
func (s *State) History() *keepalive.History { return s.history }

// Record returns the record with the given name.
func (s *State) Record(name string) (Record, bool) {
	r, ok := s.records[name]
	return r, ok
}

// Records returns all records ordered by name.
func (s *State) Records() []Record {
	return sortedValues(s.records)
}

// Endpoint returns the endpoint on the given host.
func (s *State) Endpoint(h ident.HostID) (Endpoint, bool) {
	e, ok := s.endpoints[h]
	return e, ok
}

// Endpoints returns all endpoints ordered by host.
func (s *State) Endpoints() []Endpoint { return sortedValues(s.endpoints) }

// Replica returns the replica with the given id.
func (s *State) Replica(id ident.Index) (Replica, bool) {
	r, ok := s.replicas[id]
	return r, ok
}

// Replicas returns all replicas ordered by id.
func (s *State) Replicas() []Replica { return sortedValues(s.replicas) }

// Used returns the bytes granted at an endpoint.
func (s *State) Used(h ident.HostID) int64 { return s.used[h] }

// Count returns the number of replicas of a target that are decided.
func (s *State) Count(t ident.Target) int { return len(s.byTarget[t]) }

// Sold returns the largest number of replicas of a target that may be decided.
func (s *State) Sold(t ident.Target) int { return s.stated[t.Base()].Max }

// Claim returns the claim under key.
func (s *State) Claim(k ClaimKey) (Claim, bool) {
	c, ok := s.claims[k]
	return c, ok
}

// Claims returns the number of claims kept.
func (s *State) Claims() int { return len(s.claims) }

// Audit returns the kept audit events, oldest first. The caller only reads them.
func (s *State) Audit() []AuditEvent { return s.audit }

func sortedValues[K ident.HostID | ident.Index | string, V any](m map[K]V) []V {
	out := make([]V, 0, len(m))
	for _, k := range slices.Sorted(maps.Keys(m)) {
		out = append(out, m[k])
	}
	return out
}

// Clone returns a copy that later commands do not change.
func (s *State) Clone() *State {
	c := *s
	c.records = maps.Clone(s.records)
	c.results = maps.Clone(s.results)
	c.endpoints = maps.Clone(s.endpoints)
	c.replicas = maps.Clone(s.replicas)
	c.claims = maps.Clone(s.claims)
	c.audit = slices.Clip(s.audit)
	c.history = s.history.Clone()
	c.changes = nil
	return &c
}

// image is the encoded form of a State. Sums and sets are rebuilt on reading:
// a state that can be derived is not stored a second time.
type image struct {
	Index     ident.Index             `json:"index"`
	Config    ident.Index             `json:"config"`
	Now       time.Time               `json:"now"`
	Records   []Record                `json:"records"`
	Results   map[string]storedResult `json:"results"`
	Endpoints []Endpoint              `json:"endpoints"`
	Replicas  []Replica               `json:"replicas"`
	Claims    []Claim                 `json:"claims"`
	Audit     []AuditEvent            `json:"audit"`
	History   *keepalive.History      `json:"history"`
	Deployed  *Deployment             `json:"deployed,omitempty"`
	Holder    holder.Record           `json:"holder,omitzero"`
	Poison    poison.Registry         `json:"poison,omitzero"`
	Suspects  []poison.Case           `json:"suspects,omitempty"`
}

// Encode returns the state in the form that Decode reads.
func (s *State) Encode() ([]byte, error) {
	im := image{Index: s.index, Config: s.config, Now: s.now, Records: s.Records(), Results: s.results,
		Endpoints: s.Endpoints(), Replicas: s.Replicas(), Audit: s.audit, History: s.history, Holder: s.holder, Poison: s.poison, Suspects: s.suspects.Cases()}
	if s.deployed.Version != 0 {
		im.Deployed = &s.deployed
	}
	for _, c := range s.claims {
		im.Claims = append(im.Claims, c)
	}
	return json.Marshal(im)
}

// Decode reads an encoded State. Empty data is an empty State.
func Decode(data []byte) (*State, error) {
	s := New()
	if len(data) == 0 {
		return s, nil
	}
	var im image
	if err := json.Unmarshal(data, &im); err != nil {
		return nil, oops.Wrapf(err, "decode state")
	}
	s.index, s.config, s.now, s.audit, s.holder, s.poison = im.Index, im.Config, im.Now, im.Audit, im.Holder, im.Poison
	for _, c := range im.Suspects {
		s.suspects.Put(c)
	}
	if im.Results != nil {
		s.results = im.Results
	}
	if im.History != nil {
		s.history = im.History
	}
	if im.Deployed != nil {
		s.deployed = *im.Deployed
	}
	for _, r := range im.Records {
		if err := s.restoreRecord(r); err != nil {
			return nil, err
		}
	}
	for _, e := range im.Endpoints {
		s.endpoints[e.Host] = e
	}
	for _, r := range im.Replicas {
		s.count(r, +1)
		s.replicas[r.ID] = r
	}
	for _, c := range im.Claims {
		s.putClaim(c)
	}
	s.restate()
	return s, nil
}

func (s *State) restoreRecord(r Record) error {
	if !r.Withdrawn {
		svc, err := record.Parse(r.Raw)
		if err != nil {
			return oops.Wrapf(err, "record %s in the state is not readable by this release", r.Name)
		}
		r.service = svc
	}
	s.records[r.Name] = r
	return nil
}

// ByHost returns the ids of the replicas at an endpoint, in order. The caller
// only reads them.
func (s *State) ByHost(h ident.HostID) []ident.Index { return s.byHost[h] }

// count adds or removes a replica from the sums and indexes.
func (s *State) count(r Replica, sign int) {
	at := spot{r.Target, r.Host}
	s.used[r.Host] += int64(sign) * r.Bytes
	if s.used[r.Host] == 0 {
		delete(s.used, r.Host)
	}
	if sign > 0 {
		s.where[at] = r.ID
		addTo(s.byHost, r.Host, r.ID)
		addTo(s.byTarget, r.Target, r.ID)
		return
	}
	delete(s.where, at)
	dropFrom(s.byHost, r.Host, r.ID)
	dropFrom(s.byTarget, r.Target, r.ID)
}

// addTo inserts id in order. A new slice is made where the old one may be
// shared, so that a caller who ranges over it sees it unchanged.
func addTo[K comparable](m map[K][]ident.Index, k K, id ident.Index) {
	at, _ := slices.BinarySearch(m[k], id)
	m[k] = slices.Insert(slices.Clone(m[k]), at, id)
}

func dropFrom[K comparable](m map[K][]ident.Index, k K, id ident.Index) {
	if len(m[k]) == 1 {
		delete(m, k)
		return
	}
	m[k] = slices.DeleteFunc(slices.Clone(m[k]), func(x ident.Index) bool { return x == id })
}

// Check asserts the promises that hold after every command: memory is never
// overcommitted by decisions, and no sum has gone astray.
func (s *State) Check() {
	used := map[ident.HostID]int64{}
	counts := map[ident.Target]int{}
	for _, r := range s.replicas {
		used[r.Host] += r.Bytes
		counts[r.Target]++
	}
	for h, b := range used {
		e, ok := s.endpoints[h]
		invariant(ok, "replica on unknown endpoint %s", h)
		invariant(b <= e.Memory, "endpoint %s: %d bytes granted of %d", h, b, e.Memory)
	}
	invariant(maps.Equal(used, s.used), "sums of granted bytes differ")
	for t, n := range counts {
		invariant(n == s.Count(t), "%d replicas of %s, counted %d", n, t, s.Count(t))
	}
}

// invariant stops the process: what it checks is false only if the program is
// wrong, and going on would act on a state that other hosts do not share.
func invariant(ok bool, format string, args ...any) {
	if !ok {
		panic("invariant: state: " + fmt.Sprintf(format, args...))
	}
}

// EachReplica calls f for every replica, in no particular order.
func (s *State) EachReplica(f func(Replica)) {
	for _, r := range s.replicas {
		f(r)
	}
}

// EachEndpoint calls f for every endpoint, in no particular order.
func (s *State) EachEndpoint(f func(Endpoint)) {
	for _, e := range s.endpoints {
		f(e)
	}
}
