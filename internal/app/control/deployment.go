package control

import (
	"context"

	"github.com/cassiapass/cassiapass/internal/core/consensus"
	"github.com/cassiapass/cassiapass/internal/core/holder"
	"github.com/cassiapass/cassiapass/internal/core/state"
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

// Deployment returns the deployment in force, as a quorum confirms it at the
// time of the call.
func (c *Control) Deployment(ctx context.Context) (state.Deployment, error) {
	var d state.Deployment
	if _, err := c.loop.barrier(ctx); err != nil {
		return d, err
	}
	err := c.loop.with(func() { d = c.loop.st.Deployment() })
	return d, err
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
