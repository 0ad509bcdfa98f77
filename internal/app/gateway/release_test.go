package gateway

import (
	"bufio"
	"fmt"
	"net"
	"net/http"
	"strconv"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/cassiapass/cassiapass/internal/core/deploy"
	"github.com/cassiapass/cassiapass/internal/core/release"
)

// releaseEndpoint writes four events, each of which names its release. If breaks is set, it breaks off
// after two of those that are asked for.
func releaseEndpoint(t *testing.T, name string, breaks bool) *fakeEndpoint {
	t.Helper()
	return newFakeEndpoint(t, func(_ *bufio.Reader, c net.Conn, r *http.Request, _ []byte) bool {
		head(c, r)
		last, _ := strconv.Atoi(r.Header.Get("Last-Event-Id"))
		for i := last + 1; i <= 4; i++ {
			if breaks && i == last+3 {
				return false
			}
			chunk(c, fmt.Sprintf("id: %d\ndata: %s\n\n", i, name))
		}
		_, _ = c.Write([]byte("0\r\n\r\n"))
		return true
	})
}

// startReleases runs a gateway before endpoints of the given releases. The first is in the entry's own
// zone and so the first choice.
func startReleases(t *testing.T, names []string, bs ...*fakeEndpoint) *Gateway {
	t.Helper()
	g := startGateway(t, bs...)
	publishSuspects(g, 1)
	eps := listed(bs...)
	for i := range eps {
		eps[i].Release = release.Name(names[i])
		if i > 0 {
			eps[i].Slots = 1
		}
	}
	g.dir.replace(1, 2, eps)
	return g
}

func releaseEvents(from, to int, name string) string {
	out := ""
	for i := from; i <= to; i++ {
		out += fmt.Sprintf("id: %d\ndata: %s\n\n", i, name)
	}
	return out
}

// Guards against an answer whose events come from two releases: the stream breaks off, and another
// release would go on with it.
func TestBrokenStreamGoesOnAtItsReleaseOnly(t *testing.T) {
	for range 6 { // the choice of endpoints is random
		is := is.New(t)
		g := startReleases(t, []string{"v1", "v2", "v1"}, releaseEndpoint(t, "v1", true), releaseEndpoint(t, "v2", true), releaseEndpoint(t, "v1", false))
		got := dial(t, g).ask("POST", "/resume/", "r1", "x")
		for _, name := range []string{"v1", "v2"} {
			if got.body[:len(releaseEvents(1, 1, name))] == releaseEvents(1, 1, name) {
				is.Equal(got.body, releaseEvents(1, len(got.body)/len(releaseEvents(1, 1, name)), name))
			}
		}
	}
}

// Guards against a caller who waits for a release that nothing serves any more.
func TestBrokenStreamOfAReleaseWithoutEndpointsIsCutAtOnce(t *testing.T) {
	is := is.New(t)
	a, b := releaseEndpoint(t, "v1", true), releaseEndpoint(t, "v2", true)
	g := startReleases(t, []string{"v1", "v2"}, a, b)
	begin := time.Now()
	got := dial(t, g).ask("POST", "/resume/", "r1", "x")
	is.True(got.err != nil)
	is.True(time.Since(begin) < time.Second)
	is.Equal(a.arrivals()+b.arrivals(), 1)
}

// Guards against a caller's second try that another release goes on with, or that nobody goes on with
// though the release is known.
func TestTakenUpStreamGoesOnAtItsReleaseOnly(t *testing.T) {
	is := is.New(t)
	bs := []*fakeEndpoint{releaseEndpoint(t, "v1", false), releaseEndpoint(t, "v2", false), releaseEndpoint(t, "v1", false), releaseEndpoint(t, "v2", false)}
	g := startReleases(t, []string{"v1", "v2", "v1", "v2"}, bs...)
	for i := range 8 {
		id := fmt.Sprint("r", i)
		first := dial(t, g).ask("POST", "/resume/", id, "x").body
		name := first[len("id: 1\ndata: "):][:2]
		got := dial(t, g).ask("POST", "/resume/", id+"b", "x", "Resumes: "+id, "Last-Event-Id: 2")
		is.Equal(got.body, releaseEvents(3, 4, name))
	}
	before := bs[0].arrivals() + bs[1].arrivals() + bs[2].arrivals() + bs[3].arrivals()
	for i, fields := range [][]string{
		{"Last-Event-Id: 2"}, {"Last-Event-Id: 2", "Resumes: never-seen"}, {"Resumes: never-seen"}, {"Resumes: own", "Last-Event-Id: 2"},
	} {
		id := fmt.Sprint("u", i)
		if i == 3 {
			id = "own"
		}
		got := dial(t, g).ask("POST", "/resume/", id, "x", fields...)
		is.Equal(got.status, http.StatusServiceUnavailable)
		is.True(got.header.Get("Retry-After") != "")
	}
	is.Equal(bs[0].arrivals()+bs[1].arrivals()+bs[2].arrivals()+bs[3].arrivals(), before)
}

// One release alone served for as long as a stream lasts: whoever began it, it goes on.
func TestTakenUpStreamGoesOnWhereOneReleaseServes(t *testing.T) {
	for _, names := range [][]string{{"v1", "v1"}, {"", ""}} {
		is := is.New(t)
		g := startReleases(t, names, releaseEndpoint(t, "v1", false), releaseEndpoint(t, "v1", false))
		got := dial(t, g).ask("POST", "/resume/", "r1", "x", "Resumes: never-seen", "Last-Event-Id: 2")
		is.Equal(got.status, 503) // no leader, and the list is old: another release may serve
		now := time.Now()
		g.dir.recordShown(now)
		got = dial(t, g).ask("POST", "/resume/", "r1", "x", "Resumes: never-seen", "Last-Event-Id: 2")
		is.Equal(got.status, 503)             // and it has just started
		g.streams.history = release.History{} // as if it had not
		for at := now.Add(-release.StreamLife); !at.After(now); at = at.Add(release.ListGap) {
			g.streams.listed(at, at, g.dir.byID)
		}
		g.dir.recordShown(time.Now())
		got = dial(t, g).ask("POST", "/resume/", "r2", "x", "Resumes: never-seen", "Last-Event-Id: 2")
		is.Equal(got.status, 200)
		is.Equal(got.body, releaseEvents(3, 4, "v1"))
	}
}

// Guards against streams of two releases in one: without a leader, entries that list a new release begin
// streams there that others, whose lists are older, take for streams of the one they know.
func TestStreamsBeginOnlyWhereTheLeaderLetsThem(t *testing.T) {
	is := is.New(t)
	a, b := releaseEndpoint(t, "v1", false), releaseEndpoint(t, "v2", false)
	g := startReleases(t, []string{"v1"}, a)
	eps := listed(a, b)
	eps[0].Release, eps[1].Release = "v1", "v2"
	g.dir.applyList(time.Now(), eps) // read by the entry itself
	for i := range 20 {
		is.Equal(dial(t, g).ask("POST", "/resume/", fmt.Sprint("r", i), "x").body, releaseEvents(1, 4, "v1"))
	}
	is.Equal(b.arrivals(), 0)
	for i := range 20 {
		dial(t, g).ask("POST", "/stream/", fmt.Sprint("s", i), "x") // nobody takes it up
	}
	is.True(b.arrivals() > 0)
	g.dir.replace(1, 3, eps[1:]) // the leader's word
	is.Equal(dial(t, g).ask("POST", "/resume/", "last", "x").body, releaseEvents(1, 4, "v2"))
}

// Guards against a caller that is refused as its stream's release is new, and no other serves: it waits
// for the leader's word.
func TestStreamWaitsForItsReleaseToSettle(t *testing.T) {
	is := is.New(t)
	b := releaseEndpoint(t, "v2", false)
	g := startReleases(t, []string{"v2"}, b)
	eps := listed(b)
	eps[0].Release, eps[0].Unsettled = "v2", true
	g.dir.replace(1, 3, eps)
	time.AfterFunc(300*time.Millisecond, func() {
		settled := listed(b)
		settled[0].Release = "v2"
		g.dir.update(1, 4, settled, nil)
	})
	is.Equal(dial(t, g).ask("POST", "/resume/", "r", "x").body, releaseEvents(1, 4, "v2"))
}

// Guards against streams of two releases in one: an entry that has just started, with a deployment but
// without a leader's word on releases, begins streams at a release that the log does not name.
func TestNoStreamBeginsBeforeALeadersWordOnReleases(t *testing.T) {
	is := is.New(t)
	a := releaseEndpoint(t, "v2", false)
	g, err := New(testConfig())
	is.NoErr(err)
	t.Cleanup(g.Kill)
	g.table.Store(deploy.NewTable(testDeployment()))
	publishSuspects(g, 1)
	eps := listed(a)
	eps[0].Release = "v2"
	g.dir.applyList(time.Now(), eps) // read by the entry itself
	is.Equal(dial(t, g).ask("POST", "/resume/", "r", "x").status, http.StatusServiceUnavailable)
	is.Equal(a.arrivals(), 0)
	is.Equal(dial(t, g).ask("POST", "/stream/", "s", "x").status, http.StatusOK) // nobody takes it up
	g.dir.replace(1, 1, eps)
	is.Equal(dial(t, g).ask("POST", "/resume/", "r2", "x").body, releaseEvents(1, 4, "v2"))
}

// Guards against streams of two releases in one: a caller comes back after the release that began its
// stream has been forgotten.
func TestOnlyReleaseIsNotInferredForLongRoutes(t *testing.T) {
	for _, c := range []struct {
		limit  time.Duration
		status int
	}{{release.MaxTries, http.StatusOK}, {release.MaxTries + time.Millisecond, http.StatusServiceUnavailable}} {
		is := is.New(t)
		a := releaseEndpoint(t, "v1", false)
		g := startReleases(t, []string{"v1"}, a)
		d := testDeployment()
		for i := range d.Routes {
			d.Routes[i].Timeout = c.limit
		}
		g.table.Store(deploy.NewTable(d))
		now := time.Now()
		g.streams.history = release.History{}
		for at := now.Add(-release.StreamLife); !at.After(now); at = at.Add(release.ListGap) {
			g.streams.listed(at, at, g.dir.byID)
		}
		g.dir.recordShown(time.Now())
		is.Equal(dial(t, g).ask("POST", "/resume/", "r", "x", "Resumes: never-seen", "Last-Event-Id: 2").status, c.status)
		is.Equal(len(g.streams.pending), 0) // while one release serves nobody is told
	}
}
