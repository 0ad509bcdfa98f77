package control

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/rs/zerolog"

	"github.com/cassiapass/cassiapass/internal/core/roster"
	"github.com/cassiapass/cassiapass/internal/core/state"
	"github.com/cassiapass/cassiapass/internal/fake"
)

const (
	hostLink    = 12.5e6 / scale // bytes per second: 100 Mbit/s
	largeText   = 750_000 / scale
	ackLimit    = 5 * time.Second // how long operators wait for a change
	repeatAfter = time.Second     // how long they wait for one host
)

// newSlowGroup starts eight hosts, five of them voters, whose connections share one
// host's link, and waits until the group is complete and its state no longer changes.
func newSlowGroup(t *testing.T) *testGroup {
	t.Helper()
	const hosts = 8
	link := fake.NewLink(hostLink)
	var relays []*fake.Relay
	for range hosts { // before free ports are chosen, or a relay may take one of those
		r, err := fake.NewRelay("")
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(r.Close)
		r.SetLink(link)
		relays = append(relays, r)
	}
	g := unstartedGroup(t, hosts)
	g.logLeadership()
	g.roster = roster.DefaultConfig(2, 0)
	g.listen, g.addrs = g.addrs, nil
	for i, r := range relays {
		r.SetTarget(g.listen[i])
		g.addrs = append(g.addrs, r.Addr())
	}
	g.seeds = g.addrs[:3]
	g.startAll()
	last, since := "", time.Now()
	g.eventually("formed and idle", func() bool {
		sample := fmt.Sprint(g.leaderView(), g.lastIndex())
		if sample != last || !g.complete(8) {
			last, since = sample, time.Now()
		}
		return time.Since(since) > time.Second
	})
	return g
}

// logLeadership prints, if the test fails, why leaders changed: the hosts' own lines, and when
// this process got no processor time.
func (g *testGroup) logLeadership() {
	begin, lines := time.Now(), &leadershipLines{}
	g.log = zerolog.New(lines)
	g.t.Cleanup(func() {
		if g.t.Failed() {
			g.t.Logf("since %s:\n%s", begin.Format(time.StampMilli), lines.String())
		}
	})
	watchProcessorTime(g.t, lines)
}

// watchProcessorTime writes a line to w whenever this process got no processor time for long, until
// the test ends.
func watchProcessorTime(t testing.TB, w io.Writer) {
	stop := make(chan struct{})
	t.Cleanup(func() { close(stop) })
	go func() {
		const nap, starved = 5 * time.Millisecond, 50 * time.Millisecond
		for last := time.Now(); ; last = time.Now() {
			select {
			case <-stop:
				return
			case <-time.After(nap):
			}
			if gap := time.Since(last); gap > starved {
				fmt.Fprintf(w, "no_processor_time for %v\n", gap)
			}
		}
	}()
}

// leadershipLines keeps the log lines that tell why a leader changed, with their time.
type leadershipLines struct {
	mu sync.Mutex
	b  strings.Builder
}

var leadershipEvents = []string{"campaign_begun", "leader_deposed", "leader_known", "control_loop_slow", "messages_waited", "no_processor_time"}

func (l *leadershipLines) Write(line []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if slices.ContainsFunc(leadershipEvents, func(e string) bool { return bytes.Contains(line, []byte(e)) }) {
		l.b.WriteString(time.Now().Format(time.StampMilli) + " ")
		l.b.Write(line)
	}
	return len(line), nil
}

func (l *leadershipLines) String() string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.b.String()
}

// leaderView returns the term of each host and the leader that it knows, -1 if none.
func (g *testGroup) leaderView() string {
	var b strings.Builder
	for _, c := range g.hosts {
		st := c.Status()
		leader := slices.IndexFunc(g.hosts, func(c *Control) bool { return c.ID() == st.Leader })
		fmt.Fprintf(&b, " %d/%d", st.Term, leader)
	}
	return b.String()
}

// lastIndex returns the last index of the longest log.
func (g *testGroup) lastIndex() uint64 {
	var last uint64
	for _, c := range g.hosts {
		last = max(last, c.Status().LastIndex)
	}
	return last
}

// watchLeaders samples leaderView until the returned function is called, which
// returns the changes, one a line.
func (g *testGroup) watchLeaders() func() string {
	begin, previous := time.Now(), g.leaderView()
	stop, done := make(chan struct{}), make(chan string)
	go func() {
		var changes strings.Builder
		for {
			if current := g.leaderView(); current != previous {
				fmt.Fprintf(&changes, "\nafter %.2f s:%s", time.Since(begin).Seconds(), current)
				previous = current
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

// largeDeploy returns a deployment of largeText bytes with n routes, most of it random.
func largeDeploy(t *testing.T, version uint64, n int) state.Deploy {
	t.Helper()
	type route struct{ Name, Host, PathPrefix string }
	rnd := rand.New(rand.NewPCG(version, uint64(n)))
	hex := func(n int) string {
		return string(bytes.Map(func(r rune) rune { return rune("0123456789abcdef"[rnd.IntN(16)]) }, make([]byte, n)))
	}
	const fixed = 92 // bytes of an encoded route without the variable part of its prefix
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

// Guards against a large change that is never acknowledged while leaders change every
// 1.5 s, although no host has failed. Eight hosts share 100 Mbit/s; a deployment of 750 kB is
// put in force, and sent again to the next host after each second without an answer. The
// append to the seven others fills the leader's link for 0.6 s. If heartbeats wait behind it,
// voters campaign, and the next leader starts from the beginning, with one more copy of the
// change in the log for each repeat.
func TestLargeDeploymentsOverSlowLinksKeepTheLeader(t *testing.T) {
	g := newSlowGroup(t)
	changes := g.watchLeaders()
	for v, host := uint64(1), 0; v <= 3 && !t.Failed(); v++ {
		d, acked, begin := largeDeploy(t, v, int(v)*1400/scale), false, time.Now()
		for ; !acked && time.Since(begin) < ackLimit; host++ {
			ctx, cancel := context.WithTimeout(t.Context(), min(repeatAfter, ackLimit-time.Since(begin)))
			res, err := g.hosts[host%len(g.hosts)].Deploy(ctx, "op", d)
			acked = err == nil && res.Code == state.OK
			if !acked {
				<-ctx.Done()
			}
			cancel()
		}
		t.Logf("version %d of %d bytes: %.2f s", v, len(d.Text), time.Since(begin).Seconds())
		if !acked {
			t.Errorf("version %d is not acknowledged within %v", v, ackLimit)
		}
	}
	if c := changes(); c != "" {
		t.Error("terms and leaders that hosts 0 to 7 see changed:" + c)
	}
}

// Guards against one large change that is sent over the links and kept in the log several
// times because operators repeat it at several hosts. One deployment of 750 kB is sent to all
// eight hosts at once. The fault is to append again what is in the log but not committed yet.
func TestRepeatedDeploymentIsDecidedOnce(t *testing.T) {
	g := newSlowGroup(t)
	before := g.lastIndex()
	d := largeDeploy(t, 1, 2800/scale)
	var wg sync.WaitGroup
	for i, c := range g.hosts {
		wg.Go(func() {
			ctx, cancel := context.WithTimeout(t.Context(), ackLimit)
			defer cancel()
			if res, err := c.Deploy(ctx, "op", d); err != nil || res.Code != state.OK {
				t.Errorf("host %d answers %q, %v", i, res.Code, err)
			}
		})
	}
	wg.Wait()
	if grown := g.lastIndex() - before; grown != 1 {
		t.Errorf("the log grew by %d entries", grown)
	}
}
