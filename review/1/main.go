// Command case1 freezes and kills machines that serve control while an operator changes the
// configuration. What is acknowledged must be read back ever after. The disturbances are signals only.
package main

import (
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"os"
	"slices"
	"strings"
	"syscall"
	"time"

	"github.com/cassiapass/cassiapass/internal/core/state"
	"github.com/cassiapass/cassiapass/review/bed"
)

const (
	machines = 6 // with a disk each, as on the site; five of them vote
	service  = "booking-core"
	hostName = "ficu95.example"

	logBytes   = 4 << 20 // of changes, after which control compacts its log
	largeBytes = 330_000 // one large change as it is in the log
	smallBytes = 10_000  // one small change
	fillBytes  = 100_000 // one of the changes before

	firstFrozenFor = 7 * time.Second // node_freeze; the site's longest is 7.8 s
	herdDown       = 2 * time.Second // herd_kill; the site's for_s
)

type run struct {
	b       *bed.Bed
	version uint64
	// acked is the highest version that was acknowledged.
	acked   uint64
	ackedAt time.Time
	broken  int
	reads   int
}

// config returns the next configuration, of about so many bytes in the log, and its exact number. Names
// of routes are drawn, so that they do not compress to nothing.
func (c *run) config(inLog int) (uint64, []byte, int) {
	c.version += 3
	cfg := bed.Config{Version: c.version, Limits: bed.DefaultLimits(), Services: []bed.Service{{Name: service, HealthPath: "/health", MaxConns: 220, Protocol: "h1"}}}
	for range inLog / 80 {
		cfg.Routes = append(cfg.Routes, bed.Route{Name: "r-" + drawn(), Host: hostName, PathPrefix: "/" + drawn() + "/", RouteType: "non_idempotent", TimeoutMS: 1500, SLOMS: 150, Priority: 2, Service: service, Attempts: 1})
	}
	text := cfg.Encode()
	b, err := json.Marshal(state.Command{By: "127.0.0.1", Time: time.Now(), Deploy: &state.Deploy{Version: c.version, Text: string(text)}})
	if err != nil {
		panic(err)
	}
	return c.version, text, len(b)
}

func drawn() string {
	return fmt.Sprintf("%016x%016x%016x", rand.Uint64(), rand.Uint64(), rand.Uint64())
}

// put sends a configuration to machines in turn until one acknowledges it.
func (c *run) put(version uint64, text []byte, limit time.Duration, to ...*bed.Host) bool {
	begin := time.Now()
	for i := 0; time.Since(begin) < limit; i++ {
		h := to[i%len(to)]
		status, err := h.Put(text, min(3*time.Second, limit-time.Since(begin)))
		if err == nil && status == http.StatusOK {
			c.b.Logf("version %d (%d bytes) is acknowledged by %s after %.3f s", version, len(text), h.Name, time.Since(begin).Seconds())
			if version > c.acked {
				c.acked, c.ackedAt = version, time.Now()
			}
			return true
		}
		time.Sleep(20 * time.Millisecond)
	}
	c.b.Logf("version %d (%d bytes) is not acknowledged within %v", version, len(text), limit)
	return false
}

// read reads the configuration at machines for a time and judges each answer.
func (c *run) read(limit time.Duration, from ...*bed.Host) {
	begin := time.Now()
	last := map[string]string{}
	for i := 0; time.Since(begin) < limit; i++ {
		h := from[i%len(from)]
		sent := time.Now()
		status, body, err := h.Get(time.Second)
		what := fmt.Sprint(status)
		if err != nil {
			what = "no answer"
		}
		if err == nil && status == http.StatusOK {
			var d struct {
				Version uint64 `json:"version"`
			}
			_ = json.Unmarshal(body, &d)
			c.reads++
			what = fmt.Sprintf("version %d", d.Version)
			if d.Version < c.acked && sent.Sub(c.ackedAt) > time.Duration(c.b.Site.ConfigApplyMS)*time.Millisecond {
				c.broken++
				what += fmt.Sprintf("; CONFIG: version %d was acknowledged %.1f s before", c.acked, sent.Sub(c.ackedAt).Seconds())
			}
		}
		if key, _, _ := strings.Cut(what, ";"); last[h.Name] != key {
			last[h.Name] = key
			c.b.Logf("read at %s: %s", h.Name, what)
		}
		time.Sleep(50 * time.Millisecond)
	}
}

// group is what a machine tells operators of the control group. It only serves to choose machines.
type group struct {
	Node    uint64 `json:"node"`
	Leader  uint64 `json:"leader"`
	Members []struct {
		Addr  string `json:"addr"`
		Voter bool   `json:"voter"`
	} `json:"members"`
}

// voters returns which machines vote, as one of them tells it, and whether that one leads.
func (c *run) voters(h *bed.Host) ([]*bed.Host, bool) {
	client := http.Client{Timeout: time.Second}
	resp, err := client.Get("http://" + h.Operators() + "/v1/group")
	if err != nil {
		return nil, false
	}
	defer resp.Body.Close()
	var g group
	body, err := io.ReadAll(resp.Body)
	if err != nil || json.Unmarshal(body, &g) != nil {
		return nil, false
	}
	var out []*bed.Host
	for _, m := range g.Members {
		for _, o := range c.b.Hosts {
			if m.Voter && strings.HasPrefix(m.Addr, o.IP+":") {
				out = append(out, o)
			}
		}
	}
	return out, g.Node == g.Leader
}

// leader returns the machine that leads and the voters as it knows them, once there are n of them.
func (c *run) leader(n int) (*bed.Host, []*bed.Host) {
	for range 200 {
		for _, h := range c.b.Hosts {
			if vs, leads := c.voters(h); leads && len(vs) == n {
				return h, vs
			}
		}
		time.Sleep(100 * time.Millisecond)
	}
	return nil, nil
}

func names(hs []*bed.Host) string {
	var out []string
	for _, h := range hs {
		out = append(out, h.Name)
	}
	slices.Sort(out)
	return strings.Join(out, ", ")
}

func signal(s syscall.Signal, hs ...*bed.Host) {
	for _, h := range hs {
		h.Signal("control", s)
		h.Signal("entry", s)
	}
}

func kill(hs ...*bed.Host) {
	for _, h := range hs {
		h.Signal("control", syscall.SIGKILL)
	}
	for _, h := range hs {
		h.Kill("control")
		h.Kill("entry")
	}
}

func start(hs ...*bed.Host) error {
	for _, h := range hs {
		for _, role := range []string{"control", "entry"} {
			if err := h.Start(role, false); err != nil {
				return err
			}
		}
	}
	return nil
}

// freezes has one machine stand still for seconds, and for a moment within that another one, while
// changes come.
func (c *run) freezes(leader, first, second *bed.Host, trouble bool) {
	c.b.Logf("%s leads; %s stands still for %v", leader.Name, first.Name, firstFrozenFor)
	begin := time.Now()
	if trouble {
		signal(syscall.SIGSTOP, first)
	}
	at := func(d time.Duration) { time.Sleep(time.Until(begin.Add(d))) }
	large, largeText, _ := c.config(largeBytes)
	type change struct {
		version uint64
		text    []byte
	}
	var small []change
	for range 9 {
		v, text, _ := c.config(smallBytes)
		small = append(small, change{v, text})
	}
	at(2720 * time.Millisecond)
	c.b.Logf("%s stands still for 0.95 s", second.Name)
	if trouble {
		signal(syscall.SIGSTOP, second)
	}
	c.put(large, largeText, 3*time.Second, leader)
	for i, s := range small {
		at(2950*time.Millisecond + time.Duration(i)*80*time.Millisecond)
		c.put(s.version, s.text, 3*time.Second, leader)
	}
	at(3670 * time.Millisecond)
	signal(syscall.SIGCONT, second)
	at(firstFrozenFor)
	signal(syscall.SIGCONT, first)
}

func (c *run) play(trouble bool) error {
	time.Sleep(2 * time.Second)
	v, text, filled := c.config(smallBytes)
	if !c.put(v, text, 15*time.Second, c.b.Hosts...) {
		return fmt.Errorf("the first configuration was not acknowledged")
	}
	leader, voters := c.leader(5)
	if leader == nil {
		return fmt.Errorf("the control group isn't complete")
	}
	c.b.Logf("voters: %s", names(voters))
	// Ordinary changes, until the log is about to be compacted: the large change that follows leaves
	// room for a few of the small ones.
	_, _, large := c.config(largeBytes)
	_, _, small := c.config(smallBytes)
	target := logBytes - large - 2*small
	if os.Getenv("FILL") == "0" {
		target = 0 // the same disturbances while the log is not compacted
	}
	for _, inLog := range []int{fillBytes, fillBytes / 2, fillBytes / 4, fillBytes / 8, fillBytes / 16, smallBytes, smallBytes / 2} {
		for {
			v, text, n := c.config(inLog)
			if filled+n > target {
				break
			}
			c.put(v, text, 10*time.Second, leader)
			filled += n
		}
	}
	c.b.Logf("the log holds %d bytes of changes; a large one has %d, a small one %d", filled, large, small)
	time.Sleep(2 * time.Second)

	var others []*bed.Host
	for _, h := range voters {
		if h != leader {
			others = append(others, h)
		}
	}
	first, second := others[0], others[1]
	c.freezes(leader, first, second, trouble)
	c.read(time.Duration(c.b.Site.CatchUpS+1)*time.Second, c.b.Hosts...)

	c.b.Logf("%s is killed and starts again", second.Name)
	if trouble {
		kill(second)
		time.Sleep(300 * time.Millisecond)
		if err := start(second); err != nil {
			return err
		}
	}
	c.read(time.Duration(c.b.Site.CatchUpS+2)*time.Second, c.b.Hosts...)
	_, now := c.leader(5)
	told, _ := c.voters(second)
	c.b.Logf("voters as the leader tells: %s; as %s tells: %s", names(now), second.Name, names(told))

	a := []*bed.Host{first, second, others[2]}
	var rest []*bed.Host
	for _, h := range c.b.Hosts {
		if !slices.Contains(a, h) {
			rest = append(rest, h)
		}
	}
	c.b.Logf("%s are killed together and are down for %v", names(rest), herdDown)
	down := time.Now()
	if trouble {
		kill(rest...)
	}
	v, text, _ = c.config(smallBytes)
	c.put(v, text, herdDown-300*time.Millisecond, a...)
	time.Sleep(time.Until(down.Add(herdDown)))
	c.b.Logf("%s are killed together and are down for %v; the others start again", names(a), herdDown)
	if trouble {
		kill(a...)
		if err := start(rest...); err != nil {
			return err
		}
	}
	down = time.Now()
	c.read(herdDown, rest...)
	time.Sleep(time.Until(down.Add(herdDown)))
	c.b.Logf("%s start again", names(a))
	if trouble {
		if err := start(a...); err != nil {
			return err
		}
	}
	c.read(time.Duration(c.b.Site.RecoverS+3)*time.Second, c.b.Hosts...)
	for _, h := range c.b.Hosts {
		vs, leads := c.voters(h)
		c.b.Logf("at the end %s tells: voters %s, it leads: %v", h.Name, names(vs), leads)
	}
	return nil
}

func runCase(record string) (int, error) {
	b, err := bed.New(machines, 0, record)
	if err != nil {
		return 2, err
	}
	defer b.Stop()
	b.Site = bed.CorribGrown
	b.SetList(func() []bed.Instance { return []bed.Instance{} })
	c := &run{b: b}
	if err := b.Start(); err != nil {
		return 2, err
	}
	if err := c.play(os.Getenv("TROUBLE") != "0"); err != nil {
		return 2, err
	}
	summary := fmt.Sprintf("newest acknowledged version %d; %d reads answered, %d of them with an older version", c.acked, c.reads, c.broken)
	b.Logf("%s", summary)
	fmt.Println(summary)
	if c.broken > 0 {
		return 1, nil
	}
	return 0, nil
}

func main() {
	code, err := runCase(os.Args[1])
	if err != nil {
		fmt.Println(err)
	}
	os.Exit(code)
}
