package controller

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/cassiapass/cassiapass/internal/core/poison"
	"github.com/cassiapass/cassiapass/internal/wire"
)

// Guards against a trial that a new leader grants before it has heard what ended under the part: each
// change of leader would cost one more endpoint.
func TestNewLeaderGrantsNoTrialBeforeEntriesReport(t *testing.T) {
	is := is.New(t)
	c, now := idle(leading(7), &testFleet{}), time.Now()
	c.term = 7
	c.beginSuspects(now)
	take := wire.TrialParams{Host: "h1", Take: []poison.Fingerprint{poison.Key("k").Part("p")}}
	is.Equal(c.takeTrial(now.Add(poison.ObjectionTime-time.Millisecond), take), wire.TrialResult{Leading: true})
	is.Equal(c.takeTrial(now.Add(poison.ObjectionTime), take), wire.TrialResult{Leading: true, Granted: true})
}
