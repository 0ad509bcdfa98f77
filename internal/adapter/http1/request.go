package http1

import (
	"bufio"
	"bytes"
	"errors"
	"fmt"
	"net/http"
	"time"
)

// Request is a complete request as a caller sent it.
type Request struct {
	Method string
	Target string // as on the request line
	Path   string // without the query
	Host   string
	Header http.Header
	Body   []byte
	Close  bool // the caller will not use the connection again
	Minor  int  // minor HTTP version: 0 or 1
}

// BadRequest is the error for a request that is refused before it is processed. The
// connection cannot be used again, because the start of its next request is uncertain.
type BadRequest struct {
	Status int
	Reason string
}

// Error implements error.
func (e *BadRequest) Error() string { return fmt.Sprintf("%d: %s", e.Status, e.Reason) }

func badRequest(reason string) error { return &BadRequest{http.StatusBadRequest, reason} }

var (
	errBodyTooLarge = &BadRequest{http.StatusRequestEntityTooLarge, "the body is too large"}
	// errCrowded refuses a request whose client holds much for long while memory runs short.
	errCrowded = &BadRequest{http.StatusServiceUnavailable, "too much is held for clients"}
)

// Limits bounds the size of a caller's requests and the time to receive them.
type Limits struct {
	HeaderBytes   int
	BodyBytes     int64
	HeaderTimeout time.Duration
	IdleTimeout   time.Duration
}

// readHead returns the raw head without consuming it. A head of more than limit bytes
// is refused.
func readHead(br *bufio.Reader, limit int) ([]byte, error) {
	scanned := 0
	for {
		b, _ := br.Peek(br.Buffered())
		from := max(0, scanned-3)
		end := bytes.Index(b[from:], []byte("\r\n\r\n"))
		if from+end+4 > limit || (end < 0 && len(b) >= limit) {
			return nil, &BadRequest{http.StatusRequestHeaderFieldsTooLarge, "the header is too large"}
		}
		if end >= 0 {
			return b[:from+end+4], nil
		}
		scanned = len(b)
		if _, err := br.Peek(scanned + 1); err != nil {
			return nil, err
		}
	}
}

// checkHead refuses heads that two parsers could read differently, and returns how the body ends.
func checkHead(head []byte) (framing, error) {
	var f framing
	line, rest, _ := bytes.Cut(bytes.TrimSuffix(head, crlf), crlf)
	if bytes.Count(line, []byte{' '}) != 2 || bytes.ContainsAny(line, "\r\n\x00") {
		return f, badRequest("the request line is malformed")
	}
	hosts := 0
	for len(rest) > 0 {
		var field []byte
		field, rest, _ = bytes.Cut(rest, crlf)
		if len(field) == 0 {
			break
		}
		name, value, err := cutField(field)
		if err == nil {
			err = f.add(name, value)
		}
		if err != nil {
			return f, refused(err)
		}
		if equalFold(name, "host") {
			hosts++
		}
	}
	if hosts != 1 && bytes.HasSuffix(line, []byte("HTTP/1.1")) || hosts > 1 {
		return f, badRequest("exactly one Host field is needed")
	}
	if err := f.check(line[len(line)-1]); err != nil {
		return f, refused(err)
	}
	return f, nil
}

var crlf = []byte("\r\n")

// refused returns the error for a request with a malformed head.
func refused(err error) error {
	if errors.Is(err, errUnknownCoding) {
		return &BadRequest{http.StatusNotImplemented, err.Error()}
	}
	return badRequest(err.Error())
}
