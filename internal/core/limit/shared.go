package limit

// Shared is one process's part of a retry budget that all processes of a
// deployment hold together: in any window a service may get slack extra
// arrivals plus share of its requests. Processes cannot ask each other before
// each retry, so each takes its part of the slack by their number and the share
// of its own requests; the sum then keeps to the whole.
type Shared struct {
	share  float64
	slack  float64
	nodes  int
	tokens float64
}

const (
	// sharedMargin keeps the sum below the bound while the number of processes
	// is out of date by one in five.
	sharedMargin = 0.8
	// unknownNodes is assumed until the number of processes is known.
	unknownNodes = 64
)

// NewShared returns a budget with no knowledge of the other processes.
func NewShared(share, slack float64) *Shared {
	s := &Shared{share: share * sharedMargin, slack: slack * sharedMargin, nodes: unknownNodes}
	s.tokens = s.most()
	return s
}

func (s *Shared) most() float64 { return s.slack / float64(s.nodes) }

// SetNodes tells how many processes share the budget. More of them than before
// take tokens away at once; fewer add none in advance, they are earned.
func (s *Shared) SetNodes(n int) {
	n = max(n, 1)
	if s.nodes == unknownNodes && n < unknownNodes {
		s.nodes = n
		s.tokens = s.most()
		return
	}
	s.nodes = n
	s.tokens = min(s.tokens, s.most())
}

// Request counts a first arrival.
func (s *Shared) Request() { s.tokens = min(s.tokens+s.share, s.most()) }

// Retry takes one extra arrival from the budget; false if it is used up. What is
// left of less than one allows it with that chance, by a number drawn from 0 to 1,
// and is then gone: on average no more is used than there was. Gain: more processes
// than the slack has arrivals, each with a part below one, could never retry.
func (s *Shared) Retry(draw float64) bool {
	if s.tokens < 1 {
		allowed := draw < s.tokens
		s.tokens = 0
		return allowed
	}
	s.tokens--
	return true
}

// Left returns the extra arrivals that are left.
func (s *Shared) Left() float64 { return s.tokens }
