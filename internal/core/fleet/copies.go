package fleet

// copyIndex finds the engines with a copy of a model. It is kept from plan to plan:
// rebuilding it for each would take as long as the rest of a plan at 180 engines.
type copyIndex struct {
	byModel  map[string]map[*engine]bool
	byEngine map[*engine]map[string]Source // the copies as indexed
}

func newCopyIndex() copyIndex {
	return copyIndex{byModel: map[string]map[*engine]bool{}, byEngine: map[*engine]map[string]Source{}}
}

// refresh updates the index for an engine whose copies have changed.
func (x copyIndex) refresh(e *engine) {
	if !e.copiesChanged {
		return
	}
	e.copiesChanged = false
	x.drop(e)
	x.byEngine[e] = e.copies
	for name := range e.copies {
		if x.byModel[name] == nil {
			x.byModel[name] = map[*engine]bool{}
		}
		x.byModel[name][e] = true
	}
}

// drop removes an engine from the index.
func (x copyIndex) drop(e *engine) {
	for name := range x.byEngine[e] {
		delete(x.byModel[name], e)
	}
	delete(x.byEngine, e)
}

// engines returns the engines with a copy of a model, in memory or on disk, in no particular
// order.
func (x copyIndex) engines(name string) map[*engine]bool { return x.byModel[name] }
