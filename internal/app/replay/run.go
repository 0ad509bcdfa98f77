package replay

import (
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/cassiapass/cassiapass/internal/core/ident"
	"github.com/cassiapass/cassiapass/internal/core/placement"
	"github.com/cassiapass/cassiapass/internal/core/record"
	"github.com/cassiapass/cassiapass/internal/core/routing"
	"github.com/cassiapass/cassiapass/internal/core/state"
)

// Delays of messages and steps, and intervals of periodic work.
const (
	commitDelay    = 10 * time.Millisecond // from a proposal to its application
	messageDelay   = 2 * time.Millisecond
	unloadDuration = 200 * time.Millisecond
	planInterval   = 50 * time.Millisecond
	demandInterval = 250 * time.Millisecond
	sampleInterval = time.Second
	leaseDuration  = 5 * time.Second
	removeAfter    = 30 * time.Second
	noMemoryWait   = 2 * time.Second
)

// Options are the settings of a run.
type Options struct {
	Placement placement.Config
	// Check verifies the state after every command. It is slow and meant for
	// searches over many seeds.
	Check bool
}

// runner is the state of one replay.
type runner struct {
	clock
	trace         *Trace
	opts          Options
	st            *state.State
	index         ident.Index
	planner       *placement.Planner // nil while there is no leader
	noLeaderUntil time.Time
	store         *store
	hosts         map[ident.HostID]*host
	hostList      []*host
	waiting       map[ident.Target][]*request
	records       map[ident.Customer]record.Customer
	table         *routing.Table
	rep           *Report
	active        int // number of requests that have not ended
	planScheduled bool
	plannerTime   time.Duration
	plannerEvents int
}

// request is one request of the trace.
type request struct {
	line          Line
	id            ident.RequestID
	arrived       time.Time
	customer      record.Customer
	cold          bool
	noMemorySince time.Time
	attempt       uint32
}

// Run replays a trace and returns the report. Violated invariants, which panic,
// are returned as errors.
func Run(t *Trace, opts Options) (rep *Report, err error) {
	defer func() {
		if p := recover(); p != nil {
			err = fmt.Errorf("at %v: %v", rep, p)
			rep = nil
		}
	}()
	r := newRunner(t, opts)
	end := epoch
	for _, l := range t.Lines {
		at := epoch.Add(seconds(l.At))
		r.at(at, func() { r.playLine(l) })
		end = at
	}
	r.sample()
	r.run(end.Add(tail(t)))
	r.finish()
	return r.rep, nil
}

const (
	tailMargin = 90 * time.Second
	maxTail    = time.Hour
)

// tail returns how long a replay continues after the last line, so that every
// request can end.
func tail(t *Trace) time.Duration {
	maxDeadline := 0.0
	for _, l := range t.Lines {
		maxDeadline = max(maxDeadline, l.Deadline)
	}
	return min(seconds(maxDeadline)+tailMargin, maxTail)
}

func newRunner(t *Trace, opts Options) *runner {
	w := t.World
	cfg := opts.Placement
	cfg.StoreRate, cfg.StoreConcurrent = w.StoreRate, w.StoreConcurrent
	cfg.RemoteSpeed, cfg.DiskSpeed, cfg.MemorySpeed = w.StoreSpeed, w.DiskSpeed, w.MemorySpeed
	opts.Placement = cfg
	r := &runner{trace: t, opts: opts, st: state.New(), hosts: map[ident.HostID]*host{}, waiting: map[ident.Target][]*request{}, records: map[ident.Customer]record.Customer{}}
	r.now = epoch
	r.rep = newReport(w.Name, string(cfg.Policy))
	r.store = &store{clock: &r.clock, speed: w.StoreSpeed, concurrent: w.StoreConcurrent, last: epoch}
	r.table = routing.New(routing.DefaultConfig("", rand.New(rand.NewPCG(3, 3)).IntN))
	r.planner = placement.New(cfg, r.now)
	for i, raw := range w.Records {
		r.apply(state.Command{Submit: &state.Submit{Request: fmt.Sprint("record-", i), Raw: record.Text(raw)}})
		svc, err := record.Parse(record.Text(raw))
		if err != nil {
			panic(err)
		}
		for _, c := range svc.Customers {
			r.records[c.Name] = c
		}
	}
	for _, wh := range w.Endpoints {
		h := &host{r: r, spec: wh, disk: map[ident.Target]bool{}}
		for _, d := range wh.Disk {
			h.disk[d] = true
		}
		r.hosts[wh.Host] = h
		r.hostList = append(r.hostList, h)
		h.start()
	}
	return r
}

// apply applies a command to the state now.
func (r *runner) apply(c state.Command) state.Result {
	r.index++
	c.Time = r.now
	res, changes := r.st.Apply(r.index, c)
	if r.planner != nil {
		r.planner.Applied(c, res)
	}
	if r.opts.Check {
		r.st.Check()
	}
	r.rep.recordReplicas(r.st, changes)
	for _, ch := range changes {
		r.after(messageDelay, func() { r.deliver(ch) })
	}
	return res
}

// commit applies a command after the commit delay. While there is no leader a
// command is lost, unless repeat is set: agents send theirs again to the next
// leader.
func (r *runner) commit(c state.Command, repeat bool) {
	r.after(commitDelay, func() {
		if r.now.Before(r.noLeaderUntil) {
			if repeat {
				r.at(r.noLeaderUntil, func() { r.commit(c, true) })
			}
			return
		}
		r.apply(c)
	})
}

// deliver delivers a change to the agents and entries that it concerns.
func (r *runner) deliver(c state.Change) {
	switch {
	case c.Replica != nil:
		if h := r.hosts[c.Replica.Host]; h.up {
			h.applyGrant(*c.Replica)
		}
		if c.Replica.Phase == state.Ready {
			r.dispatchWaiting(c.Replica.Target)
		}
	case c.Removed != 0:
		if h := r.hosts[c.Host]; h.up {
			h.removeReplica(c.Removed)
		}
	}
}

// playLine applies one line of the trace.
func (r *runner) playLine(l Line) {
	switch l.Kind {
	case KindRequest:
		r.active++
		r.rep.Requests++
		q := &request{line: l, id: ident.RequestID(fmt.Sprint("r", r.rep.Requests)), arrived: r.now, customer: r.records[l.Customer]}
		r.dispatch(q)
	case KindDeath:
		h := r.hosts[l.Endpoint]
		h.crash()
		r.after(seconds(l.Seconds), h.start)
	case KindReclaim:
		h := r.hosts[l.Endpoint]
		h.leaving = true
		r.commit(h.registration("listed as leaving"), true)
		r.after(seconds(l.Seconds), h.crash)
	case KindStoreSlow:
		r.store.setSlowdown(l.Factor)
		r.after(seconds(l.Seconds), func() { r.store.setSlowdown(1) })
	case KindLeaderLost:
		r.planner = nil
		r.noLeaderUntil = r.now.Add(seconds(l.Seconds))
		r.at(r.noLeaderUntil, func() {
			r.planner = placement.New(r.opts.Placement, r.now)
			for _, h := range r.hostList {
				h.fullReport = true
			}
			r.keepPlanning()
		})
	}
}

// dispatch sends a request to a ready replica, or queues it until there is one.
func (r *runner) dispatch(q *request) {
	var cands []routing.Candidate
	for _, rep := range r.st.ReplicasOf(q.line.Target) {
		h := r.hosts[rep.Host]
		if rep.Phase != state.Ready || !h.up || h.leaving || !h.serves(q.line.Target) {
			continue
		}
		r.table.Report(r.now, rep.Host, routing.Load{Running: h.queue.Running(), Waiting: h.queue.Waiting(), Slots: h.spec.Slots})
		cands = append(cands, routing.Candidate{Host: rep.Host, Zone: h.spec.Zone, Replica: rep.ID, Slots: h.spec.Slots})
	}
	if c, ok := r.table.Pick(r.now, cands, 0, nil); ok {
		if r.hosts[c.Host].offer(q, c.Replica) {
			return
		}
	}
	r.enqueue(q)
}

// enqueue queues a request until a replica is ready.
func (r *runner) enqueue(q *request) {
	q.cold = true
	t := q.line.Target
	first := len(r.waiting[t]) == 0
	r.waiting[t] = append(r.waiting[t], q)
	r.at(q.deadline(), func() { r.refuseWaiting(q, "deadline_past") })
	if first {
		r.after(messageDelay, func() { r.sendDemand(t) })
	}
}

func (q *request) deadline() time.Time { return q.arrived.Add(seconds(q.line.Deadline)) }

// sendDemand reports the requests that wait for t to the planner, at intervals while
// any wait.
func (r *runner) sendDemand(t ident.Target) {
	waiting := r.waiting[t]
	if len(waiting) == 0 {
		delete(r.waiting, t)
		return
	}
	r.after(demandInterval, func() { r.sendDemand(t) })
	if r.planner == nil {
		return
	}
	for _, d := range r.demands(t, waiting) {
		begin := time.Now()
		r.planner.Demand(r.now, r.st, d)
		r.plannerTime += time.Since(begin)
		r.plannerEvents++
	}
	r.plan()
	r.keepPlanning()
	if est, ok := r.planner.Estimate(r.now, r.st, t); ok {
		r.refuseTooLate(t, est)
	}
}

// demands aggregates the waiting requests by entry and customer, as entries do.
func (r *runner) demands(t ident.Target, waiting []*request) []placement.Demand {
	type key struct {
		entry int
		c     ident.Customer
	}
	by := map[key]*placement.Demand{}
	var out []placement.Demand
	var order []key
	for i, q := range waiting {
		k := key{i % r.trace.World.Entries, q.customer.Name}
		d := by[k]
		if d == nil {
			d = &placement.Demand{Entry: ident.HostID(fmt.Sprint("entry-", k.entry)), Customer: k.c, Target: t, Deadline: q.deadline(), Batch: true}
			by[k] = d
			order = append(order, k)
		}
		d.Waiting++
		d.Batch = d.Batch && q.customer.Priority == record.Batch
		if q.deadline().Before(d.Deadline) {
			d.Deadline = q.deadline()
		}
	}
	for _, k := range order {
		out = append(out, *by[k])
	}
	return out
}

// refuseTooLate refuses waiting requests that cannot start before their deadline or
// that have found no memory for too long, as entries do.
func (r *runner) refuseTooLate(t ident.Target, est placement.Estimate) {
	for _, q := range append([]*request(nil), r.waiting[t]...) {
		switch {
		case est.Ready.IsZero() && est.Reason == placement.ReasonNoMemory:
			if q.noMemorySince.IsZero() {
				q.noMemorySince = r.now
			}
			if r.now.Sub(q.noMemorySince) > noMemoryWait {
				r.refuseWaiting(q, "no_capacity")
			}
		case est.Ready.After(q.deadline()):
			r.refuseWaiting(q, "cannot_start_in_time")
		default:
			q.noMemorySince = time.Time{}
		}
	}
}

func (r *runner) refuseWaiting(q *request, reason string) {
	t := q.line.Target
	for i, w := range r.waiting[t] {
		if w == q {
			r.waiting[t] = append(r.waiting[t][:i:i], r.waiting[t][i+1:]...)
			r.requestEnded(q, reason)
			return
		}
	}
}

// dispatchWaiting sends the waiting requests of a target to its ready replicas.
func (r *runner) dispatchWaiting(t ident.Target) {
	waiting := r.waiting[t]
	r.waiting[t] = nil
	for _, q := range waiting {
		r.dispatch(q)
	}
}

func (r *runner) requestEnded(q *request, reason string) {
	r.active--
	if reason != "" {
		r.rep.refused(q, reason)
	}
}

// plan runs the planner and commits its commands.
func (r *runner) plan() {
	if r.planner == nil {
		return
	}
	begin := time.Now()
	cmds := r.planner.Plan(r.now, r.st)
	r.plannerTime += time.Since(begin)
	for _, c := range cmds {
		r.commit(c, false)
	}
}

// keepPlanning plans at short intervals while requests wait.
func (r *runner) keepPlanning() {
	if r.planScheduled {
		return
	}
	r.planScheduled = true
	r.after(planInterval, func() {
		r.planScheduled = false
		r.plan()
		if len(r.waiting) > 0 {
			r.keepPlanning()
		}
	})
}

// sample runs the periodic work of each second: heartbeats, planning, and the
// accounting of idle memory.
func (r *runner) sample() {
	r.after(sampleInterval, r.sample)
	for _, h := range r.hostList {
		h.tick()
		if rep, ok := h.report(); ok && r.planner != nil && h.up {
			begin := time.Now()
			r.planner.Report(r.now, r.st, rep)
			r.plannerTime += time.Since(begin)
			r.plannerEvents++
		}
		r.rep.addIdleTime(h, r.trace.World.Accelerator)
	}
	r.plan()
}

func (r *runner) finish() {
	r.rep.finish(r)
}
