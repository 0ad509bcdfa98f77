package pace

import (
	"encoding/json"
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"
)

// testFleet is a fleet of engines with two models each, whose hosts have slow moments: for a sixth
// of the time, in spells of 0.6 s, work takes 2.5 times as long there.
//
// It is played with 33 entries before 56 engines with 26 busy models: 240 streams a second of 36 events,
// 29 ms apart at the usual pace, are some 500 observations.
type testFleet struct {
	r      *rand.Rand
	speeds []float64 // time for work relative to the usual
	models [][2]int
	sizes  []float64 // of models
	spells []bool
	spell  int
	// entries are the entries' own books, and newLeader is set if their next reports are to hold all.
	entries   []*Book
	newLeader bool
	fade      bool // entries' own observations fade
}

// newTestFleet returns a fleet with busy models and, if set, as many rare ones that only one engine
// holds as half of the engines have room for: they say nothing of their engine.
func newTestFleet(seed uint64, engines, models int, rare bool, speed func(i int) float64) *testFleet {
	f := &testFleet{r: rand.New(rand.NewPCG(seed, 1)), spells: make([]bool, engines)}
	for range models {
		f.sizes = append(f.sizes, 0.03*math.Exp(2*f.r.Float64()-1))
	}
	for i := range engines {
		f.speeds = append(f.speeds, speed(i))
		f.models = append(f.models, [2]int{f.r.IntN(models), f.r.IntN(models)})
		if rare && i%2 == 0 {
			f.models[i][1] = models + i // a rare model that no other engine holds
		}
	}
	return f
}

// observe returns one segment of a stream at a random engine and time within a second.
func (f *testFleet) observe(at time.Duration) (model, endpoint string, perEvent time.Duration) {
	if n := int(at / (600 * time.Millisecond)); n != f.spell {
		f.spell = n
		for i := range f.spells {
			f.spells[i] = f.r.Float64() < 0.15
		}
	}
	i := f.r.IntN(len(f.speeds))
	m := f.models[i][f.r.IntN(4)/3] // most requests are for the busy model
	t := f.size(m) * f.speeds[i] * math.Exp(0.15*f.r.NormFloat64())
	if f.spells[i] {
		t *= 2.5
	}
	return fmt.Sprint("m", m), engineName(i), time.Duration(t * float64(time.Second))
}

func engineName(i int) string { return fmt.Sprint("e", i) }

func (f *testFleet) size(m int) float64 { return f.sizes[m%len(f.sizes)] }

// play lets a number of segments a second pass, and calls each once a second. Observations reach the
// book through the reports of entries.
func (f *testFleet) play(b *Book, entries, perSecond int, d time.Duration, each func(s int)) {
	for len(f.entries) < entries {
		f.entries = append(f.entries, NewBook())
	}
	start := time.Unix(1000, 0)
	b.Update(start, len(f.speeds))
	for s := range int(d / time.Second) {
		for i := range perSecond {
			at := time.Duration(s)*time.Second + time.Duration(i)*time.Second/time.Duration(perSecond)
			m, e, t := f.observe(at)
			f.entries[f.r.IntN(entries)].Record(m, e, t, 1)
		}
		now := start.Add(time.Duration(s+1) * time.Second)
		for _, own := range f.entries {
			for _, sum := range own.Sums(f.newLeader, MaxSums) {
				b.Add(sum)
			}
			if f.fade {
				own.Update(now, len(f.speeds))
			}
		}
		f.newLeader = false
		b.Update(now, len(f.speeds))
		each(s + 1)
	}
}

// Guards against chance telling engines apart: with 300 entries before 3,000 engines a few streams
// an engine made some of them slow, and each change went to every entry.
func TestEqualEnginesAreNotToldApart(t *testing.T) {
	for seed := range uint64(4) {
		is := is.New(t)
		f := newTestFleet(seed, 3000, 1000, seed%2 == 0, func(int) float64 { return 1 })
		b := NewBook()
		most := 0
		f.play(b, 300, 3000, 40*time.Second, func(int) { most = max(most, len(b.Decided())) })
		t.Log("seed", seed, "engines called slow or fast at once, at most:", most)
		is.True(most <= 3) // one in a thousand
	}
}

// Guards against engines that are slow all day and are never known, or only when the day is over.
// Every engine shares both of its models here: one that shares none with a faster engine can't be
// told from a slow model.
func TestSlowEnginesAreKnownWithinSeconds(t *testing.T) {
	for seed := range uint64(20) {
		is := is.New(t)
		slowSpeed := func(i int) float64 { return []float64{0.7, 0.7, 1.7}[i%3] }
		f := newTestFleet(seed, 56, 26, false, slowSpeed)
		b := NewBook()
		f.play(b, 33, 450, 20*time.Second, func(s int) {
			found, wrong := 0, 0
			for id := range b.Decided() {
				var i int
				_, err := fmt.Sscanf(id, "e%d", &i)
				is.NoErr(err)
				switch factor, _ := b.Factor(id); {
				case factor > Usual && i%3 == 2:
					found++
				case factor > Usual:
					wrong++
				}
			}
			if s == 6 || s == 20 {
				t.Log("seed", seed, "after", s, "s: slow ones known", found, "of 18, others called slow", wrong)
				is.True(found >= 17) // 9 in 10
				is.Equal(wrong, 0)
			}
		})
	}
}

// Guards against a median that lies between two halves: engines of the faster one are not slow.
func TestHalfOfTheEnginesSlow(t *testing.T) {
	for seed := range uint64(20) {
		is := is.New(t)
		f := newTestFleet(seed, 56, 26, true, func(i int) float64 { return 1 + 1.4*float64(i%2) })
		b := NewBook()
		f.play(b, 33, 450, 20*time.Second, func(s int) {
			for i := 0; i < 56; i += 2 {
				factor, _ := b.Factor(engineName(i))
				is.True(factor <= Usual) // a fast engine is not called slow
			}
		})
		ratio, n := 0.0, 0
		for i := 0; i < 56; i += 2 {
			a, _ := b.Factor(engineName(i))
			z, _ := b.Factor(engineName(i + 1))
			ratio, n = ratio+math.Log(float64(z/a)), n+1
		}
		t.Log("seed", seed, "mean ratio", math.Exp(ratio/float64(n)))
		is.True(math.Exp(ratio/float64(n)) > 1.4) // the halves are told apart
	}
}

// Guards against an engine that is avoided for good after it was slow for a time, and against one
// that turned slow and goes on as the fastest.
func TestEngineTurnsSlowAndRecovers(t *testing.T) {
	is := is.New(t)
	f := newTestFleet(1, 56, 26, false, func(int) float64 { return 1 })
	b := NewBook()
	f.play(b, 33, 450, 40*time.Second, func(s int) {
		switch s {
		case 10:
			f.speeds[0] = 10
		case 14, 20:
			factor, _ := b.Factor("e0")
			is.True(factor > 2) // known 4 s later
			f.speeds[0] = 10
			if s == 20 {
				f.speeds[0] = 1
			}
		case 35:
			factor, _ := b.Factor("e0")
			is.Equal(factor, Usual)
		}
	})
}

// Guards against slow engines that are forgotten for long when the leader is replaced: the new one
// knows them again from the reports of the entries.
func TestNewLeaderKnowsAgain(t *testing.T) {
	is := is.New(t)
	f := newTestFleet(1, 56, 26, false, func(i int) float64 { return []float64{0.7, 0.7, 1.7}[i%3] })
	f.fade = true
	f.play(NewBook(), 33, 450, 20*time.Second, func(int) {})
	b, known := NewBook(), map[int]int{}
	f.newLeader = true
	for i := range f.entries { // the play begins anew at another time
		f.entries[i].updatedAt = time.Time{}
	}
	f.play(b, 33, 450, 6*time.Second, func(s int) { known[s] = len(b.Decided()) })
	t.Log("slow ones known after a change of leader, by seconds:", known)
	is.True(known[6] >= 17) // 9 of 10
}

func TestPublication(t *testing.T) {
	is := is.New(t)
	var p Publication
	now := time.Unix(1000, 0)
	all := func(string) bool { return true }
	is.True(p.Update(now, map[string]Factor{"a": 2.44, "b": 0.456}, all))
	is.Equal(p.Factors(), map[string]Factor{"a": 2.4, "b": 0.46})
	is.True(!p.Update(now.Add(10*time.Second), map[string]Factor{"a": 2.9, "b": 0.46}, all)) // near enough
	is.True(!p.Update(now.Add(2*time.Second), map[string]Factor{"a": 5, "b": 0.46}, all))    // too soon
	is.True(p.Update(now.Add(6*time.Second), map[string]Factor{"a": 5, "b": 0.46}, all))
	is.True(p.Update(now.Add(12*time.Second), map[string]Factor{"b": 0.46}, all)) // works at the usual pace again
	is.Equal(p.Factors(), map[string]Factor{"a": 1, "b": 0.46})
	is.True(p.Update(now.Add(40*time.Second), map[string]Factor{"b": 0.46}, all)) // all entries know
	is.Equal(p.Factors(), map[string]Factor{"b": 0.46})
	is.True(p.Update(now.Add(41*time.Second), map[string]Factor{"b": 0.46}, func(id string) bool { return id != "b" }))
	is.Equal(len(p.Factors()), 0)
}

// Guards against reports and answers that grow with the square of the fleet.
func TestBytesShared(t *testing.T) {
	is := is.New(t)
	for _, entries := range []int{33, 300, 1000} {
		engines := entries * 10
		if entries == 33 {
			engines = 56
		}
		// An entry sees 7 streams a second, which are some 20 segments, and is interested in the
		// models of 10 s: 70 with three holders each, of which a third is slow.
		every := ShareInterval(entries).Seconds()
		sums := make([]Sum, min(MaxSums, int(20*every)))
		for i := range sums {
			sums[i] = Sum{"model1234567890", "i-0123456789abcdef0@1764820000000", 1, -3.51}
		}
		told := map[string]Factor{}
		for i := range min(70, engines/3) {
			told[fmt.Sprintf("i-%016x@1764820000000", i)] = 2.4
		}
		report, err := json.Marshal(sums)
		is.NoErr(err)
		answer, err := json.Marshal(told)
		is.NoErr(err)
		up, down := float64(len(report))/every, float64(len(answer))/every
		t.Logf("%d entries, %d engines: an entry sends %.0f and receives %.0f bytes a second; the leader receives %.0f and sends %.0f kB a second",
			entries, engines, up, down, up*float64(entries)/1e3, down*float64(entries)/1e3)
		const link = 100e6 / 8 // bytes a second
		is.True((up+down)*float64(entries) < 0.1*link)
		is.True(up+down < 0.01*link)
	}
}

// BenchmarkUpdate measures the leader's work each second.
func BenchmarkUpdate(b *testing.B) {
	for _, engines := range []int{56, 636, 3000} {
		b.Run(fmt.Sprint(engines), func(b *testing.B) {
			f := newTestFleet(1, engines, engines/2, false, func(i int) float64 { return []float64{0.7, 0.7, 1.7}[i%3] })
			book := NewBook()
			now := time.Unix(1000, 0)
			book.Update(now, engines)
			for b.Loop() {
				b.StopTimer()
				for range 3 * engines {
					m, e, t := f.observe(now.Sub(time.Unix(1000, 0)))
					book.Record(m, e, t, 1)
				}
				now = now.Add(time.Second)
				b.StartTimer()
				book.Update(now, engines)
			}
		})
	}
}

// Guards against entries that avoid engines by what chance shows each of them alone: 7 streams a second
// before 56 equal engines, each stream seen twice within a second.
func TestEntriesAloneAreNotMisled(t *testing.T) {
	is := is.New(t)
	wrong := 0
	const entries = 33
	for entry := range uint64(entries) {
		f := newTestFleet(entry, 56, 26, true, func(int) float64 { return 1 })
		b := NewBook()
		start := time.Unix(1000, 0)
		b.Update(start, 56)
		misled := map[string]bool{}
		for s := range 60 {
			for i := range 7 {
				m, e, t := f.observe(time.Duration(s)*time.Second + time.Duration(i)*time.Second/7)
				b.Record(m, e, t, 1)
				b.Record(m, e, t, 1)
			}
			b.Update(start.Add(time.Duration(s+1)*time.Second), 56)
			for id := range b.Decided() {
				misled[id] = true
			}
		}
		wrong += len(misled)
	}
	t.Log("engines called slow or fast within a minute, over", entries, "entries:", wrong)
	is.True(wrong <= 2) // of 1,848, one in a thousand
}
