package poison_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/cassiapass/cassiapass/internal/core/fleet"
	"github.com/cassiapass/cassiapass/internal/core/poison"
)

// simulation simulates a deployment on virtual time: engines that end alone, many at once, and under
// harmful requests, and callers who send interrupted requests again.
type simulation struct {
	rnd     *rand.Rand
	now     time.Time
	docket  *poison.LeaderBook
	recent  *poison.Recent
	engines []*simEngine
	key     poison.Key
	harmful []*simRequest

	sent, interrupted int             // attempts of harmless requests; those that were interrupted
	underEnd          map[string]bool // harmless requests that were under an end
	refused           map[string]bool // harmless requests that were refused
	ends              int             // engines ended by harmful requests
	maxRuns           int             // maximum of runs of one harmful request
	interruptedWith   int             // attempts of harmless requests interrupted by a harmful one
}

type simEngine struct {
	id          int
	incarnation int
	upAt        time.Time // when it is up again
	plain       bool
	model       int
	runs        []*simRun
}

type simRequest struct {
	content  string
	model    int
	plain    bool
	harmful  bool
	attempts int // remaining
	duration time.Duration
	due      time.Time // time of the next attempt
	runs     int
}

type simRun struct {
	r    *simRequest
	ends time.Time
}

const (
	simEngines  = 18
	simPlain    = 4
	simModels   = 3 // each is held by six engines
	simStep     = 10 * time.Millisecond
	simDowntime = 5 * time.Second
)

func newSimulation(seed uint64) *simulation {
	s := &simulation{rnd: rand.New(rand.NewPCG(seed, 1)), now: time.Unix(1e6, 0), recent: poison.NewRecent(time.Unix(1e6, 0)), key: poison.Key("k"),
		underEnd: map[string]bool{}, refused: map[string]bool{}}
	s.docket = poison.NewLeaderBook(s.now, poison.Registry{})
	for i := range simEngines + simPlain {
		s.engines = append(s.engines, &simEngine{id: i, plain: i >= simEngines, model: i % simModels})
	}
	return s
}

func (s *simulation) fingerprint(r *simRequest) poison.Fingerprint {
	return s.key.Fingerprint([]byte(r.content))
}

// send sends a request to an engine, unless the request is quarantined.
func (s *simulation) send(r *simRequest) {
	st := s.docket.Standing(s.now, s.fingerprint(r))
	if st.Quarantined {
		if !r.harmful {
			s.refused[r.content] = true
		}
		return
	}
	var cands []fleet.Candidate
	var engines []*simEngine
	for _, e := range s.engines {
		if e.plain != r.plain || s.now.Before(e.upAt) || (!e.plain && e.model != r.model) {
			continue
		}
		engines = append(engines, e)
		cands = append(cands, fleet.Candidate{Running: len(e.runs), Slots: 32, SameZone: true})
	}
	i := fleet.Choose(cands, s.rnd.IntN)
	if i < 0 {
		return
	}
	duration := r.duration
	if r.harmful {
		duration = 100 * time.Millisecond
		r.runs++
		s.maxRuns = max(s.maxRuns, r.runs)
	} else {
		s.sent++
	}
	engines[i].runs = append(engines[i].runs, &simRun{r, s.now.Add(duration)})
}

// end ends an engine with all that runs there. It returns the requests that are sent again:
// those with an attempt left.
func (s *simulation) end(e *simEngine) []*simRequest {
	id := fmt.Sprint(e.id, "-", e.incarnation)
	e.incarnation++
	e.upAt = s.now.Add(simDowntime)
	var again []*simRequest
	for _, run := range e.runs {
		f := s.fingerprint(run.r)
		if !s.recent.Has(s.now, f) {
			s.docket.Ended(s.now, poison.End{Request: f, Incarnation: id})
		}
		if run.r.harmful {
			continue
		}
		s.interrupted++
		s.underEnd[run.r.content] = true
		if run.r.attempts > 0 {
			run.r.attempts--
			again = append(again, run.r)
		}
	}
	e.runs = nil
	return again
}

// step ends the runs that are due and returns the requests that are sent again.
func (s *simulation) step() []*simRequest {
	var again []*simRequest
	for _, e := range s.engines {
		ended := false
		keep := e.runs[:0]
		for _, run := range e.runs {
			switch {
			case s.now.Before(run.ends):
				keep = append(keep, run)
			case run.r.harmful:
				ended = true
				keep = append(keep, run)
			default:
				f := s.fingerprint(run.r)
				s.recent.Answered(s.now, f)
				s.docket.Clear(s.now, f)
			}
		}
		e.runs = keep
		if ended {
			s.ends++
			s.interruptedWith += len(e.runs) - 1
			again = append(again, s.end(e)...)
		}
	}
	return again
}

// arrive sends the requests of one step: streams with unique content, 40 a second, and
// identical look-ups, 20 a second.
func (s *simulation) arrive(n int) {
	if s.rnd.Float64() < 40*simStep.Seconds() {
		// One in four may be resumed: up to four runs before its caller gives up.
		attempts := 1
		if s.rnd.IntN(4) == 0 {
			attempts = 3
		}
		s.send(&simRequest{content: fmt.Sprint("stream", n), model: s.rnd.IntN(simModels), attempts: attempts, duration: time.Duration(500+s.rnd.IntN(2000)) * time.Millisecond})
	}
	if s.rnd.Float64() < 20*simStep.Seconds() {
		s.send(&simRequest{content: "look-up", plain: true, attempts: 1, duration: 60 * time.Millisecond})
	}
	for _, g := range s.harmful {
		if !s.now.Before(g.due) {
			g.due = s.now.Add(time.Duration(100+s.rnd.IntN(1000)) * time.Millisecond)
			s.send(g)
		}
	}
}

// run simulates 60 s: an engine fails by itself every 4 s on average, a quarter of all engines
// at once twice, and all plain endpoints at once three times; harmful requests are sent
// repeatedly.
func (s *simulation) run(harmful int) {
	for i := range harmful {
		s.harmful = append(s.harmful, &simRequest{content: fmt.Sprint("guilty", i), model: s.rnd.IntN(simModels), harmful: true, due: s.now.Add(time.Duration(3+6*i) * time.Second)})
	}
	for n := range int(time.Minute / simStep) {
		s.now = s.now.Add(simStep)
		again := s.step()
		if s.rnd.Float64() < simStep.Seconds()/4 {
			again = append(again, s.end(s.engines[s.rnd.IntN(len(s.engines))])...)
		}
		for i, e := range s.engines {
			at := time.Duration(n) * simStep
			quarter := (at == 15*time.Second || at == 40*time.Second) && i%4 == 0
			plain := (at == 10*time.Second || at == 30*time.Second || at == 50*time.Second) && e.plain
			if quarter || plain {
				again = append(again, s.end(e)...)
			}
		}
		for _, r := range again {
			s.send(r)
		}
		s.arrive(n)
	}
}

// tally is the sum of many simulations.
type tally struct {
	sent, underEnd, refused, maxRuns, ends, interruptedWith int
	lookUpsRefused                                          bool // whether the look-ups were refused
}

func runSimulations(seeds uint64, harmful int) tally {
	var t tally
	for seed := range seeds {
		s := newSimulation(seed)
		s.run(harmful)
		t.sent, t.underEnd, t.refused = t.sent+s.sent, t.underEnd+len(s.underEnd), t.refused+len(s.refused)
		t.ends, t.interruptedWith, t.maxRuns = t.ends+s.ends, t.interruptedWith+s.interruptedWith, max(t.maxRuns, s.maxRuns)
		t.lookUpsRefused = t.lookUpsRefused || s.refused["look-up"]
	}
	return t
}

// Bounds how often harmless requests are refused when many engines end: at most one in a
// hundred of those that were under an end, and one in a thousand of all requests. The look-ups,
// which are identical and under most ends of plain endpoints, are never refused. A harmful
// request runs until three engines have ended, and once more if two of its runs are in flight.
func TestHarmlessRequestsAreRarelyRefused(t *testing.T) {
	for _, harmful := range []int{0, 2, 8} {
		t.Run(fmt.Sprint(harmful, " guilty"), func(t *testing.T) {
			is := is.New(t)
			r := runSimulations(40, harmful)
			t.Logf("%d attempts, %d requests under an end, %d of them refused; %d ends by harmful requests, with %.2f others each; at most %d runs of one",
				r.sent, r.underEnd, r.refused, r.ends, float64(r.interruptedWith)/max(1, float64(r.ends)), r.maxRuns)
			is.True(r.underEnd > 1000) // otherwise too few engines ended
			is.True(r.refused*100 <= r.underEnd)
			is.True(r.refused*1000 <= r.sent)
			is.True(!r.lookUpsRefused)
			is.True(r.maxRuns <= poison.EndsToQuarantine+1)
		})
	}
}
