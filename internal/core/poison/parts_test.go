package poison

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"
)

func partEnd(part, incarnation string, trial bool) End {
	return End{Request: Key("k").Part(part), Incarnation: incarnation, Part: true, Trial: trial}
}

// A part is quarantined when an endpoint ended under its trial; without one only after three ends and
// the time in which entries can say that it was answered.
func TestTrialConvictsAPart(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1e6, 0)
	b := NewBook()
	b.Ended(now, partEnd("p", "s1", false))
	_, quarantined := b.Ended(now.Add(time.Second), partEnd("p", "s2", true))
	is.True(quarantined)

	b = NewBook()
	for i := range 5 { // one moment, many endpoints
		_, quarantined = b.Ended(now.Add(time.Duration(i)*10*time.Millisecond), partEnd("p", fmt.Sprint("s", i), false))
		is.True(!quarantined)
	}
	_, quarantined = b.Ended(now.Add(ObjectionTime), partEnd("p", "s9", false))
	is.True(quarantined)
}

// Guards against a harmless part that is refused because its trial ran where another part ended the
// endpoint, whichever end is reported first.
func TestEndUnderTwoPartsConvictsNeither(t *testing.T) {
	for _, trialFirst := range []bool{false, true} {
		is := is.New(t)
		now := time.Unix(1e6, 0)
		b := NewBook()
		b.Ended(now, partEnd("p", "s1", false))
		ends := []End{partEnd("q", "s2", false), partEnd("p", "s2", true)}
		if trialFirst {
			ends[0], ends[1] = ends[1], ends[0]
		}
		for _, e := range ends {
			b.Ended(now.Add(100*time.Millisecond), e)
		}
		is.True(!b.Standing(now.Add(time.Second), Key("k").Part("p")).Quarantined)
		is.True(!b.Standing(now.Add(time.Second), Key("k").Part("q")).Quarantined)
		is.Equal(b.Standing(now.Add(time.Second), Key("k").Part("p")).Ends, 2)
	}
}

// The content of the tried request is suspect of the same end and takes nothing away from the trial.
func TestContentOfATrialDoesNotShareItsEnd(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1e6, 0)
	b := NewBook()
	b.Ended(now, partEnd("p", "s1", false))
	b.Ended(now, End{Request: Key("k").Fingerprint([]byte("content")), Incarnation: "s2"})
	_, quarantined := b.Ended(now.Add(time.Second), partEnd("p", "s2", true))
	is.True(quarantined)
}

// After a quarantine one trial decides.
func TestPartIsOnProbationAfterAQuarantine(t *testing.T) {
	is := is.New(t)
	now, f := time.Unix(1e6, 0), Key("k").Part("p")
	b := NewBook()
	b.Ended(now, partEnd("p", "s1", false))
	b.Ended(now, partEnd("p", "s2", true))
	now = now.Add(QuarantineDuration)
	is.True(!b.Standing(now, f).Quarantined)
	is.True(b.Standing(now, f).Ends > 0) // so that it runs as a trial
	_, quarantined := b.Ended(now, partEnd("p", "s3", true))
	is.True(quarantined)
}

func TestTrialsAreOneAtATime(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1e6, 0)
	p, q := Key("k").Part("p"), Key("k").Part("q")
	var trials Trials
	is.True(trials.Take(now, "a", []Fingerprint{p}))
	is.True(!trials.Take(now, "b", []Fingerprint{q, p})) // all or none
	is.True(trials.Take(now, "b", []Fingerprint{q}))
	trials.Over("b", p) // not its own
	is.True(!trials.Take(now, "b", []Fingerprint{p}))
	trials.Over("a", p)
	is.True(trials.Take(now, "b", []Fingerprint{p}))
	is.True(trials.Take(now.Add(TrialTimeout), "a", []Fingerprint{p}))
	trials.Sweep(now.Add(3 * TrialTimeout))
	is.Equal(len(trials.held), 0)
}

// Guards against parts that entries do not hear of because many contents are suspect: a zone's
// endpoints end with thousands of requests.
func TestPartsArePublishedBesideManyContents(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1e6, 0)
	d := NewLeaderBook(now, Registry{})
	d.Ended(now, partEnd("p", "s0", false))
	for i := range 2000 {
		for n := range 2 {
			d.Ended(now, End{Request: Key("k").Fingerprint(fmt.Append(nil, i)), Incarnation: fmt.Sprint("s", n)})
		}
	}
	parts := 0
	for _, u := range d.Updates(now) {
		if u.Part {
			parts++
		}
	}
	is.Equal(parts, 1)
}
