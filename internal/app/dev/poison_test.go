package dev

import (
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/cassiapass/cassiapass/internal/adapter/enginehttp"
	"github.com/cassiapass/cassiapass/internal/app/agent"
	"github.com/cassiapass/cassiapass/internal/core/poison"
	"github.com/cassiapass/cassiapass/internal/core/state"
)

// deadly is the part of a body that ends the process that runs it.
const deadly = "ends whoever runs it"

// mortal is a plain service whose process ends a moment after a deadly run began, and is back
// after a second.
type mortal struct {
	t    *testing.T
	addr string

	mu     sync.Mutex
	srv    *http.Server
	runs   int // of deadly requests
	closed bool
}

func (m *mortal) start() {
	l, err := net.Listen("tcp", m.addr)
	if err != nil {
		m.t.Error(err)
		return
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.closed {
		_ = l.Close()
		return
	}
	m.addr = l.Addr().String()
	m.srv = &http.Server{Handler: m}
	go func(srv *http.Server) { _ = srv.Serve(l) }(m.srv)
}

func (m *mortal) stop() {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.closed = true
	_ = m.srv.Close()
}

func (m *mortal) deadlyRuns() int {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.runs
}

// ServeHTTP answers, or ends the process.
func (m *mortal) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	body, _ := io.ReadAll(r.Body)
	if !strings.Contains(string(body), deadly) {
		w.Header().Set(enginehttp.RequestIDHeader, r.Header.Get(enginehttp.RequestIDHeader))
		_, _ = io.WriteString(w, "well")
		return
	}
	time.Sleep(10 * time.Millisecond)
	m.mu.Lock()
	m.runs++
	_ = m.srv.Close()
	m.mu.Unlock()
	time.AfterFunc(time.Second, m.start)
}

// Symptom: a plain service ends again and again, and with it all that runs there.
// Sequence: a post ends the process that runs it; its caller sends it again, through one entry
// after the other, whose agents find the service gone each time and back a second later.
// Cause: what an entry knew of a request's failures ended with the request.
func TestRequestThatEndsAServiceIsQuarantinedAtAllEntries(t *testing.T) {
	is := is.New(t)
	m := &mortal{t: t, addr: "127.0.0.1:0"}
	m.start()
	defer m.stop()
	s := start(t, func(c *Config) {
		c.TuneAgent = func(a *agent.Config) {
			if a.Serves == "receipts" {
				a.Plain = enginehttp.New("http://" + m.addr)
			}
		}
	})
	eventually(t, "the service answers", func() bool {
		return ask(s.api(0), KeyOffice, "/services/receipts/lookups", "{}").outcome == "answered"
	})
	const path = "/services/receipts/renewals" // may not be repeated
	body := `{"text":"` + deadly + `"}`
	var last reply
	eventually(t, "it is refused", func() bool {
		last = ask(s.api(m.deadlyRuns()%len(s.Entries)), KeyOffice, path, body)
		return strings.Contains(last.body, "quarantined")
	})
	is.Equal(last.outcome, "not_run")
	is.Equal(last.status, http.StatusServiceUnavailable)
	is.True(last.header.Get("Retry-After") != "")
	ran := m.deadlyRuns()
	is.True(ran >= poison.EndsToQuarantine && ran <= poison.EndsToQuarantine+1)
	for i := range s.Entries {
		eventually(t, "every entry refuses it", func() bool {
			return strings.Contains(ask(s.api(i), KeyOffice, path, body).body, "quarantined")
		})
		eventually(t, "others are answered", func() bool {
			return ask(s.api(i), KeyOffice, "/services/receipts/lookups", "{}").outcome == "answered"
		})
	}
	is.Equal(m.deadlyRuns(), ran)

	var reg poison.Registry
	for _, c := range s.Controls {
		reg = c.Poison()
		is.Equal(len(reg.Cases), 1)
	}
	ctx, cancel := context.WithTimeout(context.Background(), patience)
	defer cancel()
	res, err := s.Propose(ctx, state.Command{By: "operator", Poison: &poison.Note{Lift: []poison.Fingerprint{reg.Cases[0].Request}}})
	is.NoErr(err)
	is.Equal(res.Code, state.OK)
	eventually(t, "it runs again when it is lifted", func() bool {
		_ = ask(s.api(0), KeyOffice, path, body)
		return m.deadlyRuns() > ran
	})
}
