package lab

import (
	"time"

	"github.com/cassiapass/cassiapass/internal/core/fleet"
)

// Policy decides which models engines hold.
type Policy struct {
	Name        string
	Description string // how it differs from the others
	Plan        fleet.Config
	// ByLevel counts requests with the weight of their level.
	ByLevel bool
	// Frozen makes engines keep the models that they hold at the start.
	Frozen bool
	// AllModels gives each engine every model regardless of memory. No policy can do
	// better, since no request ever waits for a model.
	AllModels bool
	// Choice is how entries choose an endpoint, and Placing makes the speed of engines known to the planner.
	Choice  Choice
	Placing bool
}

// Policies returns the policies to compare, the one used in production first.
func Policies() []Policy {
	inUse := fleet.DefaultConfig()
	single := inUse
	single.ReplicaShare, single.RatePerReplica, single.Crowded = 0, 1e9, 1e9
	patient := inUse
	patient.ModelIdleTime = 2 * time.Second
	urgency := inUse
	urgency.ByUrgency = true
	noHeadroom := inUse
	noHeadroom.Headroom = 0
	return []Policy{
		{Name: "in-use", Description: "the planner's settings", Plan: inUse},
		{Name: "by-urgency", Description: "waiting requests in order of the time they have left", Plan: urgency},
		{Name: "by-level", Description: "models of urgent requests come first", Plan: inUse, ByLevel: true},
		{Name: "no-room-ahead", Description: "a model makes way only when another one is asked for", Plan: noHeadroom},
		{Name: "patient", Description: "a model makes way only after 2 s without requests", Plan: patient},
		{Name: "one-replica", Description: "no model has more than one replica, the least used makes way", Plan: single},
		{Name: "unchanged", Description: "engines keep what they hold at the start", Plan: inUse, Frozen: true},
		{Name: "bound", Description: "every engine holds everything", Plan: inUse, Frozen: true, AllModels: true},
	}
}

func PolicyNames() []string {
	var out []string
	for _, p := range append(Policies(), ChoicePolicies()...) {
		out = append(out, p.Name)
	}
	return out
}
