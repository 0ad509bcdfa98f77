package pace

import (
	"math"
	"testing"
	"time"

	"github.com/matryer/is"
)

func TestLengths(t *testing.T) {
	is := is.New(t)
	var l Lengths
	is.Equal(l.Expect(100, 0, 0), Work{100, usualOutput})
	is.Equal(l.Expect(100, 0, 300), Work{100, 300})
	is.Equal(l.Expect(100, 40, 300), Work{100, 40})
	for range 200 {
		l.Record(40, 80)
	}
	w := l.Expect(100, 40, 300)
	is.True(w.Output > 60 && w.Output <= 80) // corrected towards what was observed
	is.Equal(l.Expect(100, 290, 300).Output, 300)
	l.Record(0, 10)
	l.Record(10, 0)
}

func TestTimes(t *testing.T) {
	is := is.New(t)
	var o TimesOf
	for i := range 100 {
		prompt := 100 + 37*i%1000
		o.RecordFirst(Work{prompt, 80}, 2*(20*time.Millisecond+time.Duration(prompt)*30*time.Microsecond), 2)
		o.RecordEvents(10, 600*time.Millisecond, 2)
		if i == 1 {
			_, known := o.Times(8)
			is.True(!known) // two streams say too little
		}
	}
	got, known := o.Times(8)
	is.True(known)
	near := func(d, want time.Duration) bool { return math.Abs(float64(d-want)) < 0.02*float64(want)+1e4 }
	is.True(near(got.Begin, 20*time.Millisecond))
	is.True(near(got.Token, 30*time.Microsecond))
	is.True(near(got.Event, 30*time.Millisecond))
	is.True(near(got.First(Work{Prompt: 1000}, 0, 1), 50*time.Millisecond))
	is.True(near(got.First(Work{Prompt: 100}, 5000, 2), 346*time.Millisecond)) // behind long prompts
	is.True(near(got.Finish(Work{Prompt: 1000, Output: 80}, 0, 2), 640*time.Millisecond))
	is.True(got.Share(Work{2000, 800}) > 2)
	is.True(got.Share(Work{0, 8}) < 0.5)
	is.Equal(Times{}.Share(Work{2000, 800}), 1.0)
}

// Guards against an endpoint that gains by what it says of its own speed.
func TestSlownessThatCannotBe(t *testing.T) {
	is := is.New(t)
	for _, v := range []float64{0, -3, math.NaN(), 0.5, 1} {
		is.Equal(SlownessAt(v, 0), 1.0) // v
	}
	is.Equal(SlownessAt(math.Inf(1), 0), float64(maxSlowness))
	is.Equal(SlownessAt(2.5, 0), 2.5)
	is.True(SlownessAt(2.5, time.Second) < 1.2)
	is.Equal(SlownessAt(2.5, time.Minute), 1.0)
}

// Guards against reports that cannot be: an entry of another release, or one that is out of its mind.
func TestSumsThatCannotBeAreIgnored(t *testing.T) {
	is := is.New(t)
	b := NewBook()
	for _, s := range []Sum{{"m", "e", 0, 0}, {"m", "e", -1, 1}, {"m", "e", math.NaN(), 0}, {"m", "e", 1, math.Inf(1)}, {"m", "e", 1, -40}, {"m", "e", 1e9, 0}} {
		b.Add(s)
	}
	is.Equal(len(b.cells), 0)
}

// Guards against evidence of an incarnation that counts for the next one, and against memory that
// grows with those that are gone.
func TestForgottenEndpoint(t *testing.T) {
	is := is.New(t)
	f := newTestFleet(1, 12, 6, false, func(i int) float64 { return 1 + 2*float64(i/11) })
	b := NewBook()
	f.play(b, 2, 100, 10*time.Second, func(int) {})
	is.Equal(len(b.Decided()), 1)
	b.Forget("e11")
	is.Equal(len(b.Decided()), 0)
	now := time.Unix(2000, 0)
	for i := range 300 {
		b.Update(now.Add(time.Duration(i)*time.Second), 12)
	}
	is.Equal(len(b.cells)+len(b.endpoints)+len(b.models), 0) // all has faded
}

// Guards against a slow engine that is never tried again: what is known of it fades unseen.
func TestFades(t *testing.T) {
	is := is.New(t)
	f := newTestFleet(2, 12, 6, false, func(i int) float64 { return 1 + 2*float64(i/11) })
	b := NewBook()
	f.play(b, 2, 100, 10*time.Second, func(int) {})
	is.Equal(len(b.Decided()), 1)
	b.Update(time.Unix(1000, 0).Add(40*time.Second), 12)
	is.Equal(len(b.Decided()), 1)
	b.Update(time.Unix(1000, 0).Add(70*time.Second), 12)
	is.Equal(len(b.Decided()), 0)
}

// Guards against a model that is taken for a slow engine: one that only one engine holds says
// nothing of that engine.
func TestModelWithOneHolder(t *testing.T) {
	is := is.New(t)
	b := NewBook()
	now := time.Unix(1000, 0)
	for s := range 30 {
		b.Update(now.Add(time.Duration(s)*time.Second), 2)
		b.Record("large", "e0", time.Second, 1)
		b.Record("small", "e1", 10*time.Millisecond, 1)
	}
	is.Equal(len(b.Decided()), 0)
}
