package fleet

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/cassiapass/cassiapass/internal/core/urgency"
)

// demandOf returns a demand whose requests all have a level.
func demandOf(model string, l urgency.Level, arrived, waiting, inTime int) Demand {
	return Demand{Want: Want{Model: model}, Arrived: arrived, Waiting: waiting, InTime: inTime, Due: 2 * time.Second, Earliest: 10 * time.Second,
		Levels: []LevelDemand{{Level: l, Arrived: arrived, Waiting: waiting, InTime: inTime}}}
}

// Guards against loads of models in an order that does not follow how urgent their requests are.
func TestUrgentModelsAreServedFirst(t *testing.T) {
	digests, alerts := demandOf("m0", 2, 0, 3, 3), demandOf("m1", 0, 0, 1, 1)
	many := demandOf("m2", 2, 0, 9, 9)
	late := demandOf("m3", 0, 0, 2, 0)
	old := Demand{Want: Want{Model: "m4"}, Waiting: 2, InTime: 2, Due: 2 * time.Second, Earliest: 10 * time.Second} // its entry reports no levels
	for _, c := range []struct {
		byLevel bool
		want    []string
	}{
		{false, []string{"m2", "m0", "m4", "m1", "m3"}},
		{true, []string{"m2", "m1", "m4", "m0", "m3"}}, // nine digests are more than one alert
	} {
		is := is.New(t)
		p := New(DefaultConfig())
		p.SetByLevel(c.byLevel)
		p.RecordDemand(time.Unix(1000, 0), "entry", []Demand{digests, alerts, many, late, old}, nil)
		p.sumReports()
		var got []string
		for _, w := range p.prioritized(time.Unix(1000, 0)) {
			got = append(got, w.Model)
		}
		is.Equal(got, c.want)
	}
}

// Guards against a store that brings models of less urgent requests first.
func TestStoreBringsUrgentModelsFirst(t *testing.T) {
	for _, byLevel := range []bool{false, true} {
		is := is.New(t)
		s := newEmptyDisks(12, 8)
		s.p.SetByLevel(byLevel)
		var ds []Demand
		for i := range 4 {
			ds = append(ds, Demand{Want: Want{Model: fmt.Sprint("m", i)}, Arrived: 2, Refused: 2, Levels: []LevelDemand{{Level: 2, Arrived: 2}}})
		}
		ds = append(ds, Demand{Want: Want{Model: "m4"}, Arrived: 1, Refused: 1, Levels: []LevelDemand{{Level: 0, Arrived: 1}}})
		s.p.RecordDemand(s.now, "entry", ds, nil)
		s.run(2)
		is.Equal(s.p.store.inFlight, 3)
		is.Equal(len(s.p.survey.loading[Want{Model: "m4"}]) == 1, byLevel)
	}
}

// Guards against an eviction of the model of urgent requests while one of less urgent requests with a
// somewhat higher rate could go.
func TestModelOfLessUrgentRequestsMakesWay(t *testing.T) {
	for _, byLevel := range []bool{false, true} {
		is := is.New(t)
		s := newSimulation(1, 1, 9, 0)
		s.fill("m1", "m3")
		s.p.cfg.Headroom = 0
		s.p.SetByLevel(byLevel)
		s.p.RecordDemand(s.now, "entry", []Demand{demandOf("m1", 0, 4, 0, 0), demandOf("m3", 2, 6, 0, 0)}, nil)
		s.run(100)
		s.p.RecordDemand(s.now, "entry", []Demand{demandOf("m4", 1, 1, 1, 1)}, nil)
		w := s.p.Plan(s.now)
		is.Equal(len(w.Orders), 1)
		is.Equal(w.Orders[0].Want, Want{Model: map[bool]string{false: "m1", true: "m3"}[byLevel]})
	}
}

// Guards against other orders than before where more urgent requests do not go first, although
// entries report levels.
func TestLevelsChangeNoOrdersUnlessSet(t *testing.T) {
	is := is.New(t)
	run := func(levels bool) string {
		s := newSimulation(7, 6, 16, 0)
		s.step()
		s.list()
		log := ""
		for i := range 400 {
			if i%5 == 0 {
				var ds []Demand
				for range 4 {
					d := demandOf(modelName(s.r.IntN(16)), urgency.Level(s.r.IntN(3)), 1, 1, s.r.IntN(2))
					if !levels {
						d.Levels = nil
					}
					ds = append(ds, d)
				}
				s.p.RecordDemand(s.now, "entry", ds, nil)
			}
			s.step()
			for _, o := range s.orders {
				log += fmt.Sprintln(i, o.Endpoint, o.Op, o.Want, o.Source)
			}
		}
		return log
	}
	with, without := run(true), run(false)
	is.True(len(with) > 1000)
	is.Equal(with, without)
}

// Guards against counts of a report that name more requests of their levels than there are, or fewer.
func TestWeightsOfAReport(t *testing.T) {
	is := is.New(t)
	var w weightedDemand
	d := Demand{Waiting: 3, InTime: 2, Arrived: 4}
	d.OfLevel(0).AddWaiting(coldStart)
	d.OfLevel(2).AddWaiting(0)
	d.OfLevel(0).Arrived = 1
	w.add(d)
	is.Equal(w.inTime, urgency.Level(0).Weight()+unknownLevel.Weight())
	is.Equal(w.late, 1.0)
	is.Equal(d.arrivedWeight(), urgency.Level(0).Weight()+3*unknownLevel.Weight())
	d.Arrived, d.Waiting, d.InTime = 0, 0, 0
	is.Equal(d.arrivedWeight(), urgency.Level(0).Weight())
}
