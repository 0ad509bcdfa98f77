package gateway

import (
	"strconv"

	vm "github.com/VictoriaMetrics/metrics"

	"github.com/cassiapass/cassiapass/internal/core/standby"
)

// registerStandby registers what is known of the copies of runs.
func registerStandby(s *vm.Set, g *Gateway) {
	count := func(f func(copies, tokens int) int) func() float64 {
		return func() float64 {
			g.standbys.mu.Lock()
			defer g.standbys.mu.Unlock()
			return float64(f(g.standbys.ledger.Copies()))
		}
	}
	s.NewGauge("cassiapass_gateway_run_copies", count(func(copies, _ int) int { return copies }))
	s.NewGauge("cassiapass_gateway_run_copy_tokens", count(func(_, tokens int) int { return tokens }))
}

// countProtected counts a run by whether its memory is copied, and if not, whether there was an endpoint
// that could hold the copy.
func (m *metrics) countProtected(protected, holders bool) {
	result := "protected"
	switch {
	case !protected && holders:
		result = "over_bound"
	case !protected:
		result = "no_holder"
	}
	m.set.GetOrCreateCounter(`cassiapass_gateway_runs_protected_total{result="` + result + `"}`).Inc()
}

// countMoved counts a run that its endpoint was asked to move, by the result.
func (m *metrics) countMoved(result string) {
	m.set.GetOrCreateCounter(`cassiapass_gateway_runs_moved_total{result="` + result + `"}`).Inc()
}

// countGoneOn counts a run that broke off, by what was decided and what came of it.
func (m *metrics) countGoneOn(a standby.Action, outcome string) {
	m.set.GetOrCreateCounter(`cassiapass_gateway_runs_gone_on_total{action="` + a.String() + `",outcome=` + strconv.Quote(outcome) + `}`).Inc()
}
