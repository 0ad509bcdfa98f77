package gateway

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/rs/zerolog"

	"github.com/cassiapass/cassiapass/internal/core/customer"
	"github.com/cassiapass/cassiapass/internal/core/deploy"
	"github.com/cassiapass/cassiapass/internal/core/fleet"
)

// testDialect uses short field names.
type testDialect struct{}

func (testDialect) ReadRequest(h http.Header) (RequestFields, error) {
	a := RequestFields{ID: h.Get("Id"), LastEvent: h.Get("Last-Event-Id"), Resumes: h.Get("Resumes")}
	if a.ID == "" {
		return a, errors.New("Id is missing")
	}
	if ms, err := strconv.Atoi(h.Get("Left")); err == nil {
		a.TimeLeft = time.Duration(ms) * time.Millisecond
	}
	a.Want.Model = h.Get("Model")
	if p := h.Get("Parts"); p != "" {
		a.Parts = strings.Split(p, ",")
	}
	a.MaxOutput, _ = strconv.Atoi(h.Get("Output")) // 0 if not given
	a.Tokens, _ = strconv.Atoi(h.Get("Tokens"))
	a.HasTokens = h.Get("Tokens") != ""
	keys := h.Values("Key")
	a.Credential = customer.Credential{Key: customer.Key(h.Get("Key")), Present: len(keys) > 0, Malformed: len(keys) > 1}
	return a, nil
}

func (testDialect) WriteRequest(h http.Header, s ForwardFields) {
	h.Set("Left", strconv.FormatInt(s.TimeLeft.Milliseconds(), 10))
	h.Set("Target", string(s.Endpoint))
	h.Set("Rank", strconv.Itoa(s.Priority))
	if s.Authenticated {
		h.Del("Key")
		h.Set("Customer", string(s.Customer))
	}
	if s.LastEvent != "" {
		h.Set("Last-Event-Id", s.LastEvent)
	}
	h.Del("Backup-To")
	if s.BackupTo != "" {
		h.Set("Backup-To", s.BackupTo)
	}
	if s.GoOnFrom != "" {
		h.Set("Go-On-From", s.GoOnFrom)
	}
}

func (testDialect) ReadAnswer(_ string, status int, h http.Header) AnswerFields {
	a := AnswerFields{ID: h.Get("Id"), NotRun: h.Get("Not-Run") != "", ModelMissing: status == http.StatusMisdirectedRequest}
	a.Leaving.Leaving = h.Get("Leaving") == "1"
	if v := h.Get("Retry-After"); v != "" {
		s, err := strconv.ParseFloat(v, 64)
		a.Pause = NamedPause{Named: true, Readable: err == nil, For: time.Duration(s * float64(time.Second)), Text: v}
	}
	return a
}

// fakeEndpoint is an endpoint controlled by a test, on a raw socket.
type fakeEndpoint struct {
	l      net.Listener
	handle func(b *bufio.Reader, w net.Conn, r *http.Request, body []byte) bool // false closes the connection

	mu     sync.Mutex
	seen   []*http.Request
	conns  int
	closed chan struct{} // not used
}

func newFakeEndpoint(t *testing.T, handle func(*bufio.Reader, net.Conn, *http.Request, []byte) bool) *fakeEndpoint {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	b := &fakeEndpoint{l: l, handle: handle, closed: make(chan struct{})}
	t.Cleanup(func() { _ = l.Close() })
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			b.mu.Lock()
			b.conns++
			b.mu.Unlock()
			go b.serve(c)
		}
	}()
	return b
}

func (b *fakeEndpoint) serve(c net.Conn) {
	defer c.Close()
	br := bufio.NewReader(c)
	for {
		r, err := http.ReadRequest(br)
		if err != nil {
			return
		}
		body, err := io.ReadAll(r.Body)
		if err != nil {
			return
		}
		b.mu.Lock()
		b.seen = append(b.seen, r)
		b.mu.Unlock()
		if !b.handle(br, c, r, body) {
			return
		}
	}
}

func (b *fakeEndpoint) arrivals() int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return len(b.seen)
}

func (b *fakeEndpoint) connections() int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.conns
}

// reply writes a complete answer.
func reply(c net.Conn, r *http.Request, status int, body string, fields ...string) bool {
	var extra strings.Builder
	for _, f := range fields {
		extra.WriteString(f + "\r\n")
	}
	_, err := fmt.Fprintf(c, "HTTP/1.1 %d X\r\nId: %s\r\n%sContent-Length: %d\r\n\r\n%s", status, r.Header.Get("Id"), extra.String(), len(body), body)
	return err == nil
}

func answerOK(_ *bufio.Reader, c net.Conn, r *http.Request, _ []byte) bool {
	return reply(c, r, 200, "hello", "Signature: s")
}

// testDeployment returns a deployment with a route for each repeat policy.
func testDeployment() *deploy.Config {
	route := func(prefix string, rep deploy.Repeat, resumable bool) deploy.Route {
		return deploy.Route{Name: prefix, Host: "x.example", Prefix: prefix, Repeat: rep, Resumable: resumable, Timeout: 2 * time.Second,
			Attempts: 2, Backends: []deploy.Backend{{Service: "s", Weight: 1}}}
	}
	return &deploy.Config{
		Version:  1,
		Services: map[string]*deploy.Service{"s": {Name: "s"}},
		Routes: []deploy.Route{
			route("/once/", deploy.Once, false), route("/safe/", deploy.Safe, false),
			route("/stream/", deploy.Stream, false), route("/resume/", deploy.Stream, true),
		},
	}
}

func testConfig() Config {
	return Config{
		Host: "entry-1", Zone: "a", Listen: "127.0.0.1:0", Dialect: testDialect{}, RetryShare: 0.2, RetrySlack: 64, Log: zerolog.Nop(),
		Decode: func(string) (*deploy.Config, error) { return testDeployment(), nil },
		List:   func(context.Context) (fleet.Listing, error) { return fleet.Listing{}, errors.New("no list") },
	}
}

// startGateway runs a gateway in front of the given endpoints, which are named
// e0, e1 and so on.
func startGateway(t *testing.T, bs ...*fakeEndpoint) *Gateway {
	t.Helper()
	g, err := New(testConfig())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(g.Kill)
	g.table.Store(deploy.NewTable(testDeployment()))
	g.raiseEntries(1)
	g.dir.replace(1, 1, listed(bs...))
	return g
}

func listed(bs ...*fakeEndpoint) []fleet.Endpoint {
	var eps []fleet.Endpoint
	for i, b := range bs {
		eps = append(eps, fleet.Endpoint{ID: fleet.EndpointID(fmt.Sprintf("e%d", i)), Service: "s", Addr: b.l.Addr().String(), Zone: "a", Slots: 4,
			Held: []fleet.Held{{Model: "m"}}})
	}
	return eps
}

// caller is one connection to a gateway.
type caller struct {
	t  *testing.T
	c  net.Conn
	br *bufio.Reader
}

func dial(t *testing.T, g *Gateway) *caller {
	t.Helper()
	c, err := net.Dial("tcp", g.Addr())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = c.Close() })
	if err := c.SetDeadline(time.Now().Add(10 * time.Second)); err != nil {
		t.Fatal(err)
	}
	return &caller{t, c, bufio.NewReader(c)}
}

func (c *caller) send(method, path, id, body string, fields ...string) {
	c.t.Helper()
	var extra strings.Builder
	for _, f := range fields {
		extra.WriteString(f + "\r\n")
	}
	length := ""
	if body != "" {
		length = fmt.Sprintf("Content-Length: %d\r\n", len(body))
	}
	if _, err := fmt.Fprintf(c.c, "%s %s HTTP/1.1\r\nHost: x.example\r\nId: %s\r\n%s%s\r\n%s", method, path, id, extra.String(), length, body); err != nil {
		c.t.Fatal(err)
	}
}

// got is an answer as a caller sees it.
type got struct {
	status int
	header http.Header
	body   string
	err    error // the body was cut
	closes bool  // the connection will carry no other request
}

func (c *caller) receive() got {
	c.t.Helper()
	r, err := http.ReadResponse(c.br, nil)
	if err != nil {
		c.t.Fatal("no answer: ", err)
	}
	b, err := io.ReadAll(r.Body)
	return got{r.StatusCode, r.Header, string(b), err, r.Close}
}

func (c *caller) ask(method, path, id, body string, fields ...string) got {
	c.t.Helper()
	c.send(method, path, id, body, fields...)
	return c.receive()
}
