package controller

import (
	"context"
	"time"

	"github.com/cassiapass/cassiapass/internal/core/holder"
)

const (
	// commitTimeout bounds one attempt to commit a record of the engines' holder or of
	// quarantines: a commit takes some 5 ms.
	commitTimeout = time.Second
	// commitRetryPause is the minimum time between attempts.
	commitRetryPause = 200 * time.Millisecond
)

// holding is the progress of this leader towards holding the engines. It sends no orders
// before the log records it as their holder. See package holder.
type holding struct {
	allowedFrom time.Time // when it may become the holder
	recorded    bool      // the log records it as the holder: it may send orders
	recordedAt  time.Time // when that was recorded
	settled     bool      // the log records that it has held them for a lease
	committing  bool      // a commit is in progress
	attemptedAt time.Time // start of the last attempt to commit
}

// beginHolding determines from the last recorded holder how long this leader must wait
// before its first order.
func (c *Controller) beginHolding(now time.Time) {
	if c.cfg.Lease == 0 {
		c.cfg.Log.Warn().Uint64("term", c.term).Msg("lease_not_named")
		c.holding = holding{recorded: true, settled: true}
		return
	}
	last := c.host.Holder()
	wait := holder.Wait(last, c.cfg.Host, c.cfg.Lease)
	c.holding = holding{allowedFrom: now.Add(wait)}
	c.cfg.Log.Info().Uint64("term", c.term).Uint64("last_term", last.Term).Str("last", string(last.Host)).Bool("settled", last.Settled).Dur("wait", wait).Msg("orders_wait")
}

// updateHolding commits what is due: first that this leader holds the engines, later that it
// has settled, which is that it has held them for a lease and orderTimeout.
func (c *Controller) updateHolding(now time.Time) {
	h := &c.holding
	switch {
	case h.settled || h.committing || now.Sub(h.attemptedAt) < commitRetryPause:
		return
	case !h.recorded && now.Before(h.allowedFrom), h.recorded && !holder.Settled(now.Sub(h.recordedAt), c.cfg.Lease, orderTimeout):
		return
	}
	h.committing, h.attemptedAt = true, now
	go c.commitHolder(holder.Record{Term: c.term, Host: c.cfg.Host, Settled: h.recorded})
}

func (c *Controller) commitHolder(r holder.Record) {
	ctx, cancel := context.WithTimeout(c.ctx, commitTimeout)
	defer cancel()
	err := c.host.CommitHolder(ctx, r)
	if err != nil {
		c.cfg.Log.Warn().Uint64("term", r.Term).Bool("settled", r.Settled).Err(err).Msg("holder_not_noted")
	}
	c.post(func(now time.Time) {
		if c.term != r.Term {
			return
		}
		c.holding.committing = false
		switch {
		case err != nil:
		case r.Settled:
			c.holding.settled = true
		default:
			c.holding.recorded, c.holding.recordedAt = true, now
		}
	})
}
