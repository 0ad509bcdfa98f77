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

// host is one endpoint: the production ledger and admission queue in front of
// an engine that is a timer.
type host struct {
	r           *runner
	spec        WorldHost
	up          bool
	leaving     bool
	incarnation int // events of an earlier incarnation are ignored
	ledger      *ledger.Ledger
	queue       *admission.Queue
	waiting     map[ident.Attempt]*request
	running     map[ident.Attempt]*request
	held        map[ident.Target]*engineModel
	disk        map[ident.Target]bool
	used        map[ident.Index]time.Time
	loaded      []placement.LoadTime
	cached      []placement.CachedAt
	fullReport  bool
}

// engineModel is a model or adapter that the engine holds or loads.
type engineModel struct {
	bytes   int64
	loading bool
	load    *storeLoad
}

const (
	maxQueue            = 256
	maxOrderTime        = 2 * time.Minute
	expectedServiceTime = 3 * time.Second
)

// start starts a new incarnation of the endpoint: a new agent and an empty engine.
func (h *host) start() {
	if h.up {
		return
	}
	h.up, h.leaving = true, false
	h.incarnation++
	h.ledger = ledger.New(ledger.Config{Memory: h.spec.Memory, HonoursFence: true, LongestOrder: maxOrderTime, ListInterval: time.Second}, h.r.now)
	h.queue = admission.New(admission.Config{Slots: h.spec.Slots, MaxQueue: maxQueue, ServiceTime: expectedServiceTime})
	h.waiting, h.running = map[ident.Attempt]*request{}, map[ident.Attempt]*request{}
	h.held, h.used = map[ident.Target]*engineModel{}, map[ident.Index]time.Time{}
	h.fullReport = true
	incarnation := h.incarnation
	h.r.commit(h.registration("process started"), true)
	h.r.after(2*commitDelay, func() {
		if !h.alive(incarnation) {
			return
		}
		h.ledger.Registered(h.r.index)
		h.ledger.FloorConfirmed(h.r.now)
		for _, id := range h.r.st.ByHost(h.spec.Host) {
			rep, _ := h.r.st.Replica(id)
			h.applyGrant(rep)
		}
	})
}

func (h *host) alive(incarnation int) bool { return h.up && h.incarnation == incarnation }

func (h *host) registration(reason string) state.Command {
	e := state.Endpoint{Host: h.spec.Host, Incarnation: ident.Incarnation(h.incarnation), Addr: "10.0.0.1:1", Zone: h.spec.Zone, Place: h.r.trace.World.placeName(), Memory: h.spec.Memory, Slots: h.spec.Slots, Up: true, Leaving: h.leaving}
	return state.Command{By: "agent", Endpoint: &state.EndpointUpdate{Endpoint: e, Reason: reason}}
}

// placeName returns the place named in the generated records.
func (w World) placeName() string {
	if w.Name == "random" {
		return "place"
	}
	return w.Name
}

// crash ends the incarnation: running requests are lost, and the engine is empty.
// The endpoint is marked down when its lease ends, and removed later unless it
// has started again.
func (h *host) crash() {
	if !h.up {
		return
	}
	h.up = false
	incarnation := h.incarnation
	for _, m := range h.held {
		if m.load != nil {
			h.r.store.cancel(m.load)
		}
	}
	h.held = map[ident.Target]*engineModel{}
	lost := append(sortedRequests(h.running), sortedRequests(h.waiting)...)
	for _, q := range lost {
		h.r.dispatch(q) // requests are repeatable: sent to another endpoint, or wait again
	}
	down := func(f func() state.Command) func() {
		return func() {
			if !h.up && h.incarnation == incarnation {
				h.r.commit(f(), true)
			}
		}
	}
	h.r.after(leaseDuration, down(func() state.Command {
		c := h.registration("its lease ended")
		c.Endpoint.Endpoint.Up = false
		return c
	}))
	h.r.after(leaseDuration+removeAfter, down(func() state.Command {
		return state.Command{Forget: &state.EndpointRemoval{Host: h.spec.Host, Incarnation: ident.Incarnation(incarnation), Reason: "gone"}}
	}))
}

func sortedRequests(m map[ident.Attempt]*request) []*request {
	out := make([]*request, 0, len(m))
	for _, q := range m {
		out = append(out, q)
	}
	sortRequests(out)
	return out
}

func (h *host) applyGrant(rep state.Replica) {
	h.ledger.ApplyGrant(h.r.now, ledger.Grant{ID: rep.ID, Target: rep.Target, Bytes: rep.Bytes, Drain: rep.Phase == state.Draining, Ready: rep.Phase == state.Ready})
	h.tick()
}

func (h *host) removeReplica(id ident.Index) {
	delete(h.used, id)
	h.ledger.Forget(h.r.now, id)
	h.tick()
}

func (h *host) serves(t ident.Target) bool {
	_, ok := h.ledger.Serving(t)
	return ok
}

// tick drops expired requests, sends the queued requests of draining replicas
// elsewhere, and carries out the orders of the ledger.
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
	h.commitEvents(h.ledger.RemoveWaiting(now))
}

func (h *host) drop(a ident.Attempt, reason string) {
	q := h.waiting[a]
	delete(h.waiting, a)
	h.r.requestEnded(q, reason)
}

// order carries out an order of the ledger at the engine.
func (h *host) order(o ledger.Order) {
	incarnation := h.incarnation
	switch o.Kind {
	case ledger.OrderList:
		asked := h.r.now
		h.r.after(messageDelay, func() {
			if !h.alive(incarnation) {
				return
			}
			var held []ledger.Held
			for t, m := range h.held {
				held = append(held, ledger.Held{Target: t, Bytes: m.bytes, Loading: m.loading})
			}
			h.commitEvents(h.ledger.Sync(h.r.now, asked, held))
			h.tick()
		})
	case ledger.OrderUnload:
		h.r.after(unloadDuration, func() {
			if h.alive(incarnation) {
				delete(h.held, o.Target)
				h.done(o)
			}
		})
	case ledger.OrderLoad:
		h.load(o, incarnation)
	}
}

func (h *host) load(o ledger.Order, incarnation int) {
	m := &engineModel{bytes: o.Bytes, loading: true}
	h.held[o.Target] = m
	h.checkEngine()
	h.r.rep.Loads++
	begin := h.r.now
	source := placement.FromRemote
	finish := func() {
		if !h.alive(incarnation) || h.held[o.Target] != m {
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

// checkEngine checks that the models the engine actually holds fit its memory.
// It panics if they do not.
func (h *host) checkEngine() {
	sum := int64(0)
	for _, m := range h.held {
		sum += m.bytes
	}
	h.r.rep.PeakMemory = max(h.r.rep.PeakMemory, float64(sum)/float64(h.spec.Memory))
	if sum > h.spec.Memory {
		panic(fmt.Sprintf("invariant: replay: %s holds %d bytes of %d", h.spec.Host, sum, h.spec.Memory))
	}
}

func (h *host) done(o ledger.Order) {
	h.commitEvents(h.ledger.OrderEnded(h.r.now, o, ledger.Done))
	h.tick()
}

// commitEvents proposes the new phases of replicas to the leader.
func (h *host) commitEvents(events []ledger.Event) {
	for _, e := range events {
		set := &state.ReplicaUpdate{ID: e.ID, Phase: state.Ready, Reason: e.Reason}
		if !e.Ready {
			set.Phase, set.Removed = "", true
		}
		h.r.commit(state.Command{By: string(h.spec.Host), Replica: set}, true)
	}
}

// offer offers a request to the admission queue. It returns false if the
// endpoint refuses it.
func (h *host) offer(q *request, replica ident.Index) bool {
	q.attempt++
	a := ident.Attempt{Request: q.id, Number: q.attempt}
	d := h.queue.Offer(h.r.now, admission.Request{Attempt: a, Replica: replica, Customer: q.customer.Name, Weight: float64(q.customer.ReplicasSold), Priority: q.customer.Priority, Deadline: q.deadline()})
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

// begin runs a request for the time of its first token and its output tokens.
func (h *host) begin(a ident.Attempt, q *request, replica ident.Index) {
	incarnation, w := h.incarnation, h.r.trace.World
	h.running[a] = q
	h.used[replica] = h.r.now
	first := seconds(w.FirstToken)
	h.r.after(first, func() {
		if h.alive(incarnation) && h.running[a] == q {
			h.r.rep.started(q, h.r.now.Sub(q.arrived))
		}
	})
	h.r.after(first+seconds(float64(q.line.Out)*w.PerToken), func() {
		if !h.alive(incarnation) || h.running[a] != q {
			return
		}
		delete(h.running, a)
		h.used[replica] = h.r.now
		h.queue.Finish(h.r.now, a)
		h.r.requestEnded(q, "")
		for _, x := range h.queue.Next(h.r.now) {
			next := h.waiting[x.Attempt]
			delete(h.waiting, x.Attempt)
			h.begin(x.Attempt, next, x.Replica)
		}
		h.tick()
	})
}

// report returns what the agent's heartbeat would carry; false if there is
// nothing to report.
func (h *host) report() (placement.Report, bool) {
	rep := placement.Report{Host: h.spec.Host, Incarnation: ident.Incarnation(h.incarnation), Loaded: h.loaded, Cached: h.cached, Full: h.fullReport}
	if h.fullReport {
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
	h.loaded, h.cached, h.fullReport = nil, nil, false
	return rep, true
}
