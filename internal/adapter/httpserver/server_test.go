package httpserver

import (
	"bytes"
	"crypto/tls"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/rs/zerolog"

	"github.com/cassiapass/cassiapass/internal/adapter/clients"
	"github.com/cassiapass/cassiapass/internal/core/intake"
	"github.com/cassiapass/cassiapass/internal/fake/crowd"
)

const testBody = 256 << 10 // largest body

// echoBody answers with the body of a request.
func echoBody(w http.ResponseWriter, r *http.Request) {
	b, err := ReadBody(r, testBody)
	switch {
	case errors.Is(err, ErrTooLarge):
		w.WriteHeader(http.StatusRequestEntityTooLarge)
	case errors.Is(err, clients.ErrCrowded):
		Refuse(w)
	case err != nil:
		w.WriteHeader(http.StatusBadRequest)
	default:
		_, _ = w.Write(b)
	}
}

func startServer(t *testing.T, l intake.Limits) *Server {
	t.Helper()
	s, err := Listen(Config{Addr: "127.0.0.1:0", Handler: http.HandlerFunc(echoBody), Limits: l, Log: zerolog.Nop()})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(s.Close)
	return s
}

// post sends a body and returns the status and the body of the answer.
func post(t *testing.T, c *http.Client, s *Server, body []byte) (int, []byte) {
	t.Helper()
	r, err := c.Post("http://"+s.Addr()+"/", "", bytes.NewReader(body))
	if err != nil {
		t.Fatal(err)
	}
	defer r.Body.Close()
	b, err := io.ReadAll(r.Body)
	if err != nil {
		t.Fatal(err)
	}
	return r.StatusCode, b
}

// Guards against bodies that are refused in calm, and against what stays counted between two requests.
func TestRequestsOnOneConnection(t *testing.T) {
	is := is.New(t)
	s := startServer(t, intake.Limits{Bytes: 4 << 20, Conns: 4})
	c := &http.Client{Transport: &http.Transport{}}
	defer c.CloseIdleConnections()
	for _, size := range []int{0, 1, testBody, 100 << 10} {
		body := bytes.Repeat([]byte("x"), size)
		status, got := post(t, c, s, body)
		is.Equal(status, http.StatusOK)
		is.True(bytes.Equal(got, body))
	}
	status, _ := post(t, c, s, make([]byte, testBody+1))
	is.Equal(status, http.StatusRequestEntityTooLarge)
	c.CloseIdleConnections()
	awaitNothingHeld(t, s)
	var metrics bytes.Buffer
	Metrics.WritePrometheus(&metrics)
	is.True(strings.Contains(metrics.String(), fmt.Sprintf("cassiapass_clients_max_connections{listener=%q} 4", s.Addr())))
}

func TestRequestOverTLS(t *testing.T) {
	is := is.New(t)
	like := httptest.NewTLSServer(nil) // for its certificate
	defer like.Close()
	s, err := Listen(Config{Addr: "127.0.0.1:0", Handler: http.HandlerFunc(echoBody), TLS: &tls.Config{Certificates: like.TLS.Certificates, MinVersion: tls.VersionTLS13},
		Limits: intake.Limits{Bytes: 4 << 20, Conns: 4}, Log: zerolog.Nop()})
	is.NoErr(err)
	t.Cleanup(s.Close)
	c := like.Client()
	defer c.CloseIdleConnections()
	for range 3 {
		r, err := c.Post("https://"+s.Addr()+"/", "", strings.NewReader("body"))
		is.NoErr(err)
		b, err := io.ReadAll(r.Body)
		is.NoErr(err)
		_ = r.Body.Close()
		is.Equal(string(b), "body")
	}
	c.CloseIdleConnections()
	awaitNothingHeld(t, s)
}

func awaitNothingHeld(t *testing.T, s *Server) {
	t.Helper()
	begin := time.Now()
	for used, conns := s.listener.registry.Used(); used+int64(conns) > 0; used, conns = s.listener.registry.Used() {
		if time.Since(begin) > 20*time.Second {
			t.Fatalf("%d bytes and %d connections are still counted", used, conns)
		}
		time.Sleep(10 * time.Millisecond)
	}
}

// Guards against a refusal without a time to retry where a body finds no room.
func TestBodyWithoutRoomIsRefused(t *testing.T) {
	is := is.New(t)
	s := startServer(t, intake.Limits{Bytes: 400 << 10, Conns: 4})
	r, err := http.Post("http://"+s.Addr()+"/", "", bytes.NewReader(make([]byte, testBody)))
	is.NoErr(err)
	defer r.Body.Close()
	is.Equal(r.StatusCode, http.StatusServiceUnavailable)
	is.True(r.Header.Get("Retry-After") != "")
}

// Guards against a crash, or against something that stays counted, when clients are refused at any moment
// of their requests.
func TestRandomClientsAtSmallLimits(t *testing.T) {
	is := is.New(t)
	s := startServer(t, intake.Limits{Bytes: 2 << 20, Conns: 16})
	var callers sync.WaitGroup
	for n := range 30 {
		callers.Go(func() {
			r := rand.New(rand.NewPCG(uint64(n), 2))
			for range 40 {
				crowd.SendRandomly(r, s.Addr(), "POST / HTTP/1.1\r\nHost: x\r\n")
			}
		})
	}
	callers.Wait()
	awaitNothingHeld(t, s)
	status, got := post(t, &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}, s, []byte("body"))
	is.Equal(status, http.StatusOK)
	is.Equal(string(got), "body")
}
