package ctl

import (
	"bytes"
	"encoding/json"
	"strings"
	"testing"

	"github.com/matryer/is"
)

const lossesLog = `
time=2026-08-20T03:39:09Z level=info event=request_answered host=e1 request=r0 route=a waited=0
time=2026-08-20T03:39:10Z level=warn event=control_lost host=e1
time=2026-08-20T03:39:11Z level=warn event=request_not_run host=e1 reason=not_loaded request=r1 route=a waited=1500
time=2026-08-20T03:39:11Z level=warn event=request_not_run host=e2 reason=not_loaded request=r2 route=b waited=500
time=2026-08-20T03:39:12Z level=info event=control_regained host=e1
time=2026-08-20T03:39:13Z level=info event=request_answered host=e1 reason=not_loaded request=r3 route=b waited=1000
time=2026-08-20T03:39:13Z level=warn event=request_cut host=e1 request=r4 route=a waited=0
time=2026-08-20T03:39:13Z level=warn event=request_no_deployment host=e1 request=r5
`

func lossesOf(t *testing.T, log string, args ...string) (int, string) {
	t.Helper()
	var out, errs bytes.Buffer
	code := Main(append(args, "losses"), strings.NewReader(log), &out, &errs)
	return code, out.String() + errs.String()
}

func TestLossesAreSortedByCause(t *testing.T) {
	is := is.New(t)
	code, out := lossesOf(t, lossesLog, "--json")
	is.Equal(code, ExitOK)
	var all losses
	is.NoErr(json.Unmarshal([]byte(out), &all))
	is.Equal(all.Requests, 6)
	is.Equal(all.Delayed, 5)
	first := all.Causes[0]
	is.Equal(first, loss{Cause: "no endpoint held its model or adapter", Requests: 2, Answered: 1, Waited: 0.75, Routes: map[string]int{"b": 2}, Seconds: map[int64]int{2: 1, 4: 1}})
	is.Equal(len(all.Causes), 4)
	is.True(strings.Contains(out, "and its entry knew no leader"))
}

func TestLossesPrintATable(t *testing.T) {
	is := is.New(t)
	code, out := lossesOf(t, lossesLog)
	is.Equal(code, ExitOK)
	is.True(strings.Contains(out, "6 requests ended, 5 of them not answered at once"))
	is.True(strings.Contains(out, "1 in second 2"))
	code, out = lossesOf(t, "time=2026-08-20T03:39:09Z event=control_lost host=e1")
	is.Equal(code, ExitNotFound)
	is.True(strings.Contains(out, "no line tells"))
}
