package replay

import (
	"container/heap"
	"time"
)

// epoch is the start of virtual time. Any fixed time will do.
var epoch = time.Unix(1_000_000_000, 0).UTC()

// clock runs events in the order of virtual time; events at the same time run
// in the order in which they were scheduled.
type clock struct {
	now    time.Time
	events eventHeap
	seq    uint64
}

type event struct {
	at  time.Time
	seq uint64
	run func()
}

// after schedules f to run after d.
func (c *clock) after(d time.Duration, f func()) { c.at(c.now.Add(d), f) }

func (c *clock) at(t time.Time, f func()) {
	c.seq++
	heap.Push(&c.events, event{t, c.seq, f})
}

// run runs every event up to end and sets the time to end.
func (c *clock) run(end time.Time) {
	for len(c.events) > 0 && !c.events[0].at.After(end) {
		e := heap.Pop(&c.events).(event)
		if e.at.After(c.now) {
			c.now = e.at
		}
		e.run()
	}
	c.now = end
}

type eventHeap []event

func (h eventHeap) Len() int { return len(h) }
func (h eventHeap) Less(i, j int) bool {
	if h[i].at.Equal(h[j].at) {
		return h[i].seq < h[j].seq
	}
	return h[i].at.Before(h[j].at)
}
func (h eventHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }

// Push implements heap.Interface.
func (h *eventHeap) Push(x any) { *h = append(*h, x.(event)) }

// Pop implements heap.Interface.
func (h *eventHeap) Pop() any {
	old := *h
	e := old[len(old)-1]
	*h = old[:len(old)-1]
	return e
}

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }
