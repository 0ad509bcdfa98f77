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
	ringSize     = 20000 // changes kept for subscribers that come back
	ringSlack    = 4000
	pageSize     = 500 // changes in one message
	trackedForce = 64  // record changes whose spread is remembered
)

// hub hands changes to subscribers. Each subscriber has a position and a
// goroutine that sends what lies behind it; there is no queue per subscriber
// that a slow one could fill.
type hub struct {
	copyAll func() (ident.Index, []state.Change, error) // full copy from the loop

	mu      sync.Mutex
	ring    []ringEntry // ordered by index
	floor   ident.Index // changes after this index are all in the ring
	index   ident.Index
	config  ident.Index
	subs    map[*rpc.Conn]*sub
	inForce []force
	beats   map[processKey]wire.Beat // heard since the last forward to the leader
	entries int                      // live entries, as the leader counts them
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
	changeHost              // endpoints and replicas: agents get only their own
)

// sub is one subscriber.
type sub struct {
	conn    *rpc.Conn
	process wire.Process
	at      ident.Index // everything up to here was sent or does not concern it
	told    ident.Index // index of the last message sent, which the next one follows
	wake    chan struct{}
	acked   ident.Index
	config  ident.Index
	heard   time.Time
}

// force tells how a record change spread.
type force struct {
	index   ident.Index
	at      time.Time
	last    time.Time
	slowest wire.Process
	open    int
}

// page is wire.Changes with changes that are encoded already.
type page struct {
	From    ident.Index       `json:"from"`
	To      ident.Index       `json:"to"`
	Reset   bool              `json:"reset,omitempty"`
	More    bool              `json:"more,omitempty"`
	Changes []json.RawMessage `json:"changes,omitempty"`
}

func newHub(copyAll func() (ident.Index, []state.Change, error)) *hub {
	return &hub{copyAll: copyAll, subs: map[*rpc.Conn]*sub{}, beats: map[processKey]wire.Beat{}}
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
	case c.Forgot != "":
		e.host = c.Forgot
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

// publish takes in the changes up to index and wakes the subscribers.
func (h *hub) publish(index, config ident.Index, changes []state.Change) {
	h.mu.Lock()
	defer h.mu.Unlock()
	for _, c := range changes {
		h.ring = append(h.ring, encodeChange(c))
	}
	if len(h.ring) > ringSize+ringSlack {
		h.floor = h.ring[len(h.ring)-ringSize-1].index
		// Changes of one index may be split by the cut; the floor makes such
		// subscribers take a full copy instead of half of them.
		h.ring = slices.Clone(h.ring[len(h.ring)-ringSize:])
	}
	h.index = index
	if config > h.config {
		h.config = config
		h.track(config)
	}
	if len(changes) == 0 {
		return
	}
	for _, s := range h.subs {
		s.poke()
	}
}

// track begins to watch the spread of a record change.
func (h *hub) track(config ident.Index) {
	now := time.Now()
	h.inForce = append(h.inForce, force{index: config, at: now, last: now, open: len(h.subs)})
	if len(h.inForce) > trackedForce {
		h.inForce = h.inForce[1:]
	}
}

func (s *sub) poke() {
	select {
	case s.wake <- struct{}{}:
	default:
	}
}

// reset tells that the state was replaced by a snapshot: what lies between is
// not known, so every subscriber behind it gets a full copy.
func (h *hub) reset(index ident.Index) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.ring, h.floor, h.index = nil, index, index
	for _, s := range h.subs {
		s.poke()
	}
}

// subscribe starts to send changes after from on conn.
func (h *hub) subscribe(conn *rpc.Conn, p wire.Process, from ident.Index) wire.SubscribeResult {
	h.mu.Lock()
	defer h.mu.Unlock()
	s := &sub{conn: conn, process: p, at: from, told: from, wake: make(chan struct{}, 1), heard: time.Now()}
	h.subs[conn] = s
	s.poke()
	go h.feed(s)
	return wire.SubscribeResult{To: ident.Position{Index: h.index}, Reset: from < h.floor || from == 0}
}

// unsubscribe forgets a closed connection.
func (h *hub) unsubscribe(conn *rpc.Conn) {
	h.mu.Lock()
	defer h.mu.Unlock()
	delete(h.subs, conn)
}

// feed sends to one subscriber until its connection closes.
func (h *hub) feed(s *sub) {
	for {
		select {
		case <-s.wake:
		case <-s.conn.Closed():
			return
		}
		if err := h.catchUp(s); err != nil {
			s.conn.Close()
			return
		}
	}
}

// catchUp sends everything behind the subscriber's position.
func (h *hub) catchUp(s *sub) error {
	for {
		p, full := h.next(s)
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
func (h *hub) advance(s *sub, to ident.Index) {
	h.mu.Lock()
	defer h.mu.Unlock()
	s.at, s.told = to, to
}

// next returns the next page for a subscriber, nil if it is up to date, or
// asks for a full copy.
func (h *hub) next(s *sub) (p *page, full bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if s.at < h.floor || (s.at == 0 && h.index > 0) {
		return nil, true
	}
	if s.at >= h.index {
		return nil, false
	}
	first, _ := slices.BinarySearchFunc(h.ring, s.at+1, func(e ringEntry, i ident.Index) int {
		if e.index < i {
			return -1
		}
		return 1
	})
	p = &page{From: s.told, To: h.index}
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
		// moves its index, which saves a message per change and process.
		s.at = p.To
		return nil, false
	}
	return p, false
}

// sendAll sends a full copy in pages.
func (h *hub) sendAll(s *sub) error {
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

// beat takes in a subscriber's sign of life.
func (h *hub) beat(conn *rpc.Conn, b wire.Beat) wire.BeatResult {
	h.mu.Lock()
	defer h.mu.Unlock()
	s, ok := h.subs[conn]
	if !ok {
		return wire.BeatResult{Unknown: true}
	}
	now := time.Now()
	s.heard = now
	s.acked = max(s.acked, b.Index)
	if b.Config > s.config {
		h.confirm(s, s.config, b.Config, now)
		s.config = b.Config
	}
	h.remember(b)
	return wire.BeatResult{Index: s.at, Entries: h.entries}
}

// confirm counts a subscriber that brought record changes into force.
func (h *hub) confirm(s *sub, from, to ident.Index, now time.Time) {
	for i := range h.inForce {
		f := &h.inForce[i]
		if f.index > from && f.index <= to && f.open > 0 {
			f.open--
			f.last, f.slowest = now, s.process
		}
	}
}

// remember keeps a beat for the leader. Reports of one process that were not
// forwarded yet are joined: an earlier one may hold what the later one lacks.
func (h *hub) remember(b wire.Beat) {
	k := processKey{b.Process.Role, b.Process.Host}
	old, ok := h.beats[k]
	if ok && old.Report != nil && old.Process.Incarnation == b.Process.Incarnation {
		if b.Report == nil {
			b.Report = old.Report
		} else {
			joined := *b.Report
			joined.Cached = append(slices.Clone(old.Report.Cached), joined.Cached...)
			joined.Loaded = append(slices.Clone(old.Report.Loaded), joined.Loaded...)
			joined.Full = joined.Full || old.Report.Full
			b.Report = &joined
		}
	}
	h.beats[k] = b
}

// takeBeats returns and forgets the beats heard since the last call.
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

// putBack returns beats that could not be forwarded, under any newer ones.
func (h *hub) putBack(beats []wire.Beat) {
	h.mu.Lock()
	defer h.mu.Unlock()
	for _, b := range beats {
		k := processKey{b.Process.Role, b.Process.Host}
		newer, ok := h.beats[k]
		h.beats[k] = b
		if ok {
			h.remember(newer)
		}
	}
}

// status describes the subscribers and the spread of changes.
func (h *hub) status() ([]wire.SubscriberStatus, []wire.InForce) {
	h.mu.Lock()
	defer h.mu.Unlock()
	var subs []wire.SubscriberStatus
	for _, s := range h.subs {
		subs = append(subs, wire.SubscriberStatus{Process: s.process, Index: s.acked, Config: s.config, Silent: time.Since(s.heard).Seconds()})
	}
	slices.SortFunc(subs, func(a, b wire.SubscriberStatus) int {
		if a.Process.Host < b.Process.Host {
			return -1
		}
		return 1
	})
	var fs []wire.InForce
	for _, f := range h.inForce {
		fs = append(fs, wire.InForce{Index: f.index, Seconds: f.last.Sub(f.at).Seconds(), Slowest: f.slowest, Open: f.open})
	}
	return subs, fs
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
