package fleet

// room is what engines do for a model or could.
type room struct {
	held   float64 // replicas, by pace
	copies int     // engines that could load it from a copy
}

// modelRoom is the room for one model, in all and by what may be lost together.
type modelRoom struct {
	all     room
	holders int
	largest *engine // the engine that holds most of all replicas, and held how much
	held    float64
	copy    *engine // an engine with a copy
	common  []loss  // losses that would take several engines and leave some
	taken   []room  // by these
}

func (r *modelRoom) reset() {
	*r = modelRoom{common: r.common, taken: r.taken}
	clear(r.taken)
}

// addHolder adds an engine that holds the model, as a part of a replica.
func (r *modelRoom) addHolder(e *engine, part float64) {
	if r.largest == nil || part > r.held || part == r.held && e.ep.ID < r.largest.ep.ID {
		r.largest, r.held = e, part
	}
	r.holders++
	r.add(e, room{held: part})
}

// addCopy adds an engine that could load the model from a copy.
func (r *modelRoom) addCopy(e *engine) {
	if r.copy == nil || e.ep.ID < r.copy.ep.ID {
		r.copy = e
	}
	r.add(e, room{copies: 1})
}

func (r *modelRoom) add(e *engine, one room) {
	r.all = r.all.plus(one)
	for _, i := range e.commonLosses {
		if i >= 0 {
			r.taken[i] = r.taken[i].plus(one)
		}
	}
}

func (r room) plus(o room) room { return room{r.held + o.held, r.copies + o.copies} }

// each calls f for each loss that matters, with what it would take. Of the losses of one engine
// these are that of the largest holder and that of one engine with a copy: no other would cost more.
func (r *modelRoom) each(f func(l loss, taken room)) {
	if r.largest != nil {
		f(lossesOf(r.largest)[0], room{held: r.held})
	}
	if r.copy != nil {
		f(lossesOf(r.copy)[0], room{copies: 1})
	}
	if r.holders > 1 {
		f(pairLoss, room{held: 2 * r.all.held / float64(r.holders)})
	}
	for i, l := range r.common {
		if r.taken[i] != (room{}) {
			f(l, r.taken[i])
		}
	}
}

// newRoom returns an empty modelRoom for the losses that would take several engines, but not all:
// for the loss of all nothing can be prepared. It tells each engine which of them would take it.
func (p *Planner) newRoom() *modelRoom {
	all, by := 0, map[loss]int{}
	for _, e := range p.engines {
		if eng, _ := p.spec(e, ""); eng == nil || e.ep.Leaving {
			continue
		}
		all++
		for _, l := range lossesOf(e) {
			by[l]++
		}
	}
	r := &modelRoom{}
	at := map[loss]int{}
	for l, n := range by {
		if n > 1 && n < all && l.name != "" {
			at[l] = len(r.common)
			r.common = append(r.common, l)
		}
	}
	r.taken = make([]room, len(r.common))
	for _, e := range p.engines {
		for i, l := range lossesOf(e) {
			e.commonLosses[i] = -1
			if n, common := at[l]; common {
				e.commonLosses[i] = n
			}
		}
	}
	return r
}
