package capacity

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"os"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"github.com/cassiapass/cassiapass/internal/adapter/rpc"
	"github.com/cassiapass/cassiapass/internal/app/control"
	"github.com/cassiapass/cassiapass/internal/app/follow"
	"github.com/cassiapass/cassiapass/internal/core/ident"
	"github.com/cassiapass/cassiapass/internal/core/record"
	"github.com/cassiapass/cassiapass/internal/core/state"
	"github.com/cassiapass/cassiapass/internal/core/view"
	"github.com/cassiapass/cassiapass/internal/wire"
)

const (
	clockTicks     = 100 // per second; processor times in /proc/PID/stat are in ticks
	idleWindow     = 8 * time.Second
	changesPerSize = 60
	changePause    = 50 * time.Millisecond
)

// target is the control process to measure, which runs separately.
type target struct {
	addr string // that processes connect to
	url  string // of the operator listener
	pid  int
	key  []byte
}

// usage returns the processor time of the control process and its resident memory
// in bytes.
func (t target) usage() (cpu time.Duration, rss float64, err error) {
	b, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", t.pid))
	if err != nil {
		return 0, 0, err
	}
	f := strings.Fields(string(b[bytes.LastIndexByte(b, ')')+2:]))
	user, _ := strconv.ParseFloat(f[11], 64)
	system, _ := strconv.ParseFloat(f[12], 64)
	pages, _ := strconv.ParseFloat(f[21], 64)
	return time.Duration((user + system) / clockTicks * float64(time.Second)), pages * float64(os.Getpagesize()), nil
}

// subscribers is a set of followers that subscribe to one control process.
type subscribers struct {
	followers []*follow.Follower
	counter   *rpc.ByteCounter
	mu        sync.Mutex
	inForceAt map[ident.Index][]time.Time // by configuration: when it was in force at each subscriber
}

func (t target) subscribe(n int, role wire.Role) *subscribers {
	c := &subscribers{counter: &rpc.ByteCounter{}, inForceAt: map[ident.Index][]time.Time{}}
	for i := range n {
		var f *follow.Follower
		last := ident.Index(0)
		f = follow.New(follow.Config{
			Process: wire.Process{Role: role, Host: ident.HostID(fmt.Sprintf("%s-%d", role, i)), Incarnation: ident.Incarnation(time.Now().UnixNano())},
			Group:   ident.DefaultGroup, Control: []string{t.addr}, Security: rpc.Security{Key: t.key}, Count: c.counter, Log: zerolog.Nop(),
			Changed: func() {
				var cfg ident.Index
				f.Read(func(v *view.View) { cfg = v.Config() })
				if cfg > last {
					last = cfg
					c.recordInForce(cfg)
				}
			},
		})
		f.Start()
		c.followers = append(c.followers, f)
	}
	return c
}

func (c *subscribers) recordInForce(i ident.Index) {
	now := time.Now()
	c.mu.Lock()
	defer c.mu.Unlock()
	c.inForceAt[i] = append(c.inForceAt[i], now)
}

func (c *subscribers) stop() {
	var wg sync.WaitGroup
	for _, f := range c.followers {
		wg.Go(f.Stop)
	}
	wg.Wait()
}

func (c *subscribers) ready(ctx context.Context) error {
	for _, f := range c.followers {
		for !f.Ready() {
			if ctx.Err() != nil {
				return ctx.Err()
			}
			time.Sleep(5 * time.Millisecond)
		}
	}
	return nil
}

// sampleRecord returns a record of ordinary size with the given number of adapters.
// Records with different salts differ in one limit.
func sampleRecord(name string, adapters, salt int) record.Text {
	var as []string
	for i := range adapters {
		as = append(as, fmt.Sprintf(`{"name":"adapter-%05d","version":"1","bytes":200000000}`, i))
	}
	return record.Text(fmt.Sprintf(`{"schemaVersion":2,"service":%q,"place":"p","firstAnswer":"1.9s","replicas":{"min":0,"max":2},
 "customers":[{"name":%q,"keyDigests":["sha256:%064x"],"replicasSold":1,"ratePerSecond":%d}],
 "models":[{"name":%q,"version":"1","bytes":8000000000,"adapters":[%s]}]}`, name, name, []byte(name), 1+salt, "model-"+name, strings.Join(as, ",")))
}

// submit writes a record through the operator listener and returns its revision.
func (t target) submit(raw record.Text, base ident.Index) (ident.Index, error) {
	body, err := json.Marshal(control.Change{Request: fmt.Sprint(time.Now().UnixNano()), Base: base, Record: raw})
	if err != nil {
		return 0, err
	}
	res, err := httpClient.Post(t.url+"/v1/records", "application/json", bytes.NewReader(body))
	if err != nil {
		return 0, err
	}
	defer res.Body.Close()
	var out state.Result
	if err := json.NewDecoder(res.Body).Decode(&out); err != nil {
		return 0, err
	}
	if out.Code != state.OK {
		return 0, fmt.Errorf("submit: %s %s", out.Code, out.Message)
	}
	return out.Revision, nil
}

// measureControl measures the cost of a control process at several numbers of
// subscribers.
func (r *Results) measureControl(ctx context.Context, t target, sizes []int) error {
	var cpu, mem, bytesIdle, perChange, inForce, slowestInForce, node []Point
	base, err := t.submit(sampleRecord("steady", 8, 0), 0)
	if err != nil {
		return err
	}
	for _, n := range sizes {
		c := t.subscribe(n, wire.RoleEntry)
		if err := c.ready(ctx); err != nil {
			return err
		}
		time.Sleep(time.Second)
		b0, c0, begin := c.counter.In.Load()+c.counter.Out.Load(), time.Duration(0), time.Now()
		ownCPU := processCPU()
		if c0, _, err = t.usage(); err != nil {
			return err
		}
		time.Sleep(idleWindow)
		c1, rss, err := t.usage()
		if err != nil {
			return err
		}
		took := time.Since(begin).Seconds()
		idle := (c1 - c0).Seconds() / took
		size := float64(n)
		node = append(node, Point{size, 100 * (processCPU() - ownCPU).Seconds() / took / size})
		cpu = append(cpu, Point{size, 100 * idle})
		mem = append(mem, Point{size, rss / 1e6})
		bytesIdle = append(bytesIdle, Point{size, float64(c.counter.In.Load()+c.counter.Out.Load()-b0) / took / size})
		begin = time.Now()
		sent := map[ident.Index]time.Time{}
		for k := range changesPerSize {
			at := time.Now()
			if base, err = t.submit(sampleRecord("steady", 8, k+1), base); err != nil {
				return err
			}
			sent[base] = at
			time.Sleep(changePause)
		}
		time.Sleep(time.Second)
		c2, _, err := t.usage()
		if err != nil {
			return err
		}
		busy := (c2 - c1).Seconds() - idle*time.Since(begin).Seconds()
		perChange = append(perChange, Point{size, 1e3 * busy / changesPerSize})
		p99, slowest := c.latency(sent, n)
		inForce = append(inForce, Point{size, p99})
		slowestInForce = append(slowestInForce, Point{size, slowest})
		c.stop()
	}
	r.add("control_cpu_idle", "subscribers", "% of a core", cpu)
	r.add("node_cpu_idle", "subscribers", "% of a core each", node)
	r.add("control_memory", "subscribers", "MB", mem)
	r.add("subscriber_bytes", "subscribers", "bytes/s each", bytesIdle)
	r.add("control_cpu_per_change", "subscribers", "ms", perChange)
	r.add("in_force_p99", "subscribers", "ms", inForce)
	r.add("in_force_slowest", "subscribers", "ms", slowestInForce)
	return nil
}

// latency returns the 99th percentile and the largest time from the submission of a
// change until it is in force at a subscriber, in milliseconds. A change that a
// newer one replaces before it arrives counts with the newer one.
func (c *subscribers) latency(sent map[ident.Index]time.Time, n int) (p99, slowest float64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	var all []float64
	for i, at := range sent {
		for _, seen := range c.inForceAt[i] {
			all = append(all, float64(seen.Sub(at).Microseconds())/1e3)
		}
	}
	if len(all) == 0 {
		return 0, 0
	}
	slices.Sort(all)
	return all[len(all)*99/100], all[len(all)-1]
}

// measureCatchUp measures how many bytes a subscriber that missed changes receives
// and how long it takes to be ready.
func (r *Results) measureCatchUp(ctx context.Context, t target, missed []int) error {
	rev, err := t.submit(sampleRecord("catch-up", 8, 0), 0)
	if err != nil {
		return err
	}
	var size, took []Point
	salt := 0
	for _, m := range missed {
		c := t.subscribe(1, wire.RoleEntry)
		if err := c.ready(ctx); err != nil {
			return err
		}
		from := c.followers[0].Index()
		c.stop()
		for range m {
			salt++
			if rev, err = t.submit(sampleRecord("catch-up", 8, salt), rev); err != nil {
				return err
			}
		}
		bytes, ms, err := t.catchUp(ctx, from, rev)
		if err != nil {
			return err
		}
		size = append(size, Point{float64(m), bytes / 1e3})
		took = append(took, Point{float64(m), ms})
	}
	r.add("catch_up_bytes", "missed changes", "KB", size)
	r.add("catch_up_time", "missed changes", "ms", took)
	return nil
}

// catchUp subscribes from index from and waits until all changes up to index to
// have arrived. It returns the bytes received and the time in milliseconds.
func (t target) catchUp(ctx context.Context, from, to ident.Index) (bytes, ms float64, err error) {
	count := &rpc.ByteCounter{}
	done := make(chan struct{})
	var once sync.Once
	begin := time.Now()
	conn, err := rpc.Dial(ctx, t.addr, rpc.Security{Key: t.key}, count, func(_ context.Context, _ *rpc.Conn, method string, raw json.RawMessage) (any, error) {
		var c wire.Changes
		if method == wire.MethodChanges && json.Unmarshal(raw, &c) == nil && c.To >= to && !c.More {
			once.Do(func() { close(done) })
		}
		return nil, nil
	})
	if err != nil {
		return 0, 0, err
	}
	defer conn.Close()
	p := wire.SubscribeParams{Process: wire.Process{Role: wire.RoleEntry, Host: "catch-up"}, From: ident.Position{Group: ident.DefaultGroup, Index: from}}
	if err := conn.Call(ctx, wire.MethodSubscribe, p, nil); err != nil {
		return 0, 0, err
	}
	select {
	case <-done:
	case <-ctx.Done():
		return 0, 0, ctx.Err()
	}
	return float64(count.In.Load()), float64(time.Since(begin).Microseconds()) / 1e3, nil
}
