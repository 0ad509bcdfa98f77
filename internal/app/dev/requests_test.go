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
	is.NoErr(whole(body, ask(s.api(0), KeyEast, chat, body), 8))
	body = prompt("summary:east-terms", 2, 8)
	is.NoErr(whole(body, ask(s.api(1), KeyWest, chat, body), 8))
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
			r := ask(s.api(0), c.key, c.path, c.body)
			is.Equal(r.status, c.status)
			is.Equal(r.outcome, "not_run")
			is.True(strings.Contains(r.body, c.code))
		})
	}
}

// Symptom: an answer stops for ever although endpoint and entry are well.
// Sequence: a stream is under way; something between the two hosts forgets the
// connection; new connections work.
// Cause: an open TCP connection says nothing about the path behind it.
func TestAnswerGoesOnWhenItsConnectionFallsSilent(t *testing.T) {
	is := is.New(t)
	s := start(t, func(c *Config) { c.Relayed, c.TokenEvery = true, 10*time.Millisecond })
	warm(t, s)
	body := prompt("summary", 2, 200)
	done := make(chan reply)
	go func() { done <- ask(s.api(0), KeyEast, chat, body) }()
	time.Sleep(300 * time.Millisecond)
	s.Agents[0].Relay.SilenceOpen()
	is.NoErr(whole(body, <-done, 200))
}

// warm loads the summary model.
func warm(t *testing.T, s *System) {
	t.Helper()
	body := prompt("summary", 0, 2)
	if err := whole(body, ask(s.api(0), KeyEast, chat, body), 2); err != nil {
		t.Fatal(err)
	}
}

// Symptom: an answer ends in the middle, or holds parts of another one.
// Sequence: the connection between agent and engine is cut, goes silent or
// brings another request's answer; the connection to the entry is cut.
// Cause: streams cross two connections, and each can fail by itself.
func TestAnswersAreWholeWhateverIsCut(t *testing.T) {
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
					s.Agents[0].Relay.Cut()
				}
			}()
		}},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			s := start(t, func(cfg *Config) {
				cfg.Relayed, cfg.TokenEvery = true, 2*time.Millisecond
				cfg.TuneAgent = func(a *agent.Config) { a.EngineSilent = 300 * time.Millisecond }
			})
			warm(t, s)
			c.fault(s)
			body := prompt("summary", 2, 200)
			is.NoErr(whole(body, ask(s.api(0), KeyEast, chat, body), 200))
			for _, n := range s.Agents[0].Engine.Facts().Attempts {
				is.Equal(n, 1) // no attempt ran twice
			}
		})
	}
}

// Symptom: a renewal is posted twice.
// Sequence: the answer to the entry's message is lost while the agent runs it.
// Cause: a retry in doubt would run it again; the same attempt must find its run.
func TestRenewalRunsOnceWhenTheConnectionIsLost(t *testing.T) {
	for _, how := range []string{"cut", "silent", "deaf"} {
		t.Run(how, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			s := start(t, func(c *Config) { c.Relayed = true })
			a := s.agent("receipts-1")
			a.Plain.Delay = 400 * time.Millisecond
			done := make(chan reply)
			go func() { done <- ask(s.api(0), KeyOffice, "/services/receipts/renewals", `{"dog":7}`) }()
			eventually(t, "the renewal runs", func() bool { return len(a.Plain.Filed()) == 1 })
			switch how {
			case "cut":
				a.Relay.Cut()
			case "silent":
				a.Relay.SilenceOpen()
			case "deaf":
				a.Relay.SetDeaf(true)
			}
			r := <-done
			is.Equal(a.Plain.Filed()[`{"dog":7}`], 1)
			if how == "deaf" {
				is.Equal(r.outcome, "unknown") // it ran, and nobody could be asked
				return
			}
			is.Equal(r.outcome, "answered")
			is.Equal(r.status, http.StatusCreated)
		})
	}
}

// Symptom: a renewal runs a second time after its agent was restarted.
// Sequence: the renewal runs; the agent dies; a new process answers at the same
// address.
// Cause: the new process does not know what the old one ran.
func TestRestartedAgentDoesNotRunWhatItsPredecessorMayHave(t *testing.T) {
	is := is.New(t)
	s := start(t, func(c *Config) { c.Relayed = true })
	a := s.agent("receipts-1")
	a.Plain.Delay = 300 * time.Millisecond
	done := make(chan reply)
	go func() { done <- ask(s.api(0), KeyOffice, "/services/receipts/renewals", `{"dog":8}`) }()
	eventually(t, "the renewal runs", func() bool { return len(a.Plain.Filed()) == 1 })
	a.Kill()
	is.NoErr(s.OpenAgent(len(s.Agents) - 1))
	r := <-done
	is.Equal(r.outcome, "unknown")
	is.Equal(r.status, http.StatusBadGateway)
	is.Equal(a.Plain.Filed()[`{"dog":8}`], 1)
}

// Symptom: two receipts for one renewal.
// Sequence: a clerk's program sends the same renewal through both entries at
// once, and again later.
// Cause: entries do not know of each other; only the claim in the log does.
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
			replies[i] = ask(s.api(i%2), KeyOffice, "/services/receipts/renewals", `{"dog":9}`, entry.HeaderKey, "key-9")
		})
	}
	wg.Wait()
	for _, r := range replies {
		is.Equal(r.status, http.StatusCreated)
		is.Equal(r.body, replies[0].body)
		is.Equal(r.outcome, "answered")
	}
	is.Equal(a.Plain.Filed()[`{"dog":9}`], 1)
	r := ask(s.api(0), KeyOffice, "/services/receipts/renewals", `{"dog":10}`, entry.HeaderKey, "key-9")
	is.Equal(r.status, http.StatusUnprocessableEntity)
	is.Equal(r.outcome, "not_run")
	is.Equal(a.Plain.Filed()[`{"dog":10}`], 0)
}

// Symptom: keyed requests run unclaimed, or everything stops, without a quorum.
// Sequence: two of three control hosts are lost.
// Cause: a key can only be claimed through the log; other requests need no log.
func TestWithoutQuorumKeyedRequestsAreNotRunAndOthersGoOn(t *testing.T) {
	is := is.New(t)
	s := start(t, func(c *Config) { c.Controls = 3 })
	for _, c := range s.Controls[1:] {
		c.Kill()
	}
	a := s.agent("receipts-1")
	r := ask(s.api(0), KeyOffice, "/services/receipts/renewals", `{"dog":11}`, entry.HeaderKey, "key-11")
	is.Equal(r.outcome, "not_run")
	is.Equal(r.status, http.StatusServiceUnavailable)
	is.True(r.header.Get("Retry-After") != "")
	is.Equal(len(a.Plain.Filed()), 0)
	r = ask(s.api(0), KeyOffice, "/services/receipts/renewals", `{"dog":12}`)
	is.Equal(r.outcome, "answered")
	s.Controls[1].Control, s.Controls[2].Control = nil, nil
}

// Symptom: a stop of an endpoint or entry cuts answers.
// Sequence: streams are under way; agent and entry are told to stop.
// Cause: a planned stop must let work in progress end.
func TestPlannedStopCutsNothing(t *testing.T) {
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
					errs[i] = whole(body, ask(s.api(0), KeyEast, chat, body), tokens)
				})
			}
			eventually(t, "streams are under way", func() bool { return s.Agents[0].Debug().Load.Running == callers })
			if who == "agent" {
				s.Agents[0].Agent.Stop(patience)
				r := ask(s.api(1), KeyEast, chat, prompt("summary", 99, 1), entry.HeaderDeadline, "0.5")
				is.Equal(r.outcome, "not_run")
			} else {
				ctx, cancel := context.WithTimeout(context.Background(), patience)
				defer cancel()
				s.Entries[0].Retire()
				is.Equal(ask(s.api(0), "", "/readyz", "").status, http.StatusServiceUnavailable)
				s.Entries[0].Drain(ctx)
			}
			wg.Wait()
			for _, err := range errs {
				is.NoErr(err)
			}
		})
	}
}

// Symptom: a process that is told to stop never does.
// Sequence: a stream without end is under way at a planned stop.
// Cause: waiting for work in progress needs a bound, with a typed outcome.
func TestEndlessStreamEndsWithAnOutcomeAtTheLimit(t *testing.T) {
	is := is.New(t)
	s := start(t, func(c *Config) { c.TokenEvery = 5 * time.Millisecond })
	warm(t, s)
	done := make(chan reply)
	go func() { done <- ask(s.api(0), KeyEast, chat, prompt("summary", 1, 1_000_000)) }()
	eventually(t, "the stream runs", func() bool { return s.Agents[0].Debug().Load.Running == 1 })
	ctx, cancel := context.WithTimeout(context.Background(), 100*time.Millisecond)
	defer cancel()
	s.Entries[0].Drain(ctx)
	r := <-done
	is.True(r.err != nil) // the connection is broken, not ended
	is.True(strings.Contains(r.body, "outcome=unknown"))
	is.True(!strings.Contains(r.body, "[DONE]"))
	eventually(t, "the engine's run is cancelled", func() bool { return s.Agents[0].Debug().Load.Running == 0 })
}

// Symptom: memory of entry and agent grows with every slow caller.
// Sequence: a caller reads nothing while a long answer is generated.
// Cause: each buffer on the way must be bounded and hold back the one before.
func TestSlowCallerHoldsBoundedMemory(t *testing.T) {
	is := is.New(t)
	s := start(t, func(c *Config) {
		c.TokenEvery = 0
		c.TuneEntry = func(e *entry.Config) { e.WriteWait = 300 * time.Millisecond }
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

// Symptom: every entry loads its own replica of the model that a storm wakes.
// Sequence: first requests for models of both utilities arrive at all entries.
// Cause: entries cannot see each other's demand; one place has to decide.
func TestBurstAtAllEntriesKeepsWithinWhatWasDecided(t *testing.T) {
	is := is.New(t)
	s := start(t, func(c *Config) { c.Entries = 3 })
	models := []string{"summary", "notice", "classify", "summary:east-terms"}
	const callers = 60
	errs := make([]error, callers)
	var wg sync.WaitGroup
	for i := range callers {
		wg.Go(func() {
			body := prompt(models[i%len(models)], i, 4)
			r := ask(s.api(i%3), []string{KeyEast, KeyWest}[i%2], chat, body)
			if r.outcome == "not_run" && r.header.Get("Retry-After") != "" {
				return // refused in time, with a time to come back
			}
			errs[i] = whole(body, r, 4)
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
	is.NoErr(noMoreThanDecided(s))
}

// noMoreThanDecided compares what engines hold with what control decided.
func noMoreThanDecided(s *System) error {
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

// Symptom: requests wait for minutes while a healthy endpoint is idle.
// Sequence: one of two endpoints accepts connections and answers nothing; a
// burst of requests comes.
// Cause: each request dialled the silent endpoint in turn, waiting for the one
// before it to time out.
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
	_, err := s.Submit(within(t), "two", base, record.Text(two))
	is.NoErr(err)
	first, second := s.agent("kyushu-gpu-1"), s.agent("kyushu-gpu-2")
	eventually(t, "both hold all models", func() bool {
		return len(first.Engine.Facts().Held) == 3 && len(second.Engine.Facts().Held) == 3
	})
	first.Relay.SetDeaf(true)
	const callers = 40
	errs := make([]error, callers)
	var wg sync.WaitGroup
	for i := range callers {
		wg.Go(func() {
			body := prompt("summary", i, 3)
			errs[i] = whole(body, ask(s.api(i%2), KeyEast, chat, body), 3)
		})
	}
	wg.Wait()
	for _, err := range errs {
		is.NoErr(err)
	}
}
