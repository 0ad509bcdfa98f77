package fleet

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/cassiapass/cassiapass/internal/core/deploy"
	"github.com/cassiapass/cassiapass/internal/core/pace"
	"github.com/cassiapass/cassiapass/internal/core/poison"
)

// Config holds the planner's thresholds.
type Config struct {
	// StoreConcurrency is the initial limit on concurrent loads from the weight store;
	// storeLimiter adjusts it to the observed durations.
	StoreConcurrency int
	// StoreShare is the share of the store's rate that is used. The rest is reserved for
	// what an earlier leader may have ordered within the same window.
	StoreShare float64
	// RateHalfLife is the half-life of a model's request rate.
	RateHalfLife time.Duration
	// Crowded is the share of an engine's slots in use beyond which a model gets another
	// replica.
	Crowded float64
	// ReplicaShare is the share of an engine's slots that one model's requests may use
	// before it gets another replica. The corresponding request rate follows from the
	// observed residence time of requests at engines.
	ReplicaShare float64
	// RatePerReplica is used as that rate until it is known, and where ReplicaShare is 0.
	RatePerReplica float64
	// MaxEngineShare is the share of the engines that one model may use.
	MaxEngineShare float64
	// Settle is how long after the newest order or report of an engine the platform's list
	// must have been requested for its state of that engine to be used.
	Settle time.Duration
	// OrderTimeout is the time after which an order without effect is investigated.
	OrderTimeout time.Duration
	// ModelIdleTime is how long a busy model must be unused before it may be evicted.
	ModelIdleTime time.Duration
	// StoreWaitLimit is how long a request waits for an engine that has a copy, while all of
	// those are busy, before its model is fetched from the store: a load from disk takes
	// half a second, one from the store 6 s and more, during which the engine can load
	// nothing else.
	StoreWaitLimit time.Duration
	// Headroom is the share of the engines that are kept able to load any model without an
	// eviction first; 0 keeps none. What is evicted for it may be requested again.
	Headroom float64
	// ByUrgency serves waiting requests in the order of the time that they have left,
	// whether they can still be answered within their objective or not. It exists for
	// comparison.
	ByUrgency bool
	// MaxQueries is the maximum number of concurrent queries for reports. An answer takes
	// some 5 ms, so all of 54 engines are known in 10 ms and all of 1,100 in 0.2 s.
	MaxQueries int
	// Backoff is how long an engine that cannot be reached is not used.
	Backoff time.Duration
}

// DefaultConfig returns the default thresholds.
func DefaultConfig() Config {
	return Config{
		StoreConcurrency: 4,
		StoreShare:       0.8,
		RateHalfLife:     4 * time.Second, // demand moves to other models within some 5 s
		Crowded:          0.5,             // half the slots leave capacity for a burst of twice the rate
		ReplicaShare:     0.5,
		RatePerReplica:   6,
		MaxEngineShare:   0.5,
		Settle:           1500 * time.Millisecond,
		OrderTimeout:     300 * time.Millisecond,
		ModelIdleTime:    200 * time.Millisecond, // reports of entries are at most this old, and an unload waits for requests
		StoreWaitLimit:   4500 * time.Millisecond,
		Headroom:         0.4,
		MaxQueries:       32,
		Backoff:          time.Second,
	}
}

// Planner decides which engine holds what. A new one is created at each change of leader. It
// is not safe for concurrent use.
type Planner struct {
	cfg              Config
	dep              *deploy.Config
	engines          map[EndpointID]*engine
	models           map[string]*model
	wants            map[Want]*demand
	demandByEntry    map[string]map[Want]Demand // entry to what waits there
	usesByEntry      map[string][]Use           // entry to its requests in progress
	objectives       map[string]shortest        // of the requests for a model
	relievedAt       time.Time                  // when a model was last given a faster engine
	storeLoadsAt     []time.Time                // when recent loads from the store were ordered
	store            storeLimiter
	settled          []Settled
	restarts         []Restart
	survey           *survey // of the current plan
	copies           copyIndex
	changed          bool // what was published to entries is out of date
	residence        residence
	copyLostAt       map[string]time.Time       // model to when an engine with a copy was last lost
	newETAs          map[string]bool            // models with a new ETA since the last call of TakeAwaitingEntries
	newlyHeld        map[Want]bool              // what engines have come to hold since the last call of TakeAwaitingEntries
	lastSpared       time.Time                  // when a model in use was last evicted
	loadFaults       *poison.Book               // ends of engines under loads of models and adapters
	newlyQuarantined []Want                     // newly in quarantine since the last plan
	paces            map[EndpointID]pace.Factor // of endpoints known to be faster or slower than their peers
	byLevel          bool                       // demand counts with the weight of its level
	sumsStale        bool                       // wants and the engines' running counts lack the newest reports of entries
	foresight        *foresight                 // nil if nothing is prepared for losses
	reportedAt       map[string]time.Time       // entry to its last report
}

// model is the known demand for one model.
type model struct {
	rate     float64 // requests a second, decayed
	weighted float64 // the same, each counted with the weight of its level
	ratedAt  time.Time
	askedAt  time.Time
	trend    trend
	// missingSince is since when it has been requested without an engine that holds it; zero
	// if it is not missing.
	missingSince time.Time
}

// New returns a Planner without any knowledge of the fleet.
func New(cfg Config) *Planner {
	return &Planner{
		cfg: cfg, store: storeLimiter{limit: cfg.StoreConcurrency}, engines: map[EndpointID]*engine{}, models: map[string]*model{}, wants: map[Want]*demand{},
		demandByEntry: map[string]map[Want]Demand{}, usesByEntry: map[string][]Use{}, copies: newCopyIndex(), newlyHeld: map[Want]bool{}, newETAs: map[string]bool{}, copyLostAt: map[string]time.Time{}, loadFaults: poison.NewBookFor(loadQuarantine), reportedAt: map[string]time.Time{},
	}
}

// SetDeployment sets the deployment in force.
func (p *Planner) SetDeployment(d *deploy.Config) { p.dep = d }

// TakeChanged reports whether the published state of the engines has changed since the last
// call.
func (p *Planner) TakeChanged() bool {
	c := p.changed
	p.changed = false
	return c
}

// TakeAwaitingEntries returns the entries at which requests wait for what engines have come to
// hold, or for models with a new ETA, since the last call.
func (p *Planner) TakeAwaitingEntries() []string {
	if len(p.newlyHeld)+len(p.newETAs) == 0 {
		return nil
	}
	var out []string
	for entry, waiting := range p.demandByEntry {
		for w := range waiting {
			if p.newlyHeld[w] || p.newETAs[w.Model] {
				out = append(out, entry)
				break
			}
		}
	}
	clear(p.newlyHeld)
	clear(p.newETAs)
	return out
}

// Endpoints returns the endpoints as entries should see them, ordered by ID.
func (p *Planner) Endpoints() []Endpoint {
	out := make([]Endpoint, 0, len(p.engines))
	for _, e := range p.engines {
		out = append(out, e.published())
	}
	slices.SortFunc(out, func(a, b Endpoint) int { return cmp.Compare(a.ID, b.ID) })
	return out
}

// List applies the platform's list, which was requested at askedAt and contains nothing
// newer.
func (p *Planner) List(now, askedAt time.Time, eps []Endpoint) {
	listed := make(map[EndpointID]bool, len(eps))
	byName := p.byName()
	for _, ep := range LatestIncarnations(eps, p.incarnations()) {
		listed[ep.ID] = true
		e, known := p.engines[ep.ID]
		if old := byName[ep.Name()]; !known && old != nil {
			p.replace(now, old, ep)
			continue
		}
		if !known {
			p.engines[ep.ID] = newEngine(ep, now)
			p.changed = true
			continue
		}
		e.ep.StartedAt = ep.StartedAt
		p.setLeaving(e, ep.Leaving)
		if ep.Unreported {
			continue
		}
		e.setCopies(ep.Copies)
		// The time of the request counts, not that of arrival: a list of many pages arrives
		// seconds later where the reader is short of processor time. Judged by its arrival,
		// it would hide what was loaded since, and the next load would overfill the engine.
		if e.order == nil && askedAt.Sub(e.lastActivity) > p.cfg.Settle && e.setHeld(ep.Held, askedAt) {
			p.changed = true
		}
	}
	for id, e := range p.engines {
		if !listed[id] {
			p.recordLostCopies(now, e)
			p.recordEnd(now, e)
			p.removeEngine(e)
		}
	}
}

// Knows reports whether an engine is listed.
func (p *Planner) Knows(id EndpointID) bool { return p.engines[id] != nil }

// byName returns the engines by their names on the platform.
func (p *Planner) byName() map[string]*engine {
	out := make(map[string]*engine, len(p.engines))
	for _, e := range p.engines {
		out[e.ep.Name()] = e
	}
	return out
}

// incarnations returns the known incarnations by their names on the platform.
func (p *Planner) incarnations() map[string]Endpoint {
	out := make(map[string]Endpoint, len(p.engines))
	for _, e := range p.engines {
		out[e.ep.Name()] = e.ep
	}
	return out
}

func (p *Planner) removeEngine(e *engine) {
	p.endOrder(e)
	p.copies.drop(e)
	delete(p.engines, e.ep.ID)
	p.changed = true
}

// RecordDemand records the waiting and running requests that one entry reports. They replace those
// of its previous report.
func (p *Planner) RecordDemand(now time.Time, entry string, demands []Demand, uses []Use) {
	waiting, gap := map[Want]Demand{}, p.reportGap(now, entry)
	for _, d := range demands {
		p.recordArrivals(now, d, gap)
		if d.Waiting > 0 {
			waiting[d.Want] = d
		}
	}
	p.demandByEntry[entry] = waiting
	p.usesByEntry[entry] = uses
	for _, u := range uses {
		p.recordUsed(u)
		e, known := p.engines[u.Endpoint]
		if !known {
			continue
		}
		e.markUsed(u, now)
		if u.Missing && e.order == nil {
			e.needsReport = true
		}
	}
	p.sumsStale = true
}

// Forget drops the last report of an entry that has fallen silent.
func (p *Planner) Forget(entry string) {
	delete(p.demandByEntry, entry)
	delete(p.usesByEntry, entry)
	p.forgetReport(entry)
	p.sumsStale = true
}

func (p *Planner) recordArrivals(now time.Time, d Demand, gap time.Duration) {
	m := p.modelNamed(now, d.Want.Model)
	if d.Arrived > 0 || d.Waiting > 0 || d.Refused > 0 {
		m.askedAt = now
	}
	m.decay(now, p.cfg.RateHalfLife)
	m.rate += float64(d.Arrived) * math.Ln2 / p.cfg.RateHalfLife.Seconds()
	m.weighted += d.arrivedWeight() * math.Ln2 / p.cfg.RateHalfLife.Seconds()
	m.trend.arrived(d.Arrived, gap)
}

func (m *model) decay(now time.Time, halfLife time.Duration) {
	if dt := now.Sub(m.ratedAt); dt > 0 {
		kept := math.Exp2(-dt.Seconds() / halfLife.Seconds())
		m.rate *= kept
		m.weighted *= kept
		m.trend.decay(dt)
		m.ratedAt = now
	}
}

// sumReports sums the reports of all entries, once per plan: entries report some hundred
// times a second.
func (p *Planner) sumReports() {
	if !p.sumsStale {
		return
	}
	p.sumsStale = false
	clear(p.wants)
	for _, ds := range p.demandByEntry {
		for w, d := range ds {
			s, known := p.wants[w]
			if !known {
				s = &demand{minLeft: d.Earliest}
				p.wants[w] = s
			}
			s.add(d)
		}
	}
	for _, e := range p.engines {
		e.running = 0
		clear(e.runningByWant)
	}
	for _, us := range p.usesByEntry {
		for _, u := range us {
			if e, known := p.engines[u.Endpoint]; known {
				e.running += u.Running
				e.runningByWant[u.Want] += u.Running
			}
		}
	}
}

// rate returns a model's current request rate.
func (p *Planner) rate(now time.Time, name string) float64 {
	m, known := p.models[name]
	if !known {
		return 0
	}
	m.decay(now, p.cfg.RateHalfLife)
	return m.rate
}

// spec returns the engine and model descriptions, or nil if the deployment in force does not
// contain them.
func (p *Planner) spec(e *engine, name string) (*deploy.Engine, *deploy.Model) {
	if p.dep == nil {
		return nil, nil
	}
	s, known := p.dep.Services[e.ep.Service]
	if !known || s.Engine == nil {
		return nil, nil
	}
	return s.Engine, s.Engine.Models[name]
}
