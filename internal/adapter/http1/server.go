package http1

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"os"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cassiapass/cassiapass/internal/adapter/clients"
	"github.com/cassiapass/cassiapass/internal/adapter/sockets"
	"github.com/cassiapass/cassiapass/internal/core/intake"
)

// Conn is one connection from a caller.
type Conn struct {
	nc      net.Conn
	client  *clients.Client // what it holds; nil without limits for all clients
	br      *bufio.Reader
	limits  func() Limits
	watched chan struct{} // closed when the watch has ended; nil if none runs
	close   bool          // the connection is to be closed after the response
	chunked bool
	method  string // of the newest request
	noBody  bool   // the response has no body, whatever is written
	// unread are bytes of the newest answer that the caller may not have read; sendCounted is set once
	// they count as held.
	unread      int
	sendCounted bool
	// toTheEnd is set while a body is under way that ends with the connection.
	toTheEnd atomic.Bool
}

const (
	// readBuffer is the size of the read buffer. It grows for larger heads if the limits allow them.
	readBuffer = 4 << 10
	// requestBytes is what a request takes beside its head and its body: stacks, buffers and its state.
	requestBytes = 16 << 10
	// bodyTimeout bounds the time to receive a whole request body.
	bodyTimeout = 30 * time.Second
	// writeTimeout bounds one write: a caller that stops reading must not hold
	// an endpoint's slot.
	writeTimeout = 5 * time.Second
	// smallWrite is the size of an answer up to which the bytes in the kernel are not counted, and of a
	// part of a body up to which it is copied beside its framing.
	smallWrite = 16 << 10
	// lingerTime and lingerBytes bound what is read of a refused request after its refusal.
	lingerTime  = time.Second
	lingerBytes = 1 << 20
)

var errAnswerCrowded = errors.New("too much is held for clients to send a large answer")

// NewConn returns a Conn. limits is called for each request. What the connection holds is counted in
// registry; nil counts nothing. It returns nil if no connection is left: RefuseConn may tell the caller so.
func NewConn(nc net.Conn, limits func() Limits, registry *clients.Registry) *Conn {
	c := &Conn{nc: nc, br: bufio.NewReaderSize(nc, readBuffer), limits: limits}
	if registry == nil {
		return c
	}
	if c.client = registry.Open(c.evict); c.client == nil {
		return nil
	}
	return c
}

// evict ends all reads and writes: the client's connection is to be closed, or its request refused.
func (c *Conn) evict() { _ = c.nc.SetDeadline(past) }

// Close closes the connection at once. A body that ends with the connection and is still under way
// is cut by a reset: an orderly end would make it look complete.
func (c *Conn) Close() {
	if tc, ok := c.nc.(*net.TCPConn); ok && c.toTheEnd.Load() {
		_ = tc.SetLinger(0)
	}
	_ = c.nc.Close()
	c.client.Close()
}

// Remote returns the caller's address.
func (c *Conn) Remote() string { return c.nc.RemoteAddr().String() }

// Interrupt ends Wait. A request that has begun to arrive is still read to its end.
func (c *Conn) Interrupt() { _ = c.nc.SetReadDeadline(past) }

var past = time.Unix(1, 0)

// setReadDeadline sets the read deadline, unless the client is to be refused.
func (c *Conn) setReadDeadline(t time.Time) error {
	err := c.nc.SetReadDeadline(t)
	if c.client.Evicted() {
		return c.nc.SetReadDeadline(past)
	}
	return err
}

// Wait blocks until the next request begins to arrive, at most for the idle timeout. The request before
// it holds nothing any more.
func (c *Conn) Wait() error {
	if c.method != "" {
		c.client.SetState(intake.Idle)
	}
	if c.br.Buffered() > 0 {
		return nil
	}
	if c.br.Size() > readBuffer {
		c.shrinkBuffer()
	}
	if err := c.setReadDeadline(time.Now().Add(c.limits().IdleTimeout)); err != nil {
		return err
	}
	_, err := c.br.Peek(1)
	return err
}

// ReadRequest reads one complete request. The error is a *BadRequest if it should be
// reported to the caller.
func (c *Conn) ReadRequest() (*Request, error) {
	if !c.client.Begin(requestBytes + sockets.ReceiveBytes) {
		return nil, errCrowded
	}
	r, err := c.readRequest()
	if err == nil {
		if !c.client.Arrived(sockets.ReceiveBytes) {
			return nil, errCrowded
		}
		return r, nil
	}
	if c.client.Evicted() || errors.Is(err, clients.ErrCrowded) {
		return nil, errCrowded
	}
	if errors.Is(err, os.ErrDeadlineExceeded) {
		return nil, &BadRequest{http.StatusRequestTimeout, "the request did not arrive in time"}
	}
	return nil, err
}

func (c *Conn) readRequest() (*Request, error) {
	lim := c.limits()
	if err := c.setReadDeadline(time.Now().Add(lim.HeaderTimeout)); err != nil {
		return nil, err
	}
	head, err := c.readHead(lim.HeaderBytes)
	if err != nil {
		return nil, err
	}
	if !c.client.Reserve(intake.HeadBytes(len(head), bytes.Count(head, []byte{'\n'}))) {
		return nil, errCrowded
	}
	framing, err := checkHead(head)
	if err != nil {
		return nil, err
	}
	if framing.chunked { // its trailer is read like a head
		if err := c.growBuffer(lim.HeaderBytes); err != nil {
			return nil, err
		}
	}
	r, err := http.ReadRequest(c.br)
	if err != nil {
		return nil, badRequest("the request is malformed: " + err.Error())
	}
	if r.ContentLength > lim.BodyBytes {
		return nil, errBodyTooLarge
	}
	if err := c.setReadDeadline(time.Now().Add(bodyTimeout)); err != nil {
		return nil, err
	}
	if strings.EqualFold(r.Header.Get("Expect"), "100-continue") {
		if _, err := c.nc.Write([]byte("HTTP/1.1 100 Continue\r\n\r\n")); err != nil {
			return nil, err
		}
	}
	body, err := c.readBody(r, lim.BodyBytes)
	if err != nil {
		return nil, err
	}
	if err := c.setReadDeadline(time.Time{}); err != nil {
		return nil, err
	}
	c.method, c.unread, c.sendCounted = r.Method, 0, false
	c.close = r.Close || (r.ProtoMajor == 1 && r.ProtoMinor == 0)
	return &Request{
		Method: r.Method, Target: r.RequestURI, Path: r.URL.EscapedPath(), Host: r.Host, Header: r.Header,
		Body: body, Close: c.close, Minor: r.ProtoMinor,
	}, nil
}

// readHead returns the head of the next request, which stays in the buffer.
func (c *Conn) readHead(limit int) ([]byte, error) {
	head, err := readHead(c.br, min(limit, c.br.Size()))
	var bad *BadRequest
	if c.br.Size() >= limit || !errors.As(err, &bad) || bad.Status != http.StatusRequestHeaderFieldsTooLarge {
		return head, err
	}
	if err := c.growBuffer(limit); err != nil {
		return nil, err
	}
	return readHead(c.br, limit)
}

// growBuffer gives the read buffer at least a size and keeps what it holds.
func (c *Conn) growBuffer(size int) error {
	if c.br.Size() >= size {
		return nil
	}
	if !c.client.Reserve(int64(size)) {
		return errCrowded
	}
	kept, _ := c.br.Peek(c.br.Buffered())
	r := io.MultiReader(bytes.NewReader(kept), c.nc)
	if size == largeBuffer {
		c.br = largeBuffers.Get().(*bufio.Reader)
		c.br.Reset(r)
	} else {
		c.br = bufio.NewReaderSize(r, size)
	}
	_, err := c.br.Peek(len(kept))
	return err
}

// largeBuffer is the size of a grown read buffer with the usual limit for heads.
const largeBuffer = 16 << 10

// largeBuffers are read buffers of largeBuffer that are not in use.
var largeBuffers = sync.Pool{New: func() any { return bufio.NewReaderSize(nil, largeBuffer) }}

// shrinkBuffer replaces a grown read buffer that holds nothing: an idle connection needs no large one.
func (c *Conn) shrinkBuffer() {
	if c.br.Size() == largeBuffer {
		c.br.Reset(nil)
		largeBuffers.Put(c.br)
	}
	c.br = bufio.NewReaderSize(c.nc, readBuffer)
}

// Watch calls onClose when the caller closes the connection before Unwatch. A
// pipelined request stays buffered and ends the watch; if too much is held for the
// bytes after it, the connection is closed.
func (c *Conn) Watch(onClose context.CancelFunc) {
	done := make(chan struct{})
	c.watched = done
	go func() {
		defer close(done)
		_, err := c.br.Peek(1)
		if err == nil && !c.client.Reserve(sockets.ReceiveBytes) {
			c.Close()
			err = net.ErrClosed
		}
		if err != nil && !errors.Is(err, os.ErrDeadlineExceeded) {
			onClose()
		}
	}()
}

// Unwatch ends the watch and waits until it has stopped reading.
func (c *Conn) Unwatch() {
	if c.watched == nil {
		return
	}
	_ = c.nc.SetReadDeadline(past)
	<-c.watched
	c.watched = nil
	_ = c.nc.SetReadDeadline(time.Time{})
}

// CloseAfter makes the response announce that the connection will close.
func (c *Conn) CloseAfter() { c.close = true }

// Closing reports whether the connection is to be closed after the response.
func (c *Conn) Closing() bool { return c.close }

// WriteResponse writes a complete response. If head is set, the body is left out but its
// length is announced.
func (c *Conn) WriteResponse(status int, h http.Header, body []byte, head bool) error {
	size := 512
	if len(body) <= smallWrite {
		size += len(body)
	}
	b := c.appendHead(make([]byte, 0, size), status, h)
	if status != http.StatusNoContent && status != http.StatusNotModified {
		b = append(b, "Content-Length: "...)
		b = strconv.AppendInt(b, int64(len(body)), 10)
		b = append(b, "\r\n"...)
	}
	b = append(b, "\r\n"...)
	if head || bodiless(c.method, status) {
		return c.write(b)
	}
	if len(body) > smallWrite {
		return c.writeLarge(b, body, nil)
	}
	return c.write(append(b, body...))
}

// Refuse answers a request that was not read whole, and gives the caller a short time to read the
// answer: a connection that is closed with unread bytes is reset, and the answer may be lost.
func (c *Conn) Refuse(status int, h http.Header, body []byte) {
	counted := c.client.SetState(intake.Leaving)
	c.close = true
	if err := c.WriteResponse(status, h, body, false); err != nil || !counted {
		return
	}
	if tc, ok := c.nc.(*net.TCPConn); ok {
		_ = tc.CloseWrite()
	}
	if err := c.nc.SetReadDeadline(time.Now().Add(lingerTime)); err != nil || c.client.Closed() {
		return
	}
	_, _ = io.Copy(io.Discard, io.LimitReader(c.nc, lingerBytes))
}

// RefuseConn answers that no connection is left, without reading anything, and closes nc.
func RefuseConn(nc net.Conn, h http.Header) {
	c := Conn{nc: nc, close: true}
	defer nc.Close()
	_ = c.WriteResponse(http.StatusServiceUnavailable, h, []byte("no connection is left for clients\n"), false)
}

// WriteHead writes the head of a response whose length is not known. Its body follows in chunks,
// which HTTP/1.0 does not know, or up to the end of the connection.
func (c *Conn) WriteHead(status int, h http.Header, chunked bool) error {
	c.noBody = bodiless(c.method, status)
	c.chunked = chunked && !c.noBody
	c.toTheEnd.Store(!chunked && !c.noBody)
	if !chunked && !c.noBody {
		c.close = true
	}
	b := c.appendHead(make([]byte, 0, 512), status, h)
	if c.chunked {
		b = append(b, "Transfer-Encoding: chunked\r\n"...)
	}
	return c.write(append(b, "\r\n"...))
}

// bodiless reports whether a response ends with its head (RFC 9110, section 6.4.1).
func bodiless(method string, status int) bool {
	return method == http.MethodHead || status < http.StatusOK || status == http.StatusNoContent || status == http.StatusNotModified
}

// WriteBody writes a part of the body after WriteHead.
func (c *Conn) WriteBody(p []byte) error {
	if len(p) == 0 || c.noBody {
		return nil
	}
	if !c.chunked {
		return c.write(p)
	}
	if len(p) > smallWrite {
		return c.writeLarge(append(strconv.AppendInt(nil, int64(len(p)), 16), crlf...), p, crlf)
	}
	b := make([]byte, 0, len(p)+16)
	b = strconv.AppendInt(b, int64(len(p)), 16)
	b = append(b, "\r\n"...)
	b = append(b, p...)
	return c.write(append(b, "\r\n"...))
}

// EndBody ends the body after WriteHead. It must not be called for an incomplete body: close
// the connection instead.
func (c *Conn) EndBody() error {
	if !c.chunked {
		c.toTheEnd.Store(false)
		return nil
	}
	return c.write([]byte("0\r\n\r\n"))
}

// write writes a part of an answer.
func (c *Conn) write(b []byte) error {
	if err := c.beginWrite(len(b)); err != nil {
		return err
	}
	_, err := c.nc.Write(b)
	return err
}

// writeLarge writes a large part of an answer with what frames it, without copying either. While the caller
// does not read it, it may be closed for others.
func (c *Conn) writeLarge(before, part, after []byte) error {
	if err := c.beginWrite(len(before) + len(part) + len(after)); err != nil {
		return err
	}
	c.client.SetState(intake.Answering)
	defer c.client.SetState(intake.Serving)
	all := net.Buffers{before, part, after}
	_, err := all.WriteTo(c.nc)
	return err
}

// beginWrite prepares a write of n bytes. More than a small answer that the caller has not read counts as
// held: the kernel holds it.
func (c *Conn) beginWrite(n int) error {
	if c.unread += n; c.unread > smallWrite && !c.sendCounted {
		if n <= smallWrite {
			c.unread = n + sockets.Unacknowledged(c.nc)
		}
		c.sendCounted = c.unread > smallWrite
		if c.sendCounted && !c.client.Reserve(sockets.SendBytes) {
			return errAnswerCrowded
		}
	}
	if err := c.nc.SetWriteDeadline(time.Now().Add(writeTimeout)); err != nil {
		return err
	}
	if c.sendCounted && c.client.Evicted() {
		return errAnswerCrowded
	}
	return nil
}

func (c *Conn) appendHead(b []byte, status int, h http.Header) []byte {
	b = append(b, "HTTP/1.1 "...)
	b = strconv.AppendInt(b, int64(status), 10)
	b = append(b, ' ')
	b = append(b, http.StatusText(status)...)
	b = append(b, "\r\n"...)
	b = appendFields(b, h)
	if c.close {
		b = append(b, "Connection: close\r\n"...)
	}
	return b
}

// hopByHop lists the fields that concern one connection only.
var hopByHop = []string{
	"Connection", "Keep-Alive", "Proxy-Connection", "Te", "Trailer", "Transfer-Encoding", "Upgrade", "Content-Length", "Expect",
}

// appendFields appends all end-to-end fields of h.
func appendFields(b []byte, h http.Header) []byte {
	named := connectionNamed(h)
	for name, vs := range h {
		if slices.Contains(hopByHop, name) || slices.Contains(named, name) {
			continue
		}
		for _, v := range vs {
			b = append(b, name...)
			b = append(b, ": "...)
			b = append(b, v...)
			b = append(b, "\r\n"...)
		}
	}
	return b
}

// EndToEnd returns a copy of a message's fields without the hop-by-hop ones. Fields that
// are set on the copy are sent even if the Connection field of h names them.
func EndToEnd(h http.Header) http.Header {
	out := h.Clone()
	for _, name := range connectionNamed(h) {
		delete(out, name)
	}
	for _, name := range hopByHop {
		delete(out, name)
	}
	return out
}

// connectionNamed returns the names of the fields that the Connection field lists.
func connectionNamed(h http.Header) []string {
	var out []string
	for _, v := range h["Connection"] {
		for _, n := range strings.Split(v, ",") {
			out = append(out, http.CanonicalHeaderKey(strings.TrimSpace(n)))
		}
	}
	return out
}
