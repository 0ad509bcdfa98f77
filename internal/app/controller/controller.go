package controller

import (
	"context"
	"sync"
	"time"

	vm "github.com/VictoriaMetrics/metrics"
	"github.com/rs/zerolog"

	"github.com/cassiapass/cassiapass/internal/app/control"
	"github.com/cassiapass/cassiapass/internal/core/allowance"
	"github.com/cassiapass/cassiapass/internal/core/deploy"
	"github.com/cassiapass/cassiapass/internal/core/feature"
	"github.com/cassiapass/cassiapass/internal/core/fleet"
	"github.com/cassiapass/cassiapass/internal/core/holder"
	"github.com/cassiapass/cassiapass/internal/core/ident"
	"github.com/cassiapass/cassiapass/internal/core/notice"
	"github.com/cassiapass/cassiapass/internal/core/pace"
	"github.com/cassiapass/cassiapass/internal/core/poison"
	"github.com/cassiapass/cassiapass/internal/core/release"
	"github.com/cassiapass/cassiapass/internal/core/state"
	"github.com/cassiapass/cassiapass/internal/port"
)

const (
	// tickLeading is the interval at which the leader checks orders and queries. It
	// adds at most one tick to a cold start.
	tickLeading = 20 * time.Millisecond
	// minPlanPause is the minimum time between two plans. Events that arrive in
	// between are processed before the next plan. Without it, each of some hundred
	// reports a second from 31 entries triggers a plan of a millisecond or more; on
	// half a core the leader falls behind, and the state that entries receive is
	// 1.0 s old on average and up to 2.6 s.
	minPlanPause = 5 * time.Millisecond
	// planPauseFactor is the minimum ratio of the pause after a plan to the plan's own
	// duration, which limits planning to a tenth of the time. The rest serves reports and
	// pulls of 105 entries and orders and reports of 180 engines: with a third of the
	// time spent on plans these were 0.1 to 0.4 s late. It delays a cold start by 20 ms.
	planPauseFactor = 9
	// maxPlanPause bounds that pause, and so the delay that it adds to a cold start.
	maxPlanPause = 100 * time.Millisecond
	// tickFollowing is the interval at which other hosts check whether they lead.
	tickFollowing = 100 * time.Millisecond
	// listInterval is the time between reads of the platform's list. The list
	// itself lags by up to 0.8 s, so reading it more often gains nothing.
	listInterval = 400 * time.Millisecond
	// listCallTime is the longest time that one of several calls for the list normally
	// takes. Most of it is spent keeping within the allowed rate of 47 calls a second.
	listCallTime = 50 * time.Millisecond
	// listTimeout bounds a read of the whole list. A list of 3,000 endpoints takes half
	// a second at the rate that the platform allows; each call has its own timeout.
	listTimeout = 5 * time.Second
	// orderTimeout is the time after which an order counts as unanswered.
	orderTimeout  = time.Second
	reportTimeout = 500 * time.Millisecond
	// demandLogInterval and demandLogModels limit the logging of demand to one line in
	// the time in which demand typically shifts to other models.
	demandLogInterval = 5 * time.Second
	demandLogModels   = 8
)

// Config holds the settings and dependencies of a Controller.
type Config struct {
	Fleet   port.Fleet
	Decode  func(text string) (*deploy.Config, error)
	Planner fleet.Config
	// Host is this host. Lease is the time within which control of the engines must not
	// alternate between hosts, whether or not engines check fencing tokens; 0 if the
	// deployment names none. See package holder.
	Host  ident.HostID
	Lease time.Duration
	// Tolerance is the amount by which a customer's use may exceed its allowance in any
	// window.
	Tolerance allowance.Tolerance
	// SendRate is the rate in bytes a second of large answers to all entries together; 0
	// selects a default for a link of 100 Mbit/s.
	SendRate float64
	// ListLag is how far the platform's list may lag behind.
	ListLag time.Duration
	// Features are the operator's settings for optional parts, and Pressure tells whether the platform
	// asks for an order of urgency under overload.
	Features feature.Settings
	Pressure bool
	// Metrics is the set in which the Controller registers its metrics.
	Metrics *vm.Set
	Log     zerolog.Logger
}

// Leadership is the part of the control host that the Controller uses.
type Leadership interface {
	LeaderStatus() control.LeaderStatus
	ConfirmLeadership(ctx context.Context, term uint64) error
	LeaderAddr() string
	Members() []string
	LocalDeployment() state.Deployment
	// Holder returns the newest record in the log of the host that holds the engines.
	Holder() holder.Record
	// CommitHolder commits such a record; it fails on a host that does not lead.
	CommitHolder(ctx context.Context, r holder.Record) error
	// Poison returns the quarantined requests, as this host has applied them.
	Poison() poison.Registry
	// CommitPoison commits a change to them; it fails on a host that does not lead.
	CommitPoison(ctx context.Context, n poison.Change) error
	// Releases returns the releases that served and those at which streams may begin, as this host
	// has applied the log, and CommitReleases commits newer ones; it fails on a host that does not
	// lead.
	Releases() (served, settled release.Served)
	CommitReleases(ctx context.Context, served, settled release.Served) error
	// FindStream returns the release that began a stream, and Streams all such streams, as this host has
	// applied the log. CommitStreams notes further ones; it fails on a host that does not lead.
	FindStream(id release.StreamID) (release.Name, bool)
	Streams() release.Origins
	CommitStreams(ctx context.Context, n release.Note) error
}

// Controller plans and publishes for one control host while that host leads.
type Controller struct {
	cfg     Config
	host    Leadership
	events  chan func(now time.Time)
	ctx     context.Context
	cancel  context.CancelFunc
	done    chan struct{}
	pub     *publisher
	allow   allowances
	limits  endpointLimits
	streams streamOrigins
	met     *metrics

	// Owned by the loop.
	term           uint64 // 0 while not leading
	holding        holding
	suspects       suspectState
	fencedTerm     uint64 // term in which an engine rejected an order because of a newer leader
	planner        *fleet.Planner
	decodedVersion uint64 // version of the planner's deployment
	deployed       *deploy.Config
	listing        bool // a read of the list is in progress
	listStarted    time.Time
	listOK         bool                 // the list was read in this term
	entries        map[string]time.Time // when each entry was last seen
	rev            uint64               // last published revision
	stepStart      time.Time            // start of the last planning step
	stepTime       time.Duration        // duration of that step
	publishedAll   time.Time            // last publication to all entries
	publishedAny   time.Time            // last publication to any entry
	unpublished    bool                 // some changes are not published to all entries yet
	published      release.Served       // settled releases, as of the newest publication
	demandLogged   time.Time            // when demand was last logged

	notices         *notice.Summary       // what endpoints asked of entries
	noticed         int                   // endpoints in it, as last published
	leavingLogged   map[string]bool       // endpoints whose word that they leave was logged
	limitsPublished time.Time             // last update of the published limits
	limited         int                   // endpoints whose limits were known then
	unreadable      int                   // unreadable entries of the list, as last logged
	featuresLogged  map[feature.Name]bool // optional parts in use, as last logged
	sharedHosts     bool                  // an entry knows how fast the host of an endpoint is at the moment
	paces           paces                 // of endpoints, by the entries' reports
	etas            fleet.ETATable
	etasUpdated     time.Time // when etas was last updated
}

// New returns a Controller that Run starts.
func New(cfg Config) *Controller {
	ctx, cancel := context.WithCancel(context.Background())
	return &Controller{cfg: cfg, events: make(chan func(time.Time), 1024), ctx: ctx, cancel: cancel, done: make(chan struct{}), pub: newPublisher(cfg.SendRate), allow: allowances{tolerance: cfg.Tolerance}, met: newMetrics(cfg.Metrics),
		streams: streamOrigins{wait: release.SettleTime(cfg.ListLag)}}
}

// Run starts the loop for a control host.
func (c *Controller) Run(lead Leadership) {
	c.host = lead
	c.pub.setDeployment(lead.LocalDeployment())
	go c.loop()
}

// Stop ends the loop and waits for it.
func (c *Controller) Stop() {
	c.cancel()
	if c.host != nil {
		<-c.done
	}
}

// post queues f for the loop. It drops f when the Controller stops.
func (c *Controller) post(f func(now time.Time)) {
	select {
	case c.events <- f:
	case <-c.ctx.Done():
	}
}

func (c *Controller) loop() {
	defer close(c.done)
	t := time.NewTimer(0)
	defer t.Stop()
	for {
		select {
		case <-c.ctx.Done():
			return
		case f := <-c.events:
			f(time.Now())
			c.drainEvents()
			if wait := c.pause() - time.Since(c.stepStart); wait > 0 {
				t.Reset(wait)
				continue
			}
		case <-t.C:
		}
		c.stepStart = time.Now()
		c.followLeadership(c.stepStart)
		c.step(c.stepStart)
		c.stepTime = time.Since(c.stepStart)
		t.Reset(max(c.tick(), c.pause()))
	}
}

// pause returns the minimum time between two plans. It grows with the duration of the
// last plan, which leaves the leader processor time for incoming reports: with 3,000
// engines a plan takes some 20 ms on half a core. It is bounded: otherwise a process
// that was suspended during a plan would not plan for planPauseFactor times as long after
// it resumes.
func (c *Controller) pause() time.Duration {
	return min(max(minPlanPause, planPauseFactor*c.stepTime), maxPlanPause)
}

// drainEvents runs all queued events.
func (c *Controller) drainEvents() {
	for {
		select {
		case f := <-c.events:
			f(time.Now())
		default:
			return
		}
	}
}

// tick returns the time until the next step without events.
func (c *Controller) tick() time.Duration {
	if c.term != 0 {
		return tickLeading
	}
	return tickFollowing
}

// followLeadership starts or ends the duties of the leader when leadership changes.
func (c *Controller) followLeadership(now time.Time) {
	l := c.host.LeaderStatus()
	switch {
	case !l.Leading && c.term != 0:
		c.cfg.Log.Info().Uint64("term", c.term).Msg("fleet_duties_ended")
		c.term, c.planner = 0, nil
		c.met.setShort(0) // only the leader examines losses
		c.pub.stopLeading()
		c.allow.stopLeading()
		c.limits.stopLeading()
		c.streams.stopLeading()
	case l.Leading && l.Term != c.term:
		c.beginTerm(now, l.Term)
	}
}

func (c *Controller) beginTerm(now time.Time, term uint64) {
	c.term = term
	c.beginHolding(now)
	c.beginSuspects(now)
	c.planner, c.published = fleet.New(c.cfg.Planner), nil
	c.decodedVersion, c.rev = 0, 0
	c.listStarted, c.listOK = time.Time{}, false
	c.entries = map[string]time.Time{}
	c.etas, c.paces = fleet.ETATable{}, paces{book: pace.NewBook()}
	c.notices, c.noticed, c.leavingLogged = notice.NewSummary(), 0, map[string]bool{}
	c.cfg.Log.Info().Uint64("term", term).Msg("fleet_duties_begun")
	c.pub.startLeading(term)
	c.allow.startLeading()
	c.limits.startLeading(now, term)
	served, settled := c.host.Releases()
	c.streams.startLeading(now, served, settled, c.host.Streams())
	// A starting entry gets these with its first answer, before it accepts a request.
	c.publishSuspects(now)
}

// step runs one step of the leader's duties: it applies the deployment, reads the list,
// plans and publishes as due.
func (c *Controller) step(now time.Time) {
	if c.term == 0 {
		return
	}
	c.applyDeployment()
	if !c.listing && now.Sub(c.listStarted) >= listInterval {
		c.readList(now)
	}
	c.updatePaces(now)
	c.updateHolding(now)
	c.commitDueQuarantines(now)
	c.publishNotices(now)
	c.commitReleases(now)
	c.noteStreams(now)
	c.planner.SetByLevel(c.enabled(feature.Urgency))
	if c.listOK && c.fencedTerm != c.term && c.holding.recorded {
		c.planner.SetForesight(c.enabled(feature.Foresight))
		c.execute(c.planner.Plan(now))
		c.met.observePlan(time.Since(now))
	}
	c.publish(now)
	c.logDemand(now)
	c.logFeatures()
}

// logDemand periodically logs the models with the highest demand, which shows
// afterwards why one model was loaded and another evicted.
func (c *Controller) logDemand(now time.Time) {
	if now.Sub(c.demandLogged) < demandLogInterval {
		return
	}
	c.demandLogged = now
	var models []string
	for _, d := range c.planner.Busiest(now, demandLogModels) {
		models = append(models, d.String())
	}
	if len(models) > 0 {
		c.cfg.Log.Info().Strs("models", models).Msg("demand")
	}
}

func (c *Controller) applyDeployment() {
	d := c.pub.deployment()
	if d.Version == c.decodedVersion {
		return
	}
	c.decodedVersion = d.Version
	cfg, err := c.cfg.Decode(d.Text)
	if err != nil {
		// The document was validated before it was committed. This happens only in
		// a release that reads fewer versions than the one that accepted it.
		c.cfg.Log.Error().Uint64("version", d.Version).Err(err).Msg("deployment_not_readable")
		return
	}
	c.deployed = cfg
	c.planner.SetDeployment(cfg)
	c.allow.setLimits(time.Now(), cfg.Customers)
}

// readList starts a read of the platform's list.
func (c *Controller) readList(now time.Time) {
	c.listing, c.listStarted = true, now
	planner := c.planner
	go func() {
		ctx, cancel := context.WithTimeout(c.ctx, listTimeout)
		defer cancel()
		asked := time.Now()
		l, err := c.cfg.Fleet.List(ctx)
		took := time.Since(asked)
		c.post(func(now time.Time) {
			c.listing = false
			if c.planner != planner {
				return
			}
			if err != nil {
				c.cfg.Log.Warn().Err(err).Msg("endpoint_list_failed")
				return
			}
			if !c.listOK {
				c.cfg.Log.Info().Int("endpoints", len(l.Endpoints)).Int("calls", l.Calls).Dur("took", took).Msg("endpoint_list_read")
			}
			c.listOK = true
			c.recordUnreadable(l)
			c.planner.List(now, asked, l.Endpoints)
			c.streams.listed(now, asked, l.Endpoints)
			c.pub.setListAge(asked, typicalListAge(l.Calls, took))
		})
	}()
}

// recordUnreadable counts entries of the list that could not be read, and logs their number
// when it changes.
func (c *Controller) recordUnreadable(l fleet.Listing) {
	c.met.countUnreadable(l.Unreadable)
	if l.Unreadable != c.unreadable {
		c.cfg.Log.Warn().Int("entries", l.Unreadable).Int("before", c.unreadable).Str("first", l.Reason).Msg("list_entries_unreadable")
		c.unreadable = l.Unreadable
	}
}

// typicalListAge returns the age that the list typically reaches, given the calls and the
// duration of one read. It counts only the time that call pacing explains: otherwise one
// slow call would make entries trust an old list for seconds longer, and if the leader
// failed in that time, they would send to endpoints that have left.
func typicalListAge(calls int, took time.Duration) time.Duration {
	return listInterval + 2*min(took, time.Duration(max(calls-1, 0))*listCallTime)
}

// execute logs the results of a plan and starts its orders and queries in goroutines of
// their own.
func (c *Controller) execute(w fleet.Work) {
	for _, s := range w.Settled {
		c.met.observeLoad(s)
		c.cfg.Log.Info().Str("endpoint", string(s.Endpoint)).Str("op", string(s.Op)).Str("model", s.Want.Model).Str("adapter", s.Want.Adapter).
			Uint64("expected", s.Expected).Str("source", string(s.Source)).Str("result", s.Result).Dur("took", s.Took).Msg("order_settled")
	}
	for _, s := range w.Restarts {
		c.cfg.Log.Warn().Str("endpoint", string(s.Endpoint)).Str("before", string(s.Previous)).Msg("endpoint_started_again")
	}
	for _, refused := range w.Quarantined {
		c.cfg.Log.Warn().Str("model", refused.Model).Str("adapter", refused.Adapter).Msg("load_quarantined")
	}
	c.logPrepared(w)
	if len(w.Orders) > 0 {
		go c.sendOrders(c.planner, c.term, w.Orders)
	}
	for _, q := range w.Queries {
		go c.query(c.planner, q)
	}
}

// sendOrders sends the orders of one plan. A quorum confirms this host's leadership once for
// all of them: at some 150 orders a second to 180 engines, a round for each order costs
// the leader more than the orders themselves.
func (c *Controller) sendOrders(planner *fleet.Planner, term uint64, orders []fleet.Order) {
	ctx, cancel := context.WithTimeout(c.ctx, orderTimeout)
	begin := time.Now()
	err := c.host.ConfirmLeadership(ctx, term)
	var given sync.WaitGroup
	for _, o := range orders {
		given.Go(func() { c.sendOrder(ctx, planner, term, o, begin, err) })
	}
	given.Wait()
	cancel()
}

// sendOrder sends one order if err, the result of the confirmation, is nil, and passes the
// answer to the planner.
func (c *Controller) sendOrder(ctx context.Context, planner *fleet.Planner, term uint64, o fleet.Order, begin time.Time, err error) {
	answer := fleet.Unsent
	if err == nil {
		answer = c.cfg.Fleet.Order(ctx, o, term)
	}
	c.cfg.Log.Info().Str("endpoint", string(o.Endpoint)).Str("op", string(o.Op)).Str("model", o.Want.Model).Str("adapter", o.Want.Adapter).
		Uint64("expected", o.Expected).Uint64("fence", term).Str("source", string(o.Source)).Str("reason", o.Reason).Stringer("answer", answer).
		Dur("took", time.Since(begin)).Err(err).Msg("order_given")
	c.met.countOrder(o, answer)
	c.post(func(now time.Time) {
		if c.planner != planner {
			return
		}
		if answer == fleet.Fenced {
			c.fencedTerm = term
			c.cfg.Log.Warn().Uint64("term", term).Msg("orders_fenced_off")
		}
		c.planner.Answered(now, o, answer)
	})
}

func (c *Controller) query(planner *fleet.Planner, q fleet.Query) {
	ctx, cancel := context.WithTimeout(c.ctx, reportTimeout)
	defer cancel()
	r, err := c.cfg.Fleet.Report(ctx, q)
	if err != nil {
		c.cfg.Log.Info().Str("endpoint", string(q.Endpoint)).Err(err).Msg("report_failed")
	}
	if r.Leaving {
		c.cfg.Log.Info().Str("endpoint", string(q.Endpoint)).Dur("stays", r.RemovedIn).Int("active", r.Active).Int("queued", r.Queued).Msg("endpoint_leaves")
	}
	c.post(func(now time.Time) {
		switch {
		case c.planner != planner:
		case err != nil:
			c.planner.QueryFailed(now, q.Endpoint)
		default:
			c.planner.Reported(now, q.Endpoint, r)
		}
	})
}
