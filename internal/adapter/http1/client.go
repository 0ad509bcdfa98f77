package http1

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/cassiapass/cassiapass/internal/adapter/sockets"
)

// ErrUnsent tells that no byte of a request left: the endpoint cannot have run
// it.
var ErrUnsent = errors.New("the request was not sent")

// ErrFull tells that the bound on connections to an endpoint is reached; the
// request was not sent.
var ErrFull = errors.New("every connection to the endpoint is in use")

// ClientConn is one connection to an endpoint, in use by one request.
type ClientConn struct {
	nc     net.Conn
	br     *bufio.Reader
	pool   *Pool
	addr   string
	wrote  chan error    // result of the write under way
	idle   chan struct{} // closed when the watch of the idle connection returned
	result error         // of that watch
	since  time.Time     // of becoming idle
	keep   time.Duration // the endpoint closes idle connections after this; 0 if not told
	closed sync.Once
	unbind func() bool // ends what Bind began; false if it has struck already
	Reused bool        // it has carried a request before
}

// Pool keeps idle connections to endpoints and bounds how many there are.
type Pool struct {
	dialTimeout time.Duration

	mu     sync.Mutex
	idle   map[string][]*ClientConn // last used last
	open   map[string]int           // in use and idle
	dialed uint64
}

const (
	clientBuffer = 4 << 10
	// keepMargin is taken off the endpoint's own idle timeout, so that a
	// request never crosses the endpoint's close.
	keepMargin = time.Second
	// keepUntold is how long a connection is kept if the endpoint does not say.
	keepUntold = 4 * time.Second
)

// NewPool returns an empty Pool.
func NewPool(dialTimeout time.Duration) *Pool {
	return &Pool{dialTimeout: dialTimeout, idle: map[string][]*ClientConn{}, open: map[string]int{}}
}

// Get returns a connection to addr, kept or new. Every error means that nothing
// was sent. most bounds the connections to addr.
func (p *Pool) Get(ctx context.Context, addr string, most int) (*ClientConn, error) {
	for {
		c := p.take(addr)
		if c == nil {
			break
		}
		if c.fresh() {
			c.Reused = true
			return c, nil
		}
		c.Close()
	}
	if !p.reserve(addr, most) {
		return nil, errors.Join(ErrUnsent, ErrFull)
	}
	d := sockets.Dialer(p.dialTimeout)
	nc, err := d.DialContext(ctx, "tcp", addr)
	if err != nil {
		p.release(addr)
		return nil, errors.Join(ErrUnsent, err)
	}
	return &ClientConn{nc: nc, br: bufio.NewReaderSize(nc, clientBuffer), pool: p, addr: addr}, nil
}

func (p *Pool) take(addr string) *ClientConn {
	p.mu.Lock()
	defer p.mu.Unlock()
	cs := p.idle[addr]
	if len(cs) == 0 {
		return nil
	}
	c := cs[len(cs)-1]
	p.idle[addr] = cs[:len(cs)-1]
	return c
}

func (p *Pool) reserve(addr string, most int) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.open[addr] >= most {
		return false
	}
	p.open[addr]++
	p.dialed++
	return true
}

func (p *Pool) release(addr string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.open[addr]--; p.open[addr] <= 0 {
		delete(p.open, addr)
	}
}

// Dialed returns how many connections were opened.
func (p *Pool) Dialed() uint64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.dialed
}

// Sweep closes idle connections that the endpoints are about to close, and all
// to addresses that keep does not name.
func (p *Pool) Sweep(keep func(addr string) bool) {
	var drop []*ClientConn
	p.mu.Lock()
	for addr, cs := range p.idle {
		var stay []*ClientConn
		for _, c := range cs {
			if keep(addr) && c.lasts() {
				stay = append(stay, c)
				continue
			}
			drop = append(drop, c)
		}
		if len(stay) == 0 {
			delete(p.idle, addr)
			continue
		}
		p.idle[addr] = stay
	}
	p.mu.Unlock()
	for _, c := range drop {
		c.Close()
	}
}

func (c *ClientConn) lasts() bool {
	keep := keepUntold
	if c.keep > 0 {
		keep = c.keep - keepMargin
	}
	return time.Since(c.since) < keep
}

// fresh ends the watch of an idle connection and reports whether it may be
// used: neither closed nor sent anything by the endpoint.
func (c *ClientConn) fresh() bool {
	_ = c.nc.SetReadDeadline(past)
	<-c.idle
	if !errors.Is(c.result, os.ErrDeadlineExceeded) || !c.lasts() {
		return false
	}
	return c.nc.SetReadDeadline(time.Time{}) == nil
}

// Bind makes the end of ctx abort every operation on the connection, until the
// connection is closed or kept. The bond ends before the connection is in the
// pool: otherwise a caller that hangs up just after its answer would abort the
// request that uses the connection next, which then is in doubt. Seen as 1 to 3
// of 3,200 streams on callers that close at once.
func (c *ClientConn) Bind(ctx context.Context) {
	c.unbind = context.AfterFunc(ctx, func() { _ = c.nc.Close() })
}

// release ends the bond of Bind; false if the connection was aborted.
func (c *ClientConn) release() bool { return c.unbind == nil || c.unbind() }

// Close closes the connection; an endpoint then drops the request it carries.
func (c *ClientConn) Close() {
	c.release()
	c.closed.Do(func() {
		_ = c.nc.Close()
		c.pool.release(c.addr)
	})
}

// Keep returns the connection to its pool after a whole response. It is closed
// instead if anything is left on it that belongs to no request.
func (c *ClientConn) Keep() {
	if !c.release() {
		c.Close()
		return
	}
	c.unbind = nil
	select {
	case err := <-c.wrote:
		if err != nil {
			c.Close()
			return
		}
	default:
		// The response came before the request was read to its end: the rest
		// would be taken for the next request.
		c.Close()
		return
	}
	if c.br.Buffered() > 0 {
		c.Close()
		return
	}
	c.since = time.Now()
	c.idle = make(chan struct{})
	go c.watchIdle()
	c.pool.mu.Lock()
	c.pool.idle[c.addr] = append(c.pool.idle[c.addr], c)
	c.pool.mu.Unlock()
}

// watchIdle notices at once that an idle connection has ended or that bytes
// arrive which no request asked for.
func (c *ClientConn) watchIdle() {
	_, err := c.br.Peek(1)
	c.result = err
	close(c.idle)
	if errors.Is(err, os.ErrDeadlineExceeded) {
		return // taken for a request
	}
	if c.pool.remove(c) {
		c.Close()
	}
}

// remove takes c out of the idle list; false if it is in use already.
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

// Send writes a request. The write goes on in the background while the response
// is read: an endpoint may answer before it has read a long body, and both
// sides would wait for each other.
func (c *ClientConn) Send(method, target, host string, h http.Header, body []byte) {
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
	c.wrote = make(chan error, 1)
	if len(b) <= inlineWrite {
		_, err := c.nc.Write(b)
		c.wrote <- err
		return
	}
	go func() {
		_, err := c.nc.Write(b)
		c.wrote <- err
	}()
}

// inlineWrite is what fits every socket's send buffer: such a write never
// waits for the endpoint and needs no goroutine.
const inlineWrite = 8 << 10

// Response is the head of an endpoint's response with its body to be read.
type Response struct {
	Status int
	Header http.Header
	Body   io.Reader
	Length int64 // -1 if not known
	Framed bool  // its end is told, not only shown by the end of the connection
	reuse  bool
	conn   *ClientConn
}

// Receive reads the head of the next response; interim ones are skipped.
func (c *ClientConn) Receive(method string) (*Response, error) {
	req := &http.Request{Method: method}
	for {
		r, err := http.ReadResponse(c.br, req)
		if err != nil {
			return nil, err
		}
		if r.StatusCode >= 100 && r.StatusCode < 200 {
			continue
		}
		if s, ok := strings.CutPrefix(r.Header.Get("Keep-Alive"), "timeout="); ok {
			if n, err := strconv.Atoi(s); err == nil {
				c.keep = time.Duration(n) * time.Second
			}
		}
		framed := r.ContentLength >= 0 || len(r.TransferEncoding) > 0
		return &Response{Status: r.StatusCode, Header: r.Header, Body: r.Body, Length: r.ContentLength, Framed: framed, reuse: framed && !r.Close, conn: c}, nil
	}
}

// Done returns the connection after the body was read to its end: to the pool
// if it can carry another request.
func (r *Response) Done() {
	if !r.reuse {
		r.conn.Close()
		return
	}
	r.conn.Keep()
}

// Drop closes the connection without reading the rest of the body; the endpoint
// then stops its work on the request.
func (r *Response) Drop() { r.conn.Close() }
