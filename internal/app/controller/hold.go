package controller

import (
	"context"
	"time"

	"github.com/cassiapass/cassiapass/internal/core/holder"
)

const (
	// noteTimeout bounds one try to note who holds the engines: a commit takes some 5 ms.
	noteTimeout = time.Second
	// noteAgain is the pause after a try that failed.
	noteAgain = 200 * time.Millisecond
)

// hold is where this leader stands on the way to giving orders.
type hold struct {
	from    time.Time // when it may order
	noted   bool      // the log says that it holds the engines: it orders
	since   time.Time // when that was noted
	settled bool      // the log says that it has held them for a lease
	noting  bool      // a note is under way
	tried   time.Time
}

// beginHold looks up who held the engines before this leader.
func (c *Controller) beginHold(now time.Time) {
	if c.cfg.Lease == 0 {
		c.cfg.Log.Warn().Uint64("term", c.term).Msg("lease_not_named")
		c.hold = hold{noted: true, settled: true}
		return
	}
	last := c.lead.Holder()
	wait := holder.Wait(last, c.cfg.Host, c.cfg.Lease)
	c.hold = hold{from: now.Add(wait)}
	c.cfg.Log.Info().Uint64("term", c.term).Uint64("last_term", last.Term).Str("last", string(last.Host)).Bool("settled", last.Settled).Dur("wait", wait).Msg("orders_wait")
}

// keepHold notes what is due: that this leader holds the engines, and that it has done
// so for a lease.
func (c *Controller) keepHold(now time.Time) {
	h := &c.hold
	switch {
	case h.settled || h.noting || now.Sub(h.tried) < noteAgain:
		return
	case !h.noted && now.Before(h.from), h.noted && !holder.Settled(now.Sub(h.since), c.cfg.Lease, orderTimeout):
		return
	}
	h.noting, h.tried = true, now
	go c.noteHolder(holder.Record{Term: c.term, Host: c.cfg.Host, Settled: h.noted})
}

func (c *Controller) noteHolder(r holder.Record) {
	ctx, cancel := context.WithTimeout(c.ctx, noteTimeout)
	defer cancel()
	err := c.lead.NoteHolder(ctx, r)
	if err != nil {
		c.cfg.Log.Warn().Uint64("term", r.Term).Bool("settled", r.Settled).Err(err).Msg("holder_not_noted")
	}
	c.post(func(now time.Time) {
		if c.term != r.Term {
			return
		}
		c.hold.noting = false
		switch {
		case err != nil:
		case r.Settled:
			c.hold.settled = true
		default:
			c.hold.noted, c.hold.since = true, now
		}
	})
}
