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

func testContext(t *testing.T) context.Context {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
	t.Cleanup(cancel)
	return ctx
}

// revised returns the Kyushu sample with a rate that depends on n.
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
			if r, ok := c.LocalRecord(name); ok {
				rev = max(rev, r.Revision)
			}
		}
		return rev > 0
	})
	return rev
}

// Requests must neither fail nor run twice when the leader is killed and later restarted
// under a constant load of plain and keyed requests through both entries. Only claims and
// cold starts need the log, and those are retried.
func TestLeaderLossLosesNoRequest(t *testing.T) {
	is := is.New(t)
	s := start(t, func(c *Config) { c.Controls = 3 })
	warm(t, s)
	a := s.agent("receipts-1")
	var stop atomic.Bool
	var wg sync.WaitGroup
	var sent atomic.Int64
	errs := make(chan error, 1000)
	for w := range 6 {
		wg.Go(func() {
			for i := 0; !stop.Load(); i++ {
				n := int(sent.Add(1))
				if w%2 == 0 {
					body := prompt("summary", n, 4)
					if err := checkAnswer(body, send(s.api(i%2), KeyEast, chat, body), 4); err != nil {
						errs <- err
					}
					continue
				}
				r := send(s.api(i%2), KeyOffice, "/services/receipts/renewals", fmt.Sprintf(`{"n":%d}`, n), entry.HeaderKey, fmt.Sprint("n", n))
				refused := r.outcome == "not_run" && r.header.Get("Retry-After") != ""
				if r.outcome != "answered" && !refused {
					errs <- fmt.Errorf("keyed: %d %s %v %s", r.status, r.outcome, r.err, r.body)
				}
			}
		})
	}
	time.Sleep(300 * time.Millisecond)
	var killed int
	for i, c := range s.Controls {
		if c == s.Leader() {
			killed = i
		}
	}
	s.Controls[killed].Kill()
	s.Controls[killed].API.Close()
	s.Controls[killed].Control = nil
	eventually(t, "another leads", func() bool { return s.Leader() != nil })
	time.Sleep(300 * time.Millisecond)
	is.NoErr(s.OpenControl(killed))
	time.Sleep(300 * time.Millisecond)
	stop.Store(true)
	wg.Wait()
	close(errs)
	for err := range errs {
		is.NoErr(err)
	}
	for body, n := range a.Plain.Posted() {
		if n != 1 {
			t.Fatalf("%s was filed %d times", body, n)
		}
	}
}

// Two configurations must never be in force at the same time. The leader is partitioned
// without an error and still considers itself leader; operators submit changes through the
// other hosts, then the partition heals. The leader has to detect the loss of its quorum by
// its own clock.
func TestIsolatedLeaderStepsDownAndNothingReverts(t *testing.T) {
	is := is.New(t)
	s := start(t, func(c *Config) { c.Controls, c.Relayed = 3, true })
	ctx := testContext(t)
	old := s.Leader()
	base := s.revision(t, "outage-reports")
	old.Relay.SetDropAll(true)
	s.silenceOthers(old, true)
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
	old.Relay.SetDropAll(false)
	s.silenceOthers(old, false)
	eventually(t, "the old leader holds the majority's change", func() bool {
		r, _ := old.LocalRecord("outage-reports")
		return r.Revision == res.Revision
	})
	eventually(t, "it is in force everywhere", func() bool { return s.inForceEverywhere(res.Revision) })
}

// silenceOthers silences the open connections to all control hosts but c, those from c included.
func (s *System) silenceOthers(c *ControlProc, on bool) {
	for _, o := range s.Controls {
		if o != c {
			o.Relay.SilenceConns()
			if on {
				continue
			}
		}
	}
}

// A change must not be lost or made twice when operators race and resend. Many operators
// revise one record, based on the same revision, through all hosts; the leader changes, every
// host restarts, and all operators resend. Of the changes based on one revision exactly one may
// be accepted, and the answers must survive the restart.
func TestRacingOperatorsHaveOneWinnerAndResendsGetTheFirstAnswer(t *testing.T) {
	is := is.New(t)
	s := start(t, func(c *Config) { c.Controls, c.Relayed = 3, true })
	ctx := testContext(t)
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
	accepted := 0
	for _, r := range results {
		if r.Code == state.OK {
			accepted++
			continue
		}
		is.Equal(r.Code, state.Conflict)
		is.True(r.Current != nil) // the content in force is shown
	}
	is.Equal(accepted, 1)
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

// Acknowledged changes must survive the loss of two hosts one after the other: a host loses
// its disk, joins as a new member and is promoted; immediately after, another host is lost.
// The new member must hold the log before it counts towards a quorum.
func TestSecondHostLostRightAfterARepair(t *testing.T) {
	is := is.New(t)
	s := start(t, func(c *Config) { c.Controls = 3 })
	ctx := testContext(t)
	base := s.revision(t, "outage-reports")
	res, err := s.Propose(ctx, state.Command{Submit: &state.Submit{Request: "before", Base: base, Raw: revised(1)}})
	is.NoErr(err)
	lost := s.Controls[2]
	lostID := lost.ID()
	lost.Kill()
	lost.API.Close()
	is.NoErr(os.RemoveAll(lost.Dir))
	is.NoErr(s.OpenControl(2))
	is.True(lost.ID() != lostID) // a new identity, because the votes of the old one are lost with its disk
	is.NoErr(s.Join(ctx, lost, true))
	is.NoErr(s.removeMember(ctx, lostID))
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

// A restarted entry must not serve with an old configuration: an entry stops, hundreds of
// changes are committed, and it starts again. The first configuration that it receives may
// be old; only a quorum knows the newest.
func TestRestartedProcessIsReadyOnlyWithTheNewestConfiguration(t *testing.T) {
	is := is.New(t)
	s := start(t, func(c *Config) { c.Controls = 3 })
	ctx := testContext(t)
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

// A customer must not be served under a withdrawn record by an entry that is partitioned
// from control. The entry cannot know of the withdrawal; the agent does, and refuses the
// request.
func TestPartitionedEntryCannotServeUnderAWithdrawnRecord(t *testing.T) {
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
	relay.SetDropAll(true)
	ctx := testContext(t)
	base := s.revision(t, "outage-reports")
	res, err := s.Propose(ctx, state.Command{Withdraw: &state.Withdraw{Request: "w", Name: "outage-reports", Base: base}})
	is.NoErr(err)
	is.Equal(res.Code, state.OK)
	eventually(t, "the agent knows", func() bool { return s.Agents[0].Debug().Index >= res.Revision })
	r := send(s.api(0), KeyEast, chat, prompt("summary", 5, 1))
	is.Equal(r.outcome, "not_run")
	is.True(strings.Contains(r.body, "withdrawn"))
	is.Equal(send(s.api(0), KeyEast, chat, prompt("summary", 6, 1)).status, 401) // the agent's refusal updated the entry
	eventually(t, "the replica is unloaded", func() bool { return len(s.Agents[0].Engine.Facts().Held) == 0 })
}

// A process with another key, or without one, must not read or change messages between the
// processes. An address does not prove an identity.
func TestProcessesWithoutTheKeyAreRefused(t *testing.T) {
	is := is.New(t)
	s := start(t, nil)
	for _, addr := range []string{s.Controls[0].Addr(), s.Agents[0].Addr()} {
		_, err := rpc.Dial(testContext(t), addr, rpc.Security{Key: []byte("another-key-of-some-length")}, &rpc.ByteCounter{}, nil)
		is.True(errors.Is(err, rpc.ErrAuth))
		c, err := rpc.Dial(testContext(t), addr, rpc.Security{}, &rpc.ByteCounter{}, nil)
		is.NoErr(err) // the TCP connection opens, but calls get no answer
		cctx, cancel := context.WithTimeout(testContext(t), testTimeout)
		is.True(c.Call(cctx, wire.MethodPing, nil, nil) != nil)
		cancel()
	}
}

// An observer must serve subscriptions, demands, claims and operators' changes although it
// has no vote.
func TestObserverServesSubscribers(t *testing.T) {
	is := is.New(t)
	s := start(t, nil)
	ctx := testContext(t)
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
	is.NoErr(checkAnswer(body, send(s.api(1), KeyEast, chat, body), 2))
	r := send(s.api(1), KeyOffice, "/services/receipts/renewals", `{"o":1}`, entry.HeaderKey, "observer")
	is.Equal(r.outcome, "answered")
	base := s.revision(t, "outage-reports")
	res, err := obs.Propose(ctx, state.Command{Submit: &state.Submit{Request: "through-observer", Base: base, Raw: revised(1)}})
	is.NoErr(err)
	is.Equal(res.Code, state.OK)
	is.True(obs.Status().Role != consensus.Leader)
}
