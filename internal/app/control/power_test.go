package control

import (
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/cassiapass/cassiapass/internal/core/consensus"
	"github.com/cassiapass/cassiapass/internal/core/state"
	"github.com/cassiapass/cassiapass/internal/fake/simdisk"
)

// recoverLimit is the time within which all is served again after a loss of power everywhere.
const recoverLimit = 12 * time.Second

// powerGroup is a group of hosts on simulated disks, and an operator that changes the deployment
// all the time.
type powerGroup struct {
	*testGroup
	r     *rand.Rand
	mu    sync.Mutex // guards hosts
	acked uint64     // newest acknowledged version, guarded by mu
	stop  chan struct{}
	done  chan struct{}
}

func newPowerGroup(t testing.TB, seed uint64, hosts int) *powerGroup {
	t.Helper()
	p := &powerGroup{testGroup: unstartedGroup(t, hosts), r: rand.New(rand.NewPCG(seed, 9))}
	for i := range p.hosts {
		p.simulated = append(p.simulated, simdisk.New(seed*uint64(len(p.hosts))+uint64(i)))
	}
	p.startAll()
	p.eventually("formed", func() bool { return p.complete(hosts) })
	return p
}

// beginChanges begins to change the deployment.
func (p *powerGroup) beginChanges() {
	p.stop, p.done = make(chan struct{}), make(chan struct{})
	go func() {
		defer close(p.done)
		for v := p.acked + 1; ; v++ {
			select {
			case <-p.stop:
				return
			default:
				p.tryDeploy(v)
			}
		}
	}()
}

func (p *powerGroup) endChanges() {
	close(p.stop)
	<-p.done
}

func (p *powerGroup) tryDeploy(version uint64) {
	p.mu.Lock()
	c := p.hosts[int(version)%len(p.hosts)]
	p.mu.Unlock()
	if c == nil {
		time.Sleep(tickInterval)
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	res, err := c.Deploy(ctx, "op", state.Deploy{Version: version, Text: fmt.Sprint("text ", version)})
	if err == nil && res.Code == state.OK {
		p.mu.Lock()
		p.acked = max(p.acked, version)
		p.mu.Unlock()
	}
}

// end ends all processes, some of them in the middle of a write.
func (p *powerGroup) end() {
	for _, d := range p.simulated {
		if p.r.IntN(3) > 0 {
			d.StopAfter(1 + p.r.IntN(4))
		}
	}
	time.Sleep(time.Duration(p.r.IntN(100)) * time.Millisecond)
	p.mu.Lock()
	defer p.mu.Unlock()
	for i := range p.hosts {
		p.kill(i)
		p.simulated[i].Kill()
	}
}

func (p *powerGroup) startEach() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for i := range p.hosts {
		p.start(i, false)
	}
}

// awaitReadBack returns how long it took until a host returned the acknowledged version.
func (p *powerGroup) awaitReadBack(version uint64) time.Duration {
	p.t.Helper()
	for begin := time.Now(); ; time.Sleep(20 * time.Millisecond) {
		for i := range p.hosts {
			if p.version(i) >= version {
				return time.Since(begin)
			}
		}
		if time.Since(begin) > recoverLimit {
			p.t.Fatalf("version %d is not read back within %v%s", version, recoverLimit, p.describe())
		}
	}
}

// Guards against acknowledged changes that are gone after all hosts were killed in the middle of
// writes, some times over, and then lost power, one of them its disk.
func TestKillsOfAllThenPowerLossLoseNoChange(t *testing.T) {
	for seed := range modelSeeds(6) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			t.Parallel()
			p := newPowerGroup(t, seed, 4)
			p.beginChanges()
			for range 3 {
				time.Sleep(time.Duration(200+p.r.IntN(400)) * time.Millisecond)
				p.end()
				p.startEach()
			}
			p.mu.Lock()
			before := p.acked
			p.mu.Unlock()
			p.awaitReadBack(before)
			p.eventually("whole", func() bool { return p.complete(4) })
			time.Sleep(time.Duration(p.r.IntN(300)) * time.Millisecond)
			p.end()
			p.endChanges()
			victim := p.r.IntN(len(p.simulated))
			for i, d := range p.simulated {
				d.LosePower(simdisk.Remains(p.r.IntN(3)))
				if i == victim {
					p.simulated[i] = simdisk.New(seed)
				}
			}
			p.startEach()
			t.Logf("%d versions, back after %v", p.acked, p.awaitReadBack(p.acked))
		})
	}
}

// BenchmarkServeAgain measures the time after all hosts start again at once, having lost power with a
// log of up to 4 MB, the most between two snapshots: until folders are read and sockets are open, until
// a host knows a leader, and until the newest change is read back. With GOMAXPROCS at a third of the
// number of hosts each has about 0.3 of a core.
func BenchmarkServeAgain(b *testing.B) {
	const text = 256 << 10 // bytes of a deployment
	for _, hosts := range []int{4, 9} {
		b.Run(fmt.Sprint(hosts), func(b *testing.B) {
			p := newPowerGroup(b, 1, hosts)
			var started, led, served []time.Duration
			version := uint64(0)
			for b.Loop() {
				for range 1 + p.r.IntN(15) {
					version++
					p.eventually("a change is made", func() bool {
						res, err := p.hosts[0].Deploy(b.Context(), "op", state.Deploy{Version: version, Text: strings.Repeat("x", text)})
						return err == nil && (res.Code == state.OK || p.version(0) >= version)
					})
				}
				p.end()
				for _, d := range p.simulated {
					d.LosePower(simdisk.Remains(p.r.IntN(3)))
				}
				begin := time.Now()
				p.startEach()
				started = append(started, time.Since(begin))
				for !p.anyLeader() {
					time.Sleep(tickInterval / 5)
				}
				led = append(led, time.Since(begin))
				p.awaitReadBack(version)
				served = append(served, time.Since(begin))
			}
			for name, d := range map[string][]time.Duration{"started": started, "leader": led, "served": served} {
				slices.Sort(d)
				b.ReportMetric(d[len(d)/2].Seconds()*1000, name+"-p50-ms")
				b.ReportMetric(d[len(d)*95/100].Seconds()*1000, name+"-p95-ms")
			}
		})
	}
}

func (p *powerGroup) anyLeader() bool {
	return slices.ContainsFunc(p.hosts, func(c *Control) bool { return c.leader() != consensus.None })
}
