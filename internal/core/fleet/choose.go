package fleet

// Candidate is an endpoint that could take a request now.
type Candidate struct {
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
