package control

import (
	"context"
	"time"

	"github.com/cassiapass/cassiapass/internal/adapter/rpc"
	"github.com/cassiapass/cassiapass/internal/core/consensus"
	"github.com/cassiapass/cassiapass/internal/core/holder"
	"github.com/cassiapass/cassiapass/internal/core/state"
	"github.com/cassiapass/cassiapass/internal/wire"
)

// Deploy puts a deployment in force through whichever host leads and returns
// when a quorum has synced it and this host has applied what it answers from. A
// deployment that was sent before is answered without a new decision.
func (c *Control) Deploy(ctx context.Context, by string, d state.Deploy) (state.Result, error) {
	if _, err := c.loop.barrier(ctx); err != nil {
		return state.Result{}, err
	}
	var res state.Result
	known := false
	if err := c.loop.with(func() { res, known = c.loop.st.Deployed(d) }); err != nil {
		return res, err
	}
	if known {
		return res, nil
	}
	return c.Propose(ctx, state.Command{By: by, Deploy: &d})
}

// readHere is how long a read waits for this host's own copy before the leader is asked
// for its, and again between such calls. A host that follows is up to date within
// milliseconds.
const readHere = 300 * time.Millisecond

// confirmed is a deployment as a quorum confirmed it.
type confirmed struct {
	deployment state.Deployment
	err        error
}

// Deployment returns the deployment in force, as a quorum confirms it at the
// time of the call.
//
// A host that has come back empty knows the leader some time before it is a member and
// holds a copy; one that is behind gets there late. Without the leader's answer operators
// get none from it, although the group is whole. Each of the two answers is confirmed
// after the call began, so neither is older than it.
func (c *Control) Deployment(ctx context.Context) (state.Deployment, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	here, leader := make(chan confirmed, 1), make(chan confirmed, 1)
	go func() { here <- c.confirmedHere(ctx) }()
	go func() { leader <- c.confirmedByLeader(ctx) }()
	select {
	case r := <-here:
		return r.deployment, r.err
	case r := <-leader:
		return r.deployment, r.err
	}
}

// confirmedHere returns the deployment that this host holds, once that is known to be the
// newest.
func (c *Control) confirmedHere(ctx context.Context) confirmed {
	var r confirmed
	if _, r.err = c.loop.barrier(ctx); r.err != nil {
		return r
	}
	r.err = c.loop.with(func() { r.deployment = c.loop.st.Deployment() })
	return r
}

// confirmedByLeader asks the leader for the deployment that it holds until it answers or
// ctx ends, from readHere on.
func (c *Control) confirmedByLeader(ctx context.Context) confirmed {
	again := time.NewTicker(readHere)
	defer again.Stop()
	for {
		select {
		case <-ctx.Done():
			return confirmed{err: ErrNoLeader}
		case <-again.C:
		}
		if d, err := c.askLeader(ctx); err == nil {
			return confirmed{deployment: d}
		}
	}
}

// askLeader asks for the deployment at the address under which this host knows the leader,
// or was told of it.
func (c *Control) askLeader(ctx context.Context) (state.Deployment, error) {
	var d state.Deployment
	addr := c.LeaderAddr()
	if addr == "" || addr == c.Addr() {
		return d, ErrNoLeader
	}
	ctx, cancel := context.WithTimeout(ctx, forwardTimeout)
	defer cancel()
	conn, err := c.peers.dialOnce(ctx, addr)
	if err != nil {
		return d, err
	}
	defer conn.Close()
	err = conn.Call(ctx, wire.MethodDeployment, nil, &d)
	return d, err
}

// onDeployment answers a host whose own copy is behind. One that does not lead has nothing
// to tell that the other could not wait for itself.
func (c *Control) onDeployment(ctx context.Context) (any, error) {
	if c.leader() != c.id {
		return nil, rpc.ErrNotLeader
	}
	ctx, cancel := context.WithTimeout(ctx, forwardTimeout)
	defer cancel()
	r := c.confirmedHere(ctx)
	return r.deployment, r.err
}

// DeploymentHere returns the deployment as this host has applied it, without
// asking a quorum.
func (c *Control) DeploymentHere() state.Deployment {
	var d state.Deployment
	_ = c.loop.with(func() { d = c.loop.st.Deployment() })
	return d
}

// Lead is a host's standing as leader.
type Lead struct {
	Leading bool   // this host leads and has applied all that was decided before its term
	Term    uint64 // rises with every leader and is never used by two
}

// Lead returns this host's standing without asking a quorum.
func (c *Control) Lead() Lead {
	var l Lead
	_ = c.loop.with(func() { l = Lead{Leading: c.loop.node.LeadsSettled(), Term: c.loop.node.Term()} })
	return l
}

// ConfirmLead returns nil if a quorum confirms that this host still leads term.
// A host that was frozen believes that it leads until it hears otherwise, and
// its clock may have stood still meanwhile; one round trip to a quorum tells it
// before it gives an order.
func (c *Control) ConfirmLead(ctx context.Context, term uint64) error {
	if l := c.Lead(); !l.Leading || l.Term != term {
		return consensus.ErrNotLeader
	}
	if _, err := c.loop.readIndex(ctx); err != nil {
		return err
	}
	if l := c.Lead(); !l.Leading || l.Term != term {
		return consensus.ErrNotLeader
	}
	return nil
}

// Holder returns the newest note on who holds the engines, as this host has applied it.
func (c *Control) Holder() holder.Record {
	var r holder.Record
	_ = c.loop.with(func() { r = c.loop.st.Holder() })
	return r
}

// NoteHolder notes in the log that this host holds the engines. It returns nil when that
// is decided; a host that does not lead decides nothing.
func (c *Control) NoteHolder(ctx context.Context, r holder.Record) error {
	_, err := c.proposeHere(ctx, state.Command{By: "control", Holder: &r})
	return err
}

// noteDeployment tells the owner of a change of the deployment. It runs in the
// loop.
func (l *loop) noteDeployment() {
	d := l.st.Deployment()
	if l.onDeploy == nil || d.Revision == l.toldDeploy {
		return
	}
	l.toldDeploy = d.Revision
	l.onDeploy(d)
}
