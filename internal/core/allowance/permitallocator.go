package allowance

import (
	"math"
	"slices"
	"time"
)

// PermitAllocator is the leader's side of the limits of endpoints. It is not safe for concurrent
// use.
type PermitAllocator struct {
	limits map[string]*limitAccount
	term   uint64
	begun  time.Time     // of the term
	stamp  time.Duration // of the newest answer
	last   map[string]lastAnswer
	presence
}

// lastAnswer is the newest answer to an entry.
type lastAnswer struct {
	client, seq uint64
	stamp       time.Duration
	permits     map[string]int // granted, by endpoint
	reclaimable bool           // the answer before it was received
}

// limitAccount is one endpoint's limit and, while it is in force, its bucket.
type limitAccount struct {
	Statement
	source string // the entry that reported the statement
	bucket
	queue   map[string]queued // by entry, where requests wait
	sums    limitSums
	askedAt time.Time
	granted float64 // permits since this leader knows the limit, less those returned
}

// queued is the requests that wait at one entry.
type queued struct {
	waiting int
	since   time.Time // when the oldest began to wait
	until   time.Time // when the newest did
	at      time.Time // of the report
}

// queuePoint is an instant at which requests began to wait.
type queuePoint struct {
	at    time.Time
	older float64 // requests that began to wait before it, over all entries
}

// maxQueuePoints bounds the points by which the requests of one entry are represented.
const maxQueuePoints = 8

// points returns instants at which the requests began to wait, spread evenly, and how many
// requests each stands for.
func (q queued) points() (at []time.Time, each float64) {
	n := min(q.waiting, maxQueuePoints)
	for i := range n {
		at = append(at, q.since.Add(q.until.Sub(q.since)*time.Duration(i)/time.Duration(max(n-1, 1))))
	}
	return at, float64(q.waiting) / float64(n)
}

// limitSums are sums over entries. They are kept for sumInterval: with a sum for each report,
// the leader's time would grow with the square of the entries that ask for an endpoint.
type limitSums struct {
	at         time.Time
	longDemand float64
	waiting    int          // requests that wait at all entries
	queue      []queuePoint // the oldest first
}

// NewPermitAllocator returns the PermitAllocator of a leader that begins its term.
func NewPermitAllocator(now time.Time, term uint64) *PermitAllocator {
	l := &PermitAllocator{limits: map[string]*limitAccount{}, last: map[string]lastAnswer{}, term: term, begun: now, presence: newPresence()}
	l.start(now)
	return l
}

// Seen records that a message of an entry arrived, and how many entries that entry knows of;
// 0 if it does not know yet.
func (l *PermitAllocator) Seen(now time.Time, entry string, entries int) {
	if l.returns(now, entry) {
		for _, a := range l.limits {
			a.refill(now, &l.presence) // subtracts what was withheld for it until now
		}
	}
	l.seen(now, entry, entries)
}

// Forget removes an entry that stops in an orderly way.
func (l *PermitAllocator) Forget(now time.Time, entry string) {
	for _, a := range l.limits {
		a.refill(now, &l.presence)
		delete(a.byEntry, entry)
		delete(a.queue, entry)
	}
	delete(l.last, entry)
	l.forget(entry)
}

// Report applies an entry's report and returns the answer. A report that was overtaken by a
// later one changes nothing.
func (l *PermitAllocator) Report(now time.Time, entry string, r PermitReport) PermitAnswer {
	l.Seen(now, entry, 0)
	last, received := l.last[entry], true
	if last.client == r.Client {
		if r.Seq <= last.seq {
			return PermitAnswer{Term: l.term, Stamp: l.stamp}
		}
		received = r.Term == l.term && r.Stamp == last.stamp
		if !received && last.reclaimable {
			l.reclaim(now, last)
		}
	}
	for _, s := range r.Statements {
		l.learn(now, entry, r, s)
	}
	l.stamp = max(l.stamp+1, now.Sub(l.begun))
	out := PermitAnswer{Term: l.term, Stamp: l.stamp}
	last = lastAnswer{client: r.Client, seq: r.Seq, stamp: l.stamp, reclaimable: received}
	for _, ask := range r.Asks {
		a := l.limits[ask.Endpoint]
		if a == nil {
			continue
		}
		g := l.answer(now, entry, a, ask)
		out.Grants = append(out.Grants, g)
		if g.Permits > 0 {
			if last.permits == nil {
				last.permits = map[string]int{}
			}
			last.permits[g.Endpoint] = g.Permits
		}
	}
	l.last[entry] = last
	return out
}

// reclaim takes back the permits of an answer that was not received: an entry drops an answer
// that comes after it has given up its report. Those of a second such answer in a row are lost:
// an entry that receives none would otherwise keep more and more permits out of the bucket,
// and get all of them at once when it does.
func (l *PermitAllocator) reclaim(now time.Time, last lastAnswer) {
	for name, n := range last.permits {
		if a := l.limits[name]; a != nil {
			a.refresh(now, &l.presence)
			a.giveBack(n)
		}
	}
}

// learn merges a statement that an entry reports. The end of a limit counts from the earliest
// instant that the stamp proves; without a stamp of this term it proves nothing and is dropped.
func (l *PermitAllocator) learn(now time.Time, entry string, r PermitReport, s EndpointStatement) {
	next := Statement{Rate: ClampLimit(s.Rate), Ended: s.Ended, At: now.Add(-s.Age)}
	if s.Ended {
		if r.Stamp == 0 || r.Term != l.term {
			return
		}
		next.At = l.begun.Add(r.Stamp + r.Elapsed - s.Age)
	}
	a := l.limits[s.Endpoint]
	if a == nil {
		if s.Ended {
			return // no limit is known here
		}
		a = &limitAccount{bucket: newBucket(now, permitFallbackShare), queue: map[string]queued{}, askedAt: now}
		l.limits[s.Endpoint] = a
	} else if !next.supersedes(a.Statement) {
		return
	}
	a.refill(now, &l.presence)
	a.Statement, a.source = next, entry
	if !next.Ended {
		a.setRate(next.Rate, next.Rate, permitBurst(next.Rate))
	}
}

// answer answers one ask.
func (l *PermitAllocator) answer(now time.Time, entry string, a *limitAccount, ask PermitAsk) PermitGrant {
	a.askedAt = now
	if a.Ended {
		return PermitGrant{EndpointStatement: StatementAt(now, ask.Endpoint, a.Statement)}
	}
	a.refresh(now, &l.presence)
	a.giveBack(ask.Returned)
	p := a.entry(entry)
	p.demand.add(now, ask.Requested, demandDecay)
	p.longDemand = ask.LongDemand
	since := now.Add(-ask.Oldest)
	older, others := a.waitingBeside(entry, since)
	n := a.take(min(ask.Waiting, max(a.spare(older), a.part(ask.Waiting, others), a.unclaimed())))
	waiting := ask.Waiting - n
	if waiting > 0 {
		a.queue[entry] = queued{waiting: waiting, since: since, until: now.Add(-ask.Newest), at: now}
	} else {
		delete(a.queue, entry)
	}
	n += a.take(min(ask.Ahead, a.spare(others+waiting)))
	if sum := max(a.sums.longDemand, p.longDemand); sum > 0 {
		p.fallback = a.fallbackPart(p, sum)
	}
	ahead := others
	if ask.Waiting > 0 {
		ahead = older
	}
	return PermitGrant{EndpointStatement: StatementAt(now, ask.Endpoint, a.Statement), Permits: n, Fallback: p.fallback,
		Next: untilLevel(float64(ahead+1)-a.level, a.fill), Behind: untilLevel(float64(others+waiting+1)-a.level, a.fill)}
}

// refresh refills the bucket and updates the sums, if they are older than sumInterval.
func (a *limitAccount) refresh(now time.Time, p *presence) {
	if now.Sub(a.sums.at) < sumInterval {
		return
	}
	a.refill(now, p)
	a.sums = limitSums{at: now, longDemand: a.longDemand(now)}
	for name, q := range a.queue {
		if now.Sub(q.at) > askTimeout {
			delete(a.queue, name)
			continue
		}
		a.sums.waiting += q.waiting
		at, each := q.points()
		for _, t := range at {
			a.sums.queue = append(a.sums.queue, queuePoint{t, each})
		}
	}
	slices.SortFunc(a.sums.queue, func(x, y queuePoint) int { return x.at.Compare(y.at) })
	sum := 0.0
	for i, p := range a.sums.queue {
		a.sums.queue[i].older = sum
		sum += p.older
	}
}

// spare returns how many permits there are beyond those that are kept for other requests.
func (a *limitAccount) spare(kept int) int { return max(int(math.Floor(a.level))-kept, 0) }

// part returns an entry's part of the permits by what waits there and at other entries.
// Without it, an entry whose oldest request comes last in its own order would get everything
// as long as that request waits.
func (a *limitAccount) part(own, others int) int {
	if own == 0 {
		return 0
	}
	return int(a.level * float64(own) / float64(own+others))
}

// unclaimed returns the permits beyond half a burst, which go to whoever asks first: those for
// whom they were kept have found another endpoint meanwhile, or given up.
func (a *limitAccount) unclaimed() int { return int(a.level - a.burst/2) }

// take takes permits from the bucket.
func (a *limitAccount) take(n int) int {
	a.level -= float64(n)
	a.granted += float64(n)
	return n
}

// giveBack puts unused permits back into the bucket.
func (a *limitAccount) giveBack(n int) {
	a.setLevel(a.level + float64(n))
	a.granted -= float64(n)
}

// waitingBeside returns how many requests of other entries wait for longer than those of one
// entry, and how many wait at other entries in all.
func (a *limitAccount) waitingBeside(entry string, since time.Time) (older, all int) {
	all = max(a.sums.waiting-a.queue[entry].waiting, 0)
	i, _ := slices.BinarySearchFunc(a.sums.queue, since, func(p queuePoint, t time.Time) int { return p.at.Compare(t) })
	older = a.sums.waiting
	if i < len(a.sums.queue) {
		older = int(a.sums.queue[i].older)
	}
	return min(older, all), all
}

// untilLevel returns the time in which a bucket gains some units.
func untilLevel(units, fill float64) time.Duration {
	if units <= 0 || fill <= 0 {
		return 0
	}
	return time.Duration(min(units/fill, maxNext.Seconds()) * float64(time.Second))
}

// maxNext bounds the time until the next permit, so that it stays a valid Duration.
const maxNext = time.Hour

// StatementAt returns a statement as it is sent now.
func StatementAt(now time.Time, endpoint string, s Statement) EndpointStatement {
	return EndpointStatement{Endpoint: endpoint, Rate: s.Rate, Ended: s.Ended, Age: now.Sub(s.At)}
}

// Statements returns what is known of limits, by endpoint, and drops what has not been asked
// for in a long time.
func (l *PermitAllocator) Statements(now time.Time) map[string]Statement {
	if len(l.limits) == 0 {
		return nil
	}
	out := make(map[string]Statement, len(l.limits))
	for name, a := range l.limits {
		if a.Ended && now.Sub(a.At) > endMemory || now.Sub(a.askedAt) > limitMemory {
			delete(l.limits, name)
			continue
		}
		out[name] = a.Statement
	}
	return out
}
