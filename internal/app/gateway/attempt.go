package gateway

import (
	"context"
	"errors"
	"io"
	"net/http"
	"time"

	"github.com/cassiapass/cassiapass/internal/adapter/clients"
	"github.com/cassiapass/cassiapass/internal/adapter/http1"
	"github.com/cassiapass/cassiapass/internal/core/deploy"
	"github.com/cassiapass/cassiapass/internal/core/ending"
	"github.com/cassiapass/cassiapass/internal/core/notice"
	"github.com/cassiapass/cassiapass/internal/core/once"
)

// result is how one attempt at an endpoint ended.
type result struct {
	complete bool      // a complete answer was forwarded
	word     once.Word // of the endpoint that it did not run the request
	unsent   bool      // nothing was written to the endpoint; set by attempt alone
	final    bool      // it must not be sent again, even if the route allows repeats
	broke    bool      // the answer broke off, or none came
	outcome  attemptOutcome
}

// notRun reports whether the request certainly did not run there.
func (r result) notRun() bool { return r.unsent || r.word.NotRun() }

const (
	// maxBufferedBody is the size up to which an answer of a plain service is read
	// to its end before any of it is forwarded, so that another endpoint's answer
	// can still replace a broken one.
	maxBufferedBody = 256 << 10
	// maxStrayAnswers is how many answers to other requests are skipped on a
	// connection before it is closed.
	maxStrayAnswers = 3
	// streamBuffer is the largest piece of a stream forwarded at once.
	streamBuffer = 8 << 10
	// maxAnswerBody bounds a body that is forwarded as it arrives, in bytes: an endpoint may send
	// bytes without end.
	maxAnswerBody = 64 << 20
)

var errAnswerTooLarge = errors.New("the answer is too large")

// attempt sends the request to an endpoint, forwards its answer and records whether the request may have
// run there.
func (x *exchange) attempt(ctx context.Context, e *endpoint) result {
	before := x.sent.Written()
	res := x.send(ctx, e)
	res.unsent = x.sent.Written() == before
	x.sent.Settle(e.ID, res.word)
	return res
}

// send is attempt without the record.
func (x *exchange) send(ctx context.Context, e *endpoint) result {
	cc, err := x.g.pool.Get(ctx, e.Addr, x.g.maxConns(x.service), x.info.ID)
	if err != nil {
		if ctx.Err() != nil {
			return result{outcome: abandoned}
		}
		if errors.Is(err, http1.ErrConnLimit) {
			return result{outcome: atConnLimit}
		}
		x.g.cfg.Log.Info().Str("request", x.info.ID).Str("endpoint", string(e.ID)).Err(err).Msg("endpoint_not_reached")
		return result{outcome: notConnected}
	}
	sending, reason := x.g.dir.beginSend(e)
	if reason != notice.None {
		cc.Return()
		x.g.cfg.Log.Info().Str("request", x.info.ID).Str("endpoint", string(e.ID)).Stringer("reason", reason).Msg("send_withheld")
		return result{outcome: withheld}
	}
	cc.AbortOn(x.watchSilence(ctx, e))
	defer x.endWatch()
	x.logSent(e, cc)
	h := http1.EndToEnd(x.r.Header)
	x.g.cfg.Dialect.WriteRequest(h, ForwardFields{TimeLeft: time.Until(x.deadline), Endpoint: e.Name(), Priority: int(x.requester.level(x.route)), LastEvent: x.lastEvent,
		BackupTo: x.protect(e), GoOnFrom: x.goOnFrom, Authenticated: x.requester.keyed, Customer: x.requester.customerName()})
	x.sent.Writing(e.ID)
	sent := time.Now()
	x.sentAt, x.firstEventAt, x.status = sent, time.Time{}, 0
	cc.Send(x.r.Method, x.r.Target, x.r.Host, h, x.r.Body)
	x.watch.sent(sent)
	resp, v, err := x.receive(cc, e)
	x.g.dir.sendEnded(e, sending, err == nil && !v.NotRun, v.NotRun && !v.ModelMissing && !v.WrongEndpoint)
	if err != nil {
		cc.Close()
		if ctx.Err() != nil && time.Since(sent) >= silenceLimit(x.route) {
			x.g.cfg.Log.Info().Str("request", x.info.ID).Str("endpoint", string(e.ID)).Dur("silent", time.Since(sent)).Msg("endpoint_silent")
			x.recordSilence(e)
			return result{outcome: failed}
		}
		return x.brokenResult(ctx, e, err, "no_answer")
	}
	x.g.unknown.record(x.g, e.ID, v.Unknown)
	x.g.dir.recordLoad(e, v)
	x.g.dir.observeLimit(e, sent, v.Limit)
	if v.NotRun {
		x.drainBody(resp)
		x.g.cfg.Log.Info().Str("request", x.info.ID).Str("endpoint", string(e.ID)).Int("status", resp.Status).Bool("lacks", v.ModelMissing).Bool("moved", v.WrongEndpoint).Str("retry_after", v.Pause.Text).Bool("leaving", v.Leaving.Leaving).
			Int("send", x.sends).Str("connection", cc.LocalAddr()).Dur("after", time.Since(sent)).Msg("endpoint_did_not_run")
		word := once.Read(once.Statement{Request: x.info.ID, Answers: v.ID, NotRun: true, Sends: cc.Sends()})
		return result{word: word, outcome: refusalOutcome(v)}
	}
	if promisesNotRun(resp.Status) && !x.route.MayRepeat() && !x.headSent {
		// It may have run, so the caller must not get this status.
		resp.Abort()
		x.g.metrics.countUnprovenRefusal()
		x.g.cfg.Log.Warn().Str("request", x.info.ID).Str("endpoint", string(e.ID)).Int("send", x.sends).Str("connection", cc.LocalAddr()).Int("status", resp.Status).Msg("endpoint_refused_without_not_run")
		return result{outcome: failed}
	}
	if x.firstByte == 0 {
		x.firstByte = time.Since(x.arrived)
	}
	x.framing, x.status = resp.Framing, resp.Status
	x.g.metrics.countAnswer(resp.Framing)
	res, err := x.forwardAnswer(e, resp)
	if err != nil {
		cc.Close()
		x.g.dir.recordBroken(e)
		return x.brokenResult(ctx, e, err, "answer_broken")
	}
	return res
}

// logSent logs where the request goes and the state that decided it.
func (x *exchange) logSent(e *endpoint, cc *http1.ClientConn) {
	s := x.g.dir.snapshot(e)
	ev := x.g.cfg.Log.Info().Str("request", x.info.ID).Str("endpoint", string(e.ID)).Str("zone", string(e.Zone)).Int("send", x.sends).
		Int("mine", s.ownRunning).Int("others", s.otherRunning).Int("slots", s.slots).Float64("failing", s.failureShare).Uint64("directory", s.rev).Dur("list_age", s.listAge).
		Dur("left", time.Until(x.deadline)).Bool("kept_connection", cc.Reused).Str("connection", cc.LocalAddr()).Str("last_event", x.lastEvent)
	if l := x.load; l != nil {
		ev.Float64("pace", l.pace).Float64("evidence", l.evidence).Float64("factor", l.factor).Dur("expected_first", l.first).Dur("expected", l.finish)
	}
	ev.Msg("request_sent")
}

// receive reads the head of the answer to this request. Answers to other
// requests, which a faulty endpoint may send late, are skipped.
func (x *exchange) receive(cc *http1.ClientConn, e *endpoint) (*http1.Response, AnswerFields, error) {
	for range maxStrayAnswers {
		resp, err := cc.Receive(x.r.Method)
		if err != nil {
			return nil, AnswerFields{}, err
		}
		v := x.g.cfg.Dialect.ReadAnswer(e.Name(), resp.Status, resp.Header)
		x.g.dir.observeNotices(e, v)
		if v.ID == x.info.ID {
			return resp, v, nil
		}
		x.g.metrics.countStrayAnswer()
		x.g.cfg.Log.Info().Str("request", x.info.ID).Str("endpoint", string(e.ID)).Str("connection", cc.LocalAddr()).Int("status", resp.Status).Str("answers", shorten(v.ID)).Bool("not_run", v.NotRun).Msg("answer_to_another_request")
		if resp.Length < 0 || resp.Length > maxBufferedBody {
			break
		}
		if _, err := io.Copy(io.Discard, resp.Body); err != nil {
			return nil, AnswerFields{}, err
		}
	}
	return nil, AnswerFields{}, errors.New("the endpoint answered another request")
}

// promisesNotRun reports whether callers take a status as the promise that the request has not run
// and never will.
func promisesNotRun(status int) bool {
	switch status {
	case http.StatusRequestTimeout, http.StatusMisdirectedRequest, http.StatusTooManyRequests, http.StatusServiceUnavailable:
		return true
	}
	return false
}

// refusalOutcome returns why an endpoint did not run a request.
func refusalOutcome(v AnswerFields) attemptOutcome {
	switch {
	case v.WrongEndpoint:
		return wrongEndpoint
	case v.ModelMissing:
		return modelMissing
	case v.Pause.asks():
		return turnedAway
	}
	return full
}

const (
	// minSilence is the minimum time that an endpoint must be silent after it was sent a
	// request to count as failing when the caller leaves: first answers take 0.03 to 0.25 s,
	// and one in a hundred about 1 s, in a crowded engine's own queue.
	minSilence = time.Second
	// silenceObjectives is the same limit as a multiple of the route's objective.
	silenceObjectives = 2
)

// silenceLimit returns how long an endpoint may take to begin its answer before that
// counts as a failure although the caller ended the request. Without this limit,
// endpoints that accept requests and answer nothing are chosen like any other for as
// long as callers leave before the time limit, since a request that its caller ends
// says nothing about the endpoint.
func silenceLimit(r *deploy.Route) time.Duration {
	return max(minSilence, silenceObjectives*r.Objective)
}

// brokenResult returns the result of an attempt without a complete answer.
func (x *exchange) brokenResult(ctx context.Context, e *endpoint, err error, event string) result {
	if ctx.Err() != nil {
		return result{outcome: abandoned}
	}
	x.g.cfg.Log.Info().Str("request", x.info.ID).Str("endpoint", string(e.ID)).Str("framing", string(x.framing)).Int("events", x.eventsSent).Err(err).Msg("endpoint_" + event)
	x.recordBreak(e)
	return result{outcome: failed, broke: true}
}

// drainBody reads a short body to its end, so that the connection can be kept.
func (x *exchange) drainBody(resp *http1.Response) {
	if n, err := io.Copy(io.Discard, io.LimitReader(resp.Body, maxBufferedBody+1)); err != nil || n > maxBufferedBody {
		resp.Abort()
		return
	}
	resp.Release()
}

// forwardAnswer forwards an answer. An error means that it is incomplete.
func (x *exchange) forwardAnswer(e *endpoint, resp *http1.Response) (result, error) {
	if x.headSent {
		return x.resumeStream(e, resp)
	}
	if x.route.Repeat == deploy.Stream && resp.Status < http.StatusMultipleChoices {
		return x.forwardStream(e, resp)
	}
	return x.forwardPlain(e, resp)
}

// forwardPlain forwards an answer of up to maxBufferedBody after reading it to its end, unless too much is
// held for callers.
func (x *exchange) forwardPlain(e *endpoint, resp *http1.Response) (result, error) {
	body, err := x.c.ReadAnswer(resp.Body, maxBufferedBody+1)
	if err == nil && len(body) > maxBufferedBody || errors.Is(err, clients.ErrCrowded) {
		return x.forwardLarge(e, resp, body)
	}
	end := x.judge(e, resp, err, ending.Opaque)
	if end.verdict == ending.BrokenOff {
		if resp.Status < http.StatusBadRequest || resp.RequestWritten() {
			return result{}, brokenError(err)
		}
		// An endpoint that refuses a long request may close the connection before it has read it. What it
		// said with the status holds without the body.
		body, end.verdict = nil, ending.Unknown
	}
	x.recordAnswer(end.proved(), resp.Status < http.StatusMultipleChoices)
	x.recordPlain(e, resp.Status < http.StatusMultipleChoices)
	resp.Release()
	a := answer{resp.Status, resp.Header, body, end.verdict}
	if resp.Status >= http.StatusInternalServerError && x.route.MayRepeat() {
		x.endpointFailure = &a
		return result{outcome: failed}, nil
	}
	if err := x.writeAnswer(a); err != nil {
		return result{outcome: abandoned, final: true}, nil
	}
	out := succeeded
	if resp.Status >= http.StatusInternalServerError {
		out = failed
	}
	return result{complete: true, outcome: out}, nil
}

// writeAnswer writes a plain answer that was read to its end. A length would claim that it is whole;
// without the endpoint's word for it the answer ends with the connection, as it did here.
func (x *exchange) writeAnswer(a answer) error {
	if a.end == ending.Whole {
		return x.c.WriteResponse(a.status, a.header, a.body, x.r.Method == http.MethodHead)
	}
	err := x.c.WriteHead(a.status, a.header, false)
	if err == nil {
		err = x.c.WriteBody(a.body)
	}
	if err == nil {
		err = x.c.EndBody()
	}
	return err
}

// forwardLarge forwards an answer larger than maxBufferedBody, whose first part has
// been read already.
func (x *exchange) forwardLarge(e *endpoint, resp *http1.Response, first []byte) (result, error) {
	err := x.writeHead(resp, resp.Framing != http1.ByConnection)
	if err == nil {
		err = x.c.WriteBody(first)
	}
	if err != nil {
		// The caller has left. Abort closes the connection, which then no longer
		// counts towards the endpoint's limit.
		resp.Abort()
		return result{outcome: abandoned, final: true}, nil
	}
	return x.forwardBody(resp, nil, func() (result, error) { return x.endLarge(e, resp) })
}

// writeHead writes the head of an answer that is forwarded as it arrives, in chunks if the caller
// knows them.
func (x *exchange) writeHead(resp *http1.Response, chunked bool) error {
	x.headSent = true
	return x.c.WriteHead(resp.Status, resp.Header, chunked && x.r.Minor >= 1)
}

// forwardBody forwards the rest of a body as it arrives, and ends the answer with end. observe, if
// set, is given each piece.
func (x *exchange) forwardBody(resp *http1.Response, observe func([]byte), end func() (result, error)) (result, error) {
	buf := make([]byte, streamBuffer)
	last, total := time.Now(), 0
	for {
		n, err := resp.Body.Read(buf)
		last = x.g.metrics.observeGap(last)
		if total += n; total > maxAnswerBody {
			return result{}, errAnswerTooLarge
		}
		if observe != nil {
			observe(buf[:n])
		}
		if werr := x.c.WriteBody(buf[:n]); werr != nil {
			resp.Abort()
			return result{outcome: abandoned, final: true}, nil
		}
		if errors.Is(err, io.EOF) {
			return end()
		}
		if err != nil {
			return result{}, err
		}
	}
}
