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
	mu    sync.Mutex
	pairs map[*pair]struct{}
}

// pair is one relayed connection.
type pair struct {
	a, b   net.Conn
	silent atomic.Bool
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
	r.mu.Lock()
	r.pairs[p] = struct{}{}
	r.mu.Unlock()
	done := make(chan struct{}, 2)
	go r.copy(p, a, b, func() bool { return false }, done)
	go r.copy(p, b, a, r.mute.Load, done)
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

// copy passes bytes on until one side ends; cut tells whether this way is cut now.
func (r *Relay) copy(p *pair, from, to net.Conn, cut func() bool, done chan<- struct{}) {
	defer func() { done <- struct{}{} }()
	buf := make([]byte, 32<<10)
	for {
		n, err := from.Read(buf)
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
