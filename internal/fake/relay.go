package fake

import (
	"net"
	"sync"
	"sync/atomic"
	"time"
)

// Relay forwards TCP connections to a target and injects faults of a network path:
// open connections go silent while new ones work, all connections go silent, replies
// are lost, or all connections are closed or reset. It also adds delay and limits rate.
type Relay struct {
	target   string
	listener net.Listener

	dropAll     atomic.Bool  // drop all data, both ways, on open and new connections
	dropReplies atomic.Bool  // drop all data from the target
	delay       atomic.Int64 // nanoseconds added to every chunk
	cut         atomic.Pointer[func(net.Addr) bool]
	link        atomic.Pointer[Link]
	mu          sync.Mutex
	pairs       map[*pair]struct{}
}

// pair is one relayed connection.
type pair struct {
	client, upstream net.Conn
	silent           atomic.Bool
}

const (
	chunkSize = 32 << 10 // bytes forwarded at a time
	// linkChunkSize is the number of bytes forwarded at a time on a Link: before its
	// turn a connection waits for at most one such chunk of each other connection.
	linkChunkSize = 16 << 10
	// linkWindow bounds the kernel's buffers of each socket on both sides of a Link.
	linkWindow = 64 << 10
)

// Link is a shared link of limited rate. The connections of all relays that use it
// send in the order in which their chunks arrive.
type Link struct {
	rate      float64 // bytes per second
	mu        sync.Mutex
	busyUntil time.Time // when all reserved bytes have passed
}

// NewLink returns an idle Link.
func NewLink(bytesPerSecond float64) *Link { return &Link{rate: bytesPerSecond} }

// pass reserves n bytes after all earlier reservations and blocks until they have
// passed.
func (l *Link) pass(n int) {
	l.mu.Lock()
	if now := time.Now(); l.busyUntil.Before(now) {
		l.busyUntil = now
	}
	l.busyUntil = l.busyUntil.Add(time.Duration(float64(n) / l.rate * float64(time.Second)))
	end := l.busyUntil
	l.mu.Unlock()
	time.Sleep(time.Until(end))
}

// NewRelay starts a Relay to target on a free loopback port.
func NewRelay(target string) (*Relay, error) { return NewRelayAt("127.0.0.1:0", target) }

// NewRelayAt starts a Relay to target that listens on addr.
func NewRelayAt(addr, target string) (*Relay, error) {
	l, err := net.Listen("tcp", addr)
	if err != nil {
		return nil, err
	}
	r := &Relay{target: target, listener: l, pairs: map[*pair]struct{}{}}
	go r.accept()
	return r, nil
}

// Addr returns the address to connect to.
func (r *Relay) Addr() string { return r.listener.Addr().String() }

// SetTarget changes the target of new connections.
func (r *Relay) SetTarget(t string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.target = t
}

// SetDropAll makes all connections silent, or ends that. Connections that were silenced
// stay silent.
func (r *Relay) SetDropAll(on bool) {
	r.dropAll.Store(on)
	if on {
		r.SilenceConns()
	}
}

// SetCut makes open and new connections silent whose clients have an address for which of returns true; nil
// ends that. Connections that were silenced stay silent.
func (r *Relay) SetCut(of func(client net.Addr) bool) {
	if of == nil {
		r.cut.Store(nil)
		return
	}
	r.cut.Store(&of)
	r.mu.Lock()
	defer r.mu.Unlock()
	for p := range r.pairs {
		if of(p.client.RemoteAddr()) {
			p.silent.Store(true)
		}
	}
}

// SetDropReplies drops the data from the target while data to it still arrives, or ends that.
// It simulates a path that fails in one direction.
func (r *Relay) SetDropReplies(on bool) { r.dropReplies.Store(on) }

// Reset closes the open connections with a TCP reset.
func (r *Relay) Reset() {
	r.mu.Lock()
	defer r.mu.Unlock()
	for p := range r.pairs {
		for _, c := range []net.Conn{p.client, p.upstream} {
			if t, ok := c.(*net.TCPConn); ok {
				_ = t.SetLinger(0)
			}
		}
		p.close()
	}
}

// SetDelay delays every chunk by d.
func (r *Relay) SetDelay(d time.Duration) { r.delay.Store(int64(d)) }

// SetLink makes new connections share a Link in both directions; nil means no limit.
func (r *Relay) SetLink(l *Link) { r.link.Store(l) }

// SilenceConns makes the open connections silent permanently; new ones work.
func (r *Relay) SilenceConns() {
	r.mu.Lock()
	defer r.mu.Unlock()
	for p := range r.pairs {
		p.silent.Store(true)
	}
}

// CloseConns closes the open connections.
func (r *Relay) CloseConns() {
	r.mu.Lock()
	defer r.mu.Unlock()
	for p := range r.pairs {
		p.close()
	}
}

// Close stops the relay and closes its connections.
func (r *Relay) Close() {
	_ = r.listener.Close()
	r.CloseConns()
}

func (p *pair) close() {
	_ = p.client.Close()
	if p.upstream != nil {
		_ = p.upstream.Close()
	}
}

func (r *Relay) accept() {
	for {
		client, err := r.listener.Accept()
		if err != nil {
			return
		}
		go r.serve(client)
	}
}

func (r *Relay) serve(client net.Conn) {
	p := &pair{client: client}
	if cut := r.cut.Load(); r.dropAll.Load() || cut != nil && (*cut)(client.RemoteAddr()) {
		p.silent.Store(true)
	}
	r.mu.Lock()
	target := r.target
	r.mu.Unlock()
	upstream, err := net.Dial("tcp", target)
	if err != nil {
		_ = client.Close()
		return
	}
	p.upstream = upstream
	link := r.link.Load()
	if link != nil {
		limitBuffers(client)
		limitBuffers(upstream)
	}
	r.mu.Lock()
	r.pairs[p] = struct{}{}
	r.mu.Unlock()
	done := make(chan struct{}, 2)
	go r.copy(p, link, client, upstream, func() bool { return false }, done)
	go r.copy(p, link, upstream, client, r.dropReplies.Load, done)
	<-done
	if p.silent.Load() {
		// The other end must not see the close: its connection stays silent.
		<-done
	}
	p.close()
	r.mu.Lock()
	delete(r.pairs, p)
	r.mu.Unlock()
}

// limitBuffers bounds the buffers of a socket. With the kernel's own bounds a sender
// could write most of a large message at once, and the Link would not delay it.
func limitBuffers(c net.Conn) {
	if t, ok := c.(*net.TCPConn); ok {
		_ = t.SetReadBuffer(linkWindow)
		_ = t.SetWriteBuffer(linkWindow)
	}
}

// copy forwards bytes until one side ends. drop reports whether this direction is cut
// at present.
func (r *Relay) copy(p *pair, link *Link, from, to net.Conn, drop func() bool, done chan<- struct{}) {
	defer func() { done <- struct{}{} }()
	buf := make([]byte, chunkSize)
	if link != nil {
		buf = buf[:linkChunkSize]
	}
	for {
		n, err := from.Read(buf)
		if n > 0 && link != nil {
			link.pass(n)
		}
		if d := r.delay.Load(); d > 0 {
			time.Sleep(time.Duration(d))
		}
		if n > 0 && drop() {
			p.silent.Store(true) // dropped data leaves a gap, so that nothing may follow it
		}
		if n > 0 && !p.silent.Load() && !r.dropAll.Load() {
			if _, werr := to.Write(buf[:n]); werr != nil {
				return
			}
		}
		if err != nil {
			return
		}
	}
}
