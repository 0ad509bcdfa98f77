package http1

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"os"
	"slices"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/cassiapass/cassiapass/internal/adapter/sockets"
)

// ErrNotSent means that no byte of a request was sent, so that the endpoint cannot
// have run it.
var ErrNotSent = errors.New("the request was not sent")

// ErrConnLimit means that the limit of connections to an endpoint is reached; the
// request was not sent.
var ErrConnLimit = errors.New("every connection to the endpoint is in use")

// ClientConn is one connection to an endpoint, in use by one request.
type ClientConn struct {
	nc          net.Conn
	in          *headLimit // reads from nc
	br          *bufio.Reader
	pool        *Pool
	addr        string
	write       requestWrite  // of the newest request
	idleDone    chan struct{} // closed when watchIdle has read
	idleErr     error         // error of watchIdle's read, valid once idleDone is closed
	idleSince   time.Time     // when the connection became idle
	idleTimeout time.Duration // the endpoint's idle timeout; 0 if it did not announce one
	closed      sync.Once
	unbind      func() bool // undoes AbortOn; false if the connection was aborted already
	request     uint64      // hash of the id of the request that it was taken for
	carried     []uint64    // hashes of the ids of the requests sent on it
	Reused      bool        // the connection has carried a request before
}

// headLimit reads from an endpoint, at most a number of bytes while a head is read.
type headLimit struct {
	r    io.Reader
	left int // bytes that may still come; negative for any number
}

// errHeadTooLarge means that an endpoint sends a head larger than maxAnswerHead.
var errHeadTooLarge = errors.New("the head of the answer is too large")

// Read implements io.Reader.
func (h *headLimit) Read(p []byte) (int, error) {
	if h.left < 0 {
		return h.r.Read(p)
	}
	if h.left == 0 {
		return 0, errHeadTooLarge
	}
	n, err := h.r.Read(p[:min(len(p), h.left)])
	h.left -= n
	return n, err
}

// Pool keeps idle connections to endpoints and limits the number of connections to each.
type Pool struct {
	dialTimeout time.Duration

	mu        sync.Mutex
	idle      map[string][]*ClientConn // most recently used last
	connCount map[string]int           // number of connections by address, in use and idle
	dialed    uint64

	unexpected atomic.Uint64 // idle connections on which bytes arrived
}

const (
	clientBuffer = 4 << 10
	// maxAnswerHead bounds the head of an answer with all informational ones before it.
	maxAnswerHead = 64 << 10
	// keepMargin is subtracted from the endpoint's idle timeout, so that the
	// endpoint does not close a connection while a request is sent on it.
	keepMargin = time.Second
	// maxCarried is the number of requests after which a connection is closed; it bounds the ids
	// that are kept.
	maxCarried = 256
	// defaultIdleTimeout is how long a connection stays idle if the endpoint
	// announces no timeout.
	defaultIdleTimeout = 4 * time.Second
)

// NewPool returns an empty Pool.
func NewPool(dialTimeout time.Duration) *Pool {
	return &Pool{dialTimeout: dialTimeout, idle: map[string][]*ClientConn{}, connCount: map[string]int{}}
}

// Get returns an idle or a new connection to addr for the request with an id. The connection has
// never carried that id: an endpoint may repeat an answer late, and what tells whose answer it is
// is the id alone. Every error means that nothing was sent. maxConns limits the number of
// connections to addr.
func (p *Pool) Get(ctx context.Context, addr string, maxConns int, id string) (*ClientConn, error) {
	request := xxhash.Sum64String(id)
	for {
		c := p.popIdle(addr, func(c *ClientConn) bool { return !slices.Contains(c.carried, request) })
		if c == nil {
			break
		}
		if c.usable() {
			c.Reused, c.request = true, request
			return c, nil
		}
		c.Close()
	}
	if !p.reserveOrReplace(addr, maxConns) {
		return nil, errors.Join(ErrNotSent, ErrConnLimit)
	}
	d := sockets.BoundedDialer(p.dialTimeout)
	nc, err := d.DialContext(ctx, "tcp", addr)
	if err != nil {
		p.release(addr)
		return nil, errors.Join(ErrNotSent, err)
	}
	in := &headLimit{r: nc, left: -1}
	return &ClientConn{nc: nc, in: in, br: bufio.NewReaderSize(in, clientBuffer), pool: p, addr: addr, request: request}, nil
}

// popIdle takes the idle connection that was used last of those for which fits returns true; nil if
// there is none.
func (p *Pool) popIdle(addr string, fits func(*ClientConn) bool) *ClientConn {
	p.mu.Lock()
	defer p.mu.Unlock()
	cs := p.idle[addr]
	for i := len(cs) - 1; i >= 0; i-- {
		if c := cs[i]; fits(c) {
			p.idle[addr] = slices.Delete(cs, i, i+1)
			return c
		}
	}
	return nil
}

// reserveOrReplace counts a new connection, in the place of an idle one if the limit is reached.
func (p *Pool) reserveOrReplace(addr string, maxConns int) bool {
	if p.reserve(addr, maxConns) {
		return true
	}
	c := p.popIdle(addr, func(*ClientConn) bool { return true })
	if c == nil {
		return false
	}
	_ = c.usable() // ends its watch
	c.Close()
	return p.reserve(addr, maxConns)
}

func (p *Pool) reserve(addr string, maxConns int) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.connCount[addr] >= maxConns {
		return false
	}
	p.connCount[addr]++
	p.dialed++
	return true
}

func (p *Pool) release(addr string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.connCount[addr]--; p.connCount[addr] <= 0 {
		delete(p.connCount, addr)
	}
}

// Dialed returns the number of connections dialled so far.
func (p *Pool) Dialed() uint64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.dialed
}

// Unexpected returns the number of idle connections closed so far because bytes arrived that answer no
// request.
func (p *Pool) Unexpected() uint64 { return p.unexpected.Load() }

// Sweep closes idle connections that the endpoints are about to close, and all those
// to addresses for which keep returns false.
func (p *Pool) Sweep(keep func(addr string) bool) {
	var toClose []*ClientConn
	p.mu.Lock()
	for addr, cs := range p.idle {
		var kept []*ClientConn
		for _, c := range cs {
			if keep(addr) && c.withinIdleTimeout() {
				kept = append(kept, c)
				continue
			}
			toClose = append(toClose, c)
		}
		if len(kept) == 0 {
			delete(p.idle, addr)
			continue
		}
		p.idle[addr] = kept
	}
	p.mu.Unlock()
	for _, c := range toClose {
		c.Close()
	}
}

func (c *ClientConn) withinIdleTimeout() bool {
	timeout := defaultIdleTimeout
	if c.idleTimeout > 0 {
		timeout = c.idleTimeout - keepMargin
	}
	return time.Since(c.idleSince) < timeout
}

// usable ends the watch of an idle connection and reports whether it may be used,
// that is, whether the endpoint has neither closed it nor sent anything on it.
func (c *ClientConn) usable() bool {
	_ = c.nc.SetReadDeadline(past)
	<-c.idleDone
	if !errors.Is(c.idleErr, os.ErrDeadlineExceeded) || !c.withinIdleTimeout() {
		return false
	}
	return c.nc.SetReadDeadline(time.Time{}) == nil
}

// Sends returns how often the id of the request that the connection was taken for was sent on it.
func (c *ClientConn) Sends() int {
	n := 0
	for _, r := range c.carried {
		if r == c.request {
			n++
		}
	}
	return n
}

// LocalAddr returns the local address of the connection.
func (c *ClientConn) LocalAddr() string { return c.nc.LocalAddr().String() }

// AbortOn makes the end of ctx abort every operation on the connection, until the
// connection is closed or returned to the pool. The binding ends before the
// connection is in the pool: otherwise a caller that hangs up just after its answer
// would abort the next request on the connection and leave it in doubt, which
// happened to 1 to 3 of 3,200 streams with callers that close at once.
func (c *ClientConn) AbortOn(ctx context.Context) {
	c.unbind = context.AfterFunc(ctx, func() { _ = c.nc.Close() })
}

// unbindContext undoes AbortOn and reports whether the connection was not aborted.
func (c *ClientConn) unbindContext() bool { return c.unbind == nil || c.unbind() }

// Close closes the connection; an endpoint then drops the request it carries.
func (c *ClientConn) Close() {
	c.unbindContext()
	c.closed.Do(func() {
		_ = c.nc.Close()
		c.pool.release(c.addr)
	})
}

// Keep returns the connection to its pool after a complete response. It closes the
// connection instead if the request is not fully written or unread bytes remain.
func (c *ClientConn) Keep() {
	if !c.unbindContext() {
		c.Close()
		return
	}
	c.unbind = nil
	// If the response came before the request was written to its end, the endpoint would read the rest as
	// the next request.
	if c.write.result() != nil {
		c.Close()
		return
	}
	if c.br.Buffered() > 0 || len(c.carried) >= maxCarried {
		c.Close()
		return
	}
	if c.br.Size() > clientBuffer {
		c.br = bufio.NewReaderSize(c.in, clientBuffer)
	}
	c.idleSince = time.Now()
	c.idleDone = make(chan struct{})
	go c.watchIdle()
	c.pool.mu.Lock()
	c.pool.idle[c.addr] = append(c.pool.idle[c.addr], c)
	c.pool.mu.Unlock()
}

// Return returns a connection on which nothing was sent since Get to its pool.
func (c *ClientConn) Return() { c.Keep() }

// watchIdle closes an idle connection as soon as the endpoint closes it or sends
// bytes that belong to no request.
func (c *ClientConn) watchIdle() {
	_, err := c.br.Peek(1)
	c.idleErr = err
	if err == nil {
		c.pool.unexpected.Add(1)
	}
	close(c.idleDone)
	if errors.Is(err, os.ErrDeadlineExceeded) {
		return // taken from the pool for a request
	}
	if c.pool.remove(c) {
		c.Close()
	}
}

// remove removes c from the idle list; false if it is in use already.
func (p *Pool) remove(c *ClientConn) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	for i, o := range p.idle[c.addr] {
		if o == c {
			p.idle[c.addr] = append(p.idle[c.addr][:i], p.idle[c.addr][i+1:]...)
			return true
		}
	}
	return false
}

// Send writes a request. A large one is written in the background while the response
// is read: an endpoint may answer before it has read a long body, and otherwise both
// sides would wait for each other.
func (c *ClientConn) Send(method, target, host string, h http.Header, body []byte) {
	c.carried = append(c.carried, c.request)
	b := make([]byte, 0, 512+len(body))
	b = append(b, method...)
	b = append(b, ' ')
	b = append(b, target...)
	b = append(b, " HTTP/1.1\r\nHost: "...)
	b = append(b, host...)
	b = append(b, "\r\n"...)
	b = appendFields(b, h)
	if len(body) > 0 || method == http.MethodPost || method == http.MethodPut || method == http.MethodPatch {
		b = append(b, "Content-Length: "...)
		b = strconv.AppendInt(b, int64(len(body)), 10)
		b = append(b, "\r\n"...)
	}
	b = append(b, "\r\n"...)
	b = append(b, body...)
	c.write.reset()
	if len(b) <= inlineWrite {
		c.write.run(c.nc, b)
		return
	}
	go c.write.run(c.nc, b)
}

// inlineWrite is a size in bytes that fits every socket's send buffer: a write up to
// it never waits for the endpoint and needs no goroutine.
const inlineWrite = 8 << 10
