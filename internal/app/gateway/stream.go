package gateway

import (
	"bytes"
	"errors"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/cassiapass/cassiapass/internal/adapter/http1"
)

// eventEnd ends an event of a stream.
var eventEnd = []byte("\n\n")

// maxEvent bounds one event of a stream that may be resumed.
const maxEvent = 256 << 10

// stream passes a stream of events on. One that may be resumed is passed on in
// whole events only: what follows at another endpoint begins with the next
// event, and half of one before it would spoil the stream.
func (x *exchange) stream(resp *http1.Response) (result, error) {
	if err := x.begin(resp); err != nil {
		resp.Drop()
		return result{outcome: abandon, final: true}, nil
	}
	if !x.route.Resumable {
		return x.copy(resp)
	}
	return x.events(resp)
}

// resume goes on with a stream that broke at another endpoint. The caller has
// the head of the first answer already.
func (x *exchange) resume(resp *http1.Response) (result, error) {
	if resp.Status != http.StatusOK {
		return result{}, errors.New("the stream was not resumed: status " + strconv.Itoa(resp.Status))
	}
	return x.events(resp)
}

// events passes whole events on and keeps the id of the newest.
func (x *exchange) events(resp *http1.Response) (result, error) {
	var rest []byte
	buf := make([]byte, streamBuffer)
	last := time.Now()
	for {
		n, err := resp.Body.Read(buf)
		last = x.g.met.gap(last)
		rest = append(rest, buf[:n]...)
		whole := wholeEvents(rest)
		x.made += bytes.Count(rest[:whole], eventEnd)
		if werr := x.forward(rest[:whole]); werr != nil {
			resp.Drop()
			return result{outcome: abandon, final: true}, nil
		}
		rest = append(rest[:0], rest[whole:]...)
		switch {
		case errors.Is(err, io.EOF) && len(rest) > 0:
			return result{}, errors.New("the stream ended within an event")
		case errors.Is(err, io.EOF):
			x.survived(resp.Framed)
			resp.Done()
			if x.c.End() != nil {
				return result{outcome: abandon, final: true}, nil
			}
			return result{done: true, outcome: went}, nil
		case err != nil:
			return result{}, err
		case len(rest) > maxEvent:
			return result{}, errors.New("an event is too large")
		}
	}
}

// forward passes whole events on, leaving out those that the caller has.
func (x *exchange) forward(b []byte) error {
	if len(b) == 0 {
		return nil
	}
	out := b[:0:0]
	for len(b) > 0 {
		n := wholeEvent(b)
		event := b[:n]
		b = b[n:]
		id, has := eventID(event)
		if has && !follows(id, x.lastEvent) {
			continue
		}
		if has {
			x.lastEvent = id
		}
		out = append(out, event...)
	}
	return x.c.Part(out)
}

// wholeEvents returns the length of the whole events at the start of b.
func wholeEvents(b []byte) int {
	total := 0
	for {
		n := wholeEvent(b[total:])
		if n == 0 {
			return total
		}
		total += n
	}
}

// wholeEvent returns the length of the first event of b, 0 if it is not whole.
// Events end with an empty line.
func wholeEvent(b []byte) int {
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

// follows reports whether event id comes after last. Ids rise; ones that are
// not numbers cannot be compared and are passed on.
func follows(id, last string) bool {
	a, errA := strconv.ParseInt(id, 10, 64)
	b, errB := strconv.ParseInt(last, 10, 64)
	if errA != nil || errB != nil {
		return true
	}
	return a > b
}
