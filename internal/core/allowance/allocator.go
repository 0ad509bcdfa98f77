package allowance

import (
	"cmp"
	"slices"
	"time"

	"github.com/cassiapass/cassiapass/internal/core/ident"
)

// Allocator is the leader's side: it holds one token bucket per customer. It is not safe for
// concurrent use.
type Allocator struct {
	tolerance Tolerance
	accounts  map[ident.Customer]*account
	lastSeen  map[string]time.Time // by entry: when its last message arrived
	startedAt time.Time            // when limits were first set; zero before that
	entries   int                  // highest number reported; entries not yet seen may be partitioned
}

// account is one customer's bucket.
type account struct {
	Limit
	fill      float64 // units a second
	level     float64 // units; negative if more was used than there was
	at        time.Time
	byEntry   map[string]*entryAccount
	requested float64 // units since this leader started
	used      float64
}

// entryAccount is one customer's state at one entry.
type entryAccount struct {
	demand     demand
	longDemand float64 // units a second, from the last report
	fallback   float64
}

// NewAllocator returns the Allocator of a new leader.
func NewAllocator(t Tolerance) *Allocator {
	return &Allocator{tolerance: t, accounts: map[ident.Customer]*account{}, lastSeen: map[string]time.Time{}}
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
			a = &account{Limit: lim, fill: l.tolerance.fill(lim), level: lim.Burst, at: now, byEntry: map[string]*entryAccount{}}
			if l.startedAt.IsZero() {
				a.level = l.tolerance.start(lim)
			}
			l.accounts[lim.Customer] = a
			continue
		}
		l.refill(now, a)
		a.Limit, a.fill = lim, l.tolerance.fill(lim)
		a.setLevel(a.level)
	}
	for name := range l.accounts {
		if !listed[name] {
			delete(l.accounts, name)
		}
	}
	if l.startedAt.IsZero() {
		l.startedAt = now
	}
}

// Seen records that a message of an entry arrived, and how many entries that entry knows of;
// 0 if it does not know yet.
func (l *Allocator) Seen(now time.Time, entry string, entries int) {
	if now.Sub(l.lastSeen[entry]) > silentAfter {
		l.refillAll(now) // subtracts what was withheld for it until now
	}
	l.lastSeen[entry] = now
	l.entries = max(l.entries, entries)
}

// Forget removes an entry that stops in an orderly way: it spends nothing any more.
func (l *Allocator) Forget(now time.Time, entry string) {
	l.refillAll(now)
	for _, a := range l.accounts {
		delete(a.byEntry, entry)
	}
	delete(l.lastSeen, entry)
}

func (l *Allocator) refillAll(now time.Time) {
	for _, a := range l.accounts {
		l.refill(now, a)
	}
}

// Report applies what was used at an entry and returns a Share for each customer that has a
// limit.
func (l *Allocator) Report(now time.Time, entry string, uses []Use) []Share {
	l.Seen(now, entry, 0)
	out := make([]Share, 0, len(uses))
	for _, u := range uses {
		if a := l.accounts[u.Customer]; a != nil {
			l.refill(now, a)
			out = append(out, a.report(now, entry, u))
		}
	}
	return out
}

func (a *account) report(now time.Time, entry string, u Use) Share {
	p := a.byEntry[entry]
	if p == nil {
		p = &entryAccount{}
		a.byEntry[entry] = p
	}
	p.demand.add(now, u.Requested, demandDecay)
	p.longDemand = u.LongDemand
	a.setLevel(a.level - u.Used)
	a.requested += u.Requested
	a.used += u.Used
	s := Share{Customer: a.Customer, Chance: 1}
	if total := a.demand(now); total > 0 {
		s.Chance = a.chance(total)
		s.Pressure = total / a.Rate
	}
	if longDemand := a.longDemand(now); longDemand > 0 {
		p.fallback = fallbackShare * a.Rate * p.longDemand / longDemand
		s.FallbackBurst = p.fallback * creditDuration.Seconds() * max(0, 1-longDemand/a.Rate)
	}
	s.Fallback = p.fallback
	return s
}

// longDemand returns the sum of the long averages that entries reported, in units a second. An
// entry's value decays with the age of its report.
func (a *account) longDemand(now time.Time) float64 {
	sum := 0.0
	for _, p := range a.byEntry {
		reported := demand{p.longDemand, p.demand.at}
		sum += reported.rate(now, longDemandDecay)
	}
	return sum
}

// chance returns the probability of admission at a demand, such that use equals the fill rate
// and the level, or the debt, is used up within levelDrainTime.
func (a *account) chance(demand float64) float64 {
	return min(1, max(0, (a.fill+a.level/levelDrainTime.Seconds())/demand))
}

// demand returns the units a second that are asked for, over all entries.
func (a *account) demand(now time.Time) float64 {
	sum := 0.0
	for _, p := range a.byEntry {
		sum += p.demand.rate(now, demandDecay)
	}
	return sum
}

// refill adds the units gained since the last refill, less what silent entries may have spent
// in that time.
func (l *Allocator) refill(now time.Time, a *account) {
	from := a.at
	if !now.After(from) {
		return
	}
	a.at = now
	units := a.fill*now.Sub(from).Seconds() - l.unseenSeconds(from, now)*fallbackShare*a.Rate
	for entry, p := range a.byEntry {
		seen := l.lastSeen[entry]
		begin, end := seen.Add(silentAfter), seen.Add(fallbackDuration)
		units -= p.fallback * overlap(from, now, begin, end).Seconds()
		if now.After(end) || now.Sub(p.demand.at) > fallbackDuration {
			delete(a.byEntry, entry)
		}
	}
	a.setLevel(a.level + max(units, 0))
}

// unseenSeconds returns the seconds between two instants in which unseen entries may spend a
// fallback rate of an earlier leader, times the share of entries from which this leader has
// received nothing. Without this, entries that are partitioned during a leader change spend in
// addition to what the new leader grants to the others.
func (l *Allocator) unseenSeconds(from, to time.Time) float64 {
	if l.entries <= len(l.lastSeen) {
		return 0
	}
	share := 1 - float64(len(l.lastSeen))/float64(l.entries)
	return share * overlap(from, to, l.startedAt.Add(silentAfter), l.startedAt.Add(fallbackDuration)).Seconds()
}

// setLevel sets the level, limited to the burst above and below 0: a customer that used too
// much waits at most about the time in which a burst is refilled.
func (a *account) setLevel(units float64) { a.level = min(max(units, -a.Burst), a.Burst) }

// overlap returns how much of [from, to] lies within [begin, end].
func overlap(from, to, begin, end time.Time) time.Duration {
	if begin.After(from) {
		from = begin
	}
	if end.Before(to) {
		to = end
	}
	return max(to.Sub(from), 0)
}

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
		l.refill(now, a)
		s := Status{Customer: a.Customer, Rate: a.Rate, Burst: a.Burst, Level: a.level, Demand: a.demand(now), Chance: 1, Asked: a.requested, Used: a.used, Entries: []EntryStatus{}}
		if s.Demand > 0 {
			s.Chance = a.chance(s.Demand)
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
