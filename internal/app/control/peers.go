package control

import (
	"context"
	"encoding/json"
	"sync"
	"time"

	vm "github.com/VictoriaMetrics/metrics"
	"github.com/rs/zerolog"

	"github.com/cassiapass/cassiapass/internal/adapter/rpc"
	"github.com/cassiapass/cassiapass/internal/core/consensus"
	"github.com/cassiapass/cassiapass/internal/wire"
)

const (
	peerQueue   = 1024 // messages waiting for one peer; more are dropped and sent anew by consensus
	redialPause = 100 * time.Millisecond
	// dialPeer bounds a dial. During a partition a dial's first packet is lost and
	// repeated only after a second: a short bound finds the healed path sooner.
	dialPeer    = 400 * time.Millisecond
	peerSilence = 2 * time.Second // an idle-looking connection to a peer is closed and dialled anew
)

// peers holds the outgoing connections to the other control hosts.
type peers struct {
	sec   rpc.Security
	count *rpc.Counter
	self  consensus.NodeID
	log   zerolog.Logger
	waits *vm.Summary // seconds that messages wait until they are written
	// met returns where an identity was met, which goes before what the log says.
	// Symptom without it: hosts whose addresses changed while all were dark never elect
	// a leader; only one could have noted the new addresses in the log.
	met func(consensus.NodeID) (string, bool)

	mu      sync.Mutex
	peers   map[consensus.NodeID]*peer
	learned map[consensus.NodeID]consensus.Member // told by the leader, beyond this host's own membership
}

// peer is one other control host.
type peer struct {
	addr string
	ways [lanes]*way
	stop chan struct{}
}

func newPeer(addr string) *peer {
	pr := &peer{addr: addr, stop: make(chan struct{})}
	for l := range pr.ways {
		pr.ways[l] = &way{queue: make(chan queued, peerQueue)}
	}
	return pr
}

func newPeers(self consensus.NodeID, sec rpc.Security, count *rpc.Counter, log zerolog.Logger, waits *vm.Summary, met func(consensus.NodeID) (string, bool)) *peers {
	return &peers{sec: sec, count: count, self: self, log: log, waits: waits, met: met, peers: map[consensus.NodeID]*peer{}}
}

// learn takes in members that the leader told. Symptom without it: a host that
// joins never catches up. Its log, or the first snapshot that it gets, names
// members of long ago, so it cannot answer a leader that joined later.
func (p *peers) learn(ms []consensus.Member) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.learned = map[consensus.NodeID]consensus.Member{}
	for _, m := range ms {
		p.learned[m.ID] = m
	}
}

// update makes the connections match the membership and what was learned.
func (p *peers) update(m consensus.Membership) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for id, mem := range p.learned {
		if _, ok := m.Find(id); !ok {
			m = m.With(mem)
		}
	}
	for id, pr := range p.peers {
		mem, ok := m.Find(id)
		if !ok || p.addr(mem) != pr.addr {
			close(pr.stop)
			delete(p.peers, id)
		}
	}
	for _, mem := range m.Members {
		if _, ok := p.peers[mem.ID]; ok || mem.ID == p.self {
			continue
		}
		pr := newPeer(p.addr(mem))
		p.peers[mem.ID] = pr
		for _, w := range pr.ways {
			go p.pump(pr, w)
		}
	}
}

// addr returns where a member is reached.
func (p *peers) addr(m consensus.Member) string {
	if addr, met := p.met(m.ID); met {
		return addr
	}
	return m.Addr
}

// send queues messages. A full queue drops: consensus repeats what matters.
func (p *peers) send(msgs []consensus.Message) {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := time.Now()
	for _, m := range msgs {
		pr, ok := p.peers[m.To]
		if !ok {
			continue
		}
		select {
		case pr.ways[laneOf(m)].queue <- queued{m, now}:
		default:
		}
	}
}

func (p *peers) close() {
	p.learn(nil)
	p.update(consensus.Membership{})
}

// pump writes the queue of one lane to its connection, several messages at a time when
// they have gathered.
func (p *peers) pump(pr *peer, w *way) {
	defer w.drop()
	for {
		select {
		case <-pr.stop:
			return
		case first := <-w.queue:
			batch := w.gather(first.msg)
			conn, err := p.connect(pr, w)
			if err != nil {
				pr.pause()
				continue
			}
			if err := conn.Notify(wire.MethodRaft, batch); err != nil {
				w.drop()
			}
			p.noteWait(pr, first, batch)
		}
	}
}

// noteWait measures how long the first message of a batch waited until it was written.
func (p *peers) noteWait(pr *peer, first queued, batch []consensus.Message) {
	waited := time.Since(first.at)
	p.waits.Update(waited.Seconds())
	if waited <= slow {
		return
	}
	entries := 0
	for _, m := range batch {
		entries += entryBytes(m)
	}
	p.log.Warn().Str("address", pr.addr).Dur("waited", waited).Int("messages", len(batch)).Int("entry_bytes", entries).Msg("messages_waited")
}

func (pr *peer) pause() {
	select {
	case <-pr.stop:
	case <-time.After(redialPause):
	}
}

// connect returns the open connection or dials. A peer never sends anything on
// this connection by itself, so silence is found by probing: something between
// the two ends may have lost track of a connection that looks open.
func (p *peers) connect(pr *peer, w *way) (*rpc.Conn, error) {
	w.dialling.Lock()
	defer w.dialling.Unlock()
	w.mu.Lock()
	conn := w.conn
	w.mu.Unlock()
	if conn != nil {
		select {
		case <-conn.Closed():
		default:
			return conn, nil
		}
	}
	ctx, cancel := context.WithTimeout(context.Background(), dialPeer)
	defer cancel()
	conn, err := rpc.Dial(ctx, pr.addr, p.sec, p.count, refuseAll)
	if err != nil {
		return nil, err
	}
	w.mu.Lock()
	w.conn = conn
	w.mu.Unlock()
	go probe(conn)
	return conn, nil
}

// probe closes a connection that does not answer. One on which a large message goes out
// piece by piece is left alone: the probe waits behind it.
func probe(conn *rpc.Conn) {
	t := time.NewTicker(peerSilence / 2)
	defer t.Stop()
	for {
		select {
		case <-conn.Closed():
			return
		case <-t.C:
		}
		begun := time.Now()
		ctx, cancel := context.WithTimeout(context.Background(), peerSilence/2)
		err := conn.Call(ctx, wire.MethodPing, nil, nil)
		cancel()
		if err != nil && !conn.Sending(begun) {
			conn.Close()
			return
		}
	}
}

// call sends a call to another control host.
func (p *peers) call(ctx context.Context, to consensus.NodeID, method string, params, result any) error {
	p.mu.Lock()
	pr, ok := p.peers[to]
	p.mu.Unlock()
	if !ok {
		return ErrNoLeader
	}
	conn, err := p.connect(pr, pr.ways[callLane(method)])
	if err != nil {
		return err
	}
	return conn.Call(ctx, method, params, result)
}

// dialOnce opens a connection for one call; the caller closes it.
func (p *peers) dialOnce(ctx context.Context, addr string) (*rpc.Conn, error) {
	return rpc.Dial(ctx, addr, p.sec, p.count, refuseAll)
}

func refuseAll(context.Context, *rpc.Conn, string, json.RawMessage) (any, error) {
	return nil, nil
}
