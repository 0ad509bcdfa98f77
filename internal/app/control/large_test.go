package control

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/cassiapass/cassiapass/internal/core/roster"
	"github.com/cassiapass/cassiapass/internal/core/state"
	"github.com/cassiapass/cassiapass/internal/fake"
)

const (
	hostLink    = 12.5e6 / scale // bytes per second: 100 Mbit/s
	largeText   = 750_000 / scale
	acknowledge = 5 * time.Second // operators wait no longer for a change
	repeatAfter = time.Second     // nor for one host
)

// newSlowSite starts eight hosts, five of them voters, whose connections share one
// host's link, and waits until the group is whole and nothing moves any more.
func newSlowSite(t *testing.T) *site {
	t.Helper()
	const hosts = 8
	link := fake.NewLink(hostLink)
	var relays []*fake.Relay
	for range hosts { // before ports are looked for that are free, or they may take one of those
		r, err := fake.NewRelay("")
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(r.Close)
		r.SetLink(link)
		relays = append(relays, r)
	}
	s := unstartedSite(t, hosts)
	s.roster = roster.DefaultConfig(2)
	s.listen, s.addrs = s.addrs, nil
	for i, r := range relays {
		r.SetTarget(s.listen[i])
		s.addrs = append(s.addrs, r.Addr())
	}
	s.seeds = s.addrs[:3]
	s.startAll()
	last, since := "", time.Now()
	s.eventually("formed and calm", func() bool {
		now := fmt.Sprint(s.view(), s.lastIndex())
		if now != last || !s.settled(8) {
			last, since = now, time.Now()
		}
		return time.Since(since) > time.Second
	})
	return s
}

// view tells the term of each host and which host leads there, -1 if none.
func (s *site) view() string {
	var b strings.Builder
	for _, c := range s.hosts {
		st := c.Status()
		leader := slices.IndexFunc(s.hosts, func(c *Control) bool { return c.ID() == st.Leader })
		fmt.Fprintf(&b, " %d/%d", st.Term, leader)
	}
	return b.String()
}

// lastIndex returns the end of the longest log.
func (s *site) lastIndex() uint64 {
	var last uint64
	for _, c := range s.hosts {
		last = max(last, c.Status().LastIndex)
	}
	return last
}

// watch samples the view until the function that it returns is called. That one
// returns the changes, one a line.
func (s *site) watch() func() string {
	begin, was := time.Now(), s.view()
	stop, done := make(chan struct{}), make(chan string)
	go func() {
		var changes strings.Builder
		for {
			if is := s.view(); is != was {
				fmt.Fprintf(&changes, "\nafter %.2f s:%s", time.Since(begin).Seconds(), is)
				was = is
			}
			select {
			case <-stop:
				done <- changes.String()
				return
			case <-time.After(10 * time.Millisecond):
			}
		}
	}()
	return func() string {
		close(stop)
		return <-done
	}
}

// largeDeploy is a deployment of largeText bytes with n routes, most of it random.
func largeDeploy(t *testing.T, version uint64, n int) state.Deploy {
	t.Helper()
	type route struct{ Name, Host, PathPrefix string }
	rnd := rand.New(rand.NewPCG(version, uint64(n)))
	hex := func(n int) string {
		return string(bytes.Map(func(r rune) rune { return rune("0123456789abcdef"[rnd.IntN(16)]) }, make([]byte, n)))
	}
	const fixed = 92 // bytes of a route around what fills its prefix
	var routes []route
	for range n {
		routes = append(routes, route{hex(16), hex(32) + ".test", "/" + hex(largeText/n-fixed)})
	}
	text, err := json.Marshal(map[string]any{"Routes": routes})
	if err != nil {
		t.Fatal(err)
	}
	return state.Deploy{Version: version, Text: string(text)}
}

// Symptom: an operator's large change is never acknowledged, leaders change every
// 1.5 s, and no host has failed.
// Sequence: eight hosts at 100 Mbit/s; a deployment of 750 kB is put in force, and
// again at the next host after each second without an answer.
// Cause: the append to the seven others fills the leader's link for 0.6 s and its
// heartbeats wait behind it, so voters campaign. The next leader starts anew, with
// one more copy of the change in the log for each repeat.
func TestLargeDeploymentsOverSlowLinksKeepTheLeader(t *testing.T) {
	s := newSlowSite(t)
	changes := s.watch()
	for v, host := uint64(1), 0; v <= 3 && !t.Failed(); v++ {
		d, acked, begin := largeDeploy(t, v, int(v)*1400/scale), false, time.Now()
		for ; !acked && time.Since(begin) < acknowledge; host++ {
			ctx, cancel := context.WithTimeout(t.Context(), min(repeatAfter, acknowledge-time.Since(begin)))
			res, err := s.hosts[host%len(s.hosts)].Deploy(ctx, "op", d)
			acked = err == nil && res.Code == state.OK
			if !acked {
				<-ctx.Done()
			}
			cancel()
		}
		t.Logf("version %d of %d bytes: %.2f s", v, len(d.Text), time.Since(begin).Seconds())
		if !acked {
			t.Errorf("version %d is not acknowledged within %v", v, acknowledge)
		}
	}
	if c := changes(); c != "" {
		t.Error("terms and leaders that hosts 0 to 7 see changed:" + c)
	}
}

// Symptom: a group whose operators ask at several hosts carries one large change
// several times over its links and keeps it as often in its log.
// Sequence: one deployment of 750 kB is sent at all eight hosts at the same time.
// Cause: a repeat of what is in the log, but not decided yet, is appended once more.
func TestRepeatedDeploymentIsDecidedOnce(t *testing.T) {
	s := newSlowSite(t)
	before := s.lastIndex()
	d := largeDeploy(t, 1, 2800/scale)
	var wg sync.WaitGroup
	for i, c := range s.hosts {
		wg.Go(func() {
			ctx, cancel := context.WithTimeout(t.Context(), acknowledge)
			defer cancel()
			if res, err := c.Deploy(ctx, "op", d); err != nil || res.Code != state.OK {
				t.Errorf("host %d answers %q, %v", i, res.Code, err)
			}
		})
	}
	wg.Wait()
	if grown := s.lastIndex() - before; grown != 1 {
		t.Errorf("the log grew by %d entries", grown)
	}
}
