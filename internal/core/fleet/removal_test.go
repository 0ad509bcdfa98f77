package fleet

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// Guards against entries that do not learn how long an engine stays whose removal is announced, and
// against a later report that makes it longer.
func TestEntriesLearnWhenAnEngineIsRemoved(t *testing.T) {
	is := is.New(t)
	s := newSimulation(1, 2, 4, 0)
	s.list()
	var id EndpointID
	for id = range s.p.engines {
		break
	}
	s.p.TakeChanged()
	s.p.Reported(s.now, id, Report{StartedAt: s.p.engines[id].ep.StartedAt, Leaving: true, RemovedIn: 2 * time.Second})
	is.True(s.p.TakeChanged())
	s.p.Reported(s.now, id, Report{StartedAt: s.p.engines[id].ep.StartedAt, Leaving: true, RemovedIn: 3 * time.Second})
	for _, ep := range s.p.Endpoints() {
		is.Equal(ep.RemovedIn == 2*time.Second, ep.ID == id)
	}
}
