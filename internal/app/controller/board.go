package controller

import (
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
	eps     []fleet.Endpoint
	runs    map[fleet.EndpointID]int
	count   int
	read    time.Time // of the platform's list
	dep     state.Deployment
	changed chan struct{} // closed and replaced at each change worth telling
}

func newBoard() *board { return &board{changed: make(chan struct{})} }

// set changes the board and wakes waiting calls.
func (b *board) set(f func()) {
	b.mu.Lock()
	defer b.mu.Unlock()
	f()
	close(b.changed)
	b.changed = make(chan struct{})
}

func (b *board) retire() { b.set(func() { b.leading, b.rev, b.eps = false, 0, nil }) }

func (b *board) lead(term uint64) {
	b.set(func() { b.leading, b.term, b.rev, b.eps, b.read = true, term, 0, nil, time.Time{} })
}

func (b *board) endpoints(rev uint64, eps []fleet.Endpoint) {
	b.set(func() { b.rev, b.eps = rev, eps })
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
		r.Endpoints, news = &b.eps, true
	}
	if b.dep.Version > p.Version {
		d := b.dep
		r.Deployment, news = &d, true
	}
	return r, news, b.changed
}
