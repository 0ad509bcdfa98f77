package controller

import (
	"errors"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/cassiapass/cassiapass/internal/core/fleet"
	"github.com/cassiapass/cassiapass/internal/core/poison"
	"github.com/cassiapass/cassiapass/internal/core/release"
	"github.com/cassiapass/cassiapass/internal/wire"
)

// settledIn reports whether the leader of a term publishes just the given releases, and streams may not
// begin at just the unsettled ones.
func settledIn(t *testing.T, c *Controller, term uint64, all, unsettled []release.Name) bool {
	t.Helper()
	r := pull(t, c, wire.PullParams{Host: "e"})
	if r.Term != term || r.Endpoints == nil {
		return false
	}
	var listed, marked []release.Name
	for _, e := range *r.Endpoints {
		listed = append(listed, e.Release)
		if e.Unsettled {
			marked = append(marked, e.Release)
		}
	}
	slices.Sort(listed)
	return slices.Equal(listed, all) && slices.Equal(marked, unsettled)
}

// Guards against streams that begin at a release of which later leaders, or entries without one, know
// nothing; and against releases that wait again at each new leader.
func TestReleaseSettlesOnceTheLogNamesItForAWhile(t *testing.T) {
	is := is.New(t)
	lead, fl := leading(3), &testFleet{}
	list := func(names ...release.Name) {
		var eps []fleet.Endpoint
		for _, n := range names {
			eps = append(eps, fleet.Endpoint{ID: fleet.EndpointID("e-" + n), Service: "s", Addr: "10.0.0.9:80", Zone: "a", Slots: 4, Release: n})
		}
		fl.mu.Lock()
		fl.eps = eps
		fl.mu.Unlock()
	}
	list("v1")
	c := startController(t, lead, fl)
	both := []release.Name{"v1", "v2"}
	eventually(t, "the first release is settled", func() bool { return settledIn(t, c, 3, both[:1], nil) })
	_, settled := lead.Releases()
	is.True(settled.Has("s", "v1"))
	list(both...)
	eventually(t, "the second one is published", func() bool { return settledIn(t, c, 3, both, both[1:]) })
	eventually(t, "the log names it", func() bool {
		served, settled := lead.Releases()
		return served.Has("s", "v2") && !settled.Has("s", "v2")
	})
	begin := time.Now()
	lead.set(func() { lead.lead.Term = 4 })
	eventually(t, "the next leader settles it", func() bool { return settledIn(t, c, 4, both, nil) })
	is.True(time.Since(begin) >= release.SettleTime(0))
	begin = time.Now()
	lead.set(func() { lead.lead.Term = 5 })
	eventually(t, "the leader after that need not", func() bool { return settledIn(t, c, 5, both, nil) })
	is.True(time.Since(begin) < release.SettleTime(0)/2)
}

// Guards against streams that nobody goes on with once a leader and all entries that knew them are gone.
func TestNextLeaderKnowsNotedStreams(t *testing.T) {
	is := is.New(t)
	lead := leading(3)
	c := startController(t, lead, &testFleet{})
	id := poison.Key("k").Fingerprint([]byte("r"))
	ask := func() wire.StreamResult {
		r, err := c.findStream(t.Context(), wire.StreamParams{Host: "e", Find: &id, Service: "s"})
		is.NoErr(err)
		return r
	}
	eventually(t, "it leads", func() bool { return ask().Leading })
	is.True(!ask().Known)
	_, err := c.findStream(t.Context(), wire.StreamParams{Host: "e", Began: []release.Origin{{Stream: id, Release: "v2"}}})
	is.NoErr(err)
	eventually(t, "the log names it", func() bool { _, noted := lead.FindStream(id); return noted })
	lead.set(func() { lead.lead.Leading = false })
	eventually(t, "a host that does not lead tells it", func() bool { r := ask(); return !r.Leading && r.Known && r.Release == "v2" })
	told := poison.Key("k").Fingerprint([]byte("told"))
	_, err = c.findStream(t.Context(), wire.StreamParams{Host: "e", Began: []release.Origin{{Stream: told, Release: "v1"}}})
	is.NoErr(err)
	lead.set(func() { lead.lead.Leading, lead.lead.Term = true, 4 })
	eventually(t, "the next leader tells it", func() bool { r := ask(); return r.Leading && r.Known && r.Release == "v2" })
	eventually(t, "the log names what this host was told meanwhile", func() bool { n, noted := lead.FindStream(told); return noted && n == "v1" })
}

// Guards against streams that the log does not name as a commit has failed.
func TestFailedNoteIsRepeated(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1e6, 0)
	var s streamOrigins
	s.startLeading(now, nil, nil, release.Origins{})
	for n := range maxNoted + 10 {
		s.report(now, wire.StreamParams{Began: []release.Origin{{Stream: poison.Key("k").Fingerprint([]byte{byte(n), byte(n >> 8)}), Release: "v1"}}})
	}
	first, due := s.takeUnnoted(now)
	is.True(due && len(first.origins) == maxNoted)
	_, due = s.takeUnnoted(now.Add(time.Second))
	is.True(!due) // the first is under way
	s.noted(first, errors.New("no quorum"))
	again, due := s.takeUnnoted(now.Add(time.Second))
	is.True(due)
	is.Equal(again.origins, first.origins)
	s.noted(again, nil)
	_, due = s.takeUnnoted(now.Add(time.Second + noteInterval - 1))
	is.True(!due)
	last, due := s.takeUnnoted(now.Add(time.Second + noteInterval))
	is.True(due && len(last.origins) == 10)
	s.startLeading(now, nil, nil, release.Origins{})
	s.noted(last, errors.New("of an earlier leadership"))
	_, due = s.takeUnnoted(now.Add(time.Minute))
	is.True(!due)
}
