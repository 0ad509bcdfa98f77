package allowance

import "time"

// bucket is a token bucket that the leader keeps for all entries together.
type bucket struct {
	rate          float64 // units a second; fallback rates are parts of it
	fill          float64 // units a second that are added
	burst         float64 // units
	level         float64 // units; negative if more was used than there was
	at            time.Time
	fallbackShare float64 // the sum of all fallback rates as a part of rate
	byEntry       map[string]*entryAccount
}

// entryAccount is the state of a bucket's use at one entry.
type entryAccount struct {
	demand     demand
	longDemand float64 // units a second, from the last report
	fallback   float64 // units a second while the entry cannot reach the leader
}

func newBucket(now time.Time, fallbackShare float64) bucket {
	return bucket{at: now, fallbackShare: fallbackShare, byEntry: map[string]*entryAccount{}}
}

// setRate changes the rate; the level stays within the new burst.
func (b *bucket) setRate(rate, fill, burst float64) {
	b.rate, b.fill, b.burst = rate, fill, burst
	b.setLevel(b.level)
}

// entry returns the account of an entry, which is created if needed.
func (b *bucket) entry(name string) *entryAccount {
	p := b.byEntry[name]
	if p == nil {
		p = &entryAccount{}
		b.byEntry[name] = p
	}
	return p
}

// refill adds the units gained since the last refill, less what silent entries may have spent
// in that time.
func (b *bucket) refill(now time.Time, p *presence) {
	from := b.at
	if !now.After(from) {
		return
	}
	b.at = now
	units := b.fill*now.Sub(from).Seconds() - p.unseenSeconds(from, now)*b.fallbackShare*b.rate
	for entry, a := range b.byEntry {
		seen := p.lastSeen[entry]
		begin, end := seen.Add(silentAfter), seen.Add(fallbackDuration)
		units -= a.fallback * overlap(from, now, begin, end).Seconds()
		if now.After(end) || now.Sub(a.demand.at) > fallbackDuration {
			delete(b.byEntry, entry)
		}
	}
	b.setLevel(b.level + max(units, 0))
}

// setLevel sets the level, limited to the burst above and below 0: after too much use, entries
// wait at most about the time in which a burst is refilled.
func (b *bucket) setLevel(units float64) { b.level = min(max(units, -b.burst), b.burst) }

// demand returns the units a second that are asked for, over all entries.
func (b *bucket) demand(now time.Time) float64 {
	sum := 0.0
	for _, p := range b.byEntry {
		sum += p.demand.rate(now, demandDecay)
	}
	return sum
}

// longDemand returns the sum of the long averages that entries reported, in units a second. An
// entry's value decays with the age of its report.
func (b *bucket) longDemand(now time.Time) float64 {
	sum := 0.0
	for _, p := range b.byEntry {
		reported := demand{p.longDemand, p.demand.at}
		sum += reported.rate(now, longDemandDecay)
	}
	return sum
}

// fallbackPart returns the fallback rate of an entry by its part of the long demand of all.
func (b *bucket) fallbackPart(p *entryAccount, longDemand float64) float64 {
	return b.fallbackShare * b.rate * p.longDemand / longDemand
}

// presence is which entries a leader has received messages from.
type presence struct {
	lastSeen  map[string]time.Time // by entry: when its last message arrived
	startedAt time.Time            // when this leader began to hand out units; zero before that
	entries   int                  // highest number reported; entries not yet seen may be partitioned
}

func newPresence() presence { return presence{lastSeen: map[string]time.Time{}} }

// start records when the leader began to hand out units; only the first call counts.
func (p *presence) start(now time.Time) {
	if p.startedAt.IsZero() {
		p.startedAt = now
	}
}

// returns reports whether a message that arrives now ends an entry's silence.
func (p *presence) returns(now time.Time, entry string) bool {
	return now.Sub(p.lastSeen[entry]) > silentAfter
}

func (p *presence) seen(now time.Time, entry string, entries int) {
	p.lastSeen[entry] = now
	p.entries = max(p.entries, entries)
}

func (p *presence) forget(entry string) { delete(p.lastSeen, entry) }

// unseenSeconds returns the seconds between two instants in which unseen entries may spend a
// fallback rate of an earlier leader, times the share of entries from which this leader has
// received nothing. Without this, entries that are partitioned during a leader change spend in
// addition to what the new leader grants to the others.
func (p *presence) unseenSeconds(from, to time.Time) float64 {
	if p.entries <= len(p.lastSeen) {
		return 0
	}
	share := 1 - float64(len(p.lastSeen))/float64(p.entries)
	return share * overlap(from, to, p.startedAt.Add(silentAfter), p.startedAt.Add(fallbackDuration)).Seconds()
}

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
