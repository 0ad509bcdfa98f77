// Package follow keeps a process subscribed to the control group: it maintains the
// process's view of records, endpoints and replicas and sends its calls.
//
// A process is connected to one control host at a time. When the connection breaks
// or is silent, the process connects to the next host and continues the
// subscription from the index that it has reached. It counts as ready only after it
// has reached an index that a quorum confirmed to be the newest: a restarted process
// may have missed hundreds of changes.
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
	// BeatInterval is the time between heartbeats. After three lost ones a subscriber
	// connects to another control host; after five an agent's lease ends.
	BeatInterval = time.Second
	silenceLimit = 3 * BeatInterval
	redialPause  = 200 * time.Millisecond
	freshTimeout = 5 * time.Second
)

// ErrDisconnected means that no control host is connected and the call was not
// sent.
var ErrDisconnected = errors.New("no control host is connected")

// Config holds the settings and callbacks of a Follower.
type Config struct {
	Process  wire.Process
	Group    ident.Group
	Control  []string // addresses of control hosts, nearest first
	Security rpc.Security
	Count    *rpc.ByteCounter
	Log      zerolog.Logger
	// Report returns the endpoint's report for the next heartbeat; nil for entries.
	// Reported is called with each report and whether it arrived.
	Report   func() *placement.Report
	Reported func(r *placement.Report, ok bool)
	// Changed is called after changes were applied, without locks held.
	Changed func()
}

// Follower keeps one subscription.
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

// Start starts the subscription.
func (f *Follower) Start() {
	ctx, cancel := context.WithCancel(context.Background())
	f.cancel = cancel
	go f.run(ctx)
}

// Stop ends the subscription and waits for its goroutine.
func (f *Follower) Stop() {
	f.cancel()
	<-f.done
}

// Ready reports whether the view has reached an index confirmed by a quorum
// since the process started.
func (f *Follower) Ready() bool { return f.ready.Load() }

// Entries returns the number of live entries last reported by control, at least 1.
func (f *Follower) Entries() int { return int(max(1, f.entries.Load())) }

// Read calls fn with the view under a read lock. fn must not keep it.
func (f *Follower) Read(fn func(v *view.View)) {
	f.mu.RLock()
	defer f.mu.RUnlock()
	fn(f.view)
}

// ApplyRecords applies record changes that an agent returned.
func (f *Follower) ApplyRecords(rs []state.Record) {
	f.mu.Lock()
	err := f.view.ApplyRecords(rs)
	f.mu.Unlock()
	if err != nil {
		f.cfg.Log.Error().Err(err).Msg("record_unreadable")
		return
	}
	f.notifyChanged()
}

// Call sends a call to the connected control host. It fails with ErrDisconnected if
// there is none.
func (f *Follower) Call(ctx context.Context, method string, params, result any) error {
	f.mu.RLock()
	conn := f.conn
	f.mu.RUnlock()
	if conn == nil {
		return ErrDisconnected
	}
	return conn.Call(ctx, method, params, result)
}

// notifyChanged triggers a heartbeat and calls Changed.
func (f *Follower) notifyChanged() {
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

// session subscribes to one control host and returns when the connection is lost or
// silent.
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
	if err := callWithTimeout(ctx, conn, wire.MethodSubscribe, sub, &res); err != nil {
		return err
	}
	f.setConn(conn)
	defer f.setConn(nil)
	f.cfg.Log.Info().Str("control", addr).Uint64("from", uint64(from)).Uint64("to", uint64(res.To.Index)).Bool("reset", res.Reset).Msg("control_connected")
	go f.becomeReady(ctx, conn)
	return f.beatLoop(ctx, conn)
}

// callWithTimeout makes a call with the time-out after which the other side counts as silent.
func callWithTimeout(ctx context.Context, conn *rpc.Conn, method string, params, result any) error {
	ctx, cancel := context.WithTimeout(ctx, silenceLimit)
	defer cancel()
	return conn.Call(ctx, method, params, result)
}

func (f *Follower) setConn(c *rpc.Conn) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.conn = c
}

// becomeReady gets the newest index confirmed by a quorum and marks the process as ready
// when the view has reached it.
func (f *Follower) becomeReady(ctx context.Context, conn *rpc.Conn) {
	for !f.ready.Load() && ctx.Err() == nil {
		select {
		case <-conn.Closed():
			return
		default:
		}
		var res wire.FreshResult
		cctx, cancel := context.WithTimeout(ctx, freshTimeout)
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
				f.notifyChanged()
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

// Index returns the index up to which all changes are applied.
func (f *Follower) Index() ident.Index {
	f.mu.RLock()
	defer f.mu.RUnlock()
	return f.view.Index()
}

// beatLoop sends heartbeats until the connection fails.
func (f *Follower) beatLoop(ctx context.Context, conn *rpc.Conn) error {
	t := time.NewTicker(BeatInterval)
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
	err := callWithTimeout(ctx, conn, wire.MethodBeat, b, &res)
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

// handle applies the changes that control sends. It closes the connection if they cannot be
// applied.
func (f *Follower) handle(_ context.Context, conn *rpc.Conn, method string, raw json.RawMessage) (any, error) {
	if method != wire.MethodChanges {
		return nil, nil
	}
	var c wire.Changes
	err := json.Unmarshal(raw, &c)
	if err == nil {
		err = f.applyChanges(c)
	}
	if err != nil {
		// With the connection kept open, the process would act on a view that is missing
		// a change. The next session subscribes from the last applied index.
		f.cfg.Log.Error().Err(err).Msg("changes_refused")
		conn.Close()
		return nil, err
	}
	f.notifyChanged()
	return nil, nil
}

// applyChanges applies changes, or collects the pages of a full copy and applies it with the last
// page.
func (f *Follower) applyChanges(c wire.Changes) error {
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
