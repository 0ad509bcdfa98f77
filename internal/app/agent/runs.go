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
	"github.com/cassiapass/cassiapass/internal/core/ident"
	"github.com/cassiapass/cassiapass/internal/core/state"
	"github.com/cassiapass/cassiapass/internal/core/stream"
	"github.com/cassiapass/cassiapass/internal/port"
	"github.com/cassiapass/cassiapass/internal/wire"
)

const (
	partBytes    = 16 << 10 // largest piece of an answer in one message
	resumeTries  = 3        // times a cut engine stream is resumed
	resumePause  = 100 * time.Millisecond
	settleWithin = 10 * time.Second
)

// sseEnd ends a stream of server-sent events of an OpenAI-style engine. A
// stream without it was cut.
var sseEnd = []byte("data: [DONE]")

// run is one attempt. Its fields are guarded by the agent's lock.
type run struct {
	params wire.RunParams
	id     ident.Index // replica

	conn     *rpc.Conn // where parts go; nil while no entry is connected
	sent     int64     // offset up to which parts went to conn
	endSent  bool
	headSent bool
	confirm  bool // the entry holds the end
	orphan   time.Time

	head    *wire.Head
	out     *stream.Sender
	tail    []byte // last bytes, to recognise the end mark
	record  []byte // the answer for the claim, up to its bound
	tooLong bool
	end     *wire.End
	ended   time.Time
	started bool

	ctx    context.Context
	cancel context.CancelFunc
	wake   chan struct{} // the pump has something to do
	room   chan struct{} // the producer may have room again
}

// newRun takes on an admitted attempt. It is called under the lock.
func (a *Agent) newRun(p wire.RunParams, id ident.Index, conn *rpc.Conn) *run {
	if a.leaving {
		panic("invariant: agent: attempt " + p.Attempt.String() + " taken on while leaving")
	}
	ctx, cancel := context.WithTimeout(a.ctx, p.EndWithin)
	r := &run{params: p, id: id, conn: conn, out: stream.NewSender(a.cfg.Window), ctx: ctx, cancel: cancel, wake: make(chan struct{}, 1), room: make(chan struct{}, 1)}
	a.runs[p.Attempt] = r
	a.goDo(func() { a.pump(r) })
	return r
}

// settled reports whether nothing is left to do for the entry.
func (r *run) settled() bool { return r.end != nil && (r.confirm || r.conn == nil) }

func poke(ch chan struct{}) {
	select {
	case ch <- struct{}{}:
	default:
	}
}

func (a *Agent) wakeAll() {
	a.mu.Lock()
	defer a.mu.Unlock()
	for _, r := range a.runs {
		poke(r.wake)
		poke(r.room)
	}
}

// start runs an admitted attempt. It is called once per attempt, under the lock.
func (a *Agent) start(r *run) {
	if r.started {
		panic("invariant: agent: attempt " + r.params.Attempt.String() + " started twice")
	}
	r.started = true
	a.met.started.Inc()
	a.goDo(func() { a.produce(r) })
}

// produce runs the call and reads its answer into the buffer.
func (a *Agent) produce(r *run) {
	end := a.callBackend(r)
	a.finish(r, end)
}

// callBackend returns how the call ended.
func (a *Agent) callBackend(r *run) wire.End {
	p := r.params
	id := p.Attempt.String()
	start := a.backendStart()
	res, err := a.backend.Run(r.ctx, port.Call{ID: id, Method: p.Method, Path: p.Path, ContentType: p.ContentType, Body: p.Body})
	if errors.Is(err, port.ErrNotSent) {
		a.suspect()
		return wire.End{State: wire.RunNotRun, Reason: "the engine could not be reached"}
	}
	ended := "" // the start that ran the attempt, once nobody takes a resume
	for try := 0; ; try++ {
		if err == nil {
			if err = a.copyAnswer(r, res); err == nil {
				return wire.End{State: wire.RunAccepted}
			}
		}
		if r.ctx.Err() != nil || try >= resumeTries {
			return wire.End{State: wire.RunUnknown, Reason: reasonOf(r.ctx, err), Ended: ended}
		}
		if errors.Is(err, port.ErrCrossed) {
			a.met.crossed.Inc()
		}
		a.cfg.Log.Warn().Str("request", id).Int64("offset", a.offset(r)).Err(err).Msg("engine_stream_cut")
		a.pause(resumePause << try)
		a.met.resumes.Inc()
		res, err = a.backend.Resume(r.ctx, id, a.offset(r))
		if errors.Is(err, port.ErrRefused) {
			return wire.End{State: wire.RunUnknown, Reason: "the engine cannot resume the answer", Ended: ended}
		}
		if errors.Is(err, port.ErrNotSent) && ended == "" {
			ended = a.backendEnded(start)
		}
	}
}

func reasonOf(ctx context.Context, err error) string {
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

// copyAnswer reads one response to its end. An error means that it was cut.
func (a *Agent) copyAnswer(r *run, res *port.Response) error {
	defer res.Body.Close()
	if res.Status == http.StatusPartialContent {
		res.Status = http.StatusOK // a resumed answer
	}
	contentType := res.Header.Get("Content-Type")
	events := strings.HasPrefix(contentType, "text/event-stream")
	a.begin(r, wire.Head{Status: res.Status, ContentType: contentType})
	// A connection that went silent for good looks like a slow engine; the
	// watchdog closes it so that the answer can be resumed on a new one.
	var dog *time.Timer
	if events {
		dog = time.AfterFunc(a.cfg.EngineSilent, func() { _ = res.Body.Close() })
		defer dog.Stop()
	}
	buf := make([]byte, partBytes)
	for {
		n, err := a.waitRoom(r, len(buf))
		if err != nil {
			return err
		}
		if dog != nil {
			dog.Reset(a.cfg.EngineSilent)
		}
		n, err = res.Body.Read(buf[:n])
		a.write(r, buf[:n])
		if errors.Is(err, io.EOF) {
			return a.whole(r, events, res.Status)
		}
		if err != nil {
			return err
		}
	}
}

var errCut = errors.New("the stream ended without its end mark")

// whole checks the end of an answer whose transport ended properly.
func (a *Agent) whole(r *run, events bool, status int) error {
	a.mu.Lock()
	defer a.mu.Unlock()
	if events && status == http.StatusOK && !bytes.Contains(r.tail, sseEnd) {
		return errCut
	}
	return nil
}

func (a *Agent) begin(r *run, h wire.Head) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if r.head == nil {
		r.head = &h
		poke(r.wake)
	}
}

// waitRoom waits until the buffer has room: a slow reader slows the engine.
func (a *Agent) waitRoom(r *run, limit int) (int, error) {
	for {
		a.mu.Lock()
		n := min(r.out.Room(), limit)
		a.mu.Unlock()
		if n > 0 {
			return n, nil
		}
		select {
		case <-r.room:
		case <-r.ctx.Done():
			return 0, r.ctx.Err()
		}
	}
}

const tailBytes = 64 // enough to hold the end mark and the line ends after it

func (a *Agent) write(r *run, p []byte) {
	if len(p) == 0 {
		return
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	r.out.Write(p)
	r.tail = append(r.tail, p...)
	r.tail = r.tail[max(0, len(r.tail)-tailBytes):]
	if r.params.Claim != nil && !r.tooLong {
		r.record = append(r.record, p...)
		if len(r.record) > state.MaxAnswer {
			r.record, r.tooLong = nil, true
		}
	}
	poke(r.wake)
}

// finish ends a run that was started.
func (a *Agent) finish(r *run, end wire.End) {
	a.release(r)
	if r.params.Claim != nil && end.State == wire.RunAccepted {
		// The answer is recorded before the entry gets the end: whoever has
		// seen the whole answer will get the same one again under this key.
		a.settle(r)
	}
	now := time.Now()
	a.mu.Lock()
	defer a.mu.Unlock()
	r.out.Close()
	end.Attempt, end.Total = r.params.Attempt, r.out.End()
	r.end, r.ended = &end, now
	a.touch(r.id, now)
	a.met.ended(end.State)
	r.cancel()
	poke(r.wake)
}

// release frees the run's slot and starts who waits for it.
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

// touch notes a use of a replica for the next report.
func (a *Agent) touch(id ident.Index, now time.Time) {
	if id != 0 {
		a.used[id] = now
	}
}

// endQueued ends an attempt that waited and did not run.
func (a *Agent) endQueued(at ident.Attempt, reason string) {
	r, ok := a.runs[at]
	if !ok || r.end != nil {
		return
	}
	if r.started {
		panic("invariant: agent: attempt " + at.String() + " reported as not run after it started")
	}
	r.end = &wire.End{Attempt: at, State: wire.RunNotRun, Reason: reason}
	r.ended = time.Now()
	r.cancel()
	a.met.ended(wire.RunNotRun)
	poke(r.wake)
}

// settle records the answer under the idempotency key.
func (a *Agent) settle(r *run) {
	a.mu.Lock()
	ans := &state.Answer{Status: r.head.Status, ContentType: r.head.ContentType, Body: r.record, TooLarge: r.tooLong}
	a.mu.Unlock()
	p := wire.ClaimParams{Settle: &state.SettleClaim{Key: *r.params.Claim, Request: r.params.Attempt.Request, Answer: ans}}
	ctx, cancel := context.WithTimeout(a.ctx, settleWithin)
	defer cancel()
	for ctx.Err() == nil {
		var res state.Result
		if err := a.follower.Call(ctx, wire.MethodClaim, p, &res); err == nil {
			return
		}
		a.pause(resumePause)
	}
	// Without a quorum the answer still goes to its caller; a repeat will be
	// told that the outcome is unknown, and nothing runs twice.
	a.cfg.Log.Warn().Str("request", string(r.params.Attempt.Request)).Msg("claim_not_settled")
}

// pump sends a run's answer over its present connection until the entry holds
// the end or the run is dropped.
func (a *Agent) pump(r *run) {
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

// nextSend returns what to send next, nothing if the pump has to wait, or done.
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

// nextPart returns the next piece of the answer; the first one on a connection
// carries the head, also when the answer has no body.
func (r *run) nextPart() *wire.Part {
	data, ok := r.out.From(r.sent, partBytes)
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

// attach sends the answer from offset on over conn.
func (a *Agent) attach(r *run, conn *rpc.Conn, offset int64) bool {
	if _, ok := r.out.From(offset, 0); !ok {
		return false
	}
	r.conn, r.sent, r.endSent, r.headSent = conn, offset, false, false
	r.orphan = time.Time{}
	poke(r.wake)
	return true
}

// detach notes that a connection closed; its runs wait for their entry.
func (a *Agent) detach(conn *rpc.Conn) {
	now := time.Now()
	a.mu.Lock()
	defer a.mu.Unlock()
	for _, r := range a.runs {
		if r.conn == conn {
			r.conn = nil
			r.orphan = now
		}
	}
}

// reap drops runs that nobody will ask for any more and cancels orphans. A run
// under a claim goes on without its entry, because its answer is recorded.
func (a *Agent) reap(now time.Time) {
	for at, r := range a.runs {
		switch {
		case r.end != nil && (r.confirm || now.Sub(r.ended) > a.cfg.KeepEnded):
			delete(a.runs, at)
			poke(r.wake)
		case r.end == nil && r.conn == nil && now.Sub(r.orphan) > a.cfg.OrphanAfter && r.params.Claim == nil:
			a.cancelRun(r)
		case r.end == nil && r.started:
			a.touch(r.id, now)
		}
	}
	for at, until := range a.barred {
		if now.After(until) {
			delete(a.barred, at)
		}
	}
}

// cancelRun ends a run on behalf of its entry or for want of one.
func (a *Agent) cancelRun(r *run) {
	if !r.started {
		if a.queue.Cancel(r.params.Attempt) {
			a.endQueued(r.params.Attempt, "cancelled")
		}
		return
	}
	r.cancel()
	id := r.params.Attempt.String()
	a.goDo(func() {
		ctx, cancel := context.WithTimeout(context.Background(), commitTimeout)
		defer cancel()
		_ = a.backend.Cancel(ctx, id)
	})
}
