package dev

import (
	"context"
	"errors"
	"fmt"
	"os"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/cassiapass/cassiapass/internal/adapter/rpc"
	"github.com/cassiapass/cassiapass/internal/app/entry"
	"github.com/cassiapass/cassiapass/internal/core/consensus"
	"github.com/cassiapass/cassiapass/internal/core/ident"
	"github.com/cassiapass/cassiapass/internal/core/record"
	"github.com/cassiapass/cassiapass/internal/core/state"
	"github.com/cassiapass/cassiapass/internal/fake"
	"github.com/cassiapass/cassiapass/internal/wire"
)

func within(t *testing.T) context.Context {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), patience)
	t.Cleanup(cancel)
	return ctx
}

// revised returns the Kyushu sample with another rate, so that it differs.
func revised(n int) record.Text {
	return record.Text(strings.Replace(sampleKyushu(), `"ratePerSecond": 2000`, fmt.Sprintf(`"ratePerSecond": %d`, 2001+n), 1))
}

func (s *System) revision(t *testing.T, name string) ident.Index {
	t.Helper()
	var rev ident.Index
	eventually(t, name+" is known", func() bool {
		for _, c := range s.Controls {
			if c.Control == nil {
				continue
			}
			if r, ok := c.RecordHere(name); ok {
				rev = max(rev, r.Revision)
			}
		}
		return rev > 0
	})
	return rev
}

// Symptom: requests fail, or run twice, when the leading control host dies.
// Sequence: steady requests, plain and keyed, through both entries; the leader
// is killed; later its process returns.
// Cause: only claims and cold starts need the log, and those are asked again.
func TestLeaderLossLosesNoRequest(t *testing.T) {
	is := is.New(t)
	s := start(t, func(c *Config) { c.Controls = 3 })
	warm(t, s)
	a := s.agent("receipts-1")
	var stop atomic.Bool
	var wg sync.WaitGroup
	var asked atomic.Int64
	errs := make(chan error, 1000)
	for w := range 6 {
		wg.Go(func() {
			for i := 0; !stop.Load(); i++ {
				n := int(asked.Add(1))
				if w%2 == 0 {
					body := prompt("summary", n, 4)
					if err := whole(body, ask(s.api(i%2), KeyEast, chat, body), 4); err != nil {
						errs <- err
					}
					continue
				}
				r := ask(s.api(i%2), KeyOffice, "/services/receipts/renewals", fmt.Sprintf(`{"n":%d}`, n), entry.HeaderKey, fmt.Sprint("n", n))
				refused := r.outcome == "not_run" && r.header.Get("Retry-After") != ""
				if r.outcome != "answered" && !refused {
					errs <- fmt.Errorf("keyed: %d %s %v %s", r.status, r.outcome, r.err, r.body)
				}
			}
		})
	}
	time.Sleep(300 * time.Millisecond)
	var dead int
	for i, c := range s.Controls {
		if c == s.Leader() {
			dead = i
		}
	}
	s.Controls[dead].Kill()
	s.Controls[dead].API.Close()
	s.Controls[dead].Control = nil
	eventually(t, "another leads", func() bool { return s.Leader() != nil })
	time.Sleep(300 * time.Millisecond)
	is.NoErr(s.OpenControl(dead))
	time.Sleep(300 * time.Millisecond)
	stop.Store(true)
	wg.Wait()
	close(errs)
	for err := range errs {
		is.NoErr(err)
	}
	for body, n := range a.Plain.Filed() {
		if n != 1 {
			t.Fatalf("%s was filed %d times", body, n)
		}
	}
}

// Symptom: two configurations are in force at once.
// Sequence: the leader is cut off silently and goes on believing that it leads;
// operators write through the others, then the partition heals.
// Cause: a leader has to notice by its own clock that it lost its quorum.
func TestIsolatedLeaderStepsDownAndNothingReverts(t *testing.T) {
	is := is.New(t)
	s := start(t, func(c *Config) { c.Controls, c.Relayed = 3, true })
	ctx := within(t)
	old := s.Leader()
	base := s.revision(t, "outage-reports")
	old.Relay.SetDeaf(true)
	s.cutOutgoing(old, true)
	eventually(t, "another leads", func() bool {
		for _, c := range s.Controls {
			if c != old && c.Status().Role == consensus.Leader {
				return true
			}
		}
		return false
	})
	eventually(t, "the old leader has stepped down", func() bool { return old.Status().Role != consensus.Leader })
	cctx, cancel := context.WithTimeout(ctx, time.Second)
	defer cancel()
	_, err := old.Propose(cctx, state.Command{Submit: &state.Submit{Request: "isolated", Base: base, Raw: revised(1)}})
	is.True(err != nil) // not acknowledged
	var res state.Result
	eventually(t, "a change through the majority", func() bool {
		for _, c := range s.Controls {
			if c == old {
				continue
			}
			cctx, cancel := context.WithTimeout(ctx, time.Second)
			r, err := c.Propose(cctx, state.Command{Submit: &state.Submit{Request: "majority", Base: base, Raw: revised(2)}})
			cancel()
			if err == nil {
				res = r
				return true
			}
		}
		return false
	})
	is.Equal(res.Code, state.OK)
	old.Relay.SetDeaf(false)
	s.cutOutgoing(old, false)
	eventually(t, "the old leader holds the majority's change", func() bool {
		r, _ := old.RecordHere("outage-reports")
		return r.Revision == res.Revision
	})
	eventually(t, "it is in force everywhere", func() bool { return s.inForce(res.Revision) })
}

// cutOutgoing makes everything that c sends to other control hosts vanish.
func (s *System) cutOutgoing(c *ControlProc, on bool) {
	for _, o := range s.Controls {
		if o != c {
			o.Relay.SilenceOpen()
			if on {
				continue
			}
		}
	}
}

// Symptom: a change is lost or made twice when operators race and resend.
// Sequence: many operators revise one record from the same revision through all
// hosts; the leader changes and every host restarts; everybody resends.
// Cause: equal numbers must have one winner, and answers must survive.
func TestRacingOperatorsHaveOneWinnerAndResendsGetTheFirstAnswer(t *testing.T) {
	is := is.New(t)
	s := start(t, func(c *Config) { c.Controls, c.Relayed = 3, true })
	ctx := within(t)
	base := s.revision(t, "outage-reports")
	const operators = 9
	results := make([]state.Result, operators)
	submit := func(i int) (state.Result, error) {
		cmd := state.Command{By: fmt.Sprint("operator-", i), Submit: &state.Submit{Request: fmt.Sprint("race-", i), Base: base, Raw: revised(i)}}
		return s.Controls[i%3].Propose(ctx, cmd)
	}
	var wg sync.WaitGroup
	for i := range operators {
		wg.Go(func() {
			res, err := submit(i)
			if err != nil {
				t.Error(err)
			}
			results[i] = res
		})
	}
	wg.Wait()
	wins := 0
	for _, r := range results {
		if r.Code == state.OK {
			wins++
			continue
		}
		is.Equal(r.Code, state.Conflict)
		is.True(r.Present != nil) // the content in force is shown
	}
	is.Equal(wins, 1)
	for i, c := range s.Controls {
		c.Kill()
		c.API.Close()
		is.NoErr(s.OpenControl(i))
	}
	for i := range operators {
		res, err := submit(i)
		is.NoErr(err)
		if !res.Resent {
			t.Fatalf("not the first answer: %+v", res)
		}
		is.Equal(res.Code, results[i].Code)
		is.Equal(res.Revision, results[i].Revision)
	}
}

// Symptom: acknowledged changes are gone after two hosts were lost in turn.
// Sequence: a host loses its disk, joins as a new member and is promoted; right
// after, another host is lost.
// Cause: a repaired member must hold the log before it counts for a quorum.
func TestSecondHostLostRightAfterARepair(t *testing.T) {
	is := is.New(t)
	s := start(t, func(c *Config) { c.Controls = 3 })
	ctx := within(t)
	base := s.revision(t, "outage-reports")
	res, err := s.Propose(ctx, state.Command{Submit: &state.Submit{Request: "before", Base: base, Raw: revised(1)}})
	is.NoErr(err)
	lost := s.Controls[2]
	gone := lost.ID()
	lost.Kill()
	lost.API.Close()
	is.NoErr(os.RemoveAll(lost.Dir))
	is.NoErr(s.OpenControl(2))
	is.True(lost.ID() != gone) // a new identity: the old one's votes are forgotten
	is.NoErr(s.Join(ctx, lost, true))
	is.NoErr(s.removeMember(ctx, gone))
	second := s.Controls[1]
	second.Kill()
	second.API.Close()
	second.Control = nil
	eventually(t, "the change is still there and new ones are taken", func() bool {
		cctx, cancel := context.WithTimeout(ctx, time.Second)
		defer cancel()
		r, err := s.Propose(cctx, state.Command{Submit: &state.Submit{Request: "after", Base: res.Revision, Raw: revised(2)}})
		return err == nil && r.Code == state.OK
	})
}

func (s *System) removeMember(ctx context.Context, id consensus.NodeID) error {
	for ctx.Err() == nil {
		if l := s.Leader(); l != nil {
			res, err := l.ChangeMember(ctx, wire.MemberParams{Member: consensus.Member{ID: id}, Remove: true})
			if err == nil && res.Done {
				return nil
			}
		}
		time.Sleep(20 * time.Millisecond)
	}
	return ctx.Err()
}

// Symptom: a restarted entry serves under a configuration of long ago.
// Sequence: an entry stops; hundreds of changes pass; it starts.
// Cause: what it is sent first may be old; only a quorum knows the newest.
func TestRestartedProcessIsReadyOnlyWithTheNewestConfiguration(t *testing.T) {
	is := is.New(t)
	s := start(t, func(c *Config) { c.Controls = 3 })
	ctx := within(t)
	s.Entries[1].API.Close()
	s.Entries[1].Close()
	base := s.revision(t, "outage-reports")
	for i := range 300 {
		res, err := s.Propose(ctx, state.Command{Submit: &state.Submit{Request: fmt.Sprint("r", i), Base: base, Raw: revised(i)}})
		is.NoErr(err)
		base = res.Revision
	}
	is.NoErr(s.StartEntry(1))
	eventually(t, "ready", func() bool {
		if s.Entries[1].Ready() {
			is.Equal(s.Entries[1].Config(), base)
			return true
		}
		return false
	})
}

// Symptom: a customer whose record was withdrawn is still served.
// Sequence: an entry is cut off from control; the record is withdrawn; the
// entry's caller asks again.
// Cause: the entry cannot know; the agent does, and refuses.
func TestCutOffEntryCannotActOnAWithdrawnRecord(t *testing.T) {
	is := is.New(t)
	var relay *fake.Relay
	s := start(t, func(c *Config) {
		c.TuneEntry = func(e *entry.Config) {
			if e.Host != "entry-1" {
				return
			}
			r, err := fake.NewRelay(e.Control[0])
			if err != nil {
				panic(err)
			}
			relay = r
			e.Control = []string{r.Addr()}
		}
	})
	defer relay.Close()
	warm(t, s)
	relay.SetDeaf(true)
	ctx := within(t)
	base := s.revision(t, "outage-reports")
	res, err := s.Propose(ctx, state.Command{Withdraw: &state.Withdraw{Request: "w", Name: "outage-reports", Base: base}})
	is.NoErr(err)
	is.Equal(res.Code, state.OK)
	eventually(t, "the agent knows", func() bool { return s.Agents[0].Debug().Index >= res.Revision })
	r := ask(s.api(0), KeyEast, chat, prompt("summary", 5, 1))
	is.Equal(r.outcome, "not_run")
	is.True(strings.Contains(r.body, "withdrawn"))
	is.Equal(ask(s.api(0), KeyEast, chat, prompt("summary", 6, 1)).status, 401) // now it knows itself
	eventually(t, "the replica is unloaded", func() bool { return len(s.Agents[0].Engine.Facts().Held) == 0 })
}

// Symptom: a stranger reads or changes what the processes tell each other.
// Sequence: a process with another key, or none, connects.
// Cause: addresses are not proof of identity.
func TestProcessesWithoutTheKeyAreRefused(t *testing.T) {
	is := is.New(t)
	s := start(t, nil)
	for _, addr := range []string{s.Controls[0].Addr(), s.Agents[0].Addr()} {
		_, err := rpc.Dial(within(t), addr, rpc.Security{Key: []byte("another-key-of-some-length")}, &rpc.Counter{}, nil)
		is.True(errors.Is(err, rpc.ErrAuth))
		c, err := rpc.Dial(within(t), addr, rpc.Security{}, &rpc.Counter{}, nil)
		is.NoErr(err) // TCP connects; nothing is answered
		cctx, cancel := context.WithTimeout(within(t), patience)
		is.True(c.Call(cctx, wire.MethodPing, nil, nil) != nil)
		cancel()
	}
}

// An observer carries subscriptions, demands, claims and operators' changes
// although it has no vote.
func TestObserverServesSubscribers(t *testing.T) {
	is := is.New(t)
	s := start(t, nil)
	ctx := within(t)
	obs := &ControlProc{Dir: t.TempDir()}
	s.Controls = append(s.Controls, obs)
	is.NoErr(s.OpenControl(1))
	is.NoErr(s.Join(ctx, obs, false))
	s.Entries[1].API.Close()
	s.Entries[1].Close()
	s.cfg.TuneEntry = func(e *entry.Config) { e.Control = []string{obs.Addr()} }
	is.NoErr(s.StartEntry(1))
	eventually(t, "ready through the observer", s.Entries[1].Ready)
	body := prompt("classify", 1, 2)
	is.NoErr(whole(body, ask(s.api(1), KeyEast, chat, body), 2))
	r := ask(s.api(1), KeyOffice, "/services/receipts/renewals", `{"o":1}`, entry.HeaderKey, "observer")
	is.Equal(r.outcome, "answered")
	base := s.revision(t, "outage-reports")
	res, err := obs.Propose(ctx, state.Command{Submit: &state.Submit{Request: "through-observer", Base: base, Raw: revised(1)}})
	is.NoErr(err)
	is.Equal(res.Code, state.OK)
	is.True(obs.Status().Role != consensus.Leader)
}
