// Package admission decides at one endpoint which request runs next, which
// waits and which is refused.
//
// The requests of all entries arrive here, so fairness between customers is
// enforced here: interactive requests precede batch requests, and within a class
// customers share the slots in proportion to the capacity they bought (start-time
// fair queueing). The queue is bounded, and a request that cannot start before its
// deadline is refused at once, with an estimate of the time after which to retry.
package admission

import (
	"cmp"
	"container/heap"
	"fmt"
	"time"

	"github.com/cassiapass/cassiapass/internal/core/ident"
	"github.com/cassiapass/cassiapass/internal/core/record"
)

// Request is one attempt that asks to run.
type Request struct {
	Attempt  ident.Attempt
	Replica  ident.Index
	Customer ident.Customer
	Weight   float64 // capacity sold
	Priority record.Priority
	Deadline time.Time // latest start of the first answer
}

// Verdict is the outcome of Offer for a request.
type Verdict string

// The verdicts.
const (
	Run    Verdict = "run"    // starts now
	Wait   Verdict = "wait"   // queued; Next or Expire will return it
	Refuse Verdict = "refuse" // not run
)

// Decision answers Offer.
type Decision struct {
	Verdict    Verdict
	Reason     Reason
	RetryAfter time.Duration
}

// Reason is why a request was refused.
type Reason string

// The reasons.
const (
	QueueFull          Reason = "queue_full"
	CannotMeetDeadline Reason = "deadline_cannot_be_met"
	DeadlinePassed     Reason = "deadline_past"
)

// Config bounds a Queue.
type Config struct {
	Slots       int           // requests that run at once on the endpoint
	MaxQueue    int           // requests that wait
	ServiceTime time.Duration // initial estimate of the service time
}

// Queue is the admission queue of one endpoint. It is not safe for concurrent
// use.
type Queue struct {
	cfg           Config
	running       map[ident.Attempt]running
	waiting       map[ident.Attempt]*waiter
	order         order
	virtualFinish map[ident.Customer]float64 // virtual finish time of each customer's newest request
	virtualTime   float64
	meanService   time.Duration // running mean of service times
	seq           uint64

	accepted, ended uint64 // accounting: accepted = ended + waiting + running
}

type running struct {
	req     Request
	started time.Time
}

type waiter struct {
	req          Request
	virtualStart float64
	class        int
	seq          uint64
	heapIndex    int
}

// New returns an empty Queue.
func New(cfg Config) *Queue {
	return &Queue{cfg: cfg, running: map[ident.Attempt]running{}, waiting: map[ident.Attempt]*waiter{}, virtualFinish: map[ident.Customer]float64{}, meanService: cfg.ServiceTime}
}

// Running returns the number of requests that run.
func (q *Queue) Running() int { return len(q.running) }

// Waiting returns the number of requests that wait.
func (q *Queue) Waiting() int { return len(q.waiting) }

// OfReplica returns how many requests run and wait on one replica.
func (q *Queue) OfReplica(id ident.Index) (running, waiting int) {
	for _, r := range q.running {
		if r.req.Replica == id {
			running++
		}
	}
	for _, w := range q.waiting {
		if w.req.Replica == id {
			waiting++
		}
	}
	return running, waiting
}

// Offer asks for admission.
func (q *Queue) Offer(now time.Time, r Request) Decision {
	if !r.Deadline.After(now) {
		return Decision{Verdict: Refuse, Reason: DeadlinePassed}
	}
	if len(q.running) < q.cfg.Slots && len(q.waiting) == 0 {
		q.accepted++
		q.begin(now, r, q.tag(r))
		return Decision{Verdict: Run}
	}
	wait := q.expectedWait(r)
	if len(q.waiting) >= q.cfg.MaxQueue {
		return Decision{Verdict: Refuse, Reason: QueueFull, RetryAfter: wait}
	}
	// Refusing now lets the caller try elsewhere; waiting for a start that
	// comes too late would only use up its time.
	if now.Add(wait).After(r.Deadline) {
		return Decision{Verdict: Refuse, Reason: CannotMeetDeadline, RetryAfter: wait}
	}
	q.accepted++
	q.enqueue(r)
	q.check()
	return Decision{Verdict: Wait}
}

// tag returns the request's virtual start and advances its customer's virtual
// finish. A customer that was idle starts at the current virtual time: idle time
// earns no credit.
func (q *Queue) tag(r Request) float64 {
	start := max(q.virtualTime, q.virtualFinish[r.Customer])
	q.virtualFinish[r.Customer] = start + 1/max(r.Weight, minWeight)
	return start
}

const minWeight = 0.1 // customers without sold capacity still get a share

func (q *Queue) enqueue(r Request) {
	q.seq++
	w := &waiter{req: r, virtualStart: q.tag(r), seq: q.seq}
	if r.Priority == record.Batch {
		w.class = 1
	}
	q.waiting[r.Attempt] = w
	heap.Push(&q.order, w)
}

func (q *Queue) begin(now time.Time, r Request, start float64) {
	q.virtualTime = max(q.virtualTime, start)
	q.running[r.Attempt] = running{r, now}
}

// expectedWait estimates the time until a new request would start: the number of
// requests before it and itself, times the mean service time, divided by the slots.
func (q *Queue) expectedWait(r Request) time.Duration {
	ahead := 1
	start := max(q.virtualTime, q.virtualFinish[r.Customer])
	for _, w := range q.waiting {
		batchAhead := w.class == 1 && r.Priority != record.Batch
		if !batchAhead && (w.virtualStart <= start || w.class < classOf(r)) {
			ahead++
		}
	}
	return time.Duration(float64(q.meanService) * float64(ahead) / float64(q.cfg.Slots))
}

func classOf(r Request) int {
	if r.Priority == record.Batch {
		return 1
	}
	return 0
}

// Next starts waiting requests while slots are free and returns them.
func (q *Queue) Next(now time.Time) []Request {
	var out []Request
	for len(q.running) < q.cfg.Slots && q.order.Len() > 0 {
		w := heap.Pop(&q.order).(*waiter)
		delete(q.waiting, w.req.Attempt)
		q.begin(now, w.req, w.virtualStart)
		out = append(out, w.req)
	}
	q.check()
	return out
}

// Expire removes and returns the waiting requests whose deadline has passed.
func (q *Queue) Expire(now time.Time) []Request {
	var out []Request
	for _, w := range q.waiting {
		if !w.req.Deadline.After(now) {
			out = append(out, w.req)
		}
	}
	for _, r := range out {
		q.Cancel(r.Attempt)
	}
	return out
}

// Cancel removes a waiting request. It returns false if the request is not waiting.
func (q *Queue) Cancel(a ident.Attempt) bool {
	w, ok := q.waiting[a]
	if !ok {
		return false
	}
	heap.Remove(&q.order, w.heapIndex)
	delete(q.waiting, a)
	q.ended++
	q.check()
	return true
}

// DropReplica removes and returns the requests that wait for a replica which
// accepts no more requests.
func (q *Queue) DropReplica(id ident.Index) []Request {
	var out []Request
	for _, w := range q.waiting {
		if w.req.Replica == id {
			out = append(out, w.req)
		}
	}
	for _, r := range out {
		q.Cancel(r.Attempt)
	}
	return out
}

const serviceWeight = 0.1 // weight of the newest service time in the mean

// Finish ends a running request.
func (q *Queue) Finish(now time.Time, a ident.Attempt) {
	r, ok := q.running[a]
	if !ok {
		return
	}
	delete(q.running, a)
	q.ended++
	took := now.Sub(r.started)
	q.meanService += time.Duration(serviceWeight * float64(took-q.meanService))
	if len(q.running) == 0 && len(q.waiting) == 0 {
		// Nothing competes: virtual times start again at 0, which also keeps the
		// map of customers from growing without bound.
		clear(q.virtualFinish)
		q.virtualTime = 0
	}
	q.check()
}

// check panics if a request was lost between Offer and its end, or if more requests
// run than there are slots.
func (q *Queue) check() {
	if q.accepted != q.ended+uint64(len(q.waiting)+len(q.running)) || len(q.waiting) != q.order.Len() {
		panic(fmt.Sprintf("invariant: admission: in %d, out %d, waiting %d (%d), running %d", q.accepted, q.ended, len(q.waiting), q.order.Len(), len(q.running)))
	}
	if len(q.running) > q.cfg.Slots {
		panic(fmt.Sprintf("invariant: admission: %d run in %d slots", len(q.running), q.cfg.Slots))
	}
}

// order is a heap of waiting requests, by class, virtual start and arrival.
type order []*waiter

func (o order) Len() int { return len(o) }

func (o order) Less(i, j int) bool {
	a, b := o[i], o[j]
	return cmp.Or(cmp.Compare(a.class, b.class), cmp.Compare(a.virtualStart, b.virtualStart), cmp.Compare(a.seq, b.seq)) < 0
}

func (o order) Swap(i, j int) {
	o[i], o[j] = o[j], o[i]
	o[i].heapIndex, o[j].heapIndex = i, j
}

// Push implements heap.Interface.
func (o *order) Push(x any) {
	w := x.(*waiter)
	w.heapIndex = len(*o)
	*o = append(*o, w)
}

// Pop implements heap.Interface.
func (o *order) Pop() any {
	old := *o
	w := old[len(old)-1]
	*o = old[:len(old)-1]
	return w
}
