package lab

import (
	"encoding/json"
	"fmt"
	"io"
	"math"
	"text/tabwriter"
	"time"
)

// Outcome is what callers got in one run.
type Outcome struct {
	site    *Site
	policy  string
	classes map[string]*tally
	models  map[string]*tally // of rarely used models: served at all or not
	spans   []tally           // by span of the time at which callers first asked
	loads   int               // from the store
	// overfull tells that an engine was ordered to hold more than fits.
	overfull bool
}

// span is the width of the points that a plot shows.
const span = 2 * time.Second

// tally counts requests.
type tally struct {
	Asked  int     `json:"asked"`
	InTime int     `json:"inTime"`
	Late   int     `json:"late"`
	Owed   float64 `json:"owed"`   // what all would be worth in time
	Earned float64 `json:"earned"` // what they were worth
}

func (t *tally) add(c *Class, inTime, late bool) {
	t.Asked++
	t.Owed += c.Worth
	switch {
	case inTime:
		t.InTime++
		t.Earned += c.Worth
	case late:
		t.Late++
		t.Earned += c.Late
	}
}

func newOutcome(s *Site, p Policy) *Outcome {
	return &Outcome{site: s, policy: p.Name, classes: map[string]*tally{}, models: map[string]*tally{}, spans: make([]tally, int(s.Length/span)+1)}
}

// answered counts a request whose first token came at the given time.
func (o *Outcome) answered(r *request, at time.Duration) {
	took := at - r.born
	o.count(r, took <= r.class.Objective, took <= r.class.Limit)
}

func (o *Outcome) refused(r *request) { o.count(r, false, false) }

func (o *Outcome) count(r *request, inTime, late bool) {
	for _, t := range []*tally{of(o.classes, r.class.Name), of(o.models, r.want.Model), &o.spans[int(r.born/span)]} {
		t.add(r.class, inTime, late && !inTime)
	}
}

func of(m map[string]*tally, name string) *tally {
	if m[name] == nil {
		m[name] = &tally{}
	}
	return m[name]
}

// earned returns the share of what was owed that was earned, over all classes.
func (o *Outcome) earned() float64 {
	var earned, owed float64
	for _, t := range o.classes {
		earned, owed = earned+t.Earned, owed+t.Owed
	}
	return earned / max(owed, 1e-9)
}

// starved returns how many models were asked for four times or more and never
// served.
func (o *Outcome) starved() int {
	n := 0
	for _, t := range o.models {
		if t.Asked >= 4 && t.InTime+t.Late == 0 {
			n++
		}
	}
	return n
}

// Summary is the outcome of a policy over several seeds.
type Summary struct {
	Policy  string             `json:"policy"`
	Earned  float64            `json:"earned"`         // mean share of what was owed
	Spread  float64            `json:"spread"`         // standard deviation over the seeds
	InTime  map[string]float64 `json:"inTime"`         // class to the share answered within the objective
	Served  map[string]float64 `json:"served"`         // class to the share answered at all
	Starved float64            `json:"starved"`        // models asked for and never served, on average
	Loads   float64            `json:"loads"`          // from the store, on average
	Worst   float64            `json:"worstSpan"`      // mean over the seeds of the worst span's share
	Most    *Most              `json:"most,omitempty"` // no policy can earn more; nil if not computed
	overall []float64          // span to its share, over all seeds
}

// Summarize puts the runs of one policy together.
func Summarize(runs []*Outcome) Summary {
	s := Summary{Policy: runs[0].policy, InTime: map[string]float64{}, Served: map[string]float64{}}
	n := float64(len(runs))
	sum := make([]tally, len(runs[0].spans))
	var square float64
	for _, o := range runs {
		e := o.earned()
		s.Earned += e / n
		square += e * e / n
		s.Starved += float64(o.starved()) / n
		s.Loads += float64(o.loads) / n
		for name, t := range o.classes {
			s.InTime[name] += float64(t.InTime) / float64(t.Asked) / n
			s.Served[name] += float64(t.InTime+t.Late) / float64(t.Asked) / n
		}
		worst := 1.0
		for i, t := range o.spans {
			sum[i].Owed, sum[i].Earned = sum[i].Owed+t.Owed, sum[i].Earned+t.Earned
			if t.Owed > 0 {
				worst = min(worst, t.Earned/t.Owed)
			}
		}
		s.Worst += worst / n
	}
	s.Spread = math.Sqrt(max(0, square-s.Earned*s.Earned))
	for _, t := range sum {
		if t.Owed > 0 {
			s.overall = append(s.overall, t.Earned/t.Owed)
		}
	}
	return s
}

// gap returns what a policy leaves of the most that could be earned, in per cent of that.
// It may be below zero for one that no engine can follow, as each holds everything, and for
// one that loads ahead against the bound for those that do not.
func (s Summary) gap(most float64) float64 { return 100 * (1 - s.Earned/most) }

// Table writes summaries, one a line.
func Table(w io.Writer, site *Site, sums []Summary) error {
	t := tabwriter.NewWriter(w, 0, 4, 2, ' ', tabwriter.AlignRight)
	fmt.Fprint(t, "policy\tearned\tspread\tworst span\t")
	for _, c := range site.Classes {
		fmt.Fprintf(t, "%s in time\tserved\t", c.Name)
	}
	fmt.Fprint(t, "starved\tstore loads\t")
	if sums[0].Most != nil {
		fmt.Fprint(t, "at most ahead\tgap\ton demand\tgap\t")
	}
	fmt.Fprintln(t)
	for _, s := range sums {
		fmt.Fprintf(t, "%s\t%.3f\t%.3f\t%.3f\t", s.Policy, s.Earned, s.Spread, s.Worst)
		for _, c := range site.Classes {
			fmt.Fprintf(t, "%.3f\t%.3f\t", s.InTime[c.Name], s.Served[c.Name])
		}
		fmt.Fprintf(t, "%.1f\t%.1f\t", s.Starved, s.Loads)
		if s.Most != nil {
			fmt.Fprintf(t, "%.3f\t%.1f %%\t%.3f\t%.1f %%\t", s.Most.Ahead, s.gap(s.Most.Ahead), s.Most.OnDemand, s.gap(s.Most.OnDemand))
		}
		fmt.Fprintln(t)
	}
	return t.Flush()
}

// JSON writes summaries for programs.
func JSON(w io.Writer, sums []Summary) error {
	enc := json.NewEncoder(w)
	enc.SetIndent("", "  ")
	return enc.Encode(sums)
}
