package fleet

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/cassiapass/cassiapass/internal/core/deploy"
)

// speedFleet returns a planner with six engines, the last two of them on slower hosts; all
// hold a fast and a slow model.
func speedFleet() (*Planner, []Endpoint) {
	p, now := New(DefaultConfig()), time.Unix(1e6, 0)
	var eps []Endpoint
	for i := range 6 {
		eps = append(eps, Endpoint{ID: EndpointID(fmt.Sprint(i)), Service: "llm", Slots: 32, Held: []Held{{Model: "small"}, {Model: "large"}}})
	}
	p.List(now, now, eps)
	return p, eps
}

// stream reports one stream of 36 events at an engine.
func stream(p *Planner, ep Endpoint, model string, perEvent time.Duration) {
	p.RecordDemand(time.Unix(1e6, 0), "entry", []Demand{{Want: Want{Model: model}, Arrived: 1}},
		[]Use{{Endpoint: ep.ID, Want: Want{Model: model}, Events: 36, Streaming: 36 * perEvent}})
}

// Callers waited for answers of engines on slow hosts, at 2.4 times the usual pace, while
// others had free slots: a model's size must not be taken for the speed of its engines.
func TestSlowEnginesAreFoundByTheirStreams(t *testing.T) {
	is := is.New(t)
	p, eps := speedFleet()
	r := rand.New(rand.NewPCG(1, 1))
	for range 200 {
		i := r.IntN(len(eps))
		perEvent, model := 30*time.Millisecond, "small"
		if r.IntN(2) == 0 {
			perEvent, model = 90*time.Millisecond, "large"
		}
		if i >= 4 {
			perEvent = perEvent * 24 / 10
		}
		stream(p, eps[i], model, time.Duration(float64(perEvent)*(0.8+0.4*r.Float64())))
	}
	p.SetDeployment(&deploy.Config{})
	is.True(len(p.Plan(time.Unix(1e6, 0)).Speeds) >= 2) // for the log
	for i, ep := range p.Endpoints() {
		slow := ep.RelativeTime() >= slowRatio*p.Endpoints()[0].RelativeTime()
		is.Equal(slow, i >= 4)
	}
}

func TestShortStreamsSayNothingOfSpeed(t *testing.T) {
	is := is.New(t)
	p, eps := speedFleet()
	for range 50 {
		p.RecordDemand(time.Unix(1e6, 0), "entry", []Demand{{Want: Want{Model: "small"}, Arrived: 1}},
			[]Use{{Endpoint: eps[0].ID, Want: Want{Model: "small"}, Events: minStreamEvents - 1, Streaming: time.Minute}})
	}
	is.Equal(p.engines["0"].ep.Slowness, 0.0)
}

// A restarted engine may run on another host.
func TestRestartedEngineHasNoKnownSpeed(t *testing.T) {
	is := is.New(t)
	is.Equal(newEngine(Endpoint{ID: "e", Slowness: 2.4}, time.Time{}).ep.RelativeTime(), 1.0)
}

func TestChooseAvoidsSlowEndpointsWhileOthersHaveRoom(t *testing.T) {
	is := is.New(t)
	for range 50 {
		is.Equal(Choose([]Candidate{{Running: 20, Slots: 32, Slowness: 0.7}, {Slots: 32, Slowness: 1.7, SameZone: true}}, rand.IntN), 0)
		is.Equal(Choose([]Candidate{{Running: 30, Slots: 32, Slowness: 0.7}, {Slots: 32, Slowness: 1.7}}, rand.IntN), 1) // no room
		is.Equal(Choose([]Candidate{{Slots: 32, Failing: 0.6}, {Slots: 32, Slowness: 1.7}}, rand.IntN), 1)               // it fails requests
	}
}
