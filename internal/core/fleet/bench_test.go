package fleet

import (
	"fmt"
	"testing"
	"time"
)

// BenchmarkPlan measures one plan with requests for cold models waiting, at the present size
// and at the design size.
func BenchmarkPlan(b *testing.B) {
	for _, size := range []struct{ engines, models, waiting int }{{18, 96, 3}, {54, 165, 50}, {1100, 87, 20}} {
		b.Run(fmt.Sprintf("%d-engines", size.engines), func(b *testing.B) {
			s := newSimulation(1, size.engines, size.models, 0)
			for i, e := range s.engines {
				for m := range 3 {
					e.held[fmt.Sprintf("m%d", (len(i)+m*7)%size.models)] = map[string]bool{}
				}
			}
			s.step()
			s.list()
			for range 60 {
				s.step()
			}
			var ds []Demand
			for m := range size.waiting {
				ds = append(ds, Demand{Want: Want{Model: fmt.Sprintf("m%d", (m+40)%size.models)}, Arrived: 1, Waiting: 1, Earliest: time.Second})
			}
			for b.Loop() {
				s.p.RecordDemand(s.now, "entry", ds, nil)
				s.p.Plan(s.now)
				b.StopTimer()
				for _, e := range s.p.engines {
					e.order = nil
				}
				s.p.store.inFlight = 0
				b.StartTimer()
			}
		})
	}
}

// BenchmarkForesight measures a plan at 636 engines and 180 models, of which 26 are busy, and an
// examination of all losses, which comes once a second.
func BenchmarkForesight(b *testing.B) {
	p := lossFleet(1, 636, 180, 26, true)
	for m := range 26 {
		p.rates[fmt.Sprintf("m%d", m)] = 60
	}
	p.play(5 * time.Second)
	b.Run("plan", func(b *testing.B) {
		for b.Loop() {
			p.p.foresight.examinedAt = p.now
			p.p.Plan(p.now)
		}
	})
	b.Run("examination", func(b *testing.B) {
		for b.Loop() {
			b.StopTimer()
			p.p.survey = p.p.buildSurvey(p.now)
			b.StartTimer()
			p.p.foresee(p.now)
		}
	})
}
