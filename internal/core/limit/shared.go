package limit

// Shared is one process's part of a retry budget that all processes of a
// deployment share: in any window a service may get slack extra arrivals plus
// share of its requests. Processes cannot coordinate before each retry, so each
// uses the slack divided by the number of processes, and the share of its own
// requests; the sum of the parts then stays within the whole budget.
type Shared struct {
	share     float64
	slack     float64
	processes int
	tokens    float64
}

const (
	// sharedMargin keeps the sum below the bound while the known number of
	// processes is out of date by up to one in five.
	sharedMargin = 0.8
	// assumedProcesses is the number of processes assumed until it is known.
	assumedProcesses = 64
)

// NewShared returns a budget for an unknown number of processes.
func NewShared(share, slack float64) *Shared {
	s := &Shared{share: share * sharedMargin, slack: slack * sharedMargin, processes: assumedProcesses}
	s.tokens = s.burst()
	return s
}

func (s *Shared) burst() float64 { return s.slack / float64(s.processes) }

// SetProcesses sets the number of processes that share the budget. If it rises, tokens
// are removed at once. If it falls, no tokens are added: they accrue with requests.
// The first number replaces the assumed one; if it is lower, the full burst is set.
func (s *Shared) SetProcesses(n int) {
	n = max(n, 1)
	if s.processes == assumedProcesses && n < assumedProcesses {
		s.processes = n
		s.tokens = s.burst()
		return
	}
	s.processes = n
	s.tokens = min(s.tokens, s.burst())
}

// Request counts a first arrival.
func (s *Shared) Request() { s.tokens = min(s.tokens+s.share, s.burst()) }

// Retry takes one extra arrival from the budget. It returns false if the budget is
// used up. If less than one token is left, the retry is allowed with that
// probability, by draw, a random number from 0 to 1, and the rest is removed: on
// average no more is used than was available. Without this, processes could never
// retry if they are more than the arrivals in the slack, so that each part is below
// one.
func (s *Shared) Retry(draw float64) bool { return s.RetryKeeping(0, draw) }

// RetryKeeping takes one extra arrival as Retry does, but leaves a part of the slack for others: share
// is from 0 to 1. Less urgent requests keep some, so that those of a moment do not use up what urgent
// ones need next.
func (s *Shared) RetryKeeping(share, draw float64) bool {
	keep := share * s.burst()
	left := max(s.tokens-keep, 0)
	if left < 1 {
		s.tokens -= left
		return draw < left
	}
	s.tokens--
	return true
}

// Left returns the number of extra arrivals left.
func (s *Shared) Left() float64 { return s.tokens }
