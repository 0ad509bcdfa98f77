package controller

import (
	"encoding/json"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/cassiapass/cassiapass/internal/core/feature"
	"github.com/cassiapass/cassiapass/internal/core/fleet"
	"github.com/cassiapass/cassiapass/internal/core/ident"
	"github.com/cassiapass/cassiapass/internal/core/pace"
	"github.com/cassiapass/cassiapass/internal/wire"
)

// pacedController returns a leading controller with three endpoints that hold m, of which an entry's
// reports show e0 to be slow.
func pacedController(t *testing.T, mode feature.Mode) (*Controller, time.Time) {
	t.Helper()
	c := idle(leading(3), &testFleet{})
	c.cfg.Features = feature.Settings{feature.Pace: mode}
	now := time.Now()
	c.beginTerm(now, 3)
	c.listOK = true
	var eps []fleet.Endpoint
	for _, id := range []fleet.EndpointID{"e0", "e1", "e2"} {
		eps = append(eps, fleet.Endpoint{ID: id, Service: "s", Slots: 8})
	}
	c.planner.List(now, now, eps)
	for i := range eps {
		eps[i].Held = []fleet.Held{{Model: "m"}}
	}
	c.pub.publishAll(7, eps)
	c.rev = 7
	for s := range 15 {
		at := now.Add(time.Duration(s) * time.Second)
		c.applyReport(at, wire.TellParams{Host: "asks", Demands: []fleet.Demand{{Want: fleet.Want{Model: "m"}, Arrived: 1}},
			Paces: []pace.Sum{{Model: "m", Endpoint: "e0", N: 4, Log: 4 * -2.1}, {Model: "m", Endpoint: "e1", N: 4, Log: 4 * -3.1}, {Model: "m", Endpoint: "e2", N: 4, Log: 4 * -3.1}, {Model: "m", Endpoint: "gone", N: 4, Log: 40}}})
		c.updatePaces(at)
	}
	return c, now
}

// Guards against each change of a pace going to every entry, which was 4,000 answers of the leader a
// second: only entries that ask for models there are told, now and then, with answers that they get
// anyway.
func TestPacesGoToEntriesThatNeedThem(t *testing.T) {
	is := is.New(t)
	c, now := pacedController(t, feature.On)
	r, _, wake := c.pub.answer(wire.PullParams{Host: "asks", Term: 3, Rev: 7, Version: 9})
	is.Equal(len(r.Paces), 1)
	is.True(r.Paces["e0"] > 2)
	is.True(r.Endpoints == nil && r.Rev == 7) // no new revision
	r, _, _ = c.pub.answer(wire.PullParams{Host: "asks", Term: 3, Rev: 7, Version: 9})
	is.Equal(len(r.Paces), 0) // told just now
	r, _, _ = c.pub.answer(wire.PullParams{Host: "other", Term: 3, Rev: 7, Version: 9})
	is.Equal(len(r.Paces), 0)
	is.Equal(c.pub.paceStatus[0].Endpoint, "e0") // as operators see it, the slowest first
	is.True(c.pub.paceStatus[0].Estimate > 2 && c.pub.paceStatus[0].Proof >= 1)
	c.updatePaces(now.Add(time.Minute))
	select {
	case <-wake.all:
		t.Fatal("a pace woke an entry's call")
	default:
	}
	c.pub.forgetInterest("asks")
	is.Equal(len(c.pub.pacesTold), 0)
	c.beginTerm(now, 4) // another leader's knowledge doesn't count
	is.Equal(len(c.pub.pacesFor(now, "asks")), 0)
	is.Equal(len(c.paces.book.Decided()), 0)
}

// Guards against paces that are learned where endpoints don't share their hosts.
func TestPacesAreNotPublishedUnlessInUse(t *testing.T) {
	is := is.New(t)
	c, _ := pacedController(t, feature.Auto)
	r, _, _ := c.pub.answer(wire.PullParams{Host: "asks", Term: 3, Rev: 7, Version: 9})
	is.Equal(len(r.Paces), 0)
}

// Guards against messages that a process of the release before cannot read, or that it sends.
func TestPacesAreOptional(t *testing.T) {
	is := is.New(t)
	raw, err := json.Marshal(wire.TellParams{Host: ident.HostID("e")})
	is.NoErr(err)
	is.Equal(string(raw), `{"host":"e"}`)
	var r wire.PullResult
	is.NoErr(json.Unmarshal([]byte(`{"leading":true,"paces":{"e0":2.4}}`), &r))
	is.Equal(r.Paces["e0"], pace.Factor(2.4))
	is.NoErr(json.Unmarshal([]byte(`{"leading":true,"paces":null}`), &r))
}
