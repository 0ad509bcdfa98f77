package dev

import (
	"bytes"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/matryer/is"

	"github.com/cassiapass/cassiapass/internal/app/ctl"
	"github.com/cassiapass/cassiapass/internal/core/record"
)

// runCtl runs cassiapassctl against the system.
func (s *System) runCtl(stdin string, args ...string) (code int, out, errs string) {
	var o, e bytes.Buffer
	for _, c := range s.Controls {
		args = append([]string{"--control", "http://" + c.API.Addr()}, args...)
	}
	code = ctl.Main(args, strings.NewReader(stdin), &o, &e)
	return code, o.String(), e.String()
}

func TestOperatorCommands(t *testing.T) {
	is := is.New(t)
	s := start(t, func(c *Config) { c.Controls = 3 })
	file := filepath.Join(t.TempDir(), "record.json")
	text := strings.ReplaceAll(sampleKyushu(), "outage-reports", "night-reports")
	is.NoErr(os.WriteFile(file, []byte(text), 0o600))

	code, out, _ := s.runCtl("", "submit", file, "--request", "op-1", "--reason", "new")
	is.Equal(code, ctl.ExitOK)
	is.True(strings.Contains(out, "is in force"))
	code, out, _ = s.runCtl("", "submit", file, "--request", "op-1", "--reason", "new")
	is.Equal(code, ctl.ExitOK)
	is.True(strings.Contains(out, "first answer"))
	code, _, errs := s.runCtl("", "submit", file)
	is.Equal(code, ctl.ExitConflict)
	is.True(strings.Contains(errs, "in force:"))

	changed := strings.Replace(text, `"ratePerSecond": 2000`, `"ratePerSecond": 7`, 1)
	code, _, errs = s.runCtl(changed, "revise", "-", "--base", "1")
	is.Equal(code, ctl.ExitConflict)
	is.True(strings.Contains(errs, "based on revision 1"))
	code, _, _ = s.runCtl(changed, "revise", "-")
	is.Equal(code, ctl.ExitOK)
	_, out, _ = s.runCtl("", "show", "night-reports")
	is.Equal(out, changed+"\n") // exactly as written

	_, out, _ = s.runCtl("", "history", "night-reports")
	is.True(strings.Contains(out, "submit") && strings.Contains(out, "revise"))
	var from, to int
	for _, l := range strings.Split(out, "\n") {
		var index int
		if n, _ := fmt.Sscan(l, &index); n == 1 {
			from, to = to, index
		}
	}
	_, out, _ = s.runCtl("", "diff", "night-reports", fmt.Sprint(from), fmt.Sprint(to))
	is.True(strings.Contains(out, "+ ") && strings.Contains(out, `"ratePerSecond": 7`))

	warm(t, s)
	_, out, _ = s.runCtl("", "explain", "summary@1")
	is.True(strings.Contains(out, "demand from remote") && strings.Contains(out, "ready"))
	_, out, _ = s.runCtl("", "status")
	is.True(strings.Contains(out, "leader") && strings.Contains(out, "entry-1"))
	_, out, _ = s.runCtl("", "audit", "--action", "grant", "--json")
	is.True(strings.Contains(out, `"action": "grant"`))

	code, _, _ = s.runCtl("", "withdraw", "night-reports")
	is.Equal(code, ctl.ExitOK)
	code, _, _ = s.runCtl("", "withdraw", "nothing")
	is.Equal(code, ctl.ExitNotFound)
	code, _, errs = s.runCtl(`{"schemaVersion":9}`, "submit", "-")
	is.Equal(code, ctl.ExitInvalid)
	is.True(strings.Contains(errs, "version 9 is not known"))
	code, out, _ = s.runCtl("secret\n", "digest")
	is.Equal(code, ctl.ExitOK)
	is.Equal(strings.TrimSpace(out), record.FormatDigest(record.DigestKey("secret")))
	code, _, _ = s.runCtl("", "nonsense")
	is.Equal(code, ctl.ExitUsage)
}

// A customer must not get more than its sold rate when requests above that rate arrive at
// both entries. Each entry has to enforce its share of the rate.
func TestSoldRateIsKeptOverAllEntries(t *testing.T) {
	is := is.New(t)
	s := start(t, nil)
	base := s.revision(t, "dog-licences")
	slow := record.Text(strings.Replace(sampleKigali(), `"ratePerSecond": 2000, "priority": "interactive"`, `"ratePerSecond": 2, "priority": "interactive"`, 1))
	_, err := s.Submit(testContext(t), "slow", base, slow)
	is.NoErr(err)
	eventually(t, "both entries share the rate", func() bool {
		return strings.Contains(send(s.Entries[0].Ops.Addr(), "", "/debug/state", "").body, `"entries":2`) &&
			strings.Contains(send(s.Entries[1].Ops.Addr(), "", "/debug/state", "").body, `"entries":2`)
	})
	allowed, limited := 0, 0
	for i := range 200 {
		r := send(s.api(i%2), KeyOffice, "/services/receipts/lookups", "{}")
		switch r.status {
		case 201:
			allowed++
		case 429:
			is.True(r.header.Get("Retry-After") != "")
			is.Equal(r.outcome, "not_run")
			limited++
		default:
			t.Fatal(r)
		}
	}
	is.True(limited > 100)
	is.True(allowed >= 20 && allowed < 100) // a burst of ten seconds' worth, and what accrues during the test
}
