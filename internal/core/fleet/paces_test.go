package fleet

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/cassiapass/cassiapass/internal/core/deploy"
	"github.com/cassiapass/cassiapass/internal/core/pace"
)

// pacedPlanner returns a planner with engines e0, e1 and so on that have copies of models m0 and m1,
// 400 MB of which each has room for.
func pacedPlanner(now time.Time, held ...[]string) *Planner {
	p := New(DefaultConfig())
	model := func(n string) *deploy.Model {
		return &deploy.Model{Name: n, Megabytes: 200, FromDisk: 500 * time.Millisecond, FromStore: 4 * time.Second}
	}
	p.SetDeployment(&deploy.Config{Services: map[string]*deploy.Service{"s": {Name: "s", Engine: &deploy.Engine{Slots: 32, ModelMegabytes: 400,
		Models: map[string]*deploy.Model{"m0": model("m0"), "m1": model("m1"), "rare": model("rare")}}}}})
	copies := Copies{Disk: []string{"m0", "m1", "rare"}}
	var eps []Endpoint
	for i := range held {
		eps = append(eps, Endpoint{ID: EndpointID("e" + string(rune('0'+i))), Service: "s", Slots: 32, Copies: copies})
	}
	p.List(now, now, eps)
	for range 2 { // the first report is not trusted yet
		now = now.Add(300 * time.Millisecond)
		p.Plan(now)
		for i, h := range held {
			r := Report{Copies: copies}
			for _, name := range h {
				r.Held = append(r.Held, Held{Model: name, Version: 1})
			}
			p.Reported(now, eps[i].ID, r)
		}
	}
	return p
}

// loadsOf returns where a plan loads a model.
func loadsOf(w Work, name string) []EndpointID {
	var out []EndpointID
	for _, o := range w.Orders {
		if o.Op == Load && o.Want.Model == name {
			out = append(out, o.Endpoint)
		}
	}
	return out
}

func asksFor(p *Planner, now time.Time, name string, waiting int, objective time.Duration) {
	p.RecordDemand(now, "entry", []Demand{{Want: Want{Model: name}, Arrived: 20, Waiting: waiting, Earliest: time.Second}}, nil)
	p.RecordObjectives(now, map[string]time.Duration{name: objective})
}

// Guards against models whose callers wait 0.3 s that are placed on slow engines while a fast one is
// as good otherwise, and against memory that is paid for it.
func TestHurriedModelsArePlacedOnFastEngines(t *testing.T) {
	start := time.Unix(1e6, 0)
	now := start.Add(time.Second)
	cases := []struct {
		name      string
		held      [][]string
		paces     map[EndpointID]pace.Factor
		objective time.Duration
		want      EndpointID
	}{
		{"no pace is known", [][]string{nil, nil, nil}, nil, 300 * time.Millisecond, "e0"},
		{"slow ones are passed by", [][]string{nil, nil, nil}, map[EndpointID]pace.Factor{"e0": 2.4, "e1": 2.4}, 300 * time.Millisecond, "e2"},
		{"callers have time", [][]string{nil, nil, nil}, map[EndpointID]pace.Factor{"e0": 2.4}, 3 * time.Second, "e0"},
		{"a fast one would have to evict", [][]string{nil, {"m1", "rare"}}, map[EndpointID]pace.Factor{"e0": 2.4}, 300 * time.Millisecond, "e0"},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			p := pacedPlanner(start, c.held...)
			p.SetPaces(c.paces)
			asksFor(p, now, "m0", 1, c.objective)
			is.Equal(loadsOf(p.Plan(now), "m0"), []EndpointID{c.want})
		})
	}
}

// Guards against a busy model that stays on slow engines while faster ones have room for it.
func TestHurriedModelGetsAFasterEngine(t *testing.T) {
	start := time.Unix(1e6, 0)
	now := start.Add(time.Second)
	slow := map[EndpointID]pace.Factor{"e0": 2.4}
	cases := []struct {
		name      string
		held      [][]string
		paces     map[EndpointID]pace.Factor
		objective time.Duration
		rare      int // requests for the other model
		want      int // loads and evictions for the model
	}{
		{"a faster engine has room", [][]string{{"m0"}, {"m1"}}, slow, 300 * time.Millisecond, 0, 1},
		{"no pace is known", [][]string{{"m0"}, {"m1"}}, nil, 300 * time.Millisecond, 0, 0},
		{"callers have time", [][]string{{"m0"}, {"m1"}}, slow, 3 * time.Second, 0, 0},
		{"a faster one holds it", [][]string{{"m0"}, {"m0"}}, slow, 300 * time.Millisecond, 0, 0},
		{"nobody asks for what makes way", [][]string{{"m0"}, {"m1", "rare"}}, slow, 300 * time.Millisecond, 0, 1},
		{"what would make way is asked for", [][]string{{"m0"}, {"m1", "rare"}}, slow, 300 * time.Millisecond, 3, 0},
		{"all are slow", [][]string{{"m0"}, {"m1"}}, map[EndpointID]pace.Factor{"e0": 2.4, "e1": 2.4}, 300 * time.Millisecond, 0, 0},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			p := pacedPlanner(start, c.held...)
			p.SetPaces(c.paces)
			if c.rare > 0 {
				p.RecordDemand(now, "other", []Demand{{Want: Want{Model: "rare"}, Arrived: c.rare}, {Want: Want{Model: "m1"}, Arrived: c.rare}}, nil)
			}
			asksFor(p, now, "m0", 0, c.objective)
			n := 0
			for _, o := range p.Plan(now).Orders {
				if o.Want.Model == "m0" || o.Op == Unload && o.Endpoint == "e1" && len(c.held[1]) == 2 {
					n++
				}
			}
			is.Equal(n, c.want)
		})
	}
}

// Guards against replicas that are counted but can't do their part of the work.
func TestReplicasCountByWork(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1e6, 0)
	p := pacedPlanner(now, []string{"m0"}, []string{"m0"}, nil)
	p.Plan(now)
	is.Equal(p.lostReplicas(now, "m0"), 0.0)
	p.SetPaces(map[EndpointID]pace.Factor{"e0": 2.5, "e1": 0.5})
	is.Equal(p.lostReplicas(now, "m0"), 0.6) // a faster one still counts as one
	p.SetLimits(map[EndpointID]float64{"e0": 1e-3})
	is.True(p.lostReplicas(now, "m0") > 0.99) // the lower of both counts
}
