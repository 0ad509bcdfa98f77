package lab

import (
	"encoding/json"
	"fmt"
	"io"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/cassiapass/cassiapass/internal/adapter/settings"
	"github.com/cassiapass/cassiapass/internal/app/lab/allowances"
)

type mainOptions struct {
	Site      string        `long:"site" env:"CASSIAPASS_LAB_SITE" default:"kyushu" description:"kyushu, kigali or uneven: the deployment and its load"`
	Load      float64       `long:"load" env:"CASSIAPASS_LAB_LOAD" default:"1" description:"load as a multiple of the site's usual one"`
	Policy    string        `long:"policy" env:"CASSIAPASS_LAB_POLICY" default:"all" description:"the policies to compare, separated by commas, all, or choices for those of an endpoint"`
	Seeds     int           `long:"seeds" env:"CASSIAPASS_LAB_SEEDS" default:"8" description:"runs of each policy"`
	Shift     time.Duration `long:"shift" env:"CASSIAPASS_LAB_SHIFT" default:"15s" description:"demand moves to another model this often; 0 never"`
	Renew     time.Duration `long:"renew" env:"CASSIAPASS_LAB_RENEW" default:"0s" description:"an engine is replaced by an empty one this often; 0 never"`
	Bound     bool          `long:"bound" env:"CASSIAPASS_LAB_BOUND" description:"also compute what no policy could exceed with the demand known ahead, and how far below each one stays; some seconds a seed"`
	BoundFile string        `long:"of" env:"CASSIAPASS_LAB_OF" description:"bound what policies could earn of the recorded load in this JSON file, and end"`
	WriteFile string        `long:"write" env:"CASSIAPASS_LAB_WRITE" description:"write the load of the first seed to this file, for --of, and end"`
	Entries   int           `long:"allowances" env:"CASSIAPASS_LAB_ALLOWANCES" description:"compare ways to keep customers within their allowances over so many entries, and end"`
	JSON      bool          `long:"json" env:"CASSIAPASS_LAB_JSON" description:"print JSON instead of a table"`
	Plot      string        `long:"plot" env:"CASSIAPASS_LAB_PLOT" description:"write a plot to this file, .svg or .png"`
}

// maxSeeds limits the runs of each policy in one call: a run takes about a second.
const maxSeeds = 1000

// Main runs cassiapass-lab.
func Main(args []string, out, errs io.Writer) (int, error) {
	var o mainOptions
	code, ok := settings.Parse(&o, args, out, errs, func(c *settings.Checker) {
		if !slices.Contains(Sites(), o.Site) {
			c.Fail("site", o.Site, strings.Join(Sites(), " or "))
		}
		if o.Load <= 0 {
			c.Fail("load", fmt.Sprint(o.Load), "a positive number")
		}
		if o.Seeds < 1 || o.Seeds > maxSeeds {
			c.Fail("seeds", fmt.Sprint(o.Seeds), fmt.Sprintf("1 to %d", maxSeeds))
		}
		if o.Entries < 0 || o.Entries > maxEntries {
			c.Fail("allowances", fmt.Sprint(o.Entries), fmt.Sprintf("1 to %d entries", maxEntries))
		}
		if len(selectPolicies(o.Policy)) == 0 {
			c.Fail("policy", o.Policy, strings.Join(PolicyNames(), ", ")+" or all")
		}
		if o.Shift < 0 || o.Renew < 0 {
			c.Fail("shift, renew", fmt.Sprint(o.Shift, " ", o.Renew), "no negative times")
		}
		if o.Plot != "" && !strings.HasSuffix(o.Plot, ".svg") && !strings.HasSuffix(o.Plot, ".png") {
			c.Fail("plot", o.Plot, "a file name that ends in .svg or .png")
		}
	})
	if !ok {
		return code, nil
	}
	if o.Entries > 0 {
		return exitCode(compareAllowances(o, out, errs))
	}
	if o.BoundFile != "" {
		return exitCode(boundRecording(o.BoundFile, out))
	}
	site := ByName(o.Site, o.Load)
	site.ShiftInterval, site.ReplaceInterval = o.Shift.Truncate(tick), o.Renew.Truncate(tick)
	if o.WriteFile != "" {
		return exitCode(writeRecording(o.WriteFile, site))
	}
	var sums []Summary
	for _, p := range selectPolicies(o.Policy) {
		sums = append(sums, Compare(site, p, o.Seeds))
	}
	if o.Bound {
		if err := addBound(site, sums, o.Seeds); err != nil {
			return 1, err
		}
	}
	if o.Plot != "" {
		if err := Plot(o.Plot, site, sums); err != nil {
			return 1, err
		}
	}
	if o.JSON {
		return 0, JSON(out, sums)
	}
	return 0, Table(out, site, sums)
}

// maxEntries limits the entries of a comparison of allowances.
const maxEntries = 2000

func compareAllowances(o mainOptions, out, errs io.Writer) error {
	all := allowances.Compare(o.Entries, o.Seeds, func(played, of int) { fmt.Fprintf(errs, "\r%d of %d runs", played, of) })
	fmt.Fprintln(errs)
	if o.Plot != "" {
		if err := allowances.Plot(o.Plot, o.Entries); err != nil {
			return err
		}
	}
	if o.JSON {
		return json.NewEncoder(out).Encode(all)
	}
	return allowances.Table(out, all)
}

func exitCode(err error) (int, error) {
	if err != nil {
		return 1, err
	}
	return 0, nil
}

// addBound adds the upper bound on what policies can earn to each summary.
func addBound(s *Site, sums []Summary, seeds int) error {
	earned := 0.0
	for _, x := range sums {
		if p := Policies()[slices.Index(PolicyNames(), x.Policy)]; !p.AllModels {
			earned = max(earned, x.Earned)
		}
	}
	upper, err := Bound(s, seeds, earned)
	for i := range sums {
		sums[i].UpperBound = &upper
	}
	return err
}

// maxParallelRuns is the number of runs played concurrently.
const maxParallelRuns = 4

// Compare plays a policy with the seeds 1 to seeds and summarizes the runs.
func Compare(s *Site, p Policy, seeds int) Summary {
	runs := make([]*Outcome, seeds)
	var all sync.WaitGroup
	slots := make(chan struct{}, maxParallelRuns)
	for i := range seeds {
		all.Go(func() {
			slots <- struct{}{}
			runs[i] = Run(s, p, uint64(i)+1)
			<-slots
		})
	}
	all.Wait()
	return Summarize(runs)
}

// selectPolicies returns the policies of a comma-separated list of names, of all or of choices, or nil if a name
// is unknown.
func selectPolicies(names string) []Policy {
	switch names {
	case "all":
		return Policies()
	case "choices":
		return ChoicePolicies()
	}
	var out []Policy
	for _, name := range strings.Split(names, ",") {
		i := slices.Index(PolicyNames(), strings.TrimSpace(name))
		if i < 0 {
			return nil
		}
		out = append(out, append(Policies(), ChoicePolicies()...)[i])
	}
	return out
}
