package fleet

import (
	"cmp"
	"slices"
	"time"

	"github.com/cassiapass/cassiapass/internal/core/deploy"
)

// survey holds what one plan looks up repeatedly. If it were computed again for each waiting
// request and each engine, a leader on half a core would fall seconds behind the reports
// that it receives (BenchmarkPlan).
type survey struct {
	holding      map[string][]*engine     // model to the engines that hold it
	holders      map[string]int           // model to how many engines will go on holding it
	loading      map[Want][]*engine       // model or adapter to the engines that load it
	longestWait  map[string]time.Duration // models that requests wait for, to the longest wait so far
	crowded      map[string]bool          // models whose engines are all crowded
	missing      []string                 // recently requested models that no engine holds, by falling request rate
	blockedRates map[*engine]float64      // computed on first use
	copiesAtRisk map[*engine]float64      // computed on first use
	storeQueue   []string                 // models that wait for a slot of the store, in order
	busy         []string                 // models with busyRate or more, the busiest first
	free         []*engine                // engines that may get an order
	capacities   map[*engine]*capacity    // computed on first use
	specLimits   map[*deploy.Engine]specLimits
}

// specLimits is what follows from an engine's description alone.
type specLimits struct {
	reserve int64 // megabytes kept for adapters
	largest int64 // megabytes of the largest model
}

// capacity is the memory that an engine has free or could free.
type capacity struct {
	free    int64    // megabytes
	victims []victim // models that could be evicted, the cheapest to lose first
}

func (p *Planner) buildSurvey(now time.Time) *survey {
	s := &survey{holding: make(map[string][]*engine, len(p.models)), holders: make(map[string]int, len(p.models)), loading: map[Want][]*engine{}, longestWait: make(map[string]time.Duration, len(p.wants)), crowded: map[string]bool{}, blockedRates: map[*engine]float64{}, copiesAtRisk: map[*engine]float64{},
		capacities: make(map[*engine]*capacity, len(p.engines)), specLimits: map[*deploy.Engine]specLimits{}}
	for _, e := range p.engines {
		p.copies.refresh(e)
		if e.usable(now) && e.order == nil && e.known && !e.needsReport {
			s.free = append(s.free, e)
		}
		for name := range e.held {
			s.holding[name] = append(s.holding[name], e)
			if e.serves(now) && !e.unloading(Want{Model: name}) {
				s.holders[name]++
			}
		}
		if e.order != nil && e.order.Op == Load {
			s.loading[e.order.Want] = append(s.loading[e.order.Want], e)
		}
	}
	for w, d := range p.wants {
		s.longestWait[w.Model] = max(s.longestWait[w.Model], d.oldest)
	}
	s.busy = p.busiest(now)
	return s
}

// capacity returns the capacity of an engine that has no pending order.
func (p *Planner) capacity(now time.Time, e *engine, eng *deploy.Engine) *capacity {
	c, known := p.survey.capacities[e]
	if known {
		return c
	}
	c = &capacity{free: p.free(e, eng), victims: p.victims(now, e, eng)}
	p.survey.capacities[e] = c
	return c
}

// free returns the megabytes that an engine has free for models.
func (p *Planner) free(e *engine, eng *deploy.Engine) int64 {
	return eng.ModelMegabytes - e.weights(eng) - p.survey.limitsOf(eng).reserve
}

// limitsOf returns what follows from an engine's description.
func (s *survey) limitsOf(eng *deploy.Engine) specLimits {
	l, known := s.specLimits[eng]
	if !known {
		l.reserve = adapterReserve(eng)
		for _, m := range eng.Models {
			l.largest = max(l.largest, m.Megabytes)
		}
		s.specLimits[eng] = l
	}
	return l
}

// victim is a model that could be evicted, with the cost of losing it: for victims an
// expected time in seconds, for spareable the request rate. Only costs of one kind are compared.
type victim struct {
	name string
	cost float64
}

// idleTime returns how long a model must be unused before it may be evicted: the lower its
// request rate, the shorter, since entries report the end of its last request at once. If a
// request arrives after all, the unload waits for it, or the engine answers that it did not
// run it.
func (p *Planner) idleTime(now time.Time, name string) time.Duration {
	return time.Duration(float64(p.cfg.ModelIdleTime) * min(1, p.rate(now, name)/busyRate))
}

// busyRate is the rate, in requests a second, from which a model is kept for the whole idle
// time.
const busyRate = 1.0

// victims returns the idle models of an engine, the cheapest to lose first. The cost of a
// model is its load time from disk multiplied by its request rate, up to 2 a second, as a
// measure of how likely it is requested soon, and by the weight of its requests. The rate counts a quarter for a model that
// another engine holds as well.
func (p *Planner) victims(now time.Time, e *engine, eng *deploy.Engine) []victim {
	var out []victim
	for name, h := range e.held {
		m := eng.Models[name]
		if _, waited := p.survey.longestWait[name]; m == nil || waited || now.Sub(h.lastUsed) < p.idleTime(now, name) || e.runningOf(name) > 0 {
			continue
		}
		rate := p.rate(now, name)
		if p.survey.holders[name] > 1 && !p.tight(now, name) {
			rate /= 4 // the other engines serve the requests meanwhile
		}
		// The longer unused, the less likely to be requested soon: LRU decides between equal
		// rates.
		idle := now.Sub(h.lastUsed).Seconds()
		out = append(out, victim{name, min(rate, 2)*p.weight(now, name)*m.FromDisk.Seconds() + 0.05/(1+idle)})
	}
	slices.SortFunc(out, func(a, b victim) int { return cmp.Or(cmp.Compare(a.cost, b.cost), cmp.Compare(a.name, b.name)) })
	return out
}
