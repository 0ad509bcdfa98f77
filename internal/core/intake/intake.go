// Package intake decides which clients keep what a process holds for them when memory or connections
// run short.
//
// A limit for one request bounds no process: it is multiplied by the connections that clients open. The
// Ledger therefore counts the bytes and connections of all clients together. When either runs short, it
// names the client to refuse: not the newest, which would shut ordinary callers out for as long as a crowd
// stays, but the one that has held most for longest without progress. Addresses say nothing, since a
// balancer may stand between clients and this process.
package intake

import (
	"container/list"
	"time"
)

// Limits bound what all clients of a process may hold together.
type Limits struct {
	Bytes int64 // memory for requests and answers
	Conns int   // open connections
}

// LargestRequest returns the bytes that one client may hold.
func (l Limits) LargestRequest() int64 { return l.Bytes - l.Bytes/smallShare }

// State is what a client does.
type State uint8

const (
	// New is a client whose first request has not begun to arrive.
	New State = iota
	// Idle is a client between two requests.
	Idle
	// Receiving is a client whose request arrives; it has not run.
	Receiving
	// Serving is a client whose request has arrived whole.
	Serving
	// Answering is a client that is being sent an answer.
	Answering
	// Leaving is a client that was refused and may read its refusal.
	Leaving
)

const (
	// smallRequest is the size in bytes up to which a client may use the whole memory.
	smallRequest = 256 << 10
	// smallShare is the part of the memory that is kept for small requests.
	smallShare = 4
	// minRate is the rate in bytes a second at which a client keeps up.
	minRate = 64 << 10
	// baseStall is added to the time without progress, so that of two clients that both make
	// progress the one that holds more is refused.
	baseStall = 250 * time.Millisecond
	// minWriteStall is the time without progress after which a client that does not read its
	// answer may be closed.
	minWriteStall = time.Second
)

// Client is what the Ledger knows of one connection. The zero Client is not open.
type Client struct {
	// Owner is the caller's own value for the connection.
	Owner any

	state   State
	held    int64
	mark    time.Time     // up to which it has kept up with minRate
	resting *list.Element // in the list of its state; nil while it has a request
	open    bool
	evicted bool
}

// Held returns the bytes that the client holds.
func (c *Client) Held() int64 { return c.held }

// Open reports whether the client's connection counts.
func (c *Client) Open() bool { return c.open }

// Evicted reports whether the client was named as one to refuse.
func (c *Client) Evicted() bool { return c.evicted }

// State returns what the client does.
func (c *Client) State() State { return c.state }

// stall returns for how long the client has not kept up.
func (c *Client) stall(now time.Time) time.Duration { return max(now.Sub(c.mark), 0) }

// weight returns the client's part in a shortage: bytes times seconds without progress. extra are bytes
// that it asks for.
func (c *Client) weight(extra int64, now time.Time) float64 {
	return float64(c.held+extra) * (c.stall(now) + baseStall).Seconds()
}

// evictable reports whether the client may be refused or closed in a shortage: a request that has arrived
// whole may have run, and its answer is still to come.
func (c *Client) evictable(now time.Time) bool {
	return c.state == Receiving || c.state == Answering && c.stall(now) >= minWriteStall
}

// Ledger counts what all clients hold. It is not safe for concurrent use.
type Ledger struct {
	limits  Limits
	used    int64
	conns   int
	resting [Leaving + 1]list.List // clients without a request, by state, the longest first
	active  map[*Client]struct{}   // clients with a request
}

// NewLedger returns a Ledger without clients.
func NewLedger(l Limits) *Ledger { return &Ledger{limits: l, active: map[*Client]struct{}{}} }

// Limits returns the limits.
func (l *Ledger) Limits() Limits { return l.limits }

// Used returns the bytes that all clients hold, and their connections.
func (l *Ledger) Used() (bytes int64, conns int) { return l.used, l.conns }

// Open adds a client. If connections run short, another client is to be closed for it; ok is false if
// there is none, and c is then not added.
func (l *Ledger) Open(c *Client, now time.Time) (closed *Client, ok bool) {
	if l.conns >= l.limits.Conns {
		if closed = l.leastUseful(now); closed == nil {
			return nil, false
		}
		l.evict(closed)
		l.Close(closed)
	}
	*c = Client{Owner: c.Owner, state: New, mark: now, open: true}
	c.resting = l.resting[New].PushBack(c)
	l.conns++
	return closed, true
}

// leastUseful returns the client whose connection is closed for another: one that was refused, one that
// never asked for anything, one between two requests, and last the one that stalls worst.
func (l *Ledger) leastUseful(now time.Time) *Client {
	for _, s := range []State{Leaving, New, Idle} {
		if e := l.resting[s].Front(); e != nil {
			return e.Value.(*Client)
		}
	}
	var worst *Client
	for c := range l.active {
		if c.evictable(now) && c.stall(now) > baseStall && (worst == nil || c.stall(now) > worst.stall(now)) {
			worst = c
		}
	}
	return worst
}

// Close removes a client with all that it holds.
func (l *Ledger) Close(c *Client) {
	if !c.open {
		return
	}
	l.used -= c.held
	l.leave(c)
	l.conns--
	c.held, c.open = 0, false
}

// SetState records what a client does from now on. One without a request holds nothing.
func (l *Ledger) SetState(c *Client, s State, now time.Time) {
	if !c.open {
		return
	}
	l.leave(c)
	c.state, c.mark = s, now
	if s == Receiving || s == Serving || s == Answering {
		l.active[c] = struct{}{}
		return
	}
	l.used -= c.held
	c.held = 0
	c.resting = l.resting[s].PushBack(c)
}

// leave removes a client from the set or list of its state.
func (l *Ledger) leave(c *Client) {
	if c.resting != nil {
		l.resting[c.state].Remove(c.resting)
		c.resting = nil
	}
	delete(l.active, c)
}

// Progress records that n bytes have moved on a client's connection.
func (l *Ledger) Progress(c *Client, n int, now time.Time) {
	c.mark = c.mark.Add(time.Duration(float64(n) / minRate * float64(time.Second)))
	if c.mark.After(now) {
		c.mark = now
	}
}

// Reserve adds n bytes to what a client holds. If memory runs short, other clients are to be refused for
// it; ok is false if the client itself is the one to refuse, and nothing is added.
func (l *Ledger) Reserve(c *Client, n int64, now time.Time) (refused []*Client, ok bool) {
	if c.evicted || !c.open {
		return nil, false
	}
	for l.used+n > l.capacity(c.held+n) {
		worst := l.heaviest(c, n, now)
		if worst == nil {
			return refused, false
		}
		l.evict(worst)
		refused = append(refused, worst)
	}
	l.used += n
	c.held += n
	return refused, true
}

// capacity returns the memory that a client may use a part of when it holds so much.
func (l *Ledger) capacity(held int64) int64 {
	if held <= smallRequest {
		return l.limits.Bytes
	}
	return l.limits.LargestRequest()
}

// heaviest returns the client with the greatest weight, nil if that is c with n bytes more.
func (l *Ledger) heaviest(c *Client, n int64, now time.Time) *Client {
	var worst *Client
	most := c.weight(n, now)
	for o := range l.active {
		if o == c || o.held == 0 || !o.evictable(now) {
			continue
		}
		if w := o.weight(0, now); w > most {
			worst, most = o, w
		}
	}
	return worst
}

// evict names a client as one to refuse. What it holds no longer counts.
func (l *Ledger) evict(c *Client) {
	l.used -= c.held
	c.held, c.evicted = 0, true
}

// Release subtracts n bytes from what a client holds.
func (l *Ledger) Release(c *Client, n int64) {
	n = min(n, c.held)
	l.used -= n
	c.held -= n
}
