package httpserver

import (
	"context"
	"crypto/tls"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/cassiapass/cassiapass/internal/adapter/clients"
	"github.com/cassiapass/cassiapass/internal/adapter/sockets"
	"github.com/cassiapass/cassiapass/internal/core/intake"
)

const (
	// requestBytes is what a request takes beside its head and its body: stacks, buffers and its state.
	requestBytes = 24 << 10
	// headBytesFactor is how many bytes are counted for each byte of a head until it has been parsed: as
	// many as it takes if its fields are as small as can be.
	headBytesFactor = 40
	// refusalTimeout bounds the write of a refusal to a connection that is closed after it.
	refusalTimeout = 100 * time.Millisecond
	// lingerTime and lingerBytes bound what is read of a refused request after its refusal: a connection
	// that is closed with unread bytes is reset, and the refusal may be lost.
	lingerTime  = time.Second
	lingerBytes = 1 << 20
)

// refusal is sent where no handler has seen the request yet.
var refusal = fmt.Sprintf("HTTP/1.1 503 Service Unavailable\r\nRetry-After: 1\r\nConnection: close\r\nContent-Type: text/plain\r\nContent-Length: %d\r\n\r\n%s", len(clients.ErrCrowded.Error()), clients.ErrCrowded)

var past = time.Unix(1, 0)

// phase is how far the request on a connection has come.
type phase int32

const (
	waiting phase = iota // for a request to begin
	head                 // it arrives
	body                 // a handler has seen the head
	whole                // it has arrived whole
)

// conn is a connection whose client is counted.
type conn struct {
	net.Conn
	client  *clients.Client
	tls     bool
	phase   atomic.Int32
	head    atomic.Int64 // bytes counted for the head until it has been parsed
	refused atomic.Bool  // a refusal was written that the client may still read
}

// evict ends all reads and writes: the connection is to be closed, or its request refused.
func (c *conn) evict() { _ = c.Conn.SetDeadline(past) }

// refuse writes a refusal, best effort. On TLS it would not be readable.
func (c *conn) refuse() {
	if c.tls || c.Conn.SetWriteDeadline(time.Now().Add(refusalTimeout)) != nil {
		return
	}
	_, _ = io.WriteString(c.Conn, refusal)
	if tc, ok := c.Conn.(*net.TCPConn); ok {
		_ = tc.CloseWrite()
	}
	c.refused.Store(true)
}

// linger reads on for a short time, so that the client can read its refusal, and closes the connection.
func (c *conn) linger() {
	defer func() { _ = c.Close() }()
	if !c.client.SetState(intake.Leaving) || c.Conn.SetReadDeadline(time.Now().Add(lingerTime)) != nil || c.client.Closed() {
		return
	}
	_, _ = io.Copy(io.Discard, io.LimitReader(c.Conn, lingerBytes))
}

// Read implements net.Conn. What arrives of a head counts as held.
func (c *conn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	switch phase(c.phase.Load()) {
	case waiting, head:
		if n > 0 && !c.countHead(n) || err != nil && c.client.Evicted() && phase(c.phase.Load()) == head {
			c.refuse()
			return 0, clients.ErrCrowded
		}
	case whole: // sent ahead: the kernel holds what follows
		if n > 0 && !c.client.Reserve(sockets.ReceiveBytes) {
			return 0, clients.ErrCrowded
		}
	}
	return n, err
}

func (c *conn) countHead(n int) bool {
	if c.phase.CompareAndSwap(int32(waiting), int32(head)) && !c.client.Begin(requestBytes+sockets.ReceiveBytes) {
		return false
	}
	c.client.Progress(n)
	c.head.Add(int64(n) * headBytesFactor)
	return c.client.Reserve(int64(n) * headBytesFactor)
}

// Write implements net.Conn. While a client does not read, it may be closed for others.
func (c *conn) Write(p []byte) (int, error) {
	if phase(c.phase.Load()) == whole {
		if c.client.Evicted() {
			return 0, clients.ErrCrowded
		}
		c.client.SetState(intake.Answering)
		defer c.client.SetState(intake.Serving)
	}
	if err := c.Conn.SetWriteDeadline(time.Now().Add(writeTimeout)); err != nil {
		return 0, err
	}
	return c.Conn.Write(p)
}

// SetReadDeadline implements net.Conn.
func (c *conn) SetReadDeadline(t time.Time) error {
	err := c.Conn.SetReadDeadline(t)
	if c.client.Evicted() {
		return c.Conn.SetReadDeadline(past)
	}
	return err
}

// SetDeadline implements net.Conn.
func (c *conn) SetDeadline(t time.Time) error {
	return errors.Join(c.SetReadDeadline(t), c.SetWriteDeadline(t))
}

// Close implements net.Conn. After a refusal the connection closes once the client has had time to read it.
func (c *conn) Close() error {
	if c.refused.Swap(false) {
		go c.linger()
		return nil
	}
	c.client.Close()
	return c.Conn.Close()
}

// rest records that the connection waits for its next request.
func (c *conn) rest() {
	c.phase.Store(int32(waiting))
	c.head.Store(0)
	c.client.SetState(intake.Idle)
}

// arrived records that the request has arrived whole; false if it is to be refused instead.
func (c *conn) arrived() bool {
	if phase(c.phase.Load()) != body {
		return true
	}
	if !c.client.Arrived(sockets.ReceiveBytes) {
		return false
	}
	c.phase.Store(int32(whole))
	return true
}

// parsed replaces what was counted for the head by what it takes.
func (c *conn) parsed(r *http.Request) bool {
	c.phase.Store(int32(body))
	size, fields := len(r.RequestURI)+len(r.Host), 0
	for name, values := range r.Header {
		for _, v := range values {
			size += len(name) + len(v)
			fields++
		}
	}
	c.client.Release(c.head.Swap(0))
	return c.client.Reserve(intake.HeadBytes(size, fields))
}

// connKey is the key of a request's connection in its context.
type connKey struct{}

func withConn(ctx context.Context, nc net.Conn) context.Context {
	return context.WithValue(ctx, connKey{}, connOf(nc))
}

// connOf returns the counted connection under one of net/http's.
func connOf(nc net.Conn) *conn {
	if t, ok := nc.(*tls.Conn); ok {
		nc = t.NetConn()
	}
	return nc.(*conn)
}

// enter returns a handler that counts what a request takes before h handles it.
func enter(h http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		c := r.Context().Value(connKey{}).(*conn)
		if !c.parsed(r) || r.ContentLength == 0 && !c.arrived() {
			Refuse(w)
			return
		}
		if r.ContentLength != 0 {
			r.Body = &countedBody{r.Body, c}
		}
		h.ServeHTTP(w, r)
	})
}

// Refuse answers that a request has not run because too much is held for clients.
func Refuse(w http.ResponseWriter) {
	w.Header().Set("Retry-After", "1")
	w.Header().Set("Connection", "close")
	http.Error(w, clients.ErrCrowded.Error(), http.StatusServiceUnavailable)
}

// countedBody records when a body has arrived whole.
type countedBody struct {
	io.ReadCloser
	conn *conn
}

// Read implements io.Reader.
func (b *countedBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if errors.Is(err, io.EOF) {
		b.conn.arrived()
	}
	return n, err
}
