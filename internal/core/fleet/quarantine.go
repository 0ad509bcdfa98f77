package fleet

import (
	"slices"
	"time"

	"github.com/cassiapass/cassiapass/internal/core/poison"
)

// loadFaultWindow is how long after the expected end of a load the end of its engine is
// attributed to the load: the list shows a dead engine for some seconds more.
const loadFaultWindow = 6 * time.Second

// loadQuarantine is how long a model or adapter is not loaded after engines ended under its
// loads. It is shorter than a request's quarantine: ending it too early costs at most one
// more engine a minute, while every request for a model in quarantine is refused.
const loadQuarantine = time.Minute

// lastLoad is the newest load that an engine was ordered to carry out.
type lastLoad struct {
	want  Want
	until time.Time // an end of the engine up to then is attributed to the load; zero once the load is known to be done
}

// fingerprint identifies what a load brings. It needs no key: names of models are not secret
// here.
func (w Want) fingerprint() poison.Fingerprint {
	return poison.Key(nil).Fingerprint([]byte(w.Model), []byte(w.Adapter))
}

// recordEnd records that an incarnation of an engine has ended. Without it, a model or
// adapter whose load ends every engine would be ordered on one engine after the other, as it
// is still requested and no engine holds it. Such a load is treated like a request that ends
// engines: after the ends of three different incarnations with no completed load of it in
// between, it is not loaded any more.
func (p *Planner) recordEnd(now time.Time, e *engine) {
	l := e.newestLoad
	if e.ep.Leaving || l.until.IsZero() || now.After(l.until) {
		return
	}
	if _, quarantined := p.loadFaults.Ended(now, poison.End{Request: l.want.fingerprint(), Incarnation: string(e.ep.ID)}); quarantined {
		p.newlyQuarantined = append(p.newlyQuarantined, l.want)
	}
}

// recordLoaded clears the ends of engines that were attributed to loads of what a report
// shows as held: the load completed without ending the engine.
func (p *Planner) recordLoaded(e *engine, held []Held) {
	if e.newestLoad.until.IsZero() && p.loadFaults.Len() == 0 {
		return
	}
	for _, h := range held {
		p.loadFaults.Clear(Want{Model: h.Model}.fingerprint())
		for _, a := range h.Adapters {
			p.loadFaults.Clear(Want{h.Model, a}.fingerprint())
		}
		if l := e.newestLoad.want; h.Model == l.Model && (l.Adapter == "" || slices.Contains(h.Adapters, l.Adapter)) {
			e.newestLoad = lastLoad{}
		}
	}
}

// recordUsed records that requests were sent to an incarnation of an engine for what it was
// ordered to load, and that the engine did not report it missing: the load completed,
// whatever happened afterwards. Without this, a request that ends engines, which is sent to
// each as soon as its model is loaded and before any report, would put the model in
// quarantine, and all requests for it would be refused.
func (p *Planner) recordUsed(u Use) {
	if u.Missing || u.Running+u.Sent == 0 {
		return
	}
	e, known := p.engines[u.Endpoint]
	switch {
	case !known && p.loadFaults.Len() > 0:
		p.loadFaults.Retract(string(u.Endpoint))
	case known && e.newestLoad.want.Model == u.Want.Model && (e.newestLoad.want.Adapter == "" || e.newestLoad.want == u.Want):
		e.newestLoad = lastLoad{}
	}
}

// mayLoad reports whether w is not in quarantine for ending engines.
func (p *Planner) mayLoad(now time.Time, w Want) bool {
	return p.loadFaults.Len() == 0 || !p.loadFaults.Standing(now, w.fingerprint()).Quarantined
}
