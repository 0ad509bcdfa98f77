package dev

import (
	"context"
	"fmt"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/cassiapass/cassiapass/internal/app/agent"
	"github.com/cassiapass/cassiapass/internal/app/entry"
	"github.com/cassiapass/cassiapass/internal/core/record"
	"github.com/cassiapass/cassiapass/internal/fake"
)

func TestColdRequestIsAnsweredThroughEveryProcess(t *testing.T) {
	is := is.New(t)
	s := start(t, func(c *Config) { c.Controls = 3 })
	body := prompt("summary", 1, 8)
	is.NoErr(checkAnswer(body, send(s.api(0), KeyEast, chat, body), 8))
	body = prompt("summary:east-terms", 2, 8)
	is.NoErr(checkAnswer(body, send(s.api(1), KeyWest, chat, body), 8))
}

func TestRefusalsNameTheirReason(t *testing.T) {
	s := start(t, nil)
	for _, c := range []struct {
		name, key, path, body string
		status                int
		code                  string
	}{
		{"no key", "", chat, prompt("summary", 1, 1), 401, "missing_api_key"},
		{"wrong key", "nobody", chat, prompt("summary", 1, 1), 401, "invalid_api_key"},
		{"unknown model", KeyEast, chat, prompt("nothing", 1, 1), 404, "model_not_found"},
		{"another customer's model", KeyEast, chat, prompt("assistant", 1, 1), 403, "model_not_allowed"},
		{"model outside the customer's list", KeyBatch, chat, prompt("assistant", 1, 1), 403, "model_not_allowed"},
		{"not JSON", KeyEast, chat, "{", 400, "invalid_value"},
		{"wrong type", KeyEast, chat, `{"model":7}`, 400, `"param":"model"`},
		{"no messages", KeyEast, chat, `{"model":"summary"}`, 400, `"param":"messages"`},
		{"no prompt", KeyEast, "/v1/completions", `{"model":"summary"}`, 400, `"param":"prompt"`},
		{"too large", KeyEast, chat, strings.Repeat("x", 9<<20), 413, "body_too_large"},
		{"unknown service", KeyOffice, "/services/none/x", "{}", 404, "service_not_found"},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			r := send(s.api(0), c.key, c.path, c.body)
			is.Equal(r.status, c.status)
			is.Equal(r.outcome, "not_run")
			is.True(strings.Contains(r.body, c.code))
		})
	}
}

// A stream must continue when its connection becomes silent although endpoint and entry are
// healthy: a device on the path drops the connection's state during the stream, while new
// connections work. An open TCP connection does not prove that its path works.
func TestAnswerContinuesWhenItsConnectionBecomesSilent(t *testing.T) {
	is := is.New(t)
	s := start(t, func(c *Config) { c.Relayed, c.TokenEvery = true, 10*time.Millisecond })
	warm(t, s)
	body := prompt("summary", 2, 200)
	done := make(chan reply)
	go func() { done <- send(s.api(0), KeyEast, chat, body) }()
	time.Sleep(300 * time.Millisecond)
	s.Agents[0].Relay.SilenceConns()
	is.NoErr(checkAnswer(body, <-done, 200))
}

// Guards against a plain answer that its engine broke off, with neither length nor chunks, and that
// its caller gets as answered; and against one that is whole and not delivered.
func TestUnframedAnswersOfEnginesAreSettled(t *testing.T) {
	for name, f := range map[string]fake.EngineFaults{
		"cut":   {CutAfter: 60, CutAnswers: 1, CutQuietly: true},
		"whole": {Unframed: 1},
	} {
		for _, stream := range []bool{false, true} {
			t.Run(fmt.Sprintf("%s stream=%v", name, stream), func(t *testing.T) {
				is := is.New(t)
				s := start(t, nil)
				warm(t, s)
				body := prompt("summary", 2, 20)
				if !stream {
					body = strings.Replace(body, `"stream":true`, `"stream":false`, 1)
				}
				want := send(s.api(0), KeyEast, chat, body)
				is.Equal(want.outcome, "answered")
				s.Agents[0].Engine.Inject(f)
				got := send(s.api(0), KeyEast, chat, body)
				is.NoErr(got.err)
				is.Equal(got.outcome, "answered")
				is.Equal(got.body, want.body)
			})
		}
	}
}

// warm loads the summary model.
func warm(t *testing.T, s *System) {
	t.Helper()
	body := prompt("summary", 0, 2)
	if err := checkAnswer(body, send(s.api(0), KeyEast, chat, body), 2); err != nil {
		t.Fatal(err)
	}
}

// An answer must be complete and contain no part of another one when the connection between
// agent and engine closes, becomes silent or returns another request's answer, or when the
// connection to the entry closes. A stream uses both connections, and each can fail alone.
func TestAnswersAreCompleteWhenConnectionsFail(t *testing.T) {
	for _, c := range []struct {
		name  string
		fault func(*System)
	}{
		{"engine cuts", func(s *System) {
			s.Agents[0].Engine.Inject(fake.EngineFaults{CutAfter: 333, CutAnswers: 2})
		}},
		{"engine falls silent", func(s *System) { s.Agents[0].Engine.Inject(fake.EngineFaults{HangAnswers: 1}) }},
		{"engine crosses answers", func(s *System) { s.Agents[0].Engine.Inject(fake.EngineFaults{CrossedIDs: 1}) }},
		{"entry connection cut", func(s *System) {
			go func() {
				for range 5 {
					time.Sleep(60 * time.Millisecond)
					s.Agents[0].Relay.CloseConns()
				}
			}()
		}},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			s := start(t, func(cfg *Config) {
				cfg.Relayed, cfg.TokenEvery = true, 2*time.Millisecond
				cfg.TuneAgent = func(a *agent.Config) { a.EngineSilenceLimit = 300 * time.Millisecond }
			})
			warm(t, s)
			c.fault(s)
			body := prompt("summary", 2, 200)
			is.NoErr(checkAnswer(body, send(s.api(0), KeyEast, chat, body), 200))
			for _, n := range s.Agents[0].Engine.Facts().Attempts {
				is.Equal(n, 1) // no attempt ran twice
			}
		})
	}
}

// A request that is not repeatable must run once when the answer to the entry's message is
// lost while the agent runs it. A retry as a new attempt would run it again; the entry has to
// repeat the same attempt, for which the agent finds the run in progress.
func TestRenewalRunsOnceWhenTheConnectionIsLost(t *testing.T) {
	for _, how := range []string{"cut", "silent", "deaf"} {
		t.Run(how, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			s := start(t, func(c *Config) { c.Relayed = true })
			a := s.agent("receipts-1")
			a.Plain.Delay = 400 * time.Millisecond
			done := make(chan reply)
			go func() { done <- send(s.api(0), KeyOffice, "/services/receipts/renewals", `{"dog":7}`) }()
			eventually(t, "the renewal runs", func() bool { return len(a.Plain.Posted()) == 1 })
			switch how {
			case "cut":
				a.Relay.CloseConns()
			case "silent":
				a.Relay.SilenceConns()
			case "deaf":
				a.Relay.SetDropAll(true)
			}
			r := <-done
			is.Equal(a.Plain.Posted()[`{"dog":7}`], 1)
			if how == "deaf" {
				is.Equal(r.outcome, "unknown") // it ran, but the agent cannot be reached to confirm it
				return
			}
			is.Equal(r.outcome, "answered")
			is.Equal(r.status, http.StatusCreated)
		})
	}
}

// A request must not run a second time after its agent restarts during the run. The new
// process, at the same address, does not know what the old one ran.
func TestRestartedAgentDoesNotRunWhatItsPredecessorMayHave(t *testing.T) {
	is := is.New(t)
	s := start(t, func(c *Config) { c.Relayed = true })
	a := s.agent("receipts-1")
	a.Plain.Delay = 300 * time.Millisecond
	done := make(chan reply)
	go func() { done <- send(s.api(0), KeyOffice, "/services/receipts/renewals", `{"dog":8}`) }()
	eventually(t, "the renewal runs", func() bool { return len(a.Plain.Posted()) == 1 })
	a.Kill()
	is.NoErr(s.OpenAgent(len(s.Agents) - 1))
	r := <-done
	is.Equal(r.outcome, "unknown")
	is.Equal(r.status, http.StatusBadGateway)
	is.Equal(a.Plain.Posted()[`{"dog":8}`], 1)
}

// A keyed request must run once when its caller sends it through both entries concurrently,
// and must be refused when the key is used again with another body. Entries do not know of
// each other's requests; only the claim in the log prevents a second run.
func TestKeyedRequestRunsOnceThroughAllEntries(t *testing.T) {
	is := is.New(t)
	s := start(t, func(c *Config) { c.Controls = 3 })
	a := s.agent("receipts-1")
	a.Plain.Delay = 200 * time.Millisecond
	const callers = 8
	replies := make([]reply, callers)
	var wg sync.WaitGroup
	for i := range callers {
		wg.Go(func() {
			replies[i] = send(s.api(i%2), KeyOffice, "/services/receipts/renewals", `{"dog":9}`, entry.HeaderKey, "key-9")
		})
	}
	wg.Wait()
	for _, r := range replies {
		is.Equal(r.status, http.StatusCreated)
		is.Equal(r.body, replies[0].body)
		is.Equal(r.outcome, "answered")
	}
	is.Equal(a.Plain.Posted()[`{"dog":9}`], 1)
	r := send(s.api(0), KeyOffice, "/services/receipts/renewals", `{"dog":10}`, entry.HeaderKey, "key-9")
	is.Equal(r.status, http.StatusUnprocessableEntity)
	is.Equal(r.outcome, "not_run")
	is.Equal(a.Plain.Posted()[`{"dog":10}`], 0)
}

// Without a quorum (two of three control hosts are lost), keyed requests must not run without
// a claim and other requests must continue. A key can only be claimed through the log; other
// requests do not need it.
func TestWithoutQuorumKeyedRequestsAreNotRunAndOthersGoOn(t *testing.T) {
	is := is.New(t)
	s := start(t, func(c *Config) { c.Controls = 3 })
	for _, c := range s.Controls[1:] {
		c.Kill()
	}
	a := s.agent("receipts-1")
	r := send(s.api(0), KeyOffice, "/services/receipts/renewals", `{"dog":11}`, entry.HeaderKey, "key-11")
	is.Equal(r.outcome, "not_run")
	is.Equal(r.status, http.StatusServiceUnavailable)
	is.True(r.header.Get("Retry-After") != "")
	is.Equal(len(a.Plain.Posted()), 0)
	r = send(s.api(0), KeyOffice, "/services/receipts/renewals", `{"dog":12}`)
	is.Equal(r.outcome, "answered")
	s.Controls[1].Control, s.Controls[2].Control = nil, nil
}

// A planned stop of an agent or entry during streams must not cut off answers: it has to wait
// for requests in progress.
func TestPlannedStopCutsNoAnswer(t *testing.T) {
	for _, who := range []string{"agent", "entry"} {
		t.Run(who, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			s := start(t, func(c *Config) { c.TokenEvery = 5 * time.Millisecond })
			warm(t, s)
			const callers, tokens = 6, 100
			var wg sync.WaitGroup
			errs := make([]error, callers)
			for i := range callers {
				wg.Go(func() {
					body := prompt("summary", 10+i, tokens)
					errs[i] = checkAnswer(body, send(s.api(0), KeyEast, chat, body), tokens)
				})
			}
			eventually(t, "streams are under way", func() bool { return s.Agents[0].Debug().Load.Running == callers })
			if who == "agent" {
				s.Agents[0].Agent.Stop(testTimeout)
				r := send(s.api(1), KeyEast, chat, prompt("summary", 99, 1), entry.HeaderDeadline, "0.5")
				is.Equal(r.outcome, "not_run")
			} else {
				ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
				defer cancel()
				s.Entries[0].Retire()
				is.Equal(send(s.api(0), "", "/readyz", "").status, http.StatusServiceUnavailable)
				s.Entries[0].Drain(ctx)
			}
			wg.Wait()
			for _, err := range errs {
				is.NoErr(err)
			}
		})
	}
}

// A planned stop must end although a stream in progress does not. The wait for requests in
// progress needs a limit, after which they end with the outcome "unknown".
func TestEndlessStreamEndsWithAnOutcomeAtTheLimit(t *testing.T) {
	is := is.New(t)
	s := start(t, func(c *Config) { c.TokenEvery = 5 * time.Millisecond })
	warm(t, s)
	done := make(chan reply)
	go func() { done <- send(s.api(0), KeyEast, chat, prompt("summary", 1, 1_000_000)) }()
	eventually(t, "the stream runs", func() bool { return s.Agents[0].Debug().Load.Running == 1 })
	ctx, cancel := context.WithTimeout(context.Background(), 100*time.Millisecond)
	defer cancel()
	s.Entries[0].Drain(ctx)
	r := <-done
	is.True(r.err != nil) // the connection is aborted, not closed normally
	is.True(strings.Contains(r.body, "outcome=unknown"))
	is.True(!strings.Contains(r.body, "[DONE]"))
	eventually(t, "the engine's run is cancelled", func() bool { return s.Agents[0].Debug().Load.Running == 0 })
}

// The memory of entry and agent must not grow with each slow caller. A caller reads nothing
// while a long answer is generated: every buffer on the path must be bounded and apply
// backpressure to the one before it.
func TestSlowCallerHoldsBoundedMemory(t *testing.T) {
	is := is.New(t)
	s := start(t, func(c *Config) {
		c.TokenEvery = 0
		c.TuneEntry = func(e *entry.Config) { e.WriteTimeout = 300 * time.Millisecond }
	})
	warm(t, s)
	body := prompt("summary", 1, 200_000)
	req, err := http.NewRequest(http.MethodPost, "http://"+s.api(0)+chat, strings.NewReader(body))
	is.NoErr(err)
	req.Header.Set("Authorization", "Bearer "+KeyEast)
	res, err := http.DefaultClient.Do(req)
	is.NoErr(err)
	defer res.Body.Close()
	eventually(t, "the caller is cut off and the run ends", func() bool {
		d := s.Agents[0].Debug()
		return d.Load.Running == 0
	})
}

// A burst of first requests for several models at all entries must not load a replica for
// each entry. Entries do not know each other's demand, so control has to decide.
func TestBurstAtAllEntriesLoadsOnlyDecidedReplicas(t *testing.T) {
	is := is.New(t)
	s := start(t, func(c *Config) { c.Entries = 3 })
	models := []string{"summary", "notice", "classify", "summary:east-terms"}
	const callers = 60
	errs := make([]error, callers)
	var wg sync.WaitGroup
	for i := range callers {
		wg.Go(func() {
			body := prompt(models[i%len(models)], i, 4)
			r := send(s.api(i%3), []string{KeyEast, KeyWest}[i%2], chat, body)
			if r.outcome == "not_run" && r.header.Get("Retry-After") != "" {
				return // refused in time, with a Retry-After
			}
			errs[i] = checkAnswer(body, r, 4)
		})
	}
	wg.Wait()
	for _, err := range errs {
		is.NoErr(err)
	}
	for _, a := range s.Agents[:2] {
		f := a.Engine.Facts()
		is.Equal(f.Overcommit, 0)
		is.True(f.Peak <= a.Cfg.Memory)
	}
	is.NoErr(checkReplicaLimit(s))
}

// checkReplicaLimit returns an error if engines hold more replicas of a target than the two
// that were sold.
func checkReplicaLimit(s *System) error {
	held := map[string]int{}
	for _, a := range s.Agents {
		if a.Engine == nil {
			continue
		}
		for _, t := range a.Engine.Facts().Held {
			held[t.String()]++
		}
	}
	for name, n := range held {
		if n > 2 {
			return fmt.Errorf("%d replicas of %s are loaded; 2 were sold", n, name)
		}
	}
	return nil
}

// A burst of requests must not wait while a healthy endpoint is idle. One of two endpoints
// accepts connections and never answers; if each request dials it in turn, after the dial of
// the one before it has timed out, requests wait for minutes.
func TestBurstIsNotHeldUpByASilentEndpoint(t *testing.T) {
	is := is.New(t)
	s := start(t, func(c *Config) {
		c.Relayed = true
		c.Engines[0].Memory = 64e9
		second := c.Engines[0]
		second.Host = "kyushu-gpu-2"
		c.Engines = append(c.Engines, second)
	})
	base := s.revision(t, "outage-reports")
	two := strings.Replace(sampleKyushu(), `{"min": 0, "max": 2}`, `{"min": 2, "max": 2}`, 1)
	_, err := s.Submit(testContext(t), "two", base, record.Text(two))
	is.NoErr(err)
	first, second := s.agent("kyushu-gpu-1"), s.agent("kyushu-gpu-2")
	eventually(t, "both hold all models", func() bool {
		return len(first.Engine.Facts().Held) == 3 && len(second.Engine.Facts().Held) == 3
	})
	first.Relay.SetDropAll(true)
	const callers = 40
	errs := make([]error, callers)
	var wg sync.WaitGroup
	for i := range callers {
		wg.Go(func() {
			body := prompt("summary", i, 3)
			errs[i] = checkAnswer(body, send(s.api(i%2), KeyEast, chat, body), 3)
		})
	}
	wg.Wait()
	for _, err := range errs {
		is.NoErr(err)
	}
}
