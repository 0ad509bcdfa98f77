package gateway

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/cassiapass/cassiapass/internal/core/deploy"
	"github.com/cassiapass/cassiapass/internal/core/feature"
	"github.com/cassiapass/cassiapass/internal/core/release"
	"github.com/cassiapass/cassiapass/internal/core/standby"
)

// minQueued is longer than an endpoint may be silent.
const minQueued = 900 * time.Millisecond

// lastPiece is the number of events of a run of the fake engines.
const lastPiece = 6

// errUnread has an engine leave a move unread.
var errUnread = errors.New("not read")

// engineFault is what an engine does to the runs that begin there.
type engineFault struct {
	at   int    // after this many events; the fault happens once
	how  string // "end", "end within", "reset", "mute", "dark" (mute, and takes no connections), "queue", "pause"
	used bool
}

// engines are fake engines that copy the memory of runs, and check what may run.
type engines struct {
	t  *testing.T
	bs []*fakeEndpoint

	mu       sync.Mutex
	faults   map[string]*engineFault // by address
	copies   map[string]bool         // HOLDER/REQUEST, or SOURCE/HANDLE
	noCopies bool
	random   func(id string, piece int) string // instead of faults
	answers  func(id string) error             // to moves, instead of the true ones
	healthy  bool                              // engines answer on their health path whatever else they leave unanswered
	skip     bool                              // runs that go on leave one event out
	fresh    map[string]int                    // runs begun without a copy, by request
	running  map[string]string                 // address at which a request runs
	stop     map[string]chan struct{}
	moves    []string
	dark     map[string]bool // addresses that cannot be reached
	lost     map[string]bool // addresses of engines that end when held runs go on
	held     chan struct{}   // closed when held runs go on
}

func newEngines(t *testing.T, n int) *engines {
	w := &engines{t: t, faults: map[string]*engineFault{}, copies: map[string]bool{}, fresh: map[string]int{}, running: map[string]string{}, stop: map[string]chan struct{}{}, dark: map[string]bool{}, lost: map[string]bool{}, held: make(chan struct{})}
	for range n {
		var b *fakeEndpoint
		b = newFakeEndpoint(t, func(_ *bufio.Reader, c net.Conn, r *http.Request, _ []byte) bool { return w.serve(b, c, r) })
		w.bs = append(w.bs, b)
	}
	return w
}

// fault has the engine at which the next run begins fail.
func (w *engines) fault(f engineFault) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, b := range w.bs {
		w.faults[b.l.Addr().String()] = &f
	}
}

// begin begins a run, from a copy if the request names one; false if that does not exist.
func (w *engines) begin(addr string, r *http.Request) (stop chan struct{}, ok bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	id, from := r.Header.Get("Id"), r.Header.Get("Go-On-From")
	if from != "" {
		if !w.copies[from] {
			return nil, false
		}
		delete(w.copies, from)
	} else {
		w.fresh[id]++
	}
	if w.fresh[id] > 1 && from == "" && w.random != nil {
		w.t.Errorf("%s was begun twice", id)
	}
	if at := w.running[id]; at != "" {
		w.t.Errorf("%s begins at %s while it runs at %s", id, addr, at)
	}
	w.running[id], w.stop[id] = addr, make(chan struct{})
	if to := r.Header.Get("Backup-To"); to != "" && !w.noCopies {
		if to == addr {
			w.t.Errorf("%s is its own holder", addr)
		}
		w.copies[to+"/"+id] = true
	}
	return w.stop[id], true
}

func (w *engines) end(id string, complete bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	delete(w.running, id)
	for c := range w.copies {
		if complete && strings.HasSuffix(c, "/"+id) {
			delete(w.copies, c)
		}
	}
}

func (w *engines) takeFault(addr, id string, piece int) string {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.random != nil {
		return w.random(id, piece)
	}
	f := w.faults[addr]
	if f == nil || f.used || f.at != piece {
		return ""
	}
	f.used = true
	return f.how
}

func (w *engines) serve(b *fakeEndpoint, c net.Conn, r *http.Request) bool {
	addr, id := b.l.Addr().String(), r.Header.Get("Id")
	stop, ok := w.begin(addr, r)
	if !ok {
		return reply(c, r, http.StatusServiceUnavailable, "", "Not-Run: 1")
	}
	last, _ := strconv.Atoi(r.Header.Get("Last-Event-Id"))
	if w.skip && last > 0 {
		last++
	}
	switch w.takeFault(addr, id, -1) { // before the head
	case "mute":
		<-stop
		return false
	case "queue": // not begun yet
		w.end(id, false)
		time.Sleep(minQueued)
	}
	_, _ = fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nId: %s\r\nSignature: %s\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n", id, addr)
	for i := last; ; i++ {
		switch w.takeFault(addr, id, i) {
		case "end late":
			time.Sleep(550 * time.Millisecond)
			_ = b.l.Close()
			w.end(id, false)
			return false
		case "end":
			_ = b.l.Close()
			w.end(id, false)
			return false
		case "end within":
			chunk(c, event(i + 1)[:9])
			_ = b.l.Close()
			w.end(id, false)
			return false
		case "within":
			chunk(c, event(i + 1)[:9])
			w.end(id, false)
			return false
		case "lost": // the engine works on
			_ = c.Close()
			select {
			case <-stop:
			case <-time.After(50 * time.Millisecond):
				w.end(id, true)
			}
			return false
		case "reset":
			w.end(id, false) // as engines do whose connection is closed
			return false
		case "dark":
			w.mu.Lock()
			w.dark[addr] = true
			_ = b.l.Close()
			delete(w.running, id) // a host that has ended without closing its connections
			w.mu.Unlock()
			<-stop
			return false
		case "mute":
			<-stop
			return false
		case "hold":
			select {
			case <-stop:
				return false
			case <-w.held:
			}
			if w.lost[addr] {
				_ = b.l.Close()
				w.end(id, false)
				return false
			}
		case "pause":
			select {
			case <-stop:
				return false
			case <-time.After(300 * time.Millisecond):
			}
		}
		if i == lastPiece {
			break
		}
		chunk(c, event(i+1))
		time.Sleep(2 * time.Millisecond)
	}
	w.end(id, true)
	_, _ = c.Write([]byte("0\r\n\r\n"))
	return true
}

// MoveRun implements RunMover.
func (w *engines) MoveRun(_ context.Context, _, source, request, _ string, last bool) (MovedRun, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.moves = append(w.moves, request)
	if w.dark[source] {
		return MovedRun{}, ErrNotReached
	}
	if w.answers != nil {
		switch err := w.answers(request); {
		case errors.Is(err, errUnread):
			return MovedRun{}, ErrNoAnswer
		case errors.Is(err, ErrReplaced), errors.Is(err, ErrNoAnswer): // it has ended, or stops unheard
			if w.running[request] == source {
				close(w.stop[request])
				delete(w.running, request)
			}
			return MovedRun{}, err
		case err != nil:
			return MovedRun{}, err
		}
	}
	if w.running[request] != source {
		return MovedRun{}, ErrNoRun
	}
	if !last {
		if w.noCopies {
			return MovedRun{}, ErrNoRoom
		}
		return MovedRun{Handle: "h1" + request}, nil
	}
	close(w.stop[request])
	delete(w.running, request)
	w.copies[source+"/h1"+request] = true
	if w.noCopies {
		return MovedRun{Handle: "h1" + request}, ErrNoRoom
	}
	return MovedRun{Handle: "h1" + request}, nil
}

// asked returns how often an engine was asked to move a run.
func (w *engines) asked() int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return len(w.moves)
}

// Silent implements RunMover.
func (w *engines) Silent(context.Context, string, string) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return !w.healthy
}

// FreeCopy implements RunMover.
func (w *engines) FreeCopy(_ context.Context, addr, handle string) error {
	w.mu.Lock()
	defer w.mu.Unlock()
	delete(w.copies, addr+"/"+handle)
	return nil
}

// standbyDeployment is testDeployment with engines that copy and move runs, and routes on which one
// endpoint may run a request.
func standbyDeployment() *deploy.Config {
	d := testDeployment()
	d.Services["s"].HealthPath = "/health"
	d.Services["s"].Engine = &deploy.Engine{Slots: 4, KVTokens: 100000, Backups: true, Moves: true, KVTokenBytes: 1 << 17, LinkMbps: 260000}
	for i := range d.Routes {
		d.Routes[i].Objective, d.Routes[i].MaxGap, d.Routes[i].SilenceLimit = 100*time.Millisecond, 100*time.Millisecond, 2400*time.Millisecond
		if !d.Routes[i].Resumable {
			d.Routes[i].Attempts = 1
		}
	}
	return d
}

func startStandby(t *testing.T, w *engines, mode feature.Mode) *Gateway {
	t.Helper()
	cfg := testConfig()
	cfg.Features, cfg.Runs = feature.Settings{feature.Standby: mode, feature.Backups: mode}, w
	g, err := New(cfg)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(g.Kill)
	g.table.Store(deploy.NewTable(standbyDeployment()))
	g.raiseEntries(1)
	g.dir.replace(1, 1, listed(w.bs...))
	return g
}

// askStream sends a request whose run is expected to take 700 ms.
func askStream(t *testing.T, g *Gateway, path string) got {
	t.Helper()
	return dial(t, g).ask("POST", path, "r1", "x", "Model: m", "Output: 100")
}

// copiesLeft returns how many copies an entry counts once its requests have ended.
func copiesLeft(g *Gateway) int {
	for i := 0; ; i++ {
		g.standbys.mu.Lock()
		n, _ := g.standbys.ledger.Copies()
		g.standbys.mu.Unlock()
		if n == 0 || i == 100 {
			return n
		}
		time.Sleep(10 * time.Millisecond)
	}
}

// Guards against streams that end with their engine although another one holds the memory of the run.
func TestRunGoesOnFromItsCopyWhenItsEngineEnds(t *testing.T) {
	for path, runs := range map[string]int{"/stream/": 1, "/resume/": 2} { // a stream that may be resumed has no copy
		for _, f := range []engineFault{{at: 0, how: "end late"}, {at: 3, how: "end"}, {at: 3, how: "end within"}, {at: lastPiece, how: "end"}} {
			t.Run(fmt.Sprint(path, f.how, f.at), func(t *testing.T) {
				is := is.New(t)
				w := newEngines(t, 3)
				w.fault(f)
				g := startStandby(t, w, feature.On)
				got := askStream(t, g, path)
				is.NoErr(got.err)
				is.Equal(got.status, 200)
				is.Equal(got.body, events(1, lastPiece)) // no event twice or missing
				w.mu.Lock()
				defer w.mu.Unlock()
				is.Equal(w.fresh["r1"], runs)
				is.Equal(copiesLeft(g), 0)
			})
		}
	}
}

// Guards against a second run at a holder that has no copy yet, when the source ends as soon as the
// request has reached it.
func TestHolderIsNotAskedBeforeACopyCanBeThere(t *testing.T) {
	is := is.New(t)
	w := newEngines(t, 3)
	w.fault(engineFault{at: 0, how: "end"})
	g := startStandby(t, w, feature.On)
	got := askStream(t, g, "/stream/")
	is.True(got.err != nil || got.status >= 500)
	arrivals := 0
	for _, b := range w.bs {
		arrivals += b.arrivals()
	}
	is.Equal(arrivals, 1)
}

// Guards against a second run of a request that may run once, when its engine ends and no copy of its
// memory is there, or its holder has ended as well.
func TestRunWithoutCopyEndsCut(t *testing.T) {
	for _, name := range []string{"no copy", "both end", "one holder only", "holder leaves"} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			w := newEngines(t, 2)
			w.noCopies = name == "no copy"
			w.fault(engineFault{at: 3, how: "end"})
			g := startStandby(t, w, feature.On)
			eps := listed(w.bs...)
			switch name {
			case "both end":
				for _, b := range w.bs { // the first takes the connection that is open already
					addr := b.l.Addr().String()
					w.faults[addr] = &engineFault{at: 3, how: "end"}
				}
			case "one holder only":
				eps[1].Held = nil
				g.dir.replace(1, 2, eps)
			case "holder leaves":
				w.fault(engineFault{at: 3, how: "mute"})
			}
			c := dial(t, g)
			c.send("POST", "/stream/", "r1", "x", "Model: m", "Output: 100")
			if name == "holder leaves" {
				time.Sleep(50 * time.Millisecond)
				source := 0
				if w.bs[1].arrivals() > 0 {
					source = 1
				}
				eps[1-source].Leaving = true
				g.dir.replace(1, 2, eps)
				_ = w.bs[source].l.Close()
				w.end("r1", false)
				close(w.stop["r1"])
			}
			got := c.receive()
			is.True(got.err != nil)
			is.Equal(got.body, events(1, 3))
			w.mu.Lock()
			defer w.mu.Unlock()
			is.Equal(w.fresh["r1"], 1)
		})
	}
}

// Guards against a change for deployments that do not use copies: bytes of streams that may not be
// resumed are forwarded as they come, nothing is copied, and a broken stream ends cut.
func TestStreamsAreForwardedAsBeforeWithoutStandby(t *testing.T) {
	is := is.New(t)
	w := newEngines(t, 2)
	w.fault(engineFault{at: 3, how: "end within"})
	g := startStandby(t, w, feature.Off)
	got := askStream(t, g, "/stream/")
	is.True(got.err != nil)
	is.Equal(got.body, events(1, 3)+event(4)[:9])
	is.Equal(len(w.copies), 0)
	is.Equal(w.asked(), 0)
}

// Guards against two releases in one stream.
func TestCopyLiesAtTheSameReleaseOnly(t *testing.T) {
	is := is.New(t)
	w := newEngines(t, 2)
	w.fault(engineFault{at: 3, how: "end"})
	g := startStandby(t, w, feature.On)
	eps := listed(w.bs...)
	eps[0].Release, eps[1].Release = release.Name("v1"), release.Name("v2")
	g.dir.replace(1, 2, eps)
	is.True(askStream(t, g, "/stream/").err != nil)
	is.Equal(len(w.copies), 0)
}

// Guards against two runs at once: the answer is lost while the engine lives. It is asked to stop the
// run, which ended there with its connection, and a route for one endpoint allows no other beside it.
func TestBrokenStreamOfALivingEngineEndsCut(t *testing.T) {
	is := is.New(t)
	w := newEngines(t, 3)
	w.fault(engineFault{at: 3, how: "reset"})
	g := startStandby(t, w, feature.On)
	got := askStream(t, g, "/stream/")
	is.True(got.err != nil)
	is.Equal(got.body, events(1, 3))
	is.Equal(w.fresh["r1"], 1)
	is.Equal(w.asked(), 1)
}

// Guards against callers that leave a silent stream while its engine works on: the run is stopped there
// and goes on, at the engine itself where the route allows no other beside it.
func TestSilentRunGoesOn(t *testing.T) {
	for _, c := range []struct {
		path, how string
		at        int
		engines   int // at which the request arrives
	}{
		{"/stream/", "mute", -1, 1}, {"/stream/", "mute", 0, 1}, {"/stream/", "mute", 3, 1}, {"/resume/", "mute", 3, 2},
		{"/stream/", "dark", 0, 2}, {"/stream/", "dark", 3, 2}, {"/stream/", "queue", -1, 1},
	} {
		t.Run(fmt.Sprint(c.path, c.how, c.at), func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			w := newEngines(t, 3)
			w.fault(engineFault{at: c.at, how: c.how})
			g := startStandby(t, w, feature.On)
			got := askStream(t, g, c.path)
			is.NoErr(got.err)
			is.Equal(got.body, events(1, lastPiece))
			is.Equal(copiesLeft(g), 0)
			w.mu.Lock()
			defer w.mu.Unlock()
			is.Equal(w.fresh["r1"], 1)
			n := 0
			for _, b := range w.bs {
				n += min(1, b.arrivals())
			}
			is.Equal(n, c.engines)
		})
	}
}

// Guards against a model that only one engine holds: a silent run there goes on at that engine, its
// memory handed to one that cannot run it, or to none.
func TestSilentRunGoesOnAtTheOnlyHolder(t *testing.T) {
	for _, noCopies := range []bool{false, true} {
		is := is.New(t)
		w := newEngines(t, 2)
		w.noCopies = noCopies
		w.fault(engineFault{at: 3, how: "mute"})
		g := startStandby(t, w, feature.On)
		eps := listed(w.bs...)
		eps[1].Held = nil
		g.dir.replace(1, 2, eps)
		got := askStream(t, g, "/stream/")
		is.NoErr(got.err)
		is.Equal(got.body, events(1, lastPiece))
		is.Equal(w.bs[0].arrivals(), 2)
	}
}

// Guards against moves without the feature.
func TestSilentRunStaysWithoutStandby(t *testing.T) {
	is := is.New(t)
	w := newEngines(t, 2)
	w.fault(engineFault{at: 3, how: "mute"})
	g := startStandby(t, w, feature.Off)
	c := dial(t, g)
	c.send("POST", "/stream/", "r1", "x", "Model: m", "Output: 100")
	time.Sleep(minQueued)
	is.Equal(w.asked(), 0)
	w.mu.Lock()
	close(w.stop["r1"])
	w.mu.Unlock()
	is.True(c.receive().err != nil)
}

func TestMissingEventsAreSeenWhereIdsCount(t *testing.T) {
	for _, c := range []struct {
		ids     string
		missing bool // at the last one
	}{
		{"1 2 3", false}, {"1 2 4", true}, {"7 8 9 11", true}, {"1 3", false}, {"1 3 5 9", false}, {"a 1 2 4", false}, {"1 2 x", false}, {"", false},
	} {
		var o eventOrder
		missing := false
		for _, id := range strings.Fields(c.ids) {
			missing = o.next(id)
		}
		if missing != c.missing {
			t.Errorf("%q: %v", c.ids, missing)
		}
	}
}

// Guards against a gap in a stream: the holder goes on after a later event than the caller has.
func TestRunThatGoesOnWithAGapEndsCut(t *testing.T) {
	is := is.New(t)
	w := newEngines(t, 2)
	w.skip = true
	w.fault(engineFault{at: 3, how: "end"})
	got := askStream(t, startStandby(t, w, feature.On), "/stream/")
	is.True(got.err != nil)
	is.Equal(got.body, events(1, 3))
}

// Guards against streams that are cut at an engine whose removal was announced. Runs that can end there
// stay, as do those that no other engine has room for.
func TestRunsAreMovedFromAnEngineThatIsRemoved(t *testing.T) {
	for _, c := range []struct {
		name     string
		stays    time.Duration
		noCopies bool
		moved    bool
	}{{"too soon", 500 * time.Millisecond, false, true}, {"in time", 10 * time.Second, false, false}, {"no room elsewhere", 500 * time.Millisecond, true, false}} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			w := newEngines(t, 2)
			w.noCopies = c.noCopies
			w.fault(engineFault{at: 3, how: "pause"})
			g := startStandby(t, w, feature.On)
			caller := dial(t, g)
			caller.send("POST", "/stream/", "r1", "x", "Model: m", "Output: 100")
			time.Sleep(50 * time.Millisecond)
			eps := listed(w.bs...)
			source := min(1, w.bs[1].arrivals())
			eps[source].Leaving, eps[source].RemovedIn = true, c.stays
			g.dir.replace(1, 2, eps)
			got := caller.receive()
			is.NoErr(got.err)
			is.Equal(got.body, events(1, lastPiece))
			is.Equal(w.bs[1-source].arrivals() > 0, c.moved)
			w.mu.Lock()
			defer w.mu.Unlock()
			is.Equal(w.fresh["r1"], 1)
		})
	}
}

// Guards against a second run, two runs at once, and events twice or missing, under random faults and
// answers to moves. Each stream is a prefix of the run, and whole if it looks so.
func TestRandomFaultsKeepOneRunAndTheOrderOfEvents(t *testing.T) {
	w := newEngines(t, 3)
	r := rand.New(rand.NewPCG(59, 1))
	kinds := []string{"reset", "within", "lost", "mute"}
	w.random = func(string, int) string {
		if r.IntN(8) > 0 {
			return ""
		}
		return kinds[r.IntN(len(kinds))]
	}
	w.answers = func(string) error {
		return []error{nil, nil, nil, ErrReplaced, ErrNoAnswer, ErrNotMoved, ErrNoRun, ErrNotReached}[r.IntN(8)]
	}
	g := startStandby(t, w, feature.On)
	eps := listed(w.bs...)
	for i := range eps {
		eps[i].Slots = 300
	}
	g.dir.replace(1, 2, eps)
	var wg sync.WaitGroup
	var mu sync.Mutex
	whole, cut := 0, 0
	for i := range 300 {
		c := dial(t, g)
		c.send("POST", "/stream/", fmt.Sprint("r", i), "x", "Model: m", "Output: 100", "Left: 3000")
		wg.Go(func() {
			resp, err := http.ReadResponse(c.br, nil)
			if err != nil {
				return // closed without a head
			}
			b, err := io.ReadAll(resp.Body)
			mu.Lock()
			defer mu.Unlock()
			switch {
			case resp.StatusCode != http.StatusOK:
			case err == nil && string(b) == events(1, lastPiece):
				whole++
			case err != nil && strings.HasPrefix(events(1, lastPiece), string(b)):
				cut++
			default:
				t.Errorf("stream %d: %q, %v", i, b, err)
			}
		})
		time.Sleep(time.Millisecond)
	}
	wg.Wait()
	t.Logf("%d whole, %d cut", whole, cut)
	if whole == 0 || cut == 0 {
		t.Error("the faults left nothing to check")
	}
}

// Guards against two engines that work on one run: an engine fails single requests, moves among them, and
// works on although the connection is closed. One that answers nothing at all is left for the copy.
func TestSilentRunStaysAtAnEngineThatAnswersOthers(t *testing.T) {
	for _, healthy := range []bool{true, false} {
		is := is.New(t)
		w := newEngines(t, 2)
		w.healthy = healthy
		w.fault(engineFault{at: 3, how: "mute"})
		w.answers = func(string) error { return ErrNoAnswer }
		if healthy {
			w.answers = func(string) error { return fmt.Errorf("%w, and works on", errUnread) }
		}
		g := startStandby(t, w, feature.On)
		got := dial(t, g).ask("POST", "/stream/", "r1", "x", "Model: m", "Output: 100", "Left: 1500")
		is.Equal(got.err != nil, healthy)
		is.Equal(min(1, w.bs[0].arrivals())+min(1, w.bs[1].arrivals()) == 1, healthy)
	}
}

// Guards against two engines that work on one run: an engine with too many connections closes new ones,
// which looks like its end, and works on.
func TestEngineThatClosesNewConnectionsLives(t *testing.T) {
	is := is.New(t)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			_ = c.Close()
		}
	}()
	is.Equal(confirmSource(l.Addr().String()), standby.Alive)
	is.NoErr(l.Close())
	is.Equal(confirmSource(l.Addr().String()), standby.Ended)
}
