package entry

import (
	"encoding/json"
	"errors"
	"net/http"
	"strconv"
	"time"

	"github.com/labstack/echo/v4"

	"github.com/cassiapass/cassiapass/internal/adapter/httpserver"
	"github.com/cassiapass/cassiapass/internal/wire"
)

const (
	maxBuffered     = 1 << 20  // an answer that is not streamed is sent only when complete, up to this size
	uncountedBuffer = 16 << 10 // a buffer up to this size is part of what each request takes
)

// httpSink writes an answer to the caller.
//
// A stream of events starts at once. Its outcome follows in a trailer and in a
// comment after the engine's own end mark. A truncated stream ends with an error
// event and a broken connection, so it cannot be mistaken for a complete one. Any
// other answer is buffered until it is complete, up to maxBuffered bytes, so that
// another attempt can replace it and the header can state the outcome. A larger one
// is streamed.
type httpSink struct {
	c            echo.Context
	rc           *http.ResponseController
	writeTimeout time.Duration
	events       bool // the caller asked for a stream
	streaming    bool // bytes are sent to the caller as they arrive
	header       *wire.Head
	buffered     []byte
	counted      int64 // bytes of the buffer that count as held
	total        int64
}

func newSink(c echo.Context, cfg Config, events bool) *httpSink {
	return &httpSink{c: c, rc: http.NewResponseController(c.Response()), writeTimeout: cfg.WriteTimeout, events: events}
}

func (s *httpSink) delivered() bool { return s.streaming }

func (s *httpSink) head(h wire.Head) error {
	if s.streaming {
		return nil // sent again after a resume
	}
	s.header = &h
	s.buffered, s.total = nil, 0
	if s.events && h.Status == http.StatusOK {
		return s.activate()
	}
	return nil
}

// activate starts to stream: it sends the header and everything buffered so far.
func (s *httpSink) activate() error {
	h := s.c.Response().Header()
	h.Set(echo.HeaderContentType, s.header.ContentType)
	h.Set("Trailer", HeaderOutcome)
	h.Set("Cache-Control", "no-store")
	s.streaming = true
	if err := s.rc.SetWriteDeadline(time.Now().Add(s.writeTimeout)); err != nil && !errors.Is(err, http.ErrNotSupported) {
		return err
	}
	s.c.Response().WriteHeader(s.header.Status)
	buffered := s.buffered
	s.buffered = nil
	if len(buffered) == 0 {
		return s.rc.Flush()
	}
	return s.send(buffered)
}

func (s *httpSink) write(p []byte) error {
	s.total += int64(len(p))
	if s.streaming {
		return s.send(p)
	}
	s.buffered = append(s.buffered, p...)
	if len(s.buffered) > maxBuffered || !s.count() {
		return s.activate()
	}
	return nil
}

// send writes and flushes. A caller that reads nothing within the write timeout
// is disconnected, so that it does not hold memory and a slot indefinitely.
func (s *httpSink) send(p []byte) error {
	if err := s.rc.SetWriteDeadline(time.Now().Add(s.writeTimeout)); err != nil && !errors.Is(err, http.ErrNotSupported) {
		return err
	}
	if _, err := s.c.Response().Write(p); err != nil {
		return err
	}
	return s.rc.Flush()
}

// count counts a large buffer as held for the caller; false if too much is held for all callers.
func (s *httpSink) count() bool {
	grown := int64(cap(s.buffered)) - s.counted
	if cap(s.buffered) <= uncountedBuffer || grown <= 0 {
		return true
	}
	s.counted += grown
	return httpserver.Reserve(s.c.Request(), grown)
}

func (s *httpSink) finish() error {
	if s.streaming {
		if s.events {
			end := ": cassiapass outcome=" + string(Answered) + " bytes=" + strconv.FormatInt(s.total, 10) + "\n\n"
			if err := s.send([]byte(end)); err != nil {
				return err
			}
		}
		s.c.Response().Header().Set(HeaderOutcome, string(Answered))
		return nil
	}
	if s.header == nil {
		s.header = &wire.Head{Status: http.StatusBadGateway}
	}
	h := s.c.Response().Header()
	h.Set(HeaderOutcome, string(Answered))
	h.Set(echo.HeaderContentLength, strconv.Itoa(len(s.buffered)))
	if s.header.ContentType != "" {
		h.Set(echo.HeaderContentType, s.header.ContentType)
	}
	s.c.Response().WriteHeader(s.header.Status)
	return s.send(s.buffered)
}

// abort ends an incomplete answer: it sends an error event if the caller
// requested a stream, then breaks the connection.
func (s *httpSink) abort(ref *refusal) {
	if s.events {
		if b, err := json.Marshal(ref.body()); err == nil {
			_ = s.send([]byte("\n\ndata: " + string(b) + "\n\n: cassiapass outcome=" + string(ref.outcome) + "\n\n"))
		}
	}
	panic(http.ErrAbortHandler)
}
