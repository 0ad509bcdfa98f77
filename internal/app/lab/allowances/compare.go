package allowances

import (
	"fmt"
	"io"
	"sync"
	"text/tabwriter"
	"time"
)

// methods are the methods compared, the one used in production last.
var methods = []struct {
	name  string
	build func(*simulation) method
}{
	{"even parts", newEvenSplit},
	{"parts by demand", newDemandSplit},
	{"shared chance", newSharedChance},
	{"shared, fallback", newProduction},
}

// Outcome is the result of a method in one scenario, over all its runs.
type Outcome struct {
	Method   string  `json:"way"`
	Scenario string  `json:"scenario"`
	Entries  int     `json:"entries"`
	Refused  float64 `json:"refused"`  // refused share of the units that an ideal token bucket admits
	Excess   float64 `json:"excess"`   // largest use beyond rate and burst in a window, as a share of the tolerated excess
	Messages float64 `json:"messages"` // a second and entry
	Bytes    float64 `json:"bytes"`    // a second and entry
}

// admission is an admitted request of one customer.
type admission struct {
	at    time.Time
	units float64
}

// run plays one method in one scenario.
func run(build func(*simulation) method, sc scenario, entries int, seed uint64) Outcome {
	w := newSimulation(sc, entries, seed)
	x := build(w)
	var log [customers][]admission
	ideal := make([]bucket, customers)
	for c, l := range w.limits {
		ideal[c] = bucket{level: l.burst, rate: l.rate, burst: l.burst, at: w.now}
	}
	var o Outcome
	var admissible, missed float64
	spans := map[[2]int]*[2]float64{} // by customer and window: units that the ideal bucket and the method admit
	for w.elapsed() < length {
		w.applyScenario(x)
		for c, l := range w.limits {
			ideal[c].set(w.now, l.rate, l.burst)
		}
		w.deliver()
		w.arrivals(func(entry, c int, cost float64) {
			key := [2]int{c, int(w.elapsed() / window)}
			if spans[key] == nil {
				spans[key] = &[2]float64{}
			}
			s := spans[key]
			if ideal[c].take(w.now, cost) {
				s[0] += cost
			}
			x.request(entry, c, cost, func(admitted bool) {
				if admitted {
					s[1] += cost
					log[c] = append(log[c], admission{w.now, cost})
				}
			})
		})
		x.step()
		w.now = w.now.Add(step)
	}
	for _, s := range spans {
		admissible += s[0]
		missed += max(0, s[0]-s[1])
	}
	o.Refused = missed / admissible
	for c, l := range w.limits {
		if sc.limitCut && c == 0 {
			continue // a window that spans the change of the limit has no single bound
		}
		o.Excess = max(o.Excess, maxExcess(log[c], l))
	}
	messages, bytes := x.traffic()
	perEntry := length.Seconds() * float64(w.entries)
	o.Messages, o.Bytes = float64(messages)/perEntry, float64(bytes)/perEntry
	return o
}

// maxExcess returns the largest use beyond a limit in any window, as a share of the tolerated
// excess.
func maxExcess(log []admission, l limit) float64 {
	base := l.rate*window.Seconds() + l.burst
	first, sum, maxSum := 0, 0.0, 0.0
	for _, u := range log {
		sum += u.units
		for ; u.at.Sub(log[first].at) > window; first++ {
			sum -= log[first].units
		}
		maxSum = max(maxSum, sum)
	}
	return max(0, maxSum-base) / (toleratedShare*base + toleratedUnits)
}

// Compare plays all methods in all scenarios with the seeds 1 to seeds. It calls done after
// each run, one call at a time.
func Compare(entries, seeds int, done func(played, of int)) []Outcome {
	all := scenarios()
	out := make([]Outcome, len(methods)*len(all))
	var mu sync.Mutex
	var wait sync.WaitGroup
	slots := make(chan struct{}, maxParallelRuns)
	played := 0
	for i, x := range methods {
		for j, sc := range all {
			wait.Go(func() {
				o := Outcome{Method: x.name, Scenario: sc.name, Entries: entries}
				for seed := range seeds {
					slots <- struct{}{}
					r := run(x.build, sc, entries, uint64(seed)+1)
					<-slots
					o.Refused += r.Refused / float64(seeds)
					o.Excess = max(o.Excess, r.Excess)
					o.Messages += r.Messages / float64(seeds)
					o.Bytes += r.Bytes / float64(seeds)
					mu.Lock()
					played++
					done(played, len(out)*seeds)
					mu.Unlock()
				}
				out[i*len(all)+j] = o
			})
		}
	}
	wait.Wait()
	return out
}

// maxParallelRuns is the number of runs played concurrently.
const maxParallelRuns = 4

// Table writes one line for each outcome.
func Table(out io.Writer, all []Outcome) error {
	t := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	fmt.Fprintln(t, "WAY\tSCENARIO\tREFUSED WITHIN\tLARGEST EXCESS\tMESSAGES/S\tBYTES/S")
	for _, o := range all {
		fmt.Fprintf(t, "%s\t%s\t%.2f %%\t%.0f %% of tolerated\t%.1f\t%.0f\n", o.Method, o.Scenario, 100*o.Refused, 100*o.Excess, o.Messages, o.Bytes)
	}
	return t.Flush()
}
