package fleet

import (
	"cmp"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"
)

func randomCandidates(r *rand.Rand) []Candidate {
	cands := make([]Candidate, 1+r.IntN(8))
	for i := range cands {
		cands[i] = Candidate{Running: r.IntN(33), Slots: 32, SameZone: r.IntN(2) == 0, Failing: float64(r.IntN(3)) / 10}
	}
	return cands
}

// Guards against a choice that changes where endpoints are not known to differ in speed.
func TestChoiceByLoadIgnoresExpectations(t *testing.T) {
	is := is.New(t)
	r := rand.New(rand.NewPCG(1, 2))
	for seed := range uint64(2000) {
		cands := randomCandidates(r)
		plain := Choose(cands, rand.New(rand.NewPCG(seed, 0)).IntN)
		for i := range cands {
			for j := range cands { // of two at the usual pace, the same one is better
				is.Equal(compareNearly(cands[i].score(), cands[j].score()), compareNearly(cands[i].finish(), cands[j].finish()))
			}
		}
		for i := range cands {
			cands[i].Expect = Expectation{Factor: 1 + r.Float64(), First: time.Hour, Extra: 3}
		}
		is.Equal(Choose(cands, rand.New(rand.NewPCG(seed, 0)).IntN), plain)
	}
}

func compareNearly(a, b float64) int {
	if d := a - b; d > -1e-9 && d < 1e-9 {
		return 0
	}
	return cmp.Compare(a, b)
}

// shares returns how often each candidate is chosen.
func shares(cands []Candidate, o Objective) []float64 {
	r := rand.New(rand.NewPCG(3, 4))
	out := make([]float64, len(cands))
	const n = 20000
	for range n {
		out[ChooseByFinish(cands, o, r.IntN)] += 1.0 / n
	}
	return out
}

func TestChooseByFinish(t *testing.T) {
	at := func(running int, factor float64, first time.Duration) Candidate {
		return Candidate{Running: running, Slots: 32, SameZone: true, Expect: Expectation{Factor: factor, First: first}}
	}
	short := Objective{First: 300 * time.Millisecond}
	failing := at(0, 1, 100*time.Millisecond)
	failing.Failing = 0.5
	failedOnce := at(5, 1, 100e6)
	failedOnce.Failing = 0.1
	cases := []struct {
		name   string
		cands  []Candidate
		o      Objective
		lo, hi float64 // share of the last candidate
	}{
		{"a slow one is last where it is late", []Candidate{at(5, 1, 100e6), at(5, 1, 100e6), at(0, 2.4, 400e6)}, short, 0, 0},
		{"a slow one on time is used", []Candidate{at(28, 1, 100e6), at(28, 1, 100e6), at(0, 1.5, 200e6)}, short, 0.3, 0.7},
		{"a slow one takes over from full ones", []Candidate{at(30, 1, 100e6), at(31, 1, 100e6), at(0, 2.4, 200e6)}, short, 0.99, 1.01},
		{"slow ones are rare where one fast has room", []Candidate{at(5, 1, 100e6), at(0, 2.4, 240e6), at(0, 2.4, 240e6)}, short, 0, 0.03},
		{"late ones are used if there is no other", []Candidate{at(5, 1, 400e6), at(5, 1, 400e6)}, short, 0.4, 0.6},
		{"equal ones share", []Candidate{at(5, 1, 0), at(5, 1, 0), at(5, 1, 0), at(5, 1, 0)}, short, 0.22, 0.28},
		{"a slow moment is passed by", []Candidate{at(5, 1, 100e6), at(0, 2.5, 250e6)}, short, 0, 0},
		{"a fast one that fails is no way out", []Candidate{at(0, 2.4, 400e6), failing}, short, 0, 0},
		{"one failure is better than a slow one", []Candidate{at(0, 2.4, 240e6), failedOnce}, short, 0.99, 1.01},
		{"pauses count", []Candidate{at(5, 1, 0), {Slots: 32, SameZone: true, Expect: Expectation{Factor: 1, Gap: time.Second}}}, Objective{Gap: 300e6}, 0, 0},
		{"a short request is not sent behind long prompts", []Candidate{at(2, 1, 100e6), at(1, 1, 700e6)}, short, 0, 0},
		{"one is used", []Candidate{at(0, 10, time.Hour)}, short, 0.99, 1.01},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			got := shares(c.cands, c.o)
			is.True(got[len(got)-1] >= c.lo && got[len(got)-1] <= c.hi)
		})
	}
	is := is.New(t)
	is.Equal(ChooseByFinish(nil, short, rand.IntN), -1)
}

// Guards against a herd: endpoints equally good get equal shares, however many there are, and none
// gets more than twice its part when all entries see the same figures.
func TestChoiceByFinishSpreads(t *testing.T) {
	is := is.New(t)
	var cands []Candidate
	for i := range 20 {
		cands = append(cands, Candidate{Running: i, Slots: 32, SameZone: true, Expect: Expectation{Factor: 1 + float64(i%2)*0.1}})
	}
	for _, s := range shares(cands, Objective{}) {
		is.True(s < 0.12)
	}
}

// BenchmarkChoose measures a choice among the engines of the largest fleet in use.
func BenchmarkChoose(b *testing.B) {
	r := rand.New(rand.NewPCG(1, 2))
	cands := make([]Candidate, 636)
	for i := range cands {
		cands[i] = Candidate{Running: r.IntN(20), Slots: 32, SameZone: i%3 == 0, Expect: Expectation{Factor: 1 + r.Float64(), First: 100e6}}
	}
	b.Run("load", func(b *testing.B) {
		for b.Loop() {
			Choose(cands, r.IntN)
		}
	})
	b.Run("finish", func(b *testing.B) {
		for b.Loop() {
			ChooseByFinish(cands, Objective{First: 300e6}, r.IntN)
		}
	})
}

// Guards against long answers that a slow endpoint cannot end before their caller leaves.
func TestLongAnswersGoWhereTheyEndInTime(t *testing.T) {
	is := is.New(t)
	fast := Candidate{Running: 20, Slots: 32, SameZone: true, Expect: Expectation{Factor: 0.8, Finish: 6 * time.Second}}
	slow := Candidate{Running: 0, Slots: 32, SameZone: true, Expect: Expectation{Factor: 1.2, Finish: 14 * time.Second}}
	is.Equal(shares([]Candidate{slow, fast}, Objective{Limit: 11 * time.Second})[0], 0.0)
	is.True(shares([]Candidate{slow, fast}, Objective{Limit: 15 * time.Second})[0] > 0.1) // it would end in time
	is.True(shares([]Candidate{slow}, Objective{Limit: 11 * time.Second})[0] > 0.99)
}
