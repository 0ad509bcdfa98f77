package fleet

import (
	"fmt"
	"math"
	"testing"
	"time"

	"github.com/matryer/is"
)

// TestNewLeaderPlansWithTheFormerDemand guards against a new leader that learns over seconds what is
// busy, and meanwhile orders for other demand than there is.
func TestNewLeaderPlansWithTheFormerDemand(t *testing.T) {
	is := is.New(t)
	const interval = 200 * time.Millisecond
	now := time.Unix(1e6, 0)
	before := New(DefaultConfig())
	before.SetForesight(true)
	entries := make([]RateMemory, 5)
	report := func(p *Planner, arrived int) {
		for i := range entries {
			ds := []Demand{{Want: Want{Model: "busy"}, Arrived: 2 * arrived}, {Want: Want{Model: "calm"}, Arrived: arrived}}
			name := fmt.Sprint("entry-", i)
			p.RecordRates(now, name, entries[i].Rates(now)) // the former leader knows them already
			entries[i].Record(now, ds)
			p.RecordDemand(now, name, ds, nil)
		}
	}
	for range 100 {
		now = now.Add(interval)
		report(before, 2)
	}
	is.True(math.Abs(before.rate(now, "busy")-100) < 10)
	now = now.Add(time.Second) // without a leader; requests go on
	after, without := New(DefaultConfig()), New(DefaultConfig())
	after.SetForesight(true)
	report(after, 10)
	without.RecordDemand(now, "entry", []Demand{{Want: Want{Model: "busy"}, Arrived: 100}}, nil)
	for _, name := range []string{"busy", "calm"} {
		was, is_ := before.rate(now.Add(-time.Second), name), after.rate(now, name)
		is.True(math.Abs(is_-was) < 0.1*was)
		is.True(math.Abs(after.foreseenRate(now, name)-was) < 0.2*was)
	}
	is.True(without.rate(now, "busy") < 20) // what a leader knows that is told nothing
	rate := after.rate(now, "busy")
	after.RecordRates(now, "entry-0", &ArrivalRates{Models: []ArrivalRate{{"busy", 1000}}}) // on another connection
	is.Equal(after.rate(now, "busy"), rate)
}

// TestNewLeaderPlacesReplicasLikeTheFormerOne guards against a leader that leaves a busy model on too
// few engines until it has learned its rate.
func TestNewLeaderPlacesReplicasLikeTheFormerOne(t *testing.T) {
	is := is.New(t)
	p := lossFleet(1, 12, 12, 12, true)
	p.rates["m0"], p.rates["m1"] = 60, 30
	p.play(20 * time.Second)
	was := [2]int{len(p.serving("m0")), len(p.serving("m1"))}
	dep, memory := p.p.dep, &RateMemory{}
	memory.Record(p.now, nil)
	memory.byModel = map[string]float64{"m0": p.p.rate(p.now, "m0"), "m1": p.p.rate(p.now, "m1")}
	p.p = New(DefaultConfig())
	p.p.SetDeployment(dep)
	p.p.SetForesight(true)
	p.p.RecordRates(p.now, "entry", memory.Rates(p.now))
	for range 20 {
		p.play(100 * time.Millisecond)
		is.True(len(p.serving("m0")) >= was[0])
		is.True(len(p.serving("m0")) <= was[0]+1)
		is.True(len(p.serving("m1")) >= was[1])
	}
}

// TestRatesAreBounded guards against reports that grow with the models, or with bad figures.
func TestRatesAreBounded(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1e6, 0)
	var r RateMemory
	is.Equal(r.Rates(now), nil)
	var ds []Demand
	for i := range 100 {
		ds = append(ds, Demand{Want: Want{Model: fmt.Sprint("m", i)}, Arrived: i})
	}
	r.Record(now, ds)
	got := r.Rates(now.Add(time.Second))
	is.Equal(len(got.Models), maxReportedRates)
	is.Equal(got.Models[0].Model, "m99")
	is.Equal(got.Age, time.Second)
	r.Record(now.Add(time.Hour), nil)
	is.Equal(r.Rates(now.Add(time.Hour)), nil)
	p := New(DefaultConfig())
	p.RecordRates(now, "entry", &ArrivalRates{Models: []ArrivalRate{{"m", math.NaN()}, {"n", math.Inf(1)}, {"o", -1}}})
	is.Equal(len(p.models), 0)
}
