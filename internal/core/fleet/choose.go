package fleet

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// Candidate is an endpoint that could take a request now.
type Candidate struct {
	ID       EndpointID
	Running  int  // requests under way there, from all entries, as far as known
	Slots    int  // requests it runs at once; 0 if not known
	SameZone bool // in the entry's own availability zone
	Failing  float64
}

const (
	// otherZone is what a hop to another availability zone weighs, as a share
	// of an endpoint's slots: enough to stay in the zone among equals, too
	// little to queue there while another zone is idle.
	otherZone = 0.05
	// failingWeight is what the share of recent failures weighs. An endpoint
	// that fails half its requests is taken after any that is less than full.
	failingWeight = 3
)

func (c Candidate) score() float64 {
	s := float64(c.Running) / float64(max(c.Slots, 1))
	if !c.SameZone {
		s += otherZone
	}
	return s + failingWeight*c.Failing
}

// Choose returns the index of the candidate to take, or -1 if there is none.
// It compares two drawn at random: entries that all took the least loaded one
// by the same aged figures would all send there at once.
func Choose(cands []Candidate, rand func(int) int) int {
	switch len(cands) {
	case 0:
		return -1
	case 1:
		return 0
	}
	a := rand(len(cands))
	b := rand(len(cands) - 1)
	if b >= a {
		b++
	}
	if cands[b].score() < cands[a].score() {
		return b
	}
	return a
}

// ChooseApart returns the candidate for a request under which endpoints ended, or -1 if
// there is none. It is one of the less busy half, as what runs there may end with it. Which
// one depends on the request's name alone, so that of several suspects of one end each goes
// to an endpoint of its own as far as there are enough, through whichever entries they come:
// together again under the next end, they could not be told apart.
func ChooseApart(cands []Candidate, name []byte) int {
	order := make([]int, len(cands))
	for i := range order {
		order[i] = i
	}
	slices.SortFunc(order, func(a, b int) int { return cmp.Compare(cands[a].score(), cands[b].score()) })
	best, weight := -1, uint64(0)
	for _, i := range order[:(len(order)+1)/2] {
		h := xxhash.New()
		_, _ = h.Write(name) // never fails
		_, _ = h.WriteString(string(cands[i].ID))
		if w := h.Sum64(); best < 0 || w > weight {
			best, weight = i, w
		}
	}
	return best
}
