package fleet

import "math"

// Candidate is an endpoint that could take a request now.
type Candidate struct {
	Running  int     // requests in progress there from all entries, as far as known
	Slots    int     // requests it runs at once; 0 if not known
	SameZone bool    // in the entry's own availability zone
	Failing  float64 // share of recent requests that failed
	Slowness float64 // time for the same work relative to others; 0 if not known
}

const (
	// otherZonePenalty is the cost of a hop to another availability zone, as a share of an
	// endpoint's slots: enough to prefer the own zone among equals, too little to queue
	// there while another zone is idle.
	otherZonePenalty = 0.05
	// failingWeight is the weight of the share of recent failures. An endpoint that fails
	// half its requests scores worse than any healthy endpoint that is not full.
	failingWeight = 3
	// slowRatio is how much longer than the fastest an endpoint takes that is avoided while
	// faster ones have room.
	slowRatio = 1.8
	// roomShare is the share of its slots in use, and maxFailing the share of recent failures,
	// from which an endpoint is no reason to leave out slow ones.
	roomShare  = 0.75
	maxFailing = 0.3
)

func (c Candidate) score() float64 {
	s := float64(c.Running) / float64(max(c.Slots, 1))
	if !c.SameZone {
		s += otherZonePenalty
	}
	return s + failingWeight*c.Failing
}

// relativeTime returns how long the candidate takes for the same work, relative to others.
func (c Candidate) relativeTime() float64 { return Endpoint{Slowness: c.Slowness}.RelativeTime() }

// hasRoom reports whether the candidate has free slots and answers what it gets.
func (c Candidate) hasRoom() bool {
	return float64(c.Running) < roomShare*float64(c.Slots) && c.Failing < maxFailing
}

// withoutSlow returns the indices of the candidates without the slow ones; all of them while
// none of the others has room.
func withoutSlow(cands []Candidate) []int {
	fastest := math.Inf(1)
	for _, c := range cands {
		fastest = min(fastest, c.relativeTime())
	}
	var all, fast []int
	room := false
	for i, c := range cands {
		all = append(all, i)
		if c.relativeTime() < slowRatio*fastest {
			fast = append(fast, i)
			room = room || c.hasRoom()
		}
	}
	if room {
		return fast
	}
	return all
}

// Choose returns the index of the candidate to use, or -1 if there is none. It compares two
// drawn at random: if every entry chose the least loaded one from the same outdated figures,
// all would send their requests to it at once. Endpoints that are much slower than others are
// left out while those have room.
func Choose(cands []Candidate, rand func(int) int) int {
	from := withoutSlow(cands)
	switch len(from) {
	case 0:
		return -1
	case 1:
		return from[0]
	}
	i := rand(len(from))
	j := rand(len(from) - 1)
	if j >= i {
		j++
	}
	a, b := from[i], from[j]
	if cands[b].score() < cands[a].score() {
		return b
	}
	return a
}
