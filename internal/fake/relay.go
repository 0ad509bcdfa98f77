package fake

import (
	"net"
	"sync"
	"sync/atomic"
	"time"
)

// Relay passes TCP connections on to a target and can misbehave like something
// between two hosts: connections that are open go silent while new ones work,
// everything goes silent, or everything is cut.
type Relay struct {
	target string
	l      net.Listener

	deaf  atomic.Bool  // nothing passes, old or new, both ways
	mute  atomic.Bool  // nothing passes back from the target
	delay atomic.Int64 // nanoseconds added to every piece
	link  atomic.Pointer[Link]
	mu    sync.Mutex
	pairs map[*pair]struct{}
}

// pair is one relayed connection.
type pair struct {
	a, b   net.Conn
	silent atomic.Bool
}

const (
	piece = 32 << 10 // bytes passed on at a time
	// linkPiece is that on a Link: a connection waits for at most one such piece of
	// each other one before it has its turn.
	linkPiece = 16 << 10
	// linkWindow bounds what each socket before or behind a Link buffers in the kernel.
	linkWindow = 64 << 10
)

// Link is a line of limited rate. The connections of all relays that share it have
// turns in the order in which their pieces arrive.
type Link struct {
	rate float64 // bytes per second
	mu   sync.Mutex
	free time.Time // when all that is booked has passed
}

// NewLink returns a Link that nothing waits for.
func NewLink(bytesPerSecond float64) *Link { return &Link{rate: bytesPerSecond} }

// pass books n bytes behind all that is booked already and returns when they have
// passed.
func (l *Link) pass(n int) {
	l.mu.Lock()
	if now := time.Now(); l.free.Before(now) {
		l.free = now
	}
	l.free = l.free.Add(time.Duration(float64(n) / l.rate * float64(time.Second)))
	end := l.free
	l.mu.Unlock()
	time.Sleep(time.Until(end))
}

// NewRelay starts a Relay to target on a free loopback port.
func NewRelay(target string) (*Relay, error) { return NewRelayAt("127.0.0.1:0", target) }

// NewRelayAt starts a Relay to target at an address.
func NewRelayAt(addr, target string) (*Relay, error) {
	l, err := net.Listen("tcp", addr)
	if err != nil {
		return nil, err
	}
	r := &Relay{target: target, l: l, pairs: map[*pair]struct{}{}}
	go r.accept()
	return r, nil
}

// Addr returns the address to connect to.
func (r *Relay) Addr() string { return r.l.Addr().String() }

// SetTarget changes where new connections lead.
func (r *Relay) SetTarget(t string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.target = t
}

// SetDeaf makes everything silent, or lets it pass again. Connections that were
// silenced stay so.
func (r *Relay) SetDeaf(on bool) {
	r.deaf.Store(on)
	if on {
		r.SilenceOpen()
	}
}

// SetMute makes the target's side silent while what is sent to it arrives, or ends
// that: a path that is cut one way.
func (r *Relay) SetMute(on bool) { r.mute.Store(on) }

// Reset ends the open connections with a reset.
func (r *Relay) Reset() {
	r.mu.Lock()
	defer r.mu.Unlock()
	for p := range r.pairs {
		for _, c := range []net.Conn{p.a, p.b} {
			if t, ok := c.(*net.TCPConn); ok {
				_ = t.SetLinger(0)
			}
		}
		p.close()
	}
}

// SetDelay delays every piece.
func (r *Relay) SetDelay(d time.Duration) { r.delay.Store(int64(d)) }

// SetLink makes connections that are opened from now on share a Link, both ways;
// nil is no limit.
func (r *Relay) SetLink(l *Link) { r.link.Store(l) }

// SilenceOpen makes the open connections silent for good; new ones work.
func (r *Relay) SilenceOpen() {
	r.mu.Lock()
	defer r.mu.Unlock()
	for p := range r.pairs {
		p.silent.Store(true)
	}
}

// Cut closes the open connections.
func (r *Relay) Cut() {
	r.mu.Lock()
	defer r.mu.Unlock()
	for p := range r.pairs {
		p.close()
	}
}

// Close stops the relay.
func (r *Relay) Close() {
	_ = r.l.Close()
	r.Cut()
}

func (p *pair) close() {
	_ = p.a.Close()
	if p.b != nil {
		_ = p.b.Close()
	}
}

func (r *Relay) accept() {
	for {
		a, err := r.l.Accept()
		if err != nil {
			return
		}
		go r.serve(a)
	}
}

func (r *Relay) serve(a net.Conn) {
	p := &pair{a: a}
	if r.deaf.Load() {
		p.silent.Store(true)
	}
	r.mu.Lock()
	target := r.target
	r.mu.Unlock()
	b, err := net.Dial("tcp", target)
	if err != nil {
		_ = a.Close()
		return
	}
	p.b = b
	link := r.link.Load()
	if link != nil {
		narrow(a)
		narrow(b)
	}
	r.mu.Lock()
	r.pairs[p] = struct{}{}
	r.mu.Unlock()
	done := make(chan struct{}, 2)
	go r.copy(p, link, a, b, func() bool { return false }, done)
	go r.copy(p, link, b, a, r.mute.Load, done)
	<-done
	if p.silent.Load() {
		// The other end is not told either: it waits in silence.
		<-done
	}
	p.close()
	r.mu.Lock()
	delete(r.pairs, p)
	r.mu.Unlock()
}

// narrow bounds what a socket buffers. With the kernel's own bounds most of a large
// message would leave its sender at once, and the Link would delay nobody.
func narrow(c net.Conn) {
	if t, ok := c.(*net.TCPConn); ok {
		_ = t.SetReadBuffer(linkWindow)
		_ = t.SetWriteBuffer(linkWindow)
	}
}

// copy passes bytes on until one side ends; cut tells whether this way is cut now.
func (r *Relay) copy(p *pair, link *Link, from, to net.Conn, cut func() bool, done chan<- struct{}) {
	defer func() { done <- struct{}{} }()
	buf := make([]byte, piece)
	if link != nil {
		buf = buf[:linkPiece]
	}
	for {
		n, err := from.Read(buf)
		if n > 0 && link != nil {
			link.pass(n)
		}
		if d := r.delay.Load(); d > 0 {
			time.Sleep(time.Duration(d))
		}
		if n > 0 && cut() {
			p.silent.Store(true) // what was lost leaves a gap: nothing may follow
		}
		if n > 0 && !p.silent.Load() && !r.deaf.Load() {
			if _, werr := to.Write(buf[:n]); werr != nil {
				return
			}
		}
		if err != nil {
			return
		}
	}
}
