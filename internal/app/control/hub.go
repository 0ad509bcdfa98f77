package control

import (
	"encoding/json"
	"slices"
	"sync"
	"time"

	"github.com/cassiapass/cassiapass/internal/adapter/rpc"
	"github.com/cassiapass/cassiapass/internal/core/ident"
	"github.com/cassiapass/cassiapass/internal/core/state"
	"github.com/cassiapass/cassiapass/internal/wire"
)

const (
	ringSize    = 20000 // changes kept for subscribers that reconnect
	ringSlack   = 4000
	pageSize    = 500 // changes in one message
	maxRollouts = 64  // record changes whose rollout is kept
)

// hub sends changes to subscribers. Each subscriber has a position and a
// goroutine that sends the changes after it; there is no queue per subscriber
// that a slow one could fill.
type hub struct {
	copyAll func() (ident.Index, []state.Change, error) // full copy from the loop

	mu       sync.Mutex
	ring     []ringEntry // ordered by index
	floor    ident.Index // changes after this index are all in the ring
	index    ident.Index
	config   ident.Index
	subs     map[*rpc.Conn]*subscriber
	rollouts []rollout
	beats    map[processKey]wire.Beat // received since the last forward to the leader
	entries  int                      // number of live entries, as counted by the leader
}

type processKey struct {
	role wire.Role
	host ident.HostID
}

// ringEntry is one change, encoded once for all subscribers.
type ringEntry struct {
	index ident.Index
	kind  changeKind
	host  ident.HostID
	raw   json.RawMessage
}

type changeKind uint8

const (
	changeRecord changeKind = iota
	changeHost              // endpoints and replicas: agents get only those of their host
)

// subscriber is a process that receives changes over its connection.
type subscriber struct {
	conn     *rpc.Conn
	process  wire.Process
	position ident.Index // everything up to this index was sent or does not concern it
	lastSent ident.Index // index of the last message sent, from which the next one continues
	wakeup   chan struct{}
	acked    ident.Index
	config   ident.Index
	lastSeen time.Time
}

// rollout is the progress of a record change among the subscribers.
type rollout struct {
	index       ident.Index
	begun       time.Time
	lastConfirm time.Time
	slowest     wire.Process
	pending     int
}

// page is wire.Changes with changes that are already encoded.
type page struct {
	From    ident.Index       `json:"from"`
	To      ident.Index       `json:"to"`
	Reset   bool              `json:"reset,omitempty"`
	More    bool              `json:"more,omitempty"`
	Changes []json.RawMessage `json:"changes,omitempty"`
}

func newHub(copyAll func() (ident.Index, []state.Change, error)) *hub {
	return &hub{copyAll: copyAll, subs: map[*rpc.Conn]*subscriber{}, beats: map[processKey]wire.Beat{}}
}

func encodeChange(c state.Change) ringEntry {
	raw, err := json.Marshal(c)
	if err != nil {
		panic("invariant: control: change cannot be encoded: " + err.Error())
	}
	e := ringEntry{index: c.Index, kind: changeHost, raw: raw}
	switch {
	case c.Record != nil:
		e.kind = changeRecord
	case c.Endpoint != nil:
		e.host = c.Endpoint.Host
	case c.RemovedEndpoint != "":
		e.host = c.RemovedEndpoint
	case c.Replica != nil:
		e.host = c.Replica.Host
	default:
		e.host = c.Host
	}
	return e
}

func (e ringEntry) concerns(p wire.Process) bool {
	return p.Role == wire.RoleEntry || e.kind == changeRecord || e.host == p.Host
}

// publish appends the changes up to index and wakes the subscribers.
func (h *hub) publish(index, config ident.Index, changes []state.Change) {
	h.mu.Lock()
	defer h.mu.Unlock()
	for _, c := range changes {
		h.ring = append(h.ring, encodeChange(c))
	}
	if len(h.ring) > ringSize+ringSlack {
		h.floor = h.ring[len(h.ring)-ringSize-1].index
		// Truncation may split the changes of one index; the floor makes subscribers
		// below it receive a full copy instead of a part of them.
		h.ring = slices.Clone(h.ring[len(h.ring)-ringSize:])
	}
	h.index = index
	if config > h.config {
		h.config = config
		h.trackRollout(config)
	}
	if len(changes) == 0 {
		return
	}
	for _, s := range h.subs {
		s.wake()
	}
}

// trackRollout starts to track the rollout of a record change.
func (h *hub) trackRollout(config ident.Index) {
	now := time.Now()
	h.rollouts = append(h.rollouts, rollout{index: config, begun: now, lastConfirm: now, pending: len(h.subs)})
	if len(h.rollouts) > maxRollouts {
		h.rollouts = h.rollouts[1:]
	}
}

func (s *subscriber) wake() {
	select {
	case s.wakeup <- struct{}{}:
	default:
	}
}

// reset is called when a snapshot has replaced the state: the changes in between are
// not known, so every subscriber behind index gets a full copy.
func (h *hub) reset(index ident.Index) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.ring, h.floor, h.index = nil, index, index
	for _, s := range h.subs {
		s.wake()
	}
}

// subscribe starts to send the changes after from on conn.
func (h *hub) subscribe(conn *rpc.Conn, p wire.Process, from ident.Index) wire.SubscribeResult {
	h.mu.Lock()
	defer h.mu.Unlock()
	s := &subscriber{conn: conn, process: p, position: from, lastSent: from, wakeup: make(chan struct{}, 1), lastSeen: time.Now()}
	h.subs[conn] = s
	s.wake()
	go h.feed(s)
	return wire.SubscribeResult{To: ident.Position{Index: h.index}, Reset: from < h.floor || from == 0}
}

// unsubscribe removes the subscriber of a closed connection.
func (h *hub) unsubscribe(conn *rpc.Conn) {
	h.mu.Lock()
	defer h.mu.Unlock()
	delete(h.subs, conn)
}

// feed sends to one subscriber until its connection closes.
func (h *hub) feed(s *subscriber) {
	for {
		select {
		case <-s.wakeup:
		case <-s.conn.Closed():
			return
		}
		if err := h.catchUp(s); err != nil {
			s.conn.Close()
			return
		}
	}
}

// catchUp sends everything after the subscriber's position.
func (h *hub) catchUp(s *subscriber) error {
	for {
		p, full := h.nextPage(s)
		if full {
			if err := h.sendAll(s); err != nil {
				return err
			}
			continue
		}
		if p == nil {
			return nil
		}
		if err := s.conn.Notify(wire.MethodChanges, p); err != nil {
			return err
		}
		h.advance(s, p.To)
	}
}

// advance records that everything up to index was written to the subscriber's
// connection. The answer to its next beat carries that index.
func (h *hub) advance(s *subscriber, to ident.Index) {
	h.mu.Lock()
	defer h.mu.Unlock()
	s.position, s.lastSent = to, to
}

// nextPage returns the next page for a subscriber, nil if it is up to date, or
// full if it needs a full copy.
func (h *hub) nextPage(s *subscriber) (p *page, full bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if s.position < h.floor || (s.position == 0 && h.index > 0) {
		return nil, true
	}
	if s.position >= h.index {
		return nil, false
	}
	first, _ := slices.BinarySearchFunc(h.ring, s.position+1, func(e ringEntry, i ident.Index) int {
		if e.index < i {
			return -1
		}
		return 1
	})
	p = &page{From: s.lastSent, To: h.index}
	for i := first; i < len(h.ring); i++ {
		e := h.ring[i]
		// A page ends between two indexes, never inside one.
		if len(p.Changes) >= pageSize && e.index != h.ring[i-1].index {
			p.To = h.ring[i-1].index
			break
		}
		if e.concerns(s.process) {
			p.Changes = append(p.Changes, e.raw)
		}
	}
	if len(p.Changes) == 0 {
		// Nothing that concerns this subscriber: the answer to its next beat
		// advances its index, which saves a message per change and process.
		s.position = p.To
		return nil, false
	}
	return p, false
}

// sendAll sends a full copy in pages.
func (h *hub) sendAll(s *subscriber) error {
	to, all, err := h.copyAll()
	if err != nil {
		return err
	}
	p := &page{To: to, Reset: true, More: true}
	for _, c := range all {
		e := encodeChange(c)
		if !e.concerns(s.process) {
			continue
		}
		p.Changes = append(p.Changes, e.raw)
		if len(p.Changes) >= pageSize {
			if err := s.conn.Notify(wire.MethodChanges, p); err != nil {
				return err
			}
			p = &page{To: to, More: true}
		}
	}
	p.More = false
	if err := s.conn.Notify(wire.MethodChanges, p); err != nil {
		return err
	}
	h.advance(s, to)
	return nil
}

// beat records a subscriber's heartbeat and returns its position.
func (h *hub) beat(conn *rpc.Conn, b wire.Beat) wire.BeatResult {
	h.mu.Lock()
	defer h.mu.Unlock()
	s, ok := h.subs[conn]
	if !ok {
		return wire.BeatResult{Unknown: true}
	}
	now := time.Now()
	s.lastSeen = now
	s.acked = max(s.acked, b.Index)
	if b.Config > s.config {
		h.confirmRollouts(s, s.config, b.Config, now)
		s.config = b.Config
	}
	h.mergeBeat(b)
	return wire.BeatResult{Index: s.position, Entries: h.entries}
}

// confirmRollouts counts a subscriber as done for the record changes after from up to to.
func (h *hub) confirmRollouts(s *subscriber, from, to ident.Index, now time.Time) {
	for i := range h.rollouts {
		r := &h.rollouts[i]
		if r.index > from && r.index <= to && r.pending > 0 {
			r.pending--
			r.lastConfirm, r.slowest = now, s.process
		}
	}
}

// mergeBeat keeps a beat for the leader. Reports of one incarnation that were not
// forwarded yet are merged: an earlier one may hold what the later one lacks.
func (h *hub) mergeBeat(b wire.Beat) {
	k := processKey{b.Process.Role, b.Process.Host}
	old, ok := h.beats[k]
	if ok && old.Report != nil && old.Process.Incarnation == b.Process.Incarnation {
		if b.Report == nil {
			b.Report = old.Report
		} else {
			merged := *b.Report
			merged.Cached = append(slices.Clone(old.Report.Cached), merged.Cached...)
			merged.Loaded = append(slices.Clone(old.Report.Loaded), merged.Loaded...)
			merged.Full = merged.Full || old.Report.Full
			b.Report = &merged
		}
	}
	h.beats[k] = b
}

// takeBeats removes and returns the beats received since the last call.
func (h *hub) takeBeats() []wire.Beat {
	h.mu.Lock()
	defer h.mu.Unlock()
	out := make([]wire.Beat, 0, len(h.beats))
	for _, b := range h.beats {
		out = append(out, b)
	}
	clear(h.beats)
	return out
}

// restoreBeats puts back beats that could not be forwarded; newer ones of the same process
// are merged over them.
func (h *hub) restoreBeats(beats []wire.Beat) {
	h.mu.Lock()
	defer h.mu.Unlock()
	for _, b := range beats {
		k := processKey{b.Process.Role, b.Process.Host}
		newer, ok := h.beats[k]
		h.beats[k] = b
		if ok {
			h.mergeBeat(newer)
		}
	}
}

// status returns the subscribers and the rollouts for operators.
func (h *hub) status() ([]wire.SubscriberStatus, []wire.InForce) {
	h.mu.Lock()
	defer h.mu.Unlock()
	var subs []wire.SubscriberStatus
	for _, s := range h.subs {
		subs = append(subs, wire.SubscriberStatus{Process: s.process, Index: s.acked, Config: s.config, Silent: time.Since(s.lastSeen).Seconds()})
	}
	slices.SortFunc(subs, func(a, b wire.SubscriberStatus) int {
		if a.Process.Host < b.Process.Host {
			return -1
		}
		return 1
	})
	var out []wire.InForce
	for _, r := range h.rollouts {
		out = append(out, wire.InForce{Index: r.index, Seconds: r.lastConfirm.Sub(r.begun).Seconds(), Slowest: r.slowest, Open: r.pending})
	}
	return subs, out
}

func (h *hub) setEntries(n int) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.entries = n
}

func (h *hub) liveEntries() int {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.entries
}

// subscribers returns how many processes are subscribed here.
func (h *hub) subscribers() int {
	h.mu.Lock()
	defer h.mu.Unlock()
	return len(h.subs)
}
