package dev

import (
	"context"
	"fmt"
	"math/rand/v2"
	"os"
	"strconv"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/cassiapass/cassiapass/internal/adapter/rpc"
	"github.com/cassiapass/cassiapass/internal/app/agent"
	"github.com/cassiapass/cassiapass/internal/app/entry"
	"github.com/cassiapass/cassiapass/internal/core/ident"
	"github.com/cassiapass/cassiapass/internal/fake"
	"github.com/cassiapass/cassiapass/internal/wire"
)

// injectFault injects one random fault.
func (s *System) injectFault(t *testing.T, r *rand.Rand) {
	a := s.Agents[r.IntN(len(s.Agents))]
	switch r.IntN(8) {
	case 0:
		a.Relay.CloseConns()
	case 1:
		a.Relay.SilenceConns()
	case 2:
		for i := range s.Agents {
			if s.Agents[i] == a {
				a.Kill()
				if err := s.OpenAgent(i); err != nil {
					t.Error(err)
				}
			}
		}
	case 3:
		i := r.IntN(len(s.Controls))
		s.Controls[i].Kill()
		s.Controls[i].API.Close()
		if err := s.OpenControl(i); err != nil {
			t.Error(err)
		}
	case 4:
		s.Controls[r.IntN(len(s.Controls))].Relay.SilenceConns()
	case 5:
		s.Agents[0].Engine.Inject(fake.EngineFaults{CutAfter: r.IntN(400), CutAnswers: 2})
	case 6:
		s.Agents[0].Engine.Inject(fake.EngineFaults{CrossedIDs: 1, HangAnswers: 1, LostOrders: 1})
	default:
		a.Relay.SetDelay(time.Duration(r.IntN(20)) * time.Millisecond)
	}
}

// Every outcome that a caller receives must be true under a seeded random sequence of faults
// at all roles, some of them concurrent, with streams, plain posts and keyed posts that their
// callers repeat. It covers cases without a test of their own: every answer is compared with
// what the engine and the plain service ran.
func TestRandomFaultsKeepEveryGuarantee(t *testing.T) {
	n, err := strconv.Atoi(os.Getenv("CASSIAPASS_FAULT_SEEDS"))
	if err != nil {
		n = 2 // for CI; set CASSIAPASS_FAULT_SEEDS for more
	}
	for seed := range n {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			t.Parallel()
			randomFaults(t, uint64(seed))
		})
	}
}

func randomFaults(t *testing.T, seed uint64) {
	s := start(t, func(c *Config) {
		c.Controls, c.Relayed = 3, true
		c.TuneAgent = func(a *agent.Config) { a.EngineSilenceLimit = 300 * time.Millisecond }
	})
	plain := s.agent("receipts-1").Plain
	var stop atomic.Bool
	var wg sync.WaitGroup
	var n, answered, refused, unknown atomic.Int64
	for w := range 6 {
		wg.Go(func() {
			for !stop.Load() {
				i := int(n.Add(1))
				r := s.sendAndCheck(t, w, i, plain)
				switch r {
				case "answered":
					answered.Add(1)
				case "not_run":
					refused.Add(1)
				default:
					unknown.Add(1)
				}
			}
		})
	}
	r := rand.New(rand.NewPCG(seed, 9))
	for range 16 {
		s.injectFault(t, r)
		time.Sleep(time.Duration(50+r.IntN(250)) * time.Millisecond)
	}
	stop.Store(true)
	wg.Wait()
	for body, times := range plain.Posted() {
		if times > 1 {
			t.Errorf("%s was filed %d times", body, times)
		}
	}
	for _, a := range s.Agents {
		if a.Engine != nil && a.Engine.Facts().Overcommit > 0 {
			t.Errorf("%s: memory was overcommitted", a.Cfg.Host)
		}
	}
	t.Logf("%d answered, %d not run, %d unknown", answered.Load(), refused.Load(), unknown.Load())
}

// sendAndCheck sends a request of one of three kinds and checks its outcome.
func (s *System) sendAndCheck(t *testing.T, w, i int, plain *fake.Plain) string {
	switch w % 3 {
	case 0:
		body := prompt("summary", i, 20)
		r := send(s.api(i%2), KeyEast, chat, body)
		if r.outcome == "answered" {
			if err := checkAnswer(body, r, 20); err != nil {
				t.Error(err)
			}
		}
		return r.outcome
	case 1:
		body := fmt.Sprintf(`{"n":%d}`, i)
		r := send(s.api(i%2), KeyOffice, "/services/receipts/renewals", body)
		checkPosted(t, plain, body, r.outcome)
		return r.outcome
	}
	body := fmt.Sprintf(`{"key":%d}`, i)
	var r reply
	for try := range 3 {
		r = send(s.api((i+try)%2), KeyOffice, "/services/receipts/renewals", body, entry.HeaderKey, fmt.Sprint("k", i))
		if r.outcome != "not_run" {
			break
		}
	}
	if r.outcome == "answered" {
		checkPosted(t, plain, body, r.outcome)
	}
	return r.outcome
}

func checkPosted(t *testing.T, plain *fake.Plain, body, outcome string) {
	times := plain.Posted()[body]
	switch {
	case outcome == "answered" && times != 1:
		t.Errorf("%s: answered, filed %d times", body, times)
	case outcome == "not_run" && times != 0:
		t.Errorf("%s: not run, filed %d times", body, times)
	case outcome == "":
		t.Errorf("%s: no outcome", body)
	}
}

// The checks above must be able to fail: each safeguard is disabled in the situation that it
// is for, and the failure that it prevents must occur.
func TestMissingSafeguardsAreDetected(t *testing.T) {
	t.Run("restarts are forgotten", func(t *testing.T) {
		is := is.New(t)
		is.Equal(runAfterRestart(t, agent.UnsafeNone), wire.RunUnknown)
		is.Equal(runAfterRestart(t, agent.UnsafeRestarted), wire.RunAccepted)
	})
	t.Run("running is called not run", func(t *testing.T) {
		is := is.New(t)
		is.Equal(cutWhileRunning(t, agent.UnsafeNone), "unknown")
		is.Equal(cutWhileRunning(t, agent.UnsafeNotRun), "not_run") // and it ran
	})
	t.Run("keys are not claimed", func(t *testing.T) {
		is := is.New(t)
		is.Equal(sameKeyTwice(t, entry.UnsafeNone), 1)
		is.Equal(sameKeyTwice(t, entry.UnsafeClaim), 2)
	})
	t.Run("doubt is retried", func(t *testing.T) {
		is := is.New(t)
		is.Equal(killWhileRunning(t, entry.UnsafeNone), 1)
		is.Equal(killWhileRunning(t, entry.UnsafeRetry), 2)
	})
}

func startUnsafe(t *testing.T, a agent.Unsafe, e entry.Unsafe) (*System, *AgentProc) {
	s := start(t, func(c *Config) {
		c.Relayed = true
		c.TuneAgent = func(cfg *agent.Config) { cfg.Unsafe = a }
		c.TuneEntry = func(cfg *entry.Config) { cfg.Unsafe = e }
	})
	return s, s.agent("receipts-1")
}

// runDirectly sends one attempt to an agent without an entry.
func runDirectly(t *testing.T, a *AgentProc, sentTo ident.Incarnation) wire.RunResult {
	t.Helper()
	conn, err := rpc.Dial(testContext(t), a.Addr(), a.Cfg.Security, &rpc.ByteCounter{}, func(context.Context, *rpc.Conn, string, wire.Raw) (any, error) { return nil, nil })
	if err != nil {
		t.Fatal(err)
	}
	p := wire.RunParams{
		Attempt: ident.Attempt{Request: "direct", Number: 1}, Agent: a.Cfg.Host, Config: ident.Position{Index: 1 << 40}, Customer: "c", Weight: 1,
		Service: "receipts", Method: "POST", Path: "/renewals", Body: []byte(`{"direct":1}`), StartWithin: testTimeout, EndWithin: testTimeout, SentTo: sentTo,
	}
	var res wire.RunResult
	if err := conn.Call(testContext(t), wire.MethodRun, p, &res); err != nil {
		t.Fatal(err)
	}
	return res
}

func runAfterRestart(t *testing.T, u agent.Unsafe) wire.RunState {
	_, a := startUnsafe(t, u, "")
	return runDirectly(t, a, 1).State // the attempt was first sent to an earlier process
}

func cutWhileRunning(t *testing.T, u agent.Unsafe) string {
	s, a := startUnsafe(t, u, "")
	a.Plain.Delay = testTimeout
	done := make(chan reply)
	go func() { done <- send(s.api(0), KeyOffice, "/services/receipts/renewals", `{"cut":1}`) }()
	eventually(t, "it runs", func() bool { return a.Plain.Posted()[`{"cut":1}`] == 1 })
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	s.Entries[0].Drain(ctx)
	return (<-done).outcome
}

func sameKeyTwice(t *testing.T, u entry.Unsafe) int {
	s, a := startUnsafe(t, "", u)
	for i := range 2 {
		send(s.api(i), KeyOffice, "/services/receipts/renewals", `{"key":1}`, entry.HeaderKey, "same")
	}
	return a.Plain.Posted()[`{"key":1}`]
}

func killWhileRunning(t *testing.T, u entry.Unsafe) int {
	s, a := startUnsafe(t, "", u)
	a.Plain.Delay = 300 * time.Millisecond
	done := make(chan reply)
	go func() { done <- send(s.api(0), KeyOffice, "/services/receipts/renewals", `{"die":1}`) }()
	eventually(t, "it runs", func() bool { return a.Plain.Posted()[`{"die":1}`] == 1 })
	a.Kill()
	if err := s.OpenAgent(len(s.Agents) - 1); err != nil {
		t.Fatal(err)
	}
	<-done
	return a.Plain.Posted()[`{"die":1}`]
}
