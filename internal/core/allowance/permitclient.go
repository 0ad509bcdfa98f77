package allowance

import (
	"cmp"
	"slices"
	"time"
)

// PermitClient is an entry's side of the limits of endpoints: it decides which requests may be
// sent to a limited endpoint now, and collects demand for the reports to the leader. It is not
// safe for concurrent use.
type PermitClient struct {
	draw       func() float64 // returns a random number from 0 to 1
	id         uint64
	reports    uint64
	endpoints  map[string]*limitedEndpoint
	entries    int    // that share defaultFallbackRate; 0 if not known
	term       uint64 // of the last answer, as stamp is
	stamp      time.Duration
	stampAt    time.Time // when stamp was received
	answered   time.Time // when the leader answered last
	reached    uint64    // the term of the leader that was reached last
	silent     bool      // the last report was not answered
	silentTerm uint64    // the term that was reached last then
	resend     bool      // the leader may lack what was reported before
	seq        uint64    // of the newest waiter
}

// limitedEndpoint is one endpoint's limit as an entry knows it.
type limitedEndpoint struct {
	Statement
	unreported bool      // the leader does not have the statement yet
	reporting  Statement // as in the report that is not answered yet
	permits    []permit  // unused, in the order in which they expire
	expired    int       // unused permits to be returned
	sent       PermitAsk
	waiters    []*Waiter // in the order in which they get permits
	brief      int       // waiters that have another endpoint
	requested  float64   // not reported yet
	demand     demand
	longDemand demand
	fallback   float64 // requests a second while the leader is silent; 0 if the leader has sent none
	credit     float64
	creditAt   time.Time
	nextAt     time.Time // when the next permit for this entry can be expected
	behindAt   time.Time // when the same for a request that begins to wait
	known      int       // requests that waited here in the report that was answered
	oldest     time.Time // when the oldest of them began to wait
	answeredAt time.Time // when the leader answered; zero if never
}

// permit allows some requests until it expires.
type permit struct {
	n       int
	expires time.Time
}

// Waiter is one request in the order in which requests get permits: the most urgent first,
// then the oldest.
type Waiter struct {
	Priority int // 0 is the most urgent
	Since    time.Time
	endpoint string // at which it waits; "" if it waits at none
	seq      uint64 // increases with each wait
	brief    bool
	counted  bool // in the demand for the endpoint that was chosen first
	granted  bool // it has used a permit of the leader
}

// Endpoint returns the endpoint at which the request waits; "" if it waits at none.
func (w *Waiter) Endpoint() string { return w.endpoint }

// compare orders waiters. Of two that are equal, the one that began to wait first goes first.
func (w *Waiter) compare(o *Waiter) int {
	return cmp.Or(cmp.Compare(w.Priority, o.Priority), w.Since.Compare(o.Since), cmp.Compare(w.seq, o.seq))
}

// NewPermitClient returns a PermitClient that knows no limits. id identifies the process among
// those of this entry, and draw returns a random number from 0 to 1.
func NewPermitClient(id uint64, draw func() float64) *PermitClient {
	return &PermitClient{id: id, draw: draw, endpoints: map[string]*limitedEndpoint{}, silent: true, resend: true}
}

// Change is how what is known of an endpoint's limit has changed.
type Change uint8

// The changes.
const (
	Unchanged Change = iota
	Named            // a limit or another rate is in force
	Ended
)

// Named observes that an answer names a limit, in requests a second.
func (c *PermitClient) Named(now time.Time, endpoint string, rate float64) Change {
	return c.apply(now, endpoint, Statement{Rate: ClampLimit(rate), At: now})
}

// Unlimited observes that an answer names no limit. sentAt is when its request was sent: the
// earliest instant at which the endpoint can have begun the answer.
func (c *PermitClient) Unlimited(now, sentAt time.Time, endpoint string) Change {
	if c.endpoints[endpoint] == nil {
		return Unchanged
	}
	return c.apply(now, endpoint, Statement{Ended: true, At: sentAt})
}

// Merge applies what the leader says of limits. askedAt is when the message that it answers was
// sent.
func (c *PermitClient) Merge(now, askedAt time.Time, s EndpointStatement) Change {
	at := now
	if s.Ended {
		at = askedAt
	}
	change := c.apply(now, s.Endpoint, Statement{Rate: s.Rate, Ended: s.Ended, At: at.Add(-s.Age)})
	if e := c.endpoints[s.Endpoint]; e != nil && change != Unchanged {
		e.unreported = false
	}
	return change
}

// apply applies a statement and returns what it changes.
func (c *PermitClient) apply(now time.Time, endpoint string, s Statement) Change {
	e := c.endpoints[endpoint]
	switch {
	case e == nil && s.Ended:
		return Unchanged
	case e == nil:
		e = &limitedEndpoint{Statement: s, unreported: true, creditAt: now}
		c.endpoints[endpoint] = e
		return Named
	case !s.supersedes(e.Statement):
		return Unchanged
	}
	before := e.Statement
	e.Statement = s
	if s.Ended == before.Ended && s.Rate == before.Rate {
		return Unchanged // said again
	}
	e.unreported = true
	if s.Ended {
		return Ended
	}
	if before.Ended {
		e.drop()
		return Named
	}
	if s.Rate < before.Rate {
		e.drop()
		e.fallback *= s.Rate / before.Rate
	}
	return Named
}

// drop gives up unused permits, to be returned.
func (e *limitedEndpoint) drop() {
	for _, p := range e.permits {
		e.expired += p.n
	}
	e.permits = nil
}

// Limit returns the limit in force of an endpoint.
func (c *PermitClient) Limit(endpoint string) (Statement, bool) {
	e := c.endpoints[endpoint]
	if e == nil || e.Ended {
		return Statement{}, false
	}
	return e.Statement, true
}

// Knows reports whether an endpoint has named a limit, which may have ended.
func (c *PermitClient) Knows(endpoint string) bool { return c.endpoints[endpoint] != nil }

// Take takes a permit for a request to a limited endpoint. It returns false if there is none
// for it: requests that wait there get theirs in order. Without a limit it returns true.
func (c *PermitClient) Take(now time.Time, endpoint string, w *Waiter) bool {
	e := c.endpoints[endpoint]
	if e == nil || e.Ended {
		return true
	}
	if !w.counted {
		w.counted = true
		e.requested++
		e.demand.add(now, 1, demandDecay)
		e.longDemand.add(now, 1, longDemandDecay)
	}
	ahead := e.aheadOf(endpoint, w)
	if e.held(now) > ahead {
		e.use()
		w.granted = true
		return true
	}
	return c.silent && ahead == 0 && c.spendFallback(now, e)
}

// aheadOf returns how many waiting requests get permits before w: for one that does not wait
// here, all of them.
func (e *limitedEndpoint) aheadOf(name string, w *Waiter) int {
	if w.endpoint != name {
		return len(e.waiters)
	}
	return e.position(w)
}

// position returns the index of w among the waiting requests, or the one at which it belongs.
func (e *limitedEndpoint) position(w *Waiter) int {
	i, _ := slices.BinarySearchFunc(e.waiters, w, (*Waiter).compare)
	return i
}

// held returns the unused permits and gives up those that have expired.
func (e *limitedEndpoint) held(now time.Time) int {
	n := 0
	for len(e.permits) > 0 && !now.Before(e.permits[0].expires) {
		e.expired += e.permits[0].n
		e.permits = e.permits[1:]
	}
	for _, p := range e.permits {
		n += p.n
	}
	return n
}

// use uses the permit that expires first.
func (e *limitedEndpoint) use() {
	if e.permits[0].n--; e.permits[0].n == 0 {
		e.permits = e.permits[1:]
	}
}

// spendFallback spends one request of the fallback rate. A rate that saves no whole request
// within fallbackWindow is drawn: on average no more is sent than it allows.
func (c *PermitClient) spendFallback(now time.Time, e *limitedEndpoint) bool {
	rate := e.fallback
	if rate == 0 || now.Sub(c.answered) > fallbackDuration {
		rate = defaultFallbackRate / float64(max(c.entries, 1))
	}
	e.credit = min(e.credit+rate*now.Sub(e.creditAt).Seconds(), max(1, rate*PermitInterval.Seconds()))
	if rate*fallbackWindow.Seconds() < 1 {
		e.credit = min(e.credit, rate*fallbackWindow.Seconds())
	}
	e.creditAt = now
	if e.credit >= 1 {
		e.credit--
		return true
	}
	if rate*fallbackWindow.Seconds() >= 1 {
		return false
	}
	drawn := c.draw() < e.credit
	e.credit = 0
	return drawn
}

// MayAsk reports whether the leader may have a permit for an endpoint now.
func (c *PermitClient) MayAsk(now time.Time, endpoint string) bool {
	e := c.endpoints[endpoint]
	return e != nil && !c.silent && !now.Before(e.nextAt) && len(e.waiters) == e.brief
}

// Wait makes a request wait at a limited endpoint for a permit; briefly if another endpoint
// could take it. A request waits at one endpoint at a time.
func (c *PermitClient) Wait(endpoint string, w *Waiter, brief bool) {
	e := c.endpoints[endpoint]
	if e == nil || w.endpoint == endpoint && w.brief == brief {
		return
	}
	c.Done(w)
	w.endpoint, w.brief = endpoint, brief
	if brief {
		e.brief++
	}
	c.seq++
	w.seq = c.seq
	e.waiters = slices.Insert(e.waiters, e.position(w), w)
}

// Done ends a request's wait.
func (c *PermitClient) Done(w *Waiter) {
	e := c.endpoints[w.endpoint]
	if w.endpoint == "" || e == nil {
		w.endpoint = ""
		return
	}
	if i := e.position(w); i < len(e.waiters) && e.waiters[i] == w {
		e.waiters = slices.Delete(e.waiters, i, i+1)
		if w.brief {
			e.brief--
		}
	}
	w.endpoint, w.brief = "", false
}

// Return returns the permit that a request has taken and does not use. One of the fallback rate is
// not returned: it may have been drawn.
func (c *PermitClient) Return(endpoint string, w *Waiter) {
	if e := c.endpoints[endpoint]; e != nil && w.granted {
		e.expired++
	}
	w.granted = false
}

// Before reports whether a request gets what both wait for before another one.
func (w *Waiter) Before(o *Waiter) bool { return w.compare(o) < 0 }

// Expect returns how long a request would wait for a permit at an endpoint; false if that is
// not known.
func (c *PermitClient) Expect(now time.Time, endpoint string, w *Waiter) (time.Duration, bool) {
	e := c.endpoints[endpoint]
	if e == nil || c.silent || e.answeredAt.IsZero() || now.Sub(e.answeredAt) > askTimeout {
		return 0, false
	}
	waiting := len(e.waiters) - e.brief
	if w.endpoint != endpoint {
		unknown := max(waiting-e.known, 0) // began to wait since the report
		return max(e.behindAt.Sub(now), 0) + time.Duration(float64(unknown)/e.Rate*float64(time.Second)), true
	}
	// Requests that wait at other entries get permits in between, the older ones first.
	part := 0.0
	if age := now.Sub(e.oldest); age > 0 {
		part = min(max(w.Since.Sub(e.oldest).Seconds()/age.Seconds(), 0), 1)
	}
	return max(e.nextAt.Sub(now)+time.Duration(part*float64(e.behindAt.Sub(e.nextAt))), 0), true
}

// Pending reports whether a report is due: there is news, demand, a waiting request or a permit
// to return.
func (c *PermitClient) Pending(now time.Time) bool {
	for _, e := range c.endpoints {
		if e.unreported || e.wants(now) {
			return true
		}
	}
	return c.resend && len(c.endpoints) > 0
}

// wants reports whether the leader should be asked about an endpoint.
func (e *limitedEndpoint) wants(now time.Time) bool {
	return !e.Ended && (len(e.waiters) > 0 || e.requested > 0 || e.held(now) > 0 || e.expired > 0 || e.sent.Waiting > 0)
}

// Report returns the report to the leader. Answered or Unanswered must be called before the
// next Report.
func (c *PermitClient) Report(now time.Time) PermitReport {
	c.reports++
	r := PermitReport{Client: c.id, Seq: c.reports}
	if c.stamp > 0 {
		r.Term, r.Stamp, r.Elapsed = c.term, c.stamp, now.Sub(c.stampAt)
	}
	for name, e := range c.endpoints {
		if e.Ended && now.Sub(e.At) > endMemory {
			delete(c.endpoints, name)
			continue
		}
		wants := e.wants(now)
		if e.unreported || wants || c.resend {
			e.reporting = e.Statement
			r.Statements = append(r.Statements, StatementAt(now, name, e.Statement))
		}
		if wants {
			r.Asks = append(r.Asks, e.ask(now, name))
		}
	}
	return r
}

// ask returns the demand for one endpoint and resets what is counted between reports.
func (e *limitedEndpoint) ask(now time.Time, name string) PermitAsk {
	held := e.held(now)
	waiting := len(e.waiters) - e.brief
	e.sent = PermitAsk{Endpoint: name, Waiting: max(waiting-held, 0), Requested: e.requested, LongDemand: e.longDemand.rate(now, longDemandDecay), Returned: e.expired}
	ahead := e.brief + int(e.demand.rate(now, demandDecay)*prefetchTime.Seconds())
	e.sent.Ahead = max(ahead-max(held-waiting, 0), 0)
	for _, w := range e.waiters {
		if age := now.Sub(w.Since); !w.brief {
			if e.sent.Oldest == 0 || age < e.sent.Newest {
				e.sent.Newest = age
			}
			e.sent.Oldest = max(e.sent.Oldest, age)
		}
	}
	e.requested, e.expired = 0, 0
	return e.sent
}

// Answered applies the leader's answer to the report that was made at askedAt, and returns the
// endpoints whose limit has changed, with the change.
func (c *PermitClient) Answered(now, askedAt time.Time, a PermitAnswer) map[string]Change {
	c.answered, c.silent = now, false
	c.resend = c.term != a.Term
	c.term, c.stamp, c.stampAt = a.Term, a.Stamp, now
	var changes map[string]Change
	for _, e := range c.endpoints {
		e.unreported = e.unreported && e.Statement != e.reporting
		e.sent = PermitAsk{Waiting: e.sent.Waiting, Oldest: e.sent.Oldest}
	}
	for _, g := range a.Grants {
		if change := c.Merge(now, askedAt, g.EndpointStatement); change != Unchanged {
			if changes == nil {
				changes = map[string]Change{}
			}
			changes[g.Endpoint] = change
		}
		e := c.endpoints[g.Endpoint]
		if e == nil || e.Ended {
			continue
		}
		e.fallback, e.answeredAt = g.Fallback, now
		e.nextAt, e.behindAt, e.known = now.Add(g.Next), now.Add(g.Behind), e.sent.Waiting
		e.oldest = askedAt.Add(-e.sent.Oldest)
		if g.Permits > 0 {
			e.permits = append(e.permits, permit{g.Permits, askedAt.Add(permitLife)})
		}
	}
	return changes
}

// Unanswered records that the last report was not answered, or that there is no leader. Its
// statements are sent again; permits that it returned are lost.
func (c *PermitClient) Unanswered(now time.Time) {
	for _, e := range c.endpoints {
		e.requested += e.sent.Requested
		e.sent = PermitAsk{}
		if !c.silent {
			e.credit, e.creditAt = 0, now
		}
	}
	c.silent, c.silentTerm, c.resend = true, c.reached, true
}

// Reached records that the leader of a term can be reached. It ends a silence unless that leader
// has left a report without an answer: one of an earlier release answers none.
func (c *PermitClient) Reached(term uint64) {
	c.reached = term
	c.silent = c.silent && term == c.silentTerm
	c.resend = c.resend || term != c.term
}

// Silent reports whether the leader does not answer, so that requests are sent at fallback
// rates.
func (c *PermitClient) Silent() bool { return c.silent }

// Waiting reports whether requests wait for permits.
func (c *PermitClient) Waiting() bool {
	for _, e := range c.endpoints {
		if len(e.waiters) > 0 {
			return true
		}
	}
	return false
}

// SetEntries sets the number of entries that share the rate of those out of touch.
func (c *PermitClient) SetEntries(n int) { c.entries = max(c.entries, n) }

// Forget drops an endpoint that is gone.
func (c *PermitClient) Forget(endpoint string) { delete(c.endpoints, endpoint) }
