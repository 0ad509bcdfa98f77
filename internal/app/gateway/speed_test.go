package gateway

import (
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/rs/zerolog"

	"github.com/cassiapass/cassiapass/internal/core/fleet"
)

// Streams that ended are reported once, so that the leader learns the speed of endpoints.
func TestEndedStreamsAreReportedOnce(t *testing.T) {
	is := is.New(t)
	d := newDirectory("a", zerolog.Nop())
	d.replace(1, 1, []fleet.Endpoint{{ID: "e"}})
	want := fleet.Want{Model: "m"}
	d.recordStream(d.byID["e"], want, 30, time.Second)
	d.recordStream(d.byID["e"], want, 10, 500*time.Millisecond)
	is.Equal(d.reportUses(), []fleet.Use{{Endpoint: "e", Want: want, Events: 40, Streaming: 1500 * time.Millisecond}})
	is.Equal(len(d.reportUses()), 0)
}

// Requests went to slow endpoints again after each change of leader.
func TestSlownessOutlivesAChangeOfLeader(t *testing.T) {
	is := is.New(t)
	d := newDirectory("a", zerolog.Nop())
	d.replace(1, 1, []fleet.Endpoint{{ID: "e", Slowness: 2.4}})
	d.replace(2, 1, []fleet.Endpoint{{ID: "e"}})
	is.Equal(d.byID["e"].Slowness, 2.4)
	d.update(2, 2, []fleet.Endpoint{{ID: "e", Slowness: 1.1}}, nil)
	is.Equal(d.byID["e"].Slowness, 1.1)
}
