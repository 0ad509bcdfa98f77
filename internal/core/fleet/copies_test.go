package fleet

import (
	"fmt"
	"maps"
	"math/rand/v2"
	"testing"

	"github.com/matryer/is"
)

// Symptom: a model is fetched from the store although it lies on a disk, or an engine
// without a copy is taken for one that has it.
// Sequence: engines come, go, start again under the same name, and get and lose copies.
// Cause: the index of copies is kept from plan to plan and missed a change.
func TestIndexOfCopiesIsWhatEnginesTell(t *testing.T) {
	is := is.New(t)
	r := rand.New(rand.NewPCG(4, 9))
	s := newSimulation(1, 6, 12, 0)
	s.list()
	for i := range 4000 {
		if i%20 == 0 {
			s.ask(3)
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
		s.p.survey(s.now) // as each plan begins
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
