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

// stay is a time in which an engine holds a model ready.
type stay struct{ from, to time.Duration }

// engine is one of a schedule's engines.
type engine struct {
	now   time.Duration // when its newest load has ended
	room  int64
	holds map[int]time.Duration // model to since when
}

// schedule lets engines load and unload in a way that respects every limit, with the
// demand known ahead, and returns what that earns.
func schedule(p Problem, r *rand.Rand) float64 {
	stays := make([][]stay, len(p.Models))
	loaded := map[int]time.Duration{} // model to when its first load had ended
	gone := map[int]time.Duration{}   // model to when it was last unloaded
	var engines []*engine
	for range p.Engines {
		engines = append(engines, &engine{now: p.Begin, room: p.Megabytes, holds: map[int]time.Duration{}})
	}
	for i, m := range p.Models {
		if e := engines[i%p.Engines]; m.Held {
			e.holds[i] = p.Begin
			e.room -= m.Megabytes
		}
	}
	for {
		e := slices.MinFunc(engines, func(a, b *engine) int { return int(a.now - b.now) })
		if e.now >= p.End {
			break
		}
		i := wanted(p, e.now, r)
		if _, has := e.holds[i]; has || p.OnDemand && !asks(p.Models[i], e.now, gone[i], engines, i) {
			e.now += time.Duration(1 + r.Int64N(int64(300*time.Millisecond)))
			continue
		}
		for j, since := range e.holds {
			if e.room >= p.Models[i].Megabytes {
				break
			}
			stays[j] = append(stays[j], stay{since, e.now})
			delete(e.holds, j)
			gone[j] = e.now
			e.room += p.Models[j].Megabytes
			e.now += p.Unload
		}
		takes := p.Models[i].First
		if at, known := loaded[i]; known && at <= e.now {
			takes = p.Models[i].Again
		}
		e.now += max(takes, time.Millisecond)
		if at, known := loaded[i]; !known || e.now < at {
			loaded[i] = e.now
		}
		e.holds[i] = e.now
		e.room -= p.Models[i].Megabytes
	}
	for _, e := range engines {
		for i, since := range e.holds {
			stays[i] = append(stays[i], stay{since, p.End})
		}
	}
	return earned(p, stays)
}

// asks reports whether a request for model i that came after it was gone waits for it.
func asks(m Model, now, gone time.Duration, engines []*engine, i int) bool {
	for _, e := range engines {
		if _, has := e.holds[i]; has {
			return false
		}
	}
	return slices.ContainsFunc(m.Requests, func(q Request) bool { return q.From >= gone && q.From <= now && q.Late >= now })
}

// wanted draws one of the models that are asked for next.
func wanted(p Problem, now time.Duration, r *rand.Rand) int {
	best, worth := r.IntN(len(p.Models)), 0.0
	for i, m := range p.Models {
		sum := 0.0
		for _, q := range m.Requests {
			if q.From < now+2*time.Second && q.Late > now+m.Again {
				sum += q.Worth * r.Float64()
			}
		}
		if sum > worth {
			best, worth = i, sum
		}
	}
	return best
}

func earned(p Problem, stays [][]stay) float64 {
	sum := 0.0
	for i, m := range p.Models {
		for _, q := range m.Requests {
			held := func(until time.Duration) bool {
				return slices.ContainsFunc(stays[i], func(s stay) bool {
					return s.from <= until && s.to > q.From && s.from < p.End && s.to >= max(s.from, q.From)+q.Runs
				})
			}
			switch {
			case q.InTime >= q.From && held(q.InTime):
				sum += q.Worth
			case q.Late >= q.From && held(q.Late):
				sum += q.Little
			}
		}
	}
	return sum
}

// drawn returns a problem with more demand than its engines can serve.
func drawn(r *rand.Rand) Problem {
	p := Problem{Engines: 1 + r.IntN(3), Megabytes: 100, End: 20 * time.Second, OnDemand: r.IntN(3) == 0, Unload: time.Duration(r.IntN(3)) * 100 * time.Millisecond}
	for i := range 4 + r.IntN(12) {
		m := Model{Name: fmt.Sprint(i), Megabytes: 10 + r.Int64N(80), Again: time.Duration(r.IntN(700)) * time.Millisecond}
		m.First = m.Again + time.Duration(r.IntN(2000))*time.Millisecond
		m.Held = i < p.Engines
		for range r.IntN(8) {
			q := Request{From: time.Duration(r.IntN(10000)) * time.Millisecond, Worth: 1 + r.Float64()*9}
			q.InTime = q.From + time.Duration(r.IntN(2500)-200)*time.Millisecond
			q.Late = q.InTime + time.Duration(r.IntN(4000))*time.Millisecond
			q.Runs = time.Duration(r.IntN(2)*r.IntN(1500)) * time.Millisecond
			q.Little = q.Worth * r.Float64()
			m.Requests = append(m.Requests, q)
		}
		p.Models = append(p.Models, m)
	}
	return p
}

// Symptom: a policy is said to leave nothing to gain, or to earn more than can be.
// Sequence: drawn problems; on each, engines that keep to every limit and know the demand.
// Cause: a bound that is below what can be earned.
func TestNoScheduleEarnsMoreThanTheBound(t *testing.T) {
	near := 0.0
	for seed := range uint64(30) {
		r := rand.New(rand.NewPCG(seed, 9))
		p := drawn(r)
		best := 0.0
		for range 30 {
			best = max(best, schedule(p, r))
		}
		for _, s := range []Settings{{Window: 250 * time.Millisecond, Span: time.Second, Rounds: 40}, {Window: 100 * time.Millisecond, Span: 300 * time.Millisecond, Rounds: 10}} {
			res, err := Solve(p, best, s)
			if err != nil {
				t.Fatal(err)
			}
			if best > res.Most+1e-9 || res.Most > res.Total+1e-9 {
				t.Fatalf("seed %d, %+v: %.6f earned, at most %.6f of %.6f", seed, s, best, res.Most, res.Total)
			}
			near = max(near, best/res.Most)
		}
	}
	t.Logf("a schedule came within %.3f of its bound", near)
}

// Models that fit an engine together must do so by each measure; otherwise the bound
// would forbid what an engine can hold.
func TestWhatFitsAnEngineFitsByEachMeasure(t *testing.T) {
	r := rand.New(rand.NewPCG(1, 9))
	const capacity = 840 // whole parts of it are frequent
	for range 20000 {
		var sums [measures]float64
		most := 1 + r.Int64N(capacity)
		for left := int64(capacity); left > 0; {
			size := min(left, 1+r.Int64N(most))
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

// often returns requests for a model each 0.1 s, each of which needs it at once.
func often(seconds int) []Request {
	var out []Request
	for i := range seconds * 10 {
		at := time.Duration(i) * 100 * time.Millisecond
		out = append(out, Request{From: at, InTime: at, Late: at, Worth: 1})
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

func TestEverythingThatFitsIsEarned(t *testing.T) {
	is := is.New(t)
	p := Problem{Engines: 1, Megabytes: 100, End: 20 * time.Second, Models: []Model{
		{Name: "a", Megabytes: 50, Held: true, Requests: often(20)}, {Name: "b", Megabytes: 50, Held: true, Requests: often(20)},
	}}
	is.Equal(solve(t, p).Most, p.Total())
}

// Two models of 0.6 of an engine fit 1.67 times into one by size, and once in truth.
func TestModelsOfMoreThanHalfAnEngineDoNotShareOne(t *testing.T) {
	is := is.New(t)
	p := Problem{Engines: 1, Megabytes: 100, End: 20 * time.Second, Unload: 200 * time.Millisecond, Models: []Model{
		{Name: "a", Megabytes: 60, First: time.Second, Again: time.Second, Held: true, Requests: often(20)},
		{Name: "b", Megabytes: 60, First: time.Second, Again: time.Second, Requests: often(20)},
	}}
	r := solve(t, p)
	is.True(r.Most >= p.Total()/2)
	is.True(r.Most < p.Total()*0.54)
	is.True(r.Memory > 0)
}

// One engine makes one load a second: of twenty models asked for after 5 s, at most five
// are there, and one that ends within the same window.
func TestLoadsComeOneAfterTheOther(t *testing.T) {
	is := is.New(t)
	p := Problem{Engines: 1, Megabytes: 1000, End: 10 * time.Second}
	for i := range 20 {
		p.Models = append(p.Models, Model{Name: fmt.Sprint(i), Megabytes: 10, First: time.Second, Again: time.Second,
			Requests: []Request{{From: 5 * time.Second, InTime: 5 * time.Second, Late: 5 * time.Second, Worth: 1}}})
	}
	r := solve(t, p)
	is.True(r.Most >= 5)
	is.True(r.Most < 6.1)
	is.True(r.Orders > r.Memory)
}

func TestWhatCannotBeLoadedInTimeEarnsOnlyLittle(t *testing.T) {
	is := is.New(t)
	p := Problem{Engines: 1, Megabytes: 100, End: 20 * time.Second, Models: []Model{{Name: "a", Megabytes: 50, First: 5 * time.Second, Again: time.Second,
		Requests: []Request{{From: time.Second, InTime: 3 * time.Second, Late: 8 * time.Second, Worth: 10, Little: 2}, {From: 0, InTime: time.Second, Late: 2 * time.Second, Worth: 10, Little: 2}}}}}
	is.Equal(solve(t, p).Most, 2.0)
}

// Ten models, each asked for once and all in the same second, take a whole engine each for
// the 5 s that they run: one engine serves one of them.
func TestAModelStaysWhileItsRequestRuns(t *testing.T) {
	is := is.New(t)
	p := Problem{Engines: 1, Megabytes: 10, End: 8 * time.Second}
	for i := range 10 {
		p.Models = append(p.Models, Model{Name: fmt.Sprint(i), Megabytes: 10, Requests: []Request{{From: time.Second, InTime: 2 * time.Second, Late: 2 * time.Second, Runs: 5 * time.Second, Worth: 1}}})
	}
	r := solve(t, p)
	is.True(r.Most >= 1)
	is.True(r.Most < 1.5)
}

func TestLoadsOnDemandWaitForARequest(t *testing.T) {
	is := is.New(t)
	p := Problem{Engines: 1, Megabytes: 10, End: 20 * time.Second, Models: []Model{{Name: "a", Megabytes: 10, First: time.Second, Again: time.Second, Requests: []Request{
		{From: 5 * time.Second, InTime: 5500 * time.Millisecond, Late: 8 * time.Second, Worth: 10, Little: 3},
	}}}}
	is.Equal(solve(t, p).Most, 10.0)
	p.OnDemand = true
	is.Equal(solve(t, p).Most, 3.0)
}

func TestNonsenseIsRefused(t *testing.T) {
	is := is.New(t)
	good := Problem{Engines: 1, Megabytes: 100, End: time.Second, Models: []Model{{Name: "a", Megabytes: 1, Requests: []Request{{Worth: 1}}}}}
	is.NoErr(good.Check())
	for _, spoil := range []func(*Problem){
		func(p *Problem) { p.Engines = 0 },
		func(p *Problem) { p.End = 0 },
		func(p *Problem) { p.Models[0].Megabytes = 0 },
		func(p *Problem) { p.Models[0].Again = time.Second },
		func(p *Problem) { p.Models[0].Requests[0].Little = 2 },
		func(p *Problem) { p.Models[0].Requests[0].From = -time.Second },
	} {
		bad := good
		bad.Models = []Model{good.Models[0]}
		bad.Models[0].Requests = slices.Clone(good.Models[0].Requests)
		spoil(&bad)
		_, err := Solve(bad, 0, DefaultSettings())
		is.True(errors.Is(err, ErrProblem))
	}
	_, err := Solve(good, 0, Settings{})
	is.True(errors.Is(err, ErrProblem))
}
