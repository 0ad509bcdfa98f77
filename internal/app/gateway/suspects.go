package gateway

import (
	"sync"
	"time"

	"github.com/cassiapass/cassiapass/internal/core/fleet"
	"github.com/cassiapass/cassiapass/internal/core/poison"
	"github.com/cassiapass/cassiapass/internal/wire"
)

const (
	// openStays is how long a run that broke off, or stayed silent, waits for the list to
	// show that the endpoint has ended: a dead endpoint stays on it for some seconds.
	openStays = 10 * time.Second
	// mostOpen bounds such runs at one endpoint.
	mostOpen = 256
)

// suspects is what this entry knows of requests under which endpoints ended: what it saw
// itself, and what the leader tells of what all entries saw. Symptom with the first alone: a
// request that ends whoever runs it comes again through another entry, which begins from
// nothing.
type suspects struct {
	mu       sync.Mutex
	key      poison.Key
	own      *poison.Book
	answered *poison.Recent
	told     map[poison.Fingerprint]toldCase
	mark     wire.SuspectMark
	open     map[fleet.EndpointID][]openRun
	ends     []poison.End         // not told yet
	cleared  []poison.Fingerprint // not told yet
	retell   bool                 // the leader that knew what was told is gone
	urgent   chan struct{}        // signalled when there is something to tell
}

// toldCase is what the leader told of one request.
type toldCase struct {
	ends  int
	until time.Time // end of its quarantine; zero if there is none
}

// openRun is a run that broke off at an endpoint of which it is not known whether it ended.
type openRun struct {
	request poison.Fingerprint
	at      time.Time
}

func newSuspects() *suspects {
	return &suspects{own: poison.NewBook(), answered: poison.NewRecent(time.Now()), told: map[poison.Fingerprint]toldCase{},
		open: map[fleet.EndpointID][]openRun{}, urgent: make(chan struct{}, 1)}
}

// fingerprint names a request; false until a leader has told the key.
func (s *suspects) fingerprint(parts ...[]byte) (poison.Fingerprint, bool) {
	s.mu.Lock()
	key := s.key
	s.mu.Unlock()
	if len(key) == 0 {
		return poison.Fingerprint{}, false
	}
	return key.Fingerprint(parts...), true
}

// standing returns the graver of what is known here and what was told.
func (s *suspects) standing(now time.Time, f poison.Fingerprint) poison.Standing {
	s.mu.Lock()
	defer s.mu.Unlock()
	st := s.own.Standing(now, f)
	t := s.told[f]
	st.Ends = max(st.Ends, t.ends)
	if left := t.until.Sub(now); left > st.Left {
		st.Quarantined, st.Left = true, left
	}
	return st
}

// ended notes that a start of an endpoint ended under a request.
func (s *suspects) ended(now time.Time, f poison.Fingerprint, start fleet.EndpointID) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.end(now, f, start)
}

// end is ended for callers that hold mu. One of many requests alike, of which others were
// answered lately, is innocent.
func (s *suspects) end(now time.Time, f poison.Fingerprint, start fleet.EndpointID) {
	if s.answered.Has(now, f) {
		return
	}
	e := poison.End{Request: f, Start: string(start), Cold: s.answered.Cold(now)}
	if news, _ := s.own.Ended(now, e); !news {
		return
	}
	s.ends = append(s.ends, e)
	s.tellSoon()
}

// broke notes a run that broke off or stayed silent, at an endpoint that may have ended.
func (s *suspects) broke(now time.Time, f poison.Fingerprint, start fleet.EndpointID) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.open[start]) < mostOpen {
		s.open[start] = append(s.open[start], openRun{f, now})
	}
}

// gone notes that a start of an endpoint is no more, or leaves as planned: what broke off
// there broke off with it, unless it left.
func (s *suspects) gone(now time.Time, start fleet.EndpointID, planned bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, r := range s.open[start] {
		if !planned && now.Sub(r.at) <= openStays {
			s.end(now, r.request, start)
		}
	}
	delete(s.open, start)
}

// survived notes a whole answer: the request ends nobody.
func (s *suspects) survived(now time.Time, f poison.Fingerprint) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.answered.Answered(now, f)
	_, told := s.told[f]
	if s.own.Clear(f) || told {
		s.object(f)
	}
}

// object has the leader told that a suspect is innocent. The caller holds mu.
func (s *suspects) object(f poison.Fingerprint) {
	delete(s.told, f)
	s.cleared = append(s.cleared, f)
	s.tellSoon()
}

func (s *suspects) tellSoon() {
	select {
	case s.urgent <- struct{}{}:
	default: // it is about to be told
	}
}

// take takes in what the leader tells. A leader that begins knows only what the log says:
// it is told again what was seen here.
func (s *suspects) take(now time.Time, n wire.Suspects) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if string(s.key) != string(n.Key) {
		// What another key named is nothing that can be met again.
		s.key, s.own, s.answered = n.Key, poison.NewBook(), poison.NewRecent(now)
		s.open, s.ends, s.cleared = map[fleet.EndpointID][]openRun{}, nil, nil
	}
	if n.Mark.Term != s.mark.Term {
		s.retell = true
		s.tellSoon()
	}
	s.mark = n.Mark
	s.told = make(map[poison.Fingerprint]toldCase, len(n.Told))
	for _, t := range n.Told {
		switch {
		case t.Ends == 0:
			s.own.Clear(t.Request)
		case s.answered.Has(now, t.Request):
			s.object(t.Request)
		default:
			c := toldCase{ends: t.Ends}
			if t.Left > 0 {
				c.until = now.Add(t.Left)
			}
			s.told[t.Request] = c
		}
	}
}

func (s *suspects) held() wire.SuspectMark {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.mark
}

// tell returns what has to be told: on a new connection, or to a new leader, all that was
// seen here, as what was told last may be lost.
func (s *suspects) tell(now time.Time, again bool) ([]poison.End, []poison.Fingerprint) {
	s.mu.Lock()
	defer s.mu.Unlock()
	ends, cleared := s.ends, s.cleared
	if again || s.retell {
		ends = nil
		for _, c := range s.own.Cases() {
			for _, start := range c.Starts {
				ends = append(ends, poison.End{Request: c.Request, Start: start, Cold: s.answered.Cold(now)})
			}
		}
	}
	s.ends, s.cleared, s.retell = nil, nil, false
	return ends, cleared
}

// sweep forgets what counts no more.
func (s *suspects) sweep(now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.own.Sweep(now)
	for start, runs := range s.open {
		if now.Sub(runs[len(runs)-1].at) > openStays {
			delete(s.open, start)
		}
	}
}

// count returns how many requests are suspect, and how many quarantined, as this entry knows.
func (s *suspects) count(now time.Time) (suspect, quarantined int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, c := range s.told {
		if now.Before(c.until) {
			quarantined++
		} else {
			suspect++
		}
	}
	return suspect, quarantined
}
