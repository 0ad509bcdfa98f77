package dev

import (
	"fmt"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/cassiapass/cassiapass/internal/app/agent"
	"github.com/cassiapass/cassiapass/internal/app/entry"
	"github.com/cassiapass/cassiapass/internal/fake"
	"github.com/cassiapass/cassiapass/internal/port"
)

// Memory must not be overcommitted after an agent restarts during a load. The new process
// gets another grant while the engine, if it ignores fencing, is still loading for an order
// of the old process, which the new one does not know.
func TestAgentRestartDuringALoadKeepsWithinMemory(t *testing.T) {
	for _, honours := range []bool{true, false} {
		t.Run(fmt.Sprint("engine honours fencing: ", honours), func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			s := start(t, func(c *Config) {
				c.Engines[0].HonoursFence = honours
				c.Store = &fake.Store{Speed: 20e9, Concurrent: 4, DiskSpeed: 200e9, MemSpeed: 800e9}
			})
			var wg sync.WaitGroup
			replies := make([]reply, 3)
			for i, m := range []string{"summary", "notice", "classify"} {
				wg.Go(func() { replies[i] = send(s.api(i%2), KeyEast, chat, prompt(m, i, 2)) })
			}
			eventually(t, "a load is under way", func() bool { return s.Agents[0].Engine.Facts().Loads > 0 })
			s.Agents[0].Kill()
			is.NoErr(s.OpenAgent(0))
			wg.Wait()
			for i, r := range replies {
				is.NoErr(checkAnswer(prompt([]string{"summary", "notice", "classify"}[i], i, 2), r, 2))
			}
			f := s.Agents[0].Engine.Facts()
			is.Equal(f.Overcommit, 0)
			is.True(f.Peak <= s.Agents[0].Cfg.Memory)
		})
	}
}

// A replica's slot must not be lost permanently, or assigned twice, when the platform
// reclaims its host: the host and its agent disappear, and the platform's list shows it
// later. Silence alone does not prove that a host is gone; the end of its lease together
// with its absence from the list does.
func TestReclaimedHostReleasesItsReplicas(t *testing.T) {
	is := is.New(t)
	s := start(t, func(c *Config) {
		c.Leases.GoneWait = 500 * time.Millisecond
		c.Engines = append(c.Engines, EngineSpec{Host: "kyushu-gpu-2", Zone: "oita", Place: "kyushu", Memory: 24e9, HonoursFence: true})
	})
	warm(t, s)
	var removed, other *AgentProc
	for _, h := range []string{"kyushu-gpu-1", "kyushu-gpu-2"} {
		if a := s.agent(h); len(a.Engine.Facts().Held) > 0 {
			removed = a
		} else {
			other = a
		}
	}
	removed.Kill()
	removed.ServiceHTTP.Close()
	s.Hosts.Set(removed.Cfg.Host, port.HostLeaving)
	s.Hosts.Remove(removed.Cfg.Host)
	body := prompt("summary", 3, 2)
	is.NoErr(checkAnswer(body, send(s.api(0), KeyEast, chat, body), 2))
	is.Equal(len(other.Engine.Facts().Held), 1)
	eventually(t, "the host is forgotten", func() bool {
		return !s.Controls[0].HasEndpoint(removed.Cfg.Host)
	})
}

// connectionEndDelay is the time after the end of a process by which an entry has seen its
// connections close, also under heavy load. Control notices the loss of the host later.
const connectionEndDelay = 300 * time.Millisecond

// Attempts that cannot reach an endpoint must not use the retry budget. Otherwise requests
// are refused with "not run: the endpoint cannot be reached, retry_budget_used_up" when the
// host of a model's only replica disappears, although a new replica is ready a second later:
// they retry the old endpoint until control notices the loss.
func TestUnreachableEndpointCostsNoRetryBudget(t *testing.T) {
	is := is.New(t)
	s := start(t, func(c *Config) {
		c.Leases.GoneWait = 500 * time.Millisecond
		c.TuneEntry = func(e *entry.Config) { e.RetryShare, e.RetryBurst = 0, 0 }
		c.Engines = append(c.Engines, EngineSpec{Host: "kyushu-gpu-2", Zone: "oita", Place: "kyushu", Memory: 24e9, HonoursFence: true})
	})
	warm(t, s)
	for _, h := range []string{"kyushu-gpu-1", "kyushu-gpu-2"} {
		if a := s.agent(h); len(a.Engine.Facts().Held) > 0 {
			a.Kill()
			a.ServiceHTTP.Close()
			s.Hosts.Remove(a.Cfg.Host)
			break
		}
	}
	// Wait until the entry has seen its connections to that host close: a request written
	// to one of them before that may have run, and repeating it does count as a retry.
	time.Sleep(connectionEndDelay)
	body := prompt("summary", 3, 2)
	is.NoErr(checkAnswer(body, send(s.api(0), KeyEast, chat, body), 2))
}

// An endpoint that control has removed must register again. Its agent is partitioned from
// control while its host is missing from the platform's list, so control removes it; then
// the network heals. An agent that registers only when it starts would serve nothing from
// then on.
func TestRemovedEndpointRegistersAgain(t *testing.T) {
	is := is.New(t)
	var relay *fake.Relay
	s := start(t, func(c *Config) {
		c.Leases.GoneWait = 500 * time.Millisecond
		c.TuneAgent = func(a *agent.Config) {
			if a.Host != "kyushu-gpu-1" {
				return
			}
			r, err := fake.NewRelay(a.Control[0])
			if err != nil {
				panic(err)
			}
			relay = r
			a.Control = []string{r.Addr()}
		}
	})
	defer relay.Close()
	warm(t, s)
	s.Hosts.Remove("kyushu-gpu-1")
	relay.SetDropAll(true)
	eventually(t, "it is forgotten", func() bool { return !s.Controls[0].HasEndpoint("kyushu-gpu-1") })
	s.Hosts.Set("kyushu-gpu-1", port.HostLive)
	relay.SetDropAll(false)
	eventually(t, "it is known again", func() bool { return s.Controls[0].HasEndpoint("kyushu-gpu-1") })
	body := prompt("summary", 9, 3)
	is.NoErr(checkAnswer(body, send(s.api(0), KeyEast, chat, body), 3))
	is.Equal(s.agent("kyushu-gpu-1").Engine.Facts().Overcommit, 0)
}
