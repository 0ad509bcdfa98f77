package controller

import (
	"context"
	"crypto/rand"
	"time"

	"github.com/cassiapass/cassiapass/internal/core/ident"
	"github.com/cassiapass/cassiapass/internal/core/poison"
	"github.com/cassiapass/cassiapass/internal/wire"
)

// sweepInterval is the interval between checks for quarantines that have ended.
const sweepInterval = time.Second

// suspectState is what this leader knows of requests under which endpoints ended.
type suspectState struct {
	*poison.LeaderBook
	reg         poison.Registry // as committed to the log
	rev         uint64          // last published revision
	unpublished bool            // some changes are not published yet
	due         bool            // the log may differ from the state here
	committing  bool            // a commit is in progress
	attemptedAt time.Time       // start of the last attempt to commit
	publishedAt time.Time       // last publication to entries
	sweptAt     time.Time       // last check for quarantines that have ended
	trials      poison.Trials   // of suspect parts of prompts
}

// beginSuspects starts from the registry in the log. What the previous leader knew beyond it
// comes from the reports of entries.
func (c *Controller) beginSuspects(now time.Time) {
	reg := c.host.Poison()
	c.suspects = suspectState{LeaderBook: poison.NewLeaderBook(now, reg), reg: reg, unpublished: true, due: true}
}

// recordEnds applies an entry's report of requests under which endpoints ended, and of suspect
// requests that ran without ending one.
func (c *Controller) recordEnds(now time.Time, host ident.HostID, ends []poison.End, answered []poison.Fingerprint) {
	if c.term == 0 {
		return
	}
	d, urgent := &c.suspects, false
	for _, f := range answered {
		was, part := d.Standing(now, f), d.IsPart(f)
		d.trials.Cleared(f)
		if d.Clear(now, f) {
			d.unpublished, d.due, urgent = true, d.due || was.Quarantined, urgent || was.Quarantined || part
			c.cfg.Log.Info().Stringer("fingerprint", f).Str("entry", string(host)).Int("ends", was.Ends).Bool("quarantined", was.Quarantined).Bool("part", part).Msg("request_cleared")
		}
	}
	for _, e := range ends {
		d.trials.Over(string(host), e.Request)
		isNew, quarantined := d.Ended(now, e)
		if !isNew {
			continue
		}
		st := d.Standing(now, e.Request)
		// The end may have shown that another part's trial proved nothing: what is due is worked out
		// from the book.
		d.unpublished, d.due, urgent = true, d.due || quarantined || e.Part, urgent || st.Ends > 1 || e.Part
		c.cfg.Log.Info().Stringer("fingerprint", e.Request).Str("endpoint", e.Incarnation).Str("entry", string(host)).Int("ends", st.Ends).Bool("part", e.Part).Bool("trial", e.Trial).Msg("endpoint_ended_under_request")
		if quarantined {
			c.met.countQuarantined()
			c.cfg.Log.Warn().Stringer("fingerprint", e.Request).Bool("part", e.Part).Strs("endpoints", d.IncarnationsOf(e.Request)).Msg("request_quarantined")
		}
	}
	if urgent {
		c.publishSuspects(now)
	}
}

// trial answers an entry that asks for a trial.
func (c *Controller) trial(ctx context.Context, p wire.TrialParams) (wire.TrialResult, error) {
	answer := make(chan wire.TrialResult, 1)
	c.post(func(now time.Time) { answer <- c.takeTrial(now, p) })
	select {
	case r := <-answer:
		return r, nil
	case <-ctx.Done():
		return wire.TrialResult{}, ctx.Err()
	case <-c.ctx.Done():
		return wire.TrialResult{}, c.ctx.Err()
	}
}

func (c *Controller) takeTrial(now time.Time, p wire.TrialParams) wire.TrialResult {
	if c.term == 0 {
		return wire.TrialResult{}
	}
	d, by := &c.suspects, string(p.Host)
	for _, f := range p.Over {
		d.trials.Over(by, f)
	}
	for _, f := range p.Take {
		if d.Standing(now, f).Quarantined {
			return wire.TrialResult{Leading: true}
		}
	}
	granted := len(p.Take) > 0 && d.MayTry(now) && d.trials.Take(now, by, p.Take)
	for _, f := range p.Take {
		c.cfg.Log.Info().Stringer("fingerprint", f).Str("entry", by).Int("parts", len(p.Take)).Int("ends", d.Standing(now, f).Ends).Bool("granted", granted).Msg("suspect_trial")
	}
	return wire.TrialResult{Leading: true, Granted: granted}
}

// publishSuspects publishes the requests under which endpoints ended. Callers do so at once when
// a quarantine is set or lifted, for a request one end short of it, as the next run may end another
// endpoint with all requests there, and for parts of prompts. A request under which one endpoint
// ended waits for the next regular publication.
func (c *Controller) publishSuspects(now time.Time) {
	d := &c.suspects
	if !d.unpublished || len(d.reg.Key) == 0 {
		return
	}
	d.unpublished, d.publishedAt = false, now
	d.rev++
	c.pub.publishSuspects(wire.Suspects{Mark: wire.SuspectMark{Term: c.term, Rev: d.rev}, Key: d.reg.Key, Told: d.Updates(now)})
}

// commitDueQuarantines commits to the log the quarantines, which then survive a restart of all
// processes, and the key from which all entries compute fingerprints of requests.
func (c *Controller) commitDueQuarantines(now time.Time) {
	d := &c.suspects
	if now.Sub(d.sweptAt) >= sweepInterval {
		d.sweptAt = now
		d.trials.Sweep(now)
		if len(d.Sweep(now)) > 0 {
			d.unpublished, d.due = true, true
		}
	}
	if !d.due || d.committing || now.Sub(d.attemptedAt) < commitRetryPause {
		return
	}
	n, due := d.PendingChange(d.reg)
	if len(d.reg.Key) == 0 {
		n.Key, due = make(poison.Key, poison.KeySize), true
		_, _ = rand.Read(n.Key) // never fails
	}
	d.due = due
	if !due {
		return
	}
	d.committing, d.attemptedAt = true, now
	go c.commitQuarantines(c.term, n)
}

func (c *Controller) commitQuarantines(term uint64, n poison.Change) {
	ctx, cancel := context.WithTimeout(c.ctx, commitTimeout)
	defer cancel()
	err := c.host.CommitPoison(ctx, n)
	if err != nil {
		c.cfg.Log.Warn().Uint64("term", term).Int("quarantined", len(n.Add)).Int("lifted", len(n.Lift)).Err(err).Msg("quarantine_not_noted")
	}
	c.post(func(now time.Time) {
		if c.term != term {
			return
		}
		c.suspects.committing = false
		c.applyRegistry(now, c.host.Poison())
	})
}

// QuarantineChanged applies a change of the quarantined requests on this host: an operator may have
// lifted a quarantine. It does not block: the caller is the loop of the control host, for
// which the loop here sometimes waits.
func (c *Controller) QuarantineChanged(poison.Registry) {
	go c.post(func(now time.Time) {
		if c.term != 0 {
			c.applyRegistry(now, c.host.Poison()) // the newest, which may be later than this change
		}
	})
}

// applyRegistry applies the registry in the log. A quarantine that has disappeared from it was
// lifted.
func (c *Controller) applyRegistry(now time.Time, reg poison.Registry) {
	d := &c.suspects
	d.unpublished = d.unpublished || len(d.reg.Key) == 0
	for _, old := range d.reg.Cases {
		if !reg.Has(old.Request) && d.Standing(now, old.Request).Quarantined && d.Clear(now, old.Request) {
			d.unpublished = true
			c.cfg.Log.Info().Stringer("fingerprint", old.Request).Msg("request_lifted")
		}
	}
	d.reg = reg
	c.publishSuspects(now)
}
