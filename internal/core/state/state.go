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
	"github.com/cassiapass/cassiapass/internal/core/release"
)

// State is the replicated state. It is not safe for concurrent use; a Clone is
// independent of its origin.
type State struct {
	index   ident.Index
	config  ident.Index // log index of the last record change
	now     time.Time
	records map[string]Record
	results map[string]storedResult

	endpoints    map[ident.HostID]Endpoint
	replicas     map[ident.Index]Replica
	used         map[ident.HostID]int64         // bytes of all replicas by endpoint
	byTarget     map[ident.Target][]ident.Index // in ascending order
	byPlacement  map[placement]ident.Index
	byHost       map[ident.HostID][]ident.Index
	requirements map[ident.Target]Requirements // requirements of each target, from the records in force

	claims   map[ClaimKey]Claim
	expiry   map[int64][]ClaimKey // minute of expiry to keys
	open     map[ClaimKey]struct{}
	audit    []AuditEvent
	history  *keepalive.History
	deployed Deployment
	holder   holder.Record
	releases release.Served
	settled  release.Served
	streams  release.Origins // of streams of services with several releases
	poison   poison.Registry
	suspects *poison.Book // requests under which endpoints ended, as reported by entries

	changes []Change // made by the command being applied
}

// placement is a target on a host; it has at most one replica.
type placement struct {
	target ident.Target
	host   ident.HostID
}

// storedResult is the first answer to an operator request. Of a conflict it keeps
// the record's name and revision instead of its content, so that a million answers
// stay small.
type storedResult struct {
	Code     Code        `json:"code"`
	Index    ident.Index `json:"index"`
	Revision ident.Index `json:"revision,omitempty"`
	Message  string      `json:"message,omitempty"`
	Name     string      `json:"name,omitempty"`
	Digest   uint64      `json:"digest"` // of the request, to detect a reused request id
}

// New returns an empty State.
func New() *State {
	return &State{
		records: map[string]Record{}, results: map[string]storedResult{},
		endpoints: map[ident.HostID]Endpoint{}, replicas: map[ident.Index]Replica{},
		byPlacement: map[placement]ident.Index{}, byHost: map[ident.HostID][]ident.Index{},
		used: map[ident.HostID]int64{}, byTarget: map[ident.Target][]ident.Index{}, requirements: map[ident.Target]Requirements{},
		claims: map[ClaimKey]Claim{}, expiry: map[int64][]ClaimKey{}, open: map[ClaimKey]struct{}{},
		history: keepalive.NewHistory(), suspects: poison.NewBook(),
	}
}

// Index returns the log index of the last applied entry.
func (s *State) Index() ident.Index { return s.index }

// Config returns the log index of the last record change, which identifies the
// configuration in force.
func (s *State) Config() ident.Index { return s.config }

// Now returns the newest time of any command applied so far.
func (s *State) Now() time.Time { return s.now }

// History returns the keep-alive statistics. The caller must not modify them.
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

// Replicas returns all replicas ordered by ID.
func (s *State) Replicas() []Replica { return sortedValues(s.replicas) }

// Used returns the bytes granted to replicas on host h.
func (s *State) Used(h ident.HostID) int64 { return s.used[h] }

// Count returns the number of replicas of a target, in any phase.
func (s *State) Count(t ident.Target) int { return len(s.byTarget[t]) }

// MaxReplicas returns the maximum number of replicas of a target. An adapter has the
// maximum of its base model.
func (s *State) MaxReplicas(t ident.Target) int { return s.requirements[t.Base()].Max }

// Claim returns the claim under key.
func (s *State) Claim(k ClaimKey) (Claim, bool) {
	c, ok := s.claims[k]
	return c, ok
}

// Claims returns the number of claims, open and settled.
func (s *State) Claims() int { return len(s.claims) }

// Audit returns the retained audit events, oldest first. The caller must not modify
// them.
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
	c.suspects = s.suspects.Clone()
	c.streams = s.streams.Clone()
	c.changes = nil
	// Sums and indexes change in place and are not encoded.
	c.used, c.byTarget, c.byPlacement, c.byHost, c.requirements, c.expiry, c.open = nil, nil, nil, nil, nil, nil, nil
	return &c
}

// image is the encoded form of a State. Derived sums and indexes are not stored;
// Decode rebuilds them.
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
	Releases  release.Served          `json:"releases,omitempty"`
	Settled   *release.Served         `json:"settled,omitempty"` // nil if all are
	Poison    poison.Registry         `json:"poison,omitzero"`
	Suspects  []poison.Case           `json:"suspects,omitempty"`
	Streams   release.OriginsImage    `json:"streams,omitzero"`
}

// Encode returns the state as JSON for Decode.
func (s *State) Encode() ([]byte, error) {
	im := image{Index: s.index, Config: s.config, Now: s.now, Records: s.Records(), Results: s.results,
		Endpoints: s.Endpoints(), Replicas: s.Replicas(), Audit: s.audit, History: s.history, Holder: s.holder, Releases: s.releases, Settled: &s.settled, Poison: s.poison, Suspects: s.suspects.Cases(), Streams: s.streams.Image()}
	if s.deployed.Version != 0 {
		im.Deployed = &s.deployed
	}
	for _, c := range s.claims {
		im.Claims = append(im.Claims, c)
	}
	return json.Marshal(im)
}

// Decode returns the State that Encode wrote; empty data gives an empty State. It
// fails if the data is malformed or a record is not readable by this release.
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
	s.releases, s.settled = im.Releases, im.Releases
	if im.Settled != nil {
		s.settled = *im.Settled
	}
	s.streams = im.Streams.Origins()
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
		s.updateIndexes(r, +1)
		s.replicas[r.ID] = r
	}
	for _, c := range im.Claims {
		s.putClaim(c)
	}
	s.recomputeRequirements()
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

// ByHost returns the IDs of the replicas on host h in ascending order. The caller
// must not modify the slice.
func (s *State) ByHost(h ident.HostID) []ident.Index { return s.byHost[h] }

// updateIndexes adds a replica to the sums and indexes, or removes it if sign is
// negative.
func (s *State) updateIndexes(r Replica, sign int) {
	key := placement{r.Target, r.Host}
	s.used[r.Host] += int64(sign) * r.Bytes
	if s.used[r.Host] == 0 {
		delete(s.used, r.Host)
	}
	if sign > 0 {
		s.byPlacement[key] = r.ID
		addTo(s.byHost, r.Host, r.ID)
		addTo(s.byTarget, r.Target, r.ID)
		return
	}
	delete(s.byPlacement, key)
	dropFrom(s.byHost, r.Host, r.ID)
	dropFrom(s.byTarget, r.Target, r.ID)
}

// addTo inserts id in ascending order. It replaces the slice instead of changing it
// in place, because a caller may be ranging over the old one.
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

// Check panics if an invariant that holds after every command is violated: grants
// never overcommit an endpoint's memory, and the sums agree with the replicas.
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

// invariant panics if ok is false. That is always a bug, and continuing would act on
// a state that differs from that of other hosts.
func invariant(ok bool, format string, args ...any) {
	if !ok {
		panic("invariant: state: " + fmt.Sprintf(format, args...))
	}
}

// EachReplica calls f for every replica in unspecified order.
func (s *State) EachReplica(f func(Replica)) {
	for _, r := range s.replicas {
		f(r)
	}
}

// EachEndpoint calls f for every endpoint in unspecified order.
func (s *State) EachEndpoint(f func(Endpoint)) {
	for _, e := range s.endpoints {
		f(e)
	}
}
