// Package follow keeps a process subscribed to the control group: it holds the
// process's view of records, endpoints and replicas and carries its calls.
//
// One connection leads to one control host. When it is silent or breaks, the
// next host is tried, and the subscription goes on from the index reached. A
// process counts as ready only after it has reached an index that a quorum
// confirmed to be the newest: after a restart hundreds of changes may have
// passed it by.
package follow

import (
	"context"
	"encoding/json"
	"errors"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"

	"github.com/cassiapass/cassiapass/internal/adapter/rpc"
	"github.com/cassiapass/cassiapass/internal/core/ident"
	"github.com/cassiapass/cassiapass/internal/core/placement"
	"github.com/cassiapass/cassiapass/internal/core/state"
	"github.com/cassiapass/cassiapass/internal/core/view"
	"github.com/cassiapass/cassiapass/internal/wire"
)

const (
	// BeatEvery is the time between signs of life. Three lost ones make a
	// subscriber change its control host; five end an agent's lease.
	BeatEvery   = time.Second
	silence     = 3 * BeatEvery
	redialPause = 200 * time.Millisecond
	freshWait   = 5 * time.Second
)

// ErrDisconnected tells that no control host is connected: the call was not
// sent.
var ErrDisconnected = errors.New("no control host is connected")

// Config is what a Follower is made from.
type Config struct {
	Process  wire.Process
	Group    ident.Group
	Control  []string // addresses of control hosts, nearest first
	Security rpc.Security
	Count    *rpc.Counter
	Log      zerolog.Logger
	// Report returns what the next beat tells of the endpoint; nil for
	// entries. Reported tells whether it arrived.
	Report   func() *placement.Report
	Reported func(r *placement.Report, ok bool)
	// Changed is called after changes were taken in, without locks held.
	Changed func()
}

// Follower is a running subscription.
type Follower struct {
	cfg     Config
	cancel  context.CancelFunc
	done    chan struct{}
	ready   atomic.Bool
	entries atomic.Int64

	mu      sync.RWMutex
	view    *view.View
	pending []state.Change // pages of a full copy that is arriving
	conn    *rpc.Conn

	beatNow chan struct{}
}

// New returns a Follower that has not started.
func New(cfg Config) *Follower {
	f := &Follower{cfg: cfg, done: make(chan struct{}), view: view.New(), beatNow: make(chan struct{}, 1)}
	f.entries.Store(1)
	return f
}

// Start begins to follow.
func (f *Follower) Start() {
	ctx, cancel := context.WithCancel(context.Background())
	f.cancel = cancel
	go f.run(ctx)
}

// Stop ends the subscription.
func (f *Follower) Stop() {
	f.cancel()
	<-f.done
}

// Ready reports whether the view has reached an index confirmed by a quorum
// since the process started.
func (f *Follower) Ready() bool { return f.ready.Load() }

// Entries returns the number of live entries, as control last told.
func (f *Follower) Entries() int { return int(max(1, f.entries.Load())) }

// Read runs fn on the view. fn must not keep it.
func (f *Follower) Read(fn func(v *view.View)) {
	f.mu.RLock()
	defer f.mu.RUnlock()
	fn(f.view)
}

// TakeRecords takes in record changes that an agent handed over.
func (f *Follower) TakeRecords(rs []state.Record) {
	f.mu.Lock()
	err := f.view.ApplyRecords(rs)
	f.mu.Unlock()
	if err != nil {
		f.cfg.Log.Error().Err(err).Msg("record_unreadable")
		return
	}
	f.changed()
}

// Call sends a call to the connected control host.
func (f *Follower) Call(ctx context.Context, method string, params, result any) error {
	f.mu.RLock()
	conn := f.conn
	f.mu.RUnlock()
	if conn == nil {
		return ErrDisconnected
	}
	return conn.Call(ctx, method, params, result)
}

func (f *Follower) changed() {
	select {
	case f.beatNow <- struct{}{}:
	default:
	}
	if f.cfg.Changed != nil {
		f.cfg.Changed()
	}
}

func (f *Follower) run(ctx context.Context) {
	defer close(f.done)
	for i := 0; ctx.Err() == nil; i++ {
		addr := f.cfg.Control[i%len(f.cfg.Control)]
		err := f.session(ctx, addr)
		if ctx.Err() == nil {
			f.cfg.Log.Warn().Str("control", addr).Err(err).Msg("control_connection_lost")
			sleep(ctx, redialPause)
		}
	}
}

func sleep(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}

// session follows one control host until the connection is lost or silent.
func (f *Follower) session(ctx context.Context, addr string) error {
	conn, err := rpc.Dial(ctx, addr, f.cfg.Security, f.cfg.Count, f.handle)
	if err != nil {
		return err
	}
	defer conn.Close()
	f.mu.Lock()
	f.pending = nil
	from := f.view.Index()
	f.mu.Unlock()
	sub := wire.SubscribeParams{Process: f.cfg.Process, From: ident.Position{Group: f.cfg.Group, Index: from}}
	var res wire.SubscribeResult
	if err := call(ctx, conn, wire.MethodSubscribe, sub, &res); err != nil {
		return err
	}
	f.setConn(conn)
	defer f.setConn(nil)
	f.cfg.Log.Info().Str("control", addr).Uint64("from", uint64(from)).Uint64("to", uint64(res.To.Index)).Bool("reset", res.Reset).Msg("control_connected")
	go f.becomeReady(ctx, conn)
	return f.beatLoop(ctx, conn)
}

// call bounds a call by the time after which the other side counts as silent.
func call(ctx context.Context, conn *rpc.Conn, method string, params, result any) error {
	ctx, cancel := context.WithTimeout(ctx, silence)
	defer cancel()
	return conn.Call(ctx, method, params, result)
}

func (f *Follower) setConn(c *rpc.Conn) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.conn = c
}

// becomeReady learns the newest index from a quorum and waits for the view to
// reach it.
func (f *Follower) becomeReady(ctx context.Context, conn *rpc.Conn) {
	for !f.ready.Load() && ctx.Err() == nil {
		select {
		case <-conn.Closed():
			return
		default:
		}
		var res wire.FreshResult
		cctx, cancel := context.WithTimeout(ctx, freshWait)
		err := conn.Call(cctx, wire.MethodFresh, nil, &res)
		cancel()
		if err != nil {
			sleep(ctx, redialPause)
			continue
		}
		for ctx.Err() == nil {
			if f.Index() >= res.Index {
				f.ready.Store(true)
				f.cfg.Log.Info().Uint64("index", uint64(res.Index)).Msg("ready")
				f.changed()
				return
			}
			select {
			case <-conn.Closed():
				return
			case <-time.After(redialPause / 4):
			}
		}
	}
}

// Index returns the index up to which everything is taken in.
func (f *Follower) Index() ident.Index {
	f.mu.RLock()
	defer f.mu.RUnlock()
	return f.view.Index()
}

// beatLoop sends signs of life until the connection fails.
func (f *Follower) beatLoop(ctx context.Context, conn *rpc.Conn) error {
	t := time.NewTicker(BeatEvery)
	defer t.Stop()
	for {
		if err := f.beat(ctx, conn); err != nil {
			return err
		}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-conn.Closed():
			return errors.New("the connection was closed")
		case <-t.C:
		case <-f.beatNow:
		}
	}
}

func (f *Follower) beat(ctx context.Context, conn *rpc.Conn) error {
	b := wire.Beat{Process: f.cfg.Process}
	f.Read(func(v *view.View) { b.Index, b.Config = v.Index(), v.Config() })
	if f.cfg.Report != nil {
		b.Report = f.cfg.Report()
	}
	var res wire.BeatResult
	err := call(ctx, conn, wire.MethodBeat, b, &res)
	if b.Report != nil && f.cfg.Reported != nil {
		f.cfg.Reported(b.Report, err == nil && !res.Unknown)
	}
	if err != nil {
		return err
	}
	if res.Unknown {
		return errors.New("the control host does not know this subscription")
	}
	if res.Entries > 0 {
		f.entries.Store(int64(res.Entries))
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.pending == nil {
		_, err = f.view.Apply(f.view.Index(), res.Index, nil)
	}
	return err
}

// handle takes in what control sends.
func (f *Follower) handle(_ context.Context, conn *rpc.Conn, method string, raw json.RawMessage) (any, error) {
	if method != wire.MethodChanges {
		return nil, nil
	}
	var c wire.Changes
	err := json.Unmarshal(raw, &c)
	if err == nil {
		err = f.take(c)
	}
	if err != nil {
		// Going on would mean to act on a view that lacks a change.
		f.cfg.Log.Error().Err(err).Msg("changes_refused")
		conn.Close()
		return nil, err
	}
	f.changed()
	return nil, nil
}

// take applies changes, or gathers the pages of a full copy.
func (f *Follower) take(c wire.Changes) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	if c.Reset || f.pending != nil {
		if c.Reset {
			f.pending = []state.Change{}
		}
		f.pending = append(f.pending, c.Changes...)
		if c.More {
			return nil
		}
		all := f.pending
		f.pending = nil
		_, err := f.view.Reset(c.To, all)
		return err
	}
	ok, err := f.view.Apply(c.From, c.To, c.Changes)
	if err == nil && !ok {
		err = errors.New("changes are missing before the ones received")
	}
	return err
}
