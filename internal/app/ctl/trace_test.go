package ctl

import (
	"bytes"
	"encoding/json"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/matryer/is"
)

// traceLog holds log lines in the order in which a collector received them, not in order
// of time.
const traceLog = `
noise without pairs
  10.5 edge-1/entry time=2026-08-20T03:39:10.5Z level=warn event=request_not_run host=edge-1 model=m1 reason=not_loaded request=r1 role=entry sends=0 status=503 took=1320 waited=1315.8
time=2026-08-20T03:39:09.2Z level=info event=request_waits host=edge-1 model=m1 reason=not_loaded request=r1 role=entry
time=2026-08-20T03:39:09.3Z level=info event=order_given answer=unsent endpoint=i-1 host=edge-3 model=m1 op=load reason="held by 0, 0.1 requests a second, 1 wait, the first has 2s left" role=control
time=2026-08-20T03:39:09.3Z level=info event=order_given answer=accepted endpoint=i-1 host=edge-3 model=other op=load role=control
time=2026-08-20T03:39:09.4Z level=info event=endpoint_up endpoint=i-9 host=edge-1 role=entry
time=2026-08-20T03:39:09.4Z level=warn event=control_lost error="no leader" host=edge-2 role=entry
time=2026-08-20T03:39:12Z level=info event=request_sent endpoint=i-2 host=edge-2 request=r2 role=entry
time=2026-08-20T03:39:13Z level=info event=endpoint_answer_broken endpoint=i-2 error="unexpected EOF" host=edge-2 request=r2 role=entry
time=2026-08-20T03:39:13Z level=warn event=request_cut endpoint=i-2 host=edge-2 model=m2 request=r2 role=entry waited=0
time=2026-08-20T03:39:20Z level=info event=order_settled endpoint=i-3 host=edge-3 model=m3 op=load result=reported role=control source=store took=6117.9
time=2026-08-20T03:39:20.9Z level=info event=model_eta host=edge-3 in=13210 model=m4 role=control
time=2026-08-20T03:39:21Z level=warn event=request_not_run host=edge-1 model=m4 ready=13205 reason=loaded_late request=r4 role=entry status=503 took=41 waited=38.5
time=2026-08-20T03:39:21Z level=info event=request_answered endpoint=i-3 host=edge-1 model=m3 reason=not_loaded request=r3 role=entry status=200 waited=6820
time=2026-08-20T03:39:22Z level=info event=gave_way customer=a host=edge-1 late=true level=0 request=r5 resource=allowance role=entry to_late=false to_level=2
time=2026-08-20T03:39:22Z level=warn event=request_over_allowance customer=a host=edge-1 reason=over_allowance request=r5 role=entry status=429
`

func trace(t *testing.T, args ...string) (int, string, string) {
	t.Helper()
	var out, errs bytes.Buffer
	code := Main(append([]string{"trace"}, args...), strings.NewReader(traceLog), &out, &errs)
	return code, out.String(), errs.String()
}

func TestTraceEndsWithTheCause(t *testing.T) {
	cases := []struct{ request, cause, has, hasNot string }{
		{"r1", "cause: refused, it did not run: no endpoint held its model or adapter; it waited 1315.8 ms for an endpoint", "answer=unsent", "model=other"},
		{"r2", "cause: its fate is open: endpoint i-2 broke off: unexpected EOF", "event=request_sent", "i-9"},
		{"r3", "cause: answered after a load from store that took 6117.9 ms; it waited 6820 ms for an endpoint", "order_settled", "r1"},
		{"r4", "cause: refused, it did not run: no endpoint held its model or adapter, or would before it had to give up, whose ETA was 13205 ms; it waited 38.5 ms for an endpoint", "event=model_eta", "r3"},
		{"r5", "cause: refused, it did not run: its customer used all that it may; level 0 (late) gave way to level 2", "resource=allowance", "r3"},
	}
	for _, tc := range cases {
		t.Run(tc.request, func(t *testing.T) {
			is := is.New(t)
			code, out, _ := trace(t, tc.request)
			is.Equal(code, ExitOK)
			lines := strings.Split(strings.TrimSpace(out), "\n")
			is.Equal(lines[len(lines)-1], tc.cause)
			is.True(strings.Contains(out, tc.has))
			is.True(!strings.Contains(out, tc.hasNot))
		})
	}
}

func TestTraceReadsFoldersAndPrintsJSON(t *testing.T) {
	is := is.New(t)
	dir := t.TempDir()
	is.NoErr(os.WriteFile(filepath.Join(dir, "a.log"), []byte(traceLog), 0o600))
	code, out, _ := trace(t, "--json", "r1", dir)
	is.Equal(code, ExitOK)
	var s requestTrace
	is.NoErr(json.Unmarshal([]byte(out), &s))
	is.Equal(len(s.Lines), 3)
	is.Equal(s.Lines[0].Fields["event"], "request_waits") // in order of time
}

func TestTraceOfAnUnknownRequest(t *testing.T) {
	is := is.New(t)
	code, _, errs := trace(t, "none")
	is.Equal(code, ExitNotFound)
	is.True(strings.Contains(errs, "none"))
}
