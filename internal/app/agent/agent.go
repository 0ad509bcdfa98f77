package agent

import (
	"context"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"github.com/cassiapass/cassiapass/internal/adapter/rpc"
	"github.com/cassiapass/cassiapass/internal/app/follow"
	"github.com/cassiapass/cassiapass/internal/core/admission"
	"github.com/cassiapass/cassiapass/internal/core/ident"
	"github.com/cassiapass/cassiapass/internal/core/ledger"
	"github.com/cassiapass/cassiapass/internal/core/placement"
	"github.com/cassiapass/cassiapass/internal/core/routing"
	"github.com/cassiapass/cassiapass/internal/core/state"
	"github.com/cassiapass/cassiapass/internal/core/view"
	"github.com/cassiapass/cassiapass/internal/port"
	"github.com/cassiapass/cassiapass/internal/wire"
)

const (
	tickInterval   = 50 * time.Millisecond
	retryInterval  = 300 * time.Millisecond
	cachedInterval = 10 * time.Second // interval of listing the engine's cached checkpoints
	commitTimeout  = 3 * time.Second
)

// Config configures an Agent.
type Config struct {
	Host      ident.HostID
	Zone      ident.Zone
	Place     string
	Group     ident.Group
	Listen    string
	Advertise string
	Control   []string
	Security  rpc.Security
	Log       zerolog.Logger

	Engine             port.Engine // nil for a plain service
	Plain              port.Backend
	Serves             string // name of the plain service
	Memory             int64
	Slots              int
	MaxQueue           int
	HonoursFence       bool
	LongestOrder       time.Duration
	Window             int           // bytes of an answer buffered until the entry acknowledges them
	EngineSilenceLimit time.Duration // a stream without a byte for this long counts as broken
	OrphanAfter        time.Duration // a run without a connection to its entry is cancelled after this
	EndedRetention     time.Duration // an ended run is kept this long, so that its answer can be resumed
	Incarnation        ident.Incarnation
	// Unsafe turns one safeguard off; tests use it to show that the checks
	// detect its absence. Never set outside tests.
	Unsafe Unsafe
}

// Unsafe names a safeguard that is turned off.
type Unsafe string

// The safeguards that tests can turn off.
const (
	UnsafeNone      Unsafe = ""
	UnsafeRestarted Unsafe = "forget-restarts" // an attempt sent to an earlier incarnation is run
	UnsafeNotRun    Unsafe = "claim-not-run"   // a run in progress that is cancelled is reported as not run
)

// DefaultConfig returns the bounds measured in docs/CAPACITY.md.
func DefaultConfig() Config {
	return Config{
		Slots: 16, MaxQueue: 256, LongestOrder: 2 * time.Minute, Window: 64 << 10,
		EngineSilenceLimit: 10 * time.Second, OrphanAfter: 10 * time.Second, EndedRetention: 30 * time.Second,
	}
}

// Agent is one running agent.
type Agent struct {
	cfg      Config
	backend  port.Backend
	follower *follow.Follower
	srv      *rpc.Server
	count    *rpc.ByteCounter
	met      *metrics
	ctx      context.Context
	cancel   context.CancelFunc
	tasks    tasks

	mu      sync.Mutex
	ledger  *ledger.Ledger
	queue   *admission.Queue
	runs    map[ident.Attempt]*run
	blocked map[ident.Attempt]time.Time
	// backendEnds counts the detected ends of the engine or service.
	backendEnds    int
	knownReplicas  map[ident.Index]bool // replicas of this endpoint in the view
	registered     bool
	inView         bool // the view has contained this endpoint since its registration
	leaving        bool
	lastUsed       map[ident.Index]time.Time
	cached         map[ident.Target]placement.Source
	pendingReport  placement.Report // sent with the next heartbeat, in addition to the load
	cachedListedAt time.Time
	events         []ledger.Event // to be committed, in order; at most two per replica
	newEvent       chan struct{}
}

// New creates and starts an Agent.
func New(cfg Config) (*Agent, error) {
	if cfg.Incarnation == 0 {
		cfg.Incarnation = ident.Incarnation(time.Now().UnixNano())
	}
	ctx, cancel := context.WithCancel(context.Background())
	a := &Agent{
		cfg: cfg, backend: cfg.Plain, count: &rpc.ByteCounter{}, ctx: ctx, cancel: cancel,
		ledger:        ledger.New(ledger.Config{Memory: cfg.Memory, HonoursFence: cfg.HonoursFence, LongestOrder: cfg.LongestOrder, ListInterval: time.Second}, time.Now()),
		queue:         admission.New(admission.Config{Slots: cfg.Slots, MaxQueue: cfg.MaxQueue, ServiceTime: time.Second}),
		runs:          map[ident.Attempt]*run{},
		blocked:       map[ident.Attempt]time.Time{},
		knownReplicas: map[ident.Index]bool{},
		lastUsed:      map[ident.Index]time.Time{},
		cached:        map[ident.Target]placement.Source{},
		newEvent:      make(chan struct{}, 1),
	}
	if cfg.Engine != nil {
		a.backend = cfg.Engine
	}
	a.pendingReport.Full = true
	a.met = newMetrics(a)
	a.follower = follow.New(follow.Config{
		Process: wire.Process{Role: wire.RoleAgent, Host: cfg.Host, Incarnation: cfg.Incarnation},
		Group:   cfg.Group, Control: cfg.Control, Security: cfg.Security, Count: a.count, Log: cfg.Log,
		Report: a.report, Reported: a.reported, Changed: a.changed,
	})
	srv, err := rpc.Listen(cfg.Listen, cfg.Security, a.count, a.handle, a.detach, a.authFailed)
	if err != nil {
		cancel()
		return nil, err
	}
	a.srv = srv
	a.follower.Start()
	a.spawn(a.register)
	a.spawn(a.tickLoop)
	a.spawn(a.commitLoop)
	cfg.Log.Info().Str("address", a.Addr()).Uint64("incarnation", uint64(cfg.Incarnation)).Str("zone", string(cfg.Zone)).Msg("agent_started")
	return a, nil
}

func (a *Agent) spawn(f func()) { a.tasks.start(f) }

// Addr returns the address at which entries reach this agent.
func (a *Agent) Addr() string {
	if a.cfg.Advertise != "" {
		return a.cfg.Advertise
	}
	return a.srv.Addr()
}

// ListenAddr returns the address that this agent listens on.
func (a *Agent) ListenAddr() string { return a.srv.Addr() }

func (a *Agent) authFailed(remote string, err error) {
	a.cfg.Log.Warn().Str("remote", remote).Err(err).Msg("connection_refused")
}

// endpoint returns the description of this endpoint for its registration.
func (a *Agent) endpoint(leaving bool) state.Endpoint {
	return state.Endpoint{
		Host: a.cfg.Host, Incarnation: a.cfg.Incarnation, Addr: a.Addr(), Zone: a.cfg.Zone, Place: a.cfg.Place,
		Memory: a.cfg.Memory, Slots: a.cfg.Slots, Serves: a.cfg.Serves, Up: true, Leaving: leaving,
	}
}

// register commits the registration of this incarnation, retrying until it
// succeeds. The log index of the registration is the fencing floor: every order of
// an earlier incarnation carries a lower number.
func (a *Agent) register() {
	cmd := state.Command{By: string(a.cfg.Host), Endpoint: &state.EndpointUpdate{Endpoint: a.endpoint(false), Reason: "process started"}}
	for a.ctx.Err() == nil {
		res, err := a.commit(cmd)
		switch {
		case err == nil && res.Code == state.OK:
			a.cfg.Log.Info().Uint64("floor", uint64(res.Revision)).Msg("registered")
			a.setFloor(res.Revision)
			return
		case err == nil:
			a.cfg.Log.Error().Str("code", string(res.Code)).Str("message", res.Message).Msg("registration_refused")
		}
		a.pause(retryInterval)
	}
}

func (a *Agent) pause(d time.Duration) {
	select {
	case <-a.ctx.Done():
	case <-time.After(d):
	}
}

func (a *Agent) commit(cmd state.Command) (state.Result, error) {
	ctx, cancel := context.WithTimeout(a.ctx, commitTimeout)
	defer cancel()
	var res state.Result
	err := a.follower.Call(ctx, wire.MethodCommit, wire.ProposeParams{Command: cmd}, &res)
	return res, err
}

// setFloor sets the fencing floor at the engine. No orders are sent before the
// engine has it.
func (a *Agent) setFloor(floor ident.Index) {
	for a.cfg.Engine != nil && a.ctx.Err() == nil {
		ctx, cancel := context.WithTimeout(a.ctx, commitTimeout)
		err := a.cfg.Engine.SetFloor(ctx, floor)
		cancel()
		if err == nil {
			break
		}
		a.cfg.Log.Warn().Err(err).Msg("engine_floor_failed")
		a.pause(retryInterval)
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	a.ledger.Registered(floor)
	a.ledger.FloorConfirmed(time.Now())
	a.registered = true
}

// changed is called after each change of the view. It applies the decisions about
// this endpoint to the ledger.
func (a *Agent) changed() {
	now := time.Now()
	a.mu.Lock()
	defer a.mu.Unlock()
	a.follower.Read(func(v *view.View) {
		for id, r := range v.Replicas() {
			if r.Host != a.cfg.Host {
				continue
			}
			a.knownReplicas[id] = true
			a.ledger.ApplyGrant(now, ledger.Grant{ID: id, Target: r.Target, Bytes: r.Bytes, Drain: r.Phase == state.Draining, Ready: r.Phase == state.Ready})
		}
		for id := range a.knownReplicas {
			if _, ok := v.Replicas()[id]; !ok {
				delete(a.knownReplicas, id)
				delete(a.lastUsed, id)
				a.ledger.Forget(now, id)
			}
		}
		_, known := v.Endpoint(a.cfg.Host)
		a.checkRegistration(known)
	})
}

// checkRegistration registers again when control has removed this endpoint, which
// happens when the agent was cut off for long and the platform's list did not
// contain the host. Without this, the endpoint would serve nothing until its
// process is restarted.
func (a *Agent) checkRegistration(known bool) {
	if known {
		a.inView = true
		return
	}
	if !a.inView || !a.registered || a.leaving {
		return
	}
	a.inView, a.registered = false, false
	a.cfg.Log.Warn().Msg("forgotten")
	a.spawn(a.register)
}

// tickLoop calls tick at every interval.
func (a *Agent) tickLoop() {
	t := time.NewTicker(tickInterval)
	defer t.Stop()
	for {
		select {
		case <-a.ctx.Done():
			return
		case now := <-t.C:
			a.tick(now)
		}
	}
}

// tick ends waiting requests whose deadline has passed, removes or cancels runs (see
// reap), and starts the engine orders and the listing of cached checkpoints that are
// due.
func (a *Agent) tick(now time.Time) {
	a.mu.Lock()
	expired := a.queue.Expire(now)
	for _, r := range expired {
		a.endQueued(r.Attempt, "deadline_past")
	}
	a.dropDraining()
	a.reap(now)
	var orders []ledger.Order
	if a.registered && a.cfg.Engine != nil {
		orders = a.ledger.Orders(now, func(id ident.Index) int { r, w := a.queue.OfReplica(id); return r + w })
		a.queueEvents(a.ledger.RemoveWaiting(now))
	}
	cacheDue := a.cfg.Engine != nil && now.Sub(a.cachedListedAt) > cachedInterval
	if cacheDue {
		a.cachedListedAt = now
		a.ledger.RequestList()
	}
	a.mu.Unlock()
	for _, o := range orders {
		a.spawn(func() { a.executeOrder(o) })
	}
	if cacheDue {
		a.spawn(a.refreshCached)
	}
}

// dropDraining refuses requests that wait for a replica that is being drained or
// unloaded. They did not run, so the entry can send them elsewhere.
func (a *Agent) dropDraining() {
	for _, line := range a.ledger.Lines() {
		if line.Phase != ledger.Draining && line.Phase != ledger.Unloading {
			continue
		}
		for _, r := range a.queue.DropReplica(line.ID) {
			a.endQueued(r.Attempt, "draining")
		}
	}
}

// queueEvents appends events for the goroutine that commits them.
func (a *Agent) queueEvents(events []ledger.Event) {
	if len(events) == 0 {
		return
	}
	a.events = append(a.events, events...)
	signal(a.newEvent)
}

// load returns the load that is attached to answers.
func (a *Agent) load() routing.Load {
	return routing.Load{Running: a.queue.Running(), Waiting: a.queue.Waiting(), Slots: a.cfg.Slots, Leaving: a.leaving}
}

// report returns the report for the next heartbeat, or nil if there is nothing to
// report.
func (a *Agent) report() *placement.Report {
	a.mu.Lock()
	defer a.mu.Unlock()
	r := a.pendingReport
	r.Host, r.Incarnation = a.cfg.Host, a.cfg.Incarnation
	a.pendingReport = placement.Report{}
	for id, at := range a.lastUsed {
		running, waiting := a.queue.OfReplica(id)
		if running+waiting > 0 {
			at = time.Now()
		}
		r.Replicas = append(r.Replicas, placement.ReplicaLoad{ID: id, Running: running, Waiting: waiting, LastUsed: at})
		if running+waiting == 0 {
			delete(a.lastUsed, id) // reported once; nothing changes until the next use
		}
	}
	if len(r.Replicas) == 0 && len(r.Cached) == 0 && len(r.Loaded) == 0 && !r.Full {
		return nil
	}
	return &r
}

// reported is called with the result of sending a report. If it was not delivered,
// its content is kept for the next heartbeat.
func (a *Agent) reported(r *placement.Report, ok bool) {
	if ok {
		return
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	a.pendingReport.Full = true
	a.pendingReport.Loaded = append(r.Loaded, a.pendingReport.Loaded...)
	a.pendingReport.Cached = nil
	for t, s := range a.cached {
		a.pendingReport.Cached = append(a.pendingReport.Cached, placement.CachedAt{Target: t, Source: s})
	}
	for _, l := range r.Replicas {
		if _, newer := a.lastUsed[l.ID]; !newer && a.knownReplicas[l.ID] {
			a.lastUsed[l.ID] = l.LastUsed
		}
	}
}

// Stop shuts the agent down gracefully: it accepts no new work and waits, at most
// for limit, for runs in progress to end.
func (a *Agent) Stop(limit time.Duration) {
	a.mu.Lock()
	a.leaving = true
	a.mu.Unlock()
	a.cfg.Log.Info().Msg("leaving")
	cmd := state.Command{By: string(a.cfg.Host), Endpoint: &state.EndpointUpdate{Endpoint: a.endpoint(true), Reason: "process is stopping"}}
	if _, err := a.commit(cmd); err != nil {
		a.cfg.Log.Warn().Err(err).Msg("leaving_not_announced")
	}
	deadline := time.Now().Add(limit)
	for time.Now().Before(deadline) && a.unsettledRuns() > 0 {
		a.pause(tickInterval)
	}
	if n := a.unsettledRuns(); n > 0 {
		a.cfg.Log.Warn().Int("runs", n).Msg("stopped_with_runs")
	}
	a.Kill()
}

// unsettledRuns counts the runs that have not ended or whose end the entry has not
// acknowledged.
func (a *Agent) unsettledRuns() int {
	a.mu.Lock()
	defer a.mu.Unlock()
	n := 0
	for _, r := range a.runs {
		if !r.settled() {
			n++
		}
	}
	return n
}

// Kill stops the agent at once, as a crash would.
func (a *Agent) Kill() {
	a.cancel()
	a.srv.Close()
	a.follower.Stop()
	a.wakeAll()
	a.tasks.end()
	a.cfg.Log.Info().Msg("agent_stopped")
}
