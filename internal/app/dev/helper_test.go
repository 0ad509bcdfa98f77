package dev

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/rs/zerolog"

	"github.com/cassiapass/cassiapass/internal/core/placement"
	"github.com/cassiapass/cassiapass/internal/fake"
)

// testTimeout limits waits. A working system needs much less.
const testTimeout = 60 * time.Second

// start runs a system for one test.
func start(t *testing.T, tune func(*Config)) *System {
	t.Helper()
	cfg := DefaultConfig(t.TempDir(), zerolog.Nop())
	cfg.FirstToken, cfg.TokenEvery = time.Millisecond, time.Millisecond
	cfg.Store = &fake.Store{Speed: 100e9, Concurrent: 4, DiskSpeed: 200e9, MemSpeed: 800e9}
	cfg.Placement = placement.DefaultConfig()
	if tune != nil {
		tune(&cfg)
	}
	ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
	defer cancel()
	s, err := Start(ctx, cfg)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
		defer cancel()
		s.Stop(ctx)
	})
	if err := s.SubmitSamples(ctx); err != nil {
		t.Fatal(err)
	}
	return s
}

// reply is an answer as the caller receives it.
type reply struct {
	status  int
	outcome string
	body    string
	header  http.Header
	err     error // the answer was cut off
}

// send sends one request and reads the whole answer.
func send(base, key, path, body string, header ...string) reply {
	return sendCtx(context.Background(), base, key, path, body, header...)
}

func sendCtx(ctx context.Context, base, key, path, body string, header ...string) reply {
	method := http.MethodPost
	if body == "" {
		method = http.MethodGet
	}
	req, err := http.NewRequestWithContext(ctx, method, "http://"+base+path, bytes.NewReader([]byte(body)))
	if err != nil {
		return reply{err: err}
	}
	req.Header.Set("Authorization", "Bearer "+key)
	for i := 0; i+1 < len(header); i += 2 {
		req.Header.Set(header[i], header[i+1])
	}
	res, err := http.DefaultClient.Do(req)
	if err != nil {
		return reply{err: err}
	}
	defer res.Body.Close()
	text, err := io.ReadAll(res.Body)
	r := reply{status: res.StatusCode, outcome: res.Header.Get("Cassiapass-Outcome"), body: string(text), header: res.Header, err: err}
	if o := res.Trailer.Get("Cassiapass-Outcome"); o != "" {
		r.outcome = o
	}
	return r
}

const chat = "/v1/chat/completions"

// prompt returns the body of a streamed chat request that is unique for n.
func prompt(model string, n, tokens int) string {
	return fmt.Sprintf(`{"model":%q,"stream":true,"max_tokens":%d,"messages":[{"role":"user","content":"request %d"}]}`, model, tokens, n)
}

// checkAnswer returns an error unless r is exactly the streamed answer to body, with its end
// mark.
func checkAnswer(body string, r reply, tokens int) error {
	if r.err != nil || r.status != http.StatusOK || r.outcome != "answered" {
		return fmt.Errorf("status %d, outcome %q, error %v, body %s", r.status, r.outcome, r.err, r.body)
	}
	var want strings.Builder
	for _, tok := range fake.AnswerText([]byte(body), tokens) {
		fmt.Fprintf(&want, "data: {\"object\":\"chat.completion.chunk\",\"choices\":[{\"index\":0,\"delta\":{\"content\":%q}}]}\n\n", tok)
	}
	want.WriteString("data: [DONE]\n\n")
	got, endMark, _ := strings.Cut(r.body, ": cassiapass ")
	if got != want.String() {
		return fmt.Errorf("got %q, want %q", got, want.String())
	}
	if !strings.HasPrefix(endMark, fmt.Sprintf("outcome=answered bytes=%d", len(got))) {
		return fmt.Errorf("end mark %q", endMark)
	}
	return nil
}

// eventually waits until f returns true; it fails the test after testTimeout.
func eventually(t *testing.T, what string, f func() bool) {
	t.Helper()
	for end := time.Now().Add(testTimeout); time.Now().Before(end); time.Sleep(10 * time.Millisecond) {
		if f() {
			return
		}
	}
	t.Fatalf("never: %s", what)
}

func (s *System) api(i int) string { return s.Entries[i].API.Addr() }

func (s *System) agent(host string) *AgentProc {
	for _, a := range s.Agents {
		if string(a.Cfg.Host) == host {
			return a
		}
	}
	return nil
}
