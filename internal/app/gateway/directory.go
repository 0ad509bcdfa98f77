package gateway

import (
	"math/rand/v2"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"github.com/cassiapass/cassiapass/internal/core/fleet"
	"github.com/cassiapass/cassiapass/internal/core/ident"
)

const (
	// unreachable is how long an endpoint that did not take a connection is
	// left alone: dials to a dead host cost each request its dial timeout.
	unreachable = time.Second
	// refused is how long an endpoint that said it is full is left alone.
	refused = 50 * time.Millisecond
	// lacksFor is how long an endpoint's word that it does not hold a model goes
	// before what the leader tells: the leader asks it meanwhile.
	lacksFor = 300 * time.Millisecond
)

// directory is what the gateway knows of endpoints.
type directory struct {
	zone ident.Zone
	log  zerolog.Logger

	mu      sync.Mutex
	term    uint64 // of the leader that told the endpoints
	rev     uint64
	asOf    time.Time // the platform's list is not older than this
	byID    map[fleet.EndpointID]*endpoint
	ended   chan struct{}                          // signalled when a rare model's last request here ended
	etas    map[string]time.Time                   // model that no endpoint holds to when one will at the earliest
	gone    func(e fleet.EndpointID, planned bool) // told of each start that is no more; nil if nobody is
	changed chan struct{}                          // closed and replaced when a waiting request should look again
}

func newDirectory(zone ident.Zone, log zerolog.Logger) *directory {
	return &directory{zone: zone, log: log, byID: map[fleet.EndpointID]*endpoint{}, etas: map[string]time.Time{}, ended: make(chan struct{}, 1), changed: make(chan struct{})}
}

// wake makes waiting requests look again. The caller holds mu.
func (d *directory) wake() {
	close(d.changed)
	d.changed = make(chan struct{})
}

// replace takes in what the leader told.
func (d *directory) replace(term, rev uint64, eps []fleet.Endpoint) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.term, d.rev = term, rev
	d.merge(eps, true)
	d.wake()
}

// update takes in what changed since the revision held.
func (d *directory) update(term, rev uint64, changed []fleet.Endpoint, removed []fleet.EndpointID) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.term, d.rev = term, rev
	for _, ep := range changed {
		d.put(ep, true)
	}
	for _, id := range removed {
		if e, known := d.byID[id]; known {
			d.drop(e)
		}
	}
	d.wake()
}

// merge takes endpoints in. Whoever is not listed is gone.
func (d *directory) merge(eps []fleet.Endpoint, models bool) {
	listed := make(map[fleet.EndpointID]bool, len(eps))
	for _, ep := range fleet.Latest(eps, d.starts()) {
		listed[ep.ID] = true
		d.put(ep, models)
	}
	for id, e := range d.byID {
		if !listed[id] {
			d.drop(e)
		}
	}
}

// starts returns the starts that are known, by the platform's names for them.
func (d *directory) starts() map[string]fleet.Endpoint {
	out := make(map[string]fleet.Endpoint, len(d.byID))
	for _, e := range d.byID {
		if o, known := out[e.Name()]; !known || o.Born < e.Born {
			out[e.Name()] = e.Endpoint
		}
	}
	return out
}

// put takes one endpoint in. Without models only what the platform's list alone
// tells is taken: it lags behind the leader's knowledge of models.
func (d *directory) put(ep fleet.Endpoint, models bool) {
	e, known := d.byID[ep.ID]
	if !known {
		d.note(ep, "endpoint_up")
		d.byID[ep.ID] = &endpoint{Endpoint: ep, lacks: map[fleet.Want]time.Time{}, runs: map[fleet.Want]*runs{}}
		return
	}
	e.dropped = false
	if ep.Leaving && !e.Leaving {
		d.note(ep, "endpoint_leaving")
	}
	if !models {
		e.Leaving = ep.Leaving
		return
	}
	// What names a start stays as it is: requests under way read it without the lock.
	e.Born, e.Slots, e.Leaving, e.Held, e.Copies = ep.Born, ep.Slots, ep.Leaving, ep.Held, ep.Copies
	clear(e.lacks)
}

// drop forgets an endpoint as soon as no request runs there.
func (d *directory) drop(e *endpoint) {
	if !e.dropped {
		d.note(e.Endpoint, "endpoint_gone")
		if d.gone != nil {
			d.gone(e.ID, e.Leaving)
		}
	}
	e.Leaving, e.dropped = true, true
	if e.mine == 0 {
		delete(d.byID, e.ID)
	}
}

// note tells what this entry believes of an endpoint from now on.
func (d *directory) note(ep fleet.Endpoint, event string) {
	d.log.Info().Str("endpoint", string(ep.ID)).Str("service", ep.Service).Str("address", ep.Addr).Str("zone", string(ep.Zone)).
		Uint64("directory", d.rev).Dur("list_age", time.Since(d.asOf)).Msg(event)
}

// list takes in the platform's list, read by this process itself.
func (d *directory) list(asOf time.Time, eps []fleet.Endpoint) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.asOf = asOf
	d.merge(eps, false)
	d.wake()
}

// setETAs takes in when models will be held: what changed, or with news and without
// delta all ETAs.
func (d *directory) setETAs(now time.Time, delta, news bool, etas []fleet.ETA) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if news && !delta {
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
		d.wake()
	}
}

// etaStays is how old the leader's knowledge may be for its ETAs to count.
const etaStays = 2 * time.Second

// ready returns in what time an endpoint will hold a model at the earliest; 0 if that is
// not known, or told by a leader that has fallen silent.
func (d *directory) ready(now time.Time, model string) time.Duration {
	d.mu.Lock()
	defer d.mu.Unlock()
	at, known := d.etas[model]
	if !known || now.Sub(d.asOf) > etaStays {
		return 0
	}
	return max(at.Sub(now), 0)
}

// fresh notes how old the platform's list is and what other entries run.
func (d *directory) fresh(asOf time.Time, running map[fleet.EndpointID]int) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if asOf.After(d.asOf) {
		d.asOf = asOf
	}
	for id, e := range d.byID {
		e.others = max(0, running[id]-e.mine)
	}
}

func (d *directory) version() (term, rev uint64) {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.term, d.rev
}

func (d *directory) age() time.Duration {
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

// holds reports whether an endpoint at addr is known, for the connection pool.
func (d *directory) holds(addr string) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, e := range d.byID {
		if e.Addr == addr && !e.Leaving {
			return true
		}
	}
	return false
}

// leaving reports whether an endpoint is known to leave as planned.
func (d *directory) leaving(e *endpoint) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return e.Leaving
}

// take picks an endpoint for a request and counts the request there. Without
// one it returns the reason and a channel that closes when it is worth trying
// again.
func (d *directory) take(now time.Time, service string, want fleet.Want, tried map[fleet.EndpointID]bool) (*endpoint, why, <-chan struct{}) {
	d.mu.Lock()
	defer d.mu.Unlock()
	var eps []*endpoint
	var cands []fleet.Candidate
	reason := whyNone
	for _, e := range d.byID {
		if e.Service != service || e.Leaving {
			continue
		}
		r := e.cannot(now, want)
		if r == "" && tried[e.ID] {
			r = whyExcluded
		}
		if r != "" {
			reason = further(reason, r)
			continue
		}
		eps = append(eps, e)
		cands = append(cands, fleet.Candidate{Running: e.mine + e.others, Slots: e.slots(), SameZone: e.Zone == d.zone, Failing: e.failingAt(now)})
	}
	i := fleet.Choose(cands, rand.IntN)
	if i < 0 {
		return nil, reason, d.changed
	}
	e := eps[i]
	e.mine++
	e.run(want).running++
	e.run(want).begun++
	return e, "", nil
}

// release ends a request at an endpoint.
func (d *directory) release(e *endpoint, want fleet.Want, o outcome) {
	d.mu.Lock()
	defer d.mu.Unlock()
	now := time.Now()
	e.mine--
	e.run(want).running--
	d.noteEnd(e, want.Model)
	wasFull := fleet.Full(e.mine+1+e.others, e.slots())
	switch o {
	case went:
		e.judge(now, 0)
	case failed:
		e.judge(now, 1)
	case full:
		e.shunned = later(e.shunned, now.Add(refused))
		time.AfterFunc(refused, d.poke)
	case lacking:
		e.lacks[want] = now
		time.AfterFunc(lacksFor, d.poke)
	case unsent:
		d.note(e.Endpoint, "endpoint_shunned")
		e.judge(now, 1)
		e.shunned = later(e.shunned, now.Add(unreachable))
		time.AfterFunc(unreachable, d.poke)
	case misnamed:
		e.Leaving = true
	}
	if e.dropped && e.mine == 0 {
		delete(d.byID, e.ID)
	}
	if wasFull {
		d.wake()
	}
}

// noteEnd has the leader told at once that a model is not in use here any more, if no
// other endpoint holds it: its place is what requests for other models wait for. Busy
// models have several endpoints, and their requests end all the time. The caller holds
// mu.
func (d *directory) noteEnd(e *endpoint, model string) {
	if model == "" || e.runningOf(model) > 0 || !d.onlyHolder(e, model) {
		return
	}
	select {
	case d.ended <- struct{}{}:
	default: // it is about to be told
	}
}

// onlyHolder reports whether no other endpoint holds a model. The caller holds mu.
func (d *directory) onlyHolder(e *endpoint, model string) bool {
	for _, o := range d.byID {
		if o != e && !o.Leaving && o.holdsWant(fleet.Want{Model: model}) {
			return false
		}
	}
	return true
}

func (d *directory) poke() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.wake()
}

// standing is what is known of an endpoint at one moment, for logs.
type standing struct {
	mine, others, slots int
	failing             float64
	rev                 uint64
	age                 time.Duration
}

func (d *directory) standing(e *endpoint) standing {
	d.mu.Lock()
	defer d.mu.Unlock()
	return standing{e.mine, e.others, e.slots(), e.failingAt(time.Now()), d.rev, time.Since(d.asOf)}
}

// measured takes in the load that an endpoint told with an answer.
func (d *directory) measured(e *endpoint, v Verdict) {
	if !v.Measured {
		return
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	e.others = max(0, v.Running+v.Waiting-e.mine)
	if e.Slots == 0 {
		e.Slots = v.Slots
	}
}

// uses returns what runs where, and forgets what has been told.
func (d *directory) uses() []fleet.Use {
	d.mu.Lock()
	defer d.mu.Unlock()
	var out []fleet.Use
	for id, e := range d.byID {
		for w, r := range e.runs {
			out = append(out, fleet.Use{Endpoint: id, Want: w, Running: r.running, Begun: r.begun, Missing: !e.lacks[w].IsZero()})
			r.begun = 0
			if r.running == 0 {
				delete(e.runs, w)
			}
		}
	}
	return out
}
