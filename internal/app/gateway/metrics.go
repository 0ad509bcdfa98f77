package gateway

import (
	"fmt"
	"strconv"
	"sync"
	"time"

	vm "github.com/VictoriaMetrics/metrics"

	"github.com/cassiapass/cassiapass/internal/adapter/http1"
	"github.com/cassiapass/cassiapass/internal/adapter/opshttp"
	"github.com/cassiapass/cassiapass/internal/adapter/rpc"
	"github.com/cassiapass/cassiapass/internal/core/allowance"
	"github.com/cassiapass/cassiapass/internal/core/ending"
	"github.com/cassiapass/cassiapass/internal/core/feature"
	"github.com/cassiapass/cassiapass/internal/core/fleet"
	"github.com/cassiapass/cassiapass/internal/core/ident"
)

// metrics are the metrics of one gateway.
type metrics struct {
	set       *vm.Set
	rpc       rpc.ByteCounter
	duration  *vm.Histogram
	wait      *vm.Histogram
	firstByte *vm.Histogram
	gaps      *vm.Histogram
	runGap    *vm.Histogram // without events before the first one of a run that went on

	mu     sync.Mutex
	labels map[ident.Customer]bool // customers with counters of their own
}

func newMetrics(g *Gateway) *metrics {
	s := vm.NewSet()
	m := &metrics{
		labels:    map[ident.Customer]bool{},
		set:       s,
		duration:  s.NewHistogram("cassiapass_gateway_request_seconds"),
		wait:      s.NewHistogram("cassiapass_gateway_wait_seconds"),
		firstByte: s.NewHistogram("cassiapass_gateway_first_byte_seconds"),
		gaps:      s.NewHistogram("cassiapass_gateway_stream_gap_seconds"),
		runGap:    s.NewHistogram("cassiapass_gateway_run_gap_seconds"),
	}
	s.NewGauge("cassiapass_gateway_requests_under_way", func() float64 { return float64(g.inflight.Load()) })
	s.NewGauge("cassiapass_gateway_endpoint_list_age_seconds", func() float64 { return g.dir.listAge().Seconds() })
	s.NewGauge("cassiapass_gateway_connections_opened_total", func() float64 { return float64(g.pool.Dialed()) })
	s.NewGauge("cassiapass_gateway_connections_with_unexpected_bytes_total", func() float64 { return float64(g.pool.Unexpected()) })
	s.NewGauge("cassiapass_gateway_deployment_version", func() float64 {
		if t := g.table.Load(); t != nil {
			return float64(t.Config().Version)
		}
		return 0
	})
	s.NewGauge("cassiapass_gateway_endpoints", func() float64 { return float64(g.dir.count()) })
	s.NewGauge("cassiapass_gateway_endpoints_slow", func() float64 { return float64(g.dir.slowEndpoints()) })
	s.NewGauge("cassiapass_gateway_entries_known", func() float64 { return float64(g.entries.Load()) })
	s.NewGauge("cassiapass_gateway_retry_budget_left", g.budgetLeft)
	s.NewGauge("cassiapass_gateway_requests_suspect", func() float64 { n, _ := g.suspects.count(time.Now(), false); return float64(n) })
	s.NewGauge("cassiapass_gateway_requests_quarantined", func() float64 { _, n := g.suspects.count(time.Now(), false); return float64(n) })
	s.NewGauge("cassiapass_gateway_parts_suspect", func() float64 { n, _ := g.suspects.count(time.Now(), true); return float64(n) })
	s.NewGauge("cassiapass_gateway_parts_quarantined", func() float64 { _, n := g.suspects.count(time.Now(), true); return float64(n) })
	for _, n := range feature.Names() {
		s.NewGauge(fmt.Sprintf("cassiapass_gateway_feature_in_use{feature=%q}", n), func() float64 {
			if g.enabled(n) {
				return 1
			}
			return 0
		})
	}
	registerStandby(s, g)
	g.clients.RegisterMetrics(s, "callers")
	opshttp.RegisterByteCounters(s, &m.rpc)
	return m
}

// Metrics returns the set that the metrics listener serves.
func (g *Gateway) Metrics() *vm.Set { return g.metrics.set }

func (m *metrics) countRequest(outcome string, reason refusalReason) {
	m.set.GetOrCreateCounter(`cassiapass_gateway_requests_total{outcome="` + outcome + `",reason="` + string(reason) + `"}`).Inc()
}

func (m *metrics) countRetry(allowed bool) {
	name := `cassiapass_gateway_retries_total{result="sent"}`
	if !allowed {
		name = `cassiapass_gateway_retries_total{result="over_budget"}`
	}
	m.set.GetOrCreateCounter(name).Inc()
}

// countStrayAnswer counts an answer that an endpoint sent to a request other than the one asked last.
func (m *metrics) countStrayAnswer() {
	m.set.GetOrCreateCounter(`cassiapass_gateway_stray_answers_total`).Inc()
}

// countUnprovenRefusal counts an endpoint's answer that callers read as "not run" although the endpoint
// does not state it.
func (m *metrics) countUnprovenRefusal() {
	m.set.GetOrCreateCounter(`cassiapass_gateway_unproven_refusals_total`).Inc()
}

// setEndpointLimit sets the limit in force of an endpoint, in requests a second; 0 removes it.
func (m *metrics) setEndpointLimit(id fleet.EndpointID, rate float64) {
	name := `cassiapass_gateway_endpoint_limit{endpoint=` + strconv.Quote(string(id)) + `}`
	if rate == 0 {
		m.set.UnregisterMetric(name)
		return
	}
	m.set.GetOrCreateGauge(name, nil).Set(rate)
}

// dropEndpoint removes the metrics of an endpoint that is gone.
func (m *metrics) dropEndpoint(id fleet.EndpointID) {
	m.setEndpointLimit(id, 0)
	m.set.UnregisterMetric(byEndpoint(`cassiapass_gateway_endpoint_leaving`, id))
	m.set.UnregisterMetric(byEndpoint(`cassiapass_gateway_endpoint_pause_seconds`, id))
	m.set.UnregisterMetric(byEndpoint(`cassiapass_gateway_endpoint_pauses_total`, id))
	m.set.UnregisterMetric(byEndpoint(`cassiapass_gateway_endpoint_sends_withheld_total`, id))
	for _, by := range []string{"permit", "fallback"} {
		m.set.UnregisterMetric(limitedSends(id, by))
	}
}

// byEndpoint returns the name of a metric of one endpoint.
func byEndpoint(name string, id fleet.EndpointID) string {
	return name + `{endpoint=` + strconv.Quote(string(id)) + `}`
}

// recordPause counts a pause that an endpoint asked for, and shows what is left of it.
func (m *metrics) recordPause(id fleet.EndpointID, left func() float64) {
	m.set.GetOrCreateCounter(byEndpoint(`cassiapass_gateway_endpoint_pauses_total`, id)).Inc()
	m.set.GetOrCreateGauge(byEndpoint(`cassiapass_gateway_endpoint_pause_seconds`, id), left)
}

// recordLeaving shows that an endpoint has said that it leaves.
func (m *metrics) recordLeaving(id fleet.EndpointID) {
	m.set.GetOrCreateGauge(byEndpoint(`cassiapass_gateway_endpoint_leaving`, id), nil).Set(1)
}

// countSlowAvoided counts a choice in which an endpoint known to be slow was left out.
func (m *metrics) countSlowAvoided() {
	m.set.GetOrCreateCounter(`cassiapass_gateway_slow_endpoints_avoided_total`).Inc()
}

// countWithheld counts a request that was not sent to the endpoint that was chosen for it.
func (m *metrics) countWithheld(id fleet.EndpointID) {
	m.set.GetOrCreateCounter(byEndpoint(`cassiapass_gateway_endpoint_sends_withheld_total`, id)).Inc()
}

func limitedSends(id fleet.EndpointID, by string) string {
	return `cassiapass_gateway_limited_sends_total{endpoint=` + strconv.Quote(string(id)) + `,by="` + by + `"}`
}

// countLimitedSend counts a request that is sent to a limited endpoint, with a permit or, while
// the leader is silent, at the fallback rate.
func (m *metrics) countLimitedSend(id fleet.EndpointID, fallback bool) {
	by := "permit"
	if fallback {
		by = "fallback"
	}
	m.set.GetOrCreateCounter(limitedSends(id, by)).Inc()
}

// maxLabels bounds the customers that have counters of their own.
const maxLabels = 200

// countAllowance counts a request of a customer with an allowance.
func (m *metrics) countAllowance(name ident.Customer, d allowance.Decision) {
	result := "over"
	switch {
	case d.Admitted:
		result = "admitted"
	case d.Silent:
		result = "unsure"
	}
	m.set.GetOrCreateCounter(`cassiapass_gateway_allowance_requests_total{customer="` + m.label(name) + `",result="` + result + `"}`).Inc()
}

// label returns a customer's name as a label; "other" beyond the first maxLabels.
func (m *metrics) label(name ident.Customer) string {
	m.mu.Lock()
	defer m.mu.Unlock()
	if !m.labels[name] && len(m.labels) >= maxLabels {
		return "other"
	}
	m.labels[name] = true
	return strconv.Quote(string(name))[1 : len(strconv.Quote(string(name)))-1]
}

// countAnswer counts an answer by what ends its body.
func (m *metrics) countAnswer(f http1.Framing) {
	m.set.GetOrCreateCounter(`cassiapass_gateway_answers_total{framing="` + string(f) + `"}`).Inc()
}

// countUnframed counts an answer that ended with its connection.
func (m *metrics) countUnframed(v ending.Verdict) {
	m.set.GetOrCreateCounter(`cassiapass_gateway_unframed_answers_total{verdict="` + v.String() + `"}`).Inc()
}

// countTakenUp counts a request that takes up a stream, by whether it is known which release began it
// and who knew, or was asked last.
func (m *metrics) countTakenUp(found bool, source originSource) {
	m.set.GetOrCreateCounter(`cassiapass_gateway_streams_taken_up_total{release_known="` + strconv.FormatBool(found) + `",source="` + string(source) + `"}`).Inc()
}

// countTrial counts a request that asked for a trial of its suspect parts.
func (m *metrics) countTrial(granted bool, by trialSource) {
	m.set.GetOrCreateCounter(`cassiapass_gateway_suspect_trials_total{granted="` + strconv.FormatBool(granted) + `",by="` + string(by) + `"}`).Inc()
}

// countBroken counts an answer that an endpoint broke off.
func (m *metrics) countBroken(ended bool) {
	name := `cassiapass_gateway_answers_broken_total{endpoint="alive"}`
	if ended {
		name = `cassiapass_gateway_answers_broken_total{endpoint="ended"}`
	}
	m.set.GetOrCreateCounter(name).Inc()
}

func (m *metrics) observeRequest(outcome string, reason refusalReason, took, waited, first time.Duration) {
	if outcome == "answered" {
		reason = "" // what delayed it is in the histogram of waits
	}
	m.countRequest(outcome, reason)
	m.duration.Update(took.Seconds())
	if waited > 0 {
		m.wait.Update(waited.Seconds())
	}
	if first > 0 {
		m.firstByte.Update(first.Seconds())
	}
}

// observeGap observes the time since the last piece of an answer and returns now.
func (m *metrics) observeGap(last time.Time) time.Time {
	now := time.Now()
	m.gaps.Update(now.Sub(last).Seconds())
	return now
}
