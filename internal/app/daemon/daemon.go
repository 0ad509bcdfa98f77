// Package daemon runs the daemons cassiapass-control, cassiapass-entry and
// cassiapass-agent from their settings. They share HTTP listeners with limits and a
// shutdown in two steps: the first SIGTERM or SIGINT stops gracefully, a second one
// exits immediately.
package daemon

import (
	"context"
	"crypto/tls"
	"errors"
	"net"
	"net/http"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/rs/zerolog"
	"github.com/samber/oops"
	"golang.org/x/net/netutil"

	"github.com/cassiapass/cassiapass/internal/adapter/tlsconf"
)

const (
	headerTimeout = 5 * time.Second  // callers that send their header more slowly are disconnected
	bodyTimeout   = 30 * time.Second // limit for reading header and body together
	idleTimeout   = 60 * time.Second
	maxHeader     = 32 << 10
	maxConns      = 16384 // per listener; further connections wait in the kernel's queue
)

// HTTP is one running HTTP listener.
type HTTP struct {
	srv *http.Server
	l   net.Listener
}

// Serve starts an HTTP listener at addr. It uses TLS if cert is not empty; cert and key are
// names of PEM files. It returns an error if it cannot listen or load the certificate.
func Serve(addr string, h http.Handler, cert, key string, log zerolog.Logger) (*HTTP, error) {
	l, err := net.Listen("tcp", addr)
	if err != nil {
		return nil, oops.With("addr", addr).Wrapf(err, "listen")
	}
	l = netutil.LimitListener(l, maxConns)
	s := &HTTP{l: l, srv: &http.Server{Handler: h, ReadHeaderTimeout: headerTimeout, ReadTimeout: bodyTimeout, IdleTimeout: idleTimeout, MaxHeaderBytes: maxHeader}}
	if cert != "" {
		c, err := tlsconf.Server(tlsconf.Files{Cert: cert, Key: key})
		if err != nil {
			_ = l.Close()
			return nil, err
		}
		l = tls.NewListener(l, c)
	}
	go func() {
		if err := s.srv.Serve(l); err != nil && !errors.Is(err, http.ErrServerClosed) {
			log.Error().Err(err).Msg("http_listener_failed")
		}
	}()
	return s, nil
}

// Addr returns the address that the listener is bound to.
func (s *HTTP) Addr() string { return s.l.Addr().String() }

// Shutdown stops accepting connections and waits for requests in progress until ctx ends.
func (s *HTTP) Shutdown(ctx context.Context) { _ = s.srv.Shutdown(ctx) }

// Close closes the listener and all connections immediately.
func (s *HTTP) Close() { _ = s.srv.Close() }

// WaitForStop returns at the first SIGTERM or SIGINT. A second one exits the process with
// code 1.
func WaitForStop(log zerolog.Logger) {
	ch := make(chan os.Signal, 2)
	signal.Notify(ch, syscall.SIGTERM, syscall.SIGINT)
	s := <-ch
	log.Info().Str("signal", s.String()).Msg("stopping")
	go func() {
		<-ch
		log.Warn().Msg("stopped_at_once")
		os.Exit(1)
	}()
}
