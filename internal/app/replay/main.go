package replay

import (
	"encoding/json"
	"fmt"
	"io"
	"os"
	"strings"

	"github.com/cassiapass/cassiapass/internal/adapter/settings"
	"github.com/cassiapass/cassiapass/internal/core/placement"
)

// mainOptions are the options of cassiapass-replay.
type mainOptions struct {
	Trace     string  `long:"trace" env:"CASSIAPASS_TRACE" description:"trace file of JSON lines, - for standard input; generated if empty"`
	Generate  string  `long:"generate" env:"CASSIAPASS_GENERATE" default:"kyushu" description:"kyushu, kigali or random: the trace to generate"`
	Seed      uint64  `long:"seed" env:"CASSIAPASS_SEED" default:"1" description:"seed of the generator"`
	Faults    bool    `long:"faults" env:"CASSIAPASS_FAULTS" description:"add the generator's faults"`
	Write     string  `long:"write" env:"CASSIAPASS_WRITE" description:"write the trace to this file and do nothing else"`
	Policy    string  `long:"policy" env:"CASSIAPASS_POLICY" default:"all" description:"history, fixed, never or all"`
	ColdValue float64 `long:"cold-value" env:"CASSIAPASS_COLD_VALUE" description:"seconds of idle time that one second of cold start is worth; 0 keeps the default"`
	Check     bool    `long:"check" env:"CASSIAPASS_CHECK" description:"verify the promises after every command"`
	JSON      bool    `long:"json" env:"CASSIAPASS_JSON" description:"print JSON instead of a table"`
	Plot      string  `long:"plot" env:"CASSIAPASS_PLOT" description:"write plots to this file, .svg or .png"`
}

// Main runs cassiapass-replay.
func Main(args []string, in io.Reader, out, errs io.Writer) (int, error) {
	var o mainOptions
	code, ok := settings.Parse(&o, args, out, errs, func(c *settings.Checker) {
		if _, ok := generators[o.Generate]; !ok {
			c.Fail("generate", o.Generate, "kyushu, kigali or random")
		}
		if o.Policy != "all" && len(policies(o.Policy)) == 0 {
			c.Fail("policy", o.Policy, "history, fixed, never or all")
		}
		if o.Plot != "" && !strings.HasSuffix(o.Plot, ".svg") && !strings.HasSuffix(o.Plot, ".png") {
			c.Fail("plot", o.Plot, "a file name that ends in .svg or .png")
		}
	})
	if !ok {
		return code, nil
	}
	t, err := o.load(in)
	if err != nil {
		return 1, err
	}
	if o.Write != "" {
		return 0, writeTrace(o.Write, t)
	}
	var reps []*Report
	for _, p := range policies(o.Policy) {
		cfg := placement.DefaultConfig()
		cfg.Policy = p
		if o.ColdValue > 0 {
			cfg.KeepAlive.ColdValue = o.ColdValue
		}
		rep, err := Run(t, Options{Placement: cfg, Check: o.Check})
		if err != nil {
			return 1, err
		}
		reps = append(reps, rep)
	}
	bound := LowerBound(t)
	if o.Plot != "" {
		if err := Plot(o.Plot, reps); err != nil {
			return 1, err
		}
	}
	if o.JSON {
		enc := json.NewEncoder(out)
		enc.SetIndent("", "  ")
		return 0, enc.Encode(struct {
			Reports []*Report `json:"reports"`
			Bound   Bound     `json:"bound"`
		}{reps, bound})
	}
	return 0, Table(out, reps, bound)
}

var generators = map[string]func(seed uint64, faults bool) *Trace{
	"kyushu": Kyushu,
	"kigali": Kigali,
	"random": func(seed uint64, _ bool) *Trace { return Random(seed) },
}

func policies(name string) []placement.Policy {
	if name == "all" {
		return Policies()
	}
	for _, p := range Policies() {
		if string(p) == name {
			return []placement.Policy{p}
		}
	}
	return nil
}

func (o *mainOptions) load(in io.Reader) (*Trace, error) {
	if o.Trace == "" {
		return generators[o.Generate](o.Seed, o.Faults), nil
	}
	if o.Trace != "-" {
		f, err := os.Open(o.Trace)
		if err != nil {
			return nil, err
		}
		defer f.Close()
		in = f
	}
	t, err := Read(in)
	if err != nil {
		return nil, fmt.Errorf("trace %s: %w", o.Trace, err)
	}
	return t, nil
}

func writeTrace(file string, t *Trace) error {
	f, err := os.Create(file)
	if err != nil {
		return err
	}
	if err := t.Write(f); err != nil {
		f.Close()
		return err
	}
	return f.Close()
}
