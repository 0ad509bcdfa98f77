package lab

import (
	"time"

	"github.com/cassiapass/cassiapass/internal/core/fleet"
)

// Policy is a way to decide what engines hold.
type Policy struct {
	Name string
	What string // what it compares with
	Plan fleet.Config
	// Frozen leaves the engines with what they hold at the start.
	Frozen bool
	// Everything gives each engine every model, whatever fits: no policy can do
	// better, since no request ever waits for a model.
	Everything bool
}

// Policies returns the policies to compare, the one in use first.
func Policies() []Policy {
	use := fleet.DefaultConfig()
	single := use
	single.ReplicaShare, single.RatePerReplica, single.Crowded = 0, 1e9, 1e9
	patient := use
	patient.IdleModel = 2 * time.Second
	urgency := use
	urgency.ByUrgency = true
	noRoom := use
	noRoom.RoomAhead = 0
	return []Policy{
		{Name: "in-use", What: "the planner's settings", Plan: use},
		{Name: "by-urgency", What: "waiting requests in order of the time they have left", Plan: urgency},
		{Name: "no-room-ahead", What: "a model makes way only when another one is asked for", Plan: noRoom},
		{Name: "patient", What: "a model makes way only after 2 s without requests", Plan: patient},
		{Name: "one-replica", What: "no model has more than one replica, the least used makes way", Plan: single},
		{Name: "unchanged", What: "engines keep what they hold at the start", Plan: use, Frozen: true},
		{Name: "bound", What: "every engine holds everything", Plan: use, Frozen: true, Everything: true},
	}
}

// PolicyNames returns the names of the policies.
func PolicyNames() []string {
	var out []string
	for _, p := range Policies() {
		out = append(out, p.Name)
	}
	return out
}
