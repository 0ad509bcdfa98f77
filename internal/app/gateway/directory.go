package gateway

import (
	"math/rand/v2"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"github.com/cassiapass/cassiapass/internal/core/allowance"
	"github.com/cassiapass/cassiapass/internal/core/fleet"
	"github.com/cassiapass/cassiapass/internal/core/ident"
	"github.com/cassiapass/cassiapass/internal/core/notice"
	"github.com/cassiapass/cassiapass/internal/core/release"
)

const (
	// unreachableCooldown is how long an endpoint that did not accept a connection
	// is not chosen: dials to a dead host cost each request its dial timeout.
	unreachableCooldown = time.Second
	// fullCooldown is how long an endpoint that reported to be full is not chosen.
	fullCooldown = 50 * time.Millisecond
	// missingModelTTL is how long an endpoint's answer that it does not hold a model
	// overrides what the leader reports: the leader asks the endpoint meanwhile.
	missingModelTTL = 300 * time.Millisecond
)

// directory holds what the gateway knows about endpoints.
type directory struct {
	zone    ident.Zone
	log     zerolog.Logger
	metrics *metrics
	// onPermitsPending is called when a report for the limits of endpoints is due; may be nil.
	onPermitsPending func()

	mu               sync.Mutex
	term             uint64 // of the leader that reported the endpoints
	rev              uint64
	asOf             time.Time                    // the platform's list is not older than this
	shownAsOf        time.Time                    // every list read at this instant or before is merged; zero if not known
	starts           map[string]latestStart       // by the platform's names for endpoints
	settled          map[serviceRelease]time.Time // releases at which streams may begin, by the leader's word, to when they were last known
	byID             map[fleet.EndpointID]*endpoint
	modelIdle        chan struct{}                                                 // signalled when the last request here for a model with one holder has ended
	etas             map[string]time.Time                                          // for a model that no endpoint holds, the earliest time at which one will
	onRemoved        func(e fleet.EndpointID, planned bool)                        // called for each removed incarnation; may be nil
	onRemoval        func(e *endpoint, in time.Duration)                           // called when the removal of an endpoint is announced; may be nil
	onListed         func(now, asOf time.Time, eps map[fleet.EndpointID]*endpoint) // called with the endpoints known; may be nil
	limits           *allowance.PermitClient
	notices          *notice.Book
	waiters          map[*allowance.Waiter]waitingFor // requests that wait for the end of a pause
	noticed          chan struct{}                    // signalled when an endpoint has asked for something
	nextWake         time.Time                        // of the earliest pending timer of wakeAt; zero if there is none
	unreadableLogged map[unreadableLog]bool           // unreadable pauses and leavings that were logged
	unreadable       map[fleet.EndpointID]string      // the last unreadable limit that an endpoint named
	sharedHosts      bool                             // an endpoint reported how fast its host is at the moment
	paces            paces
	choosing         choosing
	changed          chan struct{} // closed and replaced when a waiting request should look again
}

func newDirectory(zone ident.Zone, log zerolog.Logger) *directory {
	return &directory{zone: zone, log: log, limits: allowance.NewPermitClient(rand.Uint64(), rand.Float64),
		notices: notice.NewBook(rand.Float64), waiters: map[*allowance.Waiter]waitingFor{}, unreadableLogged: map[unreadableLog]bool{}, noticed: make(chan struct{}, 1), unreadable: map[fleet.EndpointID]string{}, byID: map[fleet.EndpointID]*endpoint{}, settled: map[serviceRelease]time.Time{}, starts: map[string]latestStart{}, etas: map[string]time.Time{}, modelIdle: make(chan struct{}, 1), paces: newPaces(), changed: make(chan struct{})}
}

// wakeLocked makes waiting requests look again. The caller holds mu.
func (d *directory) wakeLocked() {
	close(d.changed)
	d.changed = make(chan struct{})
}

// replace applies a complete list of endpoints from the leader.
func (d *directory) replace(term, rev uint64, eps []fleet.Endpoint) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.term, d.rev = term, rev
	d.merge(eps, true)
	d.listed()
	d.wakeLocked()
}

// update applies the leader's changes since the revision held.
func (d *directory) update(term, rev uint64, changed []fleet.Endpoint, removed []fleet.EndpointID) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.term, d.rev = term, rev
	for _, ep := range changed {
		if !d.isOver(ep) {
			d.upsert(ep, true)
		}
	}
	for _, id := range removed {
		if e, known := d.byID[id]; known {
			d.remove(e)
		}
	}
	d.listed()
	d.wakeLocked()
}

// recordReleases passes on which endpoints are known: their releases are remembered for a time after
// they were known last.
func (d *directory) recordReleases() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.listed()
}

func (d *directory) releaseOf(e *endpoint) release.Name {
	d.mu.Lock()
	defer d.mu.Unlock()
	return e.Release
}

// leaderTerm returns the term of the leader that reported the endpoints.
func (d *directory) leaderTerm() uint64 {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.term
}

// listed passes on which endpoints are known. The caller holds mu.
func (d *directory) listed() {
	now := time.Now()
	d.pruneSettled(now)
	d.pruneStarts(now)
	if d.onListed != nil {
		d.onListed(now, d.shownAsOf, d.byID)
	}
}

// recordShown records that the endpoints are complete as of an instant: the leader has published what
// lists read until then show.
func (d *directory) recordShown(asOf time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if asOf.After(d.shownAsOf) {
		d.shownAsOf = asOf
		d.listed()
	}
}

// merge applies a complete list of endpoints. Those that are not listed are removed.
func (d *directory) merge(eps []fleet.Endpoint, models bool) {
	listed := make(map[fleet.EndpointID]bool, len(eps))
	for _, ep := range fleet.LatestIncarnations(eps, d.incarnations()) {
		if d.isOver(ep) {
			continue
		}
		listed[ep.ID] = true
		d.upsert(ep, models)
	}
	for id, e := range d.byID {
		if !listed[id] {
			d.remove(e)
		}
	}
}

// incarnations returns the latest known incarnation of each endpoint, by the platform's
// name for it.
func (d *directory) incarnations() map[string]fleet.Endpoint {
	out := make(map[string]fleet.Endpoint, len(d.byID))
	for _, e := range d.byID {
		if o, known := out[e.Name()]; !known || o.StartedAt < e.StartedAt {
			out[e.Name()] = e.Endpoint
		}
	}
	return out
}

// upsert adds or updates one endpoint. Without models, an update takes only what the
// platform's list alone provides: the list lags behind the leader's knowledge of models.
func (d *directory) upsert(ep fleet.Endpoint, models bool) {
	e, known := d.byID[ep.ID]
	d.noteStart(ep, ep.Leaving)
	if l := d.starts[ep.Name()]; l.startedAt == ep.StartedAt {
		ep.Leaving = ep.Leaving || l.leaving
	}
	if !known {
		d.logEvent(ep, "endpoint_up")
		d.setSettled(&ep, models)
		d.byID[ep.ID] = &endpoint{Endpoint: ep, missingAt: map[fleet.Want]time.Time{}, counts: map[fleet.Want]*runCounts{}}
		d.setRemoval(d.byID[ep.ID], ep.RemovedIn)
		return
	}
	e.removed, e.misdirected = false, false
	d.setRemoval(e, ep.RemovedIn)
	if ep.Leaving && !e.Leaving {
		d.logEvent(ep, "endpoint_leaving")
	}
	if e.Release == "" {
		e.Release = ep.Release // an earlier release of the leader does not tell it
	}
	e.Leaving = e.Leaving || ep.Leaving // an incarnation that leaves never stays
	if !models {
		return
	}
	d.setSettled(&ep, models)
	e.Unsettled = ep.Unsettled
	// The fields that identify an incarnation do not change: requests in progress read
	// them without the lock.
	e.StartedAt, e.Slots, e.Held, e.Copies = ep.StartedAt, ep.Slots, ep.Held, ep.Copies
	clear(e.missingAt)
}

// remove marks an endpoint as removed, and deletes it as soon as no request runs there.
func (d *directory) remove(e *endpoint) {
	if !e.removed {
		d.noteStart(e.Endpoint, d.saysItLeaves(e))
		d.logEvent(e.Endpoint, "endpoint_gone")
		if d.onRemoved != nil {
			d.onRemoved(e.ID, d.leaves(e))
		}
	}
	e.removed = true
	if e.ownRunning == 0 {
		d.drop(e)
	}
}

// drop deletes an endpoint and what is known of its limit.
func (d *directory) drop(e *endpoint) {
	delete(d.byID, e.ID)
	delete(d.unreadable, e.ID)
	delete(d.unreadableLogged, unreadableLog{e.ID, eventPauseUnreadable})
	delete(d.unreadableLogged, unreadableLog{e.ID, eventLeavingUnreadable})
	d.metrics.dropEndpoint(e.ID)
	d.limits.Forget(string(e.ID))
	d.paces.forget(e.ID)
}

// logEvent logs a change in what this entry knows about an endpoint.
func (d *directory) logEvent(ep fleet.Endpoint, event string) {
	d.log.Info().Str("endpoint", string(ep.ID)).Str("service", ep.Service).Str("address", ep.Addr).Str("zone", string(ep.Zone)).
		Uint64("directory", d.rev).Dur("list_age", time.Since(d.asOf)).Msg(event)
}

// applyList applies the platform's list, which this process began to read at asOf. The list is ignored
// if a later one is known already: the leader may have published one meanwhile.
func (d *directory) applyList(asOf time.Time, eps []fleet.Endpoint) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if !asOf.After(d.shownAsOf) {
		return
	}
	d.shownAsOf = asOf
	if asOf.After(d.asOf) {
		d.asOf = asOf
	}
	d.merge(eps, false)
	d.listed()
	d.wakeLocked()
}

// setETAs applies the times at which models will be held: changes, or all ETAs if
// updated is set and delta is not.
func (d *directory) setETAs(now time.Time, delta, updated bool, etas []fleet.ETA) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if updated && !delta {
		clear(d.etas)
	}
	for _, o := range etas {
		if o.In <= 0 {
			delete(d.etas, o.Model)
			continue
		}
		d.etas[o.Model] = now.Add(o.In)
	}
	if len(etas) > 0 {
		d.wakeLocked()
	}
}

// maxETAAge is how old the leader's knowledge may be for its ETAs to count.
const maxETAAge = 2 * time.Second

// modelETA returns how long it takes at least until an endpoint holds a model; 0 if that is
// not known, or comes from a leader that has become silent.
func (d *directory) modelETA(now time.Time, model string) time.Duration {
	d.mu.Lock()
	defer d.mu.Unlock()
	at, known := d.etas[model]
	if !known || now.Sub(d.asOf) > maxETAAge {
		return 0
	}
	return max(at.Sub(now), 0)
}

// setRunning records the age of the platform's list and what other entries run.
func (d *directory) setRunning(asOf time.Time, running map[fleet.EndpointID]int) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if asOf.After(d.asOf) {
		d.asOf = asOf
	}
	for id, e := range d.byID {
		e.otherRunning = max(0, running[id]-e.ownRunning)
	}
}

func (d *directory) version() (term, rev uint64) {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.term, d.rev
}

func (d *directory) listAge() time.Duration {
	d.mu.Lock()
	defer d.mu.Unlock()
	return time.Since(d.asOf)
}

func (d *directory) known() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return len(d.byID) > 0
}

func (d *directory) count() int {
	d.mu.Lock()
	defer d.mu.Unlock()
	return len(d.byID)
}

// knowsAddr reports whether an endpoint at addr is known, for the connection pool.
func (d *directory) knowsAddr(addr string) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, e := range d.byID {
		if e.Addr == addr && !d.leaves(e) {
			return true
		}
	}
	return false
}

// isLeaving reports whether an endpoint is known to leave as planned.
func (d *directory) isLeaving(e *endpoint) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.leaves(e)
}

// leaves reports whether an endpoint leaves, by the list or by its own word, which no list
// lifts. The caller holds mu.
func (d *directory) leaves(e *endpoint) bool {
	return d.saysItLeaves(e) || e.removed || e.misdirected
}

// saysItLeaves reports whether the list or an answer of an endpoint has said that it leaves. The caller
// holds mu.
func (d *directory) saysItLeaves(e *endpoint) bool {
	return e.Leaving || d.notices.Leaves(string(e.ID))
}

// release ends a request at an endpoint and records its outcome.
func (d *directory) release(e *endpoint, want fleet.Want, o attemptOutcome) {
	d.mu.Lock()
	defer d.mu.Unlock()
	now := time.Now()
	e.ownRunning--
	e.countsFor(want).running--
	d.signalModelIdle(e, want.Model)
	wasFull := fleet.Full(e.ownRunning+1+e.otherRunning, e.slots())
	switch o {
	case succeeded:
		e.recordOutcome(now, 0)
	case failed:
		e.recordOutcome(now, 1)
	case full, atConnLimit:
		e.avoidUntil = later(e.avoidUntil, now.Add(fullCooldown))
		time.AfterFunc(fullCooldown, d.wake)
	case modelMissing:
		e.missingAt[want] = now
		time.AfterFunc(missingModelTTL, d.wake)
	case notConnected:
		d.logEvent(e.Endpoint, "endpoint_shunned")
		e.recordOutcome(now, 1)
		e.avoidUntil = later(e.avoidUntil, now.Add(unreachableCooldown))
		time.AfterFunc(unreachableCooldown, d.wake)
	case wrongEndpoint:
		e.misdirected = true
	}
	if e.removed && e.ownRunning == 0 {
		d.drop(e)
	}
	if wasFull {
		d.wakeLocked()
	}
}

// recordBroken records that an answer of an endpoint broke off.
func (d *directory) recordBroken(e *endpoint) {
	d.mu.Lock()
	defer d.mu.Unlock()
	e.brokeAt = time.Now()
}

// brokeSince reports whether an answer of an endpoint has broken off since a time.
func (d *directory) brokeSince(e *endpoint, since time.Time) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return e.brokeAt.After(since)
}

// signalModelIdle triggers a report to the leader when a model is not in use here any
// more and no other endpoint holds it: requests for other models wait for the memory that
// it occupies. Busy models have several endpoints, and their requests end all the time.
// The caller holds mu.
func (d *directory) signalModelIdle(e *endpoint, model string) {
	if model == "" || e.runningOf(model) > 0 || !d.onlyHolder(e, model) {
		return
	}
	select {
	case d.modelIdle <- struct{}{}:
	default: // a report is pending already
	}
}

// onlyHolder reports whether no other endpoint holds a model. The caller holds mu.
func (d *directory) onlyHolder(e *endpoint, model string) bool {
	for _, o := range d.byID {
		if o != e && !d.leaves(o) && o.holds(fleet.Want{Model: model}) {
			return false
		}
	}
	return true
}

func (d *directory) wake() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.wakeLocked()
}

// endpointSnapshot is what is known about an endpoint at one moment, for logs.
type endpointSnapshot struct {
	ownRunning, otherRunning, slots int
	failureShare                    float64
	rev                             uint64
	listAge                         time.Duration
}

func (d *directory) snapshot(e *endpoint) endpointSnapshot {
	d.mu.Lock()
	defer d.mu.Unlock()
	return endpointSnapshot{e.ownRunning, e.otherRunning, e.slots(), e.failureShareAt(time.Now()), d.rev, time.Since(d.asOf)}
}

// recordLoad applies the load that an endpoint reported with an answer.
func (d *directory) recordLoad(e *endpoint, v AnswerFields) {
	if !v.HasLoad {
		return
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	e.otherRunning = max(0, v.Running+v.Waiting-e.ownRunning)
	d.sharedHosts = d.sharedHosts || v.Slowness > 0
	e.momentary = momentary{v.Slowness, time.Now()}
	if e.Slots == 0 {
		e.Slots = v.Slots
	}
}

// reportUses returns what runs where, for a report to the leader, and resets the counts
// of started requests.
func (d *directory) reportUses() []fleet.Use {
	d.mu.Lock()
	defer d.mu.Unlock()
	var out []fleet.Use
	for id, e := range d.byID {
		for w, r := range e.counts {
			out = append(out, fleet.Use{Endpoint: id, Want: w, Running: r.running, Sent: r.started, Missing: !e.missingAt[w].IsZero()})
			r.started = 0
			if r.running == 0 {
				delete(e.counts, w)
			}
		}
	}
	return out
}
