package gateway

import (
	"context"
	"errors"
	"sync"
	"syscall"
	"time"

	"github.com/cassiapass/cassiapass/internal/adapter/sockets"
	"github.com/cassiapass/cassiapass/internal/core/ending"
	"github.com/cassiapass/cassiapass/internal/core/limit"
	"github.com/cassiapass/cassiapass/internal/core/standby"
)

// errRescued is the cancellation cause of an attempt whose run goes on elsewhere.
var errRescued = errors.New("the run goes on elsewhere")

// silenceWatch rescues the run of one attempt that brings no events, or whose endpoint is removed. The connection stays open while
// the source is asked, so that a wrong suspicion changes nothing.
type silenceWatch struct {
	x      *exchange
	e      *endpoint
	ctx    context.Context
	cancel context.CancelCauseFunc // ends the attempt

	mu     sync.Mutex
	timer  *time.Timer
	over   bool
	asking chan struct{} // closed when the source has been asked; nil if it is not
	asked  int           // times without a result
	plan   *goOnPlan     // how the run goes on; nil while it does not
	due    time.Time     // when the timer fires
	first  time.Time     // when the first event came
	last   time.Time     // when the newest came, or the request was sent
	events int
}

// watchSilence returns a context that ends the attempt at e when its run is rescued. Without standby it
// is ctx itself.
func (x *exchange) watchSilence(ctx context.Context, e *endpoint) context.Context {
	x.watch, x.rescue = nil, nil
	if !x.standby {
		return ctx
	}
	w := &silenceWatch{x: x, e: e}
	w.ctx, w.cancel = context.WithCancelCause(ctx)
	x.watch = w
	return w.ctx
}

// sent begins the watch when the request was sent.
func (w *silenceWatch) sent(now time.Time) {
	if w == nil {
		return
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.last = now
	w.due = now.Add(w.limit())
	w.timer = time.AfterFunc(w.limit(), w.check)
	w.x.g.standbys.watchRun(w)
}

// event records events that came.
func (w *silenceWatch) event(n int) {
	if w == nil || n == 0 {
		return
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.last, w.asked = time.Now(), 0
	if w.events == 0 {
		w.first = w.last
	}
	w.events += n
}

// endWatch ends the watch, after the source has answered a question in progress, and keeps how the run
// goes on.
func (x *exchange) endWatch() {
	w := x.watch
	if w == nil {
		return
	}
	x.g.standbys.unwatchRun(w)
	w.lockAnswered()
	defer w.mu.Unlock()
	x.rescue, w.over = w.plan, true
	if w.timer != nil {
		w.timer.Stop()
	}
	w.cancel(nil)
}

// taken returns how the run goes on elsewhere, nil if it was not taken from its source.
func (w *silenceWatch) taken() *goOnPlan {
	if w == nil {
		return nil
	}
	w.lockAnswered()
	defer w.mu.Unlock()
	return w.plan
}

// lockAnswered locks mu when no question to the source is in progress.
func (w *silenceWatch) lockAnswered() {
	for {
		w.mu.Lock()
		asking := w.asking
		if asking == nil {
			return
		}
		w.mu.Unlock()
		<-asking
	}
}

// pace returns what the silence is measured by. The caller holds mu.
func (w *silenceWatch) pace() standby.Pace {
	r := w.x.route
	p := standby.Pace{Objective: r.Objective, MaxGap: r.MaxGap, Patience: r.SilenceLimit, Events: w.events, Load: w.x.g.dir.loadOf(w.e)}
	if w.events > 1 {
		p.Mean = w.last.Sub(w.first) / time.Duration(w.events-1)
	}
	return p
}

// loadOf returns the requests at an endpoint relative to its slots.
func (d *directory) loadOf(e *endpoint) float64 {
	d.mu.Lock()
	defer d.mu.Unlock()
	return load(e)
}

// limit returns how long the source may be silent. Each question without a result doubles it. The caller
// holds mu.
func (w *silenceWatch) limit() time.Duration {
	return standby.SilenceLimit(w.pace()) << min(w.asked, maxDoublings)
}

// check asks the source to hand over the run if it has been silent for too long.
func (w *silenceWatch) check() {
	w.mu.Lock()
	if w.over || w.plan != nil || w.asking != nil {
		w.mu.Unlock()
		return
	}
	left := w.limit() - time.Since(w.last)
	if time.Since(w.due) > starvedBy {
		left = max(left, starvedBy)
	}
	if left > 0 {
		w.reset(left)
		w.mu.Unlock()
		return
	}
	w.asking = make(chan struct{})
	events, silent := w.events, time.Since(w.last)
	w.mu.Unlock()

	w.answered(w.x.planRescue(w.ctx, w.e, events, silent))
}

// answered ends a question to the source, after which the run goes on elsewhere or stays.
func (w *silenceWatch) answered(p goOnPlan) {
	w.mu.Lock()
	defer w.mu.Unlock()
	close(w.asking)
	w.asking = nil
	w.asked++
	switch {
	case p.action == standby.KeepWaiting, p.action == standby.EndCut:
		if !w.over {
			w.reset(w.limit())
		}
	default:
		w.plan = &p
		w.cancel(errRescued)
	}
}

// reset has the watch look again after a time. The caller holds mu.
func (w *silenceWatch) reset(after time.Duration) {
	w.due = time.Now().Add(after)
	w.timer.Reset(after)
}

// starvedBy is how late a timer fires in a process that is short of processor time. Events may then lie
// unread, and silence shows nothing of the endpoint.
const starvedBy = 100 * time.Millisecond

// maxDoublings bounds the time between two questions to a source.
const maxDoublings = 4

// planRescue decides how the run at a silent endpoint goes on. It runs beside the attempt, and reads
// only what does not change during one.
func (x *exchange) planRescue(ctx context.Context, e *endpoint, events int, silent time.Duration) goOnPlan {
	b := x.breakAt(e, events)
	b.Silent = true
	p := goOnPlan{events: events, silent: silent}
	if x.goneOn >= maxGoOns || !x.mayRetry() {
		p.action = standby.KeepWaiting
		return p
	}
	target, holds := x.moveTarget(e)
	b.CanMove = target != nil
	b.AnotherAllowed = b.AnotherAllowed && holds
	if !b.CanMove {
		p.source = x.sourceState(e)
		b.Source = p.source
	}
	x.decide(ctx, e, target, b, &p)
	return p
}

// mayRetry reports whether the retry budget allows another send, without taking it.
func (x *exchange) mayRetry() bool {
	return x.g.budget(x.service, func(b *limit.Shared) bool { return b.Left() >= 1 })
}

// sourceState finds out whether an endpoint still lives. The first check shares its result with other
// streams that broke off in the same moment. What it finds is confirmed: an endpoint with too many
// connections closes new ones as one does that ends, and a packet may have been lost.
func (x *exchange) sourceState(e *endpoint) standby.Source {
	if x.g.liveness.check(e.ID, e.Addr, time.Now().Add(-brokeTogether)) == ending.Alive {
		return standby.Alive
	}
	return confirmSource(e.Addr)
}

const (
	// confirmations is how often an endpoint is tried that closes new connections, and confirmPause the
	// time between: one that ends refuses them by then.
	confirmations = 3
	confirmPause  = 20 * time.Millisecond
)

// confirmSource returns Ended only if the host refuses connections at the address.
func confirmSource(addr string) standby.Source {
	d := sockets.Dialer(livenessTimeout)
	for range confirmations {
		c, err := d.Dial("tcp", addr)
		switch {
		case errors.Is(err, syscall.ECONNREFUSED):
			return standby.Ended
		case err != nil:
			return standby.Unreachable
		}
		_ = c.Close()
		time.Sleep(confirmPause)
	}
	return standby.Alive
}
