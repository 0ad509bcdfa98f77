package fleet

import (
	"cmp"
	"net/netip"
	"slices"
	"time"
)

const (
	// foresightInterval is the time between two examinations of what a loss would cost. A
	// preparation takes 0.5 s and more, so nothing is gained by looking more often.
	foresightInterval = time.Second
	// mendFromCopy is the time until a model has another replica where an engine has a copy of
	// it: an unload and a load from disk.
	mendFromCopy = coldStart
	// minForeseenCost is the cost, in requests that find no room after one loss, from which a
	// preparation is worth a load: fewer requests wait for the mend without loss.
	minForeseenCost = 5.0
	// reportedShare is the share of the engines that must have reported before losses are judged.
	reportedShare = 0.9
)

// lossKind is what may be lost at once.
type lossKind string

const (
	lossOfEngine lossKind = "engine"
	lossOfHost   lossKind = "host"
	lossOfZone   lossKind = "zone"
	lossOfPair   lossKind = "holders" // any two engines that hold a model
)

// likelihood returns how much the cost of a loss counts relative to that of one engine. Zones end
// far less often, but then all mends wait for the store at once.
func (k lossKind) likelihood() float64 {
	switch k {
	case lossOfZone:
		return 0.5
	case lossOfPair:
		return 0.25
	}
	return 1
}

// loss names engines that may be lost together.
type loss struct {
	kind lossKind
	name string
}

// String returns the loss for logs.
func (l loss) String() string { return string(l.kind) + " " + l.name }

// pairLoss is the loss of two engines that hold a model.
var pairLoss = loss{lossOfPair, "two"}

// shortfall is what the worst single loss would cost the requests for one model.
type shortfall struct {
	model string
	loss  loss
	// cost is the number of requests that would find no room until the mend, by their weight.
	cost float64
	// fromStore is set if the mend would need the weight store.
	fromStore bool
}

// foresight holds what a planner knows of the losses that may come. Nil if it prepares for none.
type foresight struct {
	examinedAt time.Time
	shortfalls []shortfall // of the last examination, the costliest first
	preparing  preparations
}

// SetForesight sets whether replicas and copies are prepared for losses.
func (p *Planner) SetForesight(on bool) {
	switch {
	case !on:
		p.foresight = nil
	case p.foresight == nil:
		p.foresight = &foresight{}
	}
}

// requestWeight returns how much a request for a model counts by its urgency when losses are compared.
func (p *Planner) requestWeight(now time.Time, name string) float64 {
	rate := p.rate(now, name)
	if rate <= 0 {
		return 1
	}
	return p.weightedRate(now, name) / rate
}

// prepare examines what each loss would cost and issues at most one preparation. It comes last
// in a plan: what waits goes first.
func (p *Planner) prepare(now time.Time, w *Work) {
	f := p.foresight
	if f == nil {
		return
	}
	f.preparing.judge(now, p, w)
	if now.Sub(f.examinedAt) < foresightInterval || !p.mostReported() {
		return
	}
	f.examinedAt = now
	f.shortfalls = p.foresee(now)
	w.Foreseen = &Foreseen{Short: len(f.shortfalls)}
	p.prepareOne(now, w)
}

// foresee returns the models that a single loss would leave short of engines, the costliest
// first.
func (p *Planner) foresee(now time.Time) []shortfall {
	var out []shortfall
	r := p.newRoom()
	for name, m := range p.models {
		if rate := p.rateToProtect(now, m); rate >= busyRate {
			if s, short := p.shortfall(now, name, rate, r); short {
				out = append(out, s)
			}
		}
	}
	slices.SortFunc(out, func(a, b shortfall) int { return cmp.Or(cmp.Compare(b.cost, a.cost), cmp.Compare(a.model, b.model)) })
	return out
}

// mostReported reports whether enough engines have reported their copies to judge by. A new
// leader would otherwise fetch copies that exist.
func (p *Planner) mostReported() bool {
	all, known := 0, 0
	for _, e := range p.engines {
		if eng, _ := p.spec(e, ""); eng == nil {
			continue
		}
		all++
		if e.known {
			known++
		}
	}
	return float64(known) >= reportedShare*float64(all)
}

// lossesOf returns the losses that would take an engine.
func lossesOf(e *engine) [3]loss {
	return [...]loss{{lossOfEngine, e.ep.Name()}, {lossOfHost, e.host}, {lossOfZone, string(e.ep.Zone)}}
}

// hostOf returns the address of an endpoint's host; "" if it is not known.
func hostOf(ep Endpoint) string {
	a, err := netip.ParseAddrPort(ep.Addr)
	if err != nil {
		return ""
	}
	return a.Addr().String()
}

// shortfall returns what the worst single loss would cost the requests for a model, and whether
// it would cost enough to matter. Engines that leave count as lost already.
func (p *Planner) shortfall(now time.Time, name string, rate float64, r *modelRoom) (shortfall, bool) {
	r.reset()
	for _, e := range p.survey.holding[name] {
		if e.has(Want{Model: name}) && e.usable(now) {
			r.addHolder(e, p.replicaPart(e, name))
		}
	}
	for e := range p.copies.engines(name) {
		if _, held := e.held[name]; !held && p.couldLoad(now, e, name) {
			r.addCopy(e)
		}
	}
	need := rate / p.ratePerReplica(name)
	weight := p.requestWeight(now, name)
	worst := shortfall{model: name}
	r.each(func(l loss, taken room) {
		left := room{r.all.held - taken.held, r.all.copies - taken.copies}
		cost, fromStore := p.lossCost(name, rate, need, left)
		cost *= weight * l.kind.likelihood()
		if cost > worst.cost || cost == worst.cost && compareLosses(l, worst.loss) < 0 {
			worst = shortfall{name, l, cost, fromStore}
		}
	})
	return worst, worst.cost >= minForeseenCost
}

func compareLosses(a, b loss) int {
	return cmp.Or(cmp.Compare(a.kind, b.kind), cmp.Compare(a.name, b.name))
}

// replicaPart returns how much of a replica an engine is that holds a model: what its limit and its
// pace allow, on the slots that other models leave.
func (p *Planner) replicaPart(e *engine, name string) float64 {
	part := max(1-p.replicaLoss(e, name), 0)
	if e.ep.Slots > 0 {
		part *= 1 - min(float64(e.running-e.runningOf(name))/float64(e.ep.Slots), 1)
	}
	return part
}

// couldLoad reports whether an engine that has a copy of a model could load it soon. It need not
// be idle: an order for a load from disk ends within a second.
func (p *Planner) couldLoad(now time.Time, e *engine, name string) bool {
	eng, m := p.spec(e, name)
	if m == nil || !e.usable(now) || (e.order != nil && e.order.Source == FromStore) {
		return false
	}
	if e.order != nil {
		return true
	}
	free := p.free(e, eng)
	for held := range e.held {
		if free >= m.Megabytes {
			break
		}
		if o := eng.Models[held]; o != nil && e.runningOf(held) == 0 {
			free += o.Megabytes
		}
	}
	return free >= m.Megabytes
}

// lossCost returns how many requests for a model would find no room, given what a loss leaves,
// and whether the mend would need the store.
func (p *Planner) lossCost(name string, rate, need float64, left room) (cost float64, fromStore bool) {
	short := need - left.held
	if short <= 0 {
		return 0, false
	}
	// What is left runs at up to 1/Crowded times the rate for which replicas are planned.
	without := max(rate-left.held*p.ratePerReplica(name)/p.cfg.Crowded, 0)
	mended := min(float64(left.copies), short)
	store := short - mended
	// A part of a replica that no copy brings matters only if nothing else serves the model.
	if store < 0.5 && left.held+mended > 0 {
		return without * mendFromCopy.Seconds(), false
	}
	return without * (mended*mendFromCopy.Seconds() + store*p.storeLoadTime(name).Seconds()) / short, true
}
