package poison

import (
	"encoding/json"
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"
)

var start = time.Unix(1e6, 0)

func name(s string) Fingerprint { return Key("k").Fingerprint([]byte(s)) }

func TestFingerprintsTellPartsApart(t *testing.T) {
	is := is.New(t)
	k := Key("key")
	is.Equal(k.Fingerprint([]byte("ab"), []byte("c")), k.Fingerprint([]byte("ab"), []byte("c")))
	is.True(k.Fingerprint([]byte("ab"), []byte("c")) != k.Fingerprint([]byte("a"), []byte("bc")))
	is.True(k.Fingerprint([]byte("ab")) != Key("other").Fingerprint([]byte("ab")))
	f := name("x")
	back, err := Parse(f.String())
	is.NoErr(err)
	is.Equal(back, f)
	for _, bad := range []string{"", "12", f.String() + "00", "zz" + f.String()[2:]} {
		_, err := Parse(bad)
		is.True(err != nil)
	}
	raw, err := json.Marshal(End{Request: f, Incarnation: "e"})
	is.NoErr(err)
	var e End
	is.NoErr(json.Unmarshal(raw, &e))
	is.Equal(e, End{Request: f, Incarnation: "e"})
}

func TestThreeDifferentIncarnationsQuarantine(t *testing.T) {
	is := is.New(t)
	b, f := NewBook(), name("x")
	for _, s := range []string{"a", "a", "b", "a"} { // several entries report each end
		_, q := b.Ended(start, End{Request: f, Incarnation: s})
		is.True(!q)
	}
	is.Equal(b.Standing(start, f), Standing{Ends: 2})
	_, q := b.Ended(start, End{Request: f, Incarnation: "c"})
	is.True(q)
	st := b.Standing(start.Add(time.Minute), f)
	is.True(st.Quarantined)
	is.Equal(st.Left, QuarantineDuration-time.Minute)
	is.Equal(b.Standing(start, name("y")), Standing{})
}

func TestCompleteAnswerClears(t *testing.T) {
	is := is.New(t)
	b, f := NewBook(), name("x")
	b.Ended(start, End{Request: f, Incarnation: "a"})
	b.Ended(start, End{Request: f, Incarnation: "b"})
	is.True(b.Clear(f))
	is.True(!b.Clear(f))
	_, q := b.Ended(start, End{Request: f, Incarnation: "c"})
	is.True(!q)
	is.Equal(b.Standing(start, f).Ends, 1)
}

func TestTimeClears(t *testing.T) {
	is := is.New(t)
	b, f := NewBook(), name("x")
	b.Ended(start, End{Request: f, Incarnation: "a"})
	b.Ended(start, End{Request: f, Incarnation: "b"})
	later := start.Add(CaseRetention + time.Second)
	_, q := b.Ended(later, End{Request: f, Incarnation: "c"})
	is.True(!q)
	is.Equal(b.Standing(later, f).Ends, 1)
	is.Equal(len(b.Sweep(later.Add(CaseRetention+time.Second))), 0)
	is.Equal(len(b.Cases()), 0)
}

// After a quarantine the request is on probation: one more end is enough.
func TestProbationAfterAQuarantine(t *testing.T) {
	is := is.New(t)
	b, f := NewBook(), name("x")
	for _, s := range []string{"a", "b", "c"} {
		b.Ended(start, End{Request: f, Incarnation: s})
	}
	over := start.Add(QuarantineDuration)
	is.Equal(b.Sweep(over), []Fingerprint{f})
	is.Equal(b.Standing(over, f), Standing{Ends: 2})
	_, q := b.Ended(over, End{Request: f, Incarnation: "d"})
	is.True(q)
}

func TestBookIsBoundedAndKeepsTheMostSevere(t *testing.T) {
	is := is.New(t)
	b := NewBook()
	severe := name("grave")
	for _, s := range []string{"a", "b", "c"} {
		b.Ended(start, End{Request: severe, Incarnation: s})
	}
	for i := range 3 * maxCases {
		b.Ended(start.Add(time.Duration(i)*time.Millisecond), End{Request: name(fmt.Sprint(i)), Incarnation: "a"})
	}
	is.True(len(b.Cases()) <= maxCases)
	is.True(b.Standing(start.Add(time.Minute), severe).Quarantined)
}

func TestRecentRemembersForAWhileAndIsBounded(t *testing.T) {
	is := is.New(t)
	r, f := NewRecent(start), name("x")
	is.True(!r.Has(start, f))
	r.Answered(start, f)
	is.True(r.Has(start.Add(recentRetention), f))
	is.True(!r.Has(start.Add(3*recentRetention), f))
	r.Answered(start.Add(time.Hour), f)
	for i := range 3 * maxRecent {
		r.Answered(start.Add(time.Hour), name(fmt.Sprint(i)))
	}
	is.True(len(r.newer)+len(r.older) <= 2*maxRecent)
}

// The registry agrees with the leader's book under every leader: a new leader has the quarantines,
// and a lifted quarantine stays lifted.
func TestRegistryFollowsTheDocket(t *testing.T) {
	is := is.New(t)
	d, f, g := NewLeaderBook(start, Registry{}), name("x"), name("y")
	var r Registry
	r = r.Next(Change{Key: Key("first")})
	r = r.Next(Change{Key: Key("second")})
	is.Equal(string(r.Key), "first")
	for _, s := range []string{"a", "b", "c"} {
		d.Ended(start, End{Request: f, Incarnation: s})
	}
	d.Ended(start, End{Request: g, Incarnation: "a"})
	n, due := d.PendingChange(r)
	is.True(due)
	r = r.Next(n)
	is.True(r.Has(f) && !r.Has(g))
	_, due = d.PendingChange(r)
	is.True(!due)
	next := NewLeaderBook(start.Add(time.Hour), r) // another leader, with its own clock
	is.True(next.Standing(start.Add(time.Hour), f).Quarantined)
	is.True(next.Clear(start, f))
	is.Equal(next.Updates(start), []Update{{Request: f}}) // entries discard what they observed themselves
	n, _ = next.PendingChange(r)
	r = r.Next(n)
	is.Equal(len(r.Cases), 0)
}

func TestAllQuarantinesArePublishedAndTheirNumberIsBounded(t *testing.T) {
	is := is.New(t)
	d := NewLeaderBook(start, Registry{})
	for i := range maxQuarantined + 10 {
		for _, s := range []string{"a", "b", "c"} {
			d.Ended(start.Add(time.Duration(i)*time.Second), End{Request: name(fmt.Sprint(i)), Incarnation: s})
		}
		d.Ended(start, End{Request: name("single" + fmt.Sprint(i)), Incarnation: "a"})
	}
	is.Equal(len(d.Quarantined()), maxQuarantined)
	quarantined, suspect := 0, 0
	for _, o := range d.Updates(start) {
		switch {
		case o.Left > 0:
			quarantined++
		case o.Ends > 0:
			suspect++
		}
	}
	is.Equal(quarantined, maxQuarantined)
	is.Equal(suspect, maxPublished)
}

// Guards against identical look-ups that are refused for half an hour: all processes were
// killed, and just after their restart a zone fails and four endpoints end within half a
// second, each under some of the look-ups. No entry remembers then that others like them were
// answered.
func TestConcurrentEndsCountOnceForColdEntries(t *testing.T) {
	is := is.New(t)
	b, f := NewBook(), name("look-up")
	for i, s := range []string{"a", "b", "c", "d"} {
		_, q := b.Ended(start.Add(time.Duration(i)*100*time.Millisecond), End{Request: f, Incarnation: s, Cold: true})
		is.True(!q)
	}
	is.Equal(b.Standing(start, f).Ends, 1)
	isNew, _ := b.Ended(start.Add(5*time.Second), End{Request: f, Incarnation: "b"}) // reported again, later
	is.True(!isNew)
	// A harmful request continues to end endpoints: it is still quarantined, about 1 s later.
	_, q := b.Ended(start.Add(600*time.Millisecond), End{Request: f, Incarnation: "e", Cold: true})
	is.True(!q)
	_, q = b.Ended(start.Add(1200*time.Millisecond), End{Request: f, Incarnation: "f", Cold: true})
	is.True(q)
	r := NewRecent(start)
	is.True(r.Cold(start.Add(recentRetention - 1)))
	is.True(!r.Cold(start.Add(recentRetention)))
}
