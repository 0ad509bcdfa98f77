package keepalive

import (
	"encoding/json"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/cassiapass/cassiapass/internal/core/ident"
)

func history(gaps ...time.Duration) Stats {
	h := NewHistory()
	var ss []Sample
	for _, g := range gaps {
		ss = append(ss, Sample{Target: ident.Target{Model: "m"}, Idle: g, Woke: true})
	}
	h.Add(ss)
	return h.Stats(ident.Target{Model: "m"})
}

func TestKeepForFollowsHistoryAndWeight(t *testing.T) {
	is := is.New(t)
	tune := DefaultTuning()
	var often, daily []time.Duration
	for range 30 {
		often = append(often, 40*time.Second)
		daily = append(daily, 20*time.Hour)
	}
	o, d := history(often...), history(daily...)
	reload := 10 * time.Second
	is.True(o.KeepFor(tune, 0.5, reload) >= 40*time.Second) // waiting for the next use costs less
	is.Equal(d.KeepFor(tune, 0.5, reload), tune.Min)        // the next use is not expected soon
	is.Equal(o.KeepFor(tune, 1, reload), tune.Max)
	is.Equal(o.KeepFor(tune, 0, reload), tune.Min)
	none := Stats{}
	short, long := none.KeepFor(tune, 0.2, reload), none.KeepFor(tune, 0.8, reload)
	is.True(short < long) // the weight has an effect without history
}

func TestSurvivalDecreasesAndUseIsAProbability(t *testing.T) {
	is := is.New(t)
	s := history(10*time.Second, 100*time.Second, 1000*time.Second)
	last := 1.0
	for d := time.Duration(0); d < 3*time.Hour; d += 7 * time.Second {
		p := s.Survival(d)
		is.True(p <= last+1e-9)
		last = p
		u := s.UseWithin(d, time.Minute)
		is.True(u >= 0 && u <= 1)
	}
}

func TestCompanionsAreTargetsThatUsuallyWakeTogether(t *testing.T) {
	is := is.New(t)
	a, b, c := ident.Target{Model: "a"}, ident.Target{Model: "b"}, ident.Target{Model: "c"}
	h := NewHistory()
	for i := range 10 {
		h.Add([]Sample{{Target: a, Woke: true}, {Target: b, Woke: true, With: []ident.Target{a}}})
		if i == 0 {
			h.Add([]Sample{{Target: c, Woke: true, With: []ident.Target{a}}})
		}
	}
	st := h.Stats(a)
	is.Equal(st.Companions(0.5, 3), []ident.Target{b})
	raw, err := json.Marshal(h)
	is.NoErr(err)
	back := NewHistory()
	is.NoErr(json.Unmarshal(raw, back))
	st = back.Stats(a)
	is.Equal(st.Companions(0.5, 3), []ident.Target{b}) // survives a restart
}
