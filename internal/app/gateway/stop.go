package gateway

import (
	"sync"
	"time"

	"github.com/cassiapass/cassiapass/internal/core/deploy"
)

const (
	// drainIdle is how long kept connections may still carry requests after
	// the stop was announced: the platform notices after two missed checks, a
	// second apart.
	drainIdle = 2500 * time.Millisecond
	drainPoll = 50 * time.Millisecond
	// finalFlush is how long the last answers may take to be sent.
	finalFlush = 150 * time.Millisecond
)

// stopWindow is the period of a graceful shutdown.
type stopWindow struct {
	begin time.Time
	end   time.Time
}

// tooLate reports whether a request that may take as long as limit arrives too
// late to be accepted. Without this check, a stream begun 6 s after the stop was
// announced is cut when the process ends 2 s later. Callers still arrive that late
// on kept connections, and on new ones where few other entries are left. A refused
// request goes to another entry at once.
func (s *stopWindow) tooLate(now time.Time, limit time.Duration) bool {
	return now.Sub(s.begin) > drainIdle && now.Add(limit).After(s.end)
}

// cannotFinishBeforeStop reports whether a request must not be sent any more because
// the process stops before its answer is expected to end.
func (g *Gateway) cannotFinishBeforeStop(r *deploy.Route, output int) bool {
	st := g.stopping.Load()
	if st == nil {
		return g.closedToRequests.Load()
	}
	now := time.Now()
	return g.closedToRequests.Load() || st.tooLate(now, r.Timeout) || now.Add(g.pace.maxDuration(output)).After(st.end)
}

// tokenPace is how long engines take for each token that they generate. It rises at once after
// a slow stream and falls slowly: a stream that is begun by a stopping process and takes
// longer than expected is cut. Tokens that were requested and not generated do not count.
// Otherwise, since most answers use a third of the tokens that their callers allow, the
// pace comes out three times too fast, and the one answer that uses them all is cut.
type tokenPace struct {
	mu       sync.Mutex
	perToken time.Duration
}

// paceDecay is the share by which one stream can lower the pace: a slow minute is
// forgotten after about a hundred streams.
const paceDecay = 0.02

// initialPace is assumed before any stream has been observed.
const initialPace = 7 * time.Millisecond

// minPaceTokens is the minimum size of a stream that is observed: in a shorter one a single
// pause of the engine weighs too much.
const minPaceTokens = 60

// observe records that a complete stream of that many tokens took d from its first token on.
func (p *tokenPace) observe(d time.Duration, tokens int) {
	if tokens < minPaceTokens {
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.perToken = max(d/time.Duration(tokens), time.Duration(float64(p.perToken)*(1-paceDecay)))
}

// paceMargin is the factor on the pace when a stopping process decides whether to begin a
// stream: engines slow down while they read long prompts. A stream that is refused goes to
// another entry at once.
const paceMargin = 1.4

// maxDuration returns how long a stream of at most output tokens may take; 0 if nothing
// is known.
func (p *tokenPace) maxDuration(output int) time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	return time.Duration(paceMargin * float64(p.perToken) * float64(output))
}

// Stop shuts down gracefully: the entry reports that it is not ready, serves requests that
// still arrive as long as they can end in time, closes idle connections and returns when
// no request is in progress, or when grace has passed.
func (g *Gateway) Stop(grace time.Duration) {
	begin := time.Now()
	g.stopping.Store(&stopWindow{begin, begin.Add(grace)})
	g.draining.Store(true)
	// Requests that wait for an endpoint check again whether they may still wait.
	// Without this, a request that waited 6 s for its model is begun just before the
	// end, and its stream is cut.
	time.AfterFunc(drainIdle+drainPoll, g.dir.wake)
	for time.Since(begin) < grace {
		if time.Since(begin) > drainIdle && g.idle() {
			break
		}
		time.Sleep(drainPoll)
	}
	g.cancel() // requests that still wait for an endpoint are answered as not run
	for range finalFlush / drainPoll {
		if g.inflight.Load() == 0 {
			break
		}
		time.Sleep(drainPoll)
	}
	g.cfg.Log.Info().Int64("cut", g.inflight.Load()).Dur("took", time.Since(begin)).Msg("entry_stopped")
	g.Kill()
}

// idle reports whether no request is in progress, and keeps it so. Without the second
// check, a request that arrives between the first check and the end of the process is
// begun and cut off, and its outcome is unknown. Each request counts itself before it
// checks closedToRequests, so either it is refused or the second check sees it.
func (g *Gateway) idle() bool {
	g.closeIdle()
	if g.inflight.Load() > 0 {
		return false
	}
	g.closedToRequests.Store(true)
	return g.inflight.Load() == 0
}

func (g *Gateway) closeIdle() {
	g.mu.Lock()
	defer g.mu.Unlock()
	for c, busy := range g.conns {
		if !busy {
			c.Interrupt()
		}
	}
}

// Kill stops at once. Answers under way are cut here and not by the end of the process, which would
// close their connections in order.
func (g *Gateway) Kill() {
	g.cancel()
	_ = g.listener.Close()
	g.mu.Lock()
	defer g.mu.Unlock()
	for c, busy := range g.conns {
		if busy {
			c.Close()
		}
	}
}
