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
	// seenGather is how long what was seen gathers before it is noted: up to 64 requests
	// break off with one engine.
	seenGather = 3 * time.Millisecond
	// seenTimeout bounds one note, and seenPause follows one that failed.
	seenTimeout = 2 * time.Second
	seenPause   = 200 * time.Millisecond
	// mostSeen bounds what waits to be noted while control is out of reach.
	mostSeen = 1024
)

// seen is what this entry saw of requests under which engines ended and that is not in the
// log yet. The log counts for all entries together (package poison), and tells all which
// requests are quarantined.
type seen struct {
	mu       sync.Mutex
	answered *poison.Recent
	under    *poison.Book // what this entry noted itself
	note     poison.Note
	wake     chan struct{}
}

func newSeen() *seen {
	return &seen{answered: poison.NewRecent(time.Now()), under: poison.NewBook(), wake: make(chan struct{}, 1)}
}

// ended notes that an engine ended under a request. One of many alike, of which others were
// answered lately, is innocent.
func (s *seen) ended(now time.Time, f poison.Fingerprint, start string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	e := poison.End{Request: f, Start: start, Cold: s.answered.Cold(now)}
	if s.answered.Has(now, f) {
		return
	}
	if news, _ := s.under.Ended(now, e); !news {
		return
	}
	s.note.Ends = append(s.note.Ends, e)
	s.note.Ends = s.note.Ends[max(0, len(s.note.Ends)-mostSeen):]
	s.poke()
}

// survived notes a whole answer. Only what is suspect is told.
func (s *seen) survived(now time.Time, f poison.Fingerprint) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.answered.Answered(now, f)
	if s.under.Clear(f) {
		s.note.Answered = append(s.note.Answered, f)
		s.poke()
	}
}

// object has quarantines lifted of requests that were answered here lately.
func (s *seen) object(now time.Time, reg poison.Registry) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, c := range reg.Cases {
		if s.answered.Has(now, c.Request) {
			s.note.Answered = append(s.note.Answered, c.Request)
			s.poke()
		}
	}
}

// poke has the note written. The caller holds mu.
func (s *seen) poke() {
	select {
	case s.wake <- struct{}{}:
	default:
	}
}

// take returns what is to be noted.
func (s *seen) take() poison.Note {
	s.mu.Lock()
	defer s.mu.Unlock()
	n := s.note
	s.note = poison.Note{}
	return n
}

// noteSeen writes what was seen to the log until ctx ends.
func (e *Entry) noteSeen(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-e.seen.wake:
		}
		pause(ctx, seenGather)
		n := e.seen.take()
		for ctx.Err() == nil && !e.commitSeen(ctx, n) {
			pause(ctx, seenPause)
		}
	}
}

func (e *Entry) commitSeen(ctx context.Context, n poison.Note) bool {
	ctx, cancel := context.WithTimeout(ctx, seenTimeout)
	defer cancel()
	var res state.Result
	cmd := state.Command{By: string(e.cfg.Host), Poison: &n}
	err := e.follower.Call(ctx, wire.MethodCommit, wire.ProposeParams{Command: cmd}, &res)
	if err != nil {
		e.cfg.Log.Warn().Int("ends", len(n.Ends)).Int("answered", len(n.Answered)).Err(err).Msg("ends_not_noted")
	}
	return err == nil
}

// registry returns what is quarantined, as this entry knows.
func (e *Entry) registry() poison.Registry {
	var reg poison.Registry
	e.follower.Read(func(v *view.View) { reg = v.Poison() })
	return reg
}

// drawKey notes a key for fingerprints, as the group has none; the first one noted counts.
func (e *Entry) drawKey() {
	key := make(poison.Key, poison.KeySize)
	_, _ = rand.Read(key) // never fails
	e.seen.mu.Lock()
	defer e.seen.mu.Unlock()
	e.seen.note.Key = key
	e.seen.poke()
}

// fingerprint names the job by what an engine is given of it; false while the group has no
// key.
func (j *job) fingerprint(key poison.Key) (poison.Fingerprint, bool) {
	if len(key) == 0 {
		return poison.Fingerprint{}, false
	}
	return key.Fingerprint([]byte(j.method), []byte(j.plain), []byte(j.path), []byte(j.contentType), j.body), true
}

// quarantined returns the refusal of a job under which engines ended, or nil.
func (e *Entry) quarantined(j *job) *refusal {
	reg := e.registry()
	f, named := j.fingerprint(reg.Key)
	if !named {
		e.drawKey()
		return nil
	}
	if !reg.Has(f) {
		return nil
	}
	return notRun("quarantined", "endpoints ended each time that this request ran; it is tried again later", poison.QuarantineStays)
}

// learn takes in what an attempt tells of the request.
func (e *Entry) learn(j *job, v verdict) {
	f, named := j.fingerprint(e.registry().Key)
	switch {
	case !named:
	case v.ended != "":
		e.cfg.Log.Warn().Str("request", string(j.id)).Stringer("fingerprint", f).Str("ended", v.ended).Msg("engine_ended_under_request")
		e.seen.ended(time.Now(), f, v.ended)
	case v.state == wire.RunAccepted:
		e.seen.survived(time.Now(), f)
	}
}
