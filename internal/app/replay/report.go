package replay

import (
	"cmp"
	"fmt"
	"io"
	"maps"
	"slices"
	"text/tabwriter"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/cassiapass/cassiapass/internal/core/ident"
	"github.com/cassiapass/cassiapass/internal/core/placement"
	"github.com/cassiapass/cassiapass/internal/core/state"
)

const (
	histogramMin    = 1           // millisecond
	histogramMax    = 7200 * 1000 // two hours
	histogramDigits = 3
	onTime          = 1900 * time.Millisecond // firstAnswer of the generated records
)

// Report is the result of one replay.
type Report struct {
	Trace    string `json:"trace"`
	Policy   string `json:"policy"`
	Requests int    `json:"requests"`
	Cold     int    `json:"cold"`   // requests that waited for a load and were answered
	Over10s  int    `json:"over10"` // of these, those with the first token after more than 10 s

	// Seconds from arrival to the first token of requests that waited for a
	// load. A refused request counts with its whole deadline in ColdP99Refused.
	ColdP50        float64 `json:"coldP50"`
	ColdP95        float64 `json:"coldP95"`
	ColdP99        float64 `json:"coldP99"`
	ColdP999       float64 `json:"coldP999"`
	ColdP99Refused float64 `json:"coldP99WithRefused"`

	OnTime           float64        `json:"onTime"` // share of all requests with the first token within the time limit
	AcceleratorHours float64        `json:"idleAcceleratorHours"`
	Loads            int            `json:"loads"`
	Refused          map[string]int `json:"refused"`
	UnfairP99        float64        `json:"unfairP99"`     // largest difference of cold p99 between equal customers, seconds
	UnfairRefused    float64        `json:"unfairRefused"` // largest difference of their shares of refusals
	PeakMemory       float64        `json:"peakMemory"`    // largest share of an endpoint's memory held
	MaxReplicas      int            `json:"mostReplicas"`  // of one target
	MaxStoreLoads    int            `json:"mostStoreLoads"`
	PlannerMicros    float64        `json:"plannerMicrosPerEvent"` // wall time of the planner per demand or report

	cold      *hdrhistogram.Histogram
	coldAll   *hdrhistogram.Histogram // includes refused requests
	customers map[ident.Customer]*customerReport
	inTime    int
	samples   []sample
}

type customerReport struct {
	cold     *hdrhistogram.Histogram
	requests int
	refused  int
	batch    bool
}

// sample is the memory of all engines at one second, in bytes, for the plot.
type sample struct {
	held, idle float64
}

func newHistogram() *hdrhistogram.Histogram {
	return hdrhistogram.New(histogramMin, histogramMax, histogramDigits)
}

func newReport(trace, policy string) *Report {
	return &Report{Trace: trace, Policy: policy, Refused: map[string]int{}, cold: newHistogram(), coldAll: newHistogram(), customers: map[ident.Customer]*customerReport{}}
}

func (rep *Report) customer(q *request) *customerReport {
	c := rep.customers[q.customer.Name]
	if c == nil {
		c = &customerReport{cold: newHistogram(), batch: q.customer.Priority == "batch"}
		rep.customers[q.customer.Name] = c
	}
	return c
}

// started counts the first token of a request.
func (rep *Report) started(q *request, took time.Duration) {
	rep.customer(q).requests++
	if took <= onTime {
		rep.inTime++
	}
	if !q.cold {
		return
	}
	ms := took.Milliseconds()
	rep.Cold++
	if took > 10*time.Second {
		rep.Over10s++
	}
	_ = rep.cold.RecordValue(ms)
	_ = rep.coldAll.RecordValue(ms)
	_ = rep.customer(q).cold.RecordValue(ms)
}

func (rep *Report) refused(q *request, reason string) {
	rep.Refused[reason]++
	rep.customer(q).requests++
	rep.customer(q).refused++
	_ = rep.coldAll.RecordValue(int64(q.line.Deadline * 1000))
}

// recordReplicas records the largest number of replicas of a target. It panics if a
// grant exceeds the number sold.
func (rep *Report) recordReplicas(st *state.State, changes []state.Change) {
	for _, c := range changes {
		if c.Replica == nil {
			continue
		}
		n := st.Count(c.Replica.Target)
		rep.MaxReplicas = max(rep.MaxReplicas, n)
		if c.Replica.Phase == state.Granted && n > st.MaxReplicas(c.Replica.Target) {
			panic(fmt.Sprintf("invariant: replay: %d replicas of %s, %d sold", n, c.Replica.Target, st.MaxReplicas(c.Replica.Target)))
		}
	}
}

// addIdleTime adds one second of one endpoint to the idle accelerator hours.
func (rep *Report) addIdleTime(h *host, accelerator float64) {
	if h == h.r.hostList[0] {
		rep.samples = append(rep.samples, sample{})
	}
	s := &rep.samples[len(rep.samples)-1]
	busy := map[ident.Target]bool{}
	for _, q := range h.running {
		busy[q.line.Target] = true
		busy[q.line.Target.Base()] = true
	}
	for t, m := range h.held {
		s.held += float64(m.bytes)
		if !busy[t] && !m.loading {
			s.idle += float64(m.bytes)
			rep.AcceleratorHours += float64(m.bytes) / accelerator / 3600
		}
	}
}

func (rep *Report) finish(r *runner) {
	quantile := func(h *hdrhistogram.Histogram, p float64) float64 { return float64(h.ValueAtQuantile(p)) / 1000 }
	rep.ColdP50, rep.ColdP95, rep.ColdP99, rep.ColdP999 = quantile(rep.cold, 50), quantile(rep.cold, 95), quantile(rep.cold, 99), quantile(rep.cold, 99.9)
	rep.ColdP99Refused = quantile(rep.coldAll, 99)
	rep.OnTime = float64(rep.inTime) / float64(max(1, rep.Requests))
	rep.MaxStoreLoads = r.store.maxLoads
	rep.PlannerMicros = float64(r.plannerTime.Microseconds()) / float64(max(1, r.plannerEvents))
	rep.fairness(quantile)
	if r.active != 0 {
		panic(fmt.Sprintf("invariant: replay: %d requests never ended", r.active))
	}
}

func (rep *Report) fairness(quantile func(*hdrhistogram.Histogram, float64) float64) {
	var p99, refused []float64
	for _, c := range rep.customers {
		if c.batch {
			continue
		}
		p99 = append(p99, quantile(c.cold, 99))
		refused = append(refused, float64(c.refused)/float64(max(1, c.requests)))
	}
	if len(p99) > 0 {
		rep.UnfairP99 = slices.Max(p99) - slices.Min(p99)
		rep.UnfairRefused = slices.Max(refused) - slices.Min(refused)
	}
}

// Table writes the reports as the columns of a table, and the lower bound.
func Table(w io.Writer, reps []*Report, bound Bound) error {
	t := tabwriter.NewWriter(w, 0, 4, 2, ' ', tabwriter.AlignRight)
	row := func(name string, f func(*Report) string) {
		fmt.Fprint(t, name, "\t")
		for _, r := range reps {
			fmt.Fprint(t, f(r), "\t")
		}
		fmt.Fprintln(t)
	}
	sec := func(f func(*Report) float64) func(*Report) string {
		return func(r *Report) string { return fmt.Sprintf("%.2f s", f(r)) }
	}
	row("policy", func(r *Report) string { return r.Policy })
	row("requests", func(r *Report) string { return fmt.Sprint(r.Requests) })
	row("cold", func(r *Report) string { return fmt.Sprint(r.Cold) })
	row("cold over 10 s", func(r *Report) string { return fmt.Sprint(r.Over10s) })
	row("cold start p50", sec(func(r *Report) float64 { return r.ColdP50 }))
	row("p95", sec(func(r *Report) float64 { return r.ColdP95 }))
	row("p99", sec(func(r *Report) float64 { return r.ColdP99 }))
	row("p99.9", sec(func(r *Report) float64 { return r.ColdP999 }))
	row("p99, refused count as deadline", sec(func(r *Report) float64 { return r.ColdP99Refused }))
	row("first token in time", func(r *Report) string { return fmt.Sprintf("%.2f %%", 100*r.OnTime) })
	row("idle accelerator hours", func(r *Report) string { return fmt.Sprintf("%.1f", r.AcceleratorHours) })
	row("loads", func(r *Report) string { return fmt.Sprint(r.Loads) })
	for _, reason := range reasons(reps) {
		row("refused: "+reason, func(r *Report) string { return fmt.Sprint(r.Refused[reason]) })
	}
	row("largest difference of p99 between equal customers", sec(func(r *Report) float64 { return r.UnfairP99 }))
	row("largest difference of refusals", func(r *Report) string { return fmt.Sprintf("%.2f %%", 100*r.UnfairRefused) })
	row("peak memory of limit", func(r *Report) string { return fmt.Sprintf("%.1f %%", 100*r.PeakMemory) })
	row("most replicas of a target", func(r *Report) string { return fmt.Sprint(r.MaxReplicas) })
	row("most loads at the store", func(r *Report) string { return fmt.Sprint(r.MaxStoreLoads) })
	row("planner time per event", func(r *Report) string { return fmt.Sprintf("%.1f us", r.PlannerMicros) })
	if err := t.Flush(); err != nil {
		return err
	}
	_, err := fmt.Fprintf(w, "lower bound of cold start: p50 %.2f s, p99 %.2f s over %d cold requests\n", bound.P50, bound.P99, bound.Cold)
	return err
}

func reasons(reps []*Report) []string {
	all := map[string]bool{}
	for _, r := range reps {
		for reason := range r.Refused {
			all[reason] = true
		}
	}
	return slices.Sorted(maps.Keys(all))
}

// Policies returns the policies to compare.
func Policies() []placement.Policy {
	return []placement.Policy{placement.PolicyHistory, placement.PolicyFixed, placement.PolicyNever}
}

func sortRequests(qs []*request) {
	slices.SortFunc(qs, func(a, b *request) int {
		return cmp.Or(a.arrived.Compare(b.arrived), cmp.Compare(a.id, b.id))
	})
}
