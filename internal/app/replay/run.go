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

// Times that messages and small steps take.
const (
	commitDelay  = 10 * time.Millisecond // from a proposal to its application
	messageDelay = 2 * time.Millisecond
	unloadTakes  = 200 * time.Millisecond
	planEvery    = 50 * time.Millisecond
	demandEvery  = 250 * time.Millisecond
	sampleEvery  = time.Second
	leaseTime    = 5 * time.Second
	goneWait     = 30 * time.Second
	roomPatience = 2 * time.Second
)

// Options tune a run.
type Options struct {
	Placement placement.Config
	// Check verifies the promises after every command; slow, for searches.
	Check bool
}

// runner is one replay.
type runner struct {
	clock
	trace   *Trace
	opts    Options
	st      *state.State
	index   ident.Index
	planner *placement.Planner // nil while there is no leader
	outTil  time.Time
	store   *store
	hosts   map[ident.HostID]*host
	order   []*host
	rooms   map[ident.Target][]*request
	records map[ident.Customer]record.Customer
	table   *routing.Table
	rep     *Report
	active  int // requests that have not ended
	planned bool
	cost    time.Duration
	handled int
}

// request is one request of the trace.
type request struct {
	line    Line
	id      ident.RequestID
	arrived time.Time
	cust    record.Customer
	cold    bool
	noRoom  time.Time
	attempt uint32
}

// Run replays a trace and returns the report.
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
		r.at(at, func() { r.line(l) })
		end = at
	}
	r.sample()
	r.run(end.Add(tail(t)))
	r.finish()
	return r.rep, nil
}

const (
	shortTail = 90 * time.Second
	longTail  = time.Hour
)

// tail is how long a replay goes on after the last line: until every request
// has ended.
func tail(t *Trace) time.Duration {
	most := 0.0
	for _, l := range t.Lines {
		most = max(most, l.Deadline)
	}
	return min(seconds(most)+shortTail, longTail)
}

func newRunner(t *Trace, opts Options) *runner {
	w := t.World
	cfg := opts.Placement
	cfg.StoreRate, cfg.StoreConcurrent = w.StoreRate, w.StoreConcurrent
	cfg.RemoteSpeed, cfg.DiskSpeed, cfg.MemorySpeed = w.StoreSpeed, w.DiskSpeed, w.MemorySpeed
	opts.Placement = cfg
	r := &runner{trace: t, opts: opts, st: state.New(), hosts: map[ident.HostID]*host{}, rooms: map[ident.Target][]*request{}, records: map[ident.Customer]record.Customer{}}
	r.now = epoch
	r.rep = newReport(w.Name, string(cfg.Policy))
	r.store = &store{c: &r.clock, speed: w.StoreSpeed, concurrent: w.StoreConcurrent, last: epoch}
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
		h := &host{r: r, w: wh, disk: map[ident.Target]bool{}}
		for _, d := range wh.Disk {
			h.disk[d] = true
		}
		r.hosts[wh.Host] = h
		r.order = append(r.order, h)
		h.start()
	}
	return r
}

// apply carries out a command now.
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
	r.rep.decided(r.st, changes)
	for _, ch := range changes {
		r.after(messageDelay, func() { r.learn(ch) })
	}
	return res
}

// commit has a command decided. Commands of a lost leader are lost with it;
// agents repeat theirs.
func (r *runner) commit(c state.Command, repeat bool) {
	r.after(commitDelay, func() {
		if r.now.Before(r.outTil) {
			if repeat {
				r.at(r.outTil, func() { r.commit(c, true) })
			}
			return
		}
		r.apply(c)
	})
}

// learn hands a change to the agents and entries that it concerns.
func (r *runner) learn(c state.Change) {
	switch {
	case c.Replica != nil:
		if h := r.hosts[c.Replica.Host]; h.up {
			h.decide(*c.Replica)
		}
		if c.Replica.Phase == state.Ready {
			r.wake(c.Replica.Target)
		}
	case c.Removed != 0:
		if h := r.hosts[c.Host]; h.up {
			h.forget(c.Removed)
		}
	}
}

// line carries out one line of the trace.
func (r *runner) line(l Line) {
	switch l.Kind {
	case KindRequest:
		r.active++
		r.rep.Requests++
		q := &request{line: l, id: ident.RequestID(fmt.Sprint("r", r.rep.Requests)), arrived: r.now, cust: r.records[l.Customer]}
		r.dispatch(q)
	case KindDeath:
		h := r.hosts[l.Endpoint]
		h.die()
		r.after(seconds(l.Seconds), h.start)
	case KindReclaim:
		h := r.hosts[l.Endpoint]
		h.leaving = true
		r.commit(h.registration("listed as leaving"), true)
		r.after(seconds(l.Seconds), h.die)
	case KindSlow:
		r.store.setSlow(l.Factor)
		r.after(seconds(l.Seconds), func() { r.store.setSlow(1) })
	case KindLeaderOut:
		r.planner = nil
		r.outTil = r.now.Add(seconds(l.Seconds))
		r.at(r.outTil, func() {
			r.planner = placement.New(r.opts.Placement, r.now)
			for _, h := range r.order {
				h.full = true
			}
			r.keepPlanning()
		})
	}
}

// dispatch sends a request to a ready replica, or lets it wait for one.
func (r *runner) dispatch(q *request) {
	var cands []routing.Candidate
	for _, rep := range r.st.ReplicasOf(q.line.Target) {
		h := r.hosts[rep.Host]
		if rep.Phase != state.Ready || !h.up || h.leaving || !h.serves(q.line.Target) {
			continue
		}
		r.table.Report(r.now, rep.Host, routing.Load{Running: h.queue.Running(), Waiting: h.queue.Waiting(), Slots: h.w.Slots})
		cands = append(cands, routing.Candidate{Host: rep.Host, Zone: h.w.Zone, Replica: rep.ID, Slots: h.w.Slots})
	}
	if c, ok := r.table.Pick(r.now, cands, 0, nil); ok {
		if r.hosts[c.Host].offer(q, c.Replica) {
			return
		}
	}
	r.enter(q)
}

// enter lets a request wait for a replica.
func (r *runner) enter(q *request) {
	q.cold = true
	t := q.line.Target
	first := len(r.rooms[t]) == 0
	r.rooms[t] = append(r.rooms[t], q)
	r.at(q.deadline(), func() { r.refuseWaiting(q, "deadline_past") })
	if first {
		r.after(messageDelay, func() { r.demand(t) })
	}
}

func (q *request) deadline() time.Time { return q.arrived.Add(seconds(q.line.Deadline)) }

// demand tells the planner what waits for t, again and again while it does.
func (r *runner) demand(t ident.Target) {
	waiting := r.rooms[t]
	if len(waiting) == 0 {
		delete(r.rooms, t)
		return
	}
	r.after(demandEvery, func() { r.demand(t) })
	if r.planner == nil {
		return
	}
	for _, d := range r.demands(t, waiting) {
		begin := time.Now()
		r.planner.Demand(r.now, r.st, d)
		r.cost += time.Since(begin)
		r.handled++
	}
	r.plan()
	r.keepPlanning()
	if est, ok := r.planner.Estimate(r.now, r.st, t); ok {
		r.refuseHopeless(t, est)
	}
}

// demands joins the waiting requests by entry and customer, as entries do.
func (r *runner) demands(t ident.Target, waiting []*request) []placement.Demand {
	type key struct {
		entry int
		c     ident.Customer
	}
	by := map[key]*placement.Demand{}
	var out []placement.Demand
	var order []key
	for i, q := range waiting {
		k := key{i % r.trace.World.Entries, q.cust.Name}
		d := by[k]
		if d == nil {
			d = &placement.Demand{Entry: ident.HostID(fmt.Sprint("entry-", k.entry)), Customer: k.c, Target: t, Deadline: q.deadline(), Batch: true}
			by[k] = d
			order = append(order, k)
		}
		d.Waiting++
		d.Batch = d.Batch && q.cust.Priority == record.Batch
		if q.deadline().Before(d.Deadline) {
			d.Deadline = q.deadline()
		}
	}
	for _, k := range order {
		out = append(out, *by[k])
	}
	return out
}

// refuseHopeless refuses waiting requests that cannot start in time, as entries
// do.
func (r *runner) refuseHopeless(t ident.Target, est placement.Estimate) {
	for _, q := range append([]*request(nil), r.rooms[t]...) {
		switch {
		case est.Ready.IsZero() && est.Reason == placement.ReasonNoRoom:
			if q.noRoom.IsZero() {
				q.noRoom = r.now
			}
			if r.now.Sub(q.noRoom) > roomPatience {
				r.refuseWaiting(q, "no_capacity")
			}
		case est.Ready.After(q.deadline()):
			r.refuseWaiting(q, "cannot_start_in_time")
		default:
			q.noRoom = time.Time{}
		}
	}
}

func (r *runner) refuseWaiting(q *request, why string) {
	t := q.line.Target
	for i, w := range r.rooms[t] {
		if w == q {
			r.rooms[t] = append(r.rooms[t][:i:i], r.rooms[t][i+1:]...)
			r.ended(q, why)
			return
		}
	}
}

// wake sends the waiting requests of a target to its ready replicas.
func (r *runner) wake(t ident.Target) {
	waiting := r.rooms[t]
	r.rooms[t] = nil
	for _, q := range waiting {
		r.dispatch(q)
	}
}

func (r *runner) ended(q *request, why string) {
	r.active--
	if why != "" {
		r.rep.refused(q, why)
	}
}

// plan lets the planner decide.
func (r *runner) plan() {
	if r.planner == nil {
		return
	}
	begin := time.Now()
	cmds := r.planner.Plan(r.now, r.st)
	r.cost += time.Since(begin)
	for _, c := range cmds {
		r.commit(c, false)
	}
}

// keepPlanning plans at short intervals while something waits or loads.
func (r *runner) keepPlanning() {
	if r.planned {
		return
	}
	r.planned = true
	r.after(planEvery, func() {
		r.planned = false
		r.plan()
		if len(r.rooms) > 0 {
			r.keepPlanning()
		}
	})
}

// sample does once a second what is periodic: beats, sweeps and accounts.
func (r *runner) sample() {
	r.after(sampleEvery, r.sample)
	for _, h := range r.order {
		h.tick()
		if rep, ok := h.report(); ok && r.planner != nil && h.up {
			begin := time.Now()
			r.planner.Report(r.now, r.st, rep)
			r.cost += time.Since(begin)
			r.handled++
		}
		r.rep.account(h, r.trace.World.Accelerator)
	}
	r.plan()
}

func (r *runner) finish() {
	r.rep.finish(r)
}
