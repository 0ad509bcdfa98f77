package notice

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"
)

// overload is an endpoint that takes half of what entries ask for: it turns the rest away with a
// pause.
type overload struct {
	entries  int
	demand   float64 // requests a second
	pause    time.Duration
	policy   func(b *Book, now time.Time) bool // whether a request may be sent
	r        *rand.Rand
	credit   float64
	served   int
	rejected int
	refused  int // by entries, at once or after a wait
	books    []*Book
	waiting  [][]time.Time
	answers  []pendingAnswer
}

// pendingAnswer is an answer on its way.
type pendingAnswer struct {
	at     time.Time
	entry  int
	ticket Ticket
	taken  bool
}

const (
	overloadStep     = time.Millisecond
	overloadTime     = 30 * time.Second
	overloadPatience = 2 * time.Second
	overloadTrip     = 5 * time.Millisecond
)

// slope sends as Book.Send allows, step as soon as the pause has ended.
func slope(b *Book, now time.Time) bool { return b.State(now, "e").Reason == None }
func step(b *Book, now time.Time) bool  { return b.State(now, "e").Reason != Paused }

// cooldown ignores the pause but for 50 ms.
func cooldown(b *Book, now time.Time) bool {
	s := b.State(now, "e")
	return s.Pause.At.IsZero() || now.Sub(s.Pause.At) > 50*time.Millisecond
}

func (o *overload) play() {
	o.r = rand.New(rand.NewPCG(uint64(o.entries), 3))
	for range o.entries {
		b := NewBook(o.r.Float64)
		b.SetEntries(o.entries)
		o.books = append(o.books, b)
		o.waiting = append(o.waiting, nil)
	}
	for now := start; now.Before(after(overloadTime)); now = now.Add(overloadStep) {
		o.credit = min(o.credit+o.demand/2*overloadStep.Seconds(), o.demand/10)
		o.deliver(now)
		mean := o.demand * overloadStep.Seconds()
		for o.r.Float64() < mean/(1+mean) { // as many as the mean, on average
			i := o.r.IntN(o.entries)
			o.waiting[i] = append(o.waiting[i], now)
		}
		for i := range o.books {
			o.serve(now, i)
		}
	}
}

// deliver applies the answers that arrive now.
func (o *overload) deliver(now time.Time) {
	for len(o.answers) > 0 && !now.Before(o.answers[0].at) {
		a := o.answers[0]
		o.answers = o.answers[1:]
		if !a.taken {
			o.books[a.entry].PauseAsked(Heard{At: now}, "e", o.pause, true)
		}
		o.books[a.entry].SendEnded(now, "e", a.ticket, a.taken, !a.taken)
	}
}

// serve sends an entry's waiting requests, and refuses those that wait in vain.
func (o *overload) serve(now time.Time, i int) {
	b := o.books[i]
	for len(o.waiting[i]) > 0 && o.policy(b, now) {
		o.waiting[i] = o.waiting[i][1:]
		ticket, _ := b.Send(now, "e")
		taken := o.credit >= 1
		if taken {
			o.credit--
			o.served++
		} else {
			o.rejected++
		}
		o.answers = append(o.answers, pendingAnswer{now.Add(overloadTrip), i, ticket, taken})
	}
	kept := o.waiting[i][:0]
	for ahead, since := range o.waiting[i] {
		if b.Expect(now, "e", ahead).Sub(since) > overloadPatience {
			o.refused++
			continue
		}
		kept = append(kept, since)
	}
	o.waiting[i] = kept
}

// Guards against an endpoint that is overloaded anew at the end of each pause: at 2, 9 and 105
// entries it turns fewer requests away for each that it serves, and serves no fewer, than with a
// return of all at once.
func TestReturnAfterAPauseIsASlope(t *testing.T) {
	for _, entries := range []int{2, 9, 105} {
		is := is.New(t)
		play := func(policy func(*Book, time.Time) bool) *overload {
			o := &overload{entries: entries, demand: 200, pause: time.Second, policy: policy}
			o.play()
			return o
		}
		none, all, slow := play(cooldown), play(step), play(slope)
		for name, o := range map[string]*overload{"cooldown": none, "step": all, "slope": slow} {
			t.Logf("%d entries, %s: served %d, turned away %d, refused by entries %d", entries, name, o.served, o.rejected, o.refused)
		}
		is.True(slow.rejected*all.served <= all.rejected*slow.served/2)
		is.True(slow.rejected*none.served <= none.rejected*slow.served/4)
	}
}
