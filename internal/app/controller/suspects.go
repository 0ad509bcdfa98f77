package controller

import (
	"context"
	"crypto/rand"
	"time"

	"github.com/cassiapass/cassiapass/internal/core/ident"
	"github.com/cassiapass/cassiapass/internal/core/poison"
	"github.com/cassiapass/cassiapass/internal/wire"
)

// sweepEvery is how often it is looked for quarantines that are over.
const sweepEvery = time.Second

// docket is what this leader knows of requests under which endpoints ended.
type docket struct {
	*poison.Docket
	reg    poison.Registry // as the log has it
	rev    uint64          // of what entries are told
	news   bool            // entries have not been told of all
	due    bool            // the log may differ from what is known here
	noting bool            // a note is under way
	tried  time.Time
	told   time.Time // when entries were told last
	swept  time.Time // when what is over was looked for last
}

// beginDocket takes up what the log says. What else the leader before knew, entries tell.
func (c *Controller) beginDocket(now time.Time) {
	reg := c.lead.Poison()
	c.docket = docket{Docket: poison.NewDocket(now, reg), reg: reg, news: true, due: true}
}

// hearEnds takes in what an entry saw of requests under which endpoints ended.
func (c *Controller) hearEnds(now time.Time, host ident.HostID, ends []poison.End, answered []poison.Fingerprint) {
	if c.term == 0 {
		return
	}
	d, urgent := &c.docket, false
	for _, f := range answered {
		was := d.Standing(now, f)
		if d.Clear(now, f) {
			d.news, d.due, urgent = true, d.due || was.Quarantined, urgent || was.Quarantined
			c.cfg.Log.Info().Stringer("fingerprint", f).Str("entry", string(host)).Int("ends", was.Ends).Bool("quarantined", was.Quarantined).Msg("request_cleared")
		}
	}
	for _, e := range ends {
		news, quarantined := d.Ended(now, e)
		if !news {
			continue
		}
		st := d.Standing(now, e.Request)
		d.news, d.due, urgent = true, d.due || quarantined, urgent || st.Ends > 1
		c.cfg.Log.Info().Stringer("fingerprint", e.Request).Str("endpoint", e.Start).Str("entry", string(host)).Int("ends", st.Ends).Msg("endpoint_ended_under_request")
		if quarantined {
			c.met.quarantined()
			c.cfg.Log.Warn().Stringer("fingerprint", e.Request).Strs("endpoints", d.StartsOf(e.Request)).Msg("request_quarantined")
		}
	}
	if urgent {
		c.tellSuspects(now)
	}
}

// tellSuspects shows entries the requests under which endpoints ended. Whoever came under
// one end only is told in its turn; a quarantine and what is one end short of it at once, as
// the next run takes an endpoint with all that runs there.
func (c *Controller) tellSuspects(now time.Time) {
	d := &c.docket
	if !d.news || len(d.reg.Key) == 0 {
		return
	}
	d.news, d.told = false, now
	d.rev++
	c.board.suspect(wire.Suspects{Mark: wire.SuspectMark{Term: c.term, Rev: d.rev}, Key: d.reg.Key, Told: d.Tell(now)})
}

// keepDocket notes in the log what is quarantined, so that it outlives every process, and
// the key with which all entries name requests.
func (c *Controller) keepDocket(now time.Time) {
	d := &c.docket
	if now.Sub(d.swept) >= sweepEvery {
		d.swept = now
		if len(d.Sweep(now)) > 0 {
			d.news, d.due = true, true
		}
	}
	if !d.due || d.noting || now.Sub(d.tried) < noteAgain {
		return
	}
	n, due := d.Due(d.reg)
	if len(d.reg.Key) == 0 {
		n.Key, due = make(poison.Key, poison.KeySize), true
		_, _ = rand.Read(n.Key) // never fails
	}
	d.due = due
	if !due {
		return
	}
	d.noting, d.tried = true, now
	go c.notePoison(c.term, n)
}

func (c *Controller) notePoison(term uint64, n poison.Note) {
	ctx, cancel := context.WithTimeout(c.ctx, noteTimeout)
	defer cancel()
	err := c.lead.NotePoison(ctx, n)
	if err != nil {
		c.cfg.Log.Warn().Uint64("term", term).Int("quarantined", len(n.Add)).Int("lifted", len(n.Lift)).Err(err).Msg("quarantine_not_noted")
	}
	c.post(func(now time.Time) {
		if c.term != term {
			return
		}
		c.docket.noting = false
		c.takeRegistry(now, c.lead.Poison())
	})
}

// Quarantined takes in that the quarantined requests changed on this host: an operator may
// have lifted one. It does not block: the caller is the loop of the control host, which the
// loop here waits for now and then.
func (c *Controller) Quarantined(poison.Registry) {
	go c.post(func(now time.Time) {
		if c.term != 0 {
			c.takeRegistry(now, c.lead.Poison()) // the newest, whichever change this is
		}
	})
}

// takeRegistry takes in what the log says. A quarantine that it held and holds no more was
// lifted.
func (c *Controller) takeRegistry(now time.Time, reg poison.Registry) {
	d := &c.docket
	d.news = d.news || len(d.reg.Key) == 0
	for _, old := range d.reg.Cases {
		if !reg.Has(old.Request) && d.Standing(now, old.Request).Quarantined && d.Clear(now, old.Request) {
			d.news = true
			c.cfg.Log.Info().Stringer("fingerprint", old.Request).Msg("request_lifted")
		}
	}
	d.reg = reg
	c.tellSuspects(now)
}
