package bound

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"
)

// residence is an interval in which an engine holds a model ready.
type residence struct{ from, to time.Duration }

// engine is an engine of a schedule.
type engine struct {
	now   time.Duration // end of its newest load
	free  int64
	holds map[int]time.Duration // model to the end of its load
}

// schedule draws a schedule of loads and unloads that respects every constraint, with all
// demand known in advance, and returns what it earns.
func schedule(p Problem, r *rand.Rand) float64 {
	residences := make([][]residence, len(p.Models))
	loadedAt := map[int]time.Duration{}   // model to the end of its first load
	unloadedAt := map[int]time.Duration{} // model to its last unload
	var engines []*engine
	for range p.Engines {
		engines = append(engines, &engine{now: p.Begin, free: p.Megabytes, holds: map[int]time.Duration{}})
	}
	for i, m := range p.Models {
		if e := engines[i%p.Engines]; m.Held {
			e.holds[i] = p.Begin
			e.free -= m.Megabytes
		}
	}
	for {
		e := slices.MinFunc(engines, func(a, b *engine) int { return int(a.now - b.now) })
		if e.now >= p.End {
			break
		}
		i := pickModel(p, e.now, r)
		if _, has := e.holds[i]; has || p.OnDemand && !requestWaits(p.Models[i], e.now, unloadedAt[i], engines, i) {
			e.now += time.Duration(1 + r.Int64N(int64(300*time.Millisecond)))
			continue
		}
		for j, since := range e.holds {
			if e.free >= p.Models[i].Megabytes {
				break
			}
			residences[j] = append(residences[j], residence{since, e.now})
			delete(e.holds, j)
			unloadedAt[j] = e.now
			e.free += p.Models[j].Megabytes
			e.now += p.Unload
		}
		loadTime := p.Models[i].FirstLoad
		if at, known := loadedAt[i]; known && at <= e.now {
			loadTime = p.Models[i].Reload
		}
		e.now += max(loadTime, time.Millisecond)
		if at, known := loadedAt[i]; !known || e.now < at {
			loadedAt[i] = e.now
		}
		e.holds[i] = e.now
		e.free -= p.Models[i].Megabytes
	}
	for _, e := range engines {
		for i, since := range e.holds {
			residences[i] = append(residences[i], residence{since, p.End})
		}
	}
	return earned(p, residences)
}

// requestWaits reports whether a request for model i that arrived since its last unload waits
// for it.
func requestWaits(m Model, now, unloadedAt time.Duration, engines []*engine, i int) bool {
	for _, e := range engines {
		if _, has := e.holds[i]; has {
			return false
		}
	}
	return slices.ContainsFunc(m.Requests, func(q Request) bool { return q.From >= unloadedAt && q.From <= now && q.Late >= now })
}

// pickModel draws one of the models that are requested next.
func pickModel(p Problem, now time.Duration, r *rand.Rand) int {
	best, bestValue := r.IntN(len(p.Models)), 0.0
	for i, m := range p.Models {
		sum := 0.0
		for _, q := range m.Requests {
			if q.From < now+2*time.Second && q.Late > now+m.Reload {
				sum += q.Value * r.Float64()
			}
		}
		if sum > bestValue {
			best, bestValue = i, sum
		}
	}
	return best
}

func earned(p Problem, residences [][]residence) float64 {
	sum := 0.0
	for i, m := range p.Models {
		for _, q := range m.Requests {
			held := func(until time.Duration) bool {
				return slices.ContainsFunc(residences[i], func(s residence) bool {
					return s.from <= until && s.to > q.From && s.from < p.End && s.to >= max(s.from, q.From)+q.Runs
				})
			}
			switch {
			case q.InTime >= q.From && held(q.InTime):
				sum += q.Value
			case q.Late >= q.From && held(q.Late):
				sum += q.LateValue
			}
		}
	}
	return sum
}

// randomProblem returns a random problem with more demand than its engines can serve.
func randomProblem(r *rand.Rand) Problem {
	p := Problem{Engines: 1 + r.IntN(3), Megabytes: 100, End: 20 * time.Second, OnDemand: r.IntN(3) == 0, Unload: time.Duration(r.IntN(3)) * 100 * time.Millisecond}
	for i := range 4 + r.IntN(12) {
		m := Model{Name: fmt.Sprint(i), Megabytes: 10 + r.Int64N(80), Reload: time.Duration(r.IntN(700)) * time.Millisecond}
		m.FirstLoad = m.Reload + time.Duration(r.IntN(2000))*time.Millisecond
		m.Held = i < p.Engines
		for range r.IntN(8) {
			q := Request{From: time.Duration(r.IntN(10000)) * time.Millisecond, Value: 1 + r.Float64()*9}
			q.InTime = q.From + time.Duration(r.IntN(2500)-200)*time.Millisecond
			q.Late = q.InTime + time.Duration(r.IntN(4000))*time.Millisecond
			q.Runs = time.Duration(r.IntN(2)*r.IntN(1500)) * time.Millisecond
			q.LateValue = q.Value * r.Float64()
			m.Requests = append(m.Requests, q)
		}
		p.Models = append(p.Models, m)
	}
	return p
}

// Guards against a bound below what can be earned, with which a policy would seem to leave
// nothing to gain or to earn more than is possible. On each random problem, the test draws
// schedules that respect every constraint and know the demand.
func TestNoScheduleEarnsMoreThanTheBound(t *testing.T) {
	tightest := 0.0
	for seed := range uint64(30) {
		r := rand.New(rand.NewPCG(seed, 9))
		p := randomProblem(r)
		best := 0.0
		for range 30 {
			best = max(best, schedule(p, r))
		}
		for _, s := range []Settings{{Window: 250 * time.Millisecond, Span: time.Second, Rounds: 40}, {Window: 100 * time.Millisecond, Span: 300 * time.Millisecond, Rounds: 10}} {
			res, err := Solve(p, best, s)
			if err != nil {
				t.Fatal(err)
			}
			if best > res.Bound+1e-9 || res.Bound > res.Total+1e-9 {
				t.Fatalf("seed %d, %+v: %.6f earned, at most %.6f of %.6f", seed, s, best, res.Bound, res.Total)
			}
			tightest = max(tightest, best/res.Bound)
		}
	}
	t.Logf("a schedule came within %.3f of its bound", tightest)
}

// Models that fit into an engine together must do so by each measure; otherwise the bound
// would exclude sets of models that an engine can hold.
func TestWhatFitsAnEngineFitsByEachMeasure(t *testing.T) {
	r := rand.New(rand.NewPCG(1, 9))
	const capacity = 840 // has many divisors, so that (k+1)x is often an integer
	for range 20000 {
		var sums [measures]float64
		maxSize := 1 + r.Int64N(capacity)
		for left := int64(capacity); left > 0; {
			size := min(left, 1+r.Int64N(maxSize))
			left -= size
			for k := range measures {
				sums[k] += measure(k, size, capacity)
			}
		}
		for k, sum := range sums {
			if sum > 1+1e-9 {
				t.Fatalf("measure %d: %v", k, sum)
			}
		}
	}
}

// steadyRequests returns one request for a model each 0.1 s, each of which needs it at once.
func steadyRequests(seconds int) []Request {
	var out []Request
	for i := range seconds * 10 {
		at := time.Duration(i) * 100 * time.Millisecond
		out = append(out, Request{From: at, InTime: at, Late: at, Value: 1})
	}
	return out
}

func solve(t *testing.T, p Problem) Result {
	t.Helper()
	r, err := Solve(p, 0, DefaultSettings())
	if err != nil {
		t.Fatal(err)
	}
	return r
}

func TestModelsThatFitEarnTheTotal(t *testing.T) {
	is := is.New(t)
	p := Problem{Engines: 1, Megabytes: 100, End: 20 * time.Second, Models: []Model{
		{Name: "a", Megabytes: 50, Held: true, Requests: steadyRequests(20)}, {Name: "b", Megabytes: 50, Held: true, Requests: steadyRequests(20)},
	}}
	is.Equal(solve(t, p).Bound, p.Total())
}

// By size alone, models of 0.6 of an engine fit 1.67 times into it; in fact only one fits.
func TestModelsOfMoreThanHalfAnEngineDoNotShareOne(t *testing.T) {
	is := is.New(t)
	p := Problem{Engines: 1, Megabytes: 100, End: 20 * time.Second, Unload: 200 * time.Millisecond, Models: []Model{
		{Name: "a", Megabytes: 60, FirstLoad: time.Second, Reload: time.Second, Held: true, Requests: steadyRequests(20)},
		{Name: "b", Megabytes: 60, FirstLoad: time.Second, Reload: time.Second, Requests: steadyRequests(20)},
	}}
	r := solve(t, p)
	is.True(r.Bound >= p.Total()/2)
	is.True(r.Bound < p.Total()*0.54)
	is.True(r.Memory > 0)
}

// One engine completes one load a second: of twenty models requested at 5 s, at most five
// are loaded, and one more whose load ends within the same window.
func TestEngineCarriesOutOneLoadAtATime(t *testing.T) {
	is := is.New(t)
	p := Problem{Engines: 1, Megabytes: 1000, End: 10 * time.Second}
	for i := range 20 {
		p.Models = append(p.Models, Model{Name: fmt.Sprint(i), Megabytes: 10, FirstLoad: time.Second, Reload: time.Second,
			Requests: []Request{{From: 5 * time.Second, InTime: 5 * time.Second, Late: 5 * time.Second, Value: 1}}})
	}
	r := solve(t, p)
	is.True(r.Bound >= 5)
	is.True(r.Bound < 6.1)
	is.True(r.Orders > r.Memory)
}

func TestLateLoadEarnsOnlyTheLateValue(t *testing.T) {
	is := is.New(t)
	p := Problem{Engines: 1, Megabytes: 100, End: 20 * time.Second, Models: []Model{{Name: "a", Megabytes: 50, FirstLoad: 5 * time.Second, Reload: time.Second,
		Requests: []Request{{From: time.Second, InTime: 3 * time.Second, Late: 8 * time.Second, Value: 10, LateValue: 2}, {From: 0, InTime: time.Second, Late: 2 * time.Second, Value: 10, LateValue: 2}}}}}
	is.Equal(solve(t, p).Bound, 2.0)
}

// Ten models, each requested once and all in the same second, each occupy a whole engine for
// the 5 s that the request runs: one engine serves one of them.
func TestModelStaysLoadedWhileItsRequestRuns(t *testing.T) {
	is := is.New(t)
	p := Problem{Engines: 1, Megabytes: 10, End: 8 * time.Second}
	for i := range 10 {
		p.Models = append(p.Models, Model{Name: fmt.Sprint(i), Megabytes: 10, Requests: []Request{{From: time.Second, InTime: 2 * time.Second, Late: 2 * time.Second, Runs: 5 * time.Second, Value: 1}}})
	}
	r := solve(t, p)
	is.True(r.Bound >= 1)
	is.True(r.Bound < 1.5)
}

func TestLoadsOnDemandWaitForARequest(t *testing.T) {
	is := is.New(t)
	p := Problem{Engines: 1, Megabytes: 10, End: 20 * time.Second, Models: []Model{{Name: "a", Megabytes: 10, FirstLoad: time.Second, Reload: time.Second, Requests: []Request{
		{From: 5 * time.Second, InTime: 5500 * time.Millisecond, Late: 8 * time.Second, Value: 10, LateValue: 3},
	}}}}
	is.Equal(solve(t, p).Bound, 10.0)
	p.OnDemand = true
	is.Equal(solve(t, p).Bound, 3.0)
}

func TestInvalidProblemsAreRefused(t *testing.T) {
	is := is.New(t)
	good := Problem{Engines: 1, Megabytes: 100, End: time.Second, Models: []Model{{Name: "a", Megabytes: 1, Requests: []Request{{Value: 1}}}}}
	is.NoErr(good.Check())
	for _, invalidate := range []func(*Problem){
		func(p *Problem) { p.Engines = 0 },
		func(p *Problem) { p.End = 0 },
		func(p *Problem) { p.Models[0].Megabytes = 0 },
		func(p *Problem) { p.Models[0].Reload = time.Second },
		func(p *Problem) { p.Models[0].Requests[0].LateValue = 2 },
		func(p *Problem) { p.Models[0].Requests[0].From = -time.Second },
	} {
		bad := good
		bad.Models = []Model{good.Models[0]}
		bad.Models[0].Requests = slices.Clone(good.Models[0].Requests)
		invalidate(&bad)
		_, err := Solve(bad, 0, DefaultSettings())
		is.True(errors.Is(err, ErrProblem))
	}
	_, err := Solve(good, 0, Settings{})
	is.True(errors.Is(err, ErrProblem))
}
