package lab

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/cassiapass/cassiapass/internal/core/deploy"
)

// threeLevels returns a site of engines with three kinds of requests, of three levels, that share no
// model.
func threeLevels(engines int, load float64) *Site {
	s := &Site{Name: "levels", Engines: engines, Entries: 3, Copies: 20, Duration: 25 * time.Second, ShiftInterval: 8 * time.Second, Classes: []Class{
		{Name: "alert", Rate: 12, LastModel: 7, Skew: 0.5, Objective: 500 * time.Millisecond, Limit: 12 * time.Second, SilenceLimit: 2 * time.Second, Prompt: 800, Output: 290, Value: 1, LateValue: 0.1, Priority: 0},
		{Name: "note", Rate: 4, FirstModel: 8, LastModel: 15, Skew: 0.5, Objective: 600 * time.Millisecond, Limit: 3 * time.Second, SilenceLimit: 2 * time.Second, Prompt: 2400, Output: 23, Value: 1, LateValue: 0.1, Priority: 1},
		{Name: "digest", Rate: 8, FirstModel: 16, LastModel: 63, Objective: 4 * time.Second, Limit: 20 * time.Second, SilenceLimit: 16 * time.Second, Prompt: 800, Output: 290, Value: 1, LateValue: 0.1, Priority: 2},
	}}
	s.Spec = &deploy.Engine{Slots: 32, ModelMegabytes: 83000, AdapterSlots: 8, StoreLoads: 10}
	return s.complete(64, load)
}

// Guards against engines whose memory goes to whichever models have most requests, or to the most urgent
// ones alone: three levels at 1.3 and at 2 times what twelve engines can do, with a quarter of them down.
func TestUrgentModelsAreHeldUnderOverload(t *testing.T) {
	const seeds, engines = 6, 12 - 12/4
	for _, load := range []float64{1.3, 2} {
		is := is.New(t)
		plain, byLevel := Compare(threeLevels(engines, load), policy(t, "in-use"), seeds), Compare(threeLevels(engines, load), policy(t, "by-level"), seeds)
		t.Logf("load %.1f: in time %.3v, by level %.3v; served %.3v, by level %.3v", load, plain.InTime, byLevel.InTime, plain.Served, byLevel.Served)
		is.True(byLevel.InTime["alert"] > plain.InTime["alert"]+0.03)
		is.True(byLevel.InTime["note"] > plain.InTime["note"]+0.02)
		is.True(byLevel.Served["digest"] > 0.95) // they wait longer, and are answered
		is.True(byLevel.InTime["digest"] > 0.8*plain.InTime["digest"])
	}
}
