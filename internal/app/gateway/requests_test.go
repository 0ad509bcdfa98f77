package gateway

import (
	"bufio"
	"net"
	"net/http"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/cassiapass/cassiapass/internal/core/fleet"
)

func TestAnswerIsForwardedUnchanged(t *testing.T) {
	is := is.New(t)
	b := newFakeEndpoint(t, func(_ *bufio.Reader, c net.Conn, r *http.Request, body []byte) bool {
		return reply(c, r, 404, "echo:"+string(body), "Signature: abc", "Keep-Alive: timeout=9", "Server-Says: hi")
	})
	g := startGateway(t, b)
	a := dial(t, g).ask("POST", "/once/x?y=%2f", "r1", "body", "Other: kept", "Connection: Hop", "Hop: not passed")
	is.Equal(a.status, 404)
	is.Equal(a.body, "echo:body")
	is.Equal(a.header.Get("Signature"), "abc")
	is.Equal(a.header.Get("Server-Says"), "hi")
	is.Equal(a.header.Get("Keep-Alive"), "") // concerns the endpoint's connection only
	seen := b.seen[0]
	is.Equal(seen.RequestURI, "/once/x?y=%2f")
	is.Equal(seen.Header.Get("Other"), "kept")
	is.Equal(seen.Header.Get("Hop"), "")
	is.Equal(seen.Header.Get("Target"), "e0")
}

func TestUnknownRouteAndUnknownDeployment(t *testing.T) {
	is := is.New(t)
	g := startGateway(t, newFakeEndpoint(t, answerOK))
	is.Equal(dial(t, g).ask("GET", "/none/", "r1", "").status, 404)
	is.Equal(dial(t, g).ask("GET", "/safe/", "", "").status, 400)
	g.table.Store(nil)
	a := dial(t, g).ask("GET", "/none/", "r2", "")
	is.Equal(a.status, 503) // the routes are not known yet
	is.True(a.header.Get("Retry-After") != "")
}

// Guards against an operation that runs twice: the endpoint receives the request and closes
// the connection, and the request, which may have run, is sent again.
func TestOnceRequestIsNotResentWhenItMayHaveRun(t *testing.T) {
	is := is.New(t)
	closeConn := func(*bufio.Reader, net.Conn, *http.Request, []byte) bool { return false }
	a, b := newFakeEndpoint(t, closeConn), newFakeEndpoint(t, closeConn)
	g := startGateway(t, a, b)
	got := dial(t, g).ask("POST", "/once/", "r1", "x")
	is.Equal(got.status, 502) // the outcome is unknown
	is.Equal(a.arrivals()+b.arrivals(), 1)
	got = dial(t, g).ask("GET", "/safe/", "r2", "")
	is.Equal(got.status, 502)
	is.Equal(a.arrivals()+b.arrivals(), 3) // two attempts, as the route allows
}

// Guards against a GET that runs three times though the route allows two attempts: a kept
// connection is closed under a request, and the standard client repeats such a request by
// itself.
func TestClosedKeptConnectionCausesNoImplicitRetry(t *testing.T) {
	is := is.New(t)
	first := true
	b := newFakeEndpoint(t, func(_ *bufio.Reader, c net.Conn, r *http.Request, _ []byte) bool {
		if first {
			first = false
			return reply(c, r, 200, "ok")
		}
		return false
	})
	g := startGateway(t, b)
	c := dial(t, g)
	is.Equal(c.ask("GET", "/safe/", "r1", "").status, 200)
	is.Equal(c.ask("GET", "/safe/", "r2", "").status, 502)
	is.Equal(b.arrivals(), 2) // the second was sent once: its only endpoint is tried
}

// Guards against status 502 for a request that no endpoint ran, so that its caller gives it
// up: the first endpoint answers that it did not run it, which makes a second send safe.
func TestNotRunIsSentToAnotherEndpoint(t *testing.T) {
	is := is.New(t)
	full := func(_ *bufio.Reader, c net.Conn, r *http.Request, _ []byte) bool {
		return reply(c, r, 503, "", "Not-Run: 1")
	}
	a, b := newFakeEndpoint(t, full), newFakeEndpoint(t, answerOK)
	g := startGateway(t, a, b)
	for i := range 8 {
		is.Equal(dial(t, g).ask("POST", "/once/", "r"+strconv.Itoa(i), "x").status, 200)
	}
	is.Equal(b.arrivals(), 8)
}

func TestAllFullIsRefusedWithRetryAfter(t *testing.T) {
	is := is.New(t)
	full := func(_ *bufio.Reader, c net.Conn, r *http.Request, _ []byte) bool {
		return reply(c, r, 503, "", "Not-Run: 1")
	}
	g := startGateway(t, newFakeEndpoint(t, full), newFakeEndpoint(t, full))
	begin := time.Now()
	a := dial(t, g).ask("POST", "/once/", "r1", "x")
	is.Equal(a.status, 503)
	wait, err := strconv.ParseFloat(a.header.Get("Retry-After"), 64)
	is.NoErr(err)
	is.True(wait > 0)
	is.True(time.Since(begin) < time.Second) // at once, not at the time limit
}

// Guards against a caller that receives another caller's answer: an endpoint sends an extra
// answer after a complete one, at once or where the next answer is expected, and the bytes
// on the kept connection are read as the next answer.
func TestStrayAnswersReachNoCaller(t *testing.T) {
	is := is.New(t)
	stray := "HTTP/1.1 200 OK\r\nId: other\r\nContent-Length: 5\r\n\r\nstray"
	n := 0
	b := newFakeEndpoint(t, func(_ *bufio.Reader, c net.Conn, r *http.Request, _ []byte) bool {
		n++
		if n%2 == 0 {
			_, _ = c.Write([]byte(stray)) // before the answer that is due
		}
		ok := reply(c, r, 200, "mine:"+r.Header.Get("Id"))
		if n%3 == 0 {
			_, _ = c.Write([]byte(stray)) // after it
		}
		return ok
	})
	g := startGateway(t, b)
	c := dial(t, g)
	for i := range 24 {
		id := "r" + strconv.Itoa(i)
		a := c.ask("POST", "/once/", id, "x")
		is.Equal(a.status, 200)
		is.Equal(a.body, "mine:"+id)
	}
}

// Guards against an endpoint that reads the end of a long body as a request: it answers
// before it has read the body and keeps the connection, which is used for the next request
// before the body is sent.
func TestEarlyAnswerEndsTheConnection(t *testing.T) {
	is := is.New(t)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	defer l.Close()
	lines := make(chan string, 64)
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go func() {
				defer c.Close()
				br := bufio.NewReader(c)
				for {
					line, err := br.ReadString('\n')
					if err != nil {
						return
					}
					lines <- line
					id := ""
					for line != "\r\n" {
						line, err = br.ReadString('\n')
						if err != nil {
							return
						}
						if v, ok := strings.CutPrefix(line, "Id: "); ok {
							id = strings.TrimSpace(v)
						}
					}
					_, _ = c.Write([]byte("HTTP/1.1 413 X\r\nId: " + id + "\r\nContent-Length: 0\r\n\r\n"))
					time.Sleep(100 * time.Millisecond) // continues to read later
				}
			}()
		}
	}()
	b := &fakeEndpoint{l: l}
	g := startGateway(t, b)
	c := dial(t, g)
	long := strings.Repeat("y", 3<<20)
	is.Equal(c.ask("POST", "/once/", "r1", long).status, 413)
	is.Equal(c.ask("GET", "/safe/", "r2", "").status, 413)
	for range 2 {
		line := <-lines
		is.True(strings.HasSuffix(line, "HTTP/1.1\r\n")) // a request line, not the rest of a body
	}
}

// Guards against a request that, when sent again, runs longer than its caller waits: the
// first endpoint takes 300 ms and fails, and the second receives the time that was left at
// first, because it is computed only once.
func TestTimeLeftShrinksWithEachSend(t *testing.T) {
	is := is.New(t)
	lefts := make(chan int, 2)
	slow := func(_ *bufio.Reader, _ net.Conn, r *http.Request, _ []byte) bool {
		n, _ := strconv.Atoi(r.Header.Get("Left"))
		lefts <- n
		time.Sleep(300 * time.Millisecond)
		return false
	}
	g := startGateway(t, newFakeEndpoint(t, slow), newFakeEndpoint(t, slow))
	dial(t, g).ask("GET", "/safe/", "r1", "", "Left: 1500")
	first, second := <-lefts, <-lefts
	is.True(first <= 1500 && first > 1300)
	is.True(second <= first-290)
}

// Guards against an unbounded wait: the endpoint receives the request and never answers,
// and the caller waits for minutes.
func TestSilentEndpointIsAbandonedAtTheTimeLimit(t *testing.T) {
	is := is.New(t)
	b := newFakeEndpoint(t, func(br *bufio.Reader, _ net.Conn, _ *http.Request, _ []byte) bool {
		_, _ = br.ReadByte() // until the gateway closes the connection
		return false
	})
	g := startGateway(t, b)
	begin := time.Now()
	a := dial(t, g).ask("POST", "/once/", "r1", "x", "Left: 400")
	is.Equal(a.status, 504)
	is.True(time.Since(begin) < 600*time.Millisecond)
}

// Guards against endpoints that continue to work for callers that have left: the caller
// closes its connection while its request runs or waits, and nothing reads the connection
// meanwhile.
func TestCallerThatLeavesIsNoticed(t *testing.T) {
	is := is.New(t)
	hungUp := make(chan time.Time, 1)
	b := newFakeEndpoint(t, func(br *bufio.Reader, _ net.Conn, _ *http.Request, _ []byte) bool {
		_, _ = br.ReadByte()
		hungUp <- time.Now()
		return false
	})
	g := startGateway(t, b)
	c := dial(t, g)
	c.send("POST", "/stream/", "r1", "x")
	for b.arrivals() == 0 {
		time.Sleep(time.Millisecond)
	}
	left := time.Now()
	is.NoErr(c.c.Close())
	is.True((<-hungUp).Sub(left) < 300*time.Millisecond)
	for g.inflight.Load() > 0 {
		time.Sleep(time.Millisecond)
	}
	is.True(time.Since(left) < 500*time.Millisecond)
}

// Guards against refusing a request whose model is loaded in time: no endpoint holds the
// model; one that does is published 100 ms later.
func TestRequestWaitsForItsModel(t *testing.T) {
	is := is.New(t)
	b := newFakeEndpoint(t, answerOK)
	g := startGateway(t, b)
	c := dial(t, g)
	c.send("POST", "/stream/", "r1", "x", "Model: rare")
	for len(g.demands.report(time.Now())) == 0 {
		time.Sleep(time.Millisecond)
	}
	time.Sleep(100 * time.Millisecond)
	eps := listed(b)
	eps[0].Held = append(eps[0].Held, fleet.Held{Model: "rare"})
	g.dir.replace(1, 2, eps)
	is.Equal(c.receive().status, 200)

	begin := time.Now()
	a := dial(t, g).ask("POST", "/stream/", "r2", "x", "Model: never", "Left: 1000")
	is.Equal(a.status, 503) // the remaining time is left to the caller
	is.True(time.Since(begin) < 700*time.Millisecond)
	is.Equal(b.arrivals(), 1)
}

// Guards against cut streams that begin long after a stop was announced: requests that are
// accepted late cannot end before the process is killed. There is a request in progress,
// and requests on kept connections, one soon after the stop and one late.
func TestStopServesOnlyRequestsThatCanEnd(t *testing.T) {
	is := is.New(t)
	b := newFakeEndpoint(t, func(_ *bufio.Reader, c net.Conn, r *http.Request, _ []byte) bool {
		if r.Header.Get("Id") == "long" {
			time.Sleep(drainIdle + 500*time.Millisecond)
		}
		return reply(c, r, 200, "ok")
	})
	g := startGateway(t, b)
	g.table.Load().Config().Routes[0].Timeout = 10 * time.Second
	running, soon, late := dial(t, g), dial(t, g), dial(t, g)
	running.send("POST", "/once/", "long", "x", "Left: 10000")
	is.Equal(soon.ask("POST", "/once/", "r1", "x").status, 200)
	is.Equal(late.ask("POST", "/once/", "r2", "x").status, 200)
	done := make(chan struct{})
	begin := time.Now()
	go func() { g.Stop(4 * time.Second); close(done) }()
	time.Sleep(100 * time.Millisecond)
	is.True(g.Ready(t.Context()) != nil)
	a := soon.ask("POST", "/once/", "r3", "x")
	is.Equal(a.status, 200)
	is.True(a.closes)
	time.Sleep(time.Until(begin.Add(drainIdle - time.Second)))
	late.send("POST", "/once/", "r4", "x") // still in time
	is.Equal(late.receive().status, 200)
	time.Sleep(time.Until(begin.Add(drainIdle + 100*time.Millisecond)))
	refused := dial(t, g).ask("POST", "/once/", "r5", "x")
	is.Equal(refused.status, 503)
	is.True(refused.closes)
	is.Equal(running.receive().status, 200)
	<-done
}

// Guards against an unknown outcome (502) of a POST at the end of a planned stop: no request
// is in progress, one arrives before the process has ended, is begun and then cut off.
func TestRequestAtTheEndOfAStopIsNotStarted(t *testing.T) {
	is := is.New(t)
	b := newFakeEndpoint(t, answerOK)
	g := startGateway(t, b)
	g.stopping.Store(&stopWindow{time.Now(), time.Now().Add(time.Hour)})
	is.True(g.idle())
	// On a connection of its own: idle closes those that are open, and a request
	// that crosses the close is reset without having been read.
	a := dial(t, g).ask("POST", "/once/", "r1", "x")
	is.Equal(a.status, 503)
	is.True(a.closes)
	is.Equal(b.arrivals(), 0)
}

// Guards against a cut stream that was begun 6 s into a planned stop: a request waits for its
// model when the stop is announced, and the model is loaded shortly before the process ends.
// Requests that wait must be refused like those that arrive late.
func TestWaitingRequestIsRefusedInTimeByAStop(t *testing.T) {
	is := is.New(t)
	b := newFakeEndpoint(t, answerOK)
	g := startGateway(t, b)
	g.table.Load().Config().Routes[2].Timeout = 12 * time.Second
	c := dial(t, g)
	c.send("POST", "/stream/", "r1", "x", "Model: rare", "Left: 12000")
	for len(g.demands.report(time.Now())) == 0 {
		time.Sleep(time.Millisecond)
	}
	begin := time.Now()
	go g.Stop(7 * time.Second)
	a := c.receive()
	is.Equal(a.status, 503)
	is.True(a.header.Get("Retry-After") != "")
	is.True(time.Since(begin) < drainIdle+time.Second) // with time left to be served elsewhere
	is.Equal(b.arrivals(), 0)
}

// Guards against callers that leave without an answer, and do not retry, because their model
// is not loaded: they leave a stream that is silent for 1 s, the model takes 2 s to load, and
// the request is held until half of its time limit, which is far longer.
func TestCallerIsRefusedBeforeItsWaitLimit(t *testing.T) {
	is := is.New(t)
	g := startGateway(t, newFakeEndpoint(t, answerOK))
	g.table.Load().Config().Routes[2].Timeout = 12 * time.Second
	g.table.Load().Config().Routes[2].SilenceLimit = time.Second
	begin := time.Now()
	a := dial(t, g).ask("POST", "/stream/", "r1", "x", "Model: rare", "Left: 12000")
	took := time.Since(begin)
	is.Equal(a.status, 503)
	is.True(a.header.Get("Retry-After") != "")
	is.True(took > 500*time.Millisecond && took < 800*time.Millisecond)
}

// Checks to the instant until when a stopping entry accepts a request: the tests above
// leave a second of margin, which a busy host needs.
func TestStoppingAcceptsWhatCanFinish(t *testing.T) {
	begin := time.Unix(1000, 0)
	st := &stopWindow{begin, begin.Add(8 * time.Second)}
	cases := []struct {
		after, limit time.Duration
		late         bool
	}{
		{0, time.Minute, false}, // callers do not know about the stop yet
		{drainIdle, time.Minute, false},
		{drainIdle + time.Millisecond, time.Minute, true},
		{drainIdle + time.Millisecond, 2 * time.Second, false}, // it can still end
		{6 * time.Second, 2 * time.Second, false},
		{6*time.Second + time.Millisecond, 2 * time.Second, true},
	}
	for _, tc := range cases {
		is := is.New(t)
		is.Equal(st.tooLate(begin.Add(tc.after), tc.limit), tc.late)
	}
}

// Guards against a long stream that is begun 1 s after a stop was announced and cut at its
// end: streams of this size take 6 s, and the process has 3 s left. The route's time limit
// alone, checked only late in the stop, does not show whether an answer can end.
func TestStopDoesNotBeginStreamsThatAreTooLong(t *testing.T) {
	is := is.New(t)
	b := newFakeEndpoint(t, answerOK)
	g := startGateway(t, b)
	g.pace.observe(6*time.Second, 600)
	is.Equal(dial(t, g).ask("POST", "/stream/", "r1", "x", "Output: 600").status, 200) // no stop
	g.pace.observe(6*time.Second, 600)
	g.stopping.Store(&stopWindow{time.Now(), time.Now().Add(3 * time.Second)})
	long := dial(t, g).ask("POST", "/stream/", "r2", "x", "Output: 600")
	is.Equal(long.status, 503)
	is.True(long.header.Get("Retry-After") != "")
	is.Equal(dial(t, g).ask("POST", "/stream/", "r3", "x", "Output: 100").status, 200)
	is.Equal(dial(t, g).ask("POST", "/once/", "r4", "x").status, 200)
	is.Equal(b.arrivals(), 3)
}

// Guards against a stream that the end of a stop cuts 6.2 s after it was begun: in a stop of
// 7.6 s, a stream of 800 tokens arrives after 1.4 s; its engine takes 7.4 ms a token, a
// little more than those before, and the longest time so far was the bound for this one.
func TestStopLeavesStreamsAMargin(t *testing.T) {
	is := is.New(t)
	g := startGateway(t, newFakeEndpoint(t, answerOK))
	g.pace.observe(5600*time.Millisecond, 800)
	g.stopping.Store(&stopWindow{time.Now(), time.Now().Add(6200 * time.Millisecond)})
	is.Equal(dial(t, g).ask("POST", "/stream/", "r1", "x", "Output: 800").status, 503)
	is.Equal(dial(t, g).ask("POST", "/stream/", "r2", "x", "Output: 500").status, 200)
}

func TestPaceFollowsSlowStreamsAtOnce(t *testing.T) {
	is := is.New(t)
	var p tokenPace
	is.Equal(p.maxDuration(100), time.Duration(0))
	p.observe(time.Second, 100)
	p.observe(5*time.Second, 100)
	is.Equal(p.maxDuration(100), 7*time.Second)
	for range 200 {
		p.observe(time.Second, 100)
	}
	is.True(p.maxDuration(100) < 1540*time.Millisecond)
	p.observe(time.Second, 0) // too short to be observed
}
