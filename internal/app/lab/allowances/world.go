package allowances

import (
	"math"
	"math/rand/v2"
	"time"
)

const (
	step = 5 * time.Millisecond
	// latency is the time to send a message between an entry and the leader and to handle it.
	latency        = 5 * time.Millisecond
	window         = 8 * time.Second
	toleratedShare = 0.1   // tolerated excess in a window, as a share of what the limit admits
	toleratedUnits = 17000 // and in addition, in units
	length         = 34 * time.Second
)

// limit is the allowance of one customer, in units a second and units at once.
type limit struct{ rate, burst float64 }

// scenario describes the load and the faults of a run.
type scenario struct {
	name      string
	hot       int           // number of customers with six times their usual demand from 2 s to 13 s
	silent    time.Duration // time from 5 s on in which no leader answers
	partition time.Duration // time from 5 s on in which a sixth of the entries reaches no leader
	restarted bool          // at 15 s all processes restart and lose their state
	limitCut  bool          // at 10 s the largest limit is cut to a tenth
	doubled   bool          // at 10 s the number of entries doubles, and callers spread over them
}

func scenarios() []scenario {
	return []scenario{
		{name: "calm"},
		{name: "hot", hot: 3},
		{name: "hot, leader silent 3 s", hot: 3, silent: 3 * time.Second},
		{name: "hot, a sixth cut 10 s", hot: 3, partition: 10 * time.Second},
		{name: "hot, all killed", hot: 3, restarted: true},
		{name: "limit to a tenth", limitCut: true},
		{name: "hot, entries double", hot: 3, doubled: true},
	}
}

// caller sends requests of one customer through one entry.
type caller struct {
	customer, entry int
	perSecond       float64
}

// simulation is the load and state of one run. The initial limits and callers depend on the seed
// alone; later draws share the random source with the method under test.
type simulation struct {
	r       *rand.Rand
	now     time.Time
	begin   time.Time
	sc      scenario
	entries int
	limits  []limit
	callers []caller
	pending []message
}

type message struct {
	at time.Time
	do func()
}

const (
	customers    = 16
	callerCount  = 276
	requestsRate = 260.0 // a second, over all callers
	meanCost     = 900.0
	headroom     = 1.8
	minRate      = 4200.0
)

func newSimulation(sc scenario, entries int, seed uint64) *simulation {
	w := &simulation{r: rand.New(rand.NewPCG(seed, 7)), begin: time.Unix(1000, 0), sc: sc, entries: entries}
	w.now = w.begin
	total := 0.0
	for c := range customers {
		total += 1 / float64(c+1)
	}
	for c := range customers {
		share := 1 / float64(c+1) / total
		rate := max(share*requestsRate*meanCost*headroom, minRate)
		w.limits = append(w.limits, limit{rate, rate})
		n := max(1, int(share*callerCount))
		for range n {
			w.callers = append(w.callers, caller{c, w.r.IntN(entries), share * requestsRate / float64(n)})
		}
	}
	return w
}

func (w *simulation) elapsed() time.Duration { return w.now.Sub(w.begin) }

func (w *simulation) during(from, d time.Duration) bool {
	return w.elapsed() >= from && w.elapsed() < from+d
}

// reachesLeader reports whether an entry and a leader can exchange messages now.
func (w *simulation) reachesLeader(entry int) bool {
	if w.during(5*time.Second, w.sc.silent) {
		return false
	}
	return entry%6 != 0 || !w.during(5*time.Second, w.sc.partition)
}

// afterLatency runs f after the latency of a message.
func (w *simulation) afterLatency(f func()) {
	w.pending = append(w.pending, message{w.now.Add(latency), f})
}

func (w *simulation) deliver() {
	due := w.pending
	w.pending = nil
	for _, m := range due {
		if m.at.After(w.now) {
			w.pending = append(w.pending, m)
			continue
		}
		m.do()
	}
}

// arrivals calls ask for each request of the current step.
func (w *simulation) arrivals(ask func(entry, customer int, cost float64)) {
	wave := 1 + 0.27*math.Sin(2*math.Pi*w.elapsed().Seconds()/11)
	for _, c := range w.callers {
		rate := c.perSecond * wave * step.Seconds()
		if c.customer >= 1 && c.customer <= w.sc.hot && w.during(2*time.Second, 11*time.Second) {
			rate *= 6
		}
		for range int(rate + w.r.Float64()) {
			ask(c.entry, c.customer, w.cost())
		}
	}
}

// cost draws the units of a request: four in ten have the default cost, the others are
// spread widely.
func (w *simulation) cost() float64 {
	if w.r.Float64() < 0.4 {
		return 200
	}
	return min(1370*math.Exp(0.6*w.r.NormFloat64()-0.18), 6000)
}

// applyScenario applies the changes that the scenario schedules for the current time.
func (w *simulation) applyScenario(x method) {
	at := func(s int) bool { return w.elapsed() == time.Duration(s)*time.Second }
	switch {
	case w.sc.restarted && at(15):
		w.pending = nil
		x.restart()
	case w.sc.limitCut && at(10):
		w.limits[0].rate, w.limits[0].burst = w.limits[0].rate/10, w.limits[0].burst/10
		x.applyLimits()
	case w.sc.doubled && at(10):
		w.entries *= 2
		for i := range w.callers {
			w.callers[i].entry = w.r.IntN(w.entries)
		}
		x.addEntries()
	}
}
