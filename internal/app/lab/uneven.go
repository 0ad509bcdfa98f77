package lab

import (
	"math/rand/v2"
	"time"

	"github.com/cassiapass/cassiapass/internal/core/deploy"
	"github.com/cassiapass/cassiapass/internal/core/fleet"
	"github.com/cassiapass/cassiapass/internal/core/pace"
)

// Uneven returns a site with engines of unequal speed: a third takes 2.4 times as long as the others,
// and each takes 2.5 times as long for a sixth of the time, as its host is busy otherwise.
func Uneven(load float64) *Site {
	s := &Site{Name: "uneven", Engines: 56, Entries: 33, Copies: 19, Duration: 40 * time.Second,
		Slowness: []float64{0.7, 0.7, 1.7}, Moments: 0.15,
		Classes: []Class{
			{Name: "chat", Rate: 120, LastModel: 25, Skew: 0.2, Objective: 300 * time.Millisecond, Limit: 12 * time.Second, SilenceLimit: 2 * time.Second, Prompt: 826, Output: 292, Value: 1.8, LateValue: 0.53, Priority: 1},
			{Name: "audit", Rate: 15, FirstModel: 26, LastModel: 86, Objective: 3 * time.Second, Limit: 25 * time.Second, SilenceLimit: 8 * time.Second, Prompt: 826, Output: 292, Value: 52, LateValue: 7.7, Priority: 1},
			{Name: "classify", Rate: 33, LastModel: 25, Skew: 0.2, Adapters: 0.5, Objective: 400 * time.Millisecond, Limit: 3 * time.Second, SilenceLimit: 2 * time.Second, Prompt: 2368, Output: 23, Value: 2.5, LateValue: 0.74},
		}}
	s.Spec = &deploy.Engine{Slots: 32, ModelMegabytes: 70000, AdapterSlots: 8, StoreLoads: 10}
	return s.complete(87, load)
}

// Choice is how entries choose an endpoint.
type Choice string

// The choices. The zero value is ByLoad.
const (
	ByLoad   Choice = "load"     // the less loaded of two
	Shortest Choice = "shortest" // the shortest expected time of all
	BySpeed  Choice = "speed"    // the shorter expected time of two drawn by speed
	ByFinish Choice = "finish"   // the same of those that are in time
)

// ChoicePolicies returns the choices to compare where engines differ in speed, the one by load first.
// What entries know of the speed of engines is true here, but for the slow moments of hosts.
func ChoicePolicies() []Policy {
	plan := fleet.DefaultConfig()
	return []Policy{
		{Name: "choice-load", Description: "the less loaded of two", Plan: plan},
		{Name: "choice-shortest", Description: "the shortest expected time of all", Plan: plan, Choice: Shortest},
		{Name: "choice-speed", Description: "the shorter expected time of two drawn by speed", Plan: plan, Choice: BySpeed},
		{Name: "choice-finish", Description: "the same of those that are in time", Plan: plan, Choice: ByFinish},
		{Name: "placing-pace", Description: "by load, and the planner knows the speed of engines", Plan: plan, Placing: true},
		{Name: "finish-placing", Description: "by finish, and the planner knows the speed of engines", Plan: plan, Choice: ByFinish, Placing: true},
	}
}

// momentLength is how long a host's slow moment lasts, and slowMoment by how much longer work takes in it.
const (
	momentLength = 600 * time.Millisecond
	slowMoment   = 2.5
)

// lasting returns by how much longer work takes at an engine than at the usual one.
func (s *Site) lasting(engine int) float64 {
	if len(s.Slowness) == 0 {
		return 1
	}
	return s.Slowness[engine%len(s.Slowness)]
}

// slowness returns by how much longer work takes at an engine now.
func (x *runner) slowness(e *engine) float64 {
	f := x.site.lasting(e.number)
	if x.site.Moments > 0 && rand.New(rand.NewPCG(uint64(e.number), uint64(x.now/momentLength))).Float64() < x.site.Moments {
		f *= slowMoment
	}
	return f
}

// factor returns what entries know of that.
func (x *runner) factor(e *engine) float64 { return x.site.lasting(e.number) / x.site.lasting(0) }

// choose returns the index of the endpoint for a request, or -1.
func (x *runner) choose(r *request, cands []fleet.Candidate, to []*engine) int {
	if x.choice == "" || x.choice == ByLoad {
		return fleet.Choose(cands, x.r.IntN)
	}
	best := -1
	for i, e := range to {
		f := x.factor(e)
		first := time.Duration(f * float64(firstTokenDelay+time.Duration(r.prompt/tokensPerMS*r.stepScale*float64(time.Millisecond))))
		cands[i].Expect = fleet.Expectation{Factor: f, First: first}
		if best < 0 || f*(1+float64(cands[i].Running)/float64(cands[i].Slots)) < cands[best].Expect.Factor*(1+float64(cands[best].Running)/float64(cands[best].Slots)) {
			best = i
		}
	}
	switch x.choice {
	case Shortest:
		return best
	case BySpeed:
		return fleet.ChooseByFinish(cands, fleet.Objective{}, x.r.IntN)
	}
	return fleet.ChooseByFinish(cands, fleet.Objective{First: r.class.Objective}, x.r.IntN)
}

// informPlanner tells the planner the speed of engines and the objectives of models.
func (x *runner) informPlanner() {
	paces, objectives := map[fleet.EndpointID]pace.Factor{}, map[string]time.Duration{}
	for id, e := range x.engines {
		if f := x.factor(e); f != 1 {
			paces[id] = pace.Factor(f)
		}
	}
	for i := range x.site.Classes {
		c := &x.site.Classes[i]
		for m := c.FirstModel; m <= c.LastModel; m++ {
			if o, known := objectives[x.site.Names[m]]; !known || c.Objective < o {
				objectives[x.site.Names[m]] = c.Objective
			}
		}
	}
	x.planner.SetPaces(paces)
	x.planner.RecordObjectives(x.clock(), objectives)
}
