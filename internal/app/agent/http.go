package agent

import (
	"context"
	"errors"
	"net/http"

	vm "github.com/VictoriaMetrics/metrics"
	"github.com/labstack/echo/v4"

	"github.com/cassiapass/cassiapass/internal/adapter/opshttp"
	"github.com/cassiapass/cassiapass/internal/core/ident"
	"github.com/cassiapass/cassiapass/internal/core/ledger"
	"github.com/cassiapass/cassiapass/internal/core/routing"
	"github.com/cassiapass/cassiapass/internal/wire"
)

// metrics are the measurements of one agent.
type metrics struct {
	set        *vm.Set
	started    *vm.Counter
	duplicates *vm.Counter
	resumes    *vm.Counter
	reattached *vm.Counter
	crossed    *vm.Counter
}

func newMetrics(a *Agent) *metrics {
	s := vm.NewSet()
	m := &metrics{
		set:        s,
		started:    s.NewCounter("cassiapass_agent_runs_started_total"),
		duplicates: s.NewCounter("cassiapass_agent_duplicate_attempts_total"),
		resumes:    s.NewCounter("cassiapass_agent_engine_resumes_total"),
		reattached: s.NewCounter("cassiapass_agent_entry_resumes_total"),
		crossed:    s.NewCounter("cassiapass_agent_crossed_answers_total"),
	}
	locked := func(f func() float64) func() float64 {
		return func() float64 {
			a.mu.Lock()
			defer a.mu.Unlock()
			return f()
		}
	}
	s.NewGauge("cassiapass_agent_memory_used_bytes", locked(func() float64 { return float64(a.ledger.Used()) }))
	s.NewGauge("cassiapass_agent_memory_peak_bytes", locked(func() float64 { return float64(a.ledger.Peak()) }))
	s.NewGauge("cassiapass_agent_memory_limit_bytes", func() float64 { return float64(a.cfg.Memory) })
	s.NewGauge("cassiapass_agent_running", locked(func() float64 { return float64(a.queue.Running()) }))
	s.NewGauge("cassiapass_agent_waiting", locked(func() float64 { return float64(a.queue.Waiting()) }))
	opshttp.RegisterByteCounters(s, a.count)
	return m
}

func (m *metrics) ended(s wire.RunState) {
	m.set.GetOrCreateCounter(`cassiapass_agent_runs_ended_total{state="` + string(s) + `"}`).Inc()
}

func (m *metrics) refused(reason string) {
	m.set.GetOrCreateCounter(`cassiapass_agent_refused_total{reason="` + reason + `"}`).Inc()
}

var errNotReady = errors.New("not registered, not current, or leaving")

// DebugState is the response body of /debug/state.
type DebugState struct {
	Host     ident.HostID  `json:"host"`
	Index    ident.Index   `json:"index"`
	Ready    bool          `json:"ready"`
	Load     routing.Load  `json:"load"`
	Replicas []ledger.Line `json:"replicas"`
	Used     int64         `json:"usedBytes"`
	Peak     int64         `json:"peakBytes"`
	Limit    int64         `json:"limitBytes"`
	Runs     int           `json:"runs"`
}

// Debug returns the agent's state for operators.
func (a *Agent) Debug() DebugState {
	a.mu.Lock()
	defer a.mu.Unlock()
	return DebugState{
		Host: a.cfg.Host, Index: a.follower.Index(), Ready: a.ready(), Load: a.load(), Replicas: a.ledger.Lines(),
		Used: a.ledger.Used(), Peak: a.ledger.Peak(), Limit: a.cfg.Memory, Runs: len(a.runs),
	}
}

func (a *Agent) ready() bool { return a.registered && !a.leaving && a.follower.Ready() }

// Ready reports whether the agent is registered, has a current view and is not
// leaving.
func (a *Agent) Ready() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.ready()
}

// API returns the HTTP interface for operators.
func (a *Agent) API() *echo.Echo {
	ready := func(context.Context) error {
		if !a.Ready() {
			return errNotReady
		}
		return nil
	}
	e := opshttp.New(ready, a.met.set)
	e.GET("/debug/state", func(x echo.Context) error { return x.JSON(http.StatusOK, a.Debug()) })
	return e
}
