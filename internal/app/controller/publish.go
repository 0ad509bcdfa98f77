package controller

import "time"

const (
	// publishPerEntry, multiplied by the number of entries, is the minimum time between
	// two publications to all entries: each one ends the pull of every entry, and an answer
	// costs a third of a millisecond and some kB. Entries that wait for a change get it
	// earlier.
	publishPerEntry = 2 * time.Millisecond
	// awaitedInterval is the minimum time between publications to waiting entries alone.
	awaitedInterval = 10 * time.Millisecond
	// etaInterval is the interval at which the ETAs of models are updated. It bounds the
	// additional wait of a caller whose model cannot be ready in time.
	etaInterval = 40 * time.Millisecond
	// entryTimeout is the time without a pull after which an entry is dropped.
	entryTimeout = 3 * time.Second
)

// publish makes changes visible to entries: soon to those that wait for them, less often
// to all.
func (c *Controller) publish(now time.Time) {
	c.dropSilentEntries(now)
	c.pub.setLoads(c.planner.Loads(), len(c.entries))
	c.publishETAs(now)
	c.publishLimits(now)
	if now.Sub(c.suspects.publishedAt) >= publishPerEntry*time.Duration(len(c.entries)) {
		c.publishSuspects(now)
	}
	c.unpublished = c.planner.TakeChanged() || c.unpublished
	if settled := c.streams.settled(); !settled.Equal(c.published) {
		c.published, c.unpublished = settled, true
	}
	switch {
	case !c.unpublished || !c.listOK:
	case c.rev == 0 && c.streams.isCommitting():
		// The first publication waits until the log names the releases: all entries would get
		// the whole list again, once they are settled.
	case now.Sub(c.publishedAll) >= publishPerEntry*time.Duration(len(c.entries)):
		c.planner.TakeAwaitingEntries() // resets it; the waiting entries are among all
		c.unpublished, c.publishedAll, c.publishedAny = false, now, now
		c.rev++
		c.pub.publishAll(c.rev, c.markSettled(c.planner.Endpoints()))
	case now.Sub(c.publishedAny) >= awaitedInterval:
		c.publishAwaited(now)
	}
	if !c.unpublished {
		c.pub.setListShown()
	}
}

// publishAwaited publishes the present state to the entries that wait for something in it.
func (c *Controller) publishAwaited(now time.Time) {
	entries := c.planner.TakeAwaitingEntries()
	if len(entries) == 0 {
		return
	}
	c.publishedAny = now
	c.rev++
	c.pub.publishTo(entries, c.rev, c.markSettled(c.planner.Endpoints()))
}

// dropSilentEntries drops entries that have been silent for too long, and their reports.
func (c *Controller) dropSilentEntries(now time.Time) {
	for h, at := range c.entries {
		if now.Sub(at) > entryTimeout {
			delete(c.entries, h)
			c.planner.Forget(h)
			c.pub.forgetInterest(h)
			c.cfg.Log.Warn().Str("entry", h).Msg("entry_silent")
		}
	}
}

// publishETAs publishes when models that no engine holds are expected to be loaded.
func (c *Controller) publishETAs(now time.Time) {
	if now.Sub(c.etasUpdated) < etaInterval {
		return
	}
	c.etasUpdated = now
	changed := c.etas.Update(now, c.planner.ETAs(now))
	if len(changed) == 0 {
		return
	}
	for _, o := range changed {
		if o.In > 0 {
			c.cfg.Log.Info().Str("model", o.Model).Dur("in", o.In).Msg("model_eta")
		}
	}
	c.planner.RecordETAs(changed)
	c.pub.setETAs(now, c.rev+1, changed)
	c.unpublished = true
}
