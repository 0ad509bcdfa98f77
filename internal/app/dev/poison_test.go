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

// crashText marks a body that crashes the process that runs it.
const crashText = "crashes its process"

// crashingService is a plain service that stops 10 ms after it starts to run a request with
// crashText, and starts again after one second.
type crashingService struct {
	t    *testing.T
	addr string

	mu      sync.Mutex
	srv     *http.Server
	crashes int // runs of requests with crashText
	closed  bool
}

func (m *crashingService) start() {
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

func (m *crashingService) stop() {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.closed = true
	_ = m.srv.Close()
}

func (m *crashingService) crashCount() int {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.crashes
}

// ServeHTTP answers, or closes the server if the body contains crashText.
func (m *crashingService) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	body, _ := io.ReadAll(r.Body)
	if !strings.Contains(string(body), crashText) {
		w.Header().Set(enginehttp.RequestIDHeader, r.Header.Get(enginehttp.RequestIDHeader))
		_, _ = io.WriteString(w, "well")
		return
	}
	time.Sleep(10 * time.Millisecond)
	m.mu.Lock()
	m.crashes++
	_ = m.srv.Close()
	m.mu.Unlock()
	time.AfterFunc(time.Second, m.start)
}

// A request that crashes a plain service must be quarantined at all entries. Otherwise the
// service crashes repeatedly, together with all other requests that run there: the caller
// resends the request through one entry after the other, and the service is restarted a
// second later each time. An entry's own record of the failures ends with the request.
func TestRequestThatEndsAServiceIsQuarantinedAtAllEntries(t *testing.T) {
	is := is.New(t)
	m := &crashingService{t: t, addr: "127.0.0.1:0"}
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
		return send(s.api(0), KeyOffice, "/services/receipts/lookups", "{}").outcome == "answered"
	})
	const path = "/services/receipts/renewals" // not repeatable
	body := `{"text":"` + crashText + `"}`
	var last reply
	eventually(t, "it is refused", func() bool {
		last = send(s.api(m.crashCount()%len(s.Entries)), KeyOffice, path, body)
		return strings.Contains(last.body, "quarantined")
	})
	is.Equal(last.outcome, "not_run")
	is.Equal(last.status, http.StatusServiceUnavailable)
	is.True(last.header.Get("Retry-After") != "")
	crashed := m.crashCount()
	is.True(crashed >= poison.EndsToQuarantine && crashed <= poison.EndsToQuarantine+1)
	for i := range s.Entries {
		eventually(t, "every entry refuses it", func() bool {
			return strings.Contains(send(s.api(i), KeyOffice, path, body).body, "quarantined")
		})
		eventually(t, "others are answered", func() bool {
			return send(s.api(i), KeyOffice, "/services/receipts/lookups", "{}").outcome == "answered"
		})
	}
	is.Equal(m.crashCount(), crashed)

	var reg poison.Registry
	for _, c := range s.Controls {
		reg = c.Poison()
		is.Equal(len(reg.Cases), 1)
	}
	ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
	defer cancel()
	res, err := s.Propose(ctx, state.Command{By: "operator", Poison: &poison.Change{Lift: []poison.Fingerprint{reg.Cases[0].Request}}})
	is.NoErr(err)
	is.Equal(res.Code, state.OK)
	eventually(t, "it runs again when it is lifted", func() bool {
		_ = send(s.api(0), KeyOffice, path, body)
		return m.crashCount() > crashed
	})
}
