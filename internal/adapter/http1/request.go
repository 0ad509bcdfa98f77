package http1

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
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

// checkHead refuses heads that two parsers could read differently.
func checkHead(head []byte) error {
	lines := strings.Split(strings.TrimSuffix(string(head), "\r\n\r\n"), "\r\n")
	if strings.Count(lines[0], " ") != 2 {
		return badRequest("the request line is malformed")
	}
	count := map[string]int{}
	for i, line := range lines {
		if strings.ContainsAny(line, "\r\n\x00") {
			return badRequest("a line of the header ends in another way than CR LF")
		}
		if i == 0 {
			continue
		}
		name, value, ok := strings.Cut(line, ":")
		if !ok || name == "" || strings.ContainsAny(name, " \t") {
			return badRequest("a field name is malformed")
		}
		if err := checkField(strings.ToLower(name), strings.Trim(value, " \t"), count); err != nil {
			return err
		}
	}
	if count["host"] != 1 && strings.HasSuffix(lines[0], "HTTP/1.1") {
		return badRequest("exactly one Host field is needed")
	}
	if count["content-length"] > 0 && count["transfer-encoding"] > 0 {
		return badRequest("both Content-Length and Transfer-Encoding are given")
	}
	return nil
}

func checkField(name, value string, count map[string]int) error {
	count[name]++
	switch name {
	case "content-length":
		if value == "" || strings.Trim(value, "0123456789") != "" {
			return badRequest("Content-Length is not a number")
		}
	case "transfer-encoding":
		if !strings.EqualFold(value, "chunked") {
			return &BadRequest{http.StatusNotImplemented, "only the chunked transfer encoding is known"}
		}
	case "host":
	default:
		return nil
	}
	if count[name] > 1 {
		return badRequest("the field " + name + " is repeated")
	}
	return nil
}

// readBody reads the whole body. A body whose announced length exceeds the limit is
// refused without being read.
func readBody(r *http.Request, limit int64) ([]byte, error) {
	if r.ContentLength > limit {
		return nil, &BadRequest{http.StatusRequestEntityTooLarge, "the body is too large"}
	}
	if r.ContentLength > 0 {
		b := make([]byte, r.ContentLength)
		_, err := io.ReadFull(r.Body, b)
		return b, err
	}
	b, err := io.ReadAll(io.LimitReader(r.Body, limit+1))
	if err != nil {
		return nil, err
	}
	if int64(len(b)) > limit {
		return nil, &BadRequest{http.StatusRequestEntityTooLarge, "the body is too large"}
	}
	return b, nil
}
