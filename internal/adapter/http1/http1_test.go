package http1

import (
	"context"
	"errors"
	"fmt"
	"net"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
)

var testLimits = Limits{HeaderBytes: 2 << 10, BodyBytes: 1 << 10, HeaderTimeout: 200 * time.Millisecond, IdleTimeout: time.Second}

// readRaw returns the request that a Conn reads from raw.
func readRaw(t *testing.T, raw string) (*Request, error) {
	t.Helper()
	a, b := net.Pipe()
	t.Cleanup(func() { _ = a.Close(); _ = b.Close() })
	go func() { _, _ = a.Write([]byte(raw)) }()
	return NewConn(b, func() Limits { return testLimits }, nil).ReadRequest()
}

func TestWellFormedRequests(t *testing.T) {
	cases := map[string]struct{ raw, method, target, body string }{
		"no body":  {"GET /a?b=1 HTTP/1.1\r\nHost: x\r\n\r\n", "GET", "/a?b=1", ""},
		"length":   {"POST /a HTTP/1.1\r\nHost: x\r\nContent-Length: 3\r\n\r\nabc", "POST", "/a", "abc"},
		"chunks":   {"POST /a HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nab\r\n1\r\nc\r\n0\r\n\r\n", "POST", "/a", "abc"},
		"raw path": {"GET /a%2Fb/%7e HTTP/1.1\r\nHost: x\r\n\r\n", "GET", "/a%2Fb/%7e", ""},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			r, err := readRaw(t, tc.raw)
			is.NoErr(err)
			is.Equal(r.Method, tc.method)
			is.Equal(r.Target, tc.target)
			is.Equal(string(r.Body), tc.body)
		})
	}
}

// A head that two parsers could end at different places must be refused. Otherwise what
// the first parser reads as a body can be a request to the second, and an endpoint runs a
// request that no caller sent.
func TestAmbiguousHeadsAreRefused(t *testing.T) {
	const start = "POST /a HTTP/1.1\r\nHost: x\r\n"
	cases := map[string]struct {
		raw    string
		status int
	}{
		"length and chunks":      {start + "Content-Length: 3\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n", 400},
		"two lengths":            {start + "Content-Length: 3\r\nContent-Length: 3\r\n\r\nabc", 400},
		"signed length":          {start + "Content-Length: +3\r\n\r\nabc", 400},
		"list of lengths":        {start + "Content-Length: 3, 3\r\n\r\nabc", 400},
		"space before the colon": {start + "Content-Length : 3\r\n\r\nabc", 400},
		"folded field":           {start + "A: b\r\n c\r\n\r\n", 400},
		"bare line feed":         {start + "A: b\nContent-Length: 3\r\n\r\nabc", 400},
		"bare carriage return":   {start + "A: b\rContent-Length: 3\r\n\r\nabc", 400},
		"unknown coding":         {start + "Transfer-Encoding: xchunked\r\n\r\n", 501},
		"no host":                {"GET /a HTTP/1.1\r\n\r\n", 400},
		"two hosts":              {start + "Host: y\r\n\r\n", 400},
		"bad request line":       {"GET /a b HTTP/1.1\r\nHost: x\r\n\r\n", 400},
		"large head":             {start + "A: " + strings.Repeat("b", 3<<10) + "\r\n\r\n", 431},
		"large body":             {start + "Content-Length: 2000\r\n\r\n", 413},
		"slow head":              {start, 408},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			_, err := readRaw(t, tc.raw)
			var bad *BadRequest
			is.True(errors.As(err, &bad))
			is.Equal(bad.Status, tc.status)
		})
	}
}

func FuzzHeadsAreReadOneWay(f *testing.F) {
	f.Add("POST /a HTTP/1.1\r\nHost: x\r\nContent-Length: 3\r\n\r\nabc")
	f.Add("POST /a HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n")
	f.Fuzz(func(t *testing.T, raw string) {
		head, _, ok := strings.Cut(raw, "\r\n\r\n")
		if !ok {
			return
		}
		if _, err := checkHead([]byte(head + "\r\n\r\n")); err != nil {
			return
		}
		low := strings.ToLower(head)
		if strings.Contains(low, "\r\ncontent-length:") && strings.Contains(low, "\r\ntransfer-encoding:") {
			t.Errorf("both framings passed: %q", head)
		}
		if strings.Contains(strings.ReplaceAll(head, "\r\n", ""), "\n") {
			t.Errorf("a bare line feed passed: %q", head)
		}
	})
}

// A connection that the endpoint closed while it was idle must not be reused: a request
// sent on it would be in doubt.
func TestIdleConnectionThatEndsIsDropped(t *testing.T) {
	is := is.New(t)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	defer l.Close()
	served := make(chan net.Conn, 4)
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			buf := make([]byte, 1024)
			_, _ = c.Read(buf)
			_, _ = c.Write([]byte("HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n"))
			served <- c
		}
	}()
	p := NewPool(time.Second)
	exchange := func() *ClientConn {
		c, err := p.Get(context.Background(), l.Addr().String(), 2, fmt.Sprint("r", p.Dialed()))
		is.NoErr(err)
		c.Send("GET", "/", "x", nil, nil)
		r, err := c.Receive("GET")
		is.NoErr(err)
		r.Release()
		return c
	}
	exchange()
	_ = (<-served).Close()
	time.Sleep(50 * time.Millisecond)
	is.True(!exchange().Reused) // a new connection
	is.Equal(p.Dialed(), uint64(2))
	second := <-served
	_, _ = second.Write([]byte("stray")) // belongs to no request
	time.Sleep(50 * time.Millisecond)
	is.True(!exchange().Reused)
	is.Equal(p.Dialed(), uint64(3))
}

func TestConnectionLimit(t *testing.T) {
	is := is.New(t)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	defer l.Close()
	p := NewPool(time.Second)
	addr := l.Addr().String()
	a, err := p.Get(context.Background(), addr, 1, "r")
	is.NoErr(err)
	_, err = p.Get(context.Background(), addr, 1, "r")
	is.True(errors.Is(err, ErrConnLimit) && errors.Is(err, ErrNotSent))
	a.Close()
	b, err := p.Get(context.Background(), addr, 1, "r")
	is.NoErr(err)
	b.Close()
}

// Guards against an answer that is taken for that to a repeat of its request: one connection must
// not carry the id of a request twice.
func TestConnectionCarriesARequestOnce(t *testing.T) {
	is := is.New(t)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	defer l.Close()
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go func() {
				buf := make([]byte, 1024)
				for {
					if _, err := c.Read(buf); err != nil {
						return
					}
					_, _ = c.Write([]byte("HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n"))
				}
			}()
		}
	}()
	p := NewPool(time.Second)
	get := func(id string, maxConns int) *ClientConn {
		c, err := p.Get(context.Background(), l.Addr().String(), maxConns, id)
		is.NoErr(err)
		return c
	}
	send := func(id string, maxConns int) *ClientConn {
		c := get(id, maxConns)
		c.Send("GET", "/", "x", nil, nil)
		r, err := c.Receive("GET")
		is.NoErr(err)
		r.Release()
		return c
	}
	first := send("a", 2)
	is.Equal(send("b", 2), first) // another request
	second := send("a", 2)
	is.True(second != first) // a repeat
	third := send("a", 2)    // at the limit, an idle connection makes way
	is.True(third != first && third != second)
	is.Equal(p.Dialed(), uint64(3))
	unsent := get("c", 2)
	unsent.Return()
	is.Equal(get("c", 2), unsent) // nothing was sent on it
}

// An idle connection may be closed by Sweep or Get while its watch wakes. If closing
// clears the connection's pool while the watch still uses it, the nil pointer ends the
// process and every stream with it.
func TestSweepRacesWithTheEndOfIdleConnections(t *testing.T) {
	is := is.New(t)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	defer l.Close()
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go func() {
				buf := make([]byte, 1024)
				_, _ = c.Read(buf)
				_, _ = c.Write([]byte("HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n"))
				_ = c.Close()
			}()
		}
	}()
	p := NewPool(time.Second)
	for i := range 300 {
		c, err := p.Get(context.Background(), l.Addr().String(), 8, fmt.Sprint("r", i))
		is.NoErr(err)
		c.Send("GET", "/", "x", nil, nil)
		r, err := c.Receive("GET")
		is.NoErr(err)
		r.Release()
		p.Sweep(func(string) bool { return false })
	}
	is.Equal(len(p.connCount), 0) // every connection was released exactly once
}

// Guards against heads that are refused although the configuration allows them.
func TestHeadsUpToTheLimitAreRead(t *testing.T) {
	is := is.New(t)
	limits := testLimits
	limits.HeaderBytes = 64 << 10
	a, b := net.Pipe()
	defer a.Close()
	defer b.Close()
	head := func(n int) string { return "GET / HTTP/1.1\r\nHost: x\r\nA: " + strings.Repeat("b", n) + "\r\n\r\n" }
	go func() { _, _ = a.Write([]byte(head(60<<10) + head(10) + head(70<<10))) }()
	c := NewConn(b, func() Limits { return limits }, nil)
	for _, n := range []int{60 << 10, 10} {
		r, err := c.ReadRequest()
		is.NoErr(err)
		is.Equal(len(r.Header.Get("A")), n)
	}
	_, err := c.ReadRequest()
	var bad *BadRequest
	is.True(errors.As(err, &bad) && bad.Status == 431)
}
