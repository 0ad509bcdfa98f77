// Package routing chooses the endpoint for one attempt of a request.
//
// Two endpoints are drawn at random and the less loaded one is chosen, from the
// entry's own availability zone first. Load is the greater of two numbers: the load that
// the agent reported with its latest answer, which decays with its age and is only an
// estimate, and this entry's requests in flight. A prompt prefix seen before is a hint that decides
// between endpoints of similar load. Endpoints that fail are ejected for a growing
// time, but never so many that the rest would be overloaded.
package routing

import (
	"slices"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/cassiapass/cassiapass/internal/core/ident"
)

// Candidate is an endpoint that can serve a request.
type Candidate struct {
	Host    ident.HostID
	Zone    ident.Zone
	Replica ident.Index
	Slots   int
	Since   time.Time // when the replica became ready here
}

// Load is what an agent attaches to its answers.
type Load struct {
	Running int  `json:"running"`
	Waiting int  `json:"waiting"`
	Slots   int  `json:"slots"`
	Leaving bool `json:"leaving,omitempty"`
}

// Config tunes a Table.
type Config struct {
	Zone         ident.Zone
	LoadHalfLife time.Duration // age at which a reported load counts half
	EjectAfter   int           // failures in a row after which an endpoint is ejected
	EjectFirst   time.Duration // duration of the first ejection; doubles with each further failure
	EjectMax     time.Duration
	MinEligible  float64       // minimum share of candidates that stay eligible
	SlowStart    time.Duration // a new replica gets its full share after this long
	Rand         func(n int) int
}

// DefaultConfig returns the default Config for an entry in the given availability zone.
func DefaultConfig(zone ident.Zone, rand func(int) int) Config {
	return Config{Zone: zone, LoadHalfLife: time.Second, EjectAfter: 2, EjectFirst: time.Second, EjectMax: 30 * time.Second, MinEligible: 0.5, SlowStart: 2 * time.Second, Rand: rand}
}

// Table holds the state of endpoints as observed by this entry. It is not safe for
// concurrent use.
type Table struct {
	cfg   Config
	hosts map[ident.HostID]*endpointState
}

// endpointState is the state of one endpoint as observed by this entry.
type endpointState struct {
	load         Load
	reportedAt   time.Time
	inflight     int
	failures     int
	ejectedUntil time.Time
	leaving      bool
}

// New returns an empty Table.
func New(cfg Config) *Table { return &Table{cfg: cfg, hosts: map[ident.HostID]*endpointState{}} }

func (t *Table) host(h ident.HostID) *endpointState {
	s := t.hosts[h]
	if s == nil {
		s = &endpointState{}
		t.hosts[h] = s
	}
	return s
}

// Sent counts an attempt sent to h.
func (t *Table) Sent(h ident.HostID) { t.host(h).inflight++ }

// Ended counts the end of an attempt at h.
func (t *Table) Ended(h ident.HostID) {
	s := t.host(h)
	s.inflight = max(0, s.inflight-1)
}

// Report records the load that an agent attached to an answer.
func (t *Table) Report(now time.Time, h ident.HostID, l Load) {
	s := t.host(h)
	s.load, s.reportedAt = l, now
	s.leaving = l.Leaving
}

// Succeeded resets the failures of h and ends its ejection.
func (t *Table) Succeeded(h ident.HostID) {
	s := t.host(h)
	s.failures, s.ejectedUntil = 0, time.Time{}
}

// Failed counts an attempt that h did not answer at all. Refusals are not failures.
func (t *Table) Failed(now time.Time, h ident.HostID) {
	s := t.host(h)
	s.failures++
	if s.failures < t.cfg.EjectAfter {
		return
	}
	ejection := t.cfg.EjectFirst << min(s.failures-t.cfg.EjectAfter, 10)
	s.ejectedUntil = now.Add(min(ejection, t.cfg.EjectMax))
}

// Restarted discards the state of an endpoint whose process was replaced, except for the
// attempts in flight.
func (t *Table) Restarted(h ident.HostID) {
	if s, ok := t.hosts[h]; ok {
		t.hosts[h] = &endpointState{inflight: s.inflight}
	}
}

// Forget removes an endpoint.
func (t *Table) Forget(h ident.HostID) { delete(t.hosts, h) }

// Ejected reports whether h is ejected after failures.
func (t *Table) Ejected(now time.Time, h ident.HostID) bool {
	s, ok := t.hosts[h]
	return ok && s.ejectedUntil.After(now)
}

// Pick chooses among the candidates. Hosts in tried are chosen only if there are no
// others. It returns false if there is no candidate.
func (t *Table) Pick(now time.Time, all []Candidate, prefix uint64, tried []ident.HostID) (Candidate, bool) {
	eligible := t.eligible(now, all, tried)
	if len(eligible) == 0 {
		return Candidate{}, false
	}
	near := slices.DeleteFunc(slices.Clone(eligible), func(c Candidate) bool { return c.Zone != t.cfg.Zone })
	if len(near) > 0 {
		c := t.choose(now, near, prefix)
		// If the zone is full, other zones are used too: an answer from there arrives
		// earlier than one from the end of a local queue.
		if t.pressure(now, c) < 1 {
			return c, true
		}
	}
	return t.choose(now, eligible, prefix), true
}

// eligible returns the candidates without leaving, ejected and tried endpoints. Ejected ones
// are added again until MinEligible is reached, tried ones only if there are no others.
func (t *Table) eligible(now time.Time, all []Candidate, tried []ident.HostID) []Candidate {
	var kept, fallback []Candidate
	for _, c := range all {
		s := t.hosts[c.Host]
		switch {
		case s != nil && s.leaving:
		case slices.Contains(tried, c.Host) || (s != nil && s.ejectedUntil.After(now)):
			fallback = append(fallback, c)
		default:
			kept = append(kept, c)
		}
	}
	// If most endpoints seem to fail, the fault may be on this side; sending all
	// requests to the few that are left would only overload those too.
	minEligible := int(t.cfg.MinEligible*float64(len(kept)+len(fallback)) + 0.999)
	for _, c := range fallback {
		if len(kept) >= minEligible && len(kept) > 0 {
			break
		}
		if !slices.Contains(tried, c.Host) || len(kept) == 0 {
			kept = append(kept, c)
		}
	}
	return kept
}

// choose returns the endpoint that the prefix hashes to unless it is clearly busier than
// the less loaded of two endpoints drawn at random, which it returns otherwise.
func (t *Table) choose(now time.Time, cs []Candidate, prefix uint64) Candidate {
	a := cs[t.cfg.Rand(len(cs))]
	if b := cs[t.cfg.Rand(len(cs))]; t.pressure(now, b) < t.pressure(now, a) {
		a = b
	}
	if prefix == 0 {
		return a
	}
	hint := owner(cs, prefix)
	if t.pressure(now, hint) <= t.pressure(now, a)+affinitySlack {
		return hint
	}
	return a
}

const affinitySlack = 0.25 // additional pressure accepted for a probable prefix cache hit

// owner returns the candidate to which rendezvous hashing assigns a prefix.
func owner(cs []Candidate, prefix uint64) Candidate {
	best, bestHash := cs[0], uint64(0)
	for _, c := range cs {
		h := xxhash.Sum64String(string(c.Host)) ^ (prefix * 0x9E3779B97F4A7C15)
		h ^= h >> 29
		h *= 0xBF58476D1CE4E5B9
		h ^= h >> 32
		if h > bestHash {
			best, bestHash = c, h
		}
	}
	return best
}

// pressure estimates the load per slot; 1 means full.
func (t *Table) pressure(now time.Time, c Candidate) float64 {
	slots := float64(max(c.Slots, 1))
	s := t.hosts[c.Host]
	if s == nil {
		return t.ramp(now, c)
	}
	reported := float64(s.load.Running + s.load.Waiting)
	age := now.Sub(s.reportedAt)
	reported *= float64(t.cfg.LoadHalfLife) / float64(t.cfg.LoadHalfLife+max(age, 0))
	load := max(reported, float64(s.inflight))
	if s.load.Slots > 0 {
		slots = float64(s.load.Slots)
	}
	return load/slots + t.ramp(now, c)
}

// ramp adds pressure to a new replica until it has warmed up: every entry learns of it at
// the same time and would otherwise send its whole queue there.
func (t *Table) ramp(now time.Time, c Candidate) float64 {
	age := now.Sub(c.Since)
	if c.Since.IsZero() || age >= t.cfg.SlowStart {
		return 0
	}
	return 0.5 * (1 - float64(max(age, 0))/float64(t.cfg.SlowStart))
}

// PrefixHash returns the affinity hint of a prompt: a hash of its first maxPrefix bytes,
// which hold system prompts and templates. Zero means no hint.
func PrefixHash(customer ident.Customer, target ident.Target, prompt string) uint64 {
	if len(prompt) < minPrefix {
		return 0
	}
	var b strings.Builder
	b.WriteString(string(customer))
	b.WriteByte(0)
	b.WriteString(target.String())
	b.WriteByte(0)
	b.WriteString(prompt[:min(len(prompt), maxPrefix)])
	return xxhash.Sum64String(b.String()) | 1
}

const (
	minPrefix = 256 // bytes of prompt below which a cached prefix saves nothing
	maxPrefix = 1024
)
