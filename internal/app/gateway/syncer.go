package gateway

import (
	"context"
	"encoding/json"
	"errors"
	"math/rand/v2"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/samber/oops"

	"github.com/cassiapass/cassiapass/internal/adapter/rpc"
	"github.com/cassiapass/cassiapass/internal/core/fleet"
	"github.com/cassiapass/cassiapass/internal/core/limit"
	"github.com/cassiapass/cassiapass/internal/wire"
)

const (
	// pullHold is how long the leader may hold a pull if nothing has changed.
	pullHold = 400 * time.Millisecond
	// pullTimeout bounds a pull: the connection may be silent, or the leader may
	// be frozen.
	pullTimeout = pullHold + 700*time.Millisecond
	// pullPause follows a failed pull.
	pullPause = 50 * time.Millisecond
	// reportInterval is the time between reports of what waits and runs.
	reportInterval = 200 * time.Millisecond
	// reportDelay is how long an urgent report waits to include further requests.
	reportDelay   = 3 * time.Millisecond
	reportTimeout = 500 * time.Millisecond
	// listGrace is how much older than its typical age the platform's list must be
	// for this process to read it itself: the leader is silent, or it cannot read
	// the list.
	listGrace = 1100 * time.Millisecond
	// listCheckInterval is how often the age of the list is checked.
	listCheckInterval = 200 * time.Millisecond
	listTimeout       = 5 * time.Second // of a whole read; each call has a timeout of its own
	// defaultListAge is assumed until a leader has reported the typical age.
	defaultListAge = 400 * time.Millisecond
	connectTimeout = 500 * time.Millisecond
	// dialStagger is how long a dial runs alone before the next control host is dialled
	// concurrently: a connection within a region takes about 3 ms. A host that is
	// permanently removed answers nothing. With one dial at a time, after all processes
	// were killed, all entries wait 0.5 s at the same time for the one control host that
	// had been replaced, although there is a leader.
	dialStagger = 50 * time.Millisecond
)

var errNoLeader = errors.New("no control host that can be reached is the leader")

// syncer keeps a gateway up to date with the leading control host.
type syncer struct {
	g *Gateway

	mu      sync.Mutex
	conn    *rpc.Conn // to the leader, nil while there is none
	addr    string
	members []string // control hosts reported by others, beside the configured ones
	seeds   []string
	next    int // offset at which the next dial order begins

	leaderListAge atomic.Int64 // nanoseconds: how old the leader's list typically gets
	contact       leaderContact

	reportedOn     *rpc.Conn        // connection of the last report; used by report alone
	rates          fleet.RateMemory // used by report alone
	idleReportedOn *rpc.Conn        // connection on which the last report was empty; used by report alone
}

func newSyncer(g *Gateway) *syncer {
	s := &syncer{g: g, seeds: g.cfg.Control, contact: leaderContact{changed: make(chan struct{})}}
	s.leaderListAge.Store(int64(defaultListAge))
	return s
}

// SetControl replaces the configured control hosts.
func (g *Gateway) SetControl(addrs []string) {
	g.sync.mu.Lock()
	defer g.sync.mu.Unlock()
	g.sync.seeds = addrs
}

// candidates returns the addresses to try, in order.
func (s *syncer) candidates() []string {
	out := slices.Clone(s.members)
	for _, a := range s.seeds {
		if !slices.Contains(out, a) {
			out = append(out, a)
		}
	}
	return out
}

// pull fetches updates from the leader until the gateway stops.
func (s *syncer) pull(ctx context.Context) {
	lost := false
	for ctx.Err() == nil {
		err := s.pullOnce(ctx)
		switch {
		case err == nil && lost:
			lost = false
			s.g.cfg.Log.Info().Str("control", s.addr).Msg("control_regained")
		case err != nil && !lost:
			lost = true
			s.g.cfg.Log.Warn().Err(err).Msg("control_lost")
		}
		if err == nil {
			continue
		}
		select {
		case <-ctx.Done():
		case <-time.After(pullPause/2 + rand.N(pullPause)):
		}
	}
}

func (s *syncer) pullOnce(ctx context.Context) error {
	conn, err := s.connect(ctx)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, pullTimeout)
	defer cancel()
	p := wire.PullParams{Host: s.g.cfg.Host, Hold: pullHold, Leaving: s.g.draining.Load(), Entries: int(s.g.entries.Load())}
	p.Term, p.Rev = s.g.dir.version()
	p.Suspects = s.g.suspects.heldMark()
	if t := s.g.table.Load(); t != nil {
		p.Version = t.Config().Version
	} else {
		p.First = true
	}
	asked := time.Now()
	var r wire.PullResult
	if err := conn.Call(ctx, wire.MethodPull, p, &r); err != nil {
		s.drop(conn, "")
		return err
	}
	if !r.Leading {
		s.addMembers(r.Members)
		s.drop(conn, r.Leader)
		return errNoLeader
	}
	n, err := decodeUpdate(&r)
	if err != nil {
		s.drop(conn, "")
		return oops.With("endpoints", len(r.Packed), "deployment", len(r.Deployment), "running", len(r.Running)).Wrapf(err, "decode the leader's answer to a pull")
	}
	s.apply(asked, r, n)
	return nil
}

// apply applies the answer to a pull that was sent at asked.
func (s *syncer) apply(asked time.Time, r wire.PullResult, n pullUpdate) {
	s.g.allowances.leaderReached()
	s.setMembers(r.Members)
	s.g.raiseEntries(r.Entries)
	if r.Suspects != nil {
		s.g.suspects.merge(time.Now(), *r.Suspects)
		s.g.dir.wake() // waiting requests may be refused now
	}
	if n.deployment != nil {
		s.g.applyDeployment(*n.deployment)
	}
	switch {
	case r.Endpoints == nil:
	case r.Delta:
		s.g.dir.update(r.Term, r.Rev, *r.Endpoints, r.Removed)
	default:
		s.g.dir.replace(r.Term, r.Rev, *r.Endpoints)
	}
	s.g.dir.mergeLimits(r.Term, asked, r.Limits)
	s.g.dir.advisePauses(r.Pauses)
	s.g.dir.applyPooledPaces(time.Now(), r.Paces)
	s.g.dir.setETAs(time.Now(), r.Delta, r.Endpoints != nil || len(r.ETAs) > 0, r.ETAs)
	if r.ListUsual > 0 {
		s.leaderListAge.Store(int64(r.ListUsual))
	}
	s.contact.record(time.Now())
	if r.ListShown > 0 {
		s.g.dir.recordShown(asked.Add(-r.ListShown))
	}
	if r.ListAge >= 0 {
		s.g.dir.setRunning(time.Now().Add(-r.ListAge), n.running)
	}
}

// setMembers replaces the members by those that the leader reported.
func (s *syncer) setMembers(members []string) {
	if len(members) == 0 {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.members = members
}

// maxMembers bounds the control hosts kept beside the configured ones.
const maxMembers = 64

// addMembers adds addresses reported by a host that is not the leader. It may know less
// than this process: a host that lost its state reports its seeds, which may have lost
// theirs, too.
func (s *syncer) addMembers(addrs []string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, a := range addrs {
		if !slices.Contains(s.members, a) {
			s.members = append(s.members, a)
		}
	}
	s.members = s.members[max(0, len(s.members)-maxMembers):]
}

// connect returns the connection to the leader, or to the next control host.
func (s *syncer) connect(ctx context.Context) (*rpc.Conn, error) {
	s.mu.Lock()
	conn := s.conn
	addrs := s.dialOrder()
	s.mu.Unlock()
	if conn != nil {
		return conn, nil
	}
	if len(addrs) == 0 {
		return nil, errNoLeader
	}
	ctx, cancel := context.WithTimeout(ctx, connectTimeout)
	defer cancel()
	conn, addr, err := s.dialFirst(ctx, addrs)
	s.mu.Lock()
	defer s.mu.Unlock()
	if err != nil {
		s.addr = ""
		return nil, err
	}
	s.conn, s.addr = conn, addr
	return conn, nil
}

// dialOrder returns the addresses to dial in order: the leader's, if it is known, then
// the others, beginning one further on than at the last call without it. The caller
// holds mu.
func (s *syncer) dialOrder() []string {
	all := s.candidates()
	var out []string
	if s.addr != "" {
		out = append(out, s.addr)
	}
	for i := range all {
		if a := all[(s.next+i)%len(all)]; a != s.addr {
			out = append(out, a)
		}
	}
	if s.addr == "" {
		s.next++
	}
	return out
}

// dialResult is the result of one dial.
type dialResult struct {
	conn *rpc.Conn
	addr string
	err  error
}

// dialFirst dials the addresses in order, each dialStagger after the one before or as soon
// as a dial has failed, and returns the first connection.
func (s *syncer) dialFirst(ctx context.Context, addrs []string) (*rpc.Conn, string, error) {
	ctx, cancel := context.WithCancel(ctx)
	results := make(chan dialResult, len(addrs))
	begun, ended := 0, 0
	defer func() {
		cancel()
		go closeRemaining(results, begun-ended)
	}()
	next := time.NewTimer(0)
	defer next.Stop()
	var last error
	for ended < len(addrs) {
		select {
		case <-next.C:
			if begun == len(addrs) {
				continue // all are in progress
			}
			addr := addrs[begun]
			begun++
			go func() {
				conn, err := rpc.Dial(ctx, addr, s.g.cfg.Security, &s.g.metrics.rpc, rejectCall)
				results <- dialResult{conn, addr, err}
			}()
			next.Reset(dialStagger)
		case d := <-results:
			ended++
			if d.err == nil {
				return d.conn, d.addr, nil
			}
			last = d.err
			next.Reset(0)
		}
	}
	return nil, "", last
}

// closeRemaining closes connections that were made after another one was chosen.
func closeRemaining(results <-chan dialResult, n int) {
	for range n {
		if d := <-results; d.conn != nil {
			d.conn.Close()
		}
	}
}

// leader returns the connection to the leader, nil while there is none.
func (s *syncer) leader() *rpc.Conn {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.conn
}

// drop closes a connection; next is the address to try first, if known.
func (s *syncer) drop(conn *rpc.Conn, next string) {
	conn.Close()
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.conn == conn {
		s.conn, s.addr = nil, next
	}
}

// rejectCall rejects every call from a control host.
func rejectCall(context.Context, *rpc.Conn, string, json.RawMessage) (any, error) {
	return nil, errors.New("an entry answers no calls")
}

// report reports what waits and runs, at once when a request begins to wait, when the last
// request for a rare model has ended or when there is a report about a suspect.
func (s *syncer) report(ctx context.Context) {
	t := time.NewTicker(reportInterval)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-t.C:
		case <-s.g.demands.urgent:
			time.Sleep(reportDelay)
		case <-s.g.dir.modelIdle:
			time.Sleep(reportDelay)
		case <-s.g.suspects.urgent:
			time.Sleep(reportDelay)
		case <-s.g.dir.noticed:
			time.Sleep(reportDelay)
		}
		s.reportOnce(ctx)
	}
}

func (s *syncer) reportOnce(ctx context.Context) {
	s.g.dir.updatePaces(time.Now())
	conn := s.leader()
	if conn == nil {
		return // what waits is reported again when there is a leader
	}
	p := wire.TellParams{Host: s.g.cfg.Host, Demands: s.g.demands.report(time.Now()), Uses: s.g.dir.reportUses()}
	s.reportRates(&p, s.reportedOn != conn)
	p.Notices = s.g.dir.noticeReports(time.Now())
	p.SharedHosts = s.g.dir.onSharedHosts()
	p.Paces, p.Objectives = s.g.dir.paceReport(time.Now(), int(s.g.entries.Load()))
	p.Ends, p.Answered = s.g.suspects.report(time.Now(), s.reportedOn != conn)
	s.reportedOn = conn
	idle := len(p.Demands)+len(p.Uses)+len(p.Notices)+len(p.Ends)+len(p.Answered)+len(p.Paces)+len(p.Objectives) == 0
	if idle && s.idleReportedOn == conn {
		// An empty report is sent once on a connection. 370 idle entries that repeat
		// it five times a second each would cost the leader 7 % of a core. On another
		// connection it is sent again, as the last report may be lost.
		return
	}
	s.idleReportedOn = nil
	if idle {
		s.idleReportedOn = conn
	}
	if err := conn.Notify(wire.MethodTell, p); err != nil {
		s.g.cfg.Log.Debug().Err(err).Msg("report_not_sent")
	}
}

// watchList reads the platform's list itself while the leader provides none, as often as
// this process may if all others do the same.
func (s *syncer) watchList(ctx context.Context) {
	refused := 0
	pause := func() time.Duration {
		return limit.ReadPause(int(s.g.entries.Load()), s.listCalls(), s.g.cfg.ListRate, refused)
	}
	var next time.Time // zero while the list is no older than usual
	for {
		select {
		case <-ctx.Done():
			return
		case <-time.After(listCheckInterval/2 + rand.N(listCheckInterval)):
		}
		now := time.Now()
		switch {
		case s.g.dir.listAge() < s.typicalListAge()+listGrace, s.g.table.Load() == nil:
			// Without a deployment no request is accepted, and the leader's first
			// answer contains the endpoints too.
			next = time.Time{}
			continue
		case next.IsZero():
			next = now.Add(rand.N(pause() / 2)) // all entries notice at the same time
		}
		if now.Before(next) {
			continue
		}
		switch err := s.readList(ctx); {
		case errors.Is(err, fleet.ErrRateLimited):
			refused++
		case err == nil:
			refused = 0
		}
		next = time.Now().Add(pause()/2 + rand.N(pause()))
	}
}

// typicalListAge returns how old the leader's list typically gets.
func (s *syncer) typicalListAge() time.Duration {
	return time.Duration(s.leaderListAge.Load())
}

// listCalls returns how many calls a read of the list takes, by its last known size.
func (s *syncer) listCalls() int {
	if s.g.cfg.ListPage <= 0 {
		return 1
	}
	return s.g.dir.count()/s.g.cfg.ListPage + 1
}

func (s *syncer) readList(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, listTimeout)
	defer cancel()
	begin := time.Now()
	l, err := s.g.cfg.List(ctx)
	if err != nil {
		s.g.cfg.Log.Warn().Err(err).Msg("endpoint_list_failed")
		return err
	}
	s.g.cfg.Log.Info().Int("endpoints", len(l.Endpoints)).Int("calls", l.Calls).Msg("endpoint_list_read")
	s.g.dir.applyList(begin, l.Endpoints)
	return nil
}
