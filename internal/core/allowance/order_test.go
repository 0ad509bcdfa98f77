package allowance

import (
	"fmt"
	"maps"
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/cassiapass/cassiapass/internal/core/customer"
	"github.com/cassiapass/cassiapass/internal/core/ident"
	"github.com/cassiapass/cassiapass/internal/core/urgency"
)

// kind is a kind of requests that the callers of a customer send.
type kind struct {
	level     urgency.Level
	objective time.Duration
	limit     time.Duration
	perSecond float64 // of a customer as usual
	cost      float64
	spread    bool // costs are spread from about a quarter to four times that
}

// drawCost draws the cost of a request.
func (k kind) drawCost(r *rand.Rand) float64 {
	if !k.spread {
		return k.cost
	}
	return k.cost * min(math.Exp(0.8*r.NormFloat64()-0.32), 6)
}

var (
	alert  = kind{0, 500 * time.Millisecond, 12 * time.Second, 6.5, 1100, false}
	note   = kind{1, 600 * time.Millisecond, 3 * time.Second, 1.5, 2400, false}
	digest = kind{2, 4 * time.Second, 20 * time.Second, 1.5, 1100, false}
	kinds  = []kind{alert, note, digest}
)

// got counts what callers of one kind and customer got. Admitted requests count as answered at once.
type got struct{ asked, inTime, late, lost, refusals int }

func (g got) served() float64 { return float64(g.inTime) / float64(g.asked) }

// callers plays callers that send a request, and once more after the time that they are told if it
// is refused, at several entries that a leader serves.
type callers struct {
	r       *rand.Rand
	ms      int
	leader  *Allocator
	limit   customer.Allowance
	entries []*modelEntry
	old     int // so many entries are of a release that knows one chance only
	kinds   []kind
	hot     map[ident.Customer]float64 // times the usual
	// override holds the levels of customers that have one of their own.
	override map[ident.Customer]urgency.Level
	cut      func(entry, ms int) bool // the entry reaches no leader
	comers   map[int][]comer          // by the ms at which they come back
	got      map[ident.Customer]map[urgency.Level]*got
	used     map[ident.Customer]float64
}

// comer is a caller that comes back.
type comer struct {
	customer ident.Customer
	kind     kind
	cost     float64
	first    int // ms of its first try
}

const (
	modelCustomers = 16
	modelEntries   = 6
	// modelRoom is a customer's rate in units a second, relative to what it usually asks for.
	modelRoom = 2
)

func usual(kinds []kind) (units float64) {
	for _, k := range kinds {
		units += k.perSecond * k.cost
	}
	return units
}

func newCallers(seed uint64, kinds []kind) *callers {
	rate := modelRoom * usual(kinds)
	w := &callers{r: rand.New(rand.NewPCG(seed, 2)), limit: limitOf(rate, rate), kinds: kinds, hot: map[ident.Customer]float64{}, override: map[ident.Customer]urgency.Level{}, comers: map[int][]comer{},
		cut: func(int, int) bool { return false }, got: map[ident.Customer]map[urgency.Level]*got{}, used: map[ident.Customer]float64{}}
	w.lead(-3600_000)
	for i := range modelEntries {
		w.entries = append(w.entries, &modelEntry{name: fmt.Sprint("e", i), client: NewClient(w.r.Float64)})
	}
	return w
}

func (w *callers) lead(ms int) {
	w.leader = NewAllocator(Tolerance{})
	var limits []Limit
	for i := range modelCustomers {
		limits = append(limits, Limit{name(i), w.limit.Rate, w.limit.Burst})
	}
	w.leader.SetLimits(at(ms), limits)
}

func name(i int) ident.Customer { return ident.Customer(fmt.Sprint("c", i)) }

// play plays a span of time.
func (w *callers) play(d time.Duration) {
	for end := w.ms + int(d.Milliseconds()); w.ms < end; w.ms++ {
		for i := range modelCustomers {
			for _, k := range w.kinds {
				if w.r.Float64() < k.perSecond*max(w.hot[name(i)], 1)/1000 {
					w.send(comer{name(i), k, k.drawCost(w.r), w.ms})
				}
			}
		}
		for _, c := range w.comers[w.ms] {
			w.send(c)
		}
		delete(w.comers, w.ms)
		for i, e := range w.entries {
			if (w.ms+33*i)%int(ReportInterval.Milliseconds()) != 0 {
				continue
			}
			if w.cut(i, w.ms) {
				report(at(w.ms), nil, e.name, e.client)
			} else {
				report(at(w.ms), w.leader, e.name, e.client)
			}
		}
	}
}

func (w *callers) send(c comer) {
	i := w.r.IntN(len(w.entries))
	if l, has := w.override[c.customer]; has {
		c.kind.level = l
	}
	left := c.kind.limit - at(w.ms).Sub(at(c.first))
	q := Ask{Cost: c.cost, Ordered: i >= w.old, Level: c.kind.level, Timing: urgency.Timing{Limit: c.kind.limit, Objective: c.kind.objective, Left: left}}
	d := w.entries[i].client.Decide(at(w.ms), c.customer, w.limit, q)
	g := w.of(c.customer, c.kind.level)
	if c.first == w.ms {
		g.asked++
	}
	back := w.ms + max(int(d.RetryAfter.Milliseconds()), 1)
	switch {
	case d.Admitted && w.ms-c.first < int(c.kind.objective.Milliseconds()):
		g.inTime++
	case d.Admitted:
		g.late++
	case c.first < w.ms || back-c.first >= int(c.kind.limit.Milliseconds()):
		g.lost++
	default:
		w.comers[back] = append(w.comers[back], c)
	}
	if d.Admitted {
		w.used[c.customer] += c.cost
	} else {
		g.refusals++
	}
}

func (w *callers) of(c ident.Customer, l urgency.Level) *got {
	if w.got[c] == nil {
		w.got[c] = map[urgency.Level]*got{}
	}
	if w.got[c][l] == nil {
		w.got[c][l] = &got{}
	}
	return w.got[c][l]
}

// sum returns what the callers of customers got, by level.
func (w *callers) sum(customers ...int) map[urgency.Level]got {
	out := map[urgency.Level]got{}
	for _, i := range customers {
		for l, g := range w.got[name(i)] {
			s := out[l]
			out[l] = got{s.asked + g.asked, s.inTime + g.inTime, s.late + g.late, s.lost + g.lost, s.refusals + g.refusals}
		}
	}
	return out
}

// others returns the customers that send as usual.
func others() (out []int) {
	for i := 2; i < modelCustomers; i++ {
		out = append(out, i)
	}
	return out
}

// clear forgets what callers have got so far.
func (w *callers) clear() {
	w.got, w.used = map[ident.Customer]map[urgency.Level]*got{}, map[ident.Customer]float64{}
}

// hotPlay plays two hot customers of sixteen for some seconds after a usual start.
func hotPlay(w *callers, times float64, d time.Duration) {
	w.play(3 * time.Second)
	w.clear()
	w.hot[name(0)], w.hot[name(1)] = times, times
	w.play(d)
	w.hot = map[ident.Customer]float64{}
	used := maps.Clone(w.used)
	w.play(digest.limit) // all have come back
	w.used = used
}

// bound is what a hot customer may use in a play: rate and burst, and what comes between two reports.
func (w *callers) bound(times float64, d time.Duration) float64 {
	return w.limit.Rate*d.Seconds() + w.limit.Burst + times*usual(w.kinds)*(ReportInterval+250*time.Millisecond).Seconds()
}

const hotTime = 11 * time.Second

// Guards against urgent requests of a customer that are refused like those that have the time to come
// back: two customers of sixteen ask for three times what they may use, in three levels.
func TestUrgentRequestsOfHotCustomersGoFirst(t *testing.T) {
	is := is.New(t)
	plain, ordered := newCallers(1, kinds), newCallers(1, kinds)
	plain.old = modelEntries
	hotPlay(plain, 6, hotTime)
	hotPlay(ordered, 6, hotTime)
	before, now := plain.sum(0, 1), ordered.sum(0, 1)
	is.True(now[0].served() > before[0].served()+0.15)
	is.True(now[0].refusals < before[0].refusals*3/4) // what comes back late takes nothing from fresh ones
	is.True(now[2].lost <= before[2].lost)            // the least urgent come back while they have the time
	is.True(now[0].lost+now[1].lost+now[2].lost < before[0].lost+before[1].lost+before[2].lost)
	for _, i := range []int{0, 1} {
		is.True(ordered.used[name(i)] <= ordered.bound(6, hotTime))
		is.True(ordered.used[name(i)] >= 0.95*plain.used[name(i)])
	}
	for _, g := range ordered.sum(others()...) {
		is.True(g.refusals*200 < g.asked)
	}
}

// Guards against an order that follows anything but the configured priorities.
func TestExchangedPrioritiesExchangeTheOrder(t *testing.T) {
	is := is.New(t)
	a, d := alert, digest
	a.level, d.level = 2, 0
	as, exchanged := newCallers(2, kinds), newCallers(2, []kind{a, note, d})
	hotPlay(as, 6, hotTime)
	hotPlay(exchanged, 6, hotTime)
	is.True(exchanged.sum(0, 1)[0].served() > 0.9) // the digests are a seventh of the units
	is.True(exchanged.sum(0, 1)[2].served() < as.sum(0, 1)[0].served())
}

// Guards against a customer with a priority of its own that takes from other customers.
func TestUrgentCustomerTakesFromItselfOnly(t *testing.T) {
	is := is.New(t)
	w := newCallers(3, kinds)
	w.override[name(0)] = 0
	w.play(3 * time.Second)
	w.hot[name(0)] = 20 // ten times what it may use
	w.play(hotTime)
	is.True(w.sum(0)[0].served() < 0.2)
	is.Equal(len(w.sum(0)), 1) // all its requests have its level
	for _, g := range w.sum(append(others(), 1)...) {
		is.True(g.refusals*200 < g.asked)
	}
}

// Guards against the order that is lost while the leader is silent, and after a new one starts.
func TestOrderHoldsWhileTheLeaderIsLost(t *testing.T) {
	is := is.New(t)
	plain, ordered := newCallers(4, kinds), newCallers(4, kinds)
	plain.old = modelEntries
	for _, w := range []*callers{plain, ordered} {
		w.play(3 * time.Second)
		w.hot[name(0)], w.hot[name(1)] = 6, 6
		w.play(3 * time.Second)
		w.cut = func(int, int) bool { return true }
		w.clear()
		w.play(3 * time.Second)
		w.lead(w.ms)
		w.cut = func(int, int) bool { return false }
	}
	now, before := ordered.sum(0, 1), plain.sum(0, 1)
	is.True(now[0].served() > before[0].served()+0.1)
	is.True(now[0].served() > now[2].served())
	is.True(ordered.used[name(0)] <= 1.05*plain.bound(0, 3*time.Second))
	ordered.clear()
	ordered.play(3 * time.Second)
	is.True(ordered.sum(0, 1)[0].served() > 2*ordered.sum(0, 1)[1].served())
}

// Guards against an entry that is cut off from the leader for 10 s and spends more, or in another
// order, than the others.
func TestOrderHoldsWhileAnEntryIsCutOff(t *testing.T) {
	is := is.New(t)
	plain, ordered := newCallers(5, kinds), newCallers(5, kinds)
	plain.old = modelEntries
	for _, w := range []*callers{plain, ordered} {
		w.cut = func(entry, ms int) bool { return entry == 0 && ms > 4000 && ms < 14000 }
		hotPlay(w, 6, hotTime)
	}
	is.True(ordered.sum(0, 1)[0].served() > plain.sum(0, 1)[0].served()+0.1)
	is.True(ordered.used[name(0)] <= ordered.bound(6, hotTime))
}

// Guards against an entry of an earlier release, which knows one chance only, beside new ones: the sum
// must hold, and the customer's requests there must not be crowded out.
func TestEntriesWithOneChanceBesideOrderedOnes(t *testing.T) {
	is := is.New(t)
	plain, mixed := newCallers(6, kinds), newCallers(6, kinds)
	plain.old, mixed.old = modelEntries, modelEntries/2
	hotPlay(plain, 6, hotTime)
	hotPlay(mixed, 6, hotTime)
	is.True(mixed.sum(0, 1)[0].served() > plain.sum(0, 1)[0].served()+0.05)
	for _, i := range []int{0, 1} {
		is.True(mixed.used[name(i)] <= mixed.bound(6, hotTime))
		is.True(mixed.used[name(i)] >= 0.95*plain.used[name(i)])
	}
}

// Guards against a leader of an earlier release, which tells one chance only: its entries still put
// urgent requests first within it.
func TestOrderFromOneChance(t *testing.T) {
	is := is.New(t)
	c, lim := newClient(1), limitOf(1000, 1000)
	ask := func(l urgency.Level) Ask {
		return Ask{Cost: 10, Ordered: true, Level: l, Timing: urgency.Timing{Limit: alert.limit, Objective: alert.objective}}
	}
	admitted := map[urgency.Level]int{}
	for ms := range 4000 {
		for _, l := range []urgency.Level{0, 2} {
			if c.Decide(at(ms), "a", lim, ask(l)).Admitted && ms >= 1000 {
				admitted[l]++
			}
		}
		if ms%200 == 0 {
			c.Report(at(ms))
			c.Answered(at(ms), []Share{{Customer: "a", Chance: 0.5}})
		}
	}
	is.True(admitted[0] > 2700 && admitted[2] < 300)
	is.True(admitted[0]+admitted[2] < 3200) // half of 6,000
}

// Guards against a level that gets nothing while a more urgent one asks for all there is.
func TestEachLevelHasAFloor(t *testing.T) {
	is := is.New(t)
	out := nest(100, []float64{1000, 0, 50, 50})
	is.True(out[0] < 0.1 && out[1] == out[2] && out[2] == out[3]) // also a rank that nobody asks for now
	is.True(math.Abs(out[2]-floorShare*100/1100) < 1e-9)
	is.True(math.Abs(1000*out[0]+50*out[2]+50*out[3]-100) < 1e-9)
	is.Equal(nest(0, []float64{10, 10}), []float64{0, 0})
	is.Equal(nest(20, []float64{10, 10}), []float64{1, 1})
	is.Equal(nest(5, []float64{0, 10})[1], 0.5)
	is.Equal(len(nest(5, nil)), 0)
}

// Guards against a change for customers with one kind of requests.
func TestCustomerWithOneKindIsServedAsBefore(t *testing.T) {
	is := is.New(t)
	run := func(ordered bool) (admitted []bool) {
		l, lim, c := settled(1000, 500), limitOf(1000, 500), newClient(1)
		for ms := range 5000 {
			d := c.Decide(at(ms), "a", lim, Ask{Cost: 3, Ordered: ordered, Level: 1, Timing: urgency.Timing{Limit: note.limit, Objective: note.objective}})
			admitted = append(admitted, d.Admitted)
			if ms%200 == 0 {
				report(at(ms), l, "e1", c)
			}
		}
		return admitted
	}
	count := func(all []bool) (n int) {
		for _, a := range all {
			if a {
				n++
			}
		}
		return n
	}
	c := newClient(1)
	c.Decide(at(0), "a", limitOf(1, 1), Ask{Cost: 1, Level: 1})
	is.Equal(len(c.Report(at(0))[0].Ranks), 0) // the leader then tells one chance only
	before, now := count(run(false)), count(run(true))
	is.True(math.Abs(float64(now-before)) < 0.03*float64(before))
}

// Guards against times to come back within which there is no room, that an objective or a limit does
// not bear, and that are shorter for less urgent requests.
func TestTimeToComeBack(t *testing.T) {
	is := is.New(t)
	told := func(k kind, left, wait, lateWait time.Duration, draw float64) time.Duration {
		shares := []RankShare{{Rank{Class: urgency.Urgency{Level: k.level}.Class()}, 0.1, wait}, {Rank{Class: urgency.Urgency{Level: k.level, Late: true}.Class()}, 0.1, lateWait}}
		q := Ask{Cost: 1, Ordered: true, Level: k.level, Timing: urgency.Timing{Limit: k.limit, Objective: k.objective, Left: left}}
		return comeBack(q, shares, shareOf(shares, q.rank()), draw)
	}
	const ms = time.Millisecond
	is.Equal(told(alert, alert.limit, 200*ms, 3000*ms, 0), 200*ms)    // room is foreseen in time
	is.Equal(told(alert, alert.limit, 200*ms, 3000*ms, 1), 400*ms)    // and the objective bears it
	is.Equal(told(alert, alert.limit, 450*ms, 3000*ms, 0), 3000*ms)   // it will be late: once late ones have room
	is.Equal(told(alert, alert.limit, 450*ms, 3000*ms, 0.5), 4500*ms) // spread
	is.Equal(told(digest, digest.limit, 3000*ms, 4000*ms, 0), 3000*ms)
	is.Equal(told(digest, digest.limit, 5000*ms, 5000*ms, 1), 10000*ms)
	is.Equal(told(note, note.limit, 5000*ms, 5000*ms, 1), 2000*ms) // it leaves time for the answer
	is.True(told(note, 500*ms, 5000*ms, 5000*ms, 0.5) < 500*ms)
}

// Guards against schedules of joins, partitions, kills, lost answers, new leaders and entries of an
// earlier release in which the ranks together spend more than one chance for all would, or lose
// units.
func TestRandomSchedulesOfRanksKeepToTheAllowance(t *testing.T) {
	const runs, shards, steps = 4000, 8, 600
	for shard := range uint64(shards) {
		t.Run(fmt.Sprint(shard), func(t *testing.T) {
			t.Parallel()
			for seed := shard; seed < runs; seed += shards {
				m := newModel(seed)
				old := m.r.IntN(3) == 0
				m.ask = func(e *modelEntry, cost float64) Ask {
					k := kinds[m.r.IntN(len(kinds))]
					return Ask{Cost: cost, Ordered: !old || e != m.entries[0], Level: k.level, Timing: urgency.Timing{Limit: k.limit, Objective: k.objective, Left: k.limit - time.Duration(m.r.IntN(2))*time.Second}}
				}
				m.run(steps)
				m.check(t, seed, time.Second)
				m.check(t, seed, 2*time.Second)
				m.checkRecovery(t, seed)
			}
		})
	}
}

// Guards against a few large requests that use what many small ones of the same urgency could have used.
func TestOfEquallyUrgentRequestsThoseThatUseLeastGoFirst(t *testing.T) {
	is := is.New(t)
	spread := alert
	spread.spread = true
	plain, ordered := newCallers(7, []kind{spread}), newCallers(7, []kind{spread})
	plain.old = modelEntries
	hotPlay(plain, 6, hotTime)
	hotPlay(ordered, 6, hotTime)
	is.True(ordered.sum(0, 1)[0].served() > plain.sum(0, 1)[0].served()+0.15)
	is.True(ordered.used[name(0)] <= ordered.bound(6, hotTime))
	is.True(ordered.used[name(0)] >= 0.9*plain.used[name(0)])
	c, large := newClient(1), 0
	c.Decide(at(0), "a", limitOf(1000, 1000), Ask{Cost: 4000, Ordered: true, Timing: urgency.Timing{Limit: alert.limit}})
	c.Report(at(0))
	c.Answered(at(0), []Share{{Customer: "a", Chance: 0.5, Ranks: []RankShare{{Rank{Size: 12}, floorShare / 2, time.Second}}}})
	for range 1000 { // they have a floor, too
		if c.Decide(at(1), "a", limitOf(1000, 1000), Ask{Cost: 4097, Ordered: true, Timing: urgency.Timing{Limit: alert.limit}}).Admitted {
			large++
		}
	}
	is.True(large > 20 && large < 100)
}

// Guards against callers that are sent away for long though their rank has room once a debt is paid, and
// against callers that are told a time at which they are refused again.
func TestWaitForRoom(t *testing.T) {
	is := is.New(t)
	d := &rankDemand{}
	b := &bucket{fill: 100, level: -50}
	is.Equal(d.waitFor(at(0), 1, 300, b), time.Duration(0))
	is.Equal(d.waitFor(at(0), 0, 80, b), 500*time.Millisecond+2*ReportInterval) // its demand fits the rate
	b.level = 0
	is.Equal(d.waitFor(at(0), 0.8, 300, b), ReportInterval*10/8)
	is.Equal(d.waitFor(at(0), 0.1, 300, b), shortestExcess)
	is.Equal(d.waitFor(at(5000), 0.1, 300, b), 5*time.Second) // as long as it has lasted
	is.Equal(d.waitFor(at(50000), 0.1, 300, b), longestExcess)
	is.Equal(d.waitFor(at(50000), 0.9, 300, b), ReportInterval*10/9)
	is.Equal(d.waitFor(at(50001), 0.1, 300, b), shortestExcess) // a new excess
}

// Guards against an order that puts a late repeat before fresh requests, or a fresh one before a repeat
// that can still be in time.
func TestOrderOfRanks(t *testing.T) {
	is := is.New(t)
	rank := func(k kind, age time.Duration, cost float64) Rank {
		const earliest = 0.8 // share of its limit with which a first try may come
		left := time.Duration(earliest*float64(k.limit)) - age
		return rankOf(k.level, urgency.Timing{Limit: k.limit, Objective: k.objective, Left: left}, cost)
	}
	patient := kind{level: alert.level, limit: 4 * time.Second, objective: 2 * time.Second}
	inOrder := []Rank{
		rank(patient, 300*time.Millisecond, 4000), // comes back, in time whenever its first try was
		rank(patient, 20*time.Millisecond, 100),   // the first try, delayed
		rank(alert, 300*time.Millisecond, 1000),   // may have come seconds ago, or for the first time
		rank(alert, 0, 4000),
		rank(digest, 0, 0),
		rank(digest, 0, 1000),
		rank(digest, 3*time.Second, 4000),
		rank(alert, time.Second, 100), // late
		rank(alert, 5*time.Second, 1000),
		rank(digest, 5*time.Second, 100),
	}
	for i := range inOrder[1:] {
		is.True(inOrder[i].compare(inOrder[i+1]) < 0) // i
	}
}

// Guards against an operator who cannot see which of a customer's requests are refused.
func TestStatusTellsWhatEachUrgencyGets(t *testing.T) {
	is := is.New(t)
	w := newCallers(8, kinds)
	w.hot[name(0)] = 6
	w.play(4 * time.Second)
	for _, s := range w.leader.Status(at(w.ms)) {
		if s.Customer != name(0) {
			continue
		}
		sum, admitted := 0.0, 0.0
		for i, u := range s.Urgencies {
			sum, admitted = sum+u.Demand, admitted+u.Demand*u.Chance
			is.True(i == 0 || u.Chance <= s.Urgencies[i-1].Chance+1e-9)
		}
		is.Equal(s.Urgencies[0].Level, urgency.Level(0))
		is.True(math.Abs(sum-s.Demand) < 1e-6*s.Demand)
		is.True(math.Abs(admitted-s.Chance*s.Demand) < 1e-6*s.Demand)
	}
}

// Guards against ranks that are forgotten with a report that was lost, and against an order that is
// forgotten with the answer to a report of refunds alone.
func TestLostAndEmptyReportsKeepTheOrder(t *testing.T) {
	is := is.New(t)
	c, lim := newClient(1), limitOf(1000, 1000)
	q := Ask{Cost: 10, Ordered: true, Level: 2, Timing: urgency.Timing{Limit: digest.limit, Objective: digest.objective}}
	c.Decide(at(0), "a", lim, q)
	first := c.Report(at(0))[0].Ranks
	c.Unanswered(at(1))
	is.Equal(c.Report(at(2))[0].Ranks, first)
	c.Answered(at(3), []Share{{Customer: "a", Chance: 0.5, Ranks: []RankShare{{q.rank(), 0, time.Second}}}})
	c.Refund("a", 10)
	is.Equal(len(c.Report(at(4))[0].Ranks), 0)
	c.Answered(at(5), []Share{{Customer: "a", Chance: 0.5}})
	is.True(!c.Decide(at(6), "a", lim, q).Admitted)
}
