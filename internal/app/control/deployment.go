package control

import (
	"context"
	"time"

	"github.com/cassiapass/cassiapass/internal/adapter/rpc"
	"github.com/cassiapass/cassiapass/internal/core/consensus"
	"github.com/cassiapass/cassiapass/internal/core/holder"
	"github.com/cassiapass/cassiapass/internal/core/release"
	"github.com/cassiapass/cassiapass/internal/core/state"
	"github.com/cassiapass/cassiapass/internal/wire"
)

// Deploy puts a deployment in force through the current leader. It returns when a quorum has
// synced the deployment and the host that answers has applied it. A repeated deployment is
// answered without another command.
func (c *Control) Deploy(ctx context.Context, by string, d state.Deploy) (state.Result, error) {
	if _, err := c.loop.barrier(ctx); err != nil {
		return state.Result{}, err
	}
	var res state.Result
	known := false
	if err := c.loop.do(func() { res, known = c.loop.st.CheckDeploy(d) }); err != nil {
		return res, err
	}
	if known {
		return res, nil
	}
	return c.Propose(ctx, state.Command{By: by, Deploy: &d})
}

// leaderReadInterval is how long a read waits for this host's own copy before it asks the
// leader, and the interval between such calls. A follower is up to date within
// milliseconds.
const leaderReadInterval = 300 * time.Millisecond

// confirmed is a deployment that a quorum has confirmed to be the newest.
type confirmed struct {
	deployment state.Deployment
	err        error
}

// Deployment returns the deployment in force, as confirmed by a quorum at the
// time of the call.
//
// It asks the leader as well as the local copy. A host that restarted empty knows the leader
// some time before it is a member and holds a copy, and one that lags catches up late.
// Without the leader's answer, operators get none from such a host although the group is
// healthy. Each of the two answers is confirmed after the call began, so neither is older
// than the call.
func (c *Control) Deployment(ctx context.Context) (state.Deployment, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	local, leader := make(chan confirmed, 1), make(chan confirmed, 1)
	go func() { local <- c.confirmedLocally(ctx) }()
	go func() { leader <- c.confirmedByLeader(ctx) }()
	select {
	case r := <-local:
		return r.deployment, r.err
	case r := <-leader:
		return r.deployment, r.err
	}
}

// confirmedLocally returns the deployment of this host's own state, once a quorum has
// confirmed that it is the newest.
func (c *Control) confirmedLocally(ctx context.Context) confirmed {
	var r confirmed
	if _, r.err = c.loop.barrier(ctx); r.err != nil {
		return r
	}
	r.err = c.loop.do(func() { r.deployment = c.loop.st.Deployment() })
	return r
}

// confirmedByLeader asks the leader for its deployment at each leaderReadInterval until it
// answers or ctx ends.
func (c *Control) confirmedByLeader(ctx context.Context) confirmed {
	again := time.NewTicker(leaderReadInterval)
	defer again.Stop()
	for {
		select {
		case <-ctx.Done():
			return confirmed{err: ErrNoLeader}
		case <-again.C:
		}
		if d, err := c.readFromLeader(ctx); err == nil {
			return confirmed{deployment: d}
		}
	}
}

// readFromLeader requests the deployment at the leader's address, which this host knows
// itself or received from another host.
func (c *Control) readFromLeader(ctx context.Context) (state.Deployment, error) {
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

// onDeployment answers a host whose own copy lags. Only the leader answers: another host
// knows nothing that the caller could not wait for itself.
func (c *Control) onDeployment(ctx context.Context) (any, error) {
	if c.leader() != c.id {
		return nil, rpc.ErrNotLeader
	}
	ctx, cancel := context.WithTimeout(ctx, forwardTimeout)
	defer cancel()
	r := c.confirmedLocally(ctx)
	return r.deployment, r.err
}

// LocalDeployment returns the deployment as this host has applied it, without
// asking a quorum.
func (c *Control) LocalDeployment() state.Deployment {
	var d state.Deployment
	_ = c.loop.do(func() { d = c.loop.st.Deployment() })
	return d
}

// LeaderStatus describes whether a host leads.
type LeaderStatus struct {
	Leading bool   // this host leads and has applied all that was decided before its term
	Term    uint64 // rises with every leader and is never used by two
}

// LeaderStatus returns whether this host leads, and its term, without asking a quorum.
func (c *Control) LeaderStatus() LeaderStatus {
	var l LeaderStatus
	_ = c.loop.do(func() { l = LeaderStatus{Leading: c.loop.node.LeaderCaughtUp(), Term: c.loop.node.Term()} })
	return l
}

// ConfirmLeadership returns nil if a quorum confirms that this host still leads term.
// A host that was suspended takes itself for the leader until it learns otherwise, and
// its clock may have stopped meanwhile; one round trip to a quorum detects this before it
// gives an order.
func (c *Control) ConfirmLeadership(ctx context.Context, term uint64) error {
	if l := c.LeaderStatus(); !l.Leading || l.Term != term {
		return consensus.ErrNotLeader
	}
	if _, err := c.loop.readIndex(ctx); err != nil {
		return err
	}
	if l := c.LeaderStatus(); !l.Leading || l.Term != term {
		return consensus.ErrNotLeader
	}
	return nil
}

// Holder returns the newest record of which host holds the engines, as this host has
// applied it.
func (c *Control) Holder() holder.Record {
	var r holder.Record
	_ = c.loop.do(func() { r = c.loop.st.Holder() })
	return r
}

// CommitHolder records in the log that this host holds the engines. It returns nil when the
// record is committed, and an error on a host that does not lead.
func (c *Control) CommitHolder(ctx context.Context, r holder.Record) error {
	_, err := c.proposeHere(ctx, state.Command{By: "control", Holder: &r})
	return err
}

// Releases returns which releases of endpoints have served lately, and at which of them streams may
// begin, as this host has applied it.
func (c *Control) Releases() (served, settled release.Served) {
	_ = c.loop.do(func() { served, settled = c.loop.st.Releases() })
	return served, settled
}

// CommitReleases records both in the log. It fails on a host that does not lead.
func (c *Control) CommitReleases(ctx context.Context, served, settled release.Served) error {
	_, err := c.proposeHere(ctx, state.Command{By: "control", Releases: &served, Settled: &settled})
	return err
}

// FindStream returns the release that began a stream, if the log names it as this host has applied it.
func (c *Control) FindStream(id release.StreamID) (release.Name, bool) {
	var n release.Name
	found := false
	_ = c.loop.do(func() { n, found = c.loop.st.FindStream(id) })
	return n, found
}

// Streams returns all streams of which the log names the release that began them.
func (c *Control) Streams() release.Origins {
	var out release.Origins
	_ = c.loop.do(func() { out = c.loop.st.Streams() })
	return out
}

// CommitStreams records in the log which releases began streams. It fails on a host that does not lead.
func (c *Control) CommitStreams(ctx context.Context, n release.Note) error {
	_, err := c.proposeHere(ctx, state.Command{By: "control", Streams: n})
	return err
}

// notifyDeployment calls onDeploy if the deployment has changed. It runs in the
// loop.
func (l *loop) notifyDeployment() {
	d := l.st.Deployment()
	if l.onDeploy == nil || d.Revision == l.notifiedDeploy {
		return
	}
	l.notifiedDeploy = d.Revision
	l.onDeploy(d)
}
