package capacity

import (
	"context"
	"fmt"
	"os"
	"path/filepath"
	"runtime"
	"slices"
	"sync"
	"time"

	"github.com/cassiapass/cassiapass/internal/core/ident"
	"github.com/cassiapass/cassiapass/internal/core/placement"
	"github.com/cassiapass/cassiapass/internal/core/state"
	"github.com/cassiapass/cassiapass/internal/core/view"
)

// heapBytes returns the bytes in use on the heap after a garbage collection.
func heapBytes() float64 {
	runtime.GC()
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return float64(m.HeapAlloc)
}

// measureMemory measures the memory of a process's view by the number of adapters
// and that of the state by the numbers of records and claims.
func (r *Results) measureMemory() error {
	var views, states, claims []Point
	for _, n := range []int{100, 1000, 4000, 8300} {
		before := heapBytes()
		v := view.New()
		rec := state.Record{Name: "a", Revision: 1, Raw: sampleRecord("a", n, 0)}
		if _, err := v.Reset(1, []state.Change{{Index: 1, Record: &rec}}); err != nil {
			return err
		}
		views = append(views, Point{float64(n), (heapBytes() - before) / 1e6})
		runtime.KeepAlive(v)
	}
	r.add("view_memory", "adapters", "MB", views)
	for _, n := range []int{500, 1000, 2000} {
		before := heapBytes()
		st := state.New()
		for i := range n {
			st.Apply(ident.Index(i+1), state.Command{Time: time.Now(), Submit: &state.Submit{Request: fmt.Sprint(i), Raw: sampleRecord(fmt.Sprint("r", i), 8, 0)}})
		}
		states = append(states, Point{float64(n), (heapBytes() - before) / 1e6})
		runtime.KeepAlive(st)
	}
	r.add("state_memory_records", "records", "MB", states)
	for _, n := range []int{10000, 50000, 100000} {
		before := heapBytes()
		st := state.New()
		for i := range n {
			key := state.ClaimKey{Customer: "c", Service: "s", Key: fmt.Sprint("key-", i)}
			st.Apply(ident.Index(2*i+1), state.Command{Time: time.Now(), Open: &state.OpenClaim{Key: key, Digest: fmt.Sprintf("%064d", i), Request: ident.RequestID(fmt.Sprint("request-", i)), Within: time.Minute}})
			st.Apply(ident.Index(2*i+2), state.Command{Time: time.Now(), Settle: &state.SettleClaim{Key: key, Request: ident.RequestID(fmt.Sprint("request-", i)), Answer: &state.Answer{Status: 201, ContentType: "application/json", Body: make([]byte, 200)}}})
		}
		claims = append(claims, Point{float64(n), (heapBytes() - before) / 1e6})
		runtime.KeepAlive(st)
	}
	r.add("state_memory_claims", "claims", "MB", claims)
	return nil
}

// bigState returns a state with endpoints and a base model loaded on two of them,
// and the targets of its adapters.
func bigState(endpoints, adapters int) (*state.State, []ident.Target) {
	st := state.New()
	i := ident.Index(0)
	apply := func(c state.Command) state.Result {
		i++
		c.Time = time.Unix(1_000_000, 0)
		res, _ := st.Apply(i, c)
		return res
	}
	apply(state.Command{Submit: &state.Submit{Request: "r", Raw: sampleRecord("a", adapters, 0)}})
	for k := range endpoints {
		e := state.Endpoint{Host: ident.HostID(fmt.Sprintf("host-%04d", k)), Incarnation: 1, Zone: ident.Zone(fmt.Sprint("zone-", k%11)), Place: "p", Memory: 640e9, Slots: 16, Up: true}
		apply(state.Command{Endpoint: &state.EndpointUpdate{Endpoint: e}})
	}
	base := ident.Target{Model: "model-a", Version: "1"}
	for k := range 2 {
		res := apply(state.Command{Grant: &state.Grant{Target: base, Host: ident.HostID(fmt.Sprintf("host-%04d", k))}})
		apply(state.Command{Replica: &state.ReplicaUpdate{ID: res.Revision, Phase: state.Ready}})
	}
	var ts []ident.Target
	for k := range adapters {
		t := base
		t.Adapter, t.AdapterVersion = fmt.Sprintf("adapter-%05d", k), "1"
		ts = append(ts, t)
	}
	return st, ts
}

// measureDecisions measures the planner's time for one demand with its
// decision, and for one pass over all loaded adapters.
func (r *Results) measureDecisions() {
	decide := func(endpoints, adapters int) float64 {
		st, ts := bigState(endpoints, adapters)
		now := time.Unix(2_000_000, 0)
		cfg := placement.DefaultConfig()
		cfg.StoreRate, cfg.StoreConcurrent = 1e6, 1000
		p := placement.New(cfg, now)
		p.Plan(now, st)
		const demands = 200
		begin := time.Now()
		for k := range demands {
			p.Demand(now, st, placement.Demand{Entry: "e", Customer: "c", Target: ts[k%len(ts)], Waiting: 1, Deadline: now.Add(time.Minute)})
			for _, c := range p.Plan(now, st) {
				if c.Grant != nil {
					c.Time = now
					res, _ := st.Apply(st.Index()+1, c)
					p.Applied(c, res)
				}
			}
		}
		return float64(time.Since(begin).Microseconds()) / demands
	}
	sweep := func(adapters int) float64 {
		st, ts := bigState(16, adapters)
		now := time.Unix(2_000_000, 0)
		for k, t := range ts {
			c := state.Command{Time: now, Grant: &state.Grant{Target: t, Host: ident.HostID(fmt.Sprintf("host-%04d", k%2))}}
			st.Apply(st.Index()+1, c)
		}
		cfg := placement.DefaultConfig()
		cfg.KeepAlive.Min = time.Hour
		p := placement.New(cfg, now)
		const passes = 5
		begin := time.Now()
		for k := range passes {
			p.Plan(now.Add(time.Duration(k+1)*time.Second), st)
		}
		return float64(time.Since(begin).Microseconds()) / passes / 1e3
	}
	var byEndpoint, byAdapter, sweeps []Point
	for _, n := range []int{16, 128, 512, 1100} {
		byEndpoint = append(byEndpoint, Point{float64(n), decide(n, 500)})
	}
	for _, n := range []int{100, 1000, 4000, 8300} {
		byAdapter = append(byAdapter, Point{float64(n), decide(16, n)})
		sweeps = append(sweeps, Point{float64(n), sweep(n)})
	}
	r.add("decision_by_endpoints", "endpoints", "us", byEndpoint)
	r.add("decision_by_adapters", "adapters", "us", byAdapter)
	r.add("sweep_by_adapters", "adapters loaded", "ms", sweeps)
}

// measureCommits measures committed commands per second, and the time of a synced
// write to the same disk for comparison.
func (r *Results) measureCommits(ctx context.Context, propose func(context.Context, state.Command) error, dir string) error {
	syncTime, err := rawSync(dir)
	if err != nil {
		return err
	}
	r.Single["raw_sync_us"] = syncTime
	var rate, p99 []Point
	for _, callers := range []int{1, 16, 64, 256} {
		perSecond, latency, err := commitRun(ctx, propose, callers)
		if err != nil {
			return err
		}
		rate = append(rate, Point{float64(callers), perSecond})
		p99 = append(p99, Point{float64(callers), latency})
	}
	r.add("commits_per_second", "callers", "commits/s", rate)
	r.add("commit_p99", "callers", "ms", p99)
	return nil
}

func rawSync(dir string) (float64, error) {
	f, err := os.Create(filepath.Join(dir, "raw"))
	if err != nil {
		return 0, err
	}
	defer f.Close()
	const writes = 300
	buf := make([]byte, 4096)
	begin := time.Now()
	for range writes {
		if _, err := f.Write(buf); err != nil {
			return 0, err
		}
		if err := f.Sync(); err != nil {
			return 0, err
		}
	}
	return float64(time.Since(begin).Microseconds()) / writes, nil
}

const commitTime = 2 * time.Second

func commitRun(ctx context.Context, propose func(context.Context, state.Command) error, callers int) (perSecond, p99 float64, err error) {
	var mu sync.Mutex
	var all []float64
	var first error
	var wg sync.WaitGroup
	end := time.Now().Add(commitTime)
	for c := range callers {
		wg.Go(func() {
			for i := 0; time.Now().Before(end); i++ {
				begin := time.Now()
				key := state.ClaimKey{Customer: "c", Service: "s", Key: fmt.Sprintf("%d-%d-%d", callers, c, i)}
				e := propose(ctx, state.Command{Open: &state.OpenClaim{Key: key, Digest: "d", Request: "r", Within: time.Minute}})
				mu.Lock()
				if e != nil && first == nil {
					first = e
				}
				all = append(all, float64(time.Since(begin).Microseconds())/1e3)
				mu.Unlock()
			}
		})
	}
	wg.Wait()
	slices.Sort(all)
	return float64(len(all)) / commitTime.Seconds(), all[len(all)*99/100], first
}
