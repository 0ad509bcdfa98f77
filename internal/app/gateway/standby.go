package gateway

import (
	"context"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cassiapass/cassiapass/internal/core/deploy"
	"github.com/cassiapass/cassiapass/internal/core/feature"
	"github.com/cassiapass/cassiapass/internal/core/fleet"
	"github.com/cassiapass/cassiapass/internal/core/standby"
)

const (
	// maxGoOns is how often one run may go on elsewhere: a run whose second endpoint also fails is
	// more likely the cause than the victim.
	maxGoOns = 2
	// moveTimeout bounds the question to a source to move a run. A move of some thousand tokens takes
	// a few milliseconds, and the caller notices a pause after some 300 ms.
	moveTimeout = 400 * time.Millisecond
	// freeTimeout bounds the call that frees a copy nobody needs.
	freeTimeout = time.Second
)

// standbys is what this entry knows of the copies of the runs whose streams it forwards. An entry that
// ends takes this with it: its callers come back elsewhere, and the endpoints drop the copies after
// their lifetime.
type standbys struct {
	mu      sync.Mutex
	ledger  standby.Ledger
	rescues standby.Rescues[fleet.EndpointID]
	watched map[fleet.EndpointID]map[*silenceWatch]bool // attempts in progress
	sampled atomic.Uint64                               // runs protected, for the log
}

// protection is the copy of one run's memory.
type protection struct {
	source *endpoint
	holder *endpoint
	run    standby.Run
}

// standsBy reports whether the request's run may go on at another endpoint when its own fails.
func (x *exchange) standsBy() bool {
	return x.route.Repeat == deploy.Stream && x.info.Want.Model != "" && (x.route.Resumable || x.info.LastEvent == "") &&
		x.g.cfg.Runs != nil && x.g.enabled(feature.Standby)
}

// engine returns the engine of the request's service, nil if there is none.
func (x *exchange) engine() *deploy.Engine {
	t := x.g.table.Load()
	if t == nil || t.Config().Services[x.service] == nil {
		return nil
	}
	return t.Config().Services[x.service].Engine
}

// protect chooses the endpoint to which the run's memory at e is to be copied, and returns its address;
// "" if there is none. A run that goes on keeps the copy that it has until it is used.
func (x *exchange) protect(e *endpoint) string {
	en := x.engine()
	if !x.standby || en == nil || !en.Backups || !x.g.enabled(feature.Backups) || x.goOnFrom != "" || x.route.MayRepeat() {
		return ""
	}
	x.unprotect()
	run := standby.Run{Tokens: x.info.Prompt + x.expectedOutput(), Repeatable: x.route.MayRepeat(), Expected: x.g.pace.expected(x.expectedOutput())}
	bounds := standby.NewBounds(en.KVTokens, en.KVTokenBytes, en.LinkMbps, int(x.g.entries.Load()))
	now := time.Now()
	eps, holders := x.g.dir.holders(now, e, x.info.Want, x.tried)
	s := &x.g.standbys
	s.mu.Lock()
	i := s.ledger.Pick(now, run, holders, bounds)
	if i >= 0 {
		s.ledger.Add(now, holders[i].ID, run, bounds)
	}
	s.mu.Unlock()
	x.g.metrics.countProtected(i >= 0, len(holders) > 0)
	if i < 0 {
		return ""
	}
	x.copy = &protection{source: e, holder: eps[i], run: run}
	if s.sampled.Add(1)%protectedLogSample == 1 {
		x.g.cfg.Log.Info().Str("request", x.info.ID).Str("source", string(e.ID)).Str("holder", string(eps[i].ID)).Bool("same_zone", holders[i].SameZone).
			Int("tokens", run.Tokens).Int("holders", len(holders)).Int("one_of", protectedLogSample).Msg("run_protected")
	}
	return eps[i].Addr
}

// protectedLogSample is the number of protected runs of which one is logged.
const protectedLogSample = 64

// unprotect ends the count of the run's copy. The endpoints drop it when the run has ended, or after
// its lifetime.
func (x *exchange) unprotect() {
	if x.copy == nil {
		return
	}
	s := &x.g.standbys
	s.mu.Lock()
	s.ledger.Remove(x.copy.holder.ID, x.copy.run)
	s.mu.Unlock()
	x.copy = nil
}

// expectedOutput returns the tokens that the answer is expected to have.
func (x *exchange) expectedOutput() int {
	if x.info.Hint > 0 {
		return x.info.Hint
	}
	return x.info.MaxOutput
}

// expected returns how long that many tokens take at the usual pace.
func (p *tokenPace) expected(tokens int) time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.perToken * time.Duration(tokens)
}

// holders returns the endpoints that can hold the memory of a run at e and go on with it: on other
// hosts, of the same release, with the same version of the model if one is wanted. Endpoints that leave, fail or cannot
// be reached are left out.
func (d *directory) holders(now time.Time, e *endpoint, want fleet.Want, tried map[fleet.EndpointID]bool) ([]*endpoint, []standby.Holder) {
	d.mu.Lock()
	defer d.mu.Unlock()
	host := hostOf(e.Addr)
	version := e.versionOf(want.Model)
	var eps []*endpoint
	var out []standby.Holder
	for _, o := range d.byID {
		if o.Service != e.Service || o.Release != e.Release || o.removed || d.leaves(o) || tried[o.ID] || hostOf(o.Addr) == host {
			continue
		}
		if want.Model != "" && !o.holds(want) || o.versionOf(want.Model) != version || now.Sub(o.missingAt[want]) < missingModelTTL || o.failureShareAt(now) >= avoidedFailures {
			continue
		}
		eps = append(eps, o)
		out = append(out, standby.Holder{ID: o.ID, SameZone: o.Zone == e.Zone, Running: o.ownRunning + o.otherRunning, Slots: o.slots()})
	}
	return eps, out
}

// hostOf returns the host of an address; the whole address where it names a loopback host, on which
// tests run several endpoints.
func hostOf(addr string) string {
	host, _, err := net.SplitHostPort(addr)
	if ip := net.ParseIP(host); err != nil || ip.IsLoopback() {
		return addr
	}
	return host
}

// versionOf returns the version of a model that an endpoint holds.
func (e *endpoint) versionOf(model string) int {
	for _, h := range e.Held {
		if h.Model == model {
			return h.Version
		}
	}
	return 0
}

// acquireFor counts a run that goes on at an endpoint, whether or not a slot is free there: endpoints
// admit such runs first. It returns false if the endpoint takes none.
func (d *directory) acquireFor(now time.Time, e *endpoint, x *exchange) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	if e.removed || d.leaves(e) || !e.holds(x.info.Want) || !d.limits.Take(now, string(e.ID), x.waiter) {
		return false
	}
	d.countSend(e, x.info.Want)
	d.signalPermits(now)
	return true
}

// goOn continues a run that broke off at e, and returns the last endpoint and the result there: the
// original ones if the run does not go on.
func (x *exchange) goOn(ctx context.Context, e *endpoint, res result) (*endpoint, result) {
	for x.mayGoOn(ctx, res) {
		broke := time.Now()
		p := x.planGoOn(ctx, e)
		if p.at == nil {
			x.logNotGoneOn(e, p)
			return e, res
		}
		if !x.g.dir.acquireFor(time.Now(), p.at, x) {
			x.freeHandle(p)
			x.g.metrics.countGoneOn(p.action, "not_taken")
			return e, res
		}
		if !x.takeRetry() {
			x.giveBack(p.at)
			x.freeHandle(p)
			x.g.metrics.countGoneOn(p.action, "retry_budget")
			return e, res
		}
		before := x.eventsSent
		next := x.attemptGoOn(ctx, p)
		x.logGoneOn(e, p, before, max(0, x.firstEventAt.Sub(broke)), next)
		if next.notRun() {
			return e, res
		}
		if p.at != e {
			x.tried[e.ID] = true
		}
		e, res = p.at, next
	}
	return e, res
}

// mayGoOn reports whether a run that ended with a result may go on elsewhere at all. One that ended its
// endpoint before, or may have, does not: it could end another.
func (x *exchange) mayGoOn(ctx context.Context, res result) bool {
	return x.standby && res.broke && x.status < 300 && ctx.Err() == nil && x.goneOn < maxGoOns && x.sends < maxSends &&
		time.Until(x.deadline) >= standby.MinLeft && !x.standing().Quarantined && !x.partsSuspect()
}

// goOnPlan is where and from what a run goes on.
type goOnPlan struct {
	action standby.Action
	source standby.Source
	move   standby.Move
	at     *endpoint // nil if the run does not go on
	from   string    // names the copy, as in ForwardFields
	handle string    // of a copy made by a move; "" if there is none
	target *endpoint // of the move
	events int       // that came before
	silent time.Duration
}

// planGoOn decides where a run goes on that broke off at e. The connection to e is closed.
func (x *exchange) planGoOn(ctx context.Context, e *endpoint) goOnPlan {
	if x.rescue != nil {
		p := *x.rescue
		x.rescue = nil
		return p
	}
	p := goOnPlan{source: x.sourceState(e), events: x.eventsSent}
	b := x.breakAt(e, x.eventsSent)
	b.Source = p.source
	target, holds := x.moveTarget(e)
	b.CanMove = target != nil
	b.AnotherAllowed = b.AnotherAllowed && (holds || !b.CanMove)
	x.decide(ctx, e, target, b, &p)
	return p
}

// breakAt returns what is known of a break after a number of events without asking the source.
func (x *exchange) breakAt(e *endpoint, events int) standby.Break {
	return standby.Break{Copy: x.copyUsable(e, events), MayRepeat: x.route.MayRepeat(), AnotherAllowed: x.anotherAllowed(e), Left: time.Until(x.deadline)}
}

// anotherAllowed reports whether the run may go on beside a source that lives on. One that leaves ends
// while the run goes on.
func (x *exchange) anotherAllowed(e *endpoint) bool {
	return !goOnCountsAsAttempt || x.sent.Endpoints() < x.route.Attempts || x.g.dir.isLeaving(e)
}

// goOnCountsAsAttempt tells whether a run that goes on at another endpoint counts towards the route's
// number of endpoints while its source lives on. The platform's pages call it the same run, on any
// route, but also bound the endpoints that a request is sent to; this is the closer reading.
const goOnCountsAsAttempt = true

// decide sets what to do about a break, and where the run goes on.
func (x *exchange) decide(ctx context.Context, e, target *endpoint, b standby.Break, p *goOnPlan) {
	p.action = standby.Decide(b)
	if p.action == standby.MoveThenGoOn {
		x.moveRun(ctx, e, target, true, p)
		b.Move, b.Left = p.move, time.Until(x.deadline)
		p.action = standby.Decide(b)
	}
	switch p.action {
	case standby.GoOnFromCopy:
		p.at, p.from = x.copy.holder, x.copy.holder.Addr+"/"+x.info.ID
	case standby.GoOnAtTarget:
		p.at, p.from = p.target, e.Addr+"/"+p.handle
	case standby.GoOnAtSource:
		p.at, p.from = e, e.Addr+"/"+p.handle
	}
}

// copyUsable reports whether the copy of the run at e may be there and its holder takes requests.
func (x *exchange) copyUsable(e *endpoint, events int) bool {
	return x.copy != nil && x.copy.source == e && standby.MayHaveArrived(time.Since(x.sentAt), events) && !x.g.dir.isLeaving(x.copy.holder)
}

// attemptGoOn sends the request to where its run goes on.
func (x *exchange) attemptGoOn(ctx context.Context, p goOnPlan) result {
	x.goneOn++
	x.sends++
	x.lastEndpoint = p.at.ID
	x.goOnFrom = p.from
	if p.at != p.target {
		x.freeHandle(p)
	}
	res := x.attempt(ctx, p.at)
	x.goOnFrom = ""
	x.flushSegment()
	x.g.dir.release(p.at, x.info.Want, res.outcome)
	if res.unsent {
		x.g.dir.returnPermit(p.at, x.waiter)
	}
	if res.notRun() && p.at == p.target {
		x.freeHandle(p)
	}
	x.unprotect()
	return res
}

// freeHandle frees the copy that a move made, if the run does not go on from it.
func (x *exchange) freeHandle(p goOnPlan) {
	if p.handle == "" || p.target == nil {
		return
	}
	go func() {
		ctx, cancel := context.WithTimeout(x.g.ctx, freeTimeout)
		defer cancel()
		_ = x.g.cfg.Runs.FreeCopy(ctx, p.target.Addr, p.handle) // else it ends with its lifetime
	}()
}

func (x *exchange) logGoneOn(source *endpoint, p goOnPlan, before int, gap time.Duration, res result) {
	outcome := "whole"
	switch {
	case res.notRun():
		outcome = "no_copy"
	case !res.complete:
		outcome = "broke_again"
	}
	x.g.metrics.countGoneOn(p.action, outcome)
	if gap > 0 {
		x.g.metrics.runGap.Update(gap.Seconds())
	}
	x.g.cfg.Log.Info().Str("request", x.info.ID).Stringer("action", p.action).Str("source", string(source.ID)).Str("at", string(p.at.ID)).Uint8("source_state", uint8(p.source)).
		Uint8("move", uint8(p.move)).Dur("silent", p.silent).Int("events_before", before).Int("events", x.eventsSent).Str("last_event", x.lastEvent).Dur("gap", gap).Dur("sent_ago", time.Since(x.arrived)).Str("outcome", outcome).Msg("run_gone_on")
}

func (x *exchange) logNotGoneOn(e *endpoint, p goOnPlan) {
	x.g.metrics.countGoneOn(p.action, "none")
	x.g.cfg.Log.Info().Str("request", x.info.ID).Stringer("action", p.action).Str("source", string(e.ID)).Uint8("source_state", uint8(p.source)).Uint8("move", uint8(p.move)).
		Bool("copy", x.copy != nil).Int("events", x.eventsSent).Msg("run_not_gone_on")
}
