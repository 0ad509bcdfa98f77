package fleet

// Candidate is an endpoint that could take a request now.
type Candidate struct {
	Running  int     // requests in progress there from all entries, as far as known
	Slots    int     // requests it runs at once; 0 if not known
	SameZone bool    // in the entry's own availability zone
	Failing  float64 // share of recent requests that failed
	Expect   Expectation

	weight float64 // in a draw
}

const (
	// otherZonePenalty is the cost of a hop to another availability zone, as a share of an
	// endpoint's slots: enough to prefer the own zone among equals, too little to queue
	// there while another zone is idle.
	otherZonePenalty = 0.05
	// failingWeight is the weight of the share of recent failures. An endpoint that fails
	// half its requests scores worse than any healthy endpoint that is not full.
	failingWeight = 3
)

func (c Candidate) score() float64 {
	s := float64(c.Running) / float64(max(c.Slots, 1))
	if !c.SameZone {
		s += otherZonePenalty
	}
	return s + failingWeight*c.Failing
}

// Choose returns the index of the candidate to use, or -1 if there is none. It compares two
// drawn at random: if every entry chose the least loaded one from the same outdated figures,
// all would send their requests to it at once.
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
