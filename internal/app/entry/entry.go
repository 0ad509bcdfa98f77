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

// Config is what an entry is made from.
type Config struct {
	Host     ident.HostID
	Zone     ident.Zone
	Group    ident.Group
	Control  []string
	Security rpc.Security
	Log      zerolog.Logger

	MaxBody     int64         // bytes of a request body
	MaxRequests int           // requests in progress; more are refused as not run
	MaxDuration time.Duration // longest time that one request may take
	Window      int           // bytes of an answer that wait for a slow caller
	WriteWait   time.Duration // a caller that takes no byte for this long is cut off
	RetryShare  float64       // retries allowed per request
	RetryBurst  float64
	RateBurst   time.Duration // sold rate that may be used at once
	Unsafe      Unsafe        // never set outside tests
	Incarnation ident.Incarnation
}

// Unsafe names a safeguard that tests turn off to show that the checks notice.
type Unsafe string

// The safeguards that tests can turn off.
const (
	UnsafeNone  Unsafe = ""
	UnsafeClaim Unsafe = "no-claim"      // idempotency keys are not claimed
	UnsafeRetry Unsafe = "retry-unknown" // a request in doubt is sent again
)

// DefaultConfig returns the bounds measured in docs/CAPACITY.md.
func DefaultConfig() Config {
	return Config{
		MaxBody: 8 << 20, MaxRequests: 4096, MaxDuration: 10 * time.Minute, Window: 64 << 10, WriteWait: 20 * time.Second,
		RetryShare: 0.2, RetryBurst: 20, RateBurst: 10 * time.Second,
	}
}

// Entry is one running entry.
type Entry struct {
	cfg      Config
	follower *follow.Follower
	count    *rpc.Counter
	met      *metrics
	pool     *pool
	rooms    *rooms
	recent   *recent
	seen     *seen
	stopSeen context.CancelFunc
	prefix   string // of request ids, new at each start
	nextID   atomic.Uint64
	stopping atomic.Bool
	cut      chan struct{} // closed when a planned stop's time limit has passed
	cutOnce  sync.Once

	mu     sync.Mutex
	table  *routing.Table
	budget *limit.Budget
	rates  *limit.Rates
	known  map[ident.HostID]ident.Incarnation

	accounts accounts
}

// accounts checks that no request is lost: every one that came in has ended or
// is in progress.
type accounts struct {
	mu       sync.Mutex
	in, out  uint64
	progress uint64
}

func (a *accounts) begin(limit int) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.progress >= uint64(limit) {
		return false
	}
	a.in++
	a.progress++
	return true
}

func (a *accounts) end() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.out++
	a.progress--
	if a.in != a.out+a.progress {
		panic("invariant: entry: a request was lost between its arrival and its end")
	}
}

func (a *accounts) inProgress() int {
	a.mu.Lock()
	defer a.mu.Unlock()
	return int(a.progress)
}

// New starts an entry.
func New(cfg Config) *Entry {
	if cfg.Incarnation == 0 {
		cfg.Incarnation = ident.Incarnation(time.Now().UnixNano())
	}
	e := &Entry{
		cfg: cfg, count: &rpc.Counter{}, recent: newRecent(), seen: newSeen(), cut: make(chan struct{}),
		table:  routing.New(routing.DefaultConfig(cfg.Zone, rand.IntN)),
		budget: limit.NewBudget(cfg.RetryShare, cfg.RetryBurst),
		rates:  limit.NewRates(cfg.RateBurst),
		known:  map[ident.HostID]ident.Incarnation{},
		prefix: string(cfg.Host) + "-" + encodeIncarnation(cfg.Incarnation) + "-",
	}
	e.met = newMetrics(e)
	e.pool = newPool(cfg.Security, e.count, e.onPart)
	e.rooms = newRooms(e)
	e.follower = follow.New(follow.Config{
		Process: wire.Process{Role: wire.RoleEntry, Host: cfg.Host, Incarnation: cfg.Incarnation},
		Group:   cfg.Group, Control: cfg.Control, Security: cfg.Security, Count: e.count, Log: cfg.Log,
		Changed: e.changed,
	})
	e.follower.Start()
	go e.rooms.run()
	ctx, cancel := context.WithCancel(context.Background())
	e.stopSeen = cancel
	go e.noteSeen(ctx)
	cfg.Log.Info().Uint64("incarnation", uint64(cfg.Incarnation)).Str("zone", string(cfg.Zone)).Msg("entry_started")
	return e
}

// changed wakes what waits for a replica and forgets what was known of agents
// that were replaced.
func (e *Entry) changed() {
	e.mu.Lock()
	e.follower.Read(func(v *view.View) {
		for h, ep := range v.Endpoints() {
			if e.known[h] != ep.Incarnation {
				e.known[h] = ep.Incarnation
				e.table.Renewed(h)
			}
		}
		for h := range e.known {
			if _, ok := v.Endpoint(h); !ok {
				delete(e.known, h)
				e.table.Forget(h)
			}
		}
	})
	e.mu.Unlock()
	e.seen.object(time.Now(), e.registry())
	e.rooms.wake()
}

// Ready reports whether requests should be sent here.
func (e *Entry) Ready() bool { return !e.stopping.Load() && e.follower.Ready() }

// newRequestID returns an id that is unique over all entries and restarts.
func (e *Entry) newRequestID() ident.RequestID {
	return ident.RequestID(e.prefix + encodeNumber(e.nextID.Add(1)))
}

// Retire makes the entry not ready, so that the balancer sends nothing more.
func (e *Entry) Retire() { e.stopping.Store(true) }

// Drain waits until no request is in progress, at most until ctx ends; then it
// ends the rest with a typed outcome.
func (e *Entry) Drain(ctx context.Context) {
	t := time.NewTicker(drainPoll)
	defer t.Stop()
	for e.accounts.inProgress() > 0 {
		select {
		case <-t.C:
		case <-ctx.Done():
			e.cutOnce.Do(func() { close(e.cut) })
			ctx = context.Background()
		}
	}
}

const drainPoll = 20 * time.Millisecond

// Close stops the entry. Requests in progress are cut; Drain comes first.
func (e *Entry) Close() {
	e.stopping.Store(true)
	e.cutOnce.Do(func() { close(e.cut) })
	e.rooms.stop()
	e.stopSeen()
	e.follower.Stop()
	e.pool.close()
	e.cfg.Log.Info().Msg("entry_stopped")
}
