package disklog

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"os"
	"reflect"
	"strconv"
	"testing"

	"github.com/cassiapass/cassiapass/internal/core/consensus"
	"github.com/cassiapass/cassiapass/internal/fake/simdisk"
)

// contents is what a folder holds.
type contents struct {
	snap    consensus.Snapshot
	hs      consensus.HardState
	entries []consensus.Entry
}

func (c contents) last() uint64 { return c.snap.Index + uint64(len(c.entries)) }

func (c contents) lastTerm() uint64 {
	if len(c.entries) == 0 {
		return c.snap.Term
	}
	return c.entries[len(c.entries)-1].Term
}

func (c contents) equal(o contents) bool {
	return reflect.DeepEqual(c.snap, o.snap) && c.hs == o.hs && len(c.entries) == len(o.entries) &&
		(len(c.entries) == 0 || reflect.DeepEqual(c.entries, o.entries))
}

// history applies operations to a folder and to a model of it, and checks that each recovery
// returns what the last completed operation left or what the interrupted one would have.
type history struct {
	disk   *simdisk.Disk
	folder Folder
	log    *Log
	rand   *rand.Rand
	done   contents  // promised
	next   *contents // of the operation that was interrupted
	steps  []string
}

func newHistory(seed uint64) (*history, error) {
	d := simdisk.New(seed)
	h := &history{disk: d, folder: Folder{Dir: "data", FS: d, segmentBytes: 3000}, rand: rand.New(rand.NewPCG(seed, 2))}
	return h, h.open()
}

func (h *history) failed(format string, args ...any) error {
	return fmt.Errorf("%s; after %v; files %v", fmt.Sprintf(format, args...), h.steps, h.disk.Names())
}

// open opens the folder. A process that ends meanwhile is no failure.
func (h *history) open() error {
	l, res, err := h.folder.Open(identity)
	if errors.Is(err, simdisk.ErrStopped) || errors.Is(err, simdisk.ErrIO) {
		return nil
	}
	if err != nil {
		return h.failed("recovery: %v", err)
	}
	got := contents{snap: res.Snapshot, hs: res.HardState, entries: res.Entries}
	switch {
	case got.equal(h.done):
	case h.next != nil && got.equal(*h.next):
		h.done = *h.next
	default:
		return h.failed("recovered snapshot %d, entries to %d, %+v; synced %d, %d, %+v", got.snap.Index, got.last(), got.hs, h.done.snap.Index, h.done.last(), h.done.hs)
	}
	h.next, h.log = nil, l
	return nil
}

// apply runs one operation whose completion leads to next.
func (h *history) apply(name string, next contents, f func() error) {
	h.steps = append(h.steps, name)
	h.next = &next
	if err := f(); err != nil {
		h.steps = append(h.steps, "stopped")
		h.log = nil
		return
	}
	h.done, h.next = next, nil
}

// save appends n entries of the given size after index from, and the hard state if hs is set.
func (h *history) save(from uint64, n, size int, term uint64, hs bool) {
	next := h.done
	next.entries = next.entries[: from-next.snap.Index : from-next.snap.Index]
	var saved []consensus.Entry
	for i := range n {
		var data []byte
		if size > 0 {
			data = make([]byte, size)
		}
		for j := range data {
			data[j] = byte(h.rand.Uint32())
		}
		if size > len(magicBytes) {
			copy(data[size/2:], magicBytes)
		}
		saved = append(saved, consensus.Entry{Term: term, Index: from + 1 + uint64(i), Data: data})
	}
	if n == 0 {
		next.entries = h.done.entries
	}
	next.entries = append(next.entries, saved...)
	var state *consensus.HardState
	if hs {
		next.hs.Term, next.hs.Vote = max(term, next.hs.Term), consensus.NodeID(h.rand.Uint64()|1)
		state = &next.hs
	}
	h.apply(fmt.Sprintf("save(%d,%d,%v)", from, n, hs), next, func() error { return h.log.Save(saved, state) })
}

// compact saves a snapshot of the log up to index.
func (h *history) compact(index uint64) {
	next := h.done
	if index <= next.snap.Index {
		return
	}
	e := next.entries[index-next.snap.Index-1]
	next.entries = next.entries[index-next.snap.Index:]
	next.snap = consensus.Snapshot{Index: index, Term: e.Term, Data: []byte("state")}
	h.apply(fmt.Sprintf("compact(%d)", index), next, func() error { return h.log.SaveSnapshot(next.snap) })
}

// install saves a snapshot received from a leader of a newer term, which replaces the log.
func (h *history) install(index uint64) {
	next := h.done
	next.entries = nil
	next.snap = consensus.Snapshot{Index: index, Term: h.done.lastTerm() + 1, Data: []byte("received")}
	h.apply(fmt.Sprintf("install(%d)", index), next, func() error { return h.log.SaveSnapshot(next.snap) })
}

// restart ends the process in one of several ways and opens the folder again. The process that
// opens it ends at operation stopAt of the disk, 0 for never.
func (h *history) restart(how, stopAt int) error {
	h.steps = append(h.steps[:len(h.steps):len(h.steps)], fmt.Sprintf("%s, stop at %d", endings[how], stopAt))
	if how == 0 {
		h.disk.Kill()
	} else {
		h.disk.LosePower(simdisk.Remains(how - 1))
	}
	if stopAt > 0 {
		h.disk.StopAfter(stopAt)
	}
	h.log = nil
	return h.open()
}

// endings are the ways in which a process ends, for messages.
var endings = []string{"kill", "power lost at random", "power lost, nothing else kept", "power lost, all kept"}

// step runs one random operation.
func (h *history) step() {
	r := h.rand
	last, snap := h.done.last(), h.done.snap.Index
	sizes := []int{0, 10, 100, 700}
	size := sizes[r.IntN(len(sizes))]
	switch r.IntN(9) {
	case 0, 1, 2:
		h.save(last, 1+r.IntN(3), size, h.done.lastTerm()+1, r.IntN(2) == 0)
	case 3, 4:
		h.save(last, 1, size, max(1, h.done.lastTerm()), false)
	case 5:
		h.save(last, 0, 0, h.done.lastTerm()+1, true)
	case 6: // a new leader overwrites the tail
		h.save(snap+r.Uint64N(last-snap+1), 1+r.IntN(2), size, h.done.lastTerm()+1, false)
	case 7:
		h.compact(snap + r.Uint64N(last-snap+1))
	case 8:
		if r.IntN(3) == 0 {
			h.install(snap + 1 + r.Uint64N(last-snap+5))
		}
	}
}

// run plays a random history of n operations with kills, losses of power, also during recovery,
// and failing disks.
func (h *history) run(n int) error {
	for range n {
		if h.rand.IntN(3) == 0 {
			h.disk.StopAfter(1 + h.rand.IntN(12))
		}
		if h.rand.IntN(20) == 0 {
			h.disk.SetFailing(true)
		}
		if h.log != nil {
			h.step()
		}
		h.disk.SetFailing(false)
		for h.log == nil || h.rand.IntN(10) == 0 {
			stopAt := 0
			if h.rand.IntN(4) == 0 {
				stopAt = 1 + h.rand.IntN(8)
			}
			if err := h.restart(h.rand.IntN(4), stopAt); err != nil {
				return err
			}
		}
	}
	return nil
}

// envNumber returns the number in an environment variable, or the usual one if it is not set.
func envNumber(name string, usual uint64) uint64 {
	n, err := strconv.ParseUint(os.Getenv(name), 10, 32)
	if err != nil {
		return usual
	}
	return n
}

func TestRecoveryOfRandomHistories(t *testing.T) {
	for seed := range envNumber("CASSIAPASS_SEEDS", 300) {
		h, err := newHistory(seed)
		if err == nil {
			err = h.run(60)
		}
		if err != nil {
			t.Fatalf("seed %d: %v", seed, err)
		}
	}
}

// shortOps are the operations of which short histories are made.
var shortOps = []func(h *history){
	func(h *history) { h.save(h.done.last(), 1, 20, max(1, h.done.lastTerm()), false) },
	func(h *history) { h.save(h.done.last(), 3, 900, h.done.lastTerm()+1, true) }, // rotates
	func(h *history) { h.save(h.done.last(), 0, 0, h.done.lastTerm()+1, true) },
	func(h *history) { h.save(h.done.snap.Index, 1, 20, h.done.lastTerm()+1, false) },
	func(h *history) { h.compact(h.done.last()) },
	func(h *history) { _ = h.log.Close(); h.log = nil },
}

// playShort plays the short history with a number whose digits select operations. The process ends
// at operation stopAt of the disk, 0 for never. It returns the disk's number of operations.
func playShort(number, length, stopAt int) (*history, int, error) {
	h, err := newHistory(uint64(number))
	if err != nil {
		return h, 0, err
	}
	begin := h.disk.Ops()
	if stopAt > 0 {
		h.disk.StopAfter(stopAt)
	}
	for range length {
		if h.log == nil {
			h.steps = append(h.steps, "open")
			if err := h.open(); err != nil || h.log == nil {
				return h, h.disk.Ops() - begin, err
			}
		}
		op := number % len(shortOps)
		number /= len(shortOps)
		shortOps[op](h)
		if h.log == nil && h.next != nil {
			break
		}
	}
	return h, h.disk.Ops() - begin, nil
}

// checkRemains checks a recovery from each choice of what a stopped process or a loss of power
// leaves, and from a second loss of power at each operation of the first recovery.
func checkRemains(h *history) error {
	const choices = 5 // a kill, all, nothing, two random losses
	for choice := range choices {
		for again := range 8 {
			c := *h
			c.disk = h.disk.Clone(uint64(choice*choices + again))
			c.folder.FS = c.disk
			if err := c.restart(min(choice, 3), again); err != nil {
				return err
			}
			if err := c.restart(1+again%3, 0); err != nil {
				return err
			}
			if c.log == nil {
				return c.failed("the folder was not opened")
			}
		}
	}
	return nil
}

func TestRecoveryAtEveryCrashPointOfShortHistories(t *testing.T) {
	length := int(envNumber("CASSIAPASS_LENGTH", 3))
	histories := 1
	for range length {
		histories *= len(shortOps)
	}
	points := 0
	for number := range histories {
		_, ops, err := playShort(number, length, 0)
		if err != nil {
			t.Fatal(err)
		}
		for stopAt := 1; stopAt <= ops+1; stopAt++ {
			h, _, err := playShort(number, length, stopAt)
			if err == nil {
				err = checkRemains(h)
			}
			if err != nil {
				t.Fatalf("history %d, stopped at %d: %v", number, stopAt, err)
			}
			points++
		}
	}
	t.Logf("%d histories, %d crash points", histories, points)
}
