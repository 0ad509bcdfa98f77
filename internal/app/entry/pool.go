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
	idleClose  = 30 * time.Second
	probeAfter = 500 * time.Millisecond // a connection with runs that is silent this long is probed
	probeWait  = time.Second            // and taken for dead after this without an answer
	dialWait   = time.Second            // to connect and prove the key
)

// pool holds one connection per agent address, dialled when it is needed.
type pool struct {
	sec    rpc.Security
	count  *rpc.Counter
	onPart func(method string, raw json.RawMessage)

	mu    sync.Mutex
	links map[string]*link
	done  chan struct{}
	in    inbounds
}

// inbounds returns where parts of attempts are taken in.
func (p *pool) inbounds() *inbounds { return &p.in }

// link is the connection to one agent, if any, and how many runs use it.
type link struct {
	mu      sync.Mutex // never held during I/O
	conn    *rpc.Conn
	dialing *dial
	users   int
	used    time.Time
}

// dial is an attempt to connect that every request for the same agent shares.
type dial struct {
	done chan struct{}
	conn *rpc.Conn
	err  error
}

func newPool(sec rpc.Security, count *rpc.Counter, onPart func(string, json.RawMessage)) *pool {
	p := &pool{sec: sec, count: count, onPart: onPart, links: map[string]*link{}, done: make(chan struct{})}
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
	// All wait for the same dial, each within its own time. One after the
	// other, a burst of requests for an endpoint that accepts connections but
	// answers nothing would wait for as many timeouts.
	select {
	case <-d.done:
		return d.conn, d.err
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

// open returns the open connection, or the dial under way.
func (p *pool) open(l *link, addr string) (*rpc.Conn, *dial) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.used = time.Now()
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
	ctx, cancel := context.WithTimeout(context.Background(), dialWait)
	defer cancel()
	d.conn, d.err = rpc.Dial(ctx, addr, p.sec, p.count, func(_ context.Context, _ *rpc.Conn, method string, raw json.RawMessage) (any, error) {
		p.onPart(method, raw)
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

// use counts runs on a connection: only those with runs are probed.
func (p *pool) use(addr string, n int) {
	l := p.link(addr)
	l.mu.Lock()
	defer l.mu.Unlock()
	l.users += n
	l.used = time.Now()
}

// watch probes connections with runs that went silent and closes unused ones.
// A connection that something between the ends has lost track of stays silent
// for good while new ones work; closing it makes its runs resume on a new one.
func (p *pool) watch() {
	t := time.NewTicker(probeAfter / 2)
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
	if l.users == 0 {
		if now.Sub(l.used) > idleClose {
			l.conn.Close()
			l.conn = nil
		}
		return
	}
	if now.Sub(l.conn.Heard()) > probeAfter {
		go probe(l.conn)
	}
}

func probe(conn *rpc.Conn) {
	ctx, cancel := context.WithTimeout(context.Background(), probeWait)
	defer cancel()
	if err := conn.Call(ctx, wire.MethodPing, nil, nil); err != nil {
		conn.Close()
	}
}

// inbound is where the parts of one attempt arrive.
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
	in.poke()
}

func (in *inbound) finish(e wire.End) {
	in.mu.Lock()
	in.end = &e
	in.mu.Unlock()
	in.poke()
}

func (in *inbound) poke() {
	select {
	case in.notify <- struct{}{}:
	default:
	}
}

// take returns what has arrived since the last call.
func (in *inbound) take() ([]wire.Part, *wire.End) {
	in.mu.Lock()
	defer in.mu.Unlock()
	parts, end := in.parts, in.end
	in.parts, in.end = nil, nil
	return parts, end
}

// inbounds finds the inbound of an attempt.
type inbounds struct {
	mu sync.RWMutex
	m  map[ident.Attempt]*inbound
}

func (ib *inbounds) open(a ident.Attempt) *inbound {
	ib.mu.Lock()
	defer ib.mu.Unlock()
	if ib.m == nil {
		ib.m = map[ident.Attempt]*inbound{}
	}
	in := newInbound()
	ib.m[a] = in
	return in
}

func (ib *inbounds) close(a ident.Attempt) {
	ib.mu.Lock()
	defer ib.mu.Unlock()
	delete(ib.m, a)
}

func (ib *inbounds) find(a ident.Attempt) (*inbound, bool) {
	ib.mu.RLock()
	defer ib.mu.RUnlock()
	in, ok := ib.m[a]
	return in, ok
}
