package entry

import (
	"context"
	"crypto/rand"
	"sync"
	"time"

	"github.com/cassiapass/cassiapass/internal/core/poison"
	"github.com/cassiapass/cassiapass/internal/core/state"
	"github.com/cassiapass/cassiapass/internal/core/view"
	"github.com/cassiapass/cassiapass/internal/wire"
)

const (
	// reportDelay is the time for which reports are collected before they are committed: up
	// to 64 requests fail when one engine ends.
	reportDelay = 3 * time.Millisecond
	// reportTimeout limits one commit, and reportRetry is the wait after a failed one.
	reportTimeout = 2 * time.Second
	reportRetry   = 200 * time.Millisecond
	// maxPendingEnds limits the ends that wait to be committed while control is unreachable.
	maxPendingEnds = 1024
)

// suspects collects reports on requests that were running when an engine ended, until they
// are committed to the log. The log counts them over all entries (package poison) and
// publishes which requests are quarantined.
type suspects struct {
	mu            sync.Mutex
	recentAnswers *poison.Recent
	book          *poison.Book // ends that this entry reported
	pending       poison.Change
	wake          chan struct{}
}

func newSuspects() *suspects {
	return &suspects{recentAnswers: poison.NewRecent(time.Now()), book: poison.NewBook(), wake: make(chan struct{}, 1)}
}

// recordEnd records that an engine ended while it ran a request. It ignores a request if an
// identical one was answered recently: such a request is not the cause.
func (s *suspects) recordEnd(now time.Time, f poison.Fingerprint, incarnation string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	e := poison.End{Request: f, Incarnation: incarnation, Cold: s.recentAnswers.Cold(now)}
	if s.recentAnswers.Has(now, f) {
		return
	}
	if added, _ := s.book.Ended(now, e); !added {
		return
	}
	s.pending.Ends = append(s.pending.Ends, e)
	s.pending.Ends = s.pending.Ends[max(0, len(s.pending.Ends)-maxPendingEnds):]
	s.signal()
}

// recordAnswer records that a request was answered completely. It is reported only if ends
// were recorded for the request.
func (s *suspects) recordAnswer(now time.Time, f poison.Fingerprint) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.recentAnswers.Answered(now, f)
	if s.book.Clear(f) {
		s.pending.Answered = append(s.pending.Answered, f)
		s.signal()
	}
}

// liftAnswered reports quarantined requests that were answered here recently, so that their
// quarantine is lifted.
func (s *suspects) liftAnswered(now time.Time, reg poison.Registry) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, c := range reg.Cases {
		if s.recentAnswers.Has(now, c.Request) {
			s.pending.Answered = append(s.pending.Answered, c.Request)
			s.signal()
		}
	}
}

// signal wakes the loop that commits reports. The caller holds mu.
func (s *suspects) signal() {
	select {
	case s.wake <- struct{}{}:
	default:
	}
}

// takePending returns the pending reports and clears them.
func (s *suspects) takePending() poison.Change {
	s.mu.Lock()
	defer s.mu.Unlock()
	n := s.pending
	s.pending = poison.Change{}
	return n
}

// reportLoop commits pending reports to the log until ctx ends.
func (e *Entry) reportLoop(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-e.suspects.wake:
		}
		pause(ctx, reportDelay)
		n := e.suspects.takePending()
		for ctx.Err() == nil && !e.commitReport(ctx, n) {
			pause(ctx, reportRetry)
		}
	}
}

func (e *Entry) commitReport(ctx context.Context, n poison.Change) bool {
	ctx, cancel := context.WithTimeout(ctx, reportTimeout)
	defer cancel()
	var res state.Result
	cmd := state.Command{By: string(e.cfg.Host), Poison: &n}
	err := e.follower.Call(ctx, wire.MethodCommit, wire.ProposeParams{Command: cmd}, &res)
	if err != nil {
		e.cfg.Log.Warn().Int("ends", len(n.Ends)).Int("answered", len(n.Answered)).Err(err).Msg("ends_not_noted")
	}
	return err == nil
}

// registry returns the quarantined requests in this entry's view.
func (e *Entry) registry() poison.Registry {
	var reg poison.Registry
	e.follower.Read(func(v *view.View) { reg = v.Poison() })
	return reg
}

// generateKey proposes a random key for fingerprints, as the group has none. The first key that
// is committed applies.
func (e *Entry) generateKey() {
	key := make(poison.Key, poison.KeySize)
	_, _ = rand.Read(key) // never fails
	e.suspects.mu.Lock()
	defer e.suspects.mu.Unlock()
	e.suspects.pending.Key = key
	e.suspects.signal()
}

// fingerprint returns the job's fingerprint over everything that an engine receives of it;
// false while the group has no key.
func (j *job) fingerprint(key poison.Key) (poison.Fingerprint, bool) {
	if len(key) == 0 {
		return poison.Fingerprint{}, false
	}
	return key.Fingerprint([]byte(j.method), []byte(j.plain), []byte(j.path), []byte(j.contentType), j.body), true
}

// quarantineRefusal returns the refusal of a job that is quarantined because engines ended
// while they ran it, or nil.
func (e *Entry) quarantineRefusal(j *job) *refusal {
	reg := e.registry()
	f, hasKey := j.fingerprint(reg.Key)
	if !hasKey {
		e.generateKey()
		return nil
	}
	if !reg.Has(f) {
		return nil
	}
	return notRun("quarantined", "endpoints ended each time that this request ran; it is tried again later", poison.QuarantineDuration)
}

// recordResult records whether an engine ended during the attempt or the request was answered.
func (e *Entry) recordResult(j *job, r attemptResult) {
	f, hasKey := j.fingerprint(e.registry().Key)
	switch {
	case !hasKey:
	case r.endedIncarnation != "":
		e.cfg.Log.Warn().Str("request", string(j.id)).Stringer("fingerprint", f).Str("ended", r.endedIncarnation).Msg("engine_ended_under_request")
		e.suspects.recordEnd(time.Now(), f, r.endedIncarnation)
	case r.state == wire.RunAccepted:
		e.suspects.recordAnswer(time.Now(), f)
	}
}
