// Package opshttp is the operators' HTTP interface of every role: health, readiness
// and metrics.
package opshttp

import (
	"context"
	"io"
	"net/http"
	"time"

	vm "github.com/VictoriaMetrics/metrics"
	"github.com/labstack/echo/v4"

	"github.com/cassiapass/cassiapass/internal/adapter/httpserver"
	"github.com/cassiapass/cassiapass/internal/adapter/rpc"
)

const readyTimeout = time.Second

// Metrics is a set of metrics that can be written in the Prometheus format.
type Metrics interface{ WritePrometheus(w io.Writer) }

// New returns an HTTP interface with /healthz, /readyz and /metrics. ready returns
// nil, or the reason why the process is not ready.
func New(ready func(context.Context) error, set Metrics) *echo.Echo {
	e := echo.New()
	e.HideBanner, e.HidePort = true, true
	Health(e, ready)
	e.GET("/metrics", func(x echo.Context) error {
		set.WritePrometheus(x.Response())
		httpserver.Metrics.WritePrometheus(x.Response())
		vm.WriteProcessMetrics(x.Response()) // memory, processor time, file descriptors
		return nil
	})
	return e
}

// Health adds /healthz and /readyz to an HTTP interface.
func Health(e *echo.Echo, ready func(context.Context) error) {
	e.GET("/healthz", func(x echo.Context) error { return x.String(http.StatusOK, "ok\n") })
	e.GET("/readyz", func(x echo.Context) error {
		ctx, cancel := context.WithTimeout(x.Request().Context(), readyTimeout)
		defer cancel()
		if err := ready(ctx); err != nil {
			return x.String(http.StatusServiceUnavailable, err.Error()+"\n")
		}
		return x.String(http.StatusOK, "ready\n")
	})
}

// RegisterByteCounters adds the bytes exchanged with the system's own processes to a set of
// metrics.
func RegisterByteCounters(s *vm.Set, c *rpc.ByteCounter) {
	s.NewGauge("cassiapass_rpc_received_bytes_total", func() float64 { return float64(c.In.Load()) })
	s.NewGauge("cassiapass_rpc_sent_bytes_total", func() float64 { return float64(c.Out.Load()) })
}
