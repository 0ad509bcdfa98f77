package lab

import (
	"encoding/json"
	"fmt"
	"io"
	"math"
	"text/tabwriter"
	"time"
)

// Outcome records how the requests of one run were answered.
type Outcome struct {
	site    *Site
	policy  string
	classes map[string]*tally
	models  map[string]*tally // by model, to find models that were never served
	spans   []tally           // by span of the first attempt's arrival
	loads   int               // from the store
	// overcommitted is set if an engine was ordered to hold more than fits.
	overcommitted bool
}

// span is the time that one point of a plot covers.
const span = 2 * time.Second

// tally counts requests.
type tally struct {
	Asked    int     `json:"asked"`
	InTime   int     `json:"inTime"`
	Late     int     `json:"late"`
	Possible float64 `json:"owed"`   // value if all were answered within the objective
	Earned   float64 `json:"earned"` // value of the answers given
}

func (t *tally) add(c *Class, inTime, late bool) {
	t.Asked++
	t.Possible += c.Value
	switch {
	case inTime:
		t.InTime++
		t.Earned += c.Value
	case late:
		t.Late++
		t.Earned += c.LateValue
	}
}

func newOutcome(s *Site, p Policy) *Outcome {
	return &Outcome{site: s, policy: p.Name, classes: map[string]*tally{}, models: map[string]*tally{}, spans: make([]tally, int(s.Duration/span)+1)}
}

// answered counts a request whose first token was produced at the given time.
func (o *Outcome) answered(r *request, at time.Duration) {
	took := at - r.firstArrived
	o.count(r, took <= r.class.Objective, took <= r.class.Limit)
}

func (o *Outcome) refused(r *request) { o.count(r, false, false) }

func (o *Outcome) count(r *request, inTime, late bool) {
	for _, t := range []*tally{tallyFor(o.classes, r.class.Name), tallyFor(o.models, r.want.Model), &o.spans[int(r.firstArrived/span)]} {
		t.add(r.class, inTime, late && !inTime)
	}
}

func tallyFor(m map[string]*tally, name string) *tally {
	if m[name] == nil {
		m[name] = &tally{}
	}
	return m[name]
}

// earned returns the earned share of the possible value, over all classes.
func (o *Outcome) earned() float64 {
	var earned, possible float64
	for _, t := range o.classes {
		earned, possible = earned+t.Earned, possible+t.Possible
	}
	return earned / max(possible, 1e-9)
}

// starved returns the number of models that were requested four times or more and
// never served.
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
	Policy     string             `json:"policy"`
	Earned     float64            `json:"earned"`         // mean earned share of the possible value
	Spread     float64            `json:"spread"`         // standard deviation over the seeds
	InTime     map[string]float64 `json:"inTime"`         // by class: share answered within the objective
	Served     map[string]float64 `json:"served"`         // by class: share answered at all
	Starved    float64            `json:"starved"`        // mean number of models requested and never served
	Loads      float64            `json:"loads"`          // mean loads from the store
	WorstSpan  float64            `json:"worstSpan"`      // mean over the seeds of the lowest earned share of a span
	UpperBound *UpperBound        `json:"most,omitempty"` // nil if not computed
	spanShares []float64          // earned share by span, over all seeds
}

// Summarize combines the runs of one policy, at least one.
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
			sum[i].Possible, sum[i].Earned = sum[i].Possible+t.Possible, sum[i].Earned+t.Earned
			if t.Possible > 0 {
				worst = min(worst, t.Earned/t.Possible)
			}
		}
		s.WorstSpan += worst / n
	}
	s.Spread = math.Sqrt(max(0, square-s.Earned*s.Earned))
	for _, t := range sum {
		if t.Possible > 0 {
			s.spanShares = append(s.spanShares, t.Earned/t.Possible)
		}
	}
	return s
}

// gap returns how far the policy stays below limit, in per cent of limit. It may be negative
// for the policy with AllModels, which no engine can hold, and for a policy that prefetches
// when limit is the bound for loading on demand.
func (s Summary) gap(limit float64) float64 { return 100 * (1 - s.Earned/limit) }

// Table writes one line for each summary.
func Table(w io.Writer, site *Site, sums []Summary) error {
	t := tabwriter.NewWriter(w, 0, 4, 2, ' ', tabwriter.AlignRight)
	fmt.Fprint(t, "policy\tearned\tspread\tworst span\t")
	for _, c := range site.Classes {
		fmt.Fprintf(t, "%s in time\tserved\t", c.Name)
	}
	fmt.Fprint(t, "starved\tstore loads\t")
	if sums[0].UpperBound != nil {
		fmt.Fprint(t, "at most ahead\tgap\ton demand\tgap\t")
	}
	fmt.Fprintln(t)
	for _, s := range sums {
		fmt.Fprintf(t, "%s\t%.3f\t%.3f\t%.3f\t", s.Policy, s.Earned, s.Spread, s.WorstSpan)
		for _, c := range site.Classes {
			fmt.Fprintf(t, "%.3f\t%.3f\t", s.InTime[c.Name], s.Served[c.Name])
		}
		fmt.Fprintf(t, "%.1f\t%.1f\t", s.Starved, s.Loads)
		if s.UpperBound != nil {
			fmt.Fprintf(t, "%.3f\t%.1f %%\t%.3f\t%.1f %%\t", s.UpperBound.Ahead, s.gap(s.UpperBound.Ahead), s.UpperBound.OnDemand, s.gap(s.UpperBound.OnDemand))
		}
		fmt.Fprintln(t)
	}
	return t.Flush()
}

// JSON writes summaries as indented JSON.
func JSON(w io.Writer, sums []Summary) error {
	enc := json.NewEncoder(w)
	enc.SetIndent("", "  ")
	return enc.Encode(sums)
}
