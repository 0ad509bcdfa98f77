package control

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"time"

	"github.com/cassiapass/cassiapass/internal/core/consensus"
	"github.com/cassiapass/cassiapass/internal/core/state"
	"github.com/cassiapass/cassiapass/internal/port"
)

var errDiskFull = errors.New("the test's disk is full")

// faultyDisk injects faults into the log of one host, across its restarts.
type faultyDisk struct {
	mu           sync.Mutex
	delay        time.Duration // of each write
	stalledUntil time.Time     // writes block until then
	full         bool
}

func (d *faultyDisk) set(f func()) {
	d.mu.Lock()
	defer d.mu.Unlock()
	f()
}

// wait delays as long as a write takes with the present faults.
func (d *faultyDisk) wait() error {
	d.mu.Lock()
	delay, until, full := d.delay, d.stalledUntil, d.full
	d.mu.Unlock()
	time.Sleep(max(delay, time.Until(until)))
	if full {
		return errDiskFull
	}
	return nil
}

func (d *faultyDisk) wrap(next port.Disk) port.Disk { return &wrappedDisk{next, d} }

type wrappedDisk struct {
	port.Disk
	faults *faultyDisk
}

func (w *wrappedDisk) Save(entries []consensus.Entry, hs *consensus.HardState) error {
	if err := w.faults.wait(); err != nil {
		return err
	}
	return w.Disk.Save(entries, hs)
}

func (w *wrappedDisk) SaveSnapshot(s consensus.Snapshot) error {
	if err := w.faults.wait(); err != nil {
		return err
	}
	return w.Disk.SaveSnapshot(s)
}

// injectDiskFault starts a random fault of one host's disk and returns how to end it.
func (g *testGroup) injectDiskFault(r *rand.Rand, i int) (name string, end func()) {
	d := g.disks[i]
	switch r.IntN(3) {
	case 0:
		d.set(func() { d.stalledUntil = time.Now().Add(1200 * time.Millisecond) })
		return "stalls", func() {}
	case 1:
		d.set(func() { d.delay = 60 * time.Millisecond })
		return "is slow", func() { d.set(func() { d.delay = 0 }) }
	}
	d.set(func() { d.full = true })
	return "is full", func() {
		d.set(func() { d.full = false })
		g.kill(i) // as its supervisor does after a failed write
		g.start(i, false)
	}
}

// deployAndCheck puts a version in force through any host that answers, and
// checks that a host does not return an older version than the acknowledged one.
func (g *testGroup) deployAndCheck(r *rand.Rand, version uint64, mu *sync.Mutex) error {
	begin := time.Now()
	for try := 0; ; try++ {
		if time.Since(begin) > waitLimit {
			return fmt.Errorf("version %d was not acknowledged within %v", version, waitLimit)
		}
		mu.Lock()
		c := g.hosts[r.IntN(len(g.hosts))]
		mu.Unlock()
		ctx, cancel := context.WithTimeout(g.t.Context(), time.Second)
		res, err := c.Deploy(ctx, "op", state.Deploy{Version: version, Text: fmt.Sprint("text ", version)})
		cancel()
		if err == nil && res.Code != state.OK {
			return fmt.Errorf("version %d was refused: %v", version, res)
		}
		if err == nil {
			break
		}
	}
	mu.Lock()
	c := g.hosts[r.IntN(len(g.hosts))]
	mu.Unlock()
	ctx, cancel := context.WithTimeout(g.t.Context(), time.Second)
	defer cancel()
	if d, err := c.Deployment(ctx); err == nil && d.Version != version {
		return fmt.Errorf("version %d is acknowledged, but a host returns %d", version, d.Version)
	}
	return nil
}

// Guards against a change that is lost, never acknowledged, or read as older than
// acknowledged. One host's disk after the other stalls for 1.2 s, takes 60 ms a write
// or refuses every write, while an operator makes changes; a host whose write
// failed restarts. The faults are a leader that keeps leading with a stalled disk, a failed
// write that counts as done, and a vote that is not stored.
func TestDiskFaultsLoseNoChange(t *testing.T) {
	for seed := range uint64(3) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			t.Parallel()
			r := rand.New(rand.NewPCG(seed, 3))
			g := newGroup(t, 4)
			g.eventually("formed", func() bool { return g.complete(4) })
			var mu sync.Mutex // guards g.hosts
			stop, done := make(chan struct{}), make(chan error, 1)
			last := uint64(0)
			go func() {
				or := rand.New(rand.NewPCG(seed, 4))
				for {
					select {
					case <-stop:
						done <- nil
						return
					default:
					}
					if err := g.deployAndCheck(or, last+1, &mu); err != nil {
						done <- err
						return
					}
					last++
				}
			}()
			for range 4 {
				i := r.IntN(len(g.hosts))
				name, end := g.injectDiskFault(r, i)
				t.Logf("the disk of host %d %s", i, name)
				time.Sleep(1300 * time.Millisecond)
				mu.Lock()
				end()
				mu.Unlock()
				time.Sleep(700 * time.Millisecond)
			}
			close(stop)
			if err := <-done; err != nil {
				t.Fatal(err, g.describe())
			}
			for i := range g.hosts {
				g.eventually("the last change is read back", func() bool { return g.version(i) == last })
			}
			if last < 10 {
				t.Fatalf("only %d changes were made", last)
			}
			t.Logf("%d changes", last)
		})
	}
}
