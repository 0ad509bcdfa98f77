package fleet

import (
	"fmt"
	"maps"
	"math/rand/v2"
	"testing"

	"github.com/matryer/is"
)

// A model was fetched from the store although it was on a disk, or an engine without a copy
// was used as if it had one. Engines appear, disappear, restart under the same name, and
// gain and lose copies; the index of copies, which is kept from plan to plan, must follow
// every change.
func TestCopyIndexMatchesEngines(t *testing.T) {
	is := is.New(t)
	r := rand.New(rand.NewPCG(4, 9))
	s := newSimulation(1, 6, 12, 0)
	s.list()
	for i := range 4000 {
		if i%20 == 0 {
			s.requestRandom(3)
		}
		if i%40 == 0 {
			s.list()
		}
		e := s.engines[EndpointID(fmt.Sprintf("e%02d", r.IntN(6)))]
		switch r.IntN(60) {
		case 0:
			delete(e.disk, fmt.Sprintf("m%d", r.IntN(12)))
		case 1:
			e.restart(s.now)
		}
		s.step()
		s.p.buildSurvey(s.now) // as at the start of each plan
		for m := range 12 {
			name, want := fmt.Sprintf("m%d", m), map[*engine]bool{}
			for _, e := range s.p.engines {
				if _, has := e.copies[name]; has {
					want[e] = true
				}
			}
			is.True(maps.Equal(s.p.copies.engines(name), want))
		}
	}
}
