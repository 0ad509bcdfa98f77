package limit

import (
	"math/rand/v2"
	"testing"

	"github.com/matryer/is"
)

// Guards against separate budgets whose sum is more retries than the deployment
// allows: every request fails at every process at once, so each process retries as
// often as its budget allows.
func TestSharedBudgetsStayWithinTheTotal(t *testing.T) {
	const share, slack, nodes = 0.2, 64.0, 9
	is := is.New(t)
	r := rand.New(rand.NewPCG(1, 2))
	var all []*Shared
	for range nodes {
		s := NewShared(share, slack)
		s.SetProcesses(nodes)
		all = append(all, s)
	}
	requests, extra := 0, 0
	for range 5000 {
		s := all[r.IntN(nodes)]
		s.Request()
		requests++
		for s.Retry(r.Float64()) {
			extra++
		}
		is.True(float64(extra) <= share*float64(requests)+slack)
	}
	is.True(float64(extra) > share*float64(requests)*0.5) // the budget can be used
}

func TestMoreProcessesRemoveTokens(t *testing.T) {
	is := is.New(t)
	s := NewShared(0.2, 64)
	s.SetProcesses(2)
	before := s.Left()
	s.SetProcesses(8)
	is.True(s.Left() < before)
	low := s.Left()
	s.SetProcesses(2)
	is.Equal(s.Left(), low) // no tokens are added in advance
}

// Guards against a part below one that never allows a retry: at 300 entries the
// deployment allows 92 retries at once, but each entry's part is a third of a retry,
// and no request is ever sent again after its endpoint failed.
func TestManyProcessesRetryWithinTheTotal(t *testing.T) {
	const share, slack, nodes, rounds = 0.2, 92.0, 300, 40
	is := is.New(t)
	r := rand.New(rand.NewPCG(3, 4))
	total := 0
	for range rounds {
		extra := 0
		for range nodes {
			s := NewShared(share, slack)
			s.SetProcesses(nodes)
			s.Request()
			for s.Retry(r.Float64()) {
				extra++
			}
		}
		is.True(float64(extra) <= share*nodes+slack)
		total += extra
	}
	is.True(float64(total)/rounds > 0.5*slack) // the budget can be used
}

// Guards against less urgent retries that use up what urgent ones need, and against a reserve that
// urgent ones cannot use.
func TestPartOfTheSlackIsKept(t *testing.T) {
	is := is.New(t)
	s := NewShared(0.2, 100)
	s.SetProcesses(10) // 8 at once
	taken := 0
	for s.RetryKeeping(0.25, 0.5) {
		taken++
	}
	is.Equal(taken, 6)
	is.Equal(s.Left(), 2.0)
	is.True(!s.RetryKeeping(0.25, 0))
	is.Equal(s.Left(), 2.0)
	for s.Retry(0.5) {
		taken++
	}
	is.Equal(taken, 8)
}
