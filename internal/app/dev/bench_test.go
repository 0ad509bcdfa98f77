package dev

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/rs/zerolog"

	"github.com/cassiapass/cassiapass/internal/app/agent"
	"github.com/cassiapass/cassiapass/internal/app/load"
	"github.com/cassiapass/cassiapass/internal/core/ident"
	"github.com/cassiapass/cassiapass/internal/core/record"
	"github.com/cassiapass/cassiapass/internal/core/state"
)

// benchSystem starts a system with one entry and a loaded model.
func benchSystem(b *testing.B, token time.Duration) *System {
	b.Helper()
	cfg := DefaultConfig(b.TempDir(), zerolog.Nop())
	cfg.Entries, cfg.FirstToken, cfg.TokenEvery = 1, 0, token
	cfg.TuneAgent = func(a *agent.Config) { a.Slots, a.MaxQueue = 8192, 8192 }
	ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
	defer cancel()
	s, err := Start(ctx, cfg)
	if err != nil {
		b.Fatal(err)
	}
	b.Cleanup(func() { s.Stop(context.Background()) })
	if err := s.SubmitSamples(ctx); err != nil {
		b.Fatal(err)
	}
	body := prompt("summary", 0, 1)
	if err := checkAnswer(body, send(s.api(0), KeyEast, chat, body), 1); err != nil {
		b.Fatal(err)
	}
	return s
}

func mustPost(b *testing.B, addr, body string) {
	req, err := http.NewRequest(http.MethodPost, "http://"+addr+chat, strings.NewReader(body))
	if err != nil {
		b.Fatal(err)
	}
	req.Header.Set("Authorization", "Bearer "+KeyEast)
	req.Header.Set("X-Request-Id", "direct")
	res, err := http.DefaultClient.Do(req)
	if err != nil {
		b.Fatal(err)
	}
	if _, err := io.Copy(io.Discard, res.Body); err != nil || res.StatusCode != http.StatusOK {
		b.Fatal(err, res.Status)
	}
	res.Body.Close()
}

// BenchmarkWarm compares a request for a loaded model sent directly to the engine with one
// sent through entry and agent.
func BenchmarkWarm(b *testing.B) {
	s := benchSystem(b, 0)
	for _, c := range []struct{ name, addr, model string }{
		{"engine", s.Agents[0].ServiceHTTP.Addr(), "summary@1"}, {"through entry and agent", s.api(0), "summary"},
	} {
		b.Run(c.name, func(b *testing.B) {
			body := prompt(c.model, 1, 1)
			var took []float64
			b.ReportAllocs()
			for b.Loop() {
				begin := time.Now()
				mustPost(b, c.addr, body)
				took = append(took, float64(time.Since(begin).Nanoseconds())/1e3)
			}
			slices.Sort(took)
			b.ReportMetric(took[len(took)/2], "p50-us")
			b.ReportMetric(took[len(took)*99/100], "p99-us")
		})
	}
}

// BenchmarkTokens streams many answers concurrently through entry and agent.
func BenchmarkTokens(b *testing.B) {
	s := benchSystem(b, 5*time.Millisecond)
	const streams, tokens = 200, 100
	body := prompt("summary", 1, tokens)
	for b.Loop() {
		var wg sync.WaitGroup
		for range streams {
			wg.Go(func() { mustPost(b, s.api(0), body) })
		}
		wg.Wait()
	}
	b.ReportMetric(float64(b.N*streams*tokens)/b.Elapsed().Seconds(), "tokens/s")
}

// BenchmarkLeaderLoss measures the time from the end of the leader's process to the next
// committed command, with three control hosts.
func BenchmarkLeaderLoss(b *testing.B) {
	var took []float64
	for b.Loop() {
		b.StopTimer()
		cfg := DefaultConfig(b.TempDir(), zerolog.Nop())
		cfg.Controls, cfg.Entries, cfg.Plains = 3, 1, nil
		ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
		s, err := Start(ctx, cfg)
		if err != nil {
			b.Fatal(err)
		}
		lead := s.Leader()
		b.StartTimer()
		begin := time.Now()
		lead.Kill()
		lead.Control = nil
		for i := 0; ; i++ {
			res, err := s.Propose(ctx, state.Command{Submit: &state.Submit{Request: "after", Raw: Samples()[0]}})
			if err == nil && res.Code == state.OK {
				break
			}
			time.Sleep(5 * time.Millisecond)
		}
		took = append(took, float64(time.Since(begin).Milliseconds()))
		b.StopTimer()
		s.Stop(ctx)
		cancel()
		b.StartTimer()
	}
	slices.Sort(took)
	b.ReportMetric(took[len(took)/2], "p50-ms")
	b.ReportMetric(took[len(took)-1], "max-ms")
}

// BenchmarkSilentConnection measures the longest pause of a stream whose connection becomes
// permanently silent.
func BenchmarkSilentConnection(b *testing.B) {
	cfg := DefaultConfig(b.TempDir(), zerolog.Nop())
	cfg.Relayed, cfg.Entries, cfg.TokenEvery = true, 1, 10*time.Millisecond
	ctx, cancel := context.WithTimeout(context.Background(), 10*testTimeout)
	defer cancel()
	s, err := Start(ctx, cfg)
	if err != nil {
		b.Fatal(err)
	}
	defer s.Stop(ctx)
	if err := s.SubmitSamples(ctx); err != nil {
		b.Fatal(err)
	}
	mustPost(b, s.api(0), prompt("summary", 0, 1))
	var gaps []float64
	for b.Loop() {
		gaps = append(gaps, longestGap(b, s))
	}
	slices.Sort(gaps)
	b.ReportMetric(gaps[len(gaps)/2], "p50-ms")
	b.ReportMetric(gaps[len(gaps)-1], "max-ms")
}

// longestGap streams an answer, silences its connection during the stream and returns the
// longest pause between two reads, in milliseconds.
func longestGap(b *testing.B, s *System) float64 {
	req, err := http.NewRequest(http.MethodPost, "http://"+s.api(0)+chat, strings.NewReader(prompt("summary", 1, 100)))
	if err != nil {
		b.Fatal(err)
	}
	req.Header.Set("Authorization", "Bearer "+KeyEast)
	res, err := http.DefaultClient.Do(req)
	if err != nil {
		b.Fatal(err)
	}
	defer res.Body.Close()
	time.AfterFunc(300*time.Millisecond, s.Agents[0].Relay.SilenceConns)
	buf := make([]byte, 4096)
	last, longest := time.Now(), time.Duration(0)
	for {
		_, err := res.Body.Read(buf)
		now := time.Now()
		longest = max(longest, now.Sub(last))
		last = now
		if err != nil {
			return float64(longest.Milliseconds())
		}
	}
}

// BenchmarkQuarterSilent sends requests at a constant rate while one of four endpoints, each
// with a replica, becomes permanently silent, and reports outcomes and latencies.
func BenchmarkQuarterSilent(b *testing.B) {
	cfg := DefaultConfig(b.TempDir(), zerolog.Nop())
	cfg.Relayed, cfg.Plains, cfg.Engines = true, nil, nil
	cfg.FirstToken, cfg.TokenEvery = 5*time.Millisecond, 5*time.Millisecond
	for i := range 4 {
		cfg.Engines = append(cfg.Engines, EngineSpec{Host: ident.HostID(fmt.Sprint("gpu-", i)), Zone: ident.Zone(fmt.Sprint("zone-", i)), Place: "kyushu", Memory: 64e9, HonoursFence: true})
	}
	ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
	defer cancel()
	s, err := Start(ctx, cfg)
	if err != nil {
		b.Fatal(err)
	}
	defer s.Stop(context.Background())
	four := strings.Replace(sampleKyushu(), `{"min": 0, "max": 2}`, `{"min": 4, "max": 4}`, 1)
	if _, err := s.Submit(ctx, "four", 0, record.Text(four)); err != nil {
		b.Fatal(err)
	}
	for {
		held := 0
		for _, a := range s.Agents {
			for _, t := range a.Engine.Facts().Held {
				if t.Model == "summary" {
					held++
				}
			}
		}
		if held == 4 {
			break
		}
		time.Sleep(50 * time.Millisecond)
	}
	time.Sleep(time.Second)
	for b.Loop() {
		time.AfterFunc(time.Second, func() { s.Agents[0].Relay.SetDropAll(true) })
		var out strings.Builder
		args := []string{"--quiet", "--rate", "100", "--duration", "6s", "--url", "http://" + s.api(0), "--url", "http://" + s.api(1)}
		if _, err := load.Main(args, func(string) string { return KeyEast }, &out, io.Discard); err != nil {
			b.Fatal(err)
		}
		b.Log("\n" + out.String())
	}
	attempts := 0.0
	for i := range s.Entries {
		for _, l := range strings.Split(send(s.Entries[i].Ops.Addr(), "", "/metrics", "").body, "\n") {
			var n float64
			if k, _ := fmt.Sscanf(l, "cassiapass_entry_attempts_total %g", &n); k == 1 {
				attempts += n
			}
		}
	}
	b.ReportMetric(attempts/600, "attempts/request")
}
