package fleet

import (
	"cmp"
	"slices"
	"time"

	"github.com/cassiapass/cassiapass/internal/core/deploy"
)

// survey is what one plan looks up again and again. Worked out for each request
// that waits and each engine anew, a plan with 50 requests waiting before 54
// engines takes 6.3 ms, and one with 20 before 1,100 takes 290 ms; with it 0.9 ms
// and 10 ms (BenchmarkPlan). A leader on half a core that plans some hundred times
// a second falls seconds behind what it is told.
type survey struct {
	holding map[string][]*engine // model to the engines that hold it
	holders map[string]int       // model to how many of these go on holding it
	loading map[Want][]*engine   // to the engines that load it
	waited  map[string]bool      // models that requests wait for
	rooms   map[*engine]*room    // filled in when first asked for
	fixed   map[*deploy.Engine]fixed
}

// fixed is what follows from an engine's description alone.
type fixed struct {
	reserve int64 // megabytes kept for adapters
	largest int64 // megabytes of the largest model
}

// room is what an engine could take in.
type room struct {
	free    int64    // megabytes
	victims []victim // models that could make way, the cheapest to lose first
}

func (p *Planner) survey() *survey {
	s := &survey{holding: make(map[string][]*engine, len(p.models)), holders: make(map[string]int, len(p.models)), loading: map[Want][]*engine{}, waited: make(map[string]bool, len(p.wants)),
		rooms: make(map[*engine]*room, len(p.engines)), fixed: map[*deploy.Engine]fixed{}}
	for _, e := range p.engines {
		for name := range e.held {
			s.holding[name] = append(s.holding[name], e)
			if !e.ep.Leaving && !e.unloading(Want{Model: name}) {
				s.holders[name]++
			}
		}
		if e.order != nil && e.order.Op == Load {
			s.loading[e.order.Want] = append(s.loading[e.order.Want], e)
		}
	}
	for w := range p.wants {
		s.waited[w.Model] = true
	}
	return s
}

// room returns what an engine that has no order under way could take in.
func (p *Planner) room(now time.Time, e *engine, eng *deploy.Engine) *room {
	r, known := p.look.rooms[e]
	if known {
		return r
	}
	r = &room{free: p.free(e, eng), victims: p.victims(now, e, eng)}
	p.look.rooms[e] = r
	return r
}

// free returns the megabytes that an engine has free for models.
func (p *Planner) free(e *engine, eng *deploy.Engine) int64 {
	return eng.Weights - e.weights(eng) - p.look.of(eng).reserve
}

// of returns what follows from an engine's description.
func (s *survey) of(eng *deploy.Engine) fixed {
	f, known := s.fixed[eng]
	if !known {
		f.reserve = adapterReserve(eng)
		for _, m := range eng.Models {
			f.largest = max(f.largest, m.Megabytes)
		}
		s.fixed[eng] = f
	}
	return f
}

// victim is a model that could make way, with the expected cost in seconds.
type victim struct {
	name string
	cost float64
}

// idleModel returns how long a model must be unused before it makes way: the less it
// is asked for, the shorter, since entries tell the end of its last request at once.
// Gain, with that: places for rare models are free 0.2 s sooner of 2.7 s; worth 0.010
// and 0.008 more on two deployments, 20 days each. If a request comes after all, the
// unload waits for it, or the engine says that it did not run it.
func (p *Planner) idleModel(now time.Time, name string) time.Duration {
	return time.Duration(float64(p.cfg.IdleModel) * min(1, p.rate(now, name)/busyRate))
}

// busyRate is the rate, in requests a second, from which on a model keeps its place for
// the whole idle time.
const busyRate = 1.0

// victims returns the idle models of an engine, the cheapest to lose first. A
// model costs its reload times the chance that it is asked for soon; one that
// another engine holds too costs next to nothing.
func (p *Planner) victims(now time.Time, e *engine, eng *deploy.Engine) []victim {
	var out []victim
	for name, h := range e.held {
		m := eng.Models[name]
		if m == nil || p.look.waited[name] || now.Sub(h.used) < p.idleModel(now, name) || e.runningOf(name) > 0 {
			continue
		}
		out = append(out, victim{name, p.loss(now, name, h, m)})
	}
	sortVictims(out)
	return out
}

// loss returns what it costs, in seconds, that an engine loses a model.
func (p *Planner) loss(now time.Time, name string, h *held, m *deploy.Model) float64 {
	rate := p.rate(now, name)
	if p.look.holders[name] > 1 {
		rate /= 4 // the others take the requests meanwhile
	}
	// The longer unused, the less likely soon: LRU breaks equal rates.
	return min(rate, 2)*m.FromDisk.Seconds() + 0.05/(1+now.Sub(h.used).Seconds())
}

func sortVictims(vs []victim) {
	slices.SortFunc(vs, func(a, b victim) int { return cmp.Or(cmp.Compare(a.cost, b.cost), cmp.Compare(a.name, b.name)) })
}

// spares returns the models of an engine that are in use but held elsewhere too, where
// there is room for what runs here. Symptom without them: every place is taken by models
// that are never idle, one of them in two places, and a model that none holds is not
// loaded for 12 s and more. The unload waits for what runs.
func (p *Planner) spares(now time.Time, e *engine, eng *deploy.Engine, idle []victim) []victim {
	var out []victim
	for name, h := range e.held {
		m := eng.Models[name]
		known := slices.ContainsFunc(idle, func(v victim) bool { return v.name == name })
		if m == nil || known || p.look.waited[name] || !p.takenOver(now, e, name) {
			continue
		}
		out = append(out, victim{name, p.loss(now, name, h, m)})
	}
	sortVictims(out)
	return out
}

// takenOver reports whether the other engines that hold a model could take its requests
// at e over and would still not be crowded.
func (p *Planner) takenOver(now time.Time, e *engine, name string) bool {
	room := 0.0
	others := 0
	for _, o := range p.look.holding[name] {
		if o == e || !o.has(Want{Model: name}) || !o.usable(now) {
			continue
		}
		others++
		room += max(0, p.cfg.Crowded*float64(o.ep.Slots)-float64(o.running))
	}
	return others > 0 && room >= float64(e.runningOf(name))
}
