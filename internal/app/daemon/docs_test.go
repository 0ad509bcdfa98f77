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
	tableBegin    = "<!-- settings, made from the flags; do not edit -->"
	tableEnd      = "<!-- end of settings -->"
)

// settingsTables writes one table per daemon from its flags.
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

// The settings on the operators' page are those of the flags. Run with
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
	metricName = regexp.MustCompile(`"(cassiapass_[a-z_]+)`)
	metricMade = regexp.MustCompile("`(cassiapass_[a-z_]+)\\{")
	eventName  = regexp.MustCompile(`\.Msg\("([a-z_]+)"\)`)
)

// Every metric and log event of the code is explained to operators.
func TestEveryMetricAndEventIsExplained(t *testing.T) {
	is := is.New(t)
	page, err := os.ReadFile(operatorsPage)
	is.NoErr(err)
	err = filepath.WalkDir("../..", func(path string, d os.DirEntry, err error) error {
		if err != nil || d.IsDir() || !strings.HasSuffix(path, ".go") || strings.HasSuffix(path, "_test.go") {
			return err
		}
		src, err := os.ReadFile(path)
		if err != nil {
			return err
		}
		for _, re := range []*regexp.Regexp{metricName, metricMade, eventName} {
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
