package http1

import (
	"bufio"
	"bytes"
	"fmt"
	"net/http"
	"strings"
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

// requestFraming tells how a request's body ends, by the fields that decide it.
type requestFraming struct {
	hosts, lengths, codings int
	chunked                 bool
}

// checkHead refuses heads that two parsers could read differently.
func checkHead(head []byte) (requestFraming, error) {
	var f requestFraming
	line, rest, _ := bytes.Cut(bytes.TrimSuffix(head, crlf), crlf)
	if bytes.Count(line, []byte{' '}) != 2 || bytes.ContainsAny(line, "\r\n\x00") {
		return f, badRequest("the request line is malformed")
	}
	latest := bytes.HasSuffix(line, []byte("HTTP/1.1"))
	for len(rest) > 0 {
		line, rest, _ = bytes.Cut(rest, crlf)
		if len(line) == 0 {
			break
		}
		if bytes.ContainsAny(line, "\r\n\x00") {
			return f, badRequest("a line of the header ends in another way than CR LF")
		}
		name, value, ok := bytes.Cut(line, []byte{':'})
		if !ok || len(name) == 0 || bytes.ContainsAny(name, " \t") {
			return f, badRequest("a field name is malformed")
		}
		if err := f.check(name, bytes.Trim(value, " \t")); err != nil {
			return f, err
		}
	}
	if f.hosts != 1 && latest {
		return f, badRequest("exactly one Host field is needed")
	}
	if f.lengths > 0 && f.codings > 0 {
		return f, badRequest("both Content-Length and Transfer-Encoding are given")
	}
	return f, nil
}

var crlf = []byte("\r\n")

func (f *requestFraming) check(name, value []byte) error {
	count := new(int)
	switch {
	case equalFold(name, "content-length"):
		if len(value) == 0 || len(bytes.Trim(value, "0123456789")) > 0 {
			return badRequest("Content-Length is not a number")
		}
		count = &f.lengths
	case equalFold(name, "transfer-encoding"):
		if !equalFold(value, "chunked") {
			return &BadRequest{http.StatusNotImplemented, "only the chunked transfer encoding is known"}
		}
		f.chunked = true
		count = &f.codings
	case equalFold(name, "host"):
		count = &f.hosts
	}
	if *count++; *count > 1 {
		return badRequest("the field " + string(name) + " is repeated")
	}
	return nil
}

// equalFold reports whether b is an ASCII text, whatever the case of its letters.
func equalFold(b []byte, text string) bool {
	return len(b) == len(text) && strings.EqualFold(string(b), text)
}
