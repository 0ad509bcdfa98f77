package fleet

import (
	"slices"
	"time"

	"github.com/cassiapass/cassiapass/internal/core/poison"
)

// loadBlame is how long after the expected end of a load the end of its engine counts against
// the load: the list shows a dead engine for some seconds more.
const loadBlame = 6 * time.Second

// loadStays is how long a model or adapter is not loaded when engines ended under its loads.
// It is short beside a request's quarantine: one more engine a minute is what a wrong guess
// the other way may cost, and a model that is not loaded is refused to all who ask for it.
const loadStays = time.Minute

// lastLoad is the newest load that an engine was ordered.
type lastLoad struct {
	want  Want
	until time.Time // an end up to then counts against it; zero once a report showed the load done
}

// print names what a load brings. It needs no key: names of models are no secret here.
func (w Want) print() poison.Fingerprint {
	return poison.Key(nil).Fingerprint([]byte(w.Model), []byte(w.Adapter))
}

// noteEnd takes in that a start of an engine is gone. A model or adapter whose load ends
// whichever engine is ordered it would otherwise be carried from one to the next, as it is
// still asked for and nobody holds it. It is treated as a request is that ends engines: three
// different starts with no load of it done in between, and it is not loaded any more.
func (p *Planner) noteEnd(now time.Time, e *engine) {
	l := e.loaded
	if e.ep.Leaving || l.until.IsZero() || now.After(l.until) {
		return
	}
	if _, quarantined := p.deadly.Ended(now, poison.End{Request: l.want.print(), Start: string(e.ep.ID)}); quarantined {
		p.refused = append(p.refused, l.want)
	}
}

// noteLoaded takes in what a report shows to be held: loads of that end no engine.
func (p *Planner) noteLoaded(e *engine, held []Held) {
	if e.loaded.until.IsZero() && p.deadly.Len() == 0 {
		return
	}
	for _, h := range held {
		p.deadly.Clear(Want{Model: h.Model}.print())
		for _, a := range h.Adapters {
			p.deadly.Clear(Want{h.Model, a}.print())
		}
		if l := e.loaded.want; h.Model == l.Model && (l.Adapter == "" || slices.Contains(h.Adapters, l.Adapter)) {
			e.loaded = lastLoad{}
		}
	}
}

// noteUsed takes in that requests were sent to a start of an engine for what it was ordered to
// load, and that it did not say that it lacks it: the load had ended well, whatever came then.
// Symptom without it: a request that ends engines is sent to each as soon as its model is
// loaded, before any report; the model is blamed, and all who ask for it are refused.
func (p *Planner) noteUsed(u Use) {
	if u.Missing || u.Running+u.Begun == 0 {
		return
	}
	e, known := p.engines[u.Endpoint]
	switch {
	case !known && p.deadly.Len() > 0:
		p.deadly.Forgive(string(u.Endpoint))
	case known && e.loaded.want.Model == u.Want.Model && (e.loaded.want.Adapter == "" || e.loaded.want == u.Want):
		e.loaded = lastLoad{}
	}
}

// mayLoad reports whether a load has not ended too many engines.
func (p *Planner) mayLoad(now time.Time, w Want) bool {
	return p.deadly.Len() == 0 || !p.deadly.Standing(now, w.print()).Quarantined
}
