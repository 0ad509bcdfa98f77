package controller

import "time"

const (
	// publishPerEntry is the least time between two announcements of changes to all, for
	// each entry that is told: every change wakes every entry's pull, and its answer costs
	// a third of a millisecond and some kB. Entries that wait for a change are told at once.
	publishPerEntry = 2 * time.Millisecond
	// publishAwaited is the least time between announcements to those that wait for them.
	publishAwaited = 10 * time.Millisecond
	// etaEvery is the time between looks at when models will be held: a caller who
	// learns that its model cannot come in time waits for at most this much longer.
	etaEvery = 40 * time.Millisecond
	// entryStays is how long an entry counts after it was last heard.
	entryStays = 3 * time.Second
)

// publish shows entries what changed: to those that wait for it soon, to all in their turn.
func (c *Controller) publish(now time.Time) {
	c.forgetSilent(now)
	c.board.running(c.planner.Loads(), len(c.entries))
	c.estimate(now)
	if now.Sub(c.docket.told) >= publishPerEntry*time.Duration(len(c.entries)) {
		c.tellSuspects(now)
	}
	c.news = c.planner.Changed() || c.news
	switch {
	case !c.news || !c.listOK:
	case now.Sub(c.told) >= publishPerEntry*time.Duration(len(c.entries)):
		c.planner.Awaited() // who waits is told with all
		c.news, c.told, c.toldSome = false, now, now
		c.rev++
		c.board.endpoints(c.rev, c.planner.Endpoints())
	case now.Sub(c.toldSome) >= publishAwaited:
		c.tellAwaited(now)
	}
}

// tellAwaited shows the present state to the entries that wait for something in it.
func (c *Controller) tellAwaited(now time.Time) {
	entries := c.planner.Awaited()
	if len(entries) == 0 {
		return
	}
	c.toldSome = now
	c.rev++
	c.board.endpointsTo(entries, c.rev, c.planner.Endpoints())
}

// forgetSilent drops what entries told that were not heard for long.
func (c *Controller) forgetSilent(now time.Time) {
	for h, at := range c.entries {
		if now.Sub(at) > entryStays {
			delete(c.entries, h)
			c.planner.Forget(h)
			c.cfg.Log.Warn().Str("entry", h).Msg("entry_silent")
		}
	}
}

// estimate shows entries when models that no engine holds will be held.
func (c *Controller) estimate(now time.Time) {
	if now.Sub(c.estimated) < etaEvery {
		return
	}
	c.estimated = now
	changed := c.etas.Take(now, c.planner.ETAs(now))
	if len(changed) == 0 {
		return
	}
	for _, o := range changed {
		if o.In > 0 {
			c.cfg.Log.Info().Str("model", o.Model).Dur("in", o.In).Msg("model_eta")
		}
	}
	c.planner.NoteETAs(changed)
	c.board.setETAs(now, c.rev+1, changed)
	c.news = true
}
