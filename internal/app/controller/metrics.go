package controller

import (
	"fmt"
	"time"

	vm "github.com/VictoriaMetrics/metrics"

	"github.com/cassiapass/cassiapass/internal/core/fleet"
)

// metrics are the measurements of one controller.
type metrics struct{ set *vm.Set }

func newMetrics(set *vm.Set) *metrics {
	if set == nil {
		set = vm.NewSet()
	}
	return &metrics{set}
}

// ordered counts an order by how the engine answered.
func (m *metrics) ordered(o fleet.Order, a fleet.Answer) {
	m.set.GetOrCreateCounter(fmt.Sprintf(`cassiapass_fleet_orders_total{op=%q,answer=%q}`, o.Op, a)).Inc()
}

// unreadable counts entries of the list that could not be used.
func (m *metrics) unreadable(n int) {
	m.set.GetOrCreateCounter("cassiapass_fleet_list_unreadable_total").Add(n)
}

// planned counts a plan and how long it took.
func (m *metrics) planned(took time.Duration) {
	m.set.GetOrCreateHistogram("cassiapass_fleet_plan_seconds").Update(took.Seconds())
}

// quarantined counts a request that is not run any more.
func (m *metrics) quarantined() {
	m.set.GetOrCreateCounter("cassiapass_fleet_requests_quarantined_total").Inc()
}

// settled counts loads of weights by source, and how long they took.
func (m *metrics) settled(s fleet.Settled) {
	if s.Op != fleet.Load || s.Want.Adapter != "" {
		return
	}
	m.set.GetOrCreateCounter(fmt.Sprintf(`cassiapass_fleet_loads_total{source=%q}`, s.Source)).Inc()
	m.set.GetOrCreateHistogram(fmt.Sprintf(`cassiapass_fleet_load_seconds{source=%q}`, s.Source)).Update(s.Took.Seconds())
}
