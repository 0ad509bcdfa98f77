package poison_test

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/cassiapass/cassiapass/internal/core/poison"
)

// partWorld simulates entries, endpoints and a leader on virtual time: streams on prompts of a shared
// first part and a subject, endpoints that end alone, several at once or under a harmful part, and
// what entries and the leader do about parts.
type partWorld struct {
	rnd     *rand.Rand
	now     time.Time
	entries []*partEntry
	ends    map[int]time.Time // endpoint to when it is up again
	starts  []int             // incarnations of endpoints
	runs    map[int][]*partRun
	leader  *poison.LeaderBook
	trials  poison.Trials
	publish time.Time // next publication of the leader to entries
	cumul   []float64 // cumulative shares of subjects, by Zipf's law

	sound, refused, held, harmfulEnds int
}

type partEntry struct {
	proven *poison.Recent
	told   map[poison.Fingerprint]poison.Update
}

type partRun struct {
	parts   []poison.Fingerprint
	entry   int
	first   time.Time // when its first event is due
	ends    time.Time
	harmful bool
	trial   []poison.Fingerprint
	proved  bool
}

const (
	partStep     = 10 * time.Millisecond
	partFirst    = 100 * time.Millisecond // from arrival to the first event
	partProven   = 100 * time.Millisecond // of events that prove a part
	partStream   = 2 * time.Second
	partDowntime = 5 * time.Second
	partPublish  = 50 * time.Millisecond
)

func newPartWorld(seed uint64, entries, endpoints, subjects int) *partWorld {
	w := &partWorld{rnd: rand.New(rand.NewPCG(seed, 7)), now: time.Unix(1e6, 0), ends: map[int]time.Time{}, runs: map[int][]*partRun{}, starts: make([]int, endpoints)}
	w.leader = poison.NewLeaderBook(w.now, poison.Registry{})
	for range entries {
		w.entries = append(w.entries, &partEntry{proven: poison.NewRecentParts(w.now.Add(-time.Minute)), told: map[poison.Fingerprint]poison.Update{}})
	}
	sum := 0.0
	for i := range subjects {
		sum += 1 / math.Pow(float64(i+1), 0.8)
		w.cumul = append(w.cumul, sum)
	}
	return w
}

var partKey = poison.Key("k")

func (w *partWorld) subject() poison.Fingerprint {
	x := w.rnd.Float64() * w.cumul[len(w.cumul)-1]
	for i, c := range w.cumul {
		if x < c {
			return partKey.Part(fmt.Sprint("subject-", i))
		}
	}
	return partKey.Part("subject-0")
}

// send sends a request through a random entry; it reports false if the request is refused or waits.
func (w *partWorld) send(parts []poison.Fingerprint, harmful bool) bool {
	n := w.rnd.IntN(len(w.entries))
	e := w.entries[n]
	r := &partRun{parts: parts, entry: n, first: w.now.Add(partFirst), ends: w.now.Add(partStream), harmful: harmful}
	for _, f := range parts {
		u, told := e.told[f]
		if told && u.Left > 0 {
			if !harmful {
				w.refused++
			}
			return false
		}
		if told && u.Ends > 0 {
			r.trial = append(r.trial, f)
		}
	}
	if len(r.trial) > 0 && !w.trials.Take(w.now, fmt.Sprint(n), r.trial) {
		if !harmful {
			w.held++
		}
		return false
	}
	at := w.rnd.IntN(len(w.starts))
	for tries := 0; w.now.Before(w.ends[at]) || len(r.trial) > 0 && len(w.runs[at]) > 0 && tries < 20; tries++ {
		at = w.rnd.IntN(len(w.starts))
	}
	w.runs[at] = append(w.runs[at], r)
	return true
}

// end ends an endpoint and reports the parts of the runs whose first event was due.
func (w *partWorld) end(at int) {
	start := fmt.Sprint(at, "-", w.starts[at])
	w.starts[at]++
	w.ends[at] = w.now.Add(partDowntime)
	for _, r := range w.runs[at] {
		if r.proved {
			continue
		}
		suspects := r.trial
		if len(suspects) == 0 {
			suspects = r.parts
		}
		for _, f := range suspects {
			if w.entries[r.entry].proven.Has(w.now, f) {
				continue
			}
			w.trials.Over(fmt.Sprint(r.entry), f)
			w.leader.Ended(w.now, poison.End{Request: f, Incarnation: start, Part: true, Trial: len(r.trial) == 1})
		}
	}
	delete(w.runs, at)
}

func (w *partWorld) step() {
	w.now = w.now.Add(partStep)
	for at, runs := range w.runs {
		kept := runs[:0]
		crash := false
		for _, r := range runs {
			if r.harmful && !w.now.Before(r.first) {
				crash = true
			}
			if !r.harmful && !r.proved && !w.now.Before(r.first.Add(partProven)) {
				r.proved = true
				w.prove(r)
			}
			if w.now.Before(r.ends) {
				kept = append(kept, r)
			}
		}
		w.runs[at] = kept
		if crash {
			w.harmfulEnds++
			w.end(at)
		}
	}
	if w.now.Before(w.publish) {
		return
	}
	w.publish = w.now.Add(partPublish)
	updates := w.leader.Updates(w.now)
	for _, e := range w.entries {
		clear(e.told)
		for _, u := range updates {
			if u.Ends > 0 && e.proven.Has(w.now, u.Request) {
				w.trials.Cleared(u.Request)
				w.leader.Clear(w.now, u.Request)
				continue
			}
			e.told[u.Request] = u
		}
	}
}

func (w *partWorld) prove(r *partRun) {
	for _, f := range r.parts {
		w.entries[r.entry].proven.Answered(w.now, f)
		w.trials.Cleared(f)
		w.leader.Clear(w.now, f)
	}
}

// Guards against harmless parts that are refused since endpoints end under their requests by chance:
// rare ones have few answers. Each 30 s five endpoints end within three seconds, then a quarter of them
// at once, then those under a part that is new each time.
func TestHarmlessPartsAreNotRefused(t *testing.T) {
	for _, size := range []struct{ entries, endpoints, subjects int }{{9, 18, 165}, {9, 18, 5000}, {105, 180, 165}, {105, 180, 5000}, {360, 636, 5000}} {
		t.Run(fmt.Sprintf("%d endpoints, %d parts", size.endpoints, size.subjects), func(t *testing.T) {
			is := is.New(t)
			refused, sound, held, mostEnds, sumEnds, series := 0, 0, 0, 0, 0, 0
			for seed := range uint64(max(1, 72/size.endpoints)) {
				w := newPartWorld(seed, size.entries, size.endpoints, size.subjects)
				first := partKey.Part("first")
				ratePerStep := float64(size.endpoints) * 2.2 * partStep.Seconds()
				harmful := partKey.Part("harmful")
				for i := range 6000 { // a minute
					for n := ratePerStep; n > 0; n-- {
						if w.rnd.Float64() < n {
							w.sound++
							w.send([]poison.Fingerprint{first, w.subject()}, false)
						}
					}
					at := i % 3000
					switch {
					case at >= 500 && at < 800 && at%60 == 0: // five hosts fail
						w.end(w.rnd.IntN(size.endpoints))
					case at == 1500: // a zone loses power
						for n := range size.endpoints / 4 {
							w.end(n)
						}
					case at >= 2000 && at < 2800 && (at-2000)%15 == 0: // a harmful part
						if at == 2000 {
							series++
							sumEnds += w.harmfulEnds
							mostEnds = max(mostEnds, w.harmfulEnds)
							w.harmfulEnds = 0
							harmful = partKey.Part(fmt.Sprint("harmful-", i))
						}
						w.send([]poison.Fingerprint{first, harmful}, true)
					}
					w.step()
				}
				sumEnds += w.harmfulEnds
				mostEnds = max(mostEnds, w.harmfulEnds)
				refused, sound, held = refused+w.refused, sound+w.sound, held+w.held
			}
			t.Logf("%d sound requests: %d refused, %d held for a trial; %d series of a harmful part ended %.1f endpoints each, %d at most", sound, refused, held, series, float64(sumEnds)/float64(series), mostEnds)
			is.Equal(refused, 0)
			is.True(mostEnds <= 5)
			is.True(float64(held) <= 0.01*float64(sound))
		})
	}
}
