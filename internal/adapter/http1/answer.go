package http1

import (
	"bufio"
	"bytes"
	"errors"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"
)

// Framing is what ends a response's body. Its values are written to logs.
type Framing string

// The framings of a body.
const (
	ByLength     Framing = "length"     // a length, or a head that allows no body
	ByChunks     Framing = "chunks"     // a last chunk
	ByConnection Framing = "connection" // the end of the connection, which a crash brings about as well
)

// Response is the head of an endpoint's response and a reader of its body.
type Response struct {
	Status   int
	Header   http.Header
	Body     io.Reader
	Length   int64 // -1 if not known
	Framing  Framing
	reusable bool
	conn     *ClientConn
	parsed   *http.Response
}

func framingOf(method string, r *http.Response) Framing {
	switch {
	case method == http.MethodHead || r.ContentLength >= 0:
		return ByLength
	case len(r.TransferEncoding) > 0:
		return ByChunks
	}
	return ByConnection
}

// Receive reads the head of the next final response; it skips informational ones. A head that HTTP does not
// allow is an error, and so are heads of more than maxAnswerHead: bytes that are no answer may come without
// end. The connection cannot be used again after an error.
func (c *ClientConn) Receive(method string) (*Response, error) {
	req := &http.Request{Method: method}
	c.in.left = max(0, maxAnswerHead-c.br.Buffered())
	defer func() { c.in.left = -1 }()
	for {
		if err := c.checkAnswerHead(); err != nil {
			return nil, err
		}
		r, err := http.ReadResponse(c.br, req)
		if err != nil {
			return nil, err
		}
		if r.StatusCode < http.StatusOK {
			continue
		}
		if s, ok := strings.CutPrefix(r.Header.Get("Keep-Alive"), "timeout="); ok {
			if n, err := strconv.Atoi(s); err == nil {
				c.idleTimeout = time.Duration(n) * time.Second
			}
		}
		framing := framingOf(method, r)
		resp := &Response{Status: r.StatusCode, Header: r.Header, Length: r.ContentLength, Framing: framing, reusable: framing != ByConnection && !r.Close, conn: c, parsed: r}
		resp.Body = (*answerBody)(resp)
		return resp, nil
	}
}

// checkAnswerHead reads the head of the next response, which stays in the buffer, and checks each line as
// soon as it has arrived.
func (c *ClientConn) checkAnswerHead() error {
	var h HeadCheck
	for checked := 0; ; {
		b, _ := c.br.Peek(c.br.Buffered())
		n, err := h.Lines(b[checked:])
		if err != nil || h.Done() {
			return err
		}
		checked += n
		if err := c.awaitMore(len(b)); err != nil {
			return err
		}
	}
}

// awaitMore waits until more than n bytes are buffered.
func (c *ClientConn) awaitMore(n int) error {
	if n == c.br.Size() {
		c.growBuffer(2 * n)
	}
	_, err := c.br.Peek(n + 1)
	if errors.Is(err, io.EOF) {
		return io.ErrUnexpectedEOF
	}
	return err
}

// growBuffer gives the read buffer a larger size, which is not kept longer than the response.
func (c *ClientConn) growBuffer(size int) {
	kept, _ := c.br.Peek(c.br.Buffered())
	c.br = bufio.NewReaderSize(io.MultiReader(bytes.NewReader(kept), c.in), size)
	_, _ = c.br.Peek(len(kept))
}

// answerBody reads the body of a Response.
type answerBody Response

// Read implements io.Reader. The end of a connection ends a body only once the request is written: of a
// reset the system tells whichever of reader and writer asks first, and the other one sees an orderly end.
func (b *answerBody) Read(p []byte) (int, error) {
	n, err := b.parsed.Body.Read(p)
	if !errors.Is(err, io.EOF) {
		return n, err
	}
	if b.Framing == ByConnection {
		if werr := b.conn.write.await(); werr != nil {
			return n, errors.Join(ErrNotWritten, werr)
		}
	}
	for name := range b.parsed.Trailer {
		if !ValidFieldName(name) {
			return n, malformedHead("a field name of the trailer is malformed")
		}
	}
	return n, err
}

// RequestWritten reports whether the request was written whole. Until the write has ended it waits for it.
func (r *Response) RequestWritten() bool { return r.conn.write.await() == nil }

// Release releases the connection after the body was read to its end: to the pool if it
// can carry another request, else it is closed.
func (r *Response) Release() {
	if !r.reusable {
		r.conn.Close()
		return
	}
	r.conn.Keep()
}

// Abort closes the connection without reading the rest of the body; the endpoint
// then stops processing the request.
func (r *Response) Abort() { r.conn.Close() }
