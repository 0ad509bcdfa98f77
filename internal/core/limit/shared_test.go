package limit

import (
	"math/rand/v2"
	"testing"

	"github.com/matryer/is"
)

// Symptom: a service gets more repeats than the deployment allows.
// Sequence: every request fails at every process at once, so each retries all
// it may.
// Cause: budgets that are kept for each process alone add up.
func TestSharedBudgetsKeepToTheWhole(t *testing.T) {
	const share, slack, nodes = 0.2, 64.0, 9
	is := is.New(t)
	r := rand.New(rand.NewPCG(1, 2))
	var all []*Shared
	for range nodes {
		s := NewShared(share, slack)
		s.SetNodes(nodes)
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

func TestMoreProcessesTakeTokensAway(t *testing.T) {
	is := is.New(t)
	s := NewShared(0.2, 64)
	s.SetNodes(2)
	before := s.Left()
	s.SetNodes(8)
	is.True(s.Left() < before)
	low := s.Left()
	s.SetNodes(2)
	is.Equal(s.Left(), low) // nothing in advance
}

// Symptom: at 300 entries a request whose endpoint failed is never sent again,
// though the deployment allows 92 repeats at once.
// Sequence: each entry's part of the budget is a third of a repeat.
// Cause: a part below one was no repeat.
func TestManyProcessesRetryWithinTheWhole(t *testing.T) {
	const share, slack, nodes, rounds = 0.2, 92.0, 300, 40
	is := is.New(t)
	r := rand.New(rand.NewPCG(3, 4))
	total := 0
	for range rounds {
		extra := 0
		for range nodes {
			s := NewShared(share, slack)
			s.SetNodes(nodes)
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
