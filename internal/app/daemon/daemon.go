// Package daemon holds what the daemons share: HTTP listeners with limits and
// the two-step stop. The first SIGTERM or SIGINT is a graceful shutdown, a
// second one stops at once.
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
	headerTimeout = 5 * time.Second  // a caller that sends its header slower is cut off
	bodyTimeout   = 30 * time.Second // header and body together
	idleTimeout   = 60 * time.Second
	maxHeader     = 32 << 10
	maxConns      = 16384 // per listener; more wait in the kernel's queue
)

// HTTP is one running HTTP listener.
type HTTP struct {
	srv *http.Server
	l   net.Listener
}

// Serve starts an HTTP listener. With a certificate it speaks TLS.
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

// Shutdown stops accepting and waits for requests in progress.
func (s *HTTP) Shutdown(ctx context.Context) { _ = s.srv.Shutdown(ctx) }

// Close cuts everything.
func (s *HTTP) Close() { _ = s.srv.Close() }

// Wait returns at the first signal to stop. A second one ends the process.
func Wait(log zerolog.Logger) {
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
