// Package httpclient makes net/http's client as strict with answers as the connections of http1: an answer
// whose head HTTP does not allow is an error, and one that ends with its connection is whole only if its
// request was written.
package httpclient

import (
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/http/httptrace"
	"sync"
	"time"

	"github.com/cassiapass/cassiapass/internal/adapter/http1"
)

// ErrMalformed means that an answer is none of HTTP.
var ErrMalformed = errors.New("the answer is malformed")

// writeTimeout is how long the write of a request is waited for after its answer has ended.
const writeTimeout = time.Second

// Transport is a strict http.RoundTripper.
type Transport struct{ base *http.Transport }

// NewTransport returns a Transport over base, which must not be used otherwise.
func NewTransport(base *http.Transport) *Transport {
	base.DialContext = checkedDial(base.DialContext)
	return &Transport{base}
}

// RoundTrip implements http.RoundTripper.
func (t *Transport) RoundTrip(req *http.Request) (*http.Response, error) {
	x := &exchange{}
	trace := &httptrace.ClientTrace{GotConn: x.begin, WroteRequest: x.wrote}
	res, err := t.base.RoundTrip(req.WithContext(httptrace.WithClientTrace(req.Context(), trace)))
	if err != nil {
		return nil, err
	}
	if err := checkHead(res); err != nil {
		_ = res.Body.Close()
		return nil, err
	}
	if res.ContentLength < 0 {
		res.Body = &body{ReadCloser: res.Body, res: res, x: x}
	}
	return res, nil
}

// CloseIdleConnections closes connections that are not in use.
func (t *Transport) CloseIdleConnections() { t.base.CloseIdleConnections() }

// checkHead checks what net/http has read of a head. On TLS nothing else has checked it.
func checkHead(res *http.Response) error {
	if !http1.ValidStatus(res.StatusCode) {
		return fmt.Errorf("%w: status %d", ErrMalformed, res.StatusCode)
	}
	return checkNames(res.Header)
}

func checkNames(h http.Header) error {
	for name := range h {
		if !http1.ValidFieldName(name) {
			return fmt.Errorf("%w: a field is named %q", ErrMalformed, name)
		}
	}
	return nil
}

// exchange is one request, in the newest attempt of the transport to send it.
type exchange struct {
	mu      sync.Mutex
	conn    *conn         // nil if it is not a checked one
	written chan struct{} // closed when the write has ended
	err     error         // of the write
}

// begin records the connection on which the request is sent next.
func (x *exchange) begin(info httptrace.GotConnInfo) {
	x.mu.Lock()
	defer x.mu.Unlock()
	x.conn, x.written, x.err = unwrap(info.Conn), make(chan struct{}), nil
	if c, plain := info.Conn.(*conn); plain {
		c.expectHead()
	}
}

func (x *exchange) wrote(info httptrace.WroteRequestInfo) {
	x.mu.Lock()
	defer x.mu.Unlock()
	select {
	case <-x.written:
	default:
		x.err = info.Err
		close(x.written)
	}
}

// requestWritten returns nil once the request is written whole.
func (x *exchange) requestWritten() error {
	x.mu.Lock()
	written, c := x.written, x.conn
	x.mu.Unlock()
	limit := time.NewTimer(writeTimeout)
	defer limit.Stop()
	select {
	case <-written:
	case <-limit.C:
		return http1.ErrNotWritten
	}
	x.mu.Lock()
	err := x.err
	x.mu.Unlock()
	if err == nil && c != nil {
		err = c.writeError()
	}
	if err != nil {
		return errors.Join(http1.ErrNotWritten, err)
	}
	return nil
}

// body is a body without a length.
type body struct {
	io.ReadCloser
	res *http.Response
	x   *exchange
}

// Read implements io.Reader.
func (b *body) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if !errors.Is(err, io.EOF) {
		return n, err
	}
	if len(b.res.TransferEncoding) == 0 {
		if werr := b.x.requestWritten(); werr != nil {
			return n, werr
		}
	}
	if terr := checkNames(b.res.Trailer); terr != nil {
		return n, terr
	}
	return n, err
}
