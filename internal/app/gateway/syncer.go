package gateway

import (
	"context"
	"encoding/json"
	"errors"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/cassiapass/cassiapass/internal/adapter/rpc"
	"github.com/cassiapass/cassiapass/internal/wire"
)

const (
	// pullHold is how long the leader may hold a pull without news.
	pullHold = 400 * time.Millisecond
	// pullTimeout ends a pull whose answer does not come: the connection may
	// have gone silent, or the leader may be frozen.
	pullTimeout = pullHold + 700*time.Millisecond
	// pullPause follows a failed pull.
	pullPause = 50 * time.Millisecond
	// tellEvery is the time between reports of what waits and runs.
	tellEvery = 200 * time.Millisecond
	// tellGather is how long an urgent report gathers further requests.
	tellGather  = 3 * time.Millisecond
	tellTimeout = 500 * time.Millisecond
	// listStale is the age of the platform's list beyond which this process
	// reads it itself. With what the list lags and one read a second, a
	// leaving endpoint is noticed within 3 s though the leader is silent.
	listStale   = 1500 * time.Millisecond
	listEvery   = 800 * time.Millisecond
	listTimeout = time.Second
	connectWait = 500 * time.Millisecond
)

var errNoLeader = errors.New("no control host leads, as far as can be reached")

// syncer keeps a gateway in step with the leading control host.
type syncer struct {
	g *Gateway

	mu      sync.Mutex
	conn    *rpc.Conn // to the leader, nil while there is none
	addr    string
	members []string // control hosts heard of, beside the configured ones
	seeds   []string
	next    int // which address to try

	quiet *rpc.Conn // on which was told last that nothing waits or runs; of tell alone
}

func newSyncer(g *Gateway) *syncer {
	return &syncer{g: g, seeds: g.cfg.Control}
}

// SetControl replaces the configured control hosts.
func (g *Gateway) SetControl(addrs []string) {
	g.sync.mu.Lock()
	defer g.sync.mu.Unlock()
	g.sync.seeds = addrs
}

// candidates returns the addresses to try, in turn.
func (s *syncer) candidates() []string {
	out := slices.Clone(s.members)
	for _, a := range s.seeds {
		if !slices.Contains(out, a) {
			out = append(out, a)
		}
	}
	return out
}

// pull asks the leader for news until the gateway stops.
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
	p := wire.PullParams{Host: s.g.cfg.Host, Hold: pullHold, Leaving: s.g.draining.Load()}
	p.Term, p.Rev = s.g.dir.version()
	if t := s.g.table.Load(); t != nil {
		p.Version = t.Config().Version
	} else {
		p.First = true
	}
	var r wire.PullResult
	if err := conn.Call(ctx, wire.MethodPull, p, &r); err != nil {
		s.drop(conn, "")
		return err
	}
	if !r.Leading {
		s.learn(r.Members)
		s.drop(conn, r.Leader)
		return errNoLeader
	}
	s.take(r)
	return nil
}

// take puts an answer in force.
func (s *syncer) take(r wire.PullResult) {
	s.learn(r.Members)
	s.g.learnEntries(r.Entries)
	if r.Deployment != nil {
		s.g.deployed(*r.Deployment)
	}
	switch {
	case r.Endpoints == nil:
	case r.Delta:
		s.g.dir.update(r.Term, r.Rev, *r.Endpoints, r.Removed)
	default:
		s.g.dir.replace(r.Term, r.Rev, *r.Endpoints)
	}
	if r.ListAge >= 0 {
		s.g.dir.fresh(time.Now().Add(-r.ListAge), r.Running)
	}
}

func (s *syncer) learn(members []string) {
	if len(members) == 0 {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.members = members
}

// connect returns the connection to the leader, or to the next control host.
func (s *syncer) connect(ctx context.Context) (*rpc.Conn, error) {
	s.mu.Lock()
	conn, addr := s.conn, s.addr
	if conn == nil && addr == "" {
		all := s.candidates()
		if len(all) == 0 {
			s.mu.Unlock()
			return nil, errNoLeader
		}
		addr = all[s.next%len(all)]
		s.next++
	}
	s.mu.Unlock()
	if conn != nil {
		return conn, nil
	}
	ctx, cancel := context.WithTimeout(ctx, connectWait)
	defer cancel()
	conn, err := rpc.Dial(ctx, addr, s.g.cfg.Security, &s.g.met.rpc, refuse)
	s.mu.Lock()
	defer s.mu.Unlock()
	if err != nil {
		s.addr = ""
		return nil, err
	}
	s.conn, s.addr = conn, addr
	return conn, nil
}

// drop gives a connection up; next is the address to try, if known.
func (s *syncer) drop(conn *rpc.Conn, next string) {
	conn.Close()
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.conn == conn {
		s.conn, s.addr = nil, next
	}
}

// refuse answers what a control host asks: nothing.
func refuse(context.Context, *rpc.Conn, string, json.RawMessage) (any, error) {
	return nil, errors.New("an entry answers no calls")
}

// tell reports what waits and runs, at once when a request begins to wait.
func (s *syncer) tell(ctx context.Context) {
	t := time.NewTicker(tellEvery)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-t.C:
		case <-s.g.demands.urgent:
			time.Sleep(tellGather)
		}
		s.tellOnce(ctx)
	}
}

func (s *syncer) tellOnce(ctx context.Context) {
	s.mu.Lock()
	conn := s.conn
	s.mu.Unlock()
	if conn == nil {
		return // what waits is told again when there is a leader
	}
	p := wire.TellParams{Host: s.g.cfg.Host, Demands: s.g.demands.tell(time.Now()), Uses: s.g.dir.uses()}
	quiet := len(p.Demands)+len(p.Uses) == 0
	if quiet && s.quiet == conn {
		// Told once on a connection, nothing stays nothing. 370 idle entries that
		// say so five times a second each would cost the leader 7 % of a core. On
		// another connection it is said again: the last report may be lost.
		return
	}
	s.quiet = nil
	if quiet {
		s.quiet = conn
	}
	if err := conn.Notify(wire.MethodTell, p); err != nil {
		s.g.cfg.Log.Debug().Err(err).Msg("report_not_sent")
	}
}

// watchList reads the platform's list itself while the leader tells nothing.
func (s *syncer) watchList(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-time.After(listEvery/2 + rand.N(listEvery)):
		}
		if s.g.dir.age() < listStale {
			continue
		}
		s.readList(ctx)
	}
}

func (s *syncer) readList(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, listTimeout)
	defer cancel()
	begin := time.Now()
	eps, err := s.g.cfg.List(ctx)
	if err != nil {
		s.g.cfg.Log.Warn().Err(err).Msg("endpoint_list_failed")
		return
	}
	s.g.cfg.Log.Info().Int("endpoints", len(eps)).Msg("endpoint_list_read")
	s.g.dir.list(begin, eps)
}
