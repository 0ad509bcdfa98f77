package gateway

import (
	"context"
	"errors"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"
	"github.com/samber/oops"

	"github.com/cassiapass/cassiapass/internal/adapter/clients"
	"github.com/cassiapass/cassiapass/internal/adapter/http1"
	"github.com/cassiapass/cassiapass/internal/adapter/rpc"
	"github.com/cassiapass/cassiapass/internal/adapter/sockets"
	"github.com/cassiapass/cassiapass/internal/core/deploy"
	"github.com/cassiapass/cassiapass/internal/core/feature"
	"github.com/cassiapass/cassiapass/internal/core/fleet"
	"github.com/cassiapass/cassiapass/internal/core/ident"
	"github.com/cassiapass/cassiapass/internal/core/intake"
	"github.com/cassiapass/cassiapass/internal/core/limit"
	"github.com/cassiapass/cassiapass/internal/core/state"
)

// Config holds the settings and dependencies of a Gateway.
type Config struct {
	Host     ident.HostID
	Zone     ident.Zone
	Listen   string   // address for callers, IP number and port
	Control  []string // addresses of control hosts, for the system's own processes
	Security rpc.Security
	Dialect  Dialect
	Decode   func(text string) (*deploy.Config, error)
	// List reads the platform's list of endpoints when the leader is silent.
	List func(ctx context.Context) (fleet.Listing, error)
	// ListRate is how many calls a second all processes together may make for the
	// list; 0 if unlimited. One call returns ListPage endpoints; 0 for all of them.
	ListRate float64
	ListPage int
	// RetryShare and RetrySlack define the deployment's retry budget.
	RetryShare float64
	RetrySlack float64
	// AbortRevoked aborts running requests whose key is revoked; otherwise they continue,
	// and only requests that were not sent yet are refused.
	AbortRevoked bool
	// Features are the operator's settings for optional parts, and Pressure tells whether the platform
	// asks for an order of urgency under overload.
	Features feature.Settings
	Pressure bool
	// Clients bounds what all callers together may make the entry hold; the zero value means the limits of
	// a process whose memory is not known.
	Clients intake.Limits
	// Runs moves runs between endpoints; nil if they cannot be moved.
	Runs RunMover
	Log  zerolog.Logger
}

// Gateway is a running entry.
type Gateway struct {
	cfg      Config
	listener net.Listener
	clients  *clients.Registry
	refusing chan struct{} // connections that are being refused
	pool     *http1.Pool
	dir      *directory
	demands  *demands
	liveness *livenessChecker
	suspects *suspects
	sync     *syncer
	// revocations aborts running requests whose key is revoked.
	revocations      *revocations
	allowances       *allowances
	endpointLimits   *endpointLimits
	unknown          unknownFields
	streams          *streams
	standbys         standbys
	metrics          *metrics
	table            atomic.Pointer[deploy.Table]
	startedAt        time.Time
	firstDeployment  chan struct{} // closed when the first deployment is in force
	entries          atomic.Int64  // entries that share the retry budget; 0 if not known
	draining         atomic.Bool
	stopping         atomic.Pointer[stopWindow]
	pace             tokenPace
	closedToRequests atomic.Bool // no request is accepted any more
	inflight         atomic.Int64
	ctx              context.Context
	cancel           context.CancelFunc

	mu      sync.Mutex
	conns   map[*http1.Conn]bool // to whether a request is in progress on it
	budgets map[string]*limit.Shared
}

const (
	// dialTimeout bounds a dial to an endpoint. A connection within a region
	// takes about 3 ms; one whose first packet is lost takes a second more.
	dialTimeout   = 400 * time.Millisecond
	sweepInterval = time.Second
	// maxRefusing bounds the connections that are refused at the same time; others are closed unread.
	maxRefusing = 16
)

// New opens the listener and starts the entry.
func New(cfg Config) (*Gateway, error) {
	if cfg.Clients == (intake.Limits{}) {
		cfg.Clients = intake.LimitsOf(0, 0)
	}
	lc := sockets.BoundedListenConfig()
	l, err := lc.Listen(context.Background(), "tcp", cfg.Listen)
	if err != nil {
		return nil, oops.With("addr", cfg.Listen).Wrapf(err, "listen for callers")
	}
	ctx, cancel := context.WithCancel(context.Background())
	g := &Gateway{
		cfg: cfg, listener: l, clients: clients.New(cfg.Clients), refusing: make(chan struct{}, maxRefusing), pool: http1.NewPool(dialTimeout), dir: newDirectory(cfg.Zone, cfg.Log), demands: newDemands(), liveness: newLivenessChecker(), suspects: newSuspects(),
		revocations: newRevocations(cfg.AbortRevoked), startedAt: time.Now(), firstDeployment: make(chan struct{}), ctx: ctx, cancel: cancel, conns: map[*http1.Conn]bool{}, budgets: map[string]*limit.Shared{},
	}
	g.pace.perToken = initialPace
	g.dir.onRemoved = func(e fleet.EndpointID, planned bool) { g.suspects.endpointRemoved(time.Now(), e, planned) }
	g.metrics = newMetrics(g)
	g.endpointLimits = newEndpointLimits(g)
	g.dir.metrics, g.dir.onPermitsPending = g.metrics, g.endpointLimits.signalReport
	g.sync = newSyncer(g)
	g.allowances = newAllowances(g)
	g.streams = newStreams(g)
	g.dir.onListed, g.dir.onRemoval = g.streams.listed, g.moveRunsFrom
	go g.accept()
	go g.sync.pull(ctx)
	go g.sync.report(ctx)
	go g.sync.watchList(ctx)
	go g.allowances.run(ctx)
	go g.endpointLimits.run(ctx)
	go g.streams.run(ctx)
	go g.sweep()
	return g, nil
}

// Addr returns the address for callers.
func (g *Gateway) Addr() string { return g.listener.Addr().String() }

// Ready returns an error that says why this entry should receive no callers, or nil.
func (g *Gateway) Ready(context.Context) error {
	switch {
	case g.draining.Load():
		return errors.New("stopping")
	case g.table.Load() == nil:
		return errors.New("no deployment is known yet")
	case !g.dir.known():
		return errors.New("no endpoint is known yet")
	}
	return nil
}

// applyDeployment puts a deployment in force. One that is not newer than the
// present one is ignored: a process never reverts to an older deployment.
func (g *Gateway) applyDeployment(d state.Deployment) {
	before := g.table.Load()
	if before != nil && before.Config().Version >= d.Version {
		return
	}
	cfg, err := g.cfg.Decode(d.Text)
	if err != nil {
		g.cfg.Log.Error().Uint64("version", d.Version).Err(err).Msg("deployment_not_readable")
		return
	}
	g.table.Store(deploy.NewTable(cfg))
	if before == nil {
		close(g.firstDeployment)
	}
	g.revocations.cancelRevoked(cfg.Customers)
	g.dir.wake() // the key of a waiting request may have been revoked
	g.cfg.Log.Info().Uint64("version", d.Version).Int("routes", len(cfg.Routes)).Msg("deployment_in_force")
	g.logUnusualPriorities(cfg)
}

// limits returns the limits for callers' requests and connections.
func (g *Gateway) limits() http1.Limits {
	l := http1.Limits{HeaderBytes: 16 << 10, BodyBytes: 4 << 20, HeaderTimeout: 3 * time.Second, IdleTimeout: 15 * time.Second}
	t := g.table.Load()
	if t == nil {
		return l
	}
	d := t.Config().Limits
	if d.HeaderBytes > 0 {
		l.HeaderBytes = d.HeaderBytes
	}
	if d.BodyBytes > 0 {
		l.BodyBytes = d.BodyBytes
	}
	if d.HeaderTimeout > 0 {
		l.HeaderTimeout = d.HeaderTimeout
	}
	if d.IdleTimeout > 0 {
		l.IdleTimeout = d.IdleTimeout
	}
	return l
}

// budget calls f with the retry budget of a service, under the lock.
func (g *Gateway) budget(service string, f func(*limit.Shared) bool) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	b, ok := g.budgets[service]
	if !ok {
		b = limit.NewShared(g.cfg.RetryShare, g.cfg.RetrySlack)
		g.budgets[service] = b
	}
	if n := int(g.entries.Load()); n > 0 {
		b.SetProcesses(n)
	}
	return f(b)
}

// budgetLeft returns the extra arrivals that the budgets of all services together
// still allow.
func (g *Gateway) budgetLeft() float64 {
	g.mu.Lock()
	defer g.mu.Unlock()
	sum := 0.0
	for _, b := range g.budgets {
		sum += b.Left()
	}
	return sum
}

// raiseEntries keeps the largest number of entries reported so far: an entry that
// is cut off from control still spends its share of the budget.
func (g *Gateway) raiseEntries(n int) {
	if int64(n) > g.entries.Load() {
		g.entries.Store(int64(n))
		g.dir.setEntries(n)
	}
}

func (g *Gateway) sweep() {
	t := time.NewTicker(sweepInterval)
	defer t.Stop()
	for {
		select {
		case <-g.ctx.Done():
			return
		case <-t.C:
			g.pool.Sweep(g.dir.knowsAddr)
			g.suspects.sweep(time.Now())
			g.dir.pruneNotices(time.Now())
		}
	}
}

func (g *Gateway) accept() {
	for {
		nc, err := g.listener.Accept()
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			g.cfg.Log.Warn().Err(err).Msg("accept_failed")
			time.Sleep(10 * time.Millisecond) // out of file descriptors; other connections will close
			continue
		}
		if c := http1.NewConn(nc, g.limits, g.clients); c != nil {
			go g.serve(c)
			continue
		}
		g.refuseConn(nc)
	}
}

// refuseConn closes a connection because none is left for callers, and says so if it can at once.
func (g *Gateway) refuseConn(nc net.Conn) {
	g.metrics.countRequest("no_connection", "")
	select {
	case g.refusing <- struct{}{}:
		go func() {
			defer func() { <-g.refusing }()
			http1.RefuseConn(nc, retryLater())
		}()
	default:
		_ = nc.Close()
	}
}

// serve answers the requests of one connection in order.
func (g *Gateway) serve(c *http1.Conn) {
	g.track(c, false)
	defer g.untrack(c)
	for {
		if err := c.Wait(); err != nil {
			return
		}
		g.track(c, true)
		r, err := c.ReadRequest()
		var bad *http1.BadRequest
		switch {
		case errors.As(err, &bad):
			g.refuseUnread(c, bad)
			return
		case err != nil:
			return
		}
		if g.draining.Load() {
			c.CloseAfter()
		}
		g.inflight.Add(1)
		reusable := g.handle(c, r)
		g.inflight.Add(-1)
		if !reusable || c.Closing() {
			return
		}
		g.track(c, false)
	}
}

// refuseUnread refuses a request that was not read whole, and so has not run.
func (g *Gateway) refuseUnread(c *http1.Conn, bad *http1.BadRequest) {
	g.metrics.countRequest("bad_request", "")
	g.cfg.Log.Info().Str("remote", c.Remote()).Int("status", bad.Status).Str("reason", bad.Reason).Msg("request_malformed")
	h := http.Header{}
	if promisesNotRun(bad.Status) {
		h = retryLater()
	}
	h.Set("Content-Type", "text/plain")
	c.Refuse(bad.Status, h, []byte(bad.Reason+"\n"))
}

// retryLater returns the field that tells a refused caller when to retry.
func retryLater() http.Header {
	return http.Header{"Retry-After": {strconv.FormatFloat(fleet.RetryAfter(rand.Int64N).Seconds(), 'f', 2, 64)}}
}

func (g *Gateway) track(c *http1.Conn, busy bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.conns[c] = busy
}

func (g *Gateway) untrack(c *http1.Conn) {
	c.Close()
	g.mu.Lock()
	defer g.mu.Unlock()
	delete(g.conns, c)
}

// eventTokens returns how many tokens an event of a service's streams holds; 1 where
// the deployment does not say, which underestimates the speed of engines rather than
// overestimating it.
func (g *Gateway) eventTokens(service string) int {
	t := g.table.Load()
	if t == nil {
		return 1
	}
	s := t.Config().Services[service]
	if s == nil || s.Engine == nil {
		return 1
	}
	return max(1, s.Engine.EventTokens)
}

const (
	// connShare is the share of an endpoint's connections that all entries use
	// together; the rest is for orders, reports and entries not yet counted.
	connShare = 0.8
	// defaultMaxConns is assumed where the deployment does not bound connections.
	defaultMaxConns = 128
)

// maxConns returns how many connections this entry may have to one endpoint of
// a service: an even part of those that the endpoint takes, one at least.
func (g *Gateway) maxConns(service string) int {
	n := defaultMaxConns
	if t := g.table.Load(); t != nil {
		if s := t.Config().Services[service]; s != nil && s.MaxConns > 0 {
			n = s.MaxConns
		}
	}
	return max(1, int(float64(n)*connShare)/max(1, int(g.entries.Load())))
}
