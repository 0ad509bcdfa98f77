package replay

import (
	"fmt"
	"time"

	"github.com/cassiapass/cassiapass/internal/core/admission"
	"github.com/cassiapass/cassiapass/internal/core/ident"
	"github.com/cassiapass/cassiapass/internal/core/ledger"
	"github.com/cassiapass/cassiapass/internal/core/placement"
	"github.com/cassiapass/cassiapass/internal/core/state"
)

// host is one endpoint: the real ledger and admission queue before an engine
// that is a timer.
type host struct {
	r       *runner
	w       WorldHost
	up      bool
	leaving bool
	life    int // counts incarnations; events of an earlier life are ignored
	ledger  *ledger.Ledger
	queue   *admission.Queue
	waiting map[ident.Attempt]*request
	running map[ident.Attempt]*request
	held    map[ident.Target]*engineModel
	disk    map[ident.Target]bool
	used    map[ident.Index]time.Time
	loaded  []placement.LoadTime
	cached  []placement.CachedAt
	full    bool
}

// engineModel is what the engine holds.
type engineModel struct {
	bytes   int64
	loading bool
	load    *storeLoad
}

const (
	queueBound   = 256
	longestOrder = 2 * time.Minute
	expectedRun  = 3 * time.Second
)

// start begins a life of the endpoint: a new agent and an empty engine.
func (h *host) start() {
	if h.up {
		return
	}
	h.up, h.leaving = true, false
	h.life++
	h.ledger = ledger.New(ledger.Config{Memory: h.w.Memory, HonoursFence: true, LongestOrder: longestOrder, AskEvery: time.Second}, h.r.now)
	h.queue = admission.New(admission.Config{Slots: h.w.Slots, MaxQueue: queueBound, Expected: expectedRun})
	h.waiting, h.running = map[ident.Attempt]*request{}, map[ident.Attempt]*request{}
	h.held, h.used = map[ident.Target]*engineModel{}, map[ident.Index]time.Time{}
	h.full = true
	life := h.life
	h.r.commit(h.registration("process started"), true)
	h.r.after(2*commitDelay, func() {
		if !h.alive(life) {
			return
		}
		h.ledger.Registered(h.r.index)
		h.ledger.FloorSet(h.r.now)
		for _, id := range h.r.st.ByHost(h.w.Host) {
			rep, _ := h.r.st.Replica(id)
			h.decide(rep)
		}
	})
}

func (h *host) alive(life int) bool { return h.up && h.life == life }

func (h *host) registration(reason string) state.Command {
	e := state.Endpoint{Host: h.w.Host, Incarnation: ident.Incarnation(h.life), Addr: "10.0.0.1:1", Zone: h.w.Zone, Place: h.r.trace.World.placeName(), Memory: h.w.Memory, Slots: h.w.Slots, Up: true, Leaving: h.leaving}
	return state.Command{By: "agent", Endpoint: &state.EndpointSet{Endpoint: e, Reason: reason}}
}

// placeName returns the place that the records name.
func (w World) placeName() string {
	if w.Name == "random" {
		return "place"
	}
	return w.Name
}

// die ends the life: running requests are lost, memory is free.
func (h *host) die() {
	if !h.up {
		return
	}
	h.up = false
	life := h.life
	for _, m := range h.held {
		if m.load != nil {
			h.r.store.drop(m.load)
		}
	}
	h.held = map[ident.Target]*engineModel{}
	lost := append(values(h.running), values(h.waiting)...)
	for _, q := range lost {
		h.r.dispatch(q) // repeatable: sent elsewhere, or waits again
	}
	down := func(f func() state.Command) func() {
		return func() {
			if !h.up && h.life == life {
				h.r.commit(f(), true)
			}
		}
	}
	h.r.after(leaseTime, down(func() state.Command {
		c := h.registration("its lease ended")
		c.Endpoint.Endpoint.Up = false
		return c
	}))
	h.r.after(leaseTime+goneWait, down(func() state.Command {
		return state.Command{Forget: &state.EndpointForget{Host: h.w.Host, Incarnation: ident.Incarnation(life), Reason: "gone"}}
	}))
}

func values(m map[ident.Attempt]*request) []*request {
	out := make([]*request, 0, len(m))
	for _, q := range m {
		out = append(out, q)
	}
	sortRequests(out)
	return out
}

func (h *host) decide(rep state.Replica) {
	h.ledger.Decide(h.r.now, ledger.Grant{ID: rep.ID, Target: rep.Target, Bytes: rep.Bytes, Drain: rep.Phase == state.Draining, Ready: rep.Phase == state.Ready})
	h.tick()
}

func (h *host) forget(id ident.Index) {
	delete(h.used, id)
	h.ledger.Forget(h.r.now, id)
	h.tick()
}

func (h *host) serves(t ident.Target) bool {
	_, ok := h.ledger.Serving(t)
	return ok
}

// tick carries out what the ledger and the queue call for.
func (h *host) tick() {
	if !h.up {
		return
	}
	now := h.r.now
	for _, x := range h.queue.Expire(now) {
		h.drop(x.Attempt, "deadline_past")
	}
	for _, line := range h.ledger.Lines() {
		if line.Phase == ledger.Draining || line.Phase == ledger.Unloading {
			for _, x := range h.queue.DropReplica(line.ID) {
				q := h.waiting[x.Attempt]
				delete(h.waiting, x.Attempt)
				h.r.dispatch(q)
			}
		}
	}
	busy := func(id ident.Index) int { r, w := h.queue.OfReplica(id); return r + w }
	for _, o := range h.ledger.Orders(now, busy) {
		h.order(o)
	}
	h.tell(h.ledger.Withdraw(now))
}

func (h *host) drop(a ident.Attempt, why string) {
	q := h.waiting[a]
	delete(h.waiting, a)
	h.r.ended(q, why)
}

// order carries out an order at the engine.
func (h *host) order(o ledger.Order) {
	life := h.life
	switch o.Kind {
	case ledger.OrderList:
		asked := h.r.now
		h.r.after(messageDelay, func() {
			if !h.alive(life) {
				return
			}
			var held []ledger.Held
			for t, m := range h.held {
				held = append(held, ledger.Held{Target: t, Bytes: m.bytes, Loading: m.loading})
			}
			h.tell(h.ledger.Sync(h.r.now, asked, held))
			h.tick()
		})
	case ledger.OrderUnload:
		h.r.after(unloadTakes, func() {
			if h.alive(life) {
				delete(h.held, o.Target)
				h.done(o)
			}
		})
	case ledger.OrderLoad:
		h.load(o, life)
	}
}

func (h *host) load(o ledger.Order, life int) {
	m := &engineModel{bytes: o.Bytes, loading: true}
	h.held[o.Target] = m
	h.checkEngine()
	h.r.rep.Loads++
	begin := h.r.now
	source := placement.FromRemote
	finish := func() {
		if !h.alive(life) || h.held[o.Target] != m {
			return
		}
		m.loading, m.load = false, nil
		h.loaded = append(h.loaded, placement.LoadTime{Source: source, Bytes: o.Bytes, Took: h.r.now.Sub(begin)})
		if !h.disk[o.Target] {
			h.disk[o.Target] = true
			h.cached = append(h.cached, placement.CachedAt{Target: o.Target, Source: placement.FromDisk})
		}
		h.done(o)
	}
	if h.disk[o.Target] {
		source = placement.FromDisk
		h.r.after(seconds(float64(o.Bytes)/h.r.trace.World.DiskSpeed), finish)
		return
	}
	m.load = h.r.store.add(o.Bytes, finish)
}

// checkEngine compares what the engine really holds with its memory: the
// promise, measured where it counts.
func (h *host) checkEngine() {
	sum := int64(0)
	for _, m := range h.held {
		sum += m.bytes
	}
	h.r.rep.PeakMemory = max(h.r.rep.PeakMemory, float64(sum)/float64(h.w.Memory))
	if sum > h.w.Memory {
		panic(fmt.Sprintf("invariant: replay: %s holds %d bytes of %d", h.w.Host, sum, h.w.Memory))
	}
}

func (h *host) done(o ledger.Order) {
	h.tell(h.ledger.Finished(h.r.now, o, ledger.Done))
	h.tick()
}

// tell has events committed.
func (h *host) tell(events []ledger.Event) {
	for _, e := range events {
		set := &state.ReplicaSet{ID: e.ID, Phase: state.Ready, Reason: e.Reason}
		if !e.Ready {
			set.Phase, set.Gone = "", true
		}
		h.r.commit(state.Command{By: string(h.w.Host), Replica: set}, true)
	}
}

// offer asks for admission; false if the endpoint refuses.
func (h *host) offer(q *request, replica ident.Index) bool {
	q.attempt++
	a := ident.Attempt{Request: q.id, Number: q.attempt}
	d := h.queue.Offer(h.r.now, admission.Request{Attempt: a, Replica: replica, Customer: q.cust.Name, Weight: float64(q.cust.ReplicasSold), Priority: q.cust.Priority, Deadline: q.deadline()})
	switch d.Verdict {
	case admission.Run:
		h.begin(a, q, replica)
	case admission.Wait:
		h.waiting[a] = q
		h.used[replica] = h.r.now
	default:
		return false
	}
	return true
}

// begin runs a request for as long as its tokens take.
func (h *host) begin(a ident.Attempt, q *request, replica ident.Index) {
	life, w := h.life, h.r.trace.World
	h.running[a] = q
	h.used[replica] = h.r.now
	first := seconds(w.FirstToken)
	h.r.after(first, func() {
		if h.alive(life) && h.running[a] == q {
			h.r.rep.started(q, h.r.now.Sub(q.arrived))
		}
	})
	h.r.after(first+seconds(float64(q.line.Out)*w.PerToken), func() {
		if !h.alive(life) || h.running[a] != q {
			return
		}
		delete(h.running, a)
		h.used[replica] = h.r.now
		h.queue.Finish(h.r.now, a)
		h.r.ended(q, "")
		for _, x := range h.queue.Next(h.r.now) {
			next := h.waiting[x.Attempt]
			delete(h.waiting, x.Attempt)
			h.begin(x.Attempt, next, x.Replica)
		}
		h.tick()
	})
}

// report is what the agent's beat would carry.
func (h *host) report() (placement.Report, bool) {
	rep := placement.Report{Host: h.w.Host, Incarnation: ident.Incarnation(h.life), Loaded: h.loaded, Cached: h.cached, Full: h.full}
	if h.full {
		rep.Cached = nil
		for t := range h.disk {
			rep.Cached = append(rep.Cached, placement.CachedAt{Target: t, Source: placement.FromDisk})
		}
	}
	for id, at := range h.used {
		running, waiting := h.queue.OfReplica(id)
		if running+waiting == 0 {
			delete(h.used, id)
		}
		rep.Replicas = append(rep.Replicas, placement.ReplicaLoad{ID: id, Running: running, Waiting: waiting, LastUsed: at})
	}
	if !h.up || (len(rep.Replicas) == 0 && len(rep.Cached) == 0 && len(rep.Loaded) == 0 && !rep.Full) {
		return rep, false
	}
	h.loaded, h.cached, h.full = nil, nil, false
	return rep, true
}
