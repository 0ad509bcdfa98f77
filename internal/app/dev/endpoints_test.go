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

// Symptom: memory is overcommitted after an agent was restarted during a load.
// Sequence: a load is under way; the agent dies; a new process starts and gets
// another grant while the engine, which ignores fencing, still loads.
// Cause: the engine holds memory that no living process ordered.
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
				wg.Go(func() { replies[i] = ask(s.api(i%2), KeyEast, chat, prompt(m, i, 2)) })
			}
			eventually(t, "a load is under way", func() bool { return s.Agents[0].Engine.Facts().Loads > 0 })
			s.Agents[0].Kill()
			is.NoErr(s.OpenAgent(0))
			wg.Wait()
			for i, r := range replies {
				is.NoErr(whole(prompt([]string{"summary", "notice", "classify"}[i], i, 2), r, 2))
			}
			f := s.Agents[0].Engine.Facts()
			is.Equal(f.Overcommit, 0)
			is.True(f.Peak <= s.Agents[0].Cfg.Memory)
		})
	}
}

// Symptom: a replica's slot is lost for ever, or given out twice, when its host
// is reclaimed.
// Sequence: the host vanishes with its agent; the platform's list follows late.
// Cause: silence alone is no proof; lease and list together are.
func TestReclaimedHostGivesItsReplicasFree(t *testing.T) {
	is := is.New(t)
	s := start(t, func(c *Config) {
		c.Leases.GoneWait = 500 * time.Millisecond
		c.Engines = append(c.Engines, EngineSpec{Host: "kyushu-gpu-2", Zone: "oita", Place: "kyushu", Memory: 24e9, HonoursFence: true})
	})
	warm(t, s)
	var victim, other *AgentProc
	for _, h := range []string{"kyushu-gpu-1", "kyushu-gpu-2"} {
		if a := s.agent(h); len(a.Engine.Facts().Held) > 0 {
			victim = a
		} else {
			other = a
		}
	}
	victim.Kill()
	victim.Back.Close()
	s.Hosts.Set(victim.Cfg.Host, port.HostLeaving)
	s.Hosts.Remove(victim.Cfg.Host)
	body := prompt("summary", 3, 2)
	is.NoErr(whole(body, ask(s.api(0), KeyEast, chat, body), 2))
	is.Equal(len(other.Engine.Facts().Held), 1)
	eventually(t, "the host is forgotten", func() bool {
		return !s.Controls[0].Knows(victim.Cfg.Host)
	})
}

// connectionsEnd is how long after a process's end an entry has certainly seen that its
// connections ended, also on a busy machine. Control notices the host later.
const connectionsEnd = 300 * time.Millisecond

// Symptom: "not run: the endpoint cannot be reached, retry_budget_used_up" for a
// model whose only host has vanished, though the next replica is a second away.
// Sequence: the host of the only replica vanishes; requests try it again and
// again until control has noticed.
// Cause: tries that reached nothing used up the budget for retries.
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
			a.Back.Close()
			s.Hosts.Remove(a.Cfg.Host)
			break
		}
	}
	// The entry has seen the end of its connections to that host: a request written to
	// one of them before that may have run, and another try is rightly a retry.
	time.Sleep(connectionsEnd)
	body := prompt("summary", 3, 2)
	is.NoErr(whole(body, ask(s.api(0), KeyEast, chat, body), 2))
}

// Symptom: an endpoint serves nothing although its host and agent are well.
// Sequence: the agent is cut off from control for longer than the platform's
// list lacks its host; control forgets it; the network heals.
// Cause: an agent that registers only at its start stays forgotten.
func TestForgottenEndpointRegistersAgain(t *testing.T) {
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
	relay.SetDeaf(true)
	eventually(t, "it is forgotten", func() bool { return !s.Controls[0].Knows("kyushu-gpu-1") })
	s.Hosts.Set("kyushu-gpu-1", port.HostLive)
	relay.SetDeaf(false)
	eventually(t, "it is known again", func() bool { return s.Controls[0].Knows("kyushu-gpu-1") })
	body := prompt("summary", 9, 3)
	is.NoErr(whole(body, ask(s.api(0), KeyEast, chat, body), 3))
	is.Equal(s.agent("kyushu-gpu-1").Engine.Facts().Overcommit, 0)
}
