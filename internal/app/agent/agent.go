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
	tickEvery     = 50 * time.Millisecond
	registerRetry = 300 * time.Millisecond
	cachedEvery   = 10 * time.Second // how often the engine is asked for its cached checkpoints
	commitTimeout = 3 * time.Second
)

// Config is what an agent is made from.
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

	Engine       port.Engine // nil beside a plain service
	Plain        port.Backend
	Serves       string // name of the plain service
	Memory       int64
	Slots        int
	MaxQueue     int
	HonoursFence bool
	LongestOrder time.Duration
	Window       int           // bytes of an answer held until the entry confirms them
	EngineSilent time.Duration // a stream without a byte for this long is taken for cut
	OrphanAfter  time.Duration // a run whose entry is gone is cancelled after this
	KeepEnded    time.Duration // an ended answer is kept for a resume this long
	Incarnation  ident.Incarnation
	// Unsafe turns one safeguard off; tests use it to show that the checks
	// notice. Never set outside tests.
	Unsafe Unsafe
}

// Unsafe names a safeguard that is turned off.
type Unsafe string

// The safeguards that tests can turn off.
const (
	UnsafeNone      Unsafe = ""
	UnsafeRestarted Unsafe = "forget-restarts" // an attempt sent to an earlier process is run
	UnsafeNotRun    Unsafe = "claim-not-run"   // a run in progress that is cancelled is reported as not run
)

// DefaultConfig returns the bounds measured in docs/CAPACITY.md.
func DefaultConfig() Config {
	return Config{
		Slots: 16, MaxQueue: 256, LongestOrder: 2 * time.Minute, Window: 64 << 10,
		EngineSilent: 10 * time.Second, OrphanAfter: 10 * time.Second, KeepEnded: 30 * time.Second,
	}
}

// Agent is one running agent.
type Agent struct {
	cfg      Config
	backend  port.Backend
	follower *follow.Follower
	srv      *rpc.Server
	count    *rpc.Counter
	met      *metrics
	ctx      context.Context
	cancel   context.CancelFunc
	wg       sync.WaitGroup

	mu     sync.Mutex
	ledger *ledger.Ledger
	queue  *admission.Queue
	runs   map[ident.Attempt]*run
	barred map[ident.Attempt]time.Time
	// backendEnds counts the ends of the engine or service that were noticed here.
	backendEnds int
	decided     map[ident.Index]bool // replicas known from control
	registered  bool
	listed      bool // the registration was seen in the view
	leaving     bool
	used        map[ident.Index]time.Time
	cached      map[ident.Target]placement.Source
	toReport    placement.Report // what the next beat tells beside the load
	cachedAt    time.Time
	events      []ledger.Event // to be committed, in order; at most two per replica decided
	newEvent    chan struct{}
}

// New starts an agent.
func New(cfg Config) (*Agent, error) {
	if cfg.Incarnation == 0 {
		cfg.Incarnation = ident.Incarnation(time.Now().UnixNano())
	}
	ctx, cancel := context.WithCancel(context.Background())
	a := &Agent{
		cfg: cfg, backend: cfg.Plain, count: &rpc.Counter{}, ctx: ctx, cancel: cancel,
		ledger:   ledger.New(ledger.Config{Memory: cfg.Memory, HonoursFence: cfg.HonoursFence, LongestOrder: cfg.LongestOrder, AskEvery: time.Second}, time.Now()),
		queue:    admission.New(admission.Config{Slots: cfg.Slots, MaxQueue: cfg.MaxQueue, Expected: time.Second}),
		runs:     map[ident.Attempt]*run{},
		barred:   map[ident.Attempt]time.Time{},
		decided:  map[ident.Index]bool{},
		used:     map[ident.Index]time.Time{},
		cached:   map[ident.Target]placement.Source{},
		newEvent: make(chan struct{}, 1),
	}
	if cfg.Engine != nil {
		a.backend = cfg.Engine
	}
	a.toReport.Full = true
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
	a.goDo(a.register)
	a.goDo(a.tickLoop)
	a.goDo(a.tellLoop)
	cfg.Log.Info().Str("address", a.Addr()).Uint64("incarnation", uint64(cfg.Incarnation)).Str("zone", string(cfg.Zone)).Msg("agent_started")
	return a, nil
}

func (a *Agent) goDo(f func()) {
	a.wg.Add(1)
	go func() {
		defer a.wg.Done()
		f()
	}()
}

// Addr returns the address under which entries reach this agent.
func (a *Agent) Addr() string {
	if a.cfg.Advertise != "" {
		return a.cfg.Advertise
	}
	return a.srv.Addr()
}

// ListenAddr returns the address that this agent is bound to.
func (a *Agent) ListenAddr() string { return a.srv.Addr() }

func (a *Agent) authFailed(remote string, err error) {
	a.cfg.Log.Warn().Str("remote", remote).Err(err).Msg("connection_refused")
}

// endpoint describes this endpoint for its registration.
func (a *Agent) endpoint(leaving bool) state.Endpoint {
	return state.Endpoint{
		Host: a.cfg.Host, Incarnation: a.cfg.Incarnation, Addr: a.Addr(), Zone: a.cfg.Zone, Place: a.cfg.Place,
		Memory: a.cfg.Memory, Slots: a.cfg.Slots, Serves: a.cfg.Serves, Up: true, Leaving: leaving,
	}
}

// register has this incarnation committed. The index of the registration is the
// fencing floor: every order of an earlier process carries a lower number.
func (a *Agent) register() {
	cmd := state.Command{By: string(a.cfg.Host), Endpoint: &state.EndpointSet{Endpoint: a.endpoint(false), Reason: "process started"}}
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
		a.pause(registerRetry)
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

// setFloor gives the engine the fencing floor; only then may orders leave.
func (a *Agent) setFloor(floor ident.Index) {
	for a.cfg.Engine != nil && a.ctx.Err() == nil {
		ctx, cancel := context.WithTimeout(a.ctx, commitTimeout)
		err := a.cfg.Engine.SetFloor(ctx, floor)
		cancel()
		if err == nil {
			break
		}
		a.cfg.Log.Warn().Err(err).Msg("engine_floor_failed")
		a.pause(registerRetry)
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	a.ledger.Registered(floor)
	a.ledger.FloorSet(time.Now())
	a.registered = true
}

// changed takes decisions about this endpoint over into the ledger.
func (a *Agent) changed() {
	now := time.Now()
	a.mu.Lock()
	defer a.mu.Unlock()
	a.follower.Read(func(v *view.View) {
		for id, r := range v.Replicas() {
			if r.Host != a.cfg.Host {
				continue
			}
			a.decided[id] = true
			a.ledger.Decide(now, ledger.Grant{ID: id, Target: r.Target, Bytes: r.Bytes, Drain: r.Phase == state.Draining, Ready: r.Phase == state.Ready})
		}
		for id := range a.decided {
			if _, ok := v.Replicas()[id]; !ok {
				delete(a.decided, id)
				delete(a.used, id)
				a.ledger.Forget(now, id)
			}
		}
		_, known := v.Endpoint(a.cfg.Host)
		a.noticeForgotten(known)
	})
}

// noticeForgotten registers again when control has forgotten this endpoint,
// which happens when it was cut off for long and the platform's list lacked it.
// Without this the endpoint would serve nothing until its process is restarted.
func (a *Agent) noticeForgotten(known bool) {
	if known {
		a.listed = true
		return
	}
	if !a.listed || !a.registered || a.leaving {
		return
	}
	a.listed, a.registered = false, false
	a.cfg.Log.Warn().Msg("forgotten")
	a.goDo(a.register)
}

// tickLoop carries out what time brings.
func (a *Agent) tickLoop() {
	t := time.NewTicker(tickEvery)
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
		a.post(a.ledger.Withdraw(now))
	}
	askCached := a.cfg.Engine != nil && now.Sub(a.cachedAt) > cachedEvery
	if askCached {
		a.cachedAt = now
		a.ledger.Suspect()
	}
	a.mu.Unlock()
	for _, o := range orders {
		a.goDo(func() { a.carryOut(o) })
	}
	if askCached {
		a.goDo(a.learnCached)
	}
}

// dropDraining refuses requests that wait for a replica which is on its way
// out. They did not run and go elsewhere.
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

// post hands events to the goroutine that tells control.
func (a *Agent) post(events []ledger.Event) {
	if len(events) == 0 {
		return
	}
	a.events = append(a.events, events...)
	poke(a.newEvent)
}

// Load returns the load that is attached to answers.
func (a *Agent) load() routing.Load {
	return routing.Load{Running: a.queue.Running(), Waiting: a.queue.Waiting(), Slots: a.cfg.Slots, Leaving: a.leaving}
}

// report tells control of this endpoint with the next beat.
func (a *Agent) report() *placement.Report {
	a.mu.Lock()
	defer a.mu.Unlock()
	r := a.toReport
	r.Host, r.Incarnation = a.cfg.Host, a.cfg.Incarnation
	a.toReport = placement.Report{}
	for id, at := range a.used {
		running, waiting := a.queue.OfReplica(id)
		if running+waiting > 0 {
			at = time.Now()
		}
		r.Replicas = append(r.Replicas, placement.ReplicaLoad{ID: id, Running: running, Waiting: waiting, LastUsed: at})
		if running+waiting == 0 {
			delete(a.used, id) // told once; nothing changes until the next use
		}
	}
	if len(r.Replicas) == 0 && len(r.Cached) == 0 && len(r.Loaded) == 0 && !r.Full {
		return nil
	}
	return &r
}

// reported keeps what did not arrive for the next beat.
func (a *Agent) reported(r *placement.Report, ok bool) {
	if ok {
		return
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	a.toReport.Full = true
	a.toReport.Loaded = append(r.Loaded, a.toReport.Loaded...)
	a.toReport.Cached = nil
	for t, s := range a.cached {
		a.toReport.Cached = append(a.toReport.Cached, placement.CachedAt{Target: t, Source: s})
	}
	for _, l := range r.Replicas {
		if _, newer := a.used[l.ID]; !newer && a.decided[l.ID] {
			a.used[l.ID] = l.LastUsed
		}
	}
}

// Stop is a graceful shutdown: the endpoint takes no new work, work in progress
// ends, at most until limit has passed.
func (a *Agent) Stop(limit time.Duration) {
	a.mu.Lock()
	a.leaving = true
	a.mu.Unlock()
	a.cfg.Log.Info().Msg("leaving")
	cmd := state.Command{By: string(a.cfg.Host), Endpoint: &state.EndpointSet{Endpoint: a.endpoint(true), Reason: "process is stopping"}}
	if _, err := a.commit(cmd); err != nil {
		a.cfg.Log.Warn().Err(err).Msg("leaving_not_announced")
	}
	deadline := time.Now().Add(limit)
	for time.Now().Before(deadline) && a.busy() > 0 {
		a.pause(tickEvery)
	}
	if n := a.busy(); n > 0 {
		a.cfg.Log.Warn().Int("runs", n).Msg("stopped_with_runs")
	}
	a.Kill()
}

// busy counts the runs that have not ended or whose end the entry does not hold.
func (a *Agent) busy() int {
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

// Kill stops at once, as a crash would.
func (a *Agent) Kill() {
	a.cancel()
	a.srv.Close()
	a.follower.Stop()
	a.wakeAll()
	a.wg.Wait()
	a.cfg.Log.Info().Msg("agent_stopped")
}
