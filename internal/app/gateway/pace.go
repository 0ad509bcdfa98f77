package gateway

import (
	"time"

	"github.com/cassiapass/cassiapass/internal/core/deploy"
	"github.com/cassiapass/cassiapass/internal/core/feature"
	"github.com/cassiapass/cassiapass/internal/core/fleet"
	"github.com/cassiapass/cassiapass/internal/core/pace"
)

const (
	// A segment of a stream is one observation of an endpoint's pace: segmentEvents events over
	// at least segmentTime, or fewer if the stream ends or they take slowSegment.
	segmentEvents    = 8
	minSegmentEvents = 4
	segmentTime      = 500 * time.Millisecond
	slowSegment      = 1500 * time.Millisecond
	// leastWeight is the least weight of a segment as an observation. One that takes less than
	// segmentTime at the usual pace weighs as much less: an entry with a tenth of a core receives events
	// up to a tenth of a second late.
	leastWeight = 0.1
	// answerWeight is the weight of a whole answer of a plain service, whose work varies more
	// from one to the next, as an observation.
	answerWeight = 0.25
	// slowFactor is the factor from which on an endpoint counts as slow in metrics.
	slowFactor = 1.4
	// maxPaceKinds bounds the models whose times are kept.
	maxPaceKinds = 4096
)

// paces is what a directory knows of the speed of its endpoints, and of how much work requests are.
// The directory's lock guards it.
type paces struct {
	book         *pace.Book
	pooled       map[fleet.EndpointID]toldPace // by the leader, of all entries' observations
	times        map[string]*pace.TimesOf      // by kind of work: see paceKind
	lengths      map[string]*pace.Lengths      // by route
	objectives   map[string]time.Duration      // shortest of the requests since the last report, by model
	reportedAt   time.Time
	reportedTerm uint64 // of the leader that has all that was observed
}

// toldPace is a factor that the leader told.
type toldPace struct {
	factor pace.Factor
	at     time.Time
}

func newPaces() paces {
	return paces{book: pace.NewBook(), pooled: map[fleet.EndpointID]toldPace{}, objectives: map[string]time.Duration{}, times: map[string]*pace.TimesOf{}, lengths: map[string]*pace.Lengths{}}
}

// paceKind names the requests that take the same time per event at equal endpoints.
func paceKind(service, model string) string {
	if model == "" {
		return "service:" + service
	}
	return model
}

// factor returns how long work takes at an endpoint relative to its peers, and the evidence for it:
// by this entry's own streams if they decide it, else by those of all entries.
func (p *paces) factor(id fleet.EndpointID) (float64, float64) {
	f, seen := p.book.Factor(string(id))
	if f == pace.Usual {
		f = p.pooled[id].factor
	}
	return f.Or(), seen
}

func (p *paces) forget(id fleet.EndpointID) {
	p.book.Forget(string(id))
	delete(p.pooled, id)
}

// recordObjective records the objective of a request for a model.
func (p *paces) recordObjective(model string, objective time.Duration) {
	if model == "" || objective <= 0 {
		return
	}
	before, known := p.objectives[model]
	if known && objective < before || !known && len(p.objectives) < pace.MaxSums {
		p.objectives[model] = objective
	}
}

// timesOf returns the times of a kind of work to record in, nil if there are too many kinds.
func (p *paces) timesOf(kind string) *pace.TimesOf {
	t := p.times[kind]
	if t == nil && len(p.times) < maxPaceKinds {
		t = &pace.TimesOf{}
		p.times[kind] = t
	}
	return t
}

// momentary is what an endpoint last stated of its host's speed at that moment.
type momentary struct {
	slowness float64
	at       time.Time
}

// factor returns how long work takes at an endpoint now, relative to the usual.
func (e *endpoint) factor(now time.Time) float64 {
	f := pace.Factor(e.pace).Or()
	if e.momentary.slowness > 1 {
		f *= pace.SlownessAt(e.momentary.slowness, now.Sub(e.momentary.at))
	}
	return f
}

// requestLoad is the work of a request, where endpoints are chosen by expected finish; nil otherwise.
type requestLoad struct {
	kind        string
	work        pace.Work
	objective   fleet.Objective
	eventTokens int

	factor   float64       // of the endpoint chosen, at that time
	pace     float64       // the lasting part of factor
	evidence float64       // observations for it
	first    time.Duration // expected until the first event; 0 if not known
	finish   time.Duration // expected for the whole answer; 0 if not known
	extra    float64       // by how many usual requests it asks for more than one
	chosen   *endpoint     // at which its work is counted
	reading  bool          // its prompt is counted there

	answering     *endpoint // whose stream is observed
	segmentAt     time.Time // start of the present segment of the stream; zero before the first event
	segmentEvents int
}

// expectLoad returns the work of the request, nil unless endpoints are chosen by expected finish.
func (x *exchange) expectLoad() *requestLoad {
	if !x.g.enabled(feature.Pace) {
		return nil
	}
	l := &requestLoad{kind: paceKind(x.service, x.info.Want.Model), eventTokens: x.g.eventTokens(x.service)}
	l.objective = fleet.Objective{First: x.route.Objective - time.Since(x.arrived), Gap: x.route.MaxGap, Limit: time.Until(x.deadline)}
	if l.objective.First < 0 || x.headSent {
		l.objective.First = 0 // missed already, or met
	}
	l.work = x.g.dir.expectWork(x.route, x.info)
	return l
}

func (d *directory) expectWork(route *deploy.Route, info RequestFields) pace.Work {
	d.mu.Lock()
	defer d.mu.Unlock()
	l := d.paces.lengths[route.Name]
	if l == nil {
		l = &pace.Lengths{}
	}
	d.paces.recordObjective(info.Want.Model, route.Objective)
	return l.Expect(info.Prompt, info.Hint, info.MaxOutput)
}

// chooseByFinish returns the index of the candidate to use for a request. The caller holds mu.
func (d *directory) chooseByFinish(now time.Time, eps []*endpoint, preferred []int, cands []fleet.Candidate, l *requestLoad, rand func(int) int) int {
	var times pace.Times
	if t := d.paces.times[l.kind]; t != nil {
		times, _ = t.Times(l.eventTokens)
	}
	slow := false
	for i, at := range preferred {
		e := eps[at]
		slow = slow || e.pace >= slowFactor
		f := e.factor(now)
		cands[i].Expect = fleet.Expectation{Factor: f, Extra: e.extraWork, First: times.First(l.work, e.reading, f), Gap: time.Duration(f * float64(times.Event)), Finish: times.Finish(l.work, e.reading, pace.Factor(e.pace).Or())}
	}
	i := fleet.ChooseByFinish(cands, l.objective, rand)
	if slow && eps[preferred[i]].pace < slowFactor {
		d.metrics.countSlowAvoided()
	}
	return i
}

// beginLoad counts the work of a request at the endpoint chosen for it. The caller holds mu.
func (d *directory) beginLoad(now time.Time, e *endpoint, l *requestLoad) {
	if l == nil {
		return
	}
	l.pace, l.evidence, l.factor = pace.Factor(e.pace).Or(), e.evidence, e.factor(now)
	l.chosen, l.answering, l.segmentAt, l.segmentEvents = e, nil, time.Time{}, 0
	l.first, l.finish, l.extra = 0, 0, 0
	if t := d.paces.times[l.kind]; t != nil {
		if times, known := t.Times(l.eventTokens); known {
			l.first, l.finish = times.First(l.work, e.reading, l.factor), times.Finish(l.work, e.reading, l.factor)
			l.extra = times.Share(l.work) - 1
		}
	}
	e.reading += l.work.Prompt
	e.extraWork += l.extra
	l.reading = true
}

// endReading ends the part of a request in which its prompt is read. The caller holds mu.
func (l *requestLoad) endReading() {
	if l.reading {
		l.chosen.reading -= l.work.Prompt
		l.reading = false
	}
}

// endLoad ends a request's work at the endpoint chosen for it.
func (x *exchange) endLoad() {
	l := x.load
	if l == nil || l.chosen == nil {
		return
	}
	x.flushSegment()
	x.g.dir.mu.Lock()
	defer x.g.dir.mu.Unlock()
	l.endReading()
	l.chosen.extraWork -= l.extra
	l.extra = 0
}

// observeEvents observes the pace of the endpoint by newly received events of its stream.
func (x *exchange) observeEvents(n int) {
	l, e := x.load, x.answering
	if l == nil || e == nil || n == 0 {
		return
	}
	now := time.Now()
	if l.answering != e {
		x.flushSegment()
		if l.answering == nil {
			x.g.dir.recordFirst(l, now.Sub(x.sentAt), x.goOnFrom == "" && e == l.chosen)
		}
		l.answering, l.segmentAt, l.segmentEvents = e, now, 0
		return
	}
	l.segmentEvents += n
	took := now.Sub(l.segmentAt)
	if l.segmentEvents >= segmentEvents && took >= segmentTime || l.segmentEvents >= minSegmentEvents && took >= slowSegment {
		x.recordSegment(now)
	}
}

// flushSegment records the last segment of a stream that has ended. Events that did not come count
// as time: a stream that drags until its caller leaves says as much as others.
func (x *exchange) flushSegment() {
	if x.load != nil && x.load.segmentEvents >= minSegmentEvents {
		x.recordSegment(time.Now())
	}
}

func (x *exchange) recordSegment(now time.Time) {
	l := x.load
	x.g.dir.recordSegment(l.answering, l, l.segmentEvents, now.Sub(l.segmentAt))
	l.segmentAt, l.segmentEvents = now, 0
}

func (d *directory) recordSegment(e *endpoint, l *requestLoad, events int, took time.Duration) {
	d.mu.Lock()
	defer d.mu.Unlock()
	usual := took
	if t := d.paces.timesOf(l.kind); t != nil {
		if event := t.Event(); event > 0 {
			usual = event * time.Duration(events)
		}
		t.RecordEvents(events, took, l.pace)
	}
	weight := min(max(usual.Seconds()/segmentTime.Seconds(), leastWeight), 1)
	d.paces.book.Record(l.kind, string(e.ID), took/time.Duration(events), weight)
}

// recordFirst records how long a first event took. whole is not set for one of a run that goes on: it
// does not read its prompt again.
func (d *directory) recordFirst(l *requestLoad, took time.Duration, whole bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	l.endReading()
	if !whole {
		return
	}
	if t := d.paces.timesOf(l.kind); t != nil {
		t.RecordFirst(l.work, took, l.factor)
	}
}

// recordPlain records how long a whole answer of a plain service took.
func (x *exchange) recordPlain(e *endpoint, ok bool) {
	l := x.load
	if l == nil || !ok {
		return
	}
	took := time.Since(x.sentAt)
	x.g.dir.recordFirst(l, took, true)
	x.g.dir.mu.Lock()
	defer x.g.dir.mu.Unlock()
	x.g.dir.paces.book.Record(l.kind, string(e.ID), took, answerWeight)
}

// recordLength records the length of a whole stream.
func (x *exchange) recordLength() {
	if x.load == nil || x.info.Hint == 0 {
		return
	}
	d := x.g.dir
	d.mu.Lock()
	defer d.mu.Unlock()
	l := d.paces.lengths[x.route.Name]
	if l == nil {
		l = &pace.Lengths{}
		d.paces.lengths[x.route.Name] = l
	}
	l.Record(x.info.Hint, x.eventsSent*x.load.eventTokens)
}

// updatePaces brings what is known of the speed of endpoints up to date.
func (d *directory) updatePaces(now time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.paces.book.Update(now, len(d.byID)) {
		d.applyPaces(now)
	}
}

// paceReport returns what this entry has observed of the pace of endpoints and the leader doesn't know,
// and the objectives of its requests, if a report is due. A new leader is told all that counts still.
func (d *directory) paceReport(now time.Time, entries int) ([]pace.Sum, map[string]time.Duration) {
	d.mu.Lock()
	defer d.mu.Unlock()
	p := &d.paces
	if now.Sub(p.reportedAt) < pace.ShareInterval(entries) {
		return nil, nil
	}
	all := p.reportedTerm != d.term
	p.reportedAt, p.reportedTerm = now, d.term
	objectives := p.objectives
	p.objectives = map[string]time.Duration{}
	return p.book.Sums(all, pace.MaxSums), objectives
}

// applyPooledPaces applies what the leader tells of the pace of endpoints.
func (d *directory) applyPooledPaces(now time.Time, told map[fleet.EndpointID]pace.Factor) {
	if len(told) == 0 {
		return
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	for id, f := range told {
		if e := d.byID[id]; e != nil {
			d.paces.pooled[id] = toldPace{f, now}
			e.pace, e.evidence = d.paces.factor(id)
		}
	}
}

// applyPaces sets the paces of the endpoints. The caller holds mu.
func (d *directory) applyPaces(now time.Time) {
	for id, t := range d.paces.pooled {
		if now.Sub(t.at) > pace.ToldLife {
			delete(d.paces.pooled, id)
		}
	}
	for id, e := range d.byID {
		e.pace, e.evidence = d.paces.factor(id)
	}
}

// slowEndpoints returns how many endpoints are known to be slow.
func (d *directory) slowEndpoints() int {
	d.mu.Lock()
	defer d.mu.Unlock()
	n := 0
	for _, e := range d.byID {
		if e.pace >= slowFactor {
			n++
		}
	}
	return n
}
