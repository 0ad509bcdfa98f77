// Package load implements cassiapass-load, a load generator that sends requests at a
// constant rate and reports their outcomes and latencies.
//
// The load is open loop: each request has a scheduled time, whether or not earlier requests
// have ended, and its latency counts from that time. The percentiles therefore include the
// whole of a stall (no coordinated omission).
package load

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"net/http"
	"slices"
	"strings"
	"sync"
	"text/tabwriter"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/cassiapass/cassiapass/internal/adapter/httpclient"
	"github.com/cassiapass/cassiapass/internal/adapter/settings"
)

// options are the settings of cassiapass-load.
type options struct {
	Targets  []string      `long:"url" env:"CASSIAPASS_LOAD_URL" env-delim:"," description:"URLs of entries; requests go to them in turn"`
	Path     string        `long:"path" env:"CASSIAPASS_LOAD_PATH" default:"/v1/chat/completions" description:"path to post to"`
	Key      string        `long:"key-env" env:"CASSIAPASS_LOAD_KEY_ENV" default:"CASSIAPASS_LOAD_KEY" description:"environment variable that holds the caller key"`
	Model    string        `long:"model" env:"CASSIAPASS_LOAD_MODEL" default:"summary" description:"model to ask for; empty posts a plain body"`
	Tokens   int           `long:"tokens" env:"CASSIAPASS_LOAD_TOKENS" default:"8" description:"tokens to ask for"`
	Keyed    bool          `long:"keyed" env:"CASSIAPASS_LOAD_KEYED" description:"send a new Idempotency-Key with each request"`
	Rate     float64       `long:"rate" env:"CASSIAPASS_LOAD_RATE" default:"100" description:"requests per second"`
	Duration time.Duration `long:"duration" env:"CASSIAPASS_LOAD_DURATION" default:"10s" description:"how long to send"`
	Timeout  time.Duration `long:"timeout" env:"CASSIAPASS_LOAD_TIMEOUT" default:"60s" description:"longest wait for one answer"`
	JSON     bool          `long:"json" env:"CASSIAPASS_LOAD_JSON" description:"print JSON instead of a table"`
	Quiet    bool          `long:"quiet" env:"CASSIAPASS_LOAD_QUIET" description:"no progress lines"`
}

// Report is the result of a run.
type Report struct {
	Requests  int            `json:"requests"`
	Seconds   float64        `json:"seconds"`
	Outcomes  map[string]int `json:"outcomes"` // by outcome and status; "lost: ..." for requests without an outcome
	FirstByte Quantiles      `json:"firstByteMillis"`
	LastByte  Quantiles      `json:"wholeMillis"`
}

// Quantiles are latencies in milliseconds.
type Quantiles struct {
	P50  float64 `json:"p50"`
	P95  float64 `json:"p95"`
	P99  float64 `json:"p99"`
	P999 float64 `json:"p999"`
	Max  float64 `json:"max"`
}

const (
	maxLatencyMicros  = 600_000_000
	significantDigits = 3
	maxAnswer         = 64 << 20
)

// runner holds the state of one run.
type runner struct {
	o         options
	key       string
	client    *http.Client
	mu        sync.Mutex
	report    Report
	firstByte *hdrhistogram.Histogram
	lastByte  *hdrhistogram.Histogram
	firstID   int64
}

// Main runs cassiapass-load and returns its exit code. It reads the caller key with getenv.
func Main(args []string, getenv func(string) string, out, errs io.Writer) (int, error) {
	var o options
	code, ok := settings.Parse(&o, args, out, errs, func(c *settings.Checker) {
		if len(o.Targets) == 0 {
			c.Fail("url", "", "at least one URL of an entry")
		}
		settings.Positive(c, "rate", o.Rate)
		settings.Positive(c, "duration", o.Duration)
		settings.Positive(c, "tokens", o.Tokens)
		if getenv(o.Key) == "" {
			c.Fail("key-env", o.Key, "the name of a variable that holds the key")
		}
	})
	if !ok {
		return code, nil
	}
	r := &runner{o: o, key: getenv(o.Key), firstByte: hdrhistogram.New(1, maxLatencyMicros, significantDigits), lastByte: hdrhistogram.New(1, maxLatencyMicros, significantDigits), firstID: time.Now().UnixNano()}
	r.report.Outcomes = map[string]int{}
	r.client = &http.Client{Timeout: o.Timeout, Transport: httpclient.NewTransport(&http.Transport{MaxIdleConnsPerHost: 4096})}
	r.run(errs)
	if o.JSON {
		return 0, json.NewEncoder(out).Encode(r.report)
	}
	return 0, r.report.table(out)
}

func (r *runner) run(errs io.Writer) {
	begin := time.Now()
	interval := time.Duration(float64(time.Second) / r.o.Rate)
	total := int(r.o.Rate * r.o.Duration.Seconds())
	stop := make(chan struct{})
	if !r.o.Quiet {
		go r.progress(errs, stop)
	}
	var wg sync.WaitGroup
	for i := range total {
		due := begin.Add(time.Duration(i) * interval)
		time.Sleep(time.Until(due))
		wg.Go(func() { r.send(i, due) })
	}
	wg.Wait()
	close(stop)
	r.report.Requests, r.report.Seconds = total, time.Since(begin).Seconds()
	r.report.FirstByte, r.report.LastByte = quantiles(r.firstByte), quantiles(r.lastByte)
}

func (r *runner) progress(errs io.Writer, stop <-chan struct{}) {
	t := time.NewTicker(time.Second)
	defer t.Stop()
	for {
		select {
		case <-stop:
			return
		case <-t.C:
			r.mu.Lock()
			fmt.Fprintf(errs, "ended=%d p50=%.1fms p99=%.1fms outcomes=%v\n", r.lastByte.TotalCount(), float64(r.lastByte.ValueAtQuantile(50))/1e3, float64(r.lastByte.ValueAtQuantile(99))/1e3, r.report.Outcomes)
			r.mu.Unlock()
		}
	}
}

func (r *runner) body(i int) string {
	if r.o.Model == "" {
		return fmt.Sprintf(`{"request":%d}`, r.firstID+int64(i))
	}
	return fmt.Sprintf(`{"model":%q,"stream":true,"max_tokens":%d,"messages":[{"role":"user","content":"load %d"}]}`, r.o.Model, r.o.Tokens, r.firstID+int64(i))
}

// send sends request i, scheduled for due, and records its outcome and latencies.
func (r *runner) send(i int, due time.Time) {
	url := strings.TrimSuffix(r.o.Targets[i%len(r.o.Targets)], "/") + r.o.Path
	req, err := http.NewRequestWithContext(context.Background(), http.MethodPost, url, bytes.NewReader([]byte(r.body(i))))
	if err != nil {
		r.record(due, time.Time{}, "lost: "+err.Error())
		return
	}
	req.Header.Set("Authorization", "Bearer "+r.key)
	req.Header.Set("Content-Type", "application/json")
	if r.o.Keyed {
		req.Header.Set("Idempotency-Key", fmt.Sprint(r.firstID, "-", i))
	}
	res, err := r.client.Do(req)
	if err != nil {
		r.record(due, time.Time{}, "lost: no answer")
		return
	}
	defer res.Body.Close()
	first := make([]byte, 1)
	n, _ := res.Body.Read(first)
	at := time.Now()
	rest, err := httpclient.ReadAll(res.Body, maxAnswer)
	outcome := res.Header.Get("Cassiapass-Outcome")
	if o := res.Trailer.Get("Cassiapass-Outcome"); o != "" {
		outcome = o
	}
	switch {
	case err != nil && strings.Contains(string(rest), "outcome=unknown"):
		outcome = "unknown"
	case err != nil || outcome == "":
		outcome = "lost: cut"
	}
	if n == 0 {
		at = time.Now()
	}
	r.record(due, at, fmt.Sprintf("%s %d", outcome, res.StatusCode))
}

func (r *runner) record(due, first time.Time, outcome string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.report.Outcomes[outcome]++
	if !first.IsZero() {
		_ = r.firstByte.RecordValue(max(1, first.Sub(due).Microseconds()))
	}
	_ = r.lastByte.RecordValue(max(1, time.Since(due).Microseconds()))
}

func quantiles(h *hdrhistogram.Histogram) Quantiles {
	at := func(q float64) float64 { return float64(h.ValueAtQuantile(q)) / 1e3 }
	return Quantiles{P50: at(50), P95: at(95), P99: at(99), P999: at(99.9), Max: float64(h.Max()) / 1e3}
}

func (rep *Report) table(out io.Writer) error {
	w := tabwriter.NewWriter(out, 0, 4, 2, ' ', 0)
	fmt.Fprintf(w, "requests\t%d in %.1f s\n", rep.Requests, rep.Seconds)
	for _, o := range slices.Sorted(maps.Keys(rep.Outcomes)) {
		fmt.Fprintf(w, "%s\t%d\n", o, rep.Outcomes[o])
	}
	for _, q := range []struct {
		name string
		q    Quantiles
	}{{"first byte", rep.FirstByte}, {"whole answer", rep.LastByte}} {
		fmt.Fprintf(w, "%s, ms\tp50 %.2f\tp95 %.2f\tp99 %.2f\tp99.9 %.2f\tmax %.2f\n", q.name, q.q.P50, q.q.P95, q.q.P99, q.q.P999, q.q.Max)
	}
	return w.Flush()
}
