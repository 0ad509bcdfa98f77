package fleet

import (
	"fmt"
	"maps"
	"math"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/cassiapass/cassiapass/internal/core/ident"
)

// traffic plays requests at constant rates against a simulation. Engines that hold a model share
// its requests; each stays a second.
type traffic struct {
	*simulation
	rates     map[string]float64 // requests a second
	due       map[string]float64 // parts of requests that have not arrived yet
	without   map[string]float64 // seconds in which requests for a model found no room
	steps     int
	running   map[runs]float64
	leaving   map[EndpointID]bool
	storeTurn *simStore
}

// runs names the requests for a model at an engine.
type runs struct {
	e    *simEngine
	name string
}

// lossFleet returns a fleet of engines in three zones. The first busy models lie on many disks,
// all others on one.
func lossFleet(seed uint64, engines, models, busy int, foresight bool) *traffic {
	s := newSimulation(seed, engines, models, 0)
	t := &traffic{simulation: s, rates: map[string]float64{}, due: map[string]float64{}, without: map[string]float64{}, running: map[runs]float64{}, leaving: map[EndpointID]bool{}, storeTurn: &simStore{limit: 2}}
	for i, e := range s.byID() {
		e.ep.Zone, e.ep.Slots, e.store = ident.Zone(fmt.Sprintf("z%d", i%3)), 48, t.storeTurn
		clear(e.disk)
		for m := range busy {
			if (i+m)%5 == 0 {
				e.disk[fmt.Sprintf("m%d", m)] = true
			}
		}
	}
	all := s.byID()
	for m := busy; m < models; m++ {
		all[s.r.IntN(engines)].disk[fmt.Sprintf("m%d", m)] = true
	}
	s.p.SetForesight(foresight)
	return t
}

// play advances the time. Rates may be changed between calls.
func (t *traffic) play(d time.Duration) {
	for range int(d / simStep) {
		if t.steps%40 == 0 {
			t.list()
		}
		if t.steps%5 == 0 {
			t.report(5 * simStep)
		}
		t.steps++
		t.step()
	}
}

// serving returns the engines that hold a model, as entries see them.
func (t *traffic) serving(name string) []*simEngine { return t.servingOf(t.byID(), name) }

func (t *traffic) servingOf(all []*simEngine, name string) []*simEngine {
	var out []*simEngine
	for _, e := range all {
		if e.held[name] != nil && !t.leaving[e.ep.ID] {
			out = append(out, e)
		}
	}
	return out
}

// report reports what arrives within dt, what runs and what found no room.
func (t *traffic) report(dt time.Duration) {
	names, all := slices.Sorted(maps.Keys(t.rates)), t.byID()
	refused := map[string]float64{}
	for _, name := range names {
		es := t.servingOf(all, name)
		for _, e := range es {
			t.running[runs{e, name}] += t.rates[name] / float64(len(es)) * dt.Seconds()
		}
		if len(es) == 0 {
			refused[name] = t.rates[name] * dt.Seconds()
		}
	}
	total := map[*simEngine]float64{}
	for r := range t.running {
		t.running[r] *= 1 - dt.Seconds() // each stays a second
		if r.e.held[r.name] == nil || t.engines[r.e.ep.ID] == nil {
			delete(t.running, r)
		}
	}
	for _, name := range names {
		for _, e := range all {
			total[e] += t.running[runs{e, name}]
		}
	}
	var ds []Demand
	var us []Use
	for _, name := range names {
		for _, e := range all {
			n := t.running[runs{e, name}]
			if over := total[e] - float64(e.ep.Slots); over > 0 {
				refused[name] += over * n / total[e]
				n -= over * n / total[e]
				t.running[runs{e, name}] = n
			}
			if n > 0 {
				us = append(us, Use{Endpoint: IncarnationID(string(e.ep.ID), e.born), Want: Want{Model: name}, Running: int(math.Round(n)), Sent: 1})
			}
		}
		t.due[name] += t.rates[name] * dt.Seconds()
		d := Demand{Want: Want{Model: name}, Arrived: int(t.due[name])}
		t.due[name] -= float64(d.Arrived)
		if refused[name] > 0.1*t.rates[name]*dt.Seconds() {
			t.without[name] += dt.Seconds()
			d.Waiting, d.Earliest = int(math.Ceil(refused[name])), 2*time.Second
		}
		ds = append(ds, d)
	}
	t.p.RecordDemand(t.now, "entry", ds, us)
}

// end ends engines for good.
func (t *traffic) end(es ...*simEngine) {
	for _, e := range es {
		delete(t.engines, e.ep.ID)
	}
}

// secondsWithout returns the seconds without room since the last call, summed over models.
func (t *traffic) secondsWithout() float64 {
	sum := 0.0
	for _, s := range t.without {
		sum += s
	}
	clear(t.without)
	return sum
}

// busyTen are the rates of ten models, half of which lie on one disk each at the start.
func busyTen() map[string]float64 {
	return map[string]float64{"m0": 60, "m5": 50, "m1": 35, "m6": 25, "m2": 20, "m7": 12, "m3": 10, "m8": 8, "m4": 5, "m9": 4}
}

// lossSeeds is the number of runs of most cases.
const lossSeeds = 3

type lossCase struct {
	name  string
	seeds uint64  // runs
	limit float64 // seconds without room, summed over ten models
	play  func(t *traffic)
}

func lossCases() []lossCase {
	return []lossCase{
		{"a tenth of the engines", 2, 1, func(t *traffic) {
			es := t.byID()
			t.r.Shuffle(len(es), func(i, j int) { es[i], es[j] = es[j], es[i] })
			t.end(es[:len(es)/10]...)
		}},
		{"a zone", lossSeeds, 2, func(t *traffic) {
			for _, e := range t.byID() {
				if e.ep.Zone == "z1" {
					t.end(e)
				}
			}
		}},
		{"two holders of one model", 2, 1, func(t *traffic) {
			es := t.serving("m6")
			t.end(es[:min(2, len(es))]...)
		}},
		{"a quarter with a notice of 2 s", 6, 3, func(t *traffic) {
			es := t.byID()
			t.r.Shuffle(len(es), func(i, j int) { es[i], es[j] = es[j], es[i] })
			es = es[:len(es)/4]
			notices := map[EndpointID]Notice{}
			for _, e := range es {
				t.leaving[e.ep.ID] = true
				notices[IncarnationID(string(e.ep.ID), e.born)] = Notice{Leaving: true}
			}
			t.p.SetNotices(notices)
			t.play(2 * time.Second)
			t.end(es...)
		}},
	}
}

// TestRisingDemandGetsReplicasEarly guards against replicas that are placed only once a model's
// engines are full, as the rate is learned over seconds.
func TestRisingDemandGetsReplicasEarly(t *testing.T) {
	is := is.New(t)
	var without [2]float64
	for i, foresight := range []bool{false, true} {
		for seed := range uint64(lossSeeds) {
			p := lossFleet(seed, 30, 40, 10, foresight)
			maps.Copy(p.rates, busyTen())
			p.play(20 * time.Second)
			p.secondsWithout()
			for range 25 { // twice as much within 5 s
				for name := range p.rates {
					p.rates[name] *= math.Exp2(1.0 / 25)
				}
				p.play(200 * time.Millisecond)
			}
			// The busiest fall silent, others rise at once.
			p.rates["m0"], p.rates["m5"], p.rates["m3"], p.rates["m4"] = 0.2, 0.2, 120, 100
			p.play(5 * time.Second)
			without[i] += p.secondsWithout() / lossSeeds
			is.Equal(p.crashed(), "")
		}
	}
	t.Logf("seconds without room for ten models: %.1f without foresight, %.1f with", without[0], without[1])
	is.True(without[1] < without[0])
}

// TestLossOfEnginesIsForeseen guards against busy models that wait for the store after engines have
// ended, as nothing had prepared for that.
func TestLossOfEnginesIsForeseen(t *testing.T) {
	for _, c := range lossCases() {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			var without [2]float64
			var loads [2]int
			for i, foresight := range []bool{false, true} {
				for seed := range c.seeds {
					p := lossFleet(seed, 30, 40, 5, foresight)
					maps.Copy(p.rates, busyTen())
					p.play(60 * time.Second)
					p.secondsWithout()
					c.play(p)
					p.play(20 * time.Second)
					without[i] += p.secondsWithout() / float64(c.seeds)
					loads[i] += p.storeTurn.loads
					is.Equal(p.crashed(), "")
				}
			}
			t.Logf("seconds without room for ten models in the 20 s after the loss: %.1f without foresight, %.1f with; loads from the store %d and %d", without[0], without[1], loads[0], loads[1])
			is.True(without[1] <= c.limit) // today's figure is in the log
			is.True(without[1] <= without[0])
			is.True(loads[1] <= 2*loads[0])
		})
	}
}

// TestForesightSwitchedOffPlansAsBefore guards against a switch that leaves a part in use.
func TestForesightSwitchedOffPlansAsBefore(t *testing.T) {
	is := is.New(t)
	play := func(prepare func(p *Planner)) []string {
		s := newSimulation(3, 12, 16, 0.1)
		prepare(s.p)
		var out []string
		s.list()
		for i := range 2000 {
			if i%20 == 0 {
				s.requestRandom(6)
			}
			if i%40 == 0 {
				s.list()
			}
			s.step()
			for _, o := range s.orders {
				out = append(out, fmt.Sprint(i, o))
			}
		}
		return out
	}
	never := play(func(*Planner) {})
	is.True(len(never) > 100)
	is.Equal(never, play(func(p *Planner) { p.SetForesight(true); p.SetForesight(false) }))
}

// TestPreparationsAreBounded guards against preparations that use up the store.
func TestPreparationsAreBounded(t *testing.T) {
	is := is.New(t)
	p := lossFleet(1, 30, 40, 0, true) // every model lies on one disk
	maps.Copy(p.rates, busyTen())
	p.play(70 * time.Second)
	n := 0
	for _, d := range p.prepared {
		if d.Source == FromStore {
			n++
			is.True(d.Cost >= minForeseenCost)
		}
	}
	is.True(n > 0)
	is.True(n <= preparedStoreBurst) // within preparedStoreBurst * preparedStoreInterval
}

// TestPreparationWaitsForTheStore guards against a preparation that delays a load that requests wait
// for.
func TestPreparationWaitsForTheStore(t *testing.T) {
	is := is.New(t)
	p := lossFleet(1, 30, 40, 0, true)
	for _, e := range p.engines {
		delete(e.disk, "m39")
	}
	p.storeTurn.stalled = true
	p.rates["m39"] = 2 // it lies nowhere: its load never ends
	p.play(5 * time.Second)
	maps.Copy(p.rates, busyTen())
	p.play(30 * time.Second)
	is.True(p.storeTurn.inFlight > 0)
	for _, d := range p.prepared {
		is.True(d.Source != FromStore)
	}
}

// TestLossWhileTheStoreStalls guards against preparations that pile up before a store that ends no
// load, and against models that need it after a loss.
func TestLossWhileTheStoreStalls(t *testing.T) {
	is := is.New(t)
	var without [2]float64
	for i, foresight := range []bool{false, true} {
		p := lossFleet(2, 30, 40, 5, foresight)
		maps.Copy(p.rates, busyTen())
		p.play(60 * time.Second)
		p.storeTurn.stalled = true
		p.secondsWithout()
		lossCases()[1].play(p)
		prepared := len(p.prepared)
		p.play(20 * time.Second)
		without[i] = p.secondsWithout()
		fromStore := 0
		for _, d := range p.prepared[prepared:] {
			if d.Source == FromStore {
				fromStore++
			}
		}
		is.True(fromStore <= 1) // it does not end
		is.Equal(p.crashed(), "")
	}
	t.Logf("seconds without room: %.1f without foresight, %.1f with", without[0], without[1])
	is.True(without[1] <= without[0])
}

// TestLeaderReplacedAmongPreparations guards against a new leader that prepares again what the former
// one has ordered, or overfills an engine with it.
func TestLeaderReplacedAmongPreparations(t *testing.T) {
	is := is.New(t)
	for seed := range uint64(10) {
		p := lossFleet(seed, 18, 40, 5, true)
		maps.Copy(p.rates, busyTen())
		for range 600 { // until a preparation loads from the store
			p.play(100 * time.Millisecond)
			if n := len(p.prepared); n > 0 && p.prepared[n-1].Source == FromStore && p.storeTurn.inFlight > 0 {
				break
			}
		}
		is.True(len(p.prepared) > 0)
		last := p.prepared[len(p.prepared)-1]
		is.Equal(last.Source, FromStore)
		p.play(time.Duration(seed) * 300 * time.Millisecond) // on its way, or carried out for a while
		dep := p.p.dep
		p.p = New(DefaultConfig())
		p.p.SetDeployment(dep)
		p.p.SetForesight(true)
		p.redundantLoads, p.prepared = 0, nil
		for range 100 {
			p.play(100 * time.Millisecond)
			for _, d := range p.prepared {
				is.True(d.Want != last.Want || d.Source != FromStore) // seed
			}
			is.Equal(p.crashed(), "")
		}
		is.Equal(p.redundantLoads, 0)
	}
}

// TestPreparationsNeverOverfillAnEngine guards against preparations beside orders that get no answer and
// are carried out seconds later.
func TestPreparationsNeverOverfillAnEngine(t *testing.T) {
	is := is.New(t)
	prepared := 0
	for seed := range uint64(20) {
		p := lossFleet(seed, 6, 16, 4, true)
		p.lossRate = 0.3
		for range 15 { // demand keeps moving
			clear(p.rates)
			for range 4 {
				p.rates[fmt.Sprintf("m%d", p.r.IntN(16))] = 30 * p.r.Float64()
			}
			p.play(2 * time.Second)
			is.Equal(p.crashed(), "") // seed
		}
		prepared += len(p.prepared)
	}
	is.True(prepared > 0)
}

// TestOnlySlotOfTheStore guards against preparations of little worth before a store that serves one
// load at a time.
func TestOnlySlotOfTheStore(t *testing.T) {
	is := is.New(t)
	p := lossFleet(1, 12, 12, 12, true)
	p.play(time.Second)
	p.p.store.limit = 1
	is.True(!p.p.storeIdle(p.now, lastSlotCost-1))
	is.True(p.p.storeIdle(p.now, lastSlotCost))
	p.p.store.limit = 2
	is.True(p.p.storeIdle(p.now, minForeseenCost))
	p.p.store.inFlight = 1
	is.True(!p.p.storeIdle(p.now, lastSlotCost))
}
