package notice

import (
	"math"
	"strconv"
	"testing"
	"time"

	"github.com/matryer/is"
)

var start = time.Date(2026, 5, 1, 0, 0, 0, 0, time.UTC)

func after(d time.Duration) time.Time { return start.Add(d) }

func newTestBook() *Book { return NewBook(func() float64 { return 0 }) }

func pauseAt(b *Book, at, length time.Duration) bool {
	return b.PauseAsked(Heard{after(at), "r"}, "e", length, true)
}

func TestLatestEndOfPausesCounts(t *testing.T) {
	is := is.New(t)
	b := newTestBook()
	is.True(pauseAt(b, 0, 3*time.Second))
	is.True(!pauseAt(b, 100*time.Millisecond, time.Second)) // a shorter one cuts nothing
	is.Equal(b.State(after(2900*time.Millisecond), "e").Reason, Paused)
	is.True(pauseAt(b, 2*time.Second, 3*time.Second))
	is.Equal(b.State(after(4900*time.Millisecond), "e").Reason, Paused)
	is.Equal(b.State(after(5*time.Second), "e").Reason, None)
	is.Equal(b.State(after(time.Second), "e2").Reason, None) // another start has asked for nothing
}

func TestSuccessInBetweenDoesNotEndAPause(t *testing.T) {
	is := is.New(t)
	b := newTestBook()
	ticket, _ := b.Send(after(0), "e")
	pauseAt(b, 10*time.Millisecond, 3*time.Second)
	b.SendEnded(after(20*time.Millisecond), "e", ticket, true, false)
	_, reason := b.Send(after(30*time.Millisecond), "e")
	is.Equal(reason, Paused)
}

func TestOddPauses(t *testing.T) {
	for _, tc := range []struct {
		length   time.Duration
		readable bool
		until    time.Duration // 0 for no pause
	}{{0, true, 0}, {0, false, unreadablePause}, {time.Nanosecond, true, 1}, {365 * 24 * time.Hour, true, maxPause}, {math.MaxInt64, true, maxPause}} {
		b := newTestBook()
		b.PauseAsked(Heard{At: start}, "e", tc.length, tc.readable)
		if s := b.State(start, "e"); (s.Reason == Paused) != (tc.until > 0) || tc.until > 0 && !s.Until.Equal(after(tc.until)) {
			t.Errorf("%v, readable %v: %+v", tc.length, tc.readable, s)
		}
	}
}

func TestLeavingOutlastsPausesListsAndSilence(t *testing.T) {
	is := is.New(t)
	b := newTestBook()
	is.True(b.LeavingHeard(Heard{start, "r"}, "e"))
	is.True(!b.LeavingHeard(Heard{after(time.Second), "r2"}, "e"))
	pauseAt(b, 0, time.Second)
	b.Prune(after(time.Minute), func(string) bool { return false })
	b.Prune(after(2*time.Minute), func(string) bool { return true }) // listed again
	s := b.State(after(24*time.Hour), "e")
	is.Equal(s.Reason, Leaving)
	is.Equal(s.Leaving, Heard{start, "r"})
}

func TestUnlistedEndpointsAreForgotten(t *testing.T) {
	is := is.New(t)
	b := newTestBook()
	for i := range maxUnlisted + 100 {
		b.LeavingHeard(Heard{At: start}, strconv.Itoa(i))
	}
	none := func(string) bool { return false }
	b.Prune(start, none)
	is.Equal(len(b.endpoints), maxUnlisted)
	b.Prune(after(leavingMemory+time.Second), none)
	is.Equal(len(b.endpoints), 0)
}

func TestAdviceBindsNoSend(t *testing.T) {
	is := is.New(t)
	b := newTestBook()
	b.Advise(start, []Advice{{"e", time.Second, 3}})
	is.True(b.Advised(start, "e"))
	_, reason := b.Send(start, "e")
	is.Equal(reason, None)
	is.True(!b.Advised(after(time.Second), "e"))
	pauseAt(b, 0, 3*time.Second)
	b.Advise(after(time.Second), nil) // does not lift what was heard here
	is.Equal(b.State(after(time.Second), "e").Reason, Paused)
}

// Guards against requests that all return when a pause ends.
func TestRequestsReturnOneFirstThenAsTheyAreTaken(t *testing.T) {
	is := is.New(t)
	b := newTestBook()
	pauseAt(b, 0, time.Second)
	now := after(time.Second)
	ticket, reason := b.Send(now, "e")
	is.Equal(reason, None)
	_, reason = b.Send(now, "e")
	is.Equal(reason, Recovering)
	b.SendEnded(now.Add(5*time.Millisecond), "e", ticket, true, false)
	sent := 0
	for at := 5 * time.Millisecond; at < time.Second; at += time.Millisecond {
		if ticket, reason := b.Send(now.Add(at), "e"); reason == None {
			sent++
			b.SendEnded(now.Add(at), "e", ticket, true, false)
		}
	}
	t.Log(sent, "requests in the first second")
	is.True(sent >= 8 && sent <= 24)
}

// Guards against an endpoint that is lost because the first request after its pause is not
// answered.
func TestUnansweredFirstRequestDoesNotBlockOthers(t *testing.T) {
	is := is.New(t)
	b := newTestBook()
	pauseAt(b, 0, time.Second)
	_, reason := b.Send(after(time.Second), "e")
	is.Equal(reason, None)
	s := b.State(after(time.Second), "e")
	is.Equal(s.Reason, Recovering)
	is.Equal(s.Until, after(time.Second+takenAfter))
	_, reason = b.Send(after(time.Second+takenAfter), "e")
	is.Equal(reason, None)
}

func TestEntriesSpreadTheirFirstRequests(t *testing.T) {
	is := is.New(t)
	b := NewBook(func() float64 { return 0.5 })
	b.SetEntries(105)
	pauseAt(b, 0, time.Second)
	is.Equal(b.State(start, "e").Until, after(2*time.Second))
	b.Advise(start, []Advice{{"e", time.Second, 1}}) // asked of this entry alone
	is.Equal(b.State(start, "e").Until, after(time.Second))
}

func TestExpectGrowsWithTheRequestsAhead(t *testing.T) {
	is := is.New(t)
	b := newTestBook()
	is.Equal(b.Expect(start, "e", 5), start) // nothing binds it
	pauseAt(b, 0, time.Second)
	last := b.Expect(start, "e", 0)
	is.Equal(last, after(time.Second))
	for ahead := 1; ahead < 40; ahead++ {
		at := b.Expect(start, "e", ahead)
		is.True(at.After(last))
		last = at
	}
	is.True(last.Before(after(4 * time.Second)))
}

func TestFirstEndOfPauses(t *testing.T) {
	is := is.New(t)
	b := newTestBook()
	_, found := b.FirstEnd(start)
	is.True(!found)
	pauseAt(b, 0, 3*time.Second)
	b.PauseAsked(Heard{At: start}, "f", time.Second, true)
	at, found := b.FirstEnd(start)
	is.True(found)
	is.Equal(at, after(time.Second))
	at, _ = b.FirstEnd(after(2 * time.Second))
	is.Equal(at, after(3*time.Second))
}

func TestSummaryOfEntries(t *testing.T) {
	is := is.New(t)
	s := NewSummary()
	all := func(string) bool { return true }
	s.Record(start, "a", []Report{{Endpoint: "e", Pause: 3 * time.Second}, {Endpoint: "f", Leaving: true}})
	s.Record(start, "b", []Report{{Endpoint: "e", Pause: time.Second}})
	is.Equal(s.All(start, all), []Status{{Endpoint: "e", Pause: 3 * time.Second, Paused: []string{"a", "b"}}, {Endpoint: "f", Leaving: true, HeardBy: []string{"a"}}})
	s.Record(after(time.Second), "a", nil) // an entry that has started again: leaving stays known
	is.Equal(s.All(after(time.Second), all), []Status{{Endpoint: "f", Leaving: true, HeardBy: []string{"a"}}})
	is.Equal(s.All(after(time.Second), func(string) bool { return false }), []Status{})
}

// Guards against an endpoint that counts as one that refuses for good, since the entry that reported
// it has ended.
func TestRefusalsOfAnEntryThatHasEndedAreForgotten(t *testing.T) {
	is := is.New(t)
	s := NewSummary()
	all := func(string) bool { return true }
	s.Record(start, "a", []Report{{Endpoint: "e", Refusing: true}})
	is.Equal(s.All(start, all), []Status{{Endpoint: "e", Refusing: []string{"a"}}})
	is.Equal(s.All(after(refusingMemory), all), []Status{})
}

// Guards against an endpoint that turns everything away, names no time, and is asked as often as
// one that takes requests.
func TestEndpointThatTurnsEverythingAwayIsAskedLess(t *testing.T) {
	is := is.New(t)
	b := newTestBook()
	sent := 0
	for at := time.Duration(0); at < 10*time.Second; at += 10 * time.Millisecond {
		if ticket, reason := b.Send(after(at), "e"); reason == None {
			sent++
			b.SendEnded(after(at+time.Millisecond), "e", ticket, false, true)
		}
	}
	t.Log(sent, "of 1000 requests sent")
	is.True(sent <= 12)
	is.Equal(b.Reports(after(10*time.Second)), []Report{{Endpoint: "e", Refusing: true}})
	at := 12 * time.Second
	ticket, reason := b.Send(after(at), "e")
	is.Equal(reason, None)
	b.SendEnded(after(at+time.Millisecond), "e", ticket, true, false) // it takes one
	is.Equal(len(b.Reports(after(at+time.Millisecond))), 0)
	b.SendEnded(after(at+2*time.Millisecond), "e", Ticket{}, false, true)
	is.True(!b.State(after(at+2*time.Millisecond), "e").Until.After(after(at + 2*time.Millisecond + refusalPause))) // from the beginning
}
