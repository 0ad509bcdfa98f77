package gateway

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"
)

// head begins a stream of unknown length.
func head(c net.Conn, r *http.Request) {
	_, _ = fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nId: %s\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n", r.Header.Get("Id"))
}

func chunk(c net.Conn, s string) { _, _ = fmt.Fprintf(c, "%x\r\n%s\r\n", len(s), s) }

func event(n int) string { return fmt.Sprintf("id: %d\ndata: piece %d\n\n", n, n) }

func events(from, to int) string {
	var b strings.Builder
	for i := from; i <= to; i++ {
		b.WriteString(event(i))
	}
	return b.String()
}

// Guards against missing, repeated or partial events: an endpoint dies in the middle of an
// event and another one continues, but part of an event was forwarded, or the second endpoint
// was asked to continue from the wrong one.
func TestBrokenStreamResumesAtAnotherEndpoint(t *testing.T) {
	is := is.New(t)
	serve := func(_ *bufio.Reader, c net.Conn, r *http.Request, _ []byte) bool {
		head(c, r)
		last, _ := strconv.Atoi(r.Header.Get("Last-Event-Id"))
		if last == 0 {
			chunk(c, events(1, 3))
			chunk(c, event(4)[:7])
			return false
		}
		chunk(c, event(last)) // repeats an event that the caller has
		for i := last + 1; i <= 6; i++ {
			chunk(c, event(i))
		}
		_, _ = c.Write([]byte("0\r\n\r\n"))
		return true
	}
	a, b := newFakeEndpoint(t, serve), newFakeEndpoint(t, serve)
	g := startGateway(t, a, b)
	got := dial(t, g).ask("POST", "/resume/", "r1", "x")
	is.NoErr(got.err)
	is.Equal(got.body, events(1, 6))
	is.Equal(a.arrivals()+b.arrivals(), 2)
}

// Guards against a truncated answer that looks complete to the caller: a stream that may not
// be resumed breaks off, and the gateway ends its own chunked body properly though the
// endpoint's is cut.
func TestTruncatedStreamDoesNotLookComplete(t *testing.T) {
	is := is.New(t)
	serve := func(_ *bufio.Reader, c net.Conn, r *http.Request, _ []byte) bool {
		head(c, r)
		chunk(c, events(1, 2))
		return false
	}
	a, b := newFakeEndpoint(t, serve), newFakeEndpoint(t, serve)
	g := startGateway(t, a, b)
	got := dial(t, g).ask("POST", "/stream/", "r1", "x")
	is.True(got.err != nil)
	is.Equal(got.body, events(1, 2))
	is.Equal(a.arrivals()+b.arrivals(), 1)
}

// Guards against events that are buffered, so that the first words arrive late: an endpoint
// sends one event and works on the next.
func TestEventsAreForwardedAsTheyArrive(t *testing.T) {
	for _, path := range []string{"/stream/", "/resume/"} {
		t.Run(path, func(t *testing.T) {
			is := is.New(t)
			goOn := make(chan struct{})
			b := newFakeEndpoint(t, func(_ *bufio.Reader, c net.Conn, r *http.Request, _ []byte) bool {
				head(c, r)
				chunk(c, event(1))
				<-goOn
				chunk(c, event(2))
				_, _ = c.Write([]byte("0\r\n\r\n"))
				return true
			})
			g := startGateway(t, b)
			c := dial(t, g)
			c.send("POST", path, "r1", "x")
			r, err := http.ReadResponse(c.br, nil)
			is.NoErr(err)
			buf := make([]byte, 100)
			n, err := r.Body.Read(buf)
			is.NoErr(err)
			is.Equal(string(buf[:n]), event(1))
			close(goOn)
		})
	}
}

func TestUnframedStreamEndsWithItsConnection(t *testing.T) {
	is := is.New(t)
	b := newFakeEndpoint(t, func(_ *bufio.Reader, c net.Conn, r *http.Request, _ []byte) bool {
		_, _ = fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nId: %s\r\n\r\n%s", r.Header.Get("Id"), events(1, 2))
		return false
	})
	g := startGateway(t, b)
	c := dial(t, g)
	got := c.ask("POST", "/stream/", "r1", "x")
	is.NoErr(got.err)
	is.Equal(got.body, events(1, 2))
	is.Equal(c.ask("GET", "/safe/", "r2", "").status, 200) // the caller's connection stays open
}

func TestEventParsing(t *testing.T) {
	is := is.New(t)
	is.Equal(wholeEventsLen([]byte("id: 1\n\nid: 2\r\n\r\nid: 3\n")), len("id: 1\n\nid: 2\r\n\r\n"))
	id, ok := eventID([]byte("weights: 3\nid: 17\ndata: x\n\n"))
	is.True(ok)
	is.Equal(id, "17")
	is.True(follows("10", "9"))
	is.True(!follows("9", "10"))
	is.True(follows("1", ""))
	is.True(follows("b", "a"))
}

// Guards against memory that grows without bound while a caller does not read and an endpoint
// sends without end: a write that blocks must end both connections.
func TestCallerThatStopsReadingIsDisconnected(t *testing.T) {
	is := is.New(t)
	ended := make(chan struct{})
	b := newFakeEndpoint(t, func(_ *bufio.Reader, c net.Conn, r *http.Request, _ []byte) bool {
		head(c, r)
		big := strings.Repeat("z", 64<<10)
		for {
			if _, err := fmt.Fprintf(c, "%x\r\n%s\r\n", len(big), big); err != nil {
				close(ended)
				return false
			}
		}
	})
	g := startGateway(t, b)
	c := dial(t, g)
	c.send("POST", "/stream/", "r1", "x")
	select {
	case <-ended:
	case <-time.After(8 * time.Second):
		is.Fail() // the endpoint still sends
	}
}

// Guards against a new connection for each stream to the same endpoint: if the bytes after
// the last chunk are not read, the connection is closed.
func TestConnectionIsKeptAfterAStream(t *testing.T) {
	for _, path := range []string{"/stream/", "/resume/", "/safe/"} {
		t.Run(path, func(t *testing.T) {
			is := is.New(t)
			b := newFakeEndpoint(t, func(_ *bufio.Reader, c net.Conn, r *http.Request, _ []byte) bool {
				head(c, r)
				chunk(c, event(1))
				chunk(c, event(2))
				_, _ = c.Write([]byte("0\r\n\r\n"))
				return true
			})
			g := startGateway(t, b)
			c := dial(t, g)
			for i := range 5 {
				is.Equal(c.ask("POST", path, "r"+strconv.Itoa(i), "x").status, 200)
			}
			is.Equal(b.connections(), 1)
		})
	}
}

// Guards against a stream with an unknown outcome because another caller, whose answer was
// complete, closed its connection: the first stream ends and its connection to the endpoint
// is kept, its caller closes at once, the next request uses the kept connection, and the end
// of the first request still aborts that connection.
func TestCallerThatClosesAfterItsAnswerAbortsNoOtherRequest(t *testing.T) {
	is := is.New(t)
	b := newFakeEndpoint(t, func(_ *bufio.Reader, c net.Conn, r *http.Request, _ []byte) bool {
		head(c, r)
		chunk(c, event(1))
		_, err := c.Write([]byte("0\r\n\r\n"))
		return err == nil
	})
	g := startGateway(t, b)
	const callers, each = 8, 400
	var disturbed atomic.Int64
	var all sync.WaitGroup
	for n := range callers {
		all.Go(func() {
			for i := range each {
				c := dial(t, g)
				c.send("POST", "/stream/x", fmt.Sprintf("r%d-%d", n, i), "q")
				r, err := http.ReadResponse(c.br, nil)
				if err != nil {
					disturbed.Add(1)
					continue
				}
				if body, err := io.ReadAll(r.Body); r.StatusCode != http.StatusOK || string(body) != event(1) || err != nil {
					disturbed.Add(1)
				}
				_ = c.c.Close()
			}
		})
	}
	all.Wait()
	is.Equal(disturbed.Load(), int64(0))
}
