package allowance

import (
	"cmp"
	"slices"
	"time"

	"github.com/cassiapass/cassiapass/internal/core/ident"
	"github.com/cassiapass/cassiapass/internal/core/urgency"
)

// Allocator is the leader's side: it holds one token bucket per customer. It is not safe for
// concurrent use.
type Allocator struct {
	tolerance Tolerance
	accounts  map[ident.Customer]*account
	presence
}

// account is one customer's bucket.
type account struct {
	customer ident.Customer
	bucket
	requested float64 // units since this leader started
	used      float64
	ranks     rankDemands
	unranked  demand // of entries that report no ranks
}

// NewAllocator returns the Allocator of a new leader.
func NewAllocator(t Tolerance) *Allocator {
	return &Allocator{tolerance: t, accounts: map[ident.Customer]*account{}, presence: newPresence()}
}

// SetLimits replaces the limits in force. A customer that is listed for the first time starts
// with a full bucket, except in the first call of a new leader: the bucket may have been used
// under the previous leader.
func (l *Allocator) SetLimits(now time.Time, limits []Limit) {
	listed := make(map[ident.Customer]bool, len(limits))
	for _, lim := range limits {
		listed[lim.Customer] = true
		a := l.accounts[lim.Customer]
		if a == nil {
			a = &account{customer: lim.Customer, bucket: newBucket(now, customerFallbackShare)}
			a.setRate(lim.Rate, l.tolerance.fill(lim), lim.Burst)
			a.level = lim.Burst
			if l.startedAt.IsZero() {
				a.level = l.tolerance.start(lim)
			}
			l.accounts[lim.Customer] = a
			continue
		}
		a.refill(now, &l.presence)
		a.setRate(lim.Rate, l.tolerance.fill(lim), lim.Burst)
	}
	for name := range l.accounts {
		if !listed[name] {
			delete(l.accounts, name)
		}
	}
	l.start(now)
}

// Seen records that a message of an entry arrived, and how many entries that entry knows of;
// 0 if it does not know yet.
func (l *Allocator) Seen(now time.Time, entry string, entries int) {
	if l.returns(now, entry) {
		l.refillAll(now) // subtracts what was withheld for it until now
	}
	l.seen(now, entry, entries)
}

// Forget removes an entry that stops in an orderly way: it spends nothing any more.
func (l *Allocator) Forget(now time.Time, entry string) {
	l.refillAll(now)
	for _, a := range l.accounts {
		delete(a.byEntry, entry)
	}
	l.forget(entry)
}

func (l *Allocator) refillAll(now time.Time) {
	for _, a := range l.accounts {
		a.refill(now, &l.presence)
	}
}

// Report applies what was used at an entry and returns a Share for each customer that has a
// limit.
func (l *Allocator) Report(now time.Time, entry string, uses []Use) []Share {
	l.Seen(now, entry, 0)
	out := make([]Share, 0, len(uses))
	for _, u := range uses {
		if a := l.accounts[u.Customer]; a != nil {
			a.refill(now, &l.presence)
			out = append(out, a.report(now, entry, u))
		}
	}
	return out
}

func (a *account) report(now time.Time, entry string, u Use) Share {
	p := a.entry(entry)
	p.demand.add(now, u.Requested, demandDecay)
	p.longDemand = u.LongDemand
	a.addRanks(now, u)
	a.setLevel(a.level - u.Used)
	a.requested += u.Requested
	a.used += u.Used
	s := Share{Customer: a.customer, Chance: 1}
	if total := a.demand(now); total > 0 {
		s.Chance = a.chance(total)
		s.Pressure = total / a.rate
		if len(u.Ranks) > 0 {
			s.Ranks = a.shares(now, total)
		}
	}
	if longDemand := a.longDemand(now); longDemand > 0 {
		p.fallback = a.fallbackPart(p, longDemand)
		s.FallbackBurst = p.fallback * creditDuration.Seconds() * max(0, 1-longDemand/a.rate)
	}
	s.Fallback = p.fallback
	return s
}

// chance returns the probability of admission at a demand, such that use equals the fill rate
// and the level, or the debt, is used up within levelDrainTime.
func (a *account) chance(demand float64) float64 {
	return min(1, a.available()/demand)
}

// available returns the units a second that may be used now.
func (a *account) available() float64 { return max(0, a.fill+a.level/levelDrainTime.Seconds()) }

// Status is the state of one customer's bucket, for operators.
type Status struct {
	Customer ident.Customer `json:"customer"`
	Rate     float64        `json:"rate"`   // units a second
	Burst    float64        `json:"burst"`  // units
	Level    float64        `json:"level"`  // units in the bucket; negative if more was used than there was
	Demand   float64        `json:"demand"` // units a second asked for, over all entries
	Chance   float64        `json:"chance"` // probability with which requests are admitted now
	Asked    float64        `json:"asked"`  // units since this leader started
	Used     float64        `json:"used"`   // units since this leader started
	Entries  []EntryStatus  `json:"entries"`
	// Urgencies are those of the requests of the last seconds, if more urgent requests go first.
	Urgencies []UrgencyStatus `json:"urgencies,omitempty"`
}

// UrgencyStatus is what requests of one urgency get of a customer's allowance.
type UrgencyStatus struct {
	Level  urgency.Level `json:"level"`
	Late   bool          `json:"late"`
	Demand float64       `json:"demand"` // units a second asked for, over all entries
	Chance float64       `json:"chance"` // part of these units that is admitted now
}

// EntryStatus is one customer's state at one entry.
type EntryStatus struct {
	Entry    string  `json:"entry"`
	Demand   float64 `json:"demand"`   // units a second
	Fallback float64 `json:"fallback"` // units a second while the entry cannot reach the leader
	Silent   bool    `json:"silent"`
	Age      float64 `json:"ageSeconds"` // seconds since its last report
}

// Status returns the status of all customers, ordered by name.
func (l *Allocator) Status(now time.Time) []Status {
	out := make([]Status, 0, len(l.accounts))
	for _, a := range l.accounts {
		a.refill(now, &l.presence)
		s := Status{Customer: a.customer, Rate: a.rate, Burst: a.burst, Level: a.level, Demand: a.demand(now), Chance: 1, Asked: a.requested, Used: a.used, Entries: []EntryStatus{}}
		if s.Demand > 0 {
			s.Chance = a.chance(s.Demand)
			s.Urgencies = a.urgencies(now, s.Demand)
		}
		for entry, p := range a.byEntry {
			s.Entries = append(s.Entries, EntryStatus{entry, p.demand.rate(now, demandDecay), p.fallback, now.Sub(l.lastSeen[entry]) > silentAfter, now.Sub(p.demand.at).Seconds()})
		}
		slices.SortFunc(s.Entries, func(x, y EntryStatus) int { return cmp.Compare(x.Entry, y.Entry) })
		out = append(out, s)
	}
	slices.SortFunc(out, func(x, y Status) int { return cmp.Compare(x.Customer, y.Customer) })
	return out
}
