package daemon

import (
	"fmt"
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"testing"

	flags "github.com/jessevdk/go-flags"
	"github.com/matryer/is"
)

const (
	operatorsPage = "../../../docs/OPERATORS.md"
	onCallPage    = "../../../docs/OPERATIONS.md"
	tableBegin    = "<!-- settings, made from the flags; do not edit -->"
	tableEnd      = "<!-- end of settings -->"
)

// settingsTables returns a Markdown table of the flags of each daemon.
func settingsTables(t *testing.T) string {
	t.Helper()
	var b strings.Builder
	for _, d := range []struct {
		name string
		opts any
	}{{"cassiapass-control", &ControlOptions{}}, {"cassiapass-entry", &EntryOptions{}}, {"cassiapass-agent", &AgentOptions{}}} {
		fmt.Fprintf(&b, "\n#### %s\n\n| flag | variable | default | meaning |\n| --- | --- | --- | --- |\n", d.name)
		p := flags.NewParser(d.opts, flags.None)
		var walk func(gs []*flags.Group)
		walk = func(gs []*flags.Group) {
			for _, g := range gs {
				for _, o := range g.Options() {
					fmt.Fprintf(&b, "| `--%s` | `%s` | %s | %s |\n", o.LongName, o.EnvDefaultKey, strings.Join(o.Default, ","), o.Description)
				}
				walk(g.Groups())
			}
		}
		walk(p.Groups())
	}
	return b.String()
}

// The settings tables on the operators' page must match the flags. Run with
// CASSIAPASS_UPDATE_DOCS=1 to rewrite them.
func TestSettingsOnTheOperatorsPage(t *testing.T) {
	is := is.New(t)
	raw, err := os.ReadFile(operatorsPage)
	is.NoErr(err)
	before, rest, ok := strings.Cut(string(raw), tableBegin)
	is.True(ok)
	_, after, ok := strings.Cut(rest, tableEnd)
	is.True(ok)
	want := before + tableBegin + "\n" + settingsTables(t) + "\n" + tableEnd + after
	if os.Getenv("CASSIAPASS_UPDATE_DOCS") != "" {
		is.NoErr(os.WriteFile(operatorsPage, []byte(want), 0o644))
		return
	}
	if want != string(raw) {
		t.Fatal("the settings differ from the flags; run this test with CASSIAPASS_UPDATE_DOCS=1")
	}
}

var (
	metricName       = regexp.MustCompile(`"(cassiapass_[a-z_]+)`)
	metricWithLabels = regexp.MustCompile("`(cassiapass_[a-z_]+)\\{")
	eventName        = regexp.MustCompile(`\.Msg\("([a-z_]+)"\)`)
)

// Every metric and log event in the code must be explained on the operators' pages.
func TestEveryMetricAndEventIsExplained(t *testing.T) {
	is := is.New(t)
	page, err := os.ReadFile(operatorsPage)
	is.NoErr(err)
	onCall, err := os.ReadFile(onCallPage)
	is.NoErr(err)
	page = append(page, onCall...)
	err = filepath.WalkDir("../../..", func(path string, d os.DirEntry, err error) error {
		if err != nil || d.IsDir() || !strings.HasSuffix(path, ".go") || strings.HasSuffix(path, "_test.go") {
			return err
		}
		src, err := os.ReadFile(path)
		if err != nil {
			return err
		}
		for _, re := range []*regexp.Regexp{metricName, metricWithLabels, eventName} {
			for _, m := range re.FindAllStringSubmatch(string(src), -1) {
				if !strings.Contains(string(page), "`"+m[1]+"`") {
					t.Errorf("%s: %s is not on the operators' page", path, m[1])
				}
			}
		}
		return nil
	})
	is.NoErr(err)
}

var (
	citedMetric = regexp.MustCompile("`(cassiapass_[a-z_]+)`")
	citedEvent  = regexp.MustCompile("`([a-z]+(?:_[a-z]+)+)`")
)

// Every metric and event that the on-call page cites must exist in the code, or its reader
// would search for something that is no longer written.
func TestOnCallPageCitesWhatExists(t *testing.T) {
	is := is.New(t)
	page, err := os.ReadFile(onCallPage)
	is.NoErr(err)
	var code strings.Builder
	err = filepath.WalkDir("../../..", func(path string, d os.DirEntry, err error) error {
		if err != nil || d.IsDir() || !strings.HasSuffix(path, ".go") || strings.HasSuffix(path, "_test.go") {
			return err
		}
		src, err := os.ReadFile(path)
		code.Write(src)
		return err
	})
	is.NoErr(err)
	for _, m := range citedMetric.FindAllStringSubmatch(string(page), -1) {
		if !strings.Contains(code.String(), m[1]) {
			t.Errorf("the on-call page cites metric %s, which is not in the code", m[1])
		}
	}
	_, events, found := strings.Cut(string(page), "## Events")
	is.True(found)
	events, _, found = strings.Cut(events, "## Metrics")
	is.True(found)
	for _, m := range citedEvent.FindAllStringSubmatch(events, -1) {
		// The names of events at the end of a request or an attempt are concatenated.
		_, ending, _ := strings.Cut(m[1], "_")
		if !strings.Contains(code.String(), `"`+m[1]+`"`) && !strings.Contains(code.String(), `"`+ending+`"`) {
			t.Errorf("the on-call page cites event %s, which is not in the code", m[1])
		}
	}
}
