package control

import (
	"context"
	"encoding/json"
	"errors"
	"strings"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"
	"github.com/samber/oops"

	"github.com/cassiapass/cassiapass/internal/adapter/disklog"
	"github.com/cassiapass/cassiapass/internal/core/consensus"
	"github.com/cassiapass/cassiapass/internal/core/ident"
	"github.com/cassiapass/cassiapass/internal/core/poison"
	"github.com/cassiapass/cassiapass/internal/core/roster"
	"github.com/cassiapass/cassiapass/internal/core/state"
	"github.com/cassiapass/cassiapass/internal/port"
)

const (
	tickInterval  = 50 * time.Millisecond
	electionTicks = 8 // 400 to 800 ms of silence before a follower campaigns
	// startTicks replaces electionTicks from the start of a process until it receives a
	// leader's message: 150 to 300 ms. After a kill of all processes a leader leads 0.19 s
	// after the restart, 0.51 s with electionTicks (means of BenchmarkLeadAfterKillOfAll).
	startTicks             = 3
	voterHeartbeatTicks    = 2 // ticks between heartbeats to voters
	observerHeartbeatTicks = 10
	taskQueue              = 8192
	taskBatch              = 1024 // proposals collected for one sync
	snapshotEntries        = 10000
	// snapshotBytes bounds the log between snapshots where commands are large:
	// whole deployments of 100 kB each would fill a disk of 64 MB long before
	// snapshotEntries. Two segments of this size and a snapshot stay under 16 MB.
	snapshotBytes = 4 << 20
)

// Errors of proposals that did not reach the log or whose outcome is unknown.
var (
	ErrNoLeader = errors.New("no leader is known; the control group may have lost its quorum")
	ErrLost     = errors.New("the leader changed before the command was decided; it may or may not be carried out")
	ErrStopped  = errors.New("this control host is stopping")
)

// loop owns the consensus node, the state and the planner.
type loop struct {
	id          consensus.NodeID
	addr        string                                // advertised to other hosts
	contactAddr func(consensus.NodeID) (string, bool) // address at which a host was last contacted
	log         zerolog.Logger
	node        *consensus.Node
	st          *state.State
	disk        port.Disk
	send        func([]consensus.Message)
	hub         *hub
	duties      *duties
	met         *metrics
	watch       leaderWatch
	beats       busyBeats
	fatal       func(error)
	group       ident.Group
	startedAt   time.Time // of this process, with its monotonic clock

	leader  atomic.Uint64 // leader known to node, for readers outside the loop
	tasks   chan func()
	stopped chan struct{}
	done    chan struct{}

	waiters      map[uint64]waiter
	reads        map[uint64]chan<- uint64
	nextRead     uint64
	applyWaits   []applyWait
	sinceSnap    int
	sinceBytes   int // of commands, since the last snapshot
	snapshotting bool

	onDeploy       func(state.Deployment)
	notifiedDeploy ident.Index
	onPoison       func(poison.Registry)
	notifiedPoison poison.Registry

	rosterUsed    bool
	rosterCfg     roster.Config
	roster        *roster.Roster // nil while not leading
	rosterTerm    uint64
	rosterChecked time.Time
	heard         roster.Heard

	volatile     bool
	loggedVote   string
	health       roster.Health // as last observed, while leading
	healthLogged time.Time

	setAside *disklog.Log // holds a log that was set aside; nil if there is none
}

// applyWait is a caller that waits until the state has reached index.
type applyWait struct {
	index uint64
	ch    chan<- struct{}
}

// post hands f to the loop. It returns false when the loop has stopped.
func (l *loop) post(f func()) bool {
	select {
	case l.tasks <- f:
		return true
	case <-l.stopped:
		return false
	}
}

// run is the main loop.
func (l *loop) run() {
	defer close(l.done)
	tick := time.NewTicker(tickInterval)
	defer tick.Stop()
	for {
		var begin time.Time
		select {
		case f := <-l.tasks:
			begin = l.beginTurn()
			f()
			l.runQueued()
		case <-tick.C:
			begin = l.beginTurn()
			l.node.Tick()
			l.duties.tick(time.Now(), l)
			l.tickRoster(time.Now())
			l.removeSetAside()
		case <-l.stopped:
			return
		}
		l.node.Flush()
		if !l.processReady() {
			return
		}
		l.beats.endTurn()
		l.watch.observeTurn(begin, time.Now(), l.node)
	}
}

// beginTurn begins a turn of the loop and returns the time.
func (l *loop) beginTurn() time.Time {
	now := time.Now()
	l.beats.beginTurn(now, l.node.Heartbeats())
	return now
}

// runQueued runs the tasks that are waiting already, so that one sync serves all
// their proposals.
func (l *loop) runQueued() {
	for range taskBatch {
		select {
		case f := <-l.tasks:
			f()
		default:
			return
		}
	}
}

// processReady handles everything that the node has ready. It returns false after
// a disk failure; nothing may be acknowledged after that.
func (l *loop) processReady() bool {
	for {
		rd := l.node.Ready()
		if rd.Empty() {
			l.leader.Store(uint64(l.node.Leader()))
			return true
		}
		if err := l.handleReady(rd); err != nil {
			l.fatal(err)
			return false
		}
		l.node.Advance(rd)
		l.releaseApplied()
	}
}

// handleReady keeps the order that consensus relies on: early messages, sync,
// other messages, apply.
func (l *loop) handleReady(rd consensus.Ready) error {
	l.send(rd.Early)
	if rd.Snapshot != nil {
		if err := l.install(*rd.Snapshot); err != nil {
			return err
		}
	}
	if len(rd.Entries) > 0 || rd.HardState != nil {
		begin := time.Now()
		if err := l.disk.Save(rd.Entries, rd.HardState); err != nil {
			return err
		}
		l.met.syncSeconds.UpdateDuration(begin)
		l.met.syncs.Inc()
	}
	l.send(rd.Messages)
	for _, r := range rd.Reads {
		if ch, ok := l.reads[r.Context]; ok {
			delete(l.reads, r.Context)
			// A reader repeats its request while an answer may be on its way, so a second
			// answer can arrive; the reader uses the first. With a plain send, the second
			// answer would block the loop forever after a partition heals.
			select {
			case ch <- r.Index:
			default:
			}
		}
	}
	return l.apply(rd.Committed)
}

// install replaces the state with a snapshot from the leader.
func (l *loop) install(s consensus.Snapshot) error {
	st, err := state.Decode(s.Data)
	if err != nil {
		return err
	}
	if err := l.disk.SaveSnapshot(s); err != nil {
		return err
	}
	l.st = st
	l.sinceSnap, l.sinceBytes = 0, 0
	l.notifyDeployment()
	l.notifyPoison()
	for i, w := range l.waiters {
		if i <= s.Index {
			delete(l.waiters, i)
			w.answer(proposalResult{err: ErrLost})
		}
	}
	l.hub.reset(ident.Index(s.Index))
	l.log.Info().Uint64("index", s.Index).Str("voters", voterAddrs(s.Membership)).Msg("snapshot_installed")
	return nil
}

func (l *loop) apply(entries []consensus.Entry) error {
	var changes []state.Change
	for _, e := range entries {
		cs, err := l.applyOne(e)
		if err != nil {
			return err
		}
		changes = append(changes, cs...)
	}
	if len(entries) == 0 {
		return nil
	}
	l.sinceSnap += len(entries)
	last := ident.Index(entries[len(entries)-1].Index)
	l.hub.publish(last, l.st.Config(), changes)
	if (l.sinceSnap >= snapshotEntries || l.sinceBytes >= snapshotBytes) && !l.snapshotting {
		l.snapshot(entries[0].Index, uint64(last))
	}
	return nil
}

func (l *loop) applyOne(e consensus.Entry) ([]state.Change, error) {
	if e.Kind != consensus.EntryCommand {
		l.logMembership(e)
		l.st.Skip(ident.Index(e.Index))
		l.answer(e, state.Result{Code: state.OK})
		return nil, nil
	}
	var c state.Command
	if err := json.Unmarshal(e.Data, &c); err != nil {
		return nil, oops.With("index", e.Index).Wrapf(err, "decode command at index %d", e.Index)
	}
	res, changes := l.st.Apply(ident.Index(e.Index), c)
	l.met.applied.Inc()
	l.sinceBytes += len(e.Data)
	l.notifyDeployment()
	l.notifyPoison()
	l.audit(c, res)
	l.duties.applied(c, res)
	l.answer(e, res)
	return changes, nil
}

// logMembership logs who votes from a membership entry on.
func (l *loop) logMembership(e consensus.Entry) {
	if e.Kind != consensus.EntryMembership {
		return
	}
	var m consensus.Membership
	if err := json.Unmarshal(e.Data, &m); err != nil {
		return // the node refuses it
	}
	l.log.Info().Uint64("index", e.Index).Str("voters", voterAddrs(m)).Msg("membership_committed")
}

// voterAddrs returns the addresses of the voters, separated by spaces.
func voterAddrs(m consensus.Membership) string {
	var out []string
	for _, mem := range m.Members {
		if mem.Voter {
			out = append(out, mem.Addr)
		}
	}
	return strings.Join(out, " ")
}

// audit also logs the changes that operators look for, since the state keeps only
// the newest ones.
func (l *loop) audit(c state.Command, res state.Result) {
	ev := l.log.Info().Str("by", c.By).Uint64("index", uint64(res.Index)).Str("code", string(res.Code))
	switch {
	case c.Submit != nil:
		ev.Str("request", c.Submit.Request).Uint64("base", uint64(c.Submit.Base)).Msg("record_submitted")
	case c.Withdraw != nil:
		ev.Str("request", c.Withdraw.Request).Str("record", c.Withdraw.Name).Msg("record_withdrawn")
	case c.Grant != nil:
		ev.Stringer("target", c.Grant.Target).Str("endpoint", string(c.Grant.Host)).Str("reason", c.Grant.Reason).Str("message", res.Message).Msg("replica_granted")
	case c.Replica != nil:
		ev.Uint64("replica", uint64(c.Replica.ID)).Str("phase", string(c.Replica.Phase)).Bool("gone", c.Replica.Removed).Str("reason", c.Replica.Reason).Msg("replica_changed")
	case c.Endpoint != nil:
		e := c.Endpoint.Endpoint
		ev.Str("endpoint", string(e.Host)).Uint64("incarnation", uint64(e.Incarnation)).Bool("up", e.Up).Bool("leaving", e.Leaving).Str("reason", c.Endpoint.Reason).Msg("endpoint_changed")
	case c.Forget != nil:
		ev.Str("endpoint", string(c.Forget.Host)).Str("reason", c.Forget.Reason).Msg("endpoint_forgotten")
	case c.Deploy != nil:
		ev.Uint64("version", c.Deploy.Version).Int("bytes", len(c.Deploy.Text)).Bool("resent", res.Resent).Str("message", res.Message).Msg("deployment_decided")
	default:
		ev.Discard()
	}
}

// snapshot encodes a copy of the state in the background, then compacts the log. The entries
// first to index were applied in one batch.
func (l *loop) snapshot(first, index uint64) {
	l.snapshotting = true
	l.sinceSnap, l.sinceBytes = 0, 0
	copied := l.st.Clone()
	go func() {
		begin := time.Now()
		data, err := copied.Encode()
		l.post(func() { l.compact(first, index, data, err, begin) })
	}()
}

func (l *loop) compact(first, index uint64, data []byte, err error, begin time.Time) {
	l.snapshotting = false
	if err != nil {
		l.fatal(oops.Wrapf(err, "encode state"))
		return
	}
	s, ok := l.node.Compact(index, data)
	if !ok {
		return
	}
	if err := l.disk.SaveSnapshot(s); err != nil {
		l.fatal(err)
		return
	}
	l.log.Info().Uint64("first", first).Uint64("index", index).Str("voters", voterAddrs(s.Membership)).Int("bytes", len(data)).
		Dur("took", time.Since(begin)).Msg("snapshot_saved")
}

func (l *loop) releaseApplied() {
	kept := l.applyWaits[:0]
	for _, w := range l.applyWaits {
		if uint64(l.st.Index()) >= w.index {
			close(w.ch)
			continue
		}
		kept = append(kept, w)
	}
	l.applyWaits = kept
}

// now returns the time for commands: the wall-clock time at the start of this process,
// advanced by the monotonic clock. The state uses these times to expire what it keeps for
// an hour. With the wall clock itself, a step forward drops the outcome of a keyed request
// at once, and a repeat of the request runs a second time.
func (l *loop) now() time.Time { return l.startedAt.Add(time.Since(l.startedAt)).UTC() }

// readIndex returns an index that a quorum confirmed to be the newest.
func (l *loop) readIndex(ctx context.Context) (uint64, error) {
	ch := make(chan uint64, 1)
	for {
		if !l.post(func() { l.startRead(ch) }) {
			return 0, ErrStopped
		}
		retry := time.NewTimer(readRetry)
		select {
		case i := <-ch:
			retry.Stop()
			return i, nil
		case <-retry.C:
			// The round was lost or there is no leader; ask again.
		case <-ctx.Done():
			retry.Stop()
			return 0, ErrNoLeader
		}
	}
}

const readRetry = 300 * time.Millisecond

func (l *loop) startRead(ch chan<- uint64) {
	l.nextRead++
	if l.node.ReadIndex(l.nextRead) {
		l.reads[l.nextRead] = ch
		l.dropOldReads()
	}
}

// dropOldReads removes reads whose callers gave up: contexts increase, so answers to the
// oldest are no longer useful.
func (l *loop) dropOldReads() {
	const maxReads = 4096
	if len(l.reads) <= maxReads {
		return
	}
	for c := range l.reads {
		if c+maxReads < l.nextRead {
			delete(l.reads, c)
		}
	}
}

// waitApplied returns when the state has reached index.
func (l *loop) waitApplied(ctx context.Context, index uint64) error {
	ch := make(chan struct{})
	posted := l.post(func() {
		if uint64(l.st.Index()) >= index {
			close(ch)
			return
		}
		l.applyWaits = append(l.applyWaits, applyWait{index, ch})
	})
	if !posted {
		return ErrStopped
	}
	select {
	case <-ch:
		return nil
	case <-ctx.Done():
		return oops.Wrapf(ctx.Err(), "this control host has not applied index %d", index)
	}
}

// barrier returns when the state holds everything committed before the call.
func (l *loop) barrier(ctx context.Context) (uint64, error) {
	i, err := l.readIndex(ctx)
	if err != nil {
		return 0, err
	}
	return i, l.waitApplied(ctx, i)
}

// do runs f in the loop and waits until it has returned.
func (l *loop) do(f func()) error {
	done := make(chan struct{})
	if !l.post(func() { f(); close(done) }) {
		return ErrStopped
	}
	select {
	case <-done:
		return nil
	case <-l.done:
		return ErrStopped
	}
}
