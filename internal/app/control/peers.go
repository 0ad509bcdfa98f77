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
	peerQueue   = 1024 // messages queued per link; more are dropped and resent by consensus
	redialPause = 100 * time.Millisecond
	// dialTimeout bounds a dial. During a partition the first packet of a dial is lost and
	// sent again only after a second: a short limit finds the healed path sooner.
	dialTimeout    = 400 * time.Millisecond
	maxPeerSilence = 2 * time.Second // a silent connection to a peer is closed and dialled again
)

// peers holds the outgoing connections to the other control hosts.
type peers struct {
	sec   rpc.Security
	count *rpc.ByteCounter
	self  consensus.NodeID
	log   zerolog.Logger
	waits *vm.Summary // seconds that messages wait until they are written
	// contactAddr returns the address at which a host was last contacted, which takes
	// precedence over the address in the log. Without this, hosts whose addresses all changed
	// while they were down never elect a leader, and only a leader can record the new
	// addresses in the log.
	contactAddr func(consensus.NodeID) (string, bool)

	mu      sync.Mutex
	peers   map[consensus.NodeID]*peer
	learned map[consensus.NodeID]consensus.Member // reported by the leader, beyond this host's own membership
}

// peer is one other control host.
type peer struct {
	addr  string
	links [classCount]*peerLink
	stop  chan struct{}
}

func newPeer(addr string) *peer {
	pr := &peer{addr: addr, stop: make(chan struct{})}
	for class := range pr.links {
		pr.links[class] = &peerLink{queue: make(chan queued, peerQueue)}
	}
	return pr
}

func newPeers(self consensus.NodeID, sec rpc.Security, count *rpc.ByteCounter, log zerolog.Logger, waits *vm.Summary, contactAddr func(consensus.NodeID) (string, bool)) *peers {
	return &peers{sec: sec, count: count, self: self, log: log, waits: waits, contactAddr: contactAddr, peers: map[consensus.NodeID]*peer{}}
}

// learn records the members that the leader reported. Without this, a host that
// joins never catches up: its log, or the first snapshot that it gets, names the
// members of an earlier time, so it cannot answer a leader that joined later.
func (p *peers) learn(ms []consensus.Member) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.learned = map[consensus.NodeID]consensus.Member{}
	for _, m := range ms {
		p.learned[m.ID] = m
	}
}

// update opens and closes connections to match the membership and the learned members.
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
		for _, link := range pr.links {
			go p.writeLoop(pr, link)
		}
	}
}

// addr returns the address of a member.
func (p *peers) addr(m consensus.Member) string {
	if addr, ok := p.contactAddr(m.ID); ok {
		return addr
	}
	return m.Addr
}

// send queues messages. A full queue drops them: consensus resends what matters.
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
		case pr.links[classOf(m)].queue <- queued{m, now}:
		default:
		}
	}
}

func (p *peers) close() {
	p.learn(nil)
	p.update(consensus.Membership{})
}

// writeLoop writes the queue of a link to its connection, several messages at a time if
// several are queued.
func (p *peers) writeLoop(pr *peer, link *peerLink) {
	defer link.disconnect()
	for {
		select {
		case <-pr.stop:
			return
		case first := <-link.queue:
			batch := link.collectBatch(first.msg)
			conn, err := p.connect(pr, link)
			if err != nil {
				pr.pause()
				continue
			}
			if err := conn.Notify(wire.MethodRaft, batch); err != nil {
				link.disconnect()
			}
			p.observeWait(pr, first, batch)
		}
	}
}

// observeWait measures how long the first message of a batch waited until it was written,
// and logs a wait over slowThreshold.
func (p *peers) observeWait(pr *peer, first queued, batch []consensus.Message) {
	waited := time.Since(first.at)
	p.waits.Update(waited.Seconds())
	if waited <= slowThreshold {
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
// this connection by itself, so a probe detects silence: a device between
// the two ends may have dropped a connection that still looks open.
func (p *peers) connect(pr *peer, link *peerLink) (*rpc.Conn, error) {
	link.dialling.Lock()
	defer link.dialling.Unlock()
	link.mu.Lock()
	conn := link.conn
	link.mu.Unlock()
	if conn != nil {
		select {
		case <-conn.Closed():
		default:
			return conn, nil
		}
	}
	ctx, cancel := context.WithTimeout(context.Background(), dialTimeout)
	defer cancel()
	conn, err := rpc.Dial(ctx, pr.addr, p.sec, p.count, ignoreCalls)
	if err != nil {
		return nil, err
	}
	link.mu.Lock()
	link.conn = conn
	link.mu.Unlock()
	go probe(conn)
	return conn, nil
}

// probe closes a connection that does not answer. It leaves a connection alone that is
// making progress with a large message, because the probe waits behind it.
func probe(conn *rpc.Conn) {
	t := time.NewTicker(maxPeerSilence / 2)
	defer t.Stop()
	for {
		select {
		case <-conn.Closed():
			return
		case <-t.C:
		}
		begin := time.Now()
		ctx, cancel := context.WithTimeout(context.Background(), maxPeerSilence/2)
		err := conn.Call(ctx, wire.MethodPing, nil, nil)
		cancel()
		if err != nil && !conn.SentChunkSince(begin) {
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
	conn, err := p.connect(pr, pr.links[classOfCall(method)])
	if err != nil {
		return err
	}
	return conn.Call(ctx, method, params, result)
}

// dialOnce opens a connection for one call; the caller closes it.
func (p *peers) dialOnce(ctx context.Context, addr string) (*rpc.Conn, error) {
	return rpc.Dial(ctx, addr, p.sec, p.count, ignoreCalls)
}

func ignoreCalls(context.Context, *rpc.Conn, string, json.RawMessage) (any, error) {
	return nil, nil
}
