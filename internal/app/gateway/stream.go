package gateway

import (
	"bytes"
	"errors"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/cassiapass/cassiapass/internal/adapter/http1"
	"github.com/cassiapass/cassiapass/internal/core/ending"
)

// eventEnd ends an event of a stream.
var eventEnd = []byte("\n\n")

// maxEvent bounds one event of a stream that may be resumed, in bytes.
const maxEvent = 256 << 10

// forwardStream forwards a stream of events. One that may go on elsewhere is forwarded in
// whole events only: another endpoint continues with the next event, and a partial
// event before it would corrupt the stream.
func (x *exchange) forwardStream(e *endpoint, resp *http1.Response) (result, error) {
	x.answering = e
	if err := x.writeHead(resp, true); err != nil {
		resp.Abort()
		return result{outcome: abandoned, final: true}, nil
	}
	if x.route.Resumable || x.standby {
		return x.forwardWholeEvents(e, resp)
	}
	var events ending.Events
	observe := func(b []byte) {
		events.Write(b)
		x.countEvents(events.Completed() - x.eventsSent)
	}
	return x.forwardBody(resp, observe, func() (result, error) { return x.endStream(e, resp, events.Content()) })
}

// resumeStream continues, with this endpoint's answer, a stream that broke off at another
// one. The caller already has the head of the first answer.
func (x *exchange) resumeStream(e *endpoint, resp *http1.Response) (result, error) {
	x.answering = e
	if resp.Status != http.StatusOK {
		return result{}, errors.New("the stream was not resumed: status " + strconv.Itoa(resp.Status))
	}
	return x.forwardWholeEvents(e, resp)
}

// forwardWholeEvents forwards whole events and keeps the id of the newest.
func (x *exchange) forwardWholeEvents(e *endpoint, resp *http1.Response) (result, error) {
	var rest []byte
	buf := make([]byte, streamBuffer)
	last, total := time.Now(), 0
	for {
		n, err := resp.Body.Read(buf)
		last = x.g.metrics.observeGap(last)
		if total += n; total > maxAnswerBody {
			return result{}, errAnswerTooLarge
		}
		rest = append(rest, buf[:n]...)
		whole := wholeEventsLen(rest)
		x.countEvents(bytes.Count(rest[:whole], eventEnd))
		werr := x.writeEvents(rest[:whole])
		if errors.Is(werr, errEventMissing) {
			return result{}, werr
		}
		if werr != nil {
			resp.Abort()
			return result{outcome: abandoned, final: true}, nil
		}
		rest = append(rest[:0], rest[whole:]...)
		switch {
		case errors.Is(err, io.EOF) && len(rest) > 0:
			return x.endStream(e, resp, ending.Unfinished)
		case errors.Is(err, io.EOF):
			return x.endStream(e, resp, ending.Opaque)
		case err != nil:
			return result{}, err
		case len(rest) > maxEvent:
			return result{}, errors.New("an event is too large")
		}
	}
}

// countEvents counts events of the newest answer.
func (x *exchange) countEvents(n int) {
	x.eventsSent += n
	x.watch.event(n)
	if n > 0 {
		x.bindRelease()
	}
	if n > 0 && x.firstEventAt.IsZero() {
		x.firstEventAt = time.Now()
	}
	x.observeEvents(n)
	x.recordBegun()
}

// writeEvents writes whole events to the caller, without those that it already has.
func (x *exchange) writeEvents(b []byte) error {
	if len(b) == 0 {
		return nil
	}
	out := b[:0:0]
	for len(b) > 0 {
		n := firstEventLen(b)
		event := b[:n]
		b = b[n:]
		id, has := eventID(event)
		if has && !follows(id, x.lastEvent) {
			continue
		}
		if has {
			if missing := x.order.next(id); missing && x.goOnFrom != "" {
				return errEventMissing
			}
			x.lastEvent = id
		}
		out = append(out, event...)
	}
	return x.c.WriteBody(out)
}

// wholeEventsLen returns the length of the whole events at the start of b.
func wholeEventsLen(b []byte) int {
	total := 0
	for {
		n := firstEventLen(b[total:])
		if n == 0 {
			return total
		}
		total += n
	}
}

// firstEventLen returns the length of the first event of b, 0 if it is incomplete.
// Events end with an empty line.
func firstEventLen(b []byte) int {
	lf := bytes.Index(b, eventEnd)
	crlf := bytes.Index(b, []byte("\r\n\r\n"))
	switch {
	case lf < 0 && crlf < 0:
		return 0
	case crlf < 0 || (lf >= 0 && lf < crlf):
		return lf + 2
	}
	return crlf + 4
}

// eventID returns an event's id field.
func eventID(event []byte) (string, bool) {
	for _, line := range bytes.Split(event, []byte("\n")) {
		if v, ok := bytes.CutPrefix(bytes.TrimRight(line, "\r"), []byte("id:")); ok {
			return string(bytes.TrimSpace(v)), true
		}
	}
	return "", false
}

// follows reports whether event id comes after last. Ids increase; ones that are
// not numbers cannot be compared and are forwarded.
func follows(id, last string) bool {
	a, errA := strconv.ParseInt(id, 10, 64)
	b, errB := strconv.ParseInt(last, 10, 64)
	if errA != nil || errB != nil {
		return true
	}
	return a > b
}
