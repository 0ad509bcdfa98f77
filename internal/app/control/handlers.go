package control

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"time"

	"github.com/cassiapass/cassiapass/internal/adapter/rpc"
	"github.com/cassiapass/cassiapass/internal/core/consensus"
	"github.com/cassiapass/cassiapass/internal/core/ident"
	"github.com/cassiapass/cassiapass/internal/core/state"
	"github.com/cassiapass/cassiapass/internal/wire"
)

// handle dispatches calls from other processes of the system.
func (c *Control) handle(ctx context.Context, conn *rpc.Conn, method string, raw json.RawMessage) (any, error) {
	<-c.started
	switch method {
	case wire.MethodRaft:
		return nil, c.onRaft(raw)
	case wire.MethodPing:
		return nil, nil
	case wire.MethodPropose:
		return c.onPropose(ctx, raw)
	case wire.MethodSubscribe:
		return c.onSubscribe(conn, raw)
	case wire.MethodBeat:
		return c.onBeat(conn, raw)
	case wire.MethodSessions:
		return c.onSessions(raw)
	case wire.MethodDemand:
		return c.onDemand(ctx, raw)
	case wire.MethodFresh:
		return c.onFresh(ctx)
	case wire.MethodClaim:
		return c.onClaim(ctx, raw)
	case wire.MethodCommit:
		return c.onCommit(ctx, raw)
	case wire.MethodStatus:
		return c.ControlStatus(), nil
	case wire.MethodMember:
		return c.onMember(ctx, raw)
	case wire.MethodJoin:
		return c.onJoin(ctx, raw)
	case wire.MethodGreet:
		return c.onGreet(raw)
	case wire.MethodDeployment:
		return c.onDeployment(ctx)
	}
	if c.cfg.Methods != nil {
		return c.cfg.Methods(ctx, method, raw)
	}
	return nil, fmt.Errorf("method %q is not known", method)
}

func (c *Control) onRaft(raw json.RawMessage) error {
	msgs, err := decode[[]consensus.Message](raw)
	if err != nil {
		return err
	}
	c.loop.post(func() {
		now := time.Now()
		for _, m := range msgs {
			if c.loop.roster != nil {
				c.loop.roster.RecordMessage(now, m.From)
			}
			c.loop.heard[m.From] = now
			c.loop.watch.observeMessage(now, m)
			c.loop.node.Step(m)
		}
	})
	return nil
}

const forwardTimeout = 5 * time.Second

func (c *Control) onPropose(ctx context.Context, raw json.RawMessage) (any, error) {
	p, err := decode[wire.ProposeParams](raw)
	if err != nil {
		return nil, err
	}
	ctx, cancel := context.WithTimeout(ctx, forwardTimeout)
	defer cancel()
	res, err := c.proposeHere(ctx, p.Command)
	if errors.Is(err, consensus.ErrNotLeader) || errors.Is(err, consensus.ErrTransferring) {
		return res, rpc.ErrNotLeader
	}
	return res, err
}

func (c *Control) onSubscribe(conn *rpc.Conn, raw json.RawMessage) (any, error) {
	p, err := decode[wire.SubscribeParams](raw)
	if err != nil {
		return nil, err
	}
	if p.From.Index != 0 && p.From.Group != c.cfg.Group {
		return nil, fmt.Errorf("this host serves group %q, not %q", c.cfg.Group, p.From.Group)
	}
	res := c.hub.subscribe(conn, p.Process, p.From.Index)
	res.To.Group = c.cfg.Group
	c.cfg.Log.Debug().Str("process", string(p.Process.Host)).Uint64("from", uint64(p.From.Index)).Msg("subscribed")
	return res, nil
}

func (c *Control) onBeat(conn *rpc.Conn, raw json.RawMessage) (any, error) {
	b, err := decode[wire.Beat](raw)
	if err != nil {
		return nil, err
	}
	return c.hub.beat(conn, b), nil
}

func (c *Control) onSessions(raw json.RawMessage) (any, error) {
	s, err := decode[wire.Sessions](raw)
	if err != nil {
		return nil, err
	}
	err = c.loop.do(func() { c.loop.duties.processBeats(time.Now(), c.loop, s.Beats) })
	return wire.SessionsResult{Entries: c.hub.liveEntries()}, err
}

// onDemand answers on the leader; other hosts forward the call to it.
func (c *Control) onDemand(ctx context.Context, raw json.RawMessage) (any, error) {
	p, err := decode[wire.DemandParams](raw)
	if err != nil {
		return nil, err
	}
	leader := c.leader()
	if leader != c.id {
		var res wire.DemandResult
		ctx, cancel := context.WithTimeout(ctx, forwardTimeout)
		defer cancel()
		err := c.peers.call(ctx, leader, wire.MethodDemand, p, &res)
		return res, err
	}
	var res wire.DemandResult
	settled := false
	err = c.loop.do(func() {
		d := c.loop.duties
		if d.term == 0 || !c.loop.node.LeaderCaughtUp() {
			return
		}
		settled = true
		res = d.handleDemand(time.Now(), c.loop, p)
		c.loop.node.Flush()
	})
	if err == nil && !settled {
		err = ErrNoLeader
	}
	return res, err
}

func (c *Control) onFresh(ctx context.Context) (any, error) {
	ctx, cancel := context.WithTimeout(ctx, forwardTimeout)
	defer cancel()
	i, err := c.loop.readIndex(ctx)
	return wire.FreshResult{Index: ident.Index(i)}, err
}

func (c *Control) onClaim(ctx context.Context, raw json.RawMessage) (any, error) {
	p, err := decode[wire.ClaimParams](raw)
	if err != nil {
		return nil, err
	}
	ctx, cancel := context.WithTimeout(ctx, forwardTimeout)
	defer cancel()
	return c.Propose(ctx, state.Command{By: "claim", Open: p.Open, Settle: p.Settle})
}

// onCommit commits a command of an agent (its registration or the state of one of its
// replicas) or of an entry (requests that were running when an endpoint ended). Other
// commands come from operators or from control itself and are rejected here.
func (c *Control) onCommit(ctx context.Context, raw json.RawMessage) (any, error) {
	p, err := decode[wire.ProposeParams](raw)
	if err != nil {
		return nil, err
	}
	seen := p.Command.Poison
	if p.Command.Endpoint == nil && p.Command.Replica == nil && (seen == nil || len(seen.Add)+len(seen.Lift) > 0) {
		return nil, fmt.Errorf("agents may register and report replicas, entries tell what they saw of requests, nothing else")
	}
	ctx, cancel := context.WithTimeout(ctx, forwardTimeout)
	defer cancel()
	return c.Propose(ctx, p.Command)
}

func (c *Control) onMember(ctx context.Context, raw json.RawMessage) (any, error) {
	p, err := decode[wire.MemberParams](raw)
	if err != nil {
		return nil, err
	}
	return c.ChangeMember(ctx, p)
}

// ChangeMember changes the membership through the leader and returns when the
// change is committed. A change that is refused is in the result, not in the error.
func (c *Control) ChangeMember(ctx context.Context, p wire.MemberParams) (wire.MemberResult, error) {
	leader := c.leader()
	if leader == consensus.None {
		return wire.MemberResult{Reason: ErrNoLeader.Error()}, nil
	}
	if leader != c.id {
		var res wire.MemberResult
		err := c.peers.call(ctx, leader, wire.MethodMember, p, &res)
		return res, err
	}
	ch := make(chan proposalResult, 1)
	if !c.loop.post(func() { c.loop.changeMember(p, ch) }) {
		return wire.MemberResult{}, ErrStopped
	}
	select {
	case r := <-ch:
		if r.err != nil {
			behind := errors.Is(r.err, consensus.ErrMemberBehind) || errors.Is(r.err, consensus.ErrChangePending)
			return wire.MemberResult{Reason: r.err.Error(), Behind: behind}, nil
		}
		return wire.MemberResult{Done: true}, nil
	case <-ctx.Done():
		return wire.MemberResult{Reason: ErrLost.Error()}, nil
	}
}

func (l *loop) changeMember(p wire.MemberParams, ch chan<- proposalResult) {
	if p.Transfer {
		ch <- proposalResult{err: l.node.Transfer(p.Member.ID)}
		return
	}
	i, err := l.node.ProposeMembership(p.Member, p.Remove)
	if err != nil {
		ch <- proposalResult{err: err}
		return
	}
	l.wait(i, ch, nil)
}

// ControlStatus describes this host for operators.
func (c *Control) ControlStatus() wire.ControlStatus {
	s := wire.ControlStatus{Group: c.cfg.Group}
	_ = c.loop.do(func() {
		s.Node = c.loop.node.Status()
		s.Config = c.loop.st.Config()
	})
	s.Subscribers, s.InForce = c.hub.status()
	return s
}
