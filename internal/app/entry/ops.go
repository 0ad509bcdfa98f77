package entry

import (
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	vm "github.com/VictoriaMetrics/metrics"
	"github.com/labstack/echo/v4"

	"github.com/cassiapass/cassiapass/internal/adapter/opshttp"
	"github.com/cassiapass/cassiapass/internal/core/ident"
	"github.com/cassiapass/cassiapass/internal/core/view"
)

// metrics are the measurements of one entry.
type metrics struct {
	set                                                     *vm.Set
	attempts, retries, resubmits, resumes, gaps, duplicates *vm.Counter
	lateParts, catchUps, demands, budgetEmpty               *vm.Counter
	seconds, claimSeconds                                   *vm.Summary
	waiting                                                 atomic.Int64
}

func newMetrics(e *Entry) *metrics {
	s := vm.NewSet()
	m := &metrics{
		set:          s,
		attempts:     s.NewCounter("cassiapass_entry_attempts_total"),
		retries:      s.NewCounter("cassiapass_entry_retries_total"),
		resubmits:    s.NewCounter("cassiapass_entry_resubmits_total"),
		resumes:      s.NewCounter("cassiapass_entry_resumes_total"),
		gaps:         s.NewCounter("cassiapass_entry_answer_gaps_total"),
		duplicates:   s.NewCounter("cassiapass_entry_duplicate_parts_total"),
		lateParts:    s.NewCounter("cassiapass_entry_late_parts_total"),
		catchUps:     s.NewCounter("cassiapass_entry_config_catch_ups_total"),
		demands:      s.NewCounter("cassiapass_entry_demands_total"),
		budgetEmpty:  s.NewCounter("cassiapass_entry_retry_budget_empty_total"),
		seconds:      s.NewSummary("cassiapass_entry_request_seconds"),
		claimSeconds: s.NewSummary("cassiapass_entry_claim_seconds"),
	}
	s.NewGauge("cassiapass_entry_waiting", func() float64 { return float64(m.waiting.Load()) })
	s.NewGauge("cassiapass_entry_in_progress", func() float64 { return float64(e.requests.inProgress()) })
	opshttp.RegisterByteCounters(s, e.count)
	return m
}

func (m *metrics) outcome(o Outcome, code string) {
	m.set.GetOrCreateCounter(`cassiapass_entry_outcomes_total{outcome="` + string(o) + `",code="` + code + `"}`).Inc()
}

// RequestSummary describes one finished request to operators.
type RequestSummary struct {
	Request  ident.RequestID  `json:"request"`
	Service  string           `json:"service"`
	Customer ident.Customer   `json:"customer"`
	Target   string           `json:"target"`
	Outcome  Outcome          `json:"outcome"`
	Code     string           `json:"code,omitempty"`
	Message  string           `json:"message,omitempty"`
	Tries    []AttemptSummary `json:"tries"`
	At       time.Time        `json:"at"`
	Seconds  float64          `json:"seconds"`
}

const keptRequests = 1024

// recent keeps the last keptRequests finished requests, so that operators can
// look up by request id why a request was refused.
type recent struct {
	mu   sync.Mutex
	byID map[ident.RequestID]RequestSummary
	ring [keptRequests]ident.RequestID
	next int
}

func newRecent() *recent { return &recent{byID: map[ident.RequestID]RequestSummary{}} }

func (r *recent) add(e RequestSummary) {
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.byID, r.ring[r.next])
	r.ring[r.next] = e.Request
	r.byID[e.Request] = e
	r.next = (r.next + 1) % keptRequests
}

func (r *recent) find(id ident.RequestID) (RequestSummary, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	e, ok := r.byID[id]
	return e, ok
}

// debugState is the response body of /debug/state.
type debugState struct {
	Host       ident.HostID `json:"host"`
	Ready      bool         `json:"ready"`
	Index      ident.Index  `json:"index"`
	Config     ident.Index  `json:"config"`
	Entries    int          `json:"entries"`
	InProgress int          `json:"inProgress"`
	Waiting    int64        `json:"waiting"`
	Endpoints  int          `json:"endpoints"`
	Replicas   int          `json:"replicas"`
}

// Config returns the index of the configuration that this entry holds.
func (e *Entry) Config() ident.Index {
	var i ident.Index
	e.follower.Read(func(v *view.View) { i = v.Config() })
	return i
}

// Ops returns the HTTP interface for operators.
func (e *Entry) Ops() *echo.Echo {
	x := opshttp.New(e.checkReady, e.met.set)
	x.GET("/debug/state", func(c echo.Context) error {
		d := debugState{Host: e.cfg.Host, Ready: e.Ready(), Entries: e.follower.Entries(), InProgress: e.requests.inProgress(), Waiting: e.met.waiting.Load()}
		e.follower.Read(func(v *view.View) {
			d.Index, d.Config, d.Endpoints, d.Replicas = v.Index(), v.Config(), len(v.Endpoints()), len(v.Replicas())
		})
		return c.JSON(http.StatusOK, d)
	})
	x.GET("/debug/requests/:id", func(c echo.Context) error {
		if ended, ok := e.recent.find(ident.RequestID(c.Param("id"))); ok {
			return c.JSON(http.StatusOK, ended)
		}
		return c.String(http.StatusNotFound, "no such request among the last ones of this entry\n")
	})
	return x
}
