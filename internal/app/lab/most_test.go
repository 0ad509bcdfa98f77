package lab

import (
	"bytes"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/cassiapass/cassiapass/internal/core/bound"
)

// scarce returns a site on which little of what is asked for can be held.
func scarce() *Site {
	s := small()
	s.Engines, s.Length = 1, 12*time.Second
	return s
}

// Symptom: a policy seems to have nothing left to gain, or less than nothing.
// Sequence: each policy on the same loads, next to what the bound says of them.
// Cause: an emulated engine does something in less time than the bound takes for the least.
func TestNoPolicyEarnsMoreThanTheBound(t *testing.T) {
	renewed := scarce()
	renewed.Renew = 5 * time.Second
	const seed = 3
	quick := bound.DefaultSettings()
	quick.Rounds = 60
	for name, site := range map[string]*Site{"scarce": scarce(), "renewed": renewed} {
		r, err := bound.Solve(site.Problem(seed), 0, quick)
		if err != nil {
			t.Fatal(err)
		}
		for _, p := range Policies() {
			if p.Everything {
				continue // no engine can hold that
			}
			if got := Run(site, p, seed).earned(); got > r.Most/r.Total {
				t.Errorf("%s: %s earns %.4f, at most %.4f", name, p.Name, got, r.Most/r.Total)
			}
		}
	}
}

// On one engine before 25 models the bound must tell that not all can be served.
func TestTheBoundTellsWhereEnginesAreScarce(t *testing.T) {
	is := is.New(t)
	m, err := Bound(scarce(), 1, 0.3)
	is.NoErr(err)
	is.True(m.Ahead < 0.9)
	is.True(m.OnDemand <= m.Ahead)
	is.True(m.OnDemand > 0)
}

func TestTableShowsTheGap(t *testing.T) {
	is := is.New(t)
	var b bytes.Buffer
	is.NoErr(Table(&b, small(), []Summary{{Policy: "in-use", Earned: 0.9, Most: &Most{Ahead: 1, OnDemand: 0.95}}}))
	is.True(strings.Contains(b.String(), "10.0 %"))
	is.True(strings.Contains(b.String(), "5.3 %"))
}
