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

// operate runs cassiapassctl against the system.
func (s *System) operate(stdin string, args ...string) (code int, out, errs string) {
	var o, e bytes.Buffer
	for _, c := range s.Controls {
		args = append([]string{"--control", "http://" + c.API.Addr()}, args...)
	}
	code = ctl.Main(args, strings.NewReader(stdin), &o, &e)
	return code, o.String(), e.String()
}

func TestOperatorsWork(t *testing.T) {
	is := is.New(t)
	s := start(t, func(c *Config) { c.Controls = 3 })
	file := filepath.Join(t.TempDir(), "record.json")
	text := strings.ReplaceAll(sampleKyushu(), "outage-reports", "night-reports")
	is.NoErr(os.WriteFile(file, []byte(text), 0o600))

	code, out, _ := s.operate("", "submit", file, "--request", "op-1", "--reason", "new")
	is.Equal(code, ctl.ExitOK)
	is.True(strings.Contains(out, "is in force"))
	code, out, _ = s.operate("", "submit", file, "--request", "op-1", "--reason", "new")
	is.Equal(code, ctl.ExitOK)
	is.True(strings.Contains(out, "first answer"))
	code, _, errs := s.operate("", "submit", file)
	is.Equal(code, ctl.ExitConflict)
	is.True(strings.Contains(errs, "in force:"))

	changed := strings.Replace(text, `"ratePerSecond": 2000`, `"ratePerSecond": 7`, 1)
	code, _, errs = s.operate(changed, "revise", "-", "--base", "1")
	is.Equal(code, ctl.ExitConflict)
	is.True(strings.Contains(errs, "based on revision 1"))
	code, _, _ = s.operate(changed, "revise", "-")
	is.Equal(code, ctl.ExitOK)
	_, out, _ = s.operate("", "show", "night-reports")
	is.Equal(out, changed+"\n") // exactly as written

	_, out, _ = s.operate("", "history", "night-reports")
	is.True(strings.Contains(out, "submit") && strings.Contains(out, "revise"))
	var from, to int
	for _, l := range strings.Split(out, "\n") {
		var index int
		if n, _ := fmt.Sscan(l, &index); n == 1 {
			from, to = to, index
		}
	}
	_, out, _ = s.operate("", "diff", "night-reports", fmt.Sprint(from), fmt.Sprint(to))
	is.True(strings.Contains(out, "+ ") && strings.Contains(out, `"ratePerSecond": 7`))

	warm(t, s)
	_, out, _ = s.operate("", "explain", "summary@1")
	is.True(strings.Contains(out, "demand from remote") && strings.Contains(out, "ready"))
	_, out, _ = s.operate("", "status")
	is.True(strings.Contains(out, "leader") && strings.Contains(out, "entry-1"))
	_, out, _ = s.operate("", "audit", "--action", "grant", "--json")
	is.True(strings.Contains(out, `"action": "grant"`))

	code, _, _ = s.operate("", "withdraw", "night-reports")
	is.Equal(code, ctl.ExitOK)
	code, _, _ = s.operate("", "withdraw", "nothing")
	is.Equal(code, ctl.ExitNotFound)
	code, _, errs = s.operate(`{"schemaVersion":9}`, "submit", "-")
	is.Equal(code, ctl.ExitInvalid)
	is.True(strings.Contains(errs, "version 9 is not known"))
	code, out, _ = s.operate("secret\n", "digest")
	is.Equal(code, ctl.ExitOK)
	is.Equal(strings.TrimSpace(out), record.FormatDigest(record.DigestKey("secret")))
	code, _, _ = s.operate("", "nonsense")
	is.Equal(code, ctl.ExitUsage)
}

// Symptom: a customer gets more than was sold to it.
// Sequence: requests above the sold rate arrive at both entries.
// Cause: each entry must keep to its part of the rate.
func TestSoldRateIsKeptOverAllEntries(t *testing.T) {
	is := is.New(t)
	s := start(t, nil)
	base := s.revision(t, "dog-licences")
	slow := record.Text(strings.Replace(sampleKigali(), `"ratePerSecond": 2000, "priority": "interactive"`, `"ratePerSecond": 2, "priority": "interactive"`, 1))
	_, err := s.Submit(within(t), "slow", base, slow)
	is.NoErr(err)
	eventually(t, "both entries share the rate", func() bool {
		return strings.Contains(ask(s.Entries[0].Ops.Addr(), "", "/debug/state", "").body, `"entries":2`) &&
			strings.Contains(ask(s.Entries[1].Ops.Addr(), "", "/debug/state", "").body, `"entries":2`)
	})
	allowed, limited := 0, 0
	for i := range 200 {
		r := ask(s.api(i%2), KeyOffice, "/services/receipts/lookups", "{}")
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
	is.True(allowed >= 20 && allowed < 100) // ten seconds' worth at once, and what came meanwhile
}
