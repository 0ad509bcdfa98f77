package capacity

import (
	"bufio"
	"context"
	"fmt"
	"net/http"
	"slices"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/rs/zerolog"

	"github.com/cassiapass/cassiapass/internal/adapter/httpclient"
	"github.com/cassiapass/cassiapass/internal/app/agent"
	"github.com/cassiapass/cassiapass/internal/app/dev"
	"github.com/cassiapass/cassiapass/internal/app/entry"
)

// processCPU returns the processor time of this process.
func processCPU() time.Duration {
	var u syscall.Rusage
	if syscall.Getrusage(syscall.RUSAGE_SELF, &u) != nil {
		return 0
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

const (
	streamTokens = 100
	tokenEvery   = 40 * time.Millisecond
	measuredPath = "/v1/chat/completions"
)

// bench is a running system with a warm model.
type bench struct {
	sys    *dev.System
	direct string // address of the engine
	via    string // address of the entry
}

// httpClient sends the requests of all measurements.
var httpClient = &http.Client{Transport: httpclient.NewTransport(&http.Transport{MaxIdleConnsPerHost: 4096})}

func newBench(ctx context.Context, dir string) (*bench, error) {
	cfg := dev.DefaultConfig(dir, zerolog.Nop())
	cfg.Entries = 1
	cfg.FirstToken, cfg.TokenEvery = time.Millisecond, tokenEvery
	cfg.TuneAgent = func(a *agent.Config) { a.Slots, a.MaxQueue = 8192, 8192 }
	cfg.TuneEntry = func(e *entry.Config) { e.RateBurst = time.Hour }
	s, err := dev.Start(ctx, cfg)
	if err != nil {
		return nil, err
	}
	if err := s.SubmitSamples(ctx); err != nil {
		return nil, err
	}
	b := &bench{sys: s, direct: s.Agents[0].ServiceHTTP.Addr(), via: s.Entries[0].API.Addr()}
	return b, b.stream(b.via, "summary", 1)
}

// stream sends one request and reads its streamed answer. It returns an error
// unless the answer has the given number of tokens.
func (b *bench) stream(addr, model string, tokens int) error {
	body := fmt.Sprintf(`{"model":%q,"stream":true,"max_tokens":%d,"messages":[{"role":"user","content":"measure"}]}`, model, tokens)
	req, err := http.NewRequest(http.MethodPost, "http://"+addr+measuredPath, strings.NewReader(body))
	if err != nil {
		return err
	}
	req.Header.Set("Authorization", "Bearer "+dev.KeyEast)
	req.Header.Set("X-Request-Id", fmt.Sprint("direct-", time.Now().UnixNano()))
	res, err := httpClient.Do(req)
	if err != nil {
		return err
	}
	defer res.Body.Close()
	got := 0
	sc := bufio.NewScanner(res.Body)
	for sc.Scan() {
		if strings.HasPrefix(sc.Text(), "data: {") {
			got++
		}
	}
	if got != tokens {
		return fmt.Errorf("%d of %d tokens, status %d", got, tokens, res.StatusCode)
	}
	return sc.Err()
}

// load runs n concurrent streams and returns the processor time that they take, and
// the growth of the heap in bytes halfway through them.
func (b *bench) load(addr, model string, n int) (cpu time.Duration, mem float64, err error) {
	before := heapBytes()
	c0 := processCPU()
	var wg sync.WaitGroup
	errs := make([]error, n)
	for i := range n {
		wg.Go(func() { errs[i] = b.stream(addr, model, streamTokens) })
	}
	time.Sleep(streamTokens * tokenEvery / 2)
	mem = heapBytes() - before
	wg.Wait()
	for _, e := range errs {
		if e != nil {
			return 0, 0, e
		}
	}
	return processCPU() - c0, mem, nil
}

// measureStreams measures the cost that entry and agent together add to streams that
// the engine serves directly: processor time by tokens a second and memory by
// streams.
func (r *Results) measureStreams(ctx context.Context, dir string) error {
	b, err := newBench(ctx, dir)
	if err != nil {
		return err
	}
	defer b.sys.Stop(ctx)
	var cpu, mem []Point
	for _, n := range []int{100, 300, 1000} {
		direct, memDirect, err := b.load(b.direct, "summary@1", n)
		if err != nil {
			return err
		}
		via, memVia, err := b.load(b.via, "summary", n)
		if err != nil {
			return err
		}
		tokens := float64(n * streamTokens)
		cpu = append(cpu, Point{tokens / (streamTokens * tokenEvery.Seconds()), 100 * (via - direct).Seconds() / (streamTokens * tokenEvery.Seconds())})
		mem = append(mem, Point{float64(n), (memVia - memDirect) / 1e6})
	}
	r.add("stream_cpu", "tokens/s", "% of a core, entry and agent", cpu)
	r.add("stream_memory", "streams", "MB, entry and agent", mem)
	return r.measureWarm(b)
}

// measureWarm measures the time that entry and agent add to a warm request.
func (r *Results) measureWarm(b *bench) error {
	const requests = 2000
	one := func(addr, model string) ([]float64, error) {
		var out []float64
		for range requests {
			begin := time.Now()
			if err := b.stream(addr, model, 1); err != nil {
				return nil, err
			}
			out = append(out, float64(time.Since(begin).Microseconds()))
		}
		slices.Sort(out)
		return out, nil
	}
	direct, err := one(b.direct, "summary@1")
	if err != nil {
		return err
	}
	via, err := one(b.via, "summary")
	if err != nil {
		return err
	}
	r.Single["warm_direct_p50_us"], r.Single["warm_direct_p99_us"] = direct[requests/2], direct[requests*99/100]
	r.Single["warm_via_p50_us"], r.Single["warm_via_p99_us"] = via[requests/2], via[requests*99/100]
	return nil
}
