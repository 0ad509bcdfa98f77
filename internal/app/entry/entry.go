package entry

import (
	"context"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"

	"github.com/cassiapass/cassiapass/internal/adapter/rpc"
	"github.com/cassiapass/cassiapass/internal/app/follow"
	"github.com/cassiapass/cassiapass/internal/core/ident"
	"github.com/cassiapass/cassiapass/internal/core/limit"
	"github.com/cassiapass/cassiapass/internal/core/routing"
	"github.com/cassiapass/cassiapass/internal/core/view"
	"github.com/cassiapass/cassiapass/internal/wire"
)

// Config configures an Entry.
type Config struct {
	Host     ident.HostID
	Zone     ident.Zone
	Group    ident.Group
	Control  []string
	Security rpc.Security
	Log      zerolog.Logger

	MaxBody      int64         // bytes of a request body
	MaxRequests  int           // requests in progress; more are refused as not run
	MaxDuration  time.Duration // longest duration of one request
	Window       int           // bytes of an answer buffered for a slow caller
	WriteTimeout time.Duration // a caller that reads nothing for this long is disconnected
	RetryShare   float64       // retries allowed per request
	RetryBurst   float64
	RateBurst    time.Duration // a customer may use at once what its rate allows in this time
	Unsafe       Unsafe        // never set outside tests
	Incarnation  ident.Incarnation
}

// Unsafe names a safeguard that tests turn off to show that the checks detect
// its absence.
type Unsafe string

// The safeguards that tests can turn off.
const (
	UnsafeNone  Unsafe = ""
	UnsafeClaim Unsafe = "no-claim"      // idempotency keys are not claimed
	UnsafeRetry Unsafe = "retry-unknown" // a request that may have run is sent again
)

// DefaultConfig returns the bounds measured in docs/CAPACITY.md.
func DefaultConfig() Config {
	return Config{
		MaxBody: 8 << 20, MaxRequests: 4096, MaxDuration: 10 * time.Minute, Window: 64 << 10, WriteTimeout: 20 * time.Second,
		RetryShare: 0.2, RetryBurst: 20, RateBurst: 10 * time.Second,
	}
}

// Entry is one running entry.
type Entry struct {
	cfg         Config
	follower    *follow.Follower
	count       *rpc.ByteCounter
	met         *metrics
	pool        *pool
	waitlists   *waitlists
	recent      *recent
	suspects    *suspects
	stopReports context.CancelFunc
	idPrefix    string // of request ids; differs for each incarnation
	nextID      atomic.Uint64
	stopping    atomic.Bool
	abort       chan struct{} // closed when the time limit of Drain has passed, or by Close
	abortOnce   sync.Once

	mu           sync.Mutex
	table        *routing.Table
	budget       *limit.Budget
	rates        *limit.Rates
	incarnations map[ident.HostID]ident.Incarnation

	requests requestCounts
}

// requestCounts counts requests and checks that none is lost: every request that
// arrived has ended or is in progress.
type requestCounts struct {
	mu             sync.Mutex
	arrived, ended uint64
	active         uint64
}

func (a *requestCounts) begin(limit int) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.active >= uint64(limit) {
		return false
	}
	a.arrived++
	a.active++
	return true
}

func (a *requestCounts) end() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.ended++
	a.active--
	if a.arrived != a.ended+a.active {
		panic("invariant: entry: a request was lost between its arrival and its end")
	}
}

func (a *requestCounts) inProgress() int {
	a.mu.Lock()
	defer a.mu.Unlock()
	return int(a.active)
}

// New creates and starts an Entry.
func New(cfg Config) *Entry {
	if cfg.Incarnation == 0 {
		cfg.Incarnation = ident.Incarnation(time.Now().UnixNano())
	}
	e := &Entry{
		cfg: cfg, count: &rpc.ByteCounter{}, recent: newRecent(), suspects: newSuspects(), abort: make(chan struct{}),
		table:        routing.New(routing.DefaultConfig(cfg.Zone, rand.IntN)),
		budget:       limit.NewBudget(cfg.RetryShare, cfg.RetryBurst),
		rates:        limit.NewRates(cfg.RateBurst),
		incarnations: map[ident.HostID]ident.Incarnation{},
		idPrefix:     string(cfg.Host) + "-" + encodeIncarnation(cfg.Incarnation) + "-",
	}
	e.met = newMetrics(e)
	e.pool = newPool(cfg.Security, e.count, e.onMessage)
	e.waitlists = newWaitlists(e)
	e.follower = follow.New(follow.Config{
		Process: wire.Process{Role: wire.RoleEntry, Host: cfg.Host, Incarnation: cfg.Incarnation},
		Group:   cfg.Group, Control: cfg.Control, Security: cfg.Security, Count: e.count, Log: cfg.Log,
		Changed: e.changed,
	})
	e.follower.Start()
	go e.waitlists.run()
	reportCtx, cancel := context.WithCancel(context.Background())
	e.stopReports = cancel
	go e.reportLoop(reportCtx)
	cfg.Log.Info().Uint64("incarnation", uint64(cfg.Incarnation)).Str("zone", string(cfg.Zone)).Msg("entry_started")
	return e
}

// changed is called after each change of the view. It resets the routing state
// of agents with a new incarnation, removes that of agents no longer listed, reports
// quarantined requests that were answered here, and wakes requests that wait for
// a replica.
func (e *Entry) changed() {
	e.mu.Lock()
	e.follower.Read(func(v *view.View) {
		for h, ep := range v.Endpoints() {
			if e.incarnations[h] != ep.Incarnation {
				e.incarnations[h] = ep.Incarnation
				e.table.Restarted(h)
			}
		}
		for h := range e.incarnations {
			if _, ok := v.Endpoint(h); !ok {
				delete(e.incarnations, h)
				e.table.Forget(h)
			}
		}
	})
	e.mu.Unlock()
	e.suspects.liftAnswered(time.Now(), e.registry())
	e.waitlists.wake()
}

// Ready reports whether requests should be sent to this entry.
func (e *Entry) Ready() bool { return !e.stopping.Load() && e.follower.Ready() }

// newRequestID returns an id that is unique across all entries and restarts.
func (e *Entry) newRequestID() ident.RequestID {
	return ident.RequestID(e.idPrefix + encodeNumber(e.nextID.Add(1)))
}

// Retire makes the entry not ready, so that the load balancer stops sending it
// requests.
func (e *Entry) Retire() { e.stopping.Store(true) }

// Drain waits until no request is in progress. When ctx ends first, it ends the
// remaining requests, each with an outcome.
func (e *Entry) Drain(ctx context.Context) {
	t := time.NewTicker(drainInterval)
	defer t.Stop()
	for e.requests.inProgress() > 0 {
		select {
		case <-t.C:
		case <-ctx.Done():
			e.abortOnce.Do(func() { close(e.abort) })
			ctx = context.Background()
		}
	}
}

const drainInterval = 20 * time.Millisecond

// Close stops the entry and aborts requests in progress; call Drain first.
func (e *Entry) Close() {
	e.stopping.Store(true)
	e.abortOnce.Do(func() { close(e.abort) })
	e.waitlists.stop()
	e.stopReports()
	e.follower.Stop()
	e.pool.close()
	e.cfg.Log.Info().Msg("entry_stopped")
}
