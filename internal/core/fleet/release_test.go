package fleet

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/cassiapass/cassiapass/internal/core/release"
)

// Guards against streams that nobody goes on with: only engines of another release than the one that
// began them hold the model.
func TestModelIsLoadedAtTheReleaseThatAStreamNeeds(t *testing.T) {
	for _, bound := range []bool{false, true} {
		is := is.New(t)
		s := newSimulation(1, 6, 8, 0)
		i := 0
		for _, e := range s.engines {
			e.ep.Release = []release.Name{"v1", "v2"}[i%2]
			i++
		}
		s.list()
		holds := func(name release.Name) bool {
			for _, e := range s.engines {
				if e.ep.Release == name && e.held["m0"] != nil {
					return true
				}
			}
			return false
		}
		run := func(d Demand, until func() bool) bool {
			for i := range 300 { // 3 s
				if i%20 == 0 {
					s.p.RecordDemand(s.now, "entry", []Demand{d}, nil)
				}
				if s.step(); until() {
					return true
				}
			}
			return false
		}
		d := Demand{Want: Want{Model: "m0"}, Arrived: 1, Waiting: 1, Earliest: 10 * time.Second}
		is.True(run(d, func() bool { return holds("v1") || holds("v2") }))
		other := release.Name("v1")
		if holds("v1") {
			other = "v2"
		}
		if bound {
			d.Releases = []release.Name{other}
		}
		is.Equal(run(d, func() bool { return holds(other) }), bound)
	}
}
