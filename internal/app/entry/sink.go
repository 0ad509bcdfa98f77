package entry

import (
	"encoding/json"
	"errors"
	"net/http"
	"strconv"
	"time"

	"github.com/labstack/echo/v4"

	"github.com/cassiapass/cassiapass/internal/wire"
)

const bufferedAnswer = 1 << 20 // a plain answer up to this size is sent only when it is whole

// httpSink writes an answer to the caller.
//
// A stream of events starts at once; its outcome follows in a trailer and in a
// comment after the engine's own end mark, and a stream that was cut ends with
// an error event and a broken connection, so it is never mistaken for a whole
// one. Any other answer is held until it is whole, which keeps the way open for
// another attempt and lets the header name the outcome.
type httpSink struct {
	c      echo.Context
	rc     *http.ResponseController
	wait   time.Duration
	events bool // the caller asked for a stream
	live   bool // bytes go to the caller as they come
	hd     *wire.Head
	held   []byte
	total  int64
}

func newSink(c echo.Context, cfg Config, events bool) *httpSink {
	return &httpSink{c: c, rc: http.NewResponseController(c.Response()), wait: cfg.WriteWait, events: events}
}

func (s *httpSink) delivered() bool { return s.live }

func (s *httpSink) head(h wire.Head) error {
	if s.live {
		return nil // sent again after a resume
	}
	s.hd = &h
	s.held, s.total = nil, 0
	if s.events && h.Status == http.StatusOK {
		return s.goLive()
	}
	return nil
}

// goLive sends the header and everything held so far.
func (s *httpSink) goLive() error {
	h := s.c.Response().Header()
	h.Set(echo.HeaderContentType, s.hd.ContentType)
	h.Set("Trailer", HeaderOutcome)
	h.Set("Cache-Control", "no-store")
	s.live = true
	if err := s.rc.SetWriteDeadline(time.Now().Add(s.wait)); err != nil && !errors.Is(err, http.ErrNotSupported) {
		return err
	}
	s.c.Response().WriteHeader(s.hd.Status)
	held := s.held
	s.held = nil
	if len(held) == 0 {
		return s.rc.Flush()
	}
	return s.send(held)
}

func (s *httpSink) write(p []byte) error {
	s.total += int64(len(p))
	if s.live {
		return s.send(p)
	}
	s.held = append(s.held, p...)
	if len(s.held) > bufferedAnswer {
		return s.goLive()
	}
	return nil
}

// send writes and flushes. A caller who takes nothing for the time limit is cut
// off, so that it holds neither memory nor a slot for ever.
func (s *httpSink) send(p []byte) error {
	if err := s.rc.SetWriteDeadline(time.Now().Add(s.wait)); err != nil && !errors.Is(err, http.ErrNotSupported) {
		return err
	}
	if _, err := s.c.Response().Write(p); err != nil {
		return err
	}
	return s.rc.Flush()
}

func (s *httpSink) finish() error {
	if s.live {
		if s.events {
			end := ": cassiapass outcome=" + string(Answered) + " bytes=" + strconv.FormatInt(s.total, 10) + "\n\n"
			if err := s.send([]byte(end)); err != nil {
				return err
			}
		}
		s.c.Response().Header().Set(HeaderOutcome, string(Answered))
		return nil
	}
	if s.hd == nil {
		s.hd = &wire.Head{Status: http.StatusBadGateway}
	}
	h := s.c.Response().Header()
	h.Set(HeaderOutcome, string(Answered))
	h.Set(echo.HeaderContentLength, strconv.Itoa(len(s.held)))
	if s.hd.ContentType != "" {
		h.Set(echo.HeaderContentType, s.hd.ContentType)
	}
	s.c.Response().WriteHeader(s.hd.Status)
	return s.send(s.held)
}

// abort ends an answer that was cut: an error event, then a broken connection.
func (s *httpSink) abort(ref *refusal) {
	if s.events {
		if b, err := json.Marshal(ref.body()); err == nil {
			_ = s.send([]byte("\n\ndata: " + string(b) + "\n\n: cassiapass outcome=" + string(ref.outcome) + "\n\n"))
		}
	}
	panic(http.ErrAbortHandler)
}
