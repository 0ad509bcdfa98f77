package gateway

import (
	"time"

	vm "github.com/VictoriaMetrics/metrics"

	"github.com/cassiapass/cassiapass/internal/adapter/opshttp"
	"github.com/cassiapass/cassiapass/internal/adapter/rpc"
)

// metrics are the measurements of one gateway.
type metrics struct {
	set   *vm.Set
	rpc   rpc.Counter
	took  *vm.Histogram
	first *vm.Histogram
}

func newMetrics(g *Gateway) *metrics {
	s := vm.NewSet()
	m := &metrics{
		set:   s,
		took:  s.NewHistogram("cassiapass_gateway_request_seconds"),
		first: s.NewHistogram("cassiapass_gateway_first_byte_seconds"),
	}
	s.NewGauge("cassiapass_gateway_requests_under_way", func() float64 { return float64(g.inflight.Load()) })
	s.NewGauge("cassiapass_gateway_endpoint_list_age_seconds", func() float64 { return g.dir.age().Seconds() })
	s.NewGauge("cassiapass_gateway_connections_opened_total", func() float64 { return float64(g.pool.Dialed()) })
	s.NewGauge("cassiapass_gateway_deployment_version", func() float64 {
		if t := g.table.Load(); t != nil {
			return float64(t.Config().Version)
		}
		return 0
	})
	opshttp.CountBytes(s, &m.rpc)
	return m
}

// Metrics returns the set that the metrics listener serves.
func (g *Gateway) Metrics() *vm.Set { return g.met.set }

func (m *metrics) count(outcome string) {
	m.set.GetOrCreateCounter(`cassiapass_gateway_requests_total{outcome="` + outcome + `"}`).Inc()
}

func (m *metrics) ended(outcome string, took, first time.Duration) {
	m.count(outcome)
	m.took.Update(took.Seconds())
	if first > 0 {
		m.first.Update(first.Seconds())
	}
}
