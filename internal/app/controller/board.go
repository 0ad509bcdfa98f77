package controller

import (
	"reflect"
	"sync"
	"time"

	"github.com/cassiapass/cassiapass/internal/core/fleet"
	"github.com/cassiapass/cassiapass/internal/core/state"
	"github.com/cassiapass/cassiapass/internal/wire"
)

// board is what the controller shows entries. Calls read it without waiting
// for the loop.
type board struct {
	mu      sync.Mutex
	leading bool
	term    uint64
	rev     uint64
	eps     map[fleet.EndpointID]shown
	removed map[fleet.EndpointID]uint64 // to the revision that removed it
	floor   uint64                      // removals up to here are forgotten
	runs    map[fleet.EndpointID]int
	count   int
	read    time.Time // of the platform's list
	dep     state.Deployment
	changed chan struct{} // closed and replaced at each change worth telling
}

// shown is an endpoint with the revision that changed it last.
type shown struct {
	rev uint64
	ep  fleet.Endpoint
}

// mostRemoved bounds the removals kept for entries that lag; those further
// behind get the whole list.
const mostRemoved = 1000

func newBoard() *board {
	b := &board{changed: make(chan struct{})}
	b.clear()
	return b
}

// set changes the board and wakes waiting calls.
func (b *board) set(f func()) {
	b.mu.Lock()
	defer b.mu.Unlock()
	f()
	close(b.changed)
	b.changed = make(chan struct{})
}

func (b *board) retire() { b.set(func() { b.leading = false; b.clear() }) }

func (b *board) clear() {
	b.rev, b.floor = 0, 0
	b.eps, b.removed = map[fleet.EndpointID]shown{}, map[fleet.EndpointID]uint64{}
}

func (b *board) lead(term uint64) {
	b.set(func() { b.leading, b.term, b.read = true, term, time.Time{}; b.clear() })
}

// endpoints shows a new state of all endpoints. Entries are told what changed
// since the revision that they hold: the whole list would be 170 kB for each
// change at 1,100 endpoints.
func (b *board) endpoints(rev uint64, eps []fleet.Endpoint) {
	b.set(func() {
		b.rev = rev
		listed := make(map[fleet.EndpointID]bool, len(eps))
		for _, ep := range eps {
			listed[ep.ID] = true
			delete(b.removed, ep.ID)
			if old, known := b.eps[ep.ID]; !known || !reflect.DeepEqual(old.ep, ep) {
				b.eps[ep.ID] = shown{rev, ep}
			}
		}
		for id := range b.eps {
			if !listed[id] {
				delete(b.eps, id)
				b.removed[id] = rev
			}
		}
		if len(b.removed) > mostRemoved {
			b.floor, b.removed = rev, map[fleet.EndpointID]uint64{}
		}
	})
}

// news fills in what an entry that holds revision from lacks. The caller holds
// mu.
func (b *board) news(r *wire.PullResult, term, from uint64) {
	r.Delta = term == b.term && from != 0 && from >= b.floor
	var out []fleet.Endpoint
	for _, s := range b.eps {
		if !r.Delta || s.rev > from {
			out = append(out, s.ep)
		}
	}
	for id, rev := range b.removed {
		if r.Delta && rev > from {
			r.Removed = append(r.Removed, id)
		}
	}
	r.Endpoints = &out
}

// deploy takes a deployment in; an older one is ignored.
func (b *board) deploy(d state.Deployment) {
	b.set(func() {
		if d.Version > b.dep.Version {
			b.dep = d
		}
	})
}

func (b *board) deployment() state.Deployment {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.dep
}

func (b *board) listed(at time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.read = at
}

// running sets what runs where. It wakes nobody: it changes all the time and
// travels with whatever is told next.
func (b *board) running(runs map[fleet.EndpointID]int, entries int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.runs, b.count = runs, entries
}

// answer returns what an entry lacks, and whether that is anything.
func (b *board) answer(p wire.PullParams) (wire.PullResult, bool, <-chan struct{}) {
	b.mu.Lock()
	defer b.mu.Unlock()
	r := wire.PullResult{Leading: b.leading, Term: b.term, Rev: b.rev, Running: b.runs, Entries: b.count}
	if !b.leading {
		return r, true, b.changed
	}
	if !b.read.IsZero() {
		r.ListAge = time.Since(b.read)
	} else {
		r.ListAge = -1
	}
	news := false
	if b.rev != 0 && (b.term != p.Term || b.rev != p.Rev) {
		b.news(&r, p.Term, p.Rev)
		news = true
	}
	if b.dep.Version > p.Version {
		d := b.dep
		r.Deployment, news = &d, true
	}
	return r, news, b.changed
}
