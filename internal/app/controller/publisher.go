package controller

import (
	"encoding/json"
	"reflect"
	"sync"
	"time"

	"github.com/cassiapass/cassiapass/internal/core/allowance"
	"github.com/cassiapass/cassiapass/internal/core/fleet"
	"github.com/cassiapass/cassiapass/internal/core/ident"
	"github.com/cassiapass/cassiapass/internal/core/limit"
	"github.com/cassiapass/cassiapass/internal/core/notice"
	"github.com/cassiapass/cassiapass/internal/core/pace"
	"github.com/cassiapass/cassiapass/internal/core/state"
	"github.com/cassiapass/cassiapass/internal/wire"
)

// publisher holds the state that the controller publishes to entries. Calls read it
// without waiting for the loop.
type publisher struct {
	mu            sync.Mutex
	leading       bool
	term          uint64
	rev           uint64
	eps           map[fleet.EndpointID]publishedEndpoint
	removed       map[fleet.EndpointID]uint64                         // removed endpoint to the revision that removed it
	floor         uint64                                              // removals up to this revision are no longer kept
	loads         fleet.Loads                                         // requests in progress where they are many
	limits        map[string]map[fleet.EndpointID]allowance.Statement // by the models that the endpoints hold, as loads
	interests     fleet.Interests                                     // models that entries ask for
	etas          map[string]publishedETA                             // model to its last published ETA
	pauses        map[string]map[fleet.EndpointID]publishedPause      // by the models that the endpoints hold, as loads
	notices       []notice.Status                                     // of all endpoints
	paces         map[string]map[fleet.EndpointID]pace.Factor         // by the models that the endpoints hold, as loads
	paceStatus    []pace.Status
	pacesTold     map[ident.HostID]time.Time // when each entry was last told of paces
	suspects      wire.Suspects              // requests under which endpoints ended; zero until published
	entries       int                        // live entries
	listRead      time.Time                  // start of the last read of the platform's list
	listShown     time.Time                  // start of the last read of which everything is published to all entries
	typicalAge    time.Duration              // age that the list typically reaches before the next read ends
	dep           state.Deployment
	compressed    map[uint64][]byte // compressed changes up to rev, by the revision they start from; 0 for the whole list
	depCompressed []byte            // dep compressed; nil until requested
	link          *limit.Meter      // spaces large answers
	// perSecond is the rate of link in bytes.
	perSecond  float64
	slots      map[ident.HostID]time.Time     // entry to the time reserved for its large answer
	changed    chan struct{}                  // closed and replaced at each change that waiting pulls must return
	allRev     uint64                         // newest revision published to all entries; newer ones are for waiting entries only
	awaitedRev map[ident.HostID]uint64        // entry to the newest revision that was published to it because it waited
	wakeups    map[ident.HostID]chan struct{} // closed when a revision is published to the entry because it waits
}

// publishedEndpoint is an endpoint with the revision that last changed it.
type publishedEndpoint struct {
	rev uint64
	ep  fleet.Endpoint
}

// publishedETA is an ETA with the revision that last changed it. It is an instant of this
// host's clock; entries receive the time left until then.
type publishedETA struct {
	rev uint64
	at  time.Time // zero if the model has no ETA any more
}

// defaultSendRate is the rate of large answers in bytes a second where none is set: two
// fifths of a link of 100 Mbit/s.
const defaultSendRate = 5e6

// maxRemoved bounds the removals that are kept for lagging entries; entries
// further behind get the whole list.
const maxRemoved = 1000

// newPublisher returns an empty publisher that sends large answers at this rate in bytes a
// second; 0 selects defaultSendRate.
func newPublisher(perSecond float64) *publisher {
	if perSecond <= 0 {
		perSecond = defaultSendRate
	}
	pub := &publisher{changed: make(chan struct{}), perSecond: perSecond}
	pub.reset()
	return pub
}

// update applies a change and wakes all waiting calls.
func (pub *publisher) update(f func()) {
	pub.mu.Lock()
	defer pub.mu.Unlock()
	f()
	close(pub.changed)
	pub.changed = make(chan struct{})
}

func (pub *publisher) stopLeading() { pub.update(func() { pub.leading = false; pub.reset() }) }

func (pub *publisher) reset() {
	pub.rev, pub.floor, pub.allRev, pub.compressed = 0, 0, 0, map[uint64][]byte{}
	pub.awaitedRev, pub.wakeups = map[ident.HostID]uint64{}, map[ident.HostID]chan struct{}{}
	pub.eps, pub.removed = map[fleet.EndpointID]publishedEndpoint{}, map[fleet.EndpointID]uint64{}
	pub.etas = map[string]publishedETA{}
	pub.loads, pub.limits, pub.interests = nil, nil, fleet.Interests{}
	pub.pauses, pub.notices = nil, nil
	pub.suspects = wire.Suspects{}
	pub.listShown = time.Time{}
	pub.paceStatus = nil
	pub.paces, pub.pacesTold = nil, map[ident.HostID]time.Time{}
	pub.link, pub.slots = limit.NewMeter(pub.perSecond), map[ident.HostID]time.Time{}
}

// publishSuspects publishes the requests under which endpoints ended to all entries.
func (pub *publisher) publishSuspects(s wire.Suspects) { pub.update(func() { pub.suspects = s }) }

func (pub *publisher) startLeading(term uint64) {
	pub.update(func() { pub.leading, pub.term, pub.listRead = true, term, time.Time{}; pub.reset() })
}

// publishAll publishes a new state of all endpoints to all entries. Each entry
// receives the changes since the revision that it holds: the whole list would be
// 170 kB for each change at 1,100 endpoints.
func (pub *publisher) publishAll(rev uint64, eps []fleet.Endpoint) {
	pub.update(func() {
		pub.applyEndpoints(rev, eps)
		pub.allRev = rev
	})
}

// publishTo publishes a new state to the entries that wait for something in it; the
// others receive it with the next state that is published to all. A cold start then need
// not wait for a publication to all of 105 entries, and the leader need not make one for
// each load.
func (pub *publisher) publishTo(entries []string, rev uint64, eps []fleet.Endpoint) {
	pub.mu.Lock()
	defer pub.mu.Unlock()
	pub.applyEndpoints(rev, eps)
	for _, e := range entries {
		host := ident.HostID(e)
		pub.awaitedRev[host] = rev
		if wake, waits := pub.wakeups[host]; waits {
			close(wake)
			delete(pub.wakeups, host)
		}
	}
}

// applyEndpoints applies a new state of all endpoints. The caller holds mu.
func (pub *publisher) applyEndpoints(rev uint64, eps []fleet.Endpoint) {
	pub.rev, pub.compressed = rev, map[uint64][]byte{}
	listed := make(map[fleet.EndpointID]bool, len(eps))
	for _, ep := range eps {
		listed[ep.ID] = true
		delete(pub.removed, ep.ID)
		if old, known := pub.eps[ep.ID]; !known || !reflect.DeepEqual(old.ep, ep) {
			pub.eps[ep.ID] = publishedEndpoint{rev, ep}
		}
	}
	for id := range pub.eps {
		if !listed[id] {
			delete(pub.eps, id)
			pub.removed[id] = rev
		}
	}
	if len(pub.removed) > maxRemoved {
		pub.floor, pub.removed = rev, map[fleet.EndpointID]uint64{}
	}
}

// isBehind reports whether the present state should be sent to an entry. The caller holds mu.
func (pub *publisher) isBehind(p wire.PullParams) bool {
	if pub.rev == 0 || (pub.term == p.Term && pub.rev == p.Rev) {
		return false
	}
	return pub.term != p.Term || p.Rev < pub.allRev || p.Rev < pub.awaitedRev[p.Host]
}

// wakeup returns a channel that is closed when a revision is published to the entry because
// it waits. The caller holds mu.
func (pub *publisher) wakeup(host ident.HostID) <-chan struct{} {
	if pub.wakeups[host] == nil {
		pub.wakeups[host] = make(chan struct{})
	}
	return pub.wakeups[host]
}

// setETAs stores changed ETAs under the revision of the endpoints that is published next.
func (pub *publisher) setETAs(now time.Time, rev uint64, changed []fleet.ETA) {
	pub.mu.Lock()
	defer pub.mu.Unlock()
	for _, o := range changed {
		f := publishedETA{rev: rev}
		if o.In > 0 {
			f.at = now.Add(o.In)
		}
		pub.etas[o.Model] = f
	}
}

// etasSince returns the ETAs that changed after a revision, or all for 0. An ETA that has
// passed is returned as 0, which means none. The caller holds mu.
func (pub *publisher) etasSince(now time.Time, from uint64) []fleet.ETA {
	var out []fleet.ETA
	for name, f := range pub.etas {
		if f.rev <= from || (from == 0 && f.at.IsZero()) {
			continue
		}
		o := fleet.ETA{Model: name}
		if !f.at.IsZero() {
			o.In = max(f.at.Sub(now), 0)
		}
		out = append(out, o)
	}
	return out
}

// addChanges adds to an answer what an entry that holds revision from is missing. The caller
// holds mu.
func (pub *publisher) addChanges(r *wire.PullResult, term, from uint64) {
	r.Delta = term == pub.term && from != 0 && from >= pub.floor
	if !r.Delta {
		from = 0
	}
	r.ETAs = pub.etasSince(time.Now(), from)
	for id, rev := range pub.removed {
		if r.Delta && rev > from {
			r.Removed = append(r.Removed, id)
		}
	}
	if packed, known := pub.compressed[from]; known {
		r.Packed = packed
		return
	}
	var out []fleet.Endpoint
	for _, s := range pub.eps {
		if !r.Delta || s.rev > from {
			out = append(out, s.ep)
		}
	}
	if len(out) < compressFrom {
		r.Endpoints = &out
		return
	}
	r.Packed = pub.compress(out)
	pub.compressed[from] = r.Packed
}

// compressFrom is the minimum number of endpoints that are sent compressed.
const compressFrom = 100

// compress compresses a value. Callers do so once for all entries that miss the same state:
// after a change of leader 300 entries request 3,000 endpoints at once, and answers that
// are encoded for each of them and not compressed take 200 MB and 20 s on the leader's
// link, and its process runs out of memory. The caller holds mu.
func (pub *publisher) compress(v any) []byte {
	packed, err := wire.Compress(v)
	if err != nil {
		panic(err) // plain values always encode
	}
	return packed
}

// maxSlotWait bounds how far ahead large answers are scheduled, and slotExpiry how long a
// reserved slot that its entry does not use is kept.
const (
	maxSlotWait = 10 * time.Second
	slotExpiry  = time.Second
)

// reserve reserves a slot on the link for a large answer to an entry and returns how long the
// answer must wait. It returns false if that is longer than maxSendWait; a slot within
// maxSlotWait is kept for the entry's next call. Without that, an entry that calls at
// unfavourable moments receives nothing while others receive one deployment after the other.
func (pub *publisher) reserve(now time.Time, host ident.HostID, bytes int) (time.Duration, bool) {
	pub.mu.Lock()
	defer pub.mu.Unlock()
	at, reserved := pub.slots[host]
	if !reserved || now.Sub(at) > slotExpiry {
		wait, ok := pub.link.Take(now, bytes, maxSlotWait)
		if !ok {
			return 0, false
		}
		at = now.Add(wait)
	}
	wait := max(at.Sub(now), 0)
	if wait > maxSendWait {
		pub.slots[host] = at
		return 0, false
	}
	delete(pub.slots, host)
	return wait, true
}

// setDeployment publishes a deployment; an older one is ignored.
func (pub *publisher) setDeployment(d state.Deployment) {
	pub.update(func() {
		if d.Version > pub.dep.Version {
			pub.dep, pub.depCompressed = d, nil
		}
	})
}

func (pub *publisher) deployment() state.Deployment {
	pub.mu.Lock()
	defer pub.mu.Unlock()
	return pub.dep
}

// setListShown records that everything that the last read of the list showed is published to all.
func (pub *publisher) setListShown() {
	pub.mu.Lock()
	defer pub.mu.Unlock()
	pub.listShown = pub.listRead
}

func (pub *publisher) setListAge(at time.Time, typicalAge time.Duration) {
	pub.mu.Lock()
	defer pub.mu.Unlock()
	pub.listRead, pub.typicalAge = at, typicalAge
}

// setLoads sets the loads of endpoints and the number of entries. It wakes no call: loads
// change constantly and are sent with every answer.
func (pub *publisher) setLoads(loads fleet.Loads, entries int) {
	pub.mu.Lock()
	defer pub.mu.Unlock()
	pub.loads, pub.entries = loads, entries
}

// setLimits sets what is known of the limits of endpoints. It wakes no call, as setLoads.
func (pub *publisher) setLimits(statements map[string]allowance.Statement) {
	pub.mu.Lock()
	defer pub.mu.Unlock()
	pub.limits = map[string]map[fleet.EndpointID]allowance.Statement{}
	for name, s := range statements {
		addByModel(pub, pub.limits, fleet.EndpointID(name), s)
	}
}

// addByModel adds a value of an endpoint to values by the models that the endpoint holds; under ""
// if it holds none. The caller holds mu.
func addByModel[V any](pub *publisher, to map[string]map[fleet.EndpointID]V, id fleet.EndpointID, v V) {
	e, known := pub.eps[id]
	if !known {
		return
	}
	add := func(model string) {
		if to[model] == nil {
			to[model] = map[fleet.EndpointID]V{}
		}
		to[model][id] = v
	}
	if len(e.ep.Held) == 0 {
		add("")
	}
	for _, h := range e.ep.Held {
		add(h.Model)
	}
}

// limitsFor returns what is known of the limits of the endpoints that an entry needs. The
// caller holds mu.
func (pub *publisher) limitsFor(now time.Time, entry ident.HostID) []allowance.EndpointStatement {
	if len(pub.limits) == 0 {
		return nil
	}
	var out []allowance.EndpointStatement
	for id, s := range fleet.OfInterest(pub.interests, string(entry), pub.limits) {
		out = append(out, allowance.StatementAt(now, string(id), s))
	}
	return out
}

// recordInterest records the models that an entry's report names.
func (pub *publisher) recordInterest(now time.Time, entry ident.HostID, demands []fleet.Demand) {
	pub.mu.Lock()
	defer pub.mu.Unlock()
	pub.interests.Record(now, string(entry), demands)
}

// forgetInterest drops the models that a silent entry asked for.
func (pub *publisher) forgetInterest(entry string) {
	pub.mu.Lock()
	defer pub.mu.Unlock()
	pub.interests.Forget(entry)
	delete(pub.pacesTold, ident.HostID(entry))
}

// encodedLoads returns the loads that an entry needs, encoded; nil if there are none. The
// caller holds mu.
func (pub *publisher) encodedLoads(entry ident.HostID) json.RawMessage {
	loads := pub.interests.Of(string(entry), pub.loads)
	if len(loads) == 0 {
		return nil
	}
	raw, err := json.Marshal(loads)
	if err != nil {
		panic(err) // a map of numbers always encodes
	}
	return raw
}

// wakeEvents are the events after which a waiting call must check again what is missing.
type wakeEvents struct {
	all <-chan struct{} // closed at a publication to all entries
	own <-chan struct{} // closed at a publication to this entry because it waits
}

// answer returns what an entry is missing, whether that is anything, and the events to wait
// for otherwise.
func (pub *publisher) answer(p wire.PullParams) (wire.PullResult, bool, wakeEvents) {
	pub.mu.Lock()
	defer pub.mu.Unlock()
	r := wire.PullResult{Leading: pub.leading, Term: pub.term, Rev: pub.rev, Running: pub.encodedLoads(p.Host), Entries: pub.entries, ListUsual: pub.typicalAge}
	if !pub.leading {
		return r, true, wakeEvents{}
	}
	if !pub.listRead.IsZero() {
		r.ListAge = time.Since(pub.listRead)
	} else {
		r.ListAge = -1
	}
	if !pub.listShown.IsZero() {
		r.ListShown = max(time.Since(pub.listShown), 1)
	}
	r.Limits, r.Pauses = pub.limitsFor(time.Now(), p.Host), pub.pausesFor(time.Now(), p.Host)
	r.Paces = pub.pacesFor(time.Now(), p.Host)
	missing := pub.isBehind(p)
	if missing {
		pub.addChanges(&r, p.Term, p.Rev)
	}
	if pub.suspects.Mark != p.Suspects && pub.suspects.Mark != (wire.SuspectMark{}) {
		suspects := pub.suspects
		r.Suspects, missing = &suspects, true
	}
	if pub.dep.Version > p.Version {
		if pub.depCompressed == nil {
			pub.depCompressed = pub.compress(pub.dep)
		}
		r.Deployment, missing = pub.depCompressed, true
	}
	return r, missing, wakeEvents{all: pub.changed, own: pub.wakeup(p.Host)}
}
