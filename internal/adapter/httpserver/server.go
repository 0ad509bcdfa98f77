// Package httpserver runs net/http servers whose clients share limits in memory and connections.
package httpserver

import (
	"context"
	"crypto/tls"
	"errors"
	"net"
	"net/http"
	"time"

	vm "github.com/VictoriaMetrics/metrics"
	"github.com/rs/zerolog"
	"github.com/samber/oops"

	"github.com/cassiapass/cassiapass/internal/adapter/clients"
	"github.com/cassiapass/cassiapass/internal/adapter/sockets"
	"github.com/cassiapass/cassiapass/internal/core/intake"
)

// Config are the settings of a Server. Timeouts of 0 mean the defaults.
type Config struct {
	Addr          string // IP number and port
	Handler       http.Handler
	TLS           *tls.Config   // nil for plain TCP
	Limits        intake.Limits // for all clients together
	HeaderBytes   int           // largest head of a request
	HeaderTimeout time.Duration // until the head of a request has arrived
	BodyTimeout   time.Duration // until the whole request has arrived
	IdleTimeout   time.Duration // between two requests
	Log           zerolog.Logger
}

const (
	defaultHeaderBytes   = 16 << 10
	defaultHeaderTimeout = 5 * time.Second
	defaultBodyTimeout   = 30 * time.Second
	defaultIdleTimeout   = 60 * time.Second
	// writeTimeout bounds one write: a client that reads nothing must not hold its connection.
	writeTimeout = 20 * time.Second
)

// Metrics are what the clients of all servers of this process hold, by the servers' addresses.
var Metrics = vm.NewSet()

// Server is one running HTTP listener.
type Server struct {
	srv      *http.Server
	listener *listener
}

// Listen starts a Server. It returns an error if it cannot listen.
func Listen(cfg Config) (*Server, error) {
	lc := sockets.BoundedListenConfig()
	l, err := lc.Listen(context.Background(), "tcp", cfg.Addr)
	if err != nil {
		return nil, oops.With("addr", cfg.Addr).Wrapf(err, "listen")
	}
	s := &Server{listener: &listener{Listener: l, registry: clients.New(cfg.Limits), tls: cfg.TLS != nil}}
	s.listener.registry.RegisterMetrics(Metrics, s.Addr())
	s.srv = &http.Server{
		Handler:           enter(cfg.Handler),
		MaxHeaderBytes:    orDefault(cfg.HeaderBytes, defaultHeaderBytes),
		ReadHeaderTimeout: orDefault(cfg.HeaderTimeout, defaultHeaderTimeout),
		ReadTimeout:       orDefault(cfg.BodyTimeout, defaultBodyTimeout),
		IdleTimeout:       orDefault(cfg.IdleTimeout, defaultIdleTimeout),
		ConnContext:       withConn,
		ConnState: func(c net.Conn, state http.ConnState) {
			if state == http.StateIdle {
				connOf(c).rest()
			}
		},
	}
	var serving net.Listener = s.listener
	if cfg.TLS != nil {
		serving = tls.NewListener(serving, cfg.TLS)
	}
	go func() {
		if err := s.srv.Serve(serving); err != nil && !errors.Is(err, http.ErrServerClosed) {
			cfg.Log.Error().Err(err).Str("address", cfg.Addr).Msg("http_listener_failed")
		}
	}()
	return s, nil
}

func orDefault[T int | time.Duration](v, d T) T {
	if v == 0 {
		return d
	}
	return v
}

// Addr returns the address that the listener is bound to.
func (s *Server) Addr() string { return s.listener.Addr().String() }

// Shutdown stops accepting connections and waits for requests in progress until ctx ends.
func (s *Server) Shutdown(ctx context.Context) {
	_ = s.srv.Shutdown(ctx)
	clients.UnregisterMetrics(Metrics, s.Addr())
}

// Close closes the listener and all connections at once.
func (s *Server) Close() {
	_ = s.srv.Close()
	clients.UnregisterMetrics(Metrics, s.Addr())
}

// listener accepts connections within the limits.
type listener struct {
	net.Listener
	registry *clients.Registry
	tls      bool
}

// Accept returns the next connection. One for which none is left is refused.
func (l *listener) Accept() (net.Conn, error) {
	for {
		nc, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		c := &conn{Conn: nc, tls: l.tls}
		if c.client = l.registry.Open(c.evict); c.client != nil {
			return c, nil
		}
		c.refuse()
		_ = nc.Close() // it is not counted, so it gets no time
	}
}
