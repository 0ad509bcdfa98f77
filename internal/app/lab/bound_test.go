package lab

import (
	"bytes"
	"math"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/cassiapass/cassiapass/internal/core/bound"
)

// scarce returns a site with one engine, which can hold few of the requested models.
func scarce() *Site {
	s := small()
	s.Engines, s.Duration = 1, 12*time.Second
	return s
}

// Guards against a bound that is too low, so that a policy seems to earn all that is possible
// or more: this happens if an emulated engine does something in less time than the minimum
// that Problem states. Each policy is played on the loads that the bound is computed for.
func TestNoPolicyEarnsMoreThanTheBound(t *testing.T) {
	renewed := scarce()
	renewed.ReplaceInterval = 5 * time.Second
	const seed = 3
	quick := bound.DefaultSettings()
	quick.Rounds = 60
	for name, site := range map[string]*Site{"scarce": scarce(), "renewed": renewed} {
		r, err := bound.Solve(site.Problem(seed), 0, quick)
		if err != nil {
			t.Fatal(err)
		}
		for _, p := range Policies() {
			if p.AllModels {
				continue // no engine can hold that
			}
			if got := Run(site, p, seed).earned(); got > r.Bound/r.Total {
				t.Errorf("%s: %s earns %.4f, at most %.4f", name, p.Name, got, r.Bound/r.Total)
			}
		}
	}
}

// With one engine for 25 models, the bound must show that not all requests can be served.
func TestBoundIsBelowOneWhereEnginesAreScarce(t *testing.T) {
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
	is.NoErr(Table(&b, small(), []Summary{{Policy: "in-use", Earned: 0.9, UpperBound: &UpperBound{Ahead: 1, OnDemand: 0.95}}}))
	is.True(strings.Contains(b.String(), "10.0 %"))
	is.True(strings.Contains(b.String(), "5.3 %"))
}

func TestRecordedLoadIsWrittenAndBounded(t *testing.T) {
	is := is.New(t)
	file := filepath.Join(t.TempDir(), "load.json")
	is.NoErr(writeRecording(file, scarce()))
	p, err := readRecording(file)
	is.NoErr(err)
	is.Equal(len(p.Models), 25)
	is.True(math.Abs(p.Total()-scarce().Problem(1).Total()) < 1e-9)
	p.OnDemand = true
	_, err = bound.Solve(p, 0, bound.Settings{Window: time.Second, Span: time.Second, Rounds: 2})
	is.NoErr(err)
}

func TestBadRecordingsAreRefused(t *testing.T) {
	is := is.New(t)
	for what, text := range map[string]string{
		"unknown field":  `{"engines":1,"megabytes":1,"end":1,"speed":1}`,
		"no engines":     `{"engines":0,"megabytes":1,"end":1}`,
		"unknown model":  `{"engines":1,"megabytes":1,"end":1,"requests":[{"model":"a"}]}`,
		"twice":          `{"engines":1,"megabytes":1,"end":1,"models":[{"name":"a","megabytes":1},{"name":"a","megabytes":1}]}`,
		"too much later": `{"engines":1,"megabytes":1,"end":1,"models":[{"name":"a","megabytes":1}],"requests":[{"model":"a","at":0,"late":1,"worth":1,"little":2}]}`,
		"cut off":        `{"engines":1,`,
	} {
		file := filepath.Join(t.TempDir(), "load.json")
		is.NoErr(os.WriteFile(file, []byte(text), 0o600))
		_, err := readRecording(file)
		if err == nil {
			t.Errorf("%s: accepted", what)
		}
	}
	_, err := readRecording(filepath.Join(t.TempDir(), "none.json"))
	is.True(err != nil)
}
