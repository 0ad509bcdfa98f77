package ctl

import (
	"cmp"
	"fmt"
	"maps"
	"slices"
	"strings"
	"text/tabwriter"
	"time"
)

// lossesCmd groups the requests in log files that were not answered at once by the cause
// of the delay or failure.
type lossesCmd struct {
	cli  *cli
	Args struct {
		Logs []string `positional-arg-name:"LOG" description:"log files or folders of them; standard input if none"`
	} `positional-args:"yes"`
}

// loss is one cause and the requests that it delayed or ended.
type loss struct {
	Cause    string         `json:"cause"`
	Requests int            `json:"requests"`
	Answered int            `json:"answered"`          // number of these that were answered later
	Waited   float64        `json:"waitedMeanSeconds"` // mean wait for an endpoint
	Routes   map[string]int `json:"routes"`
	Seconds  map[int64]int  `json:"seconds"` // number of requests that ended in each second, counted from the first log line
}

// losses are all causes, the most frequent first.
type losses struct {
	Requests int    `json:"requests"` // whose end is logged
	Delayed  int    `json:"held"`     // number of these that are counted in Causes
	Causes   []loss `json:"causes"`
}

// Execute implements flags.Commander.
func (x *lossesCmd) Execute([]string) error {
	lines, err := readLines(x.Args.Logs, x.cli.in)
	if err != nil {
		return err
	}
	all := sortLosses(lines)
	if all.Requests == 0 {
		return fail(ExitNotFound, "no line tells how a request ended")
	}
	return x.cli.print(all, func() { x.table(all) })
}

func (x *lossesCmd) table(all losses) {
	fmt.Fprintf(x.cli.out, "%d requests ended, %d of them not answered at once\n", all.Requests, all.Delayed)
	w := tabwriter.NewWriter(x.cli.out, 0, 0, 2, ' ', 0)
	fmt.Fprintln(w, "requests\tanswered\tmean wait s\tworst second\tcause\troutes")
	for _, l := range all.Causes {
		second, count := worstSecond(l.Seconds)
		fmt.Fprintf(w, "%d\t%d\t%.2f\t%d in second %d\t%s\t%s\n", l.Requests, l.Answered, l.Waited, count, second, l.Cause, byCount(l.Routes))
	}
	_ = w.Flush()
}

// sortLosses counts the requests that ended in the lines, by cause. It sorts lines by time.
func sortLosses(lines []logLine) losses {
	slices.SortStableFunc(lines, byTime)
	var out losses
	byCause := map[string]*loss{}
	leaderless := map[string]bool{} // hosts whose entry has lost the leader
	for _, l := range lines {
		event, host := l.Fields["event"], l.Fields["host"]
		switch event {
		case "control_lost":
			leaderless[host] = true
		case "control_regained", "deployment_in_force":
			delete(leaderless, host)
		}
		ended, cause := lossCause(l, leaderless[host])
		if !ended {
			continue
		}
		out.Requests++
		if cause != "" {
			out.Delayed++
			countLoss(byCause, cause, l, int64(l.at.Sub(lines[0].at)/time.Second))
		}
	}
	for _, c := range byCause {
		c.Waited /= float64(c.Requests)
		out.Causes = append(out.Causes, *c)
	}
	slices.SortFunc(out.Causes, func(a, b loss) int {
		return cmp.Or(cmp.Compare(b.Requests, a.Requests), cmp.Compare(a.Cause, b.Cause))
	})
	return out
}

func countLoss(byCause map[string]*loss, cause string, l logLine, second int64) {
	c, known := byCause[cause]
	if !known {
		c = &loss{Cause: cause, Routes: map[string]int{}, Seconds: map[int64]int{}}
		byCause[cause] = c
	}
	c.Requests++
	if l.Fields["event"] == "request_answered" {
		c.Answered++
	}
	c.Waited += waited(l).Seconds()
	c.Routes[l.Fields["route"]]++
	c.Seconds[second]++
}

// waited returns how long a request waited for an endpoint. The log field is in
// milliseconds.
func waited(l logLine) time.Duration {
	d, err := time.ParseDuration(l.Fields["waited"] + "ms")
	if err != nil {
		return 0 // the line has no such field
	}
	return d
}

// lossCause reports whether a line logs the end of a request, and the cause that delayed
// or ended it: "" if it was answered at once.
func lossCause(l logLine, leaderless bool) (ended bool, cause string) {
	reason := reasonText(l.Fields["reason"])
	if leaderless && l.Fields["reason"] == "not_loaded" {
		reason += ", and its entry knew no leader"
	}
	switch event := l.Fields["event"]; event {
	case "request_answered":
		if waited(l) == 0 {
			return true, ""
		}
		return true, reason
	case "request_not_run", "request_unauthorized", "request_over_allowance":
		return true, reason
	case "request_caller_gone":
		if waited(l) == 0 {
			return true, "the caller left while an endpoint was at work"
		}
		return true, reason
	case "request_no_deployment":
		return true, "its entry knew no deployment yet"
	case "request_failed_by_endpoint":
		return true, "the endpoint answered with a failure"
	case "request_cut", "request_unknown":
		return true, "the endpoint broke off or did not answer in time"
	case "request_stopping", "request_no_route", "request_bad_field":
		return true, strings.ReplaceAll(strings.TrimPrefix(event, "request_"), "_", " ")
	}
	return false, ""
}

// worstSecond returns the second with the most requests.
func worstSecond(seconds map[int64]int) (second int64, count int) {
	for _, s := range slices.Sorted(maps.Keys(seconds)) {
		if seconds[s] > count {
			second, count = s, seconds[s]
		}
	}
	return second, count
}

// byCount lists routes with their counts, the most frequent first.
func byCount(routes map[string]int) string {
	names := slices.SortedFunc(maps.Keys(routes), func(a, b string) int { return cmp.Or(cmp.Compare(routes[b], routes[a]), cmp.Compare(a, b)) })
	var out []string
	for _, n := range names {
		out = append(out, fmt.Sprintf("%s %d", n, routes[n]))
	}
	return strings.Join(out, ", ")
}
