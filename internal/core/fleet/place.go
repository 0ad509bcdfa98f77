package fleet

import (
	"cmp"
	"fmt"
	"slices"
	"time"

	"github.com/cassiapass/cassiapass/internal/core/deploy"
)

// site is an engine that could load a model.
type site struct {
	e       *engine
	source  Source
	takes   time.Duration
	victims []string
	cost    float64 // seconds, including what the victims are worth
}

// place loads a model where that is soonest, or makes room for it there. With
// fetch it may come from the store though engines have copies.
func (p *Planner) place(now time.Time, name string, fetch bool, w *Work) {
	var best *site
	mayFetch := fetch || !p.copied(now, name) || p.oldest(name) > p.cfg.StorePatience
	for _, e := range p.engines {
		s, ok := p.site(now, e, name, mayFetch)
		if ok && (best == nil || s.cost < best.cost || (s.cost == best.cost && s.e.ep.ID < best.e.ep.ID)) {
			best = &s
		}
	}
	if best == nil {
		return
	}
	if len(best.victims) > 0 {
		p.give(now, best.e, Order{Op: Unload, Want: Want{Model: best.victims[0]}, Reason: "makes way for " + name + p.pressure(name)}, unloadTime, w)
		return
	}
	p.give(now, best.e, Order{Op: Load, Want: Want{Model: name}, Source: best.source, Reason: p.reason(now, name)}, best.takes, w)
}

// copied reports whether some engine that can be used has a copy of a model, in
// memory or on disk, though it may be at other work now.
func (p *Planner) copied(now time.Time, name string) bool {
	for _, e := range p.engines {
		_, m := p.spec(e, name)
		if m == nil || !e.usable(now) || e.has(Want{Model: name}) {
			continue
		}
		if src, _ := e.source(m); src != FromStore {
			return true
		}
	}
	return false
}

// oldest returns how long a request has waited for a model.
func (p *Planner) oldest(name string) time.Duration {
	var out time.Duration
	for w, d := range p.wants {
		if w.Model == name {
			out = max(out, d.oldest)
		}
	}
	return out
}

// reason tells why a model is loaded.
func (p *Planner) reason(now time.Time, name string) string {
	return fmt.Sprintf("held by %d, %.1f requests a second%s", p.holders(name), p.rate(now, name), p.pressure(name))
}

// pressure tells what waits for a model and its adapters.
func (p *Planner) pressure(name string) string {
	n, urgency := 0, time.Duration(0)
	for w, d := range p.wants {
		if w.Model != name {
			continue
		}
		n += d.waiting
		if urgency == 0 || d.urgency < urgency {
			urgency = d.urgency
		}
	}
	if n == 0 {
		return ", nothing waits"
	}
	return fmt.Sprintf(", %d wait, the first has %v left", n, urgency.Round(time.Millisecond))
}

// site tells what a load of a model at an engine would take.
func (p *Planner) site(now time.Time, e *engine, name string, mayFetch bool) (site, bool) {
	eng, m := p.spec(e, name)
	_, held := e.held[name]
	if m == nil || held || !e.usable(now) || e.order != nil || !e.known || e.doubt {
		return site{}, false
	}
	src, takes := e.source(m)
	if src == FromStore && (!mayFetch || !p.mayFetch(now, eng)) {
		return site{}, false
	}
	s := site{e: e, source: src, takes: takes, cost: takes.Seconds()}
	free := eng.Weights - e.weights(eng)
	for _, v := range p.victims(now, e, eng) {
		if free >= m.Megabytes {
			break
		}
		s.victims = append(s.victims, v.name)
		s.cost += v.cost + unloadTime.Seconds()
		free += eng.Models[v.name].Megabytes
	}
	if free < m.Megabytes {
		return site{}, false
	}
	if e.ep.Slots > 0 {
		s.cost += float64(e.running) / float64(e.ep.Slots)
	}
	return s, true
}

// victim is a model that could make way, with the expected cost in seconds.
type victim struct {
	name string
	cost float64
}

// victims returns the idle models of an engine, the cheapest to lose first. A
// model costs its reload times the chance that it is asked for soon; one that
// another engine holds too costs next to nothing.
func (p *Planner) victims(now time.Time, e *engine, eng *deploy.Engine) []victim {
	var out []victim
	for name, h := range e.held {
		m := eng.Models[name]
		if m == nil || p.runningOf(e, name) > 0 || now.Sub(h.used) < p.cfg.IdleModel || p.waitedFor(name) {
			continue
		}
		rate := p.rate(now, name)
		if p.holders(name) > 1 {
			rate /= 4 // the others take the requests meanwhile
		}
		// The longer unused, the less likely soon: LRU breaks equal rates.
		idle := now.Sub(h.used).Seconds()
		out = append(out, victim{name, min(rate, 2)*m.FromDisk.Seconds() + 0.05/(1+idle)})
	}
	slices.SortFunc(out, func(a, b victim) int { return cmp.Or(cmp.Compare(a.cost, b.cost), cmp.Compare(a.name, b.name)) })
	return out
}

func (p *Planner) runningOf(e *engine, name string) int {
	n := 0
	for w, r := range e.runs {
		if w.Model == name {
			n += r
		}
	}
	return n
}

func (p *Planner) waitedFor(name string) bool {
	for w := range p.wants {
		if w.Model == name {
			return true
		}
	}
	return false
}

func (p *Planner) holders(name string) int {
	n := 0
	for _, e := range p.holding[name] {
		if e.has(Want{Model: name}) && !e.ep.Leaving {
			n++
		}
	}
	return n
}
