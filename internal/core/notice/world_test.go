package notice

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"os"
	"strconv"
	"testing"
	"time"
)

// The two rules of the platform: between restGrace after an answer that asked for a pause and its
// end at most restSlack requests arrive from the same entry; no request that a caller sent later
// than leavingGrace after an answer that said that the endpoint leaves does.
const (
	restGrace    = 500 * time.Millisecond
	restSlack    = 2
	leavingGrace = 3 * time.Second
	// slowest is the longest way of a message, one way: a round trip is within restGrace.
	slowest = 240 * time.Millisecond
	// dialTime is the longest time between choice and send.
	dialTime = 400 * time.Millisecond
)

// world is one random schedule of entries, endpoints with restarts, and a leader's list.
type world struct {
	r       *rand.Rand
	now     time.Time
	queue   eventQueue
	entries []*testEntry
	servers []*testServer
	end     time.Time
}

type testEntry struct {
	name   int
	book   *Book
	listed map[string]bool
}

// testServer is one start of an endpoint at an address.
type testServer struct {
	id       string
	entries  map[int]*askedEntry
	shed     float64
	leaving  bool
	arrivals int
	rejected int
}

// askedEntry is what a server asked of one entry, and what arrived from it.
type askedEntry struct {
	pauses   []pauseSaid
	leavesAt time.Time // when it first said so; zero if never
}

type pauseSaid struct {
	at, until time.Time
	arrived   int
}

type event struct {
	at  time.Time
	seq int
	do  func()
}

type eventQueue []event

func (q eventQueue) Len() int { return len(q) }
func (q eventQueue) Less(i, j int) bool {
	return q[i].at.Before(q[j].at) || q[i].at.Equal(q[j].at) && q[i].seq < q[j].seq
}
func (q eventQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }
func (q *eventQueue) Push(x any)   { *q = append(*q, x.(event)) }
func (q *eventQueue) Pop() any {
	last := (*q)[len(*q)-1]
	*q = (*q)[:len(*q)-1]
	return last
}

func (w *world) in(d time.Duration, do func()) {
	heap.Push(&w.queue, event{w.now.Add(d), len(w.queue) + int(w.r.Uint32()>>1), do})
}

func (w *world) upTo(d time.Duration) time.Duration { return time.Duration(w.r.Int64N(int64(d) + 1)) }

// violation is a broken rule.
type violation struct{ text string }

func newWorld(seed uint64) *world {
	w := &world{r: rand.New(rand.NewPCG(seed, 7)), now: start}
	w.end = start.Add(time.Duration(5+w.r.IntN(10)) * time.Second)
	for i := range 1 + w.r.IntN(4) {
		e := &testEntry{name: i, book: NewBook(w.r.Float64), listed: map[string]bool{}}
		e.book.SetEntries(1 + w.r.IntN(105))
		w.entries = append(w.entries, e)
	}
	for i := range 1 + w.r.IntN(3) {
		w.servers = append(w.servers, w.newServer(strconv.Itoa(i)+"@0"))
	}
	return w
}

func (w *world) newServer(id string) *testServer {
	return &testServer{id: id, entries: map[int]*askedEntry{}, shed: w.r.Float64()}
}

func (w *world) run() {
	defer func() { w.queue = nil }()
	for _, e := range w.entries {
		w.in(w.upTo(time.Second), func() { w.demand(e) })
		w.in(w.upTo(time.Second), func() { w.updateList(e) })
	}
	for i := range w.servers {
		w.in(w.upTo(3*time.Second), func() { w.changeServer(i) })
	}
	for len(w.queue) > 0 {
		ev := heap.Pop(&w.queue).(event)
		w.now = ev.at
		ev.do()
	}
}

// demand sends a caller's request and schedules the next.
func (w *world) demand(e *testEntry) {
	if w.now.After(w.end) {
		return
	}
	w.in(w.upTo(time.Duration(10+w.r.IntN(200))*time.Millisecond), func() { w.demand(e) })
	i, sentAt := w.r.IntN(len(w.servers)), w.now
	id := w.servers[i].id
	if e.book.State(w.now, id).Reason != None {
		return
	}
	w.in(w.upTo(dialTime), func() {
		ticket, reason := e.book.Send(w.now, id)
		if reason != None {
			return
		}
		w.in(w.upTo(slowest), func() { w.arrive(e, i, id, sentAt, ticket) })
	})
}

// arrive delivers a request to the address that it was sent to; another start answers that it is
// the wrong one.
func (w *world) arrive(e *testEntry, i int, id string, sentAt time.Time, ticket Ticket) {
	s := w.servers[i]
	if s.id != id {
		w.in(w.upTo(slowest), func() { e.book.SendEnded(w.now, id, ticket, false, false) })
		return
	}
	s.check(w, e.name, sentAt)
	asked := s.entries[e.name]
	s.arrivals++
	leaving, pause, shed := s.leaving, time.Duration(0), w.r.Float64() < s.shed
	if leaving && asked.leavesAt.IsZero() {
		asked.leavesAt = w.now
	}
	if shed {
		s.rejected++
		pause = []time.Duration{0, 100 * time.Millisecond, time.Second, 3 * time.Second, time.Duration(w.r.Int64N(int64(8 * time.Second)))}[w.r.IntN(5)]
		asked.pauses = append(asked.pauses, pauseSaid{at: w.now, until: w.now.Add(pause)})
	}
	// The head of the answer may be followed by a broken body, and be read twice.
	for range 1 + w.r.IntN(2) {
		w.in(w.upTo(slowest), func() { e.answer(w.now, id, ticket, leaving, shed, pause) })
	}
}

// answer applies the head of an answer.
func (e *testEntry) answer(now time.Time, id string, ticket Ticket, leaving, shed bool, pause time.Duration) {
	if leaving {
		e.book.LeavingHeard(Heard{At: now}, id)
	}
	if shed {
		e.book.PauseAsked(Heard{At: now}, id, pause, true)
	}
	e.book.SendEnded(now, id, ticket, !shed, shed)
}

// check counts an arrival against the rules.
func (s *testServer) check(w *world, entry int, sentAt time.Time) {
	asked := s.entries[entry]
	if asked == nil {
		asked = &askedEntry{}
		s.entries[entry] = asked
	}
	for i := range asked.pauses {
		p := &asked.pauses[i]
		if w.now.After(p.at.Add(restGrace)) && w.now.Before(p.until) {
			if p.arrived++; p.arrived > restSlack {
				panic(violation{fmt.Sprintf("%d requests of entry %d reach %s within a pause of %v", p.arrived, entry, s.id, p.until.Sub(p.at))})
			}
		}
	}
	if !asked.leavesAt.IsZero() && sentAt.After(asked.leavesAt.Add(leavingGrace)) {
		panic(violation{fmt.Sprintf("a request of entry %d reaches %s %v after it said that it leaves", entry, s.id, w.now.Sub(asked.leavesAt))})
	}
}

// updateList applies a list update, a leader's advice or both, in any order and as late as may be.
func (w *world) updateList(e *testEntry) {
	if w.now.After(w.end) {
		return
	}
	w.in(w.upTo(time.Second), func() { w.updateList(e) })
	clear(e.listed)
	for _, s := range w.servers {
		e.listed[s.id] = w.r.IntN(4) > 0
	}
	e.book.Prune(w.now, func(id string) bool { return e.listed[id] })
	var all []Advice
	for _, s := range w.servers {
		if w.r.IntN(3) == 0 {
			all = append(all, Advice{s.id, w.upTo(3 * time.Second), 1 + w.r.IntN(10)})
		}
	}
	e.book.Advise(w.now, all)
}

// changeServer has a server leave, return under the same address as another start, or shed more
// or less.
func (w *world) changeServer(i int) {
	if w.now.After(w.end) {
		return
	}
	w.in(w.upTo(4*time.Second), func() { w.changeServer(i) })
	s := w.servers[i]
	switch w.r.IntN(4) {
	case 0:
		s.leaving = true
	case 1:
		w.servers[i] = w.newServer(strconv.Itoa(i) + "@" + strconv.FormatInt(w.now.Sub(start).Milliseconds(), 10))
	default:
		s.shed = w.r.Float64()
	}
}

// breaks plays a schedule and returns the rule that broke, "" if none did.
func breaks(seed uint64) (text string) {
	w := newWorld(seed)
	defer func() {
		if v, broke := recover().(violation); broke {
			text = v.text
		}
	}()
	w.run()
	return ""
}

// Guards against any order of answers, sends, lists and starts in which an endpoint gets what it
// has asked not to get.
func TestRandomSchedulesKeepPausesAndLeaving(t *testing.T) {
	schedules := 10000
	if n, err := strconv.Atoi(os.Getenv("CASSIAPASS_SCHEDULES")); err == nil {
		schedules = n
	}
	for seed := range schedules {
		if text := breaks(uint64(seed)); text != "" {
			t.Fatalf("seed %d: %s", seed, text)
		}
	}
}
