package http1

import (
	"errors"
	"io"
	"net/http"
)

const (
	// wholeBody is the size up to which a body of an announced length gets its memory at once. That of
	// a larger one grows as the body arrives.
	wholeBody = 32 << 10
	// firstBuffer is the first size of a buffer for a body of unknown length.
	firstBuffer = 512
	// uncountedBuffer is the size of a buffer up to which requestBytes holds it.
	uncountedBuffer = 4 << 10
	// progressBytes is how much arrives at most before it counts as progress: chunks may hold a byte.
	progressBytes = 4 << 10
)

// readBody reads the whole body of a request, which must not exceed limit.
func (c *Conn) readBody(r *http.Request, limit int64) ([]byte, error) {
	if r.ContentLength == 0 {
		return nil, nil
	}
	g := growing{conn: c, limit: limit + 1, first: firstBuffer}
	if r.ContentLength > 0 {
		g.limit, g.first = r.ContentLength, min(r.ContentLength, wholeBody)
	}
	b, err := g.readAll(r.Body)
	switch {
	case err != nil:
		return nil, err
	case int64(len(b)) > limit:
		return nil, errBodyTooLarge
	case r.ContentLength > int64(len(b)):
		return nil, io.ErrUnexpectedEOF
	}
	return b, nil
}

// ErrCrowded means that an answer cannot be buffered whole because too much is held for clients.
var ErrCrowded error = errCrowded

// ReadAnswer reads an endpoint's answer for the caller, at most limit bytes. With ErrCrowded it returns
// what it has read so far.
func (c *Conn) ReadAnswer(r io.Reader, limit int64) ([]byte, error) {
	g := growing{conn: c, limit: limit, first: firstBuffer, answer: true}
	return g.readAll(r)
}

// growing reads into a buffer that grows as bytes arrive, counted as held by the client.
type growing struct {
	conn         *Conn
	limit, first int64 // largest and first size of the buffer
	moved        int   // bytes that do not count as progress yet
	answer       bool  // it is read from an endpoint, which is no progress of the client
}

// readAll reads up to the end or the limit.
func (g *growing) readAll(r io.Reader) ([]byte, error) {
	b, err := g.grow(nil, g.first)
	for err == nil {
		if int64(len(b)) == g.limit {
			return b, nil
		}
		if len(b) == cap(b) {
			var next []byte
			if next, err = g.grow(b, min(2*int64(cap(b)), g.limit)); err != nil {
				break
			}
			b = next
		}
		var n int
		n, err = r.Read(b[len(b):cap(b)])
		b = b[:len(b)+n]
		g.progress(n)
	}
	if errors.Is(err, io.EOF) {
		err = nil
	}
	return b, err
}

// grow returns a buffer of a size with the content of b. While it is copied, both are held.
func (g *growing) grow(b []byte, size int64) ([]byte, error) {
	if size > uncountedBuffer && !g.conn.client.Reserve(size) {
		return nil, errCrowded
	}
	next := append(make([]byte, 0, size), b...)
	if cap(b) > uncountedBuffer {
		g.conn.client.Release(int64(cap(b)))
	}
	return next, nil
}

func (g *growing) progress(n int) {
	if g.answer {
		return
	}
	if g.moved += n; g.moved < progressBytes && g.conn.br.Buffered() > 0 {
		return
	}
	g.conn.client.Progress(g.moved)
	g.moved = 0
}
