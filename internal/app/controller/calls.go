package controller

import (
	"context"
	"encoding/json"
	"fmt"
	"time"

	"github.com/cassiapass/cassiapass/internal/core/feature"
	"github.com/cassiapass/cassiapass/internal/core/ident"
	"github.com/cassiapass/cassiapass/internal/core/state"
	"github.com/cassiapass/cassiapass/internal/wire"
)

// maxHold bounds how long a pull may be held: pulls serve as the entry's
// heartbeats.
const maxHold = time.Second

// DeploymentChanged publishes a deployment that came into force on this host.
func (c *Controller) DeploymentChanged(d state.Deployment) { c.pub.setDeployment(d) }

// Handle answers the calls of entries. It fails on an unknown method and on parameters
// that cannot be decoded.
func (c *Controller) Handle(ctx context.Context, method string, raw json.RawMessage) (any, error) {
	switch method {
	case wire.MethodPull:
		var p wire.PullParams
		if err := json.Unmarshal(raw, &p); err != nil {
			return nil, err
		}
		return c.pull(ctx, p)
	case wire.MethodTell:
		var p wire.TellParams
		if err := json.Unmarshal(raw, &p); err != nil {
			return nil, err
		}
		c.acceptReport(p)
		return nil, nil
	case wire.MethodAllowance:
		var p wire.AllowanceParams
		if err := json.Unmarshal(raw, &p); err != nil {
			return nil, err
		}
		return c.allow.report(time.Now(), p), nil
	case wire.MethodPermits:
		var p wire.PermitParams
		if err := json.Unmarshal(raw, &p); err != nil {
			return nil, err
		}
		return c.limits.report(time.Now(), p), nil
	case wire.MethodStreams:
		var p wire.StreamParams
		if err := json.Unmarshal(raw, &p); err != nil {
			return nil, err
		}
		return c.findStream(ctx, p)
	case wire.MethodTrial:
		var p wire.TrialParams
		if err := json.Unmarshal(raw, &p); err != nil {
			return nil, err
		}
		return c.trial(ctx, p)
	}
	return nil, fmt.Errorf("method %q is not known", method)
}

// pull answers as soon as the entry is missing something, at the latest after the hold time.
func (c *Controller) pull(ctx context.Context, p wire.PullParams) (wire.PullResult, error) {
	if c.host == nil {
		return wire.PullResult{}, nil // still starting
	}
	c.recordPull(p)
	c.allow.recordPull(time.Now(), p)
	c.limits.recordPull(time.Now(), p)
	if p.First {
		// A starting process accepts any deployment; a partitioned leader that
		// has not stepped down yet would send it an old one.
		l := c.host.LeaderStatus()
		if err := c.host.ConfirmLeadership(ctx, l.Term); err != nil {
			return c.redirect(), nil
		}
	}
	timer := time.NewTimer(min(p.Hold, maxHold))
	defer timer.Stop()
	for {
		r, missing, wake := c.pub.answer(p)
		if !r.Leading {
			return c.redirect(), nil
		}
		if missing {
			r, err := c.pace(ctx, p.Host, r)
			r.Members = c.host.Members()
			return r, err
		}
		select {
		case <-wake.all:
		case <-wake.own:
		case <-timer.C:
			r, _, _ = c.pub.answer(p)
			r.Members = c.host.Members()
			return r, nil
		case <-ctx.Done():
			return r, ctx.Err()
		}
	}
}

const (
	// smallAnswer is the size in bytes below which an answer is sent at once, without pacing.
	smallAnswer = 2 << 10
	// maxSendWait bounds how long an answer waits for its slot on the link. It is
	// shorter than the time that the entry allows beyond the hold time.
	maxSendWait = 300 * time.Millisecond
)

// pace returns an answer when the link has capacity for it. If that takes longer than
// maxSendWait, it returns the answer without the endpoints and the deployment: the entry
// continues with its present state and calls again. Without pacing, a change to 1,500
// endpoints is sent to 300 entries at the same moment; the leader's heartbeats queue
// behind 16 MB, and another leader is elected, which sends all of it again.
func (c *Controller) pace(ctx context.Context, host ident.HostID, r wire.PullResult) (wire.PullResult, error) {
	size := len(r.Packed) + len(r.Deployment)
	if size < smallAnswer {
		return r, nil
	}
	wait, ok := c.pub.reserve(time.Now(), host, size)
	if !ok {
		wait = maxSendWait
		r.Endpoints, r.Packed, r.Removed, r.Deployment = nil, nil, nil, nil
	}
	select {
	case <-time.After(wait):
		return r, nil
	case <-ctx.Done():
		return r, ctx.Err()
	}
}

// redirect returns an answer that names the leader.
func (c *Controller) redirect() wire.PullResult {
	return wire.PullResult{Leader: c.host.LeaderAddr(), Members: c.host.Members()}
}

// recordPull records that an entry is alive, or that it is leaving.
func (c *Controller) recordPull(p wire.PullParams) {
	c.post(func(now time.Time) {
		if c.term == 0 {
			return
		}
		if p.Leaving {
			delete(c.entries, string(p.Host))
			return
		}
		c.entries[string(p.Host)] = now
	})
}

// acceptReport applies an entry's report of waiting and running requests and of ended endpoints.
func (c *Controller) acceptReport(p wire.TellParams) {
	c.post(func(now time.Time) {
		if c.planner != nil {
			c.applyReport(now, p)
		}
	})
}

// applyReport applies a report while this host leads.
func (c *Controller) applyReport(now time.Time, p wire.TellParams) {
	c.sharedHosts = c.sharedHosts || p.SharedHosts
	if c.enabled(feature.Foresight) {
		c.planner.RecordRates(now, string(p.Host), p.Rates)
	}
	c.planner.RecordDemand(now, string(p.Host), p.Demands, p.Uses)
	c.pub.recordInterest(now, p.Host, p.Demands)
	c.notices.Record(now, string(p.Host), p.Notices)
	c.recordPaces(p.Paces)
	c.planner.RecordObjectives(now, p.Objectives)
	c.recordEnds(now, p.Host, p.Ends, p.Answered)
}
