package fleet

// copyIndex finds the engines with a copy of a model. It is kept from plan to plan: made
// anew for each, it would take as long as the rest of a plan at 180 engines.
type copyIndex struct {
	byModel map[string]map[*engine]bool
	of      map[*engine]map[string]Source // as indexed
}

func newCopyIndex() copyIndex {
	return copyIndex{byModel: map[string]map[*engine]bool{}, of: map[*engine]map[string]Source{}}
}

// refresh takes in the copies of an engine if they have changed.
func (x copyIndex) refresh(e *engine) {
	if !e.copiesChanged {
		return
	}
	e.copiesChanged = false
	x.drop(e)
	x.of[e] = e.copies
	for name := range e.copies {
		if x.byModel[name] == nil {
			x.byModel[name] = map[*engine]bool{}
		}
		x.byModel[name][e] = true
	}
}

// drop forgets an engine.
func (x copyIndex) drop(e *engine) {
	for name := range x.of[e] {
		delete(x.byModel[name], e)
	}
	delete(x.of, e)
}

// engines returns the engines with a copy of a model, in memory or on disk, in no order.
func (x copyIndex) engines(name string) map[*engine]bool { return x.byModel[name] }
