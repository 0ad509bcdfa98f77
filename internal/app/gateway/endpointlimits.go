package gateway

import (
	"context"
	"time"

	"github.com/cassiapass/cassiapass/internal/core/allowance"
	"github.com/cassiapass/cassiapass/internal/core/fleet"
	"github.com/cassiapass/cassiapass/internal/wire"
)

const (
	// permitTimeout bounds a report to the leader.
	permitTimeout = 250 * time.Millisecond
	// urgentPermitPause is the minimum time between two reports while requests wait for permits.
	urgentPermitPause = 10 * time.Millisecond
	// briefWait is how long a request that another endpoint could take waits for a permit of
	// the one that was chosen for it: a round trip to the leader and a pause between reports.
	briefWait = 20 * time.Millisecond
)

// endpointLimits reports to the leader what is asked for at endpoints that limit their requests,
// and applies the permits that it grants. What is known of limits is in the directory.
type endpointLimits struct {
	g      *Gateway
	signal chan struct{} // signalled when a report is due
}

func newEndpointLimits(g *Gateway) *endpointLimits {
	return &endpointLimits{g: g, signal: make(chan struct{}, 1)}
}

// signalReport has a report made soon.
func (l *endpointLimits) signalReport() {
	select {
	case l.signal <- struct{}{}:
	default: // a report is pending already
	}
}

// run reports to the leader while there is anything to report, until the gateway stops.
func (l *endpointLimits) run(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-l.signal:
		}
		for begun := (time.Time{}); l.g.dir.permitsPending(); begun = time.Now() {
			if !l.pause(ctx, begun) {
				return
			}
			l.report(ctx)
		}
	}
}

// pause waits until the next report may be made, after the last one at begun. It returns false
// when the gateway stops.
func (l *endpointLimits) pause(ctx context.Context, begun time.Time) bool {
	for {
		interval := allowance.PermitInterval
		if l.g.dir.awaitsPermits() {
			interval = urgentPermitPause
		}
		timer := time.NewTimer(time.Until(begun.Add(interval)))
		select {
		case <-ctx.Done():
			timer.Stop()
			return false
		case <-l.signal: // a request may wait now
			timer.Stop()
		case <-timer.C:
			return true
		}
	}
}

// report reports to the leader and applies its answer.
func (l *endpointLimits) report(ctx context.Context) {
	askedAt := time.Now()
	r, err := l.call(ctx, l.g.dir.permitReport(askedAt))
	if err != nil {
		if l.g.dir.permitsUnanswered(time.Now()) {
			l.g.cfg.Log.Info().Err(err).Msg("permits_not_granted")
		}
		return
	}
	l.g.dir.permitsAnswered(time.Now(), askedAt, r.Answer)
}

func (l *endpointLimits) call(ctx context.Context, rep allowance.PermitReport) (wire.PermitResult, error) {
	var r wire.PermitResult
	conn := l.g.sync.leader()
	if conn == nil {
		return r, errNoLeader
	}
	ctx, cancel := context.WithTimeout(ctx, permitTimeout)
	defer cancel()
	err := conn.Call(ctx, wire.MethodPermits, wire.PermitParams{Host: l.g.cfg.Host, Report: rep}, &r)
	if err == nil && !r.Leading {
		err = errNoLeader
	}
	return r, err
}

// limitSource is where an entry learned of a limit.
type limitSource string

const (
	fromEndpoint limitSource = "endpoint"
	fromLeader   limitSource = "leader"
)

// observeLimit records what an answer says about its endpoint's limit. sentAt is when the
// request was sent.
func (d *directory) observeLimit(e *endpoint, sentAt time.Time, n NamedLimit) {
	d.mu.Lock()
	defer d.mu.Unlock()
	now := time.Now()
	switch {
	case n.Named && !n.Readable:
		if d.unreadable[e.ID] != n.Text {
			d.unreadable[e.ID] = n.Text
			d.log.Warn().Str("endpoint", string(e.ID)).Str("text", n.Text).Msg("endpoint_limit_unreadable")
		}
		return
	case n.Named:
		d.limitChanged(e.ID, d.limits.Named(now, string(e.ID), n.Rate), fromEndpoint)
	default:
		d.limitChanged(e.ID, d.limits.Unlimited(now, sentAt, string(e.ID)), fromEndpoint)
	}
	delete(d.unreadable, e.ID)
}

// mergeLimits applies what the leader says of limits. askedAt is when the message that it answers
// was sent.
func (d *directory) mergeLimits(term uint64, askedAt time.Time, said []allowance.EndpointStatement) {
	d.mu.Lock()
	defer d.mu.Unlock()
	now := time.Now()
	d.limits.Reached(term)
	for _, s := range said {
		if id := fleet.EndpointID(s.Endpoint); d.byID[id] != nil {
			d.limitChanged(id, d.limits.Merge(now, askedAt, s), fromLeader)
		}
	}
	d.signalPermits(now)
}

// limitChanged logs a change of an endpoint's limit and makes it known. The caller holds mu.
func (d *directory) limitChanged(id fleet.EndpointID, c allowance.Change, source limitSource) {
	switch c {
	case allowance.Named:
		s, _ := d.limits.Limit(string(id))
		d.log.Info().Str("endpoint", string(id)).Float64("rate", s.Rate).Dur("age", time.Since(s.At)).Str("source", string(source)).Msg("endpoint_limit_named")
		d.metrics.setEndpointLimit(id, s.Rate)
	case allowance.Ended:
		d.log.Info().Str("endpoint", string(id)).Str("source", string(source)).Msg("endpoint_limit_ended")
		d.metrics.setEndpointLimit(id, 0)
		d.wakeLocked()
	default:
		return
	}
	d.signalPermits(time.Now())
}

// signalPermits has a report made if one is due. The caller holds mu.
func (d *directory) signalPermits(now time.Time) {
	if d.limits.Pending(now) && d.onPermitsPending != nil {
		d.onPermitsPending()
	}
}

// setEntries sets the number of entries.
func (d *directory) setEntries(n int) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.limits.SetEntries(n)
	d.notices.SetEntries(n)
}

func (d *directory) permitsPending() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.limits.Pending(time.Now())
}

// awaitsPermits reports whether requests wait for permits that the leader may have.
func (d *directory) awaitsPermits() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.limits.Waiting() && !d.limits.Silent()
}

func (d *directory) permitReport(now time.Time) allowance.PermitReport {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.limits.Report(now)
}

// permitsAnswered applies the leader's answer to the report that was made at askedAt.
func (d *directory) permitsAnswered(now, askedAt time.Time, a allowance.PermitAnswer) {
	d.mu.Lock()
	defer d.mu.Unlock()
	for endpoint, c := range d.limits.Answered(now, askedAt, a) {
		d.limitChanged(fleet.EndpointID(endpoint), c, fromLeader)
	}
	if d.limits.Waiting() {
		d.wakeLocked()
	}
}

// permitsUnanswered records that a report was not answered, and returns whether the one before
// was.
func (d *directory) permitsUnanswered(now time.Time) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	first := !d.limits.Silent()
	d.limits.Unanswered(now)
	if d.limits.Waiting() {
		d.wakeLocked() // some may be sent at the fallback rate
	}
	return first
}

// endWait ends a request's wait for a permit.
func (d *directory) endWait(w *allowance.Waiter) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.limits.Done(w)
	delete(d.waiters, w)
}

// limitState is what an entry knows of a limited endpoint, for logs.
type limitState struct {
	endpoint fleet.EndpointID
	rate     float64       // requests a second
	age      time.Duration // since the endpoint named it
	expected time.Duration // until a permit for this request, if known
	known    bool
	silent   bool // the leader does not answer
}

// limitState returns the state of an endpoint's limit. The caller holds mu.
func (d *directory) limitState(now time.Time, id fleet.EndpointID, w *allowance.Waiter) limitState {
	s, _ := d.limits.Limit(string(id))
	st := limitState{endpoint: id, rate: s.Rate, age: now.Sub(s.At), silent: d.limits.Silent()}
	st.expected, st.known = d.limits.Expect(now, string(id), w)
	return st
}
