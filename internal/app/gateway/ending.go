package gateway

import (
	"errors"
	"io"
	"net/http"
	"time"

	"github.com/cassiapass/cassiapass/internal/adapter/http1"
	"github.com/cassiapass/cassiapass/internal/core/ending"
)

// brokeTogether is the time within which the answers of an endpoint break off that ends.
const brokeTogether = 50 * time.Millisecond

var errBrokenOff = errors.New("the answer ended early")

// bodyEnd is the verdict on an answer that was read to its end.
type bodyEnd struct {
	verdict ending.Verdict
	process ending.Process
}

// proved reports whether the endpoint has run the request to its end and lives on.
func (b bodyEnd) proved() bool { return b.verdict == ending.Whole || b.process == ending.Alive }

// judge returns the verdict on the answer of e, read until readErr. If only the process can tell, it
// is checked first: the body has ended, so nothing waits but the end of the answer.
func (x *exchange) judge(e *endpoint, resp *http1.Response, readErr error, content ending.Content) bodyEnd {
	failed := readErr != nil && !errors.Is(readErr, io.EOF)
	a := ending.Answer{Failed: failed, Framed: resp.Framing != http1.ByConnection, Content: content, Leaving: x.g.dir.isLeaving(e)}
	if a.NeedsCheck() {
		ended := time.Now()
		a.Process = x.g.liveness.check(e.ID, e.Addr, ended)
		a.Leaving = x.g.dir.isLeaving(e)
		a.OthersBroke = x.g.dir.brokeSince(e, ended.Add(-brokeTogether))
	}
	end := bodyEnd{ending.Judge(a), a.Process}
	if !a.Framed {
		x.g.metrics.countUnframed(end.verdict)
		x.g.cfg.Log.Info().Str("request", x.info.ID).Str("endpoint", string(e.ID)).Stringer("verdict", end.verdict).Bool("within_event", content == ending.Unfinished).Bool("reset", a.Failed).
			Bool("alive", a.Process == ending.Alive).Bool("leaving", a.Leaving).Bool("others_broke", a.OthersBroke).Msg("answer_ended_with_connection")
	}
	return end
}

// brokenError returns why an answer counts as broken off.
func brokenError(readErr error) error {
	if readErr == nil || errors.Is(readErr, io.EOF) {
		return errBrokenOff
	}
	return readErr
}

// endStream ends the answer at the caller after a stream of events. Chunks are used although the
// endpoint sent none: they show the caller when this entry ends within a stream. Their last one is
// sent for a stream that ended between two events, at an endpoint that lives on or leaves as planned.
func (x *exchange) endStream(e *endpoint, resp *http1.Response, content ending.Content) (result, error) {
	if x.watch.taken() != nil {
		return result{}, errBrokenOff // the run was stopped here to go on elsewhere
	}
	end := x.judge(e, resp, nil, content)
	if end.verdict == ending.BrokenOff || end.verdict == ending.Unknown && end.process == ending.NotChecked && !x.g.dir.isLeaving(e) {
		return result{}, errBrokenOff
	}
	return x.endBody(resp, end)
}

// endLarge ends the answer at the caller after a plain body that was forwarded as it arrived. One
// that ended with its connection does so at the caller, too.
func (x *exchange) endLarge(e *endpoint, resp *http1.Response) (result, error) {
	end := x.judge(e, resp, nil, ending.Opaque)
	if end.verdict == ending.BrokenOff {
		return result{}, errBrokenOff
	}
	return x.endBody(resp, end)
}

func (x *exchange) endBody(resp *http1.Response, end bodyEnd) (result, error) {
	x.recordAnswer(end.proved(), resp.Status < http.StatusMultipleChoices)
	resp.Release()
	if err := x.c.EndBody(); err != nil {
		return result{outcome: abandoned, final: true}, nil
	}
	return result{complete: true, outcome: succeeded}, nil
}
