// Package routing chooses the endpoint for one attempt of a request.
//
// Two endpoints are drawn at random and the less loaded one is taken, from the
// entry's own availability zone first. Load is what agents attached to their
// latest answers plus what this entry has sent since; it fades with age and is
// never taken for truth. A prompt prefix seen before is a hint that breaks
// near-ties. Endpoints that fail are left out for a growing while, but never so
// many that the rest would be overrun.
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
	Zone       ident.Zone
	Fade       time.Duration // age at which a reported load counts half
	EjectAfter int           // failures in a row that put an endpoint out
	EjectFirst time.Duration // first time out; doubles with each further failure
	EjectMax   time.Duration
	Floor      float64       // least share of candidates that stay in
	SlowStart  time.Duration // a new replica gets its full share after this long
	Rand       func(n int) int
}

// DefaultConfig returns the tuning for an entry in the given availability zone.
func DefaultConfig(zone ident.Zone, rand func(int) int) Config {
	return Config{Zone: zone, Fade: time.Second, EjectAfter: 2, EjectFirst: time.Second, EjectMax: 30 * time.Second, Floor: 0.5, SlowStart: 2 * time.Second, Rand: rand}
}

// Table remembers what this entry knows of endpoints. It is not safe for
// concurrent use.
type Table struct {
	cfg   Config
	hosts map[ident.HostID]*standing
}

// standing is one endpoint as seen by this entry.
type standing struct {
	load     Load
	at       time.Time
	inflight int
	failures int
	outUntil time.Time
	leaving  bool
}

// New returns an empty Table.
func New(cfg Config) *Table { return &Table{cfg: cfg, hosts: map[ident.HostID]*standing{}} }

func (t *Table) host(h ident.HostID) *standing {
	s := t.hosts[h]
	if s == nil {
		s = &standing{}
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

// Report takes in the load that an agent attached to an answer.
func (t *Table) Report(now time.Time, h ident.HostID, l Load) {
	s := t.host(h)
	s.load, s.at = l, now
	s.leaving = l.Leaving
}

// Succeeded clears the failures of h.
func (t *Table) Succeeded(h ident.HostID) {
	s := t.host(h)
	s.failures, s.outUntil = 0, time.Time{}
}

// Failed counts a failure of h to answer at all. Refusals are not failures.
func (t *Table) Failed(now time.Time, h ident.HostID) {
	s := t.host(h)
	s.failures++
	if s.failures < t.cfg.EjectAfter {
		return
	}
	out := t.cfg.EjectFirst << min(s.failures-t.cfg.EjectAfter, 10)
	s.outUntil = now.Add(min(out, t.cfg.EjectMax))
}

// Renewed forgets what was known of an endpoint whose process was replaced.
func (t *Table) Renewed(h ident.HostID) {
	if s, ok := t.hosts[h]; ok {
		t.hosts[h] = &standing{inflight: s.inflight}
	}
}

// Forget drops an endpoint that is gone.
func (t *Table) Forget(h ident.HostID) { delete(t.hosts, h) }

// Out reports whether h is left out after failures.
func (t *Table) Out(now time.Time, h ident.HostID) bool {
	s, ok := t.hosts[h]
	return ok && s.outUntil.After(now)
}

// Pick chooses among the candidates. Those in tried come only when nothing
// else is left. It returns false when there is no candidate.
func (t *Table) Pick(now time.Time, all []Candidate, prefix uint64, tried []ident.HostID) (Candidate, bool) {
	live := t.live(now, all, tried)
	if len(live) == 0 {
		return Candidate{}, false
	}
	near := slices.DeleteFunc(slices.Clone(live), func(c Candidate) bool { return c.Zone != t.cfg.Zone })
	if len(near) > 0 {
		c := t.choose(now, near, prefix)
		// A full zone spills over: an answer from the next one is earlier
		// than a place at the end of a queue.
		if t.pressure(now, c) < 1 {
			return c, true
		}
	}
	return t.choose(now, live, prefix), true
}

// live leaves out endpoints that are leaving or out, down to the floor.
func (t *Table) live(now time.Time, all []Candidate, tried []ident.HostID) []Candidate {
	var in, fallback []Candidate
	for _, c := range all {
		s := t.hosts[c.Host]
		switch {
		case s != nil && s.leaving:
		case slices.Contains(tried, c.Host) || (s != nil && s.outUntil.After(now)):
			fallback = append(fallback, c)
		default:
			in = append(in, c)
		}
	}
	// When most endpoints look bad, the fault may be on this side; sending
	// everything to the few that are left would only break those too.
	need := int(t.cfg.Floor*float64(len(in)+len(fallback)) + 0.999)
	for _, c := range fallback {
		if len(in) >= need && len(in) > 0 {
			break
		}
		if !slices.Contains(tried, c.Host) || len(in) == 0 {
			in = append(in, c)
		}
	}
	return in
}

// choose takes the better of two drawn at random, and the endpoint that the
// prefix points to if it is not clearly busier.
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

const affinitySlack = 0.25 // pressure that a probable prefix cache hit is worth

// owner returns the candidate that rendezvous hashing gives a prefix.
func owner(cs []Candidate, prefix uint64) Candidate {
	best, top := cs[0], uint64(0)
	for _, c := range cs {
		h := xxhash.Sum64String(string(c.Host)) ^ (prefix * 0x9E3779B97F4A7C15)
		h ^= h >> 29
		h *= 0xBF58476D1CE4E5B9
		h ^= h >> 32
		if h > top {
			best, top = c, h
		}
	}
	return best
}

// pressure estimates load per slot. One means full.
func (t *Table) pressure(now time.Time, c Candidate) float64 {
	slots := float64(max(c.Slots, 1))
	s := t.hosts[c.Host]
	if s == nil {
		return t.ramp(now, c)
	}
	reported := float64(s.load.Running + s.load.Waiting)
	age := now.Sub(s.at)
	reported *= float64(t.cfg.Fade) / float64(t.cfg.Fade+max(age, 0))
	load := max(reported, float64(s.inflight))
	if s.load.Slots > 0 {
		slots = float64(s.load.Slots)
	}
	return load/slots + t.ramp(now, c)
}

// ramp makes a new replica look loaded until it has warmed up: every entry
// learns of it at the same moment and would otherwise send its whole queue.
func (t *Table) ramp(now time.Time, c Candidate) float64 {
	age := now.Sub(c.Since)
	if c.Since.IsZero() || age >= t.cfg.SlowStart {
		return 0
	}
	return 0.5 * (1 - float64(max(age, 0))/float64(t.cfg.SlowStart))
}

// PrefixHash returns the affinity hint of a prompt: a hash of its first part,
// where system prompts and templates stand. Zero means no hint.
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
