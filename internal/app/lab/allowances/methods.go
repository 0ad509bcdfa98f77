package allowances

import (
	"encoding/json"
	"time"
)

// method enforces the limits of customers across entries.
type method interface {
	// request decides whether to admit a request, immediately or later.
	request(entry, customer int, cost float64, decide func(admitted bool))
	// step runs the periodic work that is due.
	step()
	restart()     // all processes restart and lose their state
	applyLimits() // called after the limits changed
	addEntries()  // called after the number of entries grew
	traffic() (messages int, bytes int)
}

// counter counts messages and their bytes as JSON.
type counter struct{ messages, bytes int }

func (c *counter) countMessage(v any) {
	raw, err := json.Marshal(v)
	if err != nil {
		panic(err) // plain values always encode
	}
	c.messages++
	c.bytes += len(raw)
}

func (c *counter) traffic() (int, int) { return c.messages, c.bytes }

// bucket is a token bucket. A full bucket also admits a request that costs more than its
// burst; its level is then negative.
type bucket struct {
	level, rate, burst float64
	at                 time.Time
}

func (b *bucket) take(now time.Time, cost float64) bool {
	b.level = min(b.level+b.rate*now.Sub(b.at).Seconds(), b.burst)
	b.at = now
	if b.level < min(cost, b.burst) {
		return false
	}
	b.level -= cost
	return true
}

func (b *bucket) set(now time.Time, rate, burst float64) {
	b.take(now, 0)
	b.rate, b.burst = rate, burst
	b.level = min(b.level, burst)
}

// evenSplit gives each entry an equal share of each limit.
type evenSplit struct {
	counter
	w       *simulation
	buckets [][]bucket // by entry and customer
}

func newEvenSplit(w *simulation) method {
	e := &evenSplit{w: w}
	e.restart()
	return e
}

func (e *evenSplit) restart() {
	e.buckets = nil
	e.addEntries()
}

func (e *evenSplit) addEntries() {
	for len(e.buckets) < e.w.entries {
		e.buckets = append(e.buckets, make([]bucket, customers))
	}
	e.applyLimits()
}

func (e *evenSplit) applyLimits() {
	n := float64(e.w.entries)
	for i := range e.buckets {
		for c, l := range e.w.limits {
			b := &e.buckets[i][c]
			if b.at.IsZero() {
				*b = bucket{level: l.burst / n, at: e.w.now}
			}
			b.set(e.w.now, l.rate/n, l.burst/n)
		}
	}
}

func (e *evenSplit) request(entry, customer int, cost float64, decide func(bool)) {
	decide(e.buckets[entry][customer].take(e.w.now, cost))
}

func (e *evenSplit) step() {}

// demandSplit gives entries leased shares of each limit in proportion to their demand.
type demandSplit struct {
	counter
	w       *simulation
	buckets [][]bucket
	demand  [][]float64   // units since the last report
	average [][]float64   // units a second, smoothed, as reported to the leader
	lease   [][]time.Time // end of the entry's lease; zero without one
	granted [][]float64   // share of the limit granted last, by the leader's record
	next    time.Time
}

const (
	reportInterval = 200 * time.Millisecond
	leaseDuration  = time.Second
	// evenShare is the share of a limit that is divided evenly, so that an entry without
	// a lease can admit the first requests of a customer.
	evenShare = 0.2
)

func newDemandSplit(w *simulation) method {
	p := &demandSplit{w: w}
	p.restart()
	return p
}

func (p *demandSplit) restart() {
	p.buckets, p.demand, p.average, p.lease, p.granted = nil, nil, nil, nil, nil
	p.addEntries()
}

func (p *demandSplit) addEntries() {
	for len(p.buckets) < p.w.entries {
		p.buckets = append(p.buckets, make([]bucket, customers))
		p.demand = append(p.demand, make([]float64, customers))
		p.average = append(p.average, make([]float64, customers))
		p.lease = append(p.lease, make([]time.Time, customers))
		p.granted = append(p.granted, make([]float64, customers))
	}
	for i := range p.buckets {
		for c := range p.buckets[i] {
			if p.buckets[i][c].at.IsZero() {
				p.buckets[i][c].at = p.w.now
				p.setShare(i, c, evenShare/float64(p.w.entries))
			}
		}
	}
}

// setShare sets an entry's share of a customer's limit.
func (p *demandSplit) setShare(entry, customer int, share float64) {
	l := p.w.limits[customer]
	p.buckets[entry][customer].set(p.w.now, l.rate*share, l.burst*share)
}

func (p *demandSplit) applyLimits() {
	for i := range p.buckets {
		for c := range p.buckets[i] {
			p.setShare(i, c, evenShare/float64(p.w.entries))
		}
	}
}

func (p *demandSplit) request(entry, customer int, cost float64, decide func(bool)) {
	p.demand[entry][customer] += cost
	decide(p.buckets[entry][customer].take(p.w.now, cost))
}

func (p *demandSplit) step() {
	for i := range p.lease {
		for c, end := range p.lease[i] {
			if !end.IsZero() && p.w.now.After(end) {
				p.lease[i][c] = time.Time{}
				p.setShare(i, c, evenShare/float64(p.w.entries))
			}
		}
	}
	if p.w.now.Before(p.next) {
		return
	}
	p.next = p.w.now.Add(reportInterval)
	for i := range p.demand {
		if p.w.reachesLeader(i) {
			p.report(i)
		}
	}
	p.w.afterLatency(p.divide)
}

func (p *demandSplit) report(entry int) {
	averages := map[int]float64{}
	for c, units := range p.demand[entry] {
		p.average[entry][c] = 0.6*p.average[entry][c] + 0.4*units/reportInterval.Seconds()
		p.demand[entry][c] = 0
		if p.average[entry][c] > 1 {
			averages[c] = p.average[entry][c]
		}
	}
	if len(averages) > 0 {
		p.countMessage(averages)
	}
}

// divide grants each entry its share of the limits. Shares granted to entries that the leader
// does not reach stay reserved for them; what other entries lose is granted again at the next
// division.
func (p *demandSplit) divide() {
	for c := range p.w.limits {
		total, kept := 0.0, 0.0
		for i := range p.average {
			total += p.average[i][c]
			if !p.w.reachesLeader(i) {
				kept += p.granted[i][c]
			}
		}
		if total == 0 {
			continue
		}
		for i := range p.average {
			if !p.w.reachesLeader(i) {
				continue
			}
			share := evenShare/float64(p.w.entries) + (1-evenShare)*max(0, 1-kept)*p.average[i][c]/total
			p.granted[i][c] = share
			p.countMessage(map[int]float64{c: share})
			p.w.afterLatency(func() {
				p.lease[i][c] = p.w.now.Add(leaseDuration)
				p.setShare(i, c, share)
			})
		}
	}
}

// sharedChance has entries admit requests with a probability that the leader computes from one
// token bucket, which it charges with the use of all entries.
type sharedChance struct {
	counter
	w       *simulation
	used    [][]float64 // units since the last report
	asked   [][]float64
	chance  [][]float64
	buckets []bucket
	demand  []float64
	next    time.Time
}

func newSharedChance(w *simulation) method {
	s := &sharedChance{w: w}
	s.restart()
	return s
}

func (s *sharedChance) restart() {
	s.used, s.asked, s.chance, s.buckets, s.demand = nil, nil, nil, nil, make([]float64, customers)
	for _, l := range s.w.limits {
		s.buckets = append(s.buckets, bucket{level: l.burst / 2, rate: l.rate, burst: l.burst, at: s.w.now})
	}
	s.addEntries()
}

func (s *sharedChance) addEntries() {
	for len(s.used) < s.w.entries {
		s.used = append(s.used, make([]float64, customers))
		s.asked = append(s.asked, make([]float64, customers))
		all := make([]float64, customers)
		for c := range all {
			all[c] = 1
		}
		s.chance = append(s.chance, all)
	}
}

func (s *sharedChance) applyLimits() {
	for c, l := range s.w.limits {
		s.buckets[c].set(s.w.now, l.rate, l.burst)
	}
}

func (s *sharedChance) request(entry, customer int, cost float64, decide func(bool)) {
	s.asked[entry][customer] += cost
	admitted := s.w.r.Float64() < s.chance[entry][customer]
	if admitted {
		s.used[entry][customer] += cost
	}
	decide(admitted)
}

func (s *sharedChance) step() {
	if s.w.now.Before(s.next) {
		return
	}
	s.next = s.w.now.Add(reportInterval)
	asked := make([]float64, customers)
	for i := range s.used {
		if !s.w.reachesLeader(i) {
			continue
		}
		report := map[int]float64{}
		for c := range s.used[i] {
			s.buckets[c].take(s.w.now, 0)
			s.buckets[c].level -= s.used[i][c]
			asked[c] += s.asked[i][c]
			if s.asked[i][c] > 0 {
				report[c] = s.used[i][c]
			}
			s.used[i][c], s.asked[i][c] = 0, 0
		}
		if len(report) > 0 {
			s.countMessage(report)
		}
	}
	s.w.afterLatency(func() { s.sendChances(asked) })
}

// sendChances computes the admission probabilities and sends those that changed: what the bucket
// can admit over the next half second divided by the demand.
func (s *sharedChance) sendChances(asked []float64) {
	for c := range s.w.limits {
		s.demand[c] = 0.6*s.demand[c] + 0.4*asked[c]/reportInterval.Seconds()
		b := &s.buckets[c]
		b.take(s.w.now, 0)
		chance := 1.0
		if s.demand[c] > 0 {
			chance = min(1, max(0, (b.rate+2*b.level)/s.demand[c]))
		}
		for i := range s.chance {
			if s.w.reachesLeader(i) && s.chance[i][c] != chance {
				s.countMessage(map[int]float64{c: chance})
				s.w.afterLatency(func() { s.chance[i][c] = chance })
			}
		}
	}
}
