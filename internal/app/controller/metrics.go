package controller

import (
	"fmt"
	"time"

	vm "github.com/VictoriaMetrics/metrics"

	"github.com/cassiapass/cassiapass/internal/core/fleet"
	"github.com/cassiapass/cassiapass/internal/core/pace"
)

// metrics holds the metrics of one controller.
type metrics struct{ set *vm.Set }

func newMetrics(set *vm.Set) *metrics {
	if set == nil {
		set = vm.NewSet()
	}
	return &metrics{set}
}

// countOrder counts an order by operation and answer.
func (m *metrics) countOrder(o fleet.Order, a fleet.Answer) {
	m.set.GetOrCreateCounter(fmt.Sprintf(`cassiapass_fleet_orders_total{op=%q,answer=%q}`, o.Op, a)).Inc()
}

// countUnreadable counts entries of the platform's list that could not be read.
func (m *metrics) countUnreadable(n int) {
	m.set.GetOrCreateCounter("cassiapass_fleet_list_unreadable_total").Add(n)
}

// observePlan records the duration of a plan.
func (m *metrics) observePlan(took time.Duration) {
	m.set.GetOrCreateHistogram("cassiapass_fleet_plan_seconds").Update(took.Seconds())
}

// countQuarantined counts a request that was quarantined.
func (m *metrics) countQuarantined() {
	m.set.GetOrCreateCounter("cassiapass_fleet_requests_quarantined_total").Inc()
}

// setSlowEndpoints sets how many endpoints are published as slower than their peers.
func (m *metrics) setSlowEndpoints(factors map[string]pace.Factor) {
	n := 0
	for _, f := range factors {
		if f > pace.Usual {
			n++
		}
	}
	m.set.GetOrCreateGauge("cassiapass_fleet_endpoints_slow", nil).Set(float64(n))
}

// observeLoad counts loads of base models by source and records their duration.
func (m *metrics) observeLoad(s fleet.Settled) {
	if s.Op != fleet.Load || s.Want.Adapter != "" {
		return
	}
	m.set.GetOrCreateCounter(fmt.Sprintf(`cassiapass_fleet_loads_total{source=%q}`, s.Source)).Inc()
	m.set.GetOrCreateHistogram(fmt.Sprintf(`cassiapass_fleet_load_seconds{source=%q}`, s.Source)).Update(s.Took.Seconds())
}

// countNoted counts streams of which the log names the release that began them.
func (m *metrics) countNoted(n int) {
	m.set.GetOrCreateCounter("cassiapass_fleet_streams_noted_total").Add(n)
}
