// Package daemon runs the daemons cassiapass-control, cassiapass-entry and
// cassiapass-agent from their settings. They share HTTP listeners with limits and a
// shutdown in two steps: the first SIGTERM or SIGINT stops gracefully, a second one
// exits immediately.
package daemon

import (
	"net/http"
	"os"
	"os/signal"
	"syscall"

	"github.com/rs/zerolog"

	"github.com/cassiapass/cassiapass/internal/adapter/httpserver"
	"github.com/cassiapass/cassiapass/internal/adapter/tlsconf"
	"github.com/cassiapass/cassiapass/internal/core/intake"
)

// Listener are the settings of an HTTP listener.
type Listener struct {
	Cert, Key string        // names of PEM files for TLS; empty for plain TCP
	Limits    intake.Limits // for all clients together; the zero value means those of unknown memory
	Log       zerolog.Logger
}

// maxHeader is the largest head of a request to a daemon.
const maxHeader = 32 << 10

// Serve starts an HTTP listener at addr. It returns an error if it cannot listen or load the certificate.
func Serve(addr string, h http.Handler, l Listener) (*httpserver.Server, error) {
	if l.Limits == (intake.Limits{}) {
		l.Limits = intake.LimitsOf(0, 0)
	}
	cfg := httpserver.Config{Addr: addr, Handler: h, Limits: l.Limits, HeaderBytes: maxHeader, Log: l.Log}
	if l.Cert != "" {
		c, err := tlsconf.Server(tlsconf.Files{Cert: l.Cert, Key: l.Key})
		if err != nil {
			return nil, err
		}
		cfg.TLS = c
	}
	return httpserver.Listen(cfg)
}

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
