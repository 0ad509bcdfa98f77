package agent

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net/http"
	"strings"
	"time"

	"github.com/cassiapass/cassiapass/internal/adapter/rpc"
	"github.com/cassiapass/cassiapass/internal/core/ending"
	"github.com/cassiapass/cassiapass/internal/core/ident"
	"github.com/cassiapass/cassiapass/internal/core/state"
	"github.com/cassiapass/cassiapass/internal/core/stream"
	"github.com/cassiapass/cassiapass/internal/port"
	"github.com/cassiapass/cassiapass/internal/wire"
)

const (
	maxPartBytes  = 16 << 10 // maximum size of the data in one part
	maxResumes    = 3        // times that a broken engine stream is resumed
	resumeBackoff = 100 * time.Millisecond
	settleTimeout = 10 * time.Second
)

// sseEndMark ends a stream of server-sent events of an OpenAI-style engine. A
// stream without it is incomplete.
var sseEndMark = []byte("data: [DONE]")

// run is one admitted attempt. Its fields are guarded by the agent's lock.
type run struct {
	params  wire.RunParams
	replica ident.Index // 0 for a plain service

	conn       *rpc.Conn // where parts are sent; nil while no entry is connected
	sent       int64     // offset up to which the answer was sent over conn
	endSent    bool
	headSent   bool
	confirmed  bool // the entry has acknowledged the end
	orphanedAt time.Time

	head          *wire.Head
	out           *stream.Sender
	tail          []byte // last bytes, to detect the end mark
	claimAnswer   []byte // the answer to record under the claim, up to state.MaxAnswer bytes
	claimTooLarge bool
	end           *wire.End
	endedAt       time.Time
	started       bool

	ctx    context.Context
	cancel context.CancelFunc
	wake   chan struct{} // sendAnswer has something to do
	space  chan struct{} // the buffer may have free space again
}

// newRun creates the run of an admitted attempt. The caller holds the lock.
func (a *Agent) newRun(p wire.RunParams, id ident.Index, conn *rpc.Conn) *run {
	if a.leaving {
		panic("invariant: agent: attempt " + p.Attempt.String() + " taken on while leaving")
	}
	ctx, cancel := context.WithTimeout(a.ctx, p.EndWithin)
	r := &run{params: p, replica: id, conn: conn, out: stream.NewSender(a.cfg.Window), ctx: ctx, cancel: cancel, wake: make(chan struct{}, 1), space: make(chan struct{}, 1)}
	a.runs[p.Attempt] = r
	a.spawn(func() { a.sendAnswer(r) })
	return r
}

// settled reports whether nothing remains to be sent to the entry.
func (r *run) settled() bool { return r.end != nil && (r.confirmed || r.conn == nil) }

// signal wakes the receiver of ch without blocking.
func signal(ch chan struct{}) {
	select {
	case ch <- struct{}{}:
	default:
	}
}

func (a *Agent) wakeAll() {
	a.mu.Lock()
	defer a.mu.Unlock()
	for _, r := range a.runs {
		signal(r.wake)
		signal(r.space)
	}
}

// start runs an admitted attempt. It is called once per attempt. The caller holds
// the lock.
func (a *Agent) start(r *run) {
	if r.started {
		panic("invariant: agent: attempt " + r.params.Attempt.String() + " started twice")
	}
	r.started = true
	a.met.started.Inc()
	a.spawn(func() { a.runCall(r) })
}

// runCall calls the engine or service, reads its answer into the buffer and ends
// the run.
func (a *Agent) runCall(r *run) {
	end := a.callBackend(r)
	a.finish(r, end)
}

// callBackend sends the request to the engine or service and reads its answer,
// resuming it when the stream breaks. It returns how the call ended.
func (a *Agent) callBackend(r *run) wire.End {
	p := r.params
	id := p.Attempt.String()
	incarnation := a.backendIncarnation()
	res, err := a.backend.Run(r.ctx, port.Call{ID: id, Method: p.Method, Path: p.Path, ContentType: p.ContentType, Body: p.Body})
	if errors.Is(err, port.ErrNotSent) {
		a.requestList()
		return wire.End{State: wire.RunNotRun, Reason: "the engine could not be reached"}
	}
	endedIncarnation := "" // the incarnation that ran the attempt, once a resume could not be sent
	for try := 0; ; try++ {
		if err == nil {
			if err = a.copyAnswer(r, res); err == nil {
				return wire.End{State: wire.RunAccepted}
			}
		}
		if r.ctx.Err() != nil || try >= maxResumes {
			return wire.End{State: wire.RunUnknown, Reason: failureReason(r.ctx, err), Ended: endedIncarnation}
		}
		if errors.Is(err, port.ErrCrossed) {
			a.met.crossed.Inc()
		}
		a.cfg.Log.Warn().Str("request", id).Int64("offset", a.offset(r)).Err(err).Msg("engine_stream_cut")
		a.pause(resumeBackoff << try)
		a.met.resumes.Inc()
		res, err = a.backend.Resume(r.ctx, id, a.offset(r))
		if errors.Is(err, port.ErrRefused) {
			return wire.End{State: wire.RunUnknown, Reason: "the engine cannot resume the answer", Ended: endedIncarnation}
		}
		if errors.Is(err, port.ErrNotSent) && endedIncarnation == "" {
			endedIncarnation = a.backendEnded(incarnation)
		}
	}
}

func failureReason(ctx context.Context, err error) string {
	if cause := ctx.Err(); errors.Is(cause, context.DeadlineExceeded) {
		return "the time limit has passed"
	} else if cause != nil {
		return "cancelled"
	}
	return err.Error()
}

func (a *Agent) offset(r *run) int64 {
	a.mu.Lock()
	defer a.mu.Unlock()
	return r.out.End()
}

// copyAnswer reads one response into the buffer. An error means that the response
// is incomplete.
func (a *Agent) copyAnswer(r *run, res *port.Response) error {
	defer res.Body.Close()
	if res.Status == http.StatusPartialContent {
		res.Status = http.StatusOK // a resumed answer
	}
	contentType := res.Header.Get("Content-Type")
	events := strings.HasPrefix(contentType, "text/event-stream")
	a.setHead(r, wire.Head{Status: res.Status, ContentType: contentType})
	// A connection that has become permanently silent looks like a slow engine.
	// The watchdog closes it so that the answer can be resumed over a new one.
	var watchdog *time.Timer
	if events {
		watchdog = time.AfterFunc(a.cfg.EngineSilenceLimit, func() { _ = res.Body.Close() })
		defer watchdog.Stop()
	}
	buf := make([]byte, maxPartBytes)
	for {
		n, err := a.waitForSpace(r, len(buf))
		if err != nil {
			return err
		}
		if watchdog != nil {
			watchdog.Reset(a.cfg.EngineSilenceLimit)
		}
		n, err = res.Body.Read(buf[:n])
		a.write(r, buf[:n])
		if errors.Is(err, io.EOF) {
			return a.checkEnd(r, events && res.Status == http.StatusOK, res.Framed)
		}
		if err != nil {
			return err
		}
	}
}

var (
	errNoEndMark  = errors.New("the stream ended without its end mark")
	errEndUnknown = errors.New("the answer ended with its connection, which a crash does as well")
)

// checkEnd checks an answer whose transport ended in order. Streams have an end mark. What is left
// unknown is an error, too: the engine is asked for the rest, and a framed answer to that settles it.
func (a *Agent) checkEnd(r *run, marked, framed bool) error {
	a.mu.Lock()
	defer a.mu.Unlock()
	end := ending.Answer{Framed: framed}
	if marked {
		end.Content = ending.Unfinished
		if bytes.Contains(r.tail, sseEndMark) {
			end.Content = ending.Finished
		}
	}
	switch ending.Judge(end) {
	case ending.Whole:
		return nil
	case ending.BrokenOff:
		return errNoEndMark
	}
	return errEndUnknown
}

// setHead sets the head of the answer, unless it was set before a resume.
func (a *Agent) setHead(r *run, h wire.Head) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if r.head == nil {
		r.head = &h
		signal(r.wake)
	}
}

// waitForSpace waits until the buffer has free space and returns how many bytes may
// be read, at most limit. This way a slow reader slows the engine down.
func (a *Agent) waitForSpace(r *run, limit int) (int, error) {
	for {
		a.mu.Lock()
		n := min(r.out.Free(), limit)
		a.mu.Unlock()
		if n > 0 {
			return n, nil
		}
		select {
		case <-r.space:
		case <-r.ctx.Done():
			return 0, r.ctx.Err()
		}
	}
}

const tailBytes = 64 // enough for the end mark and the line breaks after it

func (a *Agent) write(r *run, p []byte) {
	if len(p) == 0 {
		return
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	r.out.Write(p)
	r.tail = append(r.tail, p...)
	r.tail = r.tail[max(0, len(r.tail)-tailBytes):]
	if r.params.Claim != nil && !r.claimTooLarge {
		r.claimAnswer = append(r.claimAnswer, p...)
		if len(r.claimAnswer) > state.MaxAnswer {
			r.claimAnswer, r.claimTooLarge = nil, true
		}
	}
	signal(r.wake)
}

// finish ends a started run.
func (a *Agent) finish(r *run, end wire.End) {
	a.release(r)
	if r.params.Claim != nil && end.State == wire.RunAccepted {
		// The answer is recorded before the end is sent to the entry: a caller
		// that received the complete answer gets the same one again under
		// this key.
		a.recordAnswer(r)
	}
	now := time.Now()
	a.mu.Lock()
	defer a.mu.Unlock()
	r.out.Close()
	end.Attempt, end.Total = r.params.Attempt, r.out.End()
	r.end, r.endedAt = &end, now
	a.recordUse(r.replica, now)
	a.met.ended(end.State)
	r.cancel()
	signal(r.wake)
}

// release frees the run's slot and starts the requests that are next in the queue.
func (a *Agent) release(r *run) {
	now := time.Now()
	a.mu.Lock()
	defer a.mu.Unlock()
	a.queue.Finish(now, r.params.Attempt)
	for _, q := range a.queue.Next(now) {
		if next, ok := a.runs[q.Attempt]; ok {
			a.start(next)
		}
	}
}

// recordUse records a use of a replica for the next report.
func (a *Agent) recordUse(id ident.Index, now time.Time) {
	if id != 0 {
		a.lastUsed[id] = now
	}
}

// endQueued ends a queued attempt as not run.
func (a *Agent) endQueued(id ident.Attempt, reason string) {
	r, ok := a.runs[id]
	if !ok || r.end != nil {
		return
	}
	if r.started {
		panic("invariant: agent: attempt " + id.String() + " reported as not run after it started")
	}
	r.end = &wire.End{Attempt: id, State: wire.RunNotRun, Reason: reason}
	r.endedAt = time.Now()
	r.cancel()
	a.met.ended(wire.RunNotRun)
	signal(r.wake)
}

// recordAnswer records the answer under the idempotency key, retrying for at most
// settleTimeout.
func (a *Agent) recordAnswer(r *run) {
	a.mu.Lock()
	ans := &state.Answer{Status: r.head.Status, ContentType: r.head.ContentType, Body: r.claimAnswer, TooLarge: r.claimTooLarge}
	a.mu.Unlock()
	p := wire.ClaimParams{Settle: &state.SettleClaim{Key: *r.params.Claim, Request: r.params.Attempt.Request, Answer: ans}}
	ctx, cancel := context.WithTimeout(a.ctx, settleTimeout)
	defer cancel()
	for ctx.Err() == nil {
		var res state.Result
		if err := a.follower.Call(ctx, wire.MethodClaim, p, &res); err == nil {
			return
		}
		a.pause(resumeBackoff)
	}
	// Without a quorum the answer is still sent to its caller. A repeated
	// request is answered that the outcome is unknown, and nothing runs twice.
	a.cfg.Log.Warn().Str("request", string(r.params.Attempt.Request)).Msg("claim_not_settled")
}

// sendAnswer sends a run's answer over its current connection until the run is
// removed or the agent stops.
func (a *Agent) sendAnswer(r *run) {
	for {
		conn, part, end, done := a.nextSend(r)
		if done {
			return
		}
		var err error
		switch {
		case part != nil:
			err = conn.Notify(wire.MethodPart, part)
		case end != nil:
			err = conn.Notify(wire.MethodEnd, end)
		default:
			select {
			case <-r.wake:
			case <-a.ctx.Done():
				return
			}
		}
		if err != nil {
			conn.Close()
			a.detach(conn)
		}
	}
}

// nextSend returns the next part or end to send and its connection, neither if
// there is nothing to send yet, or true if the run was removed.
func (a *Agent) nextSend(r *run) (*rpc.Conn, *wire.Part, *wire.End, bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if _, ok := a.runs[r.params.Attempt]; !ok {
		return nil, nil, nil, true
	}
	if r.conn == nil {
		return nil, nil, nil, false
	}
	if r.head != nil && (!r.headSent || r.sent < r.out.End()) {
		return r.conn, r.nextPart(), nil, false
	}
	if r.end != nil && !r.endSent {
		r.endSent = true
		end := *r.end
		end.Load = a.load()
		return r.conn, nil, &end, false
	}
	return nil, nil, nil, false
}

// nextPart returns the next part of the answer. The first part on a connection
// carries the head, also when the answer has no body.
func (r *run) nextPart() *wire.Part {
	data, ok := r.out.From(r.sent, maxPartBytes)
	if !ok {
		panic("invariant: agent: unconfirmed bytes were dropped")
	}
	part := &wire.Part{Attempt: r.params.Attempt, Offset: r.sent, Data: data}
	if !r.headSent {
		part.Head, r.headSent = r.head, true
	}
	r.sent += int64(len(data))
	return part
}

// attach makes the run send its answer from offset on over conn. It returns false
// if the buffer no longer holds the answer from there.
func (a *Agent) attach(r *run, conn *rpc.Conn, offset int64) bool {
	if _, ok := r.out.From(offset, 0); !ok {
		return false
	}
	r.conn, r.sent, r.endSent, r.headSent = conn, offset, false, false
	r.orphanedAt = time.Time{}
	signal(r.wake)
	return true
}

// detach is called when a connection has closed. Its runs wait for their entry to
// resume them.
func (a *Agent) detach(conn *rpc.Conn) {
	now := time.Now()
	a.mu.Lock()
	defer a.mu.Unlock()
	for _, r := range a.runs {
		if r.conn == conn {
			r.conn = nil
			r.orphanedAt = now
		}
	}
}

// reap removes runs whose answer will not be requested again and cancels runs whose
// entry has been disconnected for longer than OrphanAfter. A run under a claim
// continues without its entry, because its answer is recorded. reap also removes
// expired blocks.
func (a *Agent) reap(now time.Time) {
	for id, r := range a.runs {
		switch {
		case r.end != nil && (r.confirmed || now.Sub(r.endedAt) > a.cfg.EndedRetention):
			delete(a.runs, id)
			signal(r.wake)
		case r.end == nil && r.conn == nil && now.Sub(r.orphanedAt) > a.cfg.OrphanAfter && r.params.Claim == nil:
			a.cancelRun(r)
		case r.end == nil && r.started:
			a.recordUse(r.replica, now)
		}
	}
	for id, until := range a.blocked {
		if now.After(until) {
			delete(a.blocked, id)
		}
	}
}

// cancelRun cancels a run for its entry, or because its entry is disconnected.
func (a *Agent) cancelRun(r *run) {
	if !r.started {
		if a.queue.Cancel(r.params.Attempt) {
			a.endQueued(r.params.Attempt, "cancelled")
		}
		return
	}
	r.cancel()
	id := r.params.Attempt.String()
	a.spawn(func() {
		ctx, cancel := context.WithTimeout(context.Background(), commitTimeout)
		defer cancel()
		_ = a.backend.Cancel(ctx, id)
	})
}
