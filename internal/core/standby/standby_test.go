package standby

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/cassiapass/cassiapass/internal/core/fleet"
)

func TestDecide(t *testing.T) {
	left := time.Second
	for name, c := range map[string]struct {
		b    Break
		want Action
	}{
		"ended, with a copy":                        {Break{Source: Ended, Copy: true}, GoOnFromCopy},
		"ended, with a copy, may be repeated":       {Break{Source: Ended, Copy: true, MayRepeat: true}, GoOnFromCopy},
		"ended, no copy":                            {Break{Source: Ended, CanMove: true, AnotherAllowed: true}, EndCut},
		"ended, no copy, may be repeated":           {Break{Source: Ended, MayRepeat: true}, ResumeElsewhere},
		"cut off, with a copy":                      {Break{Source: Unreachable, Copy: true}, GoOnFromCopy},
		"cut off, no copy":                          {Break{Source: Unreachable}, EndCut},
		"cut off and silent, no copy":               {Break{Source: Unreachable, Silent: true}, KeepWaiting},
		"ended and silent, no copy":                 {Break{Source: Ended, Silent: true}, EndCut},
		"alive, broke off":                          {Break{CanMove: true, Copy: true}, MoveThenGoOn},
		"alive, broke off, cannot be moved":         {Break{Copy: true, AnotherAllowed: true}, EndCut},
		"alive, broke off, may be repeated":         {Break{CanMove: true, Copy: true, MayRepeat: true}, ResumeElsewhere},
		"alive, silent":                             {Break{CanMove: true, Silent: true}, MoveThenGoOn},
		"alive, silent, may be repeated":            {Break{CanMove: true, Silent: true, MayRepeat: true}, MoveThenGoOn},
		"alive, silent, cannot be moved":            {Break{Silent: true, Copy: true}, KeepWaiting},
		"moved, another endpoint allowed":           {Break{Move: Moved, AnotherAllowed: true}, GoOnAtTarget},
		"moved, none but the source allowed":        {Break{Move: Moved}, GoOnAtSource},
		"stopped, the target has no room":           {Break{Move: Stopped, AnotherAllowed: true}, GoOnAtSource},
		"over at the source, broke off, with copy":  {Break{Move: NoRun, Copy: true, AnotherAllowed: true}, GoOnFromCopy},
		"over at the source, none but it allowed":   {Break{Move: NoRun, Copy: true}, EndCut},
		"not begun at the source, silent":           {Break{Move: NoRun, Copy: true, AnotherAllowed: true, Silent: true}, KeepWaiting},
		"moved by another, broke off, with a copy":  {Break{Move: NotStopped, Copy: true, AnotherAllowed: true}, EndCut},
		"moved by another, silent":                  {Break{Move: NotStopped, Copy: true, Silent: true}, KeepWaiting},
		"mute, with a copy":                         {Break{Move: Unanswered, Copy: true}, GoOnFromCopy},
		"mute, no copy":                             {Break{Move: Unanswered, Silent: true}, KeepWaiting},
		"no connection for the move, with a copy":   {Break{Move: Unreached, Copy: true}, GoOnFromCopy},
		"no connection for the move, may be repeat": {Break{Move: Unreached, Silent: true, MayRepeat: true}, ResumeElsewhere},
	} {
		c.b.Left = left
		if got := Decide(c.b); got != c.want {
			t.Errorf("%s: %v, want %v", name, got, c.want)
		}
		c.b.Left = MinLeft / 2
		if got := Decide(c.b); got != EndCut {
			t.Errorf("%s, no time left: %v", name, got)
		}
	}
}

// engine is an endpoint in a schedule.
type engine struct {
	ended, cut, mute bool
	works            bool // on the run
	made             int  // events
	stopOnRead       bool // a question that stops the run lies unread
}

// schedule is one run with its source, the holder of its copy and the entry.
type schedule struct {
	t      *testing.T
	r      *rand.Rand
	src    *engine
	holder *engine
	copy   bool
	got    int // events that the caller has
	runs   int
}

// Guards against two engines that work on one run, and events twice or missing, whatever breaks in
// whatever order.
func TestRandomSchedulesKeepOneRunAndTheOrderOfEvents(t *testing.T) {
	acted := map[Action]int{}
	for seed := range uint64(10000) {
		s := &schedule{t: t, r: rand.New(rand.NewPCG(seed, 1)), src: &engine{works: true}, holder: &engine{}, runs: 1}
		b := Break{CanMove: s.r.IntN(4) > 0, AnotherAllowed: s.r.IntN(2) == 0, Left: time.Second, Silent: s.r.IntN(2) == 0}
		s.progress()
		s.disturb(&b)
		a := Decide(b)
		if a == MoveThenGoOn {
			b.Move = s.move()
			a = Decide(b)
		}
		acted[a]++
		s.act(seed, a, b)
	}
	for a := EndCut; a <= KeepWaiting; a++ {
		if a != MoveThenGoOn && a != ResumeElsewhere && acted[a] == 0 {
			t.Errorf("no schedule led to %v", a)
		}
	}
	if acted[ResumeElsewhere] > 0 {
		t.Error("a run that may not be repeated was")
	}
}

// progress lets the source work: the entry has all events but those on their way, the copy lags.
func (s *schedule) progress() {
	s.src.made = s.r.IntN(10)
	s.got = s.r.IntN(s.src.made + 1)
	s.copy = s.r.IntN(3) > 0
}

func (s *schedule) disturb(b *Break) {
	switch s.r.IntN(5) {
	case 0:
		s.src.ended, s.src.works, b.Source = true, false, Ended
	case 1:
		s.src.cut, b.Source = true, Unreachable // and it may work on
	case 2:
		s.src.mute = true
	case 3:
		if !b.Silent {
			s.src.works = s.r.IntN(2) == 0 // an engine may or may not drop a run whose connection closes
		}
	}
	if s.r.IntN(4) == 0 {
		s.holder.ended, s.copy = true, false
	}
	b.Copy = s.copy || s.r.IntN(8) == 0 // the entry takes a copy for there that is not
}

// move is the source's answer.
func (s *schedule) move() Move {
	switch {
	case s.r.IntN(10) == 0:
		s.src.cut = true
		return Unreached
	case s.src.mute:
		s.src.stopOnRead = true
		return Unanswered
	case s.r.IntN(10) == 0:
		return NotStopped
	case !s.src.works:
		return NoRun
	}
	s.src.works = false
	if s.holder.ended {
		return Stopped
	}
	return Moved
}

func (s *schedule) act(seed uint64, a Action, b Break) {
	is := is.New(s.t)
	switch a {
	case GoOnFromCopy, GoOnAtTarget, GoOnAtSource:
	default:
		return
	}
	reached := !s.src.ended && !s.src.cut && !s.src.stopOnRead
	if s.src.works && reached {
		s.t.Fatalf("schedule %d: %v while the source works on it: %+v", seed, a, b)
	}
	if reached && a != GoOnAtSource && !b.AnotherAllowed {
		s.t.Fatalf("schedule %d: %v beside a living source: %+v", seed, a, b)
	}
	if a == GoOnFromCopy && !s.copy {
		return // answered as not run: nothing runs
	}
	next := s.got // the endpoint goes on after the last event that the caller has
	is.True(next <= s.src.made)
	is.Equal(s.runs, 1)
}

func TestHolderIsTheOneWithRoomInTheSameZone(t *testing.T) {
	is := is.New(t)
	var l Ledger
	now := time.Unix(100, 0)
	b := NewBounds(8000, 1<<17, 260000, 1)
	is.Equal(b.Tokens, 4000)
	r := Run{Tokens: 1500, Expected: time.Second}
	hs := []Holder{{ID: "far", Running: 0, Slots: 8}, {ID: "busy", SameZone: true, Running: 5, Slots: 8}, {ID: "idle", SameZone: true, Running: 1, Slots: 8}}
	take := func(r Run) fleet.EndpointID {
		i := l.Pick(now, r, hs, b)
		if i < 0 {
			return ""
		}
		l.Add(now, hs[i].ID, r, b)
		return hs[i].ID
	}
	is.Equal(take(r), fleet.EndpointID("idle"))
	is.Equal(take(Run{Tokens: 1500, Expected: time.Second, Repeatable: true}), fleet.EndpointID(""))
	is.Equal(take(r), fleet.EndpointID("idle"))
	is.Equal(take(r), fleet.EndpointID("busy")) // half of the memory of the idle one is taken
	is.Equal(take(r), fleet.EndpointID("busy"))
	is.Equal(take(r), fleet.EndpointID("far")) // no room in the zone
	is.Equal(take(r), fleet.EndpointID("far"))
	is.Equal(take(r), fleet.EndpointID("")) // least worth goes without
	is.Equal(take(Run{Tokens: 10, Expected: copyDelay / 2}), fleet.EndpointID(""))
	copies, tokens := l.Copies()
	is.Equal(copies, 6)
	is.Equal(tokens, 9000)
	l.Remove("idle", r)
	is.Equal(take(r), fleet.EndpointID("idle"))
	is.Equal(l.Pick(now, r, nil, b), -1)
}

// Guards against links that are filled with copies: a holder's link takes those that it can carry.
func TestBytesInFlightAreBounded(t *testing.T) {
	is := is.New(t)
	var l Ledger
	b := Bounds{Bytes: 1000, Token: 1}
	now := time.Unix(100, 0)
	r := Run{Tokens: 600, Expected: time.Second}
	hs := []Holder{{ID: "h", Slots: 8}}
	is.Equal(l.Pick(now, r, hs, b), 0)
	l.Add(now, "h", r, b)
	is.Equal(l.Pick(now, r, hs, b), -1)
	is.Equal(l.Pick(now.Add(copyDelay), r, hs, b), 0)
}

func TestSilenceLimit(t *testing.T) {
	ms := time.Millisecond
	for name, c := range map[string]struct {
		p    Pace
		want time.Duration
	}{
		"first event":                {Pace{Objective: 400 * ms, Patience: 2400 * ms}, 800 * ms},
		"short objective":            {Pace{Objective: 100 * ms, Patience: 2400 * ms}, minSilence},
		"long objective":             {Pace{Objective: 3 * time.Second, Patience: 12 * time.Second}, 4800 * ms},
		"others wait there":          {Pace{Objective: 300 * ms, Patience: 2400 * ms, Load: 1.5}, 900 * ms},
		"many wait there":            {Pace{Objective: 300 * ms, Patience: 2400 * ms, Load: 9}, 960 * ms},
		"between events":             {Pace{Objective: 3 * time.Second, MaxGap: 300 * ms, Events: 1, Patience: 12 * time.Second}, 600 * ms},
		"between events, slow":       {Pace{MaxGap: 300 * ms, Events: 9, Mean: 150 * ms, Patience: 2400 * ms}, 900 * ms},
		"callers wait for any time":  {Pace{Objective: 5 * time.Second}, 10 * time.Second},
		"between events, queue long": {Pace{MaxGap: 300 * ms, Events: 9, Mean: 20 * ms, Load: 3}, 600 * ms},
	} {
		if got := SilenceLimit(c.p); got != c.want {
			t.Errorf("%s: %v, want %v", name, got, c.want)
		}
	}
}

// Guards against a storm of moves when a whole engine, or zone, falls silent.
func TestRescuesAreBounded(t *testing.T) {
	is := is.New(t)
	var r Rescues[string]
	for range rescuesPerSource {
		is.True(r.Begin("a"))
	}
	is.True(!r.Begin("a"))
	for i := rescuesPerSource; i < rescuesInAll; i++ {
		is.True(r.Begin(string(rune('b' + i))))
	}
	is.True(!r.Begin("z"))
	r.End("a")
	is.True(r.Begin("a"))
}

func TestTargetOfAMove(t *testing.T) {
	is := is.New(t)
	hs := []Holder{{ID: "full", SameZone: true, Running: 8, Slots: 8}, {ID: "far", Slots: 8}, {ID: "near", SameZone: true, Running: 3, Slots: 8}, {ID: "copy", Running: 5, Slots: 8}}
	holds := func(id fleet.EndpointID) func(Holder) bool { return func(h Holder) bool { return h.ID == id } }
	is.Equal(hs[Target(hs, holds(""))].ID, fleet.EndpointID("near"))
	is.Equal(hs[Target(hs, holds("copy"))].ID, fleet.EndpointID("copy"))
	is.Equal(hs[Target(hs, holds("full"))].ID, fleet.EndpointID("near"))
	is.Equal(Target(hs[:1], holds("")), -1)
}

func TestDeparturesInOrderOfUrgency(t *testing.T) {
	is := is.New(t)
	runs := []Departing{
		{Level: 1, Needs: time.Second, Caller: 5 * time.Second},
		{Level: 0, Needs: 3 * time.Second, Caller: 9 * time.Second},
		{Level: 0, Needs: 100 * time.Millisecond, Caller: 9 * time.Second}, // ends in time
		{Level: 0, Needs: 3 * time.Second, Caller: 4 * time.Second},
		{Level: 0, Needs: 3 * time.Second, Caller: MinLeft / 2}, // its caller leaves
	}
	is.Equal(Departures(time.Second, runs), []int{3, 1, 0})
	is.Equal(len(Departures(10*time.Second, runs)), 0)
}
