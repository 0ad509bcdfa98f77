package entry

import (
	"context"
	"encoding/json"
	"sync"
	"time"

	"github.com/cassiapass/cassiapass/internal/adapter/rpc"
	"github.com/cassiapass/cassiapass/internal/core/ident"
	"github.com/cassiapass/cassiapass/internal/wire"
)

const (
	idleTimeout  = 30 * time.Second
	silenceLimit = 500 * time.Millisecond // a connection with runs is probed after this long without a message
	probeTimeout = time.Second            // a probed connection is closed if it does not answer within this
	dialTimeout  = time.Second            // to connect and authenticate
)

// pool holds one connection per agent address, dialled on demand.
type pool struct {
	sec       rpc.Security
	count     *rpc.ByteCounter
	onMessage func(method string, raw json.RawMessage)

	mu    sync.Mutex
	links map[string]*link
	done  chan struct{}
	in    inbounds
}

// inbounds returns the table of attempts that receive parts.
func (p *pool) inbounds() *inbounds { return &p.in }

// link is the connection to one agent, if any, with the number of runs that use
// it.
type link struct {
	mu       sync.Mutex // never held during I/O
	conn     *rpc.Conn
	dialing  *dial
	runs     int
	lastUsed time.Time
}

// dial is a connection attempt, shared by all requests for the same agent.
type dial struct {
	done chan struct{}
	conn *rpc.Conn
	err  error
}

func newPool(sec rpc.Security, count *rpc.ByteCounter, onMessage func(string, json.RawMessage)) *pool {
	p := &pool{sec: sec, count: count, onMessage: onMessage, links: map[string]*link{}, done: make(chan struct{})}
	go p.watch()
	return p
}

func (p *pool) close() {
	close(p.done)
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, l := range p.links {
		if l.conn != nil {
			l.conn.Close()
		}
	}
}

func (p *pool) link(addr string) *link {
	p.mu.Lock()
	defer p.mu.Unlock()
	l := p.links[addr]
	if l == nil {
		l = &link{}
		p.links[addr] = l
	}
	return l
}

// get returns an open connection to addr, dialling if there is none. An error
// means that nothing was sent.
func (p *pool) get(ctx context.Context, addr string) (*rpc.Conn, error) {
	conn, d := p.open(p.link(addr), addr)
	if conn != nil {
		return conn, nil
	}
	// All requests wait for the same dial, each within its own time limit. If
	// they dialled one after the other, a burst of requests for an endpoint that
	// accepts connections but never answers would wait for as many timeouts.
	select {
	case <-d.done:
		return d.conn, d.err
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

// open returns the open connection, or else the dial in progress, which it
// starts if there is none.
func (p *pool) open(l *link, addr string) (*rpc.Conn, *dial) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.lastUsed = time.Now()
	if l.conn != nil {
		select {
		case <-l.conn.Closed():
		default:
			return l.conn, nil
		}
	}
	if l.dialing == nil {
		l.dialing = &dial{done: make(chan struct{})}
		go p.dial(l, l.dialing, addr)
	}
	return nil, l.dialing
}

func (p *pool) dial(l *link, d *dial, addr string) {
	ctx, cancel := context.WithTimeout(context.Background(), dialTimeout)
	defer cancel()
	d.conn, d.err = rpc.Dial(ctx, addr, p.sec, p.count, func(_ context.Context, _ *rpc.Conn, method string, raw json.RawMessage) (any, error) {
		p.onMessage(method, raw)
		return nil, nil
	})
	l.mu.Lock()
	l.dialing = nil
	if d.err == nil {
		l.conn = d.conn
	}
	l.mu.Unlock()
	close(d.done)
}

// addRuns adds n to the number of runs on a connection. Only connections with
// runs are probed.
func (p *pool) addRuns(addr string, n int) {
	l := p.link(addr)
	l.mu.Lock()
	defer l.mu.Unlock()
	l.runs += n
	l.lastUsed = time.Now()
}

// watch probes silent connections that have runs and closes unused ones. When a
// middlebox drops the state of a connection, the connection stays silent
// permanently while new ones work; closing it makes its runs resume on a new
// one.
func (p *pool) watch() {
	t := time.NewTicker(silenceLimit / 2)
	defer t.Stop()
	for {
		select {
		case <-p.done:
			return
		case <-t.C:
		}
		p.mu.Lock()
		links := make(map[string]*link, len(p.links))
		for a, l := range p.links {
			links[a] = l
		}
		p.mu.Unlock()
		for _, l := range links {
			l.check(time.Now())
		}
	}
}

func (l *link) check(now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.conn == nil {
		return
	}
	if l.runs == 0 {
		if now.Sub(l.lastUsed) > idleTimeout {
			l.conn.Close()
			l.conn = nil
		}
		return
	}
	if now.Sub(l.conn.LastReceived()) > silenceLimit {
		go probe(l.conn)
	}
}

func probe(conn *rpc.Conn) {
	ctx, cancel := context.WithTimeout(context.Background(), probeTimeout)
	defer cancel()
	if err := conn.Call(ctx, wire.MethodPing, nil, nil); err != nil {
		conn.Close()
	}
}

// inbound queues the parts and the end received for one attempt.
type inbound struct {
	mu     sync.Mutex
	parts  []wire.Part
	end    *wire.End
	notify chan struct{}
}

func newInbound() *inbound { return &inbound{notify: make(chan struct{}, 1)} }

func (in *inbound) add(p wire.Part) {
	in.mu.Lock()
	in.parts = append(in.parts, p)
	in.mu.Unlock()
	in.signal()
}

func (in *inbound) finish(e wire.End) {
	in.mu.Lock()
	in.end = &e
	in.mu.Unlock()
	in.signal()
}

func (in *inbound) signal() {
	select {
	case in.notify <- struct{}{}:
	default:
	}
}

// take returns and removes what was received since the last call.
func (in *inbound) take() ([]wire.Part, *wire.End) {
	in.mu.Lock()
	defer in.mu.Unlock()
	parts, end := in.parts, in.end
	in.parts, in.end = nil, nil
	return parts, end
}

// inbounds maps attempts to their inbound.
type inbounds struct {
	mu        sync.RWMutex
	byAttempt map[ident.Attempt]*inbound
}

func (ib *inbounds) open(a ident.Attempt) *inbound {
	ib.mu.Lock()
	defer ib.mu.Unlock()
	if ib.byAttempt == nil {
		ib.byAttempt = map[ident.Attempt]*inbound{}
	}
	in := newInbound()
	ib.byAttempt[a] = in
	return in
}

func (ib *inbounds) close(a ident.Attempt) {
	ib.mu.Lock()
	defer ib.mu.Unlock()
	delete(ib.byAttempt, a)
}

func (ib *inbounds) find(a ident.Attempt) (*inbound, bool) {
	ib.mu.RLock()
	defer ib.mu.RUnlock()
	in, ok := ib.byAttempt[a]
	return in, ok
}
