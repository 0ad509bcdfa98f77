package gateway

import (
	"sync"
	"time"

	"github.com/cassiapass/cassiapass/internal/core/fleet"
	"github.com/cassiapass/cassiapass/internal/core/poison"
	"github.com/cassiapass/cassiapass/internal/wire"
)

const (
	// unresolvedTTL is how long a run that broke off or stayed silent waits for the list to
	// show that the endpoint has ended: a dead endpoint stays listed for some seconds.
	unresolvedTTL = 10 * time.Second
	// maxUnresolved bounds such runs at one endpoint.
	maxUnresolved = 256
)

// suspects is what this entry knows about requests under which endpoints ended: its own
// observations, and those of all entries as the leader publishes them. With the first alone,
// a request that ends every endpoint that runs it is retried through another entry, which
// knows nothing about it.
type suspects struct {
	mu         sync.Mutex
	key        poison.Key
	own        *poison.Book
	answered   *poison.Recent
	fromLeader map[poison.Fingerprint]leaderCase
	mark       wire.SuspectMark
	unresolved map[fleet.EndpointID][]unresolvedRun
	ends       []poison.End         // not reported yet
	cleared    []poison.Fingerprint // not reported yet
	resend     bool                 // another leader leads than the one that received the earlier reports
	urgent     chan struct{}        // signalled when there is something to report
}

// leaderCase is what the leader published about one request.
type leaderCase struct {
	ends  int
	until time.Time // end of its quarantine; zero if there is none
}

// unresolvedRun is a run that broke off or stayed silent at an endpoint of which it is not
// known whether it ended.
type unresolvedRun struct {
	request poison.Fingerprint
	at      time.Time
}

func newSuspects() *suspects {
	return &suspects{own: poison.NewBook(), answered: poison.NewRecent(time.Now()), fromLeader: map[poison.Fingerprint]leaderCase{},
		unresolved: map[fleet.EndpointID][]unresolvedRun{}, urgent: make(chan struct{}, 1)}
}

// fingerprint identifies a request; false until a leader has published the key.
func (s *suspects) fingerprint(parts ...[]byte) (poison.Fingerprint, bool) {
	s.mu.Lock()
	key := s.key
	s.mu.Unlock()
	if len(key) == 0 {
		return poison.Fingerprint{}, false
	}
	return key.Fingerprint(parts...), true
}

// part identifies a part of prompts; false until a leader has published the key.
func (s *suspects) part(id string) (poison.Fingerprint, bool) {
	s.mu.Lock()
	key := s.key
	s.mu.Unlock()
	if len(key) == 0 {
		return poison.Fingerprint{}, false
	}
	return key.Part(id), true
}

// standing returns the more severe of what is known here and what the leader published.
func (s *suspects) standing(now time.Time, f poison.Fingerprint) poison.Standing {
	s.mu.Lock()
	defer s.mu.Unlock()
	st := s.own.Standing(now, f)
	t := s.fromLeader[f]
	st.Ends = max(st.Ends, t.ends)
	if left := t.until.Sub(now); left > st.Left {
		st.Quarantined, st.Left = true, left
	}
	return st
}

// recordEnd records that an incarnation of an endpoint ended under a request.
func (s *suspects) recordEnd(now time.Time, f poison.Fingerprint, id fleet.EndpointID) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.recordEndLocked(now, f, id)
}

// recordEndLocked is recordEnd for callers that hold mu. A request does not become suspect
// if an equal one was answered recently.
func (s *suspects) recordEndLocked(now time.Time, f poison.Fingerprint, id fleet.EndpointID) {
	if s.answered.Has(now, f) {
		return
	}
	e := poison.End{Request: f, Incarnation: string(id), Cold: s.answered.Cold(now)}
	if isNew, _ := s.own.Ended(now, e); !isNew {
		return
	}
	s.ends = append(s.ends, e)
	s.signalReport()
}

// recordUnresolved records a run that broke off or stayed silent, at an endpoint that may have
// ended.
func (s *suspects) recordUnresolved(now time.Time, f poison.Fingerprint, id fleet.EndpointID) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.unresolved[id]) < maxUnresolved {
		s.unresolved[id] = append(s.unresolved[id], unresolvedRun{f, now})
	}
}

// endpointRemoved records that an incarnation of an endpoint was removed: it ended under the
// runs that broke off there, unless it left as planned.
func (s *suspects) endpointRemoved(now time.Time, id fleet.EndpointID, planned bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, r := range s.unresolved[id] {
		if !planned && now.Sub(r.at) <= unresolvedTTL {
			s.recordEndLocked(now, r.request, id)
		}
	}
	delete(s.unresolved, id)
}

// recordAnswer records a complete answer: the request does not end endpoints.
func (s *suspects) recordAnswer(now time.Time, f poison.Fingerprint) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.answered.Answered(now, f)
	_, listed := s.fromLeader[f]
	if s.own.Clear(f) || listed {
		s.reportCleared(f)
	}
}

// reportCleared triggers a report to the leader that a suspect is cleared. The caller holds
// mu.
func (s *suspects) reportCleared(f poison.Fingerprint) {
	delete(s.fromLeader, f)
	s.cleared = append(s.cleared, f)
	s.signalReport()
}

func (s *suspects) signalReport() {
	select {
	case s.urgent <- struct{}{}:
	default: // a report is pending already
	}
}

// merge applies what the leader publishes. A new leader knows only what is in the log, so
// everything that was observed here is reported to it again.
func (s *suspects) merge(now time.Time, n wire.Suspects) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if string(s.key) != string(n.Key) {
		// Fingerprints made with another key cannot occur again.
		s.key, s.own, s.answered = n.Key, poison.NewBook(), poison.NewRecent(now)
		s.unresolved, s.ends, s.cleared = map[fleet.EndpointID][]unresolvedRun{}, nil, nil
	}
	if n.Mark.Term != s.mark.Term {
		s.resend = true
		s.signalReport()
	}
	s.mark = n.Mark
	s.fromLeader = make(map[poison.Fingerprint]leaderCase, len(n.Told))
	for _, t := range n.Told {
		switch {
		case t.Ends == 0:
			s.own.Clear(t.Request)
		case s.answered.Has(now, t.Request):
			s.reportCleared(t.Request)
		default:
			c := leaderCase{ends: t.Ends}
			if t.Left > 0 {
				c.until = now.Add(t.Left)
			}
			s.fromLeader[t.Request] = c
		}
	}
}

func (s *suspects) heldMark() wire.SuspectMark {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.mark
}

// report returns what has to be reported: on a new connection (all is set) or to a new
// leader everything that was observed here, as the last report may be lost.
func (s *suspects) report(now time.Time, all bool) ([]poison.End, []poison.Fingerprint) {
	s.mu.Lock()
	defer s.mu.Unlock()
	ends, cleared := s.ends, s.cleared
	if all || s.resend {
		ends = nil
		for _, c := range s.own.Cases() {
			for _, start := range c.Incarnations {
				ends = append(ends, poison.End{Request: c.Request, Incarnation: start, Cold: s.answered.Cold(now)})
			}
		}
	}
	s.ends, s.cleared, s.resend = nil, nil, false
	return ends, cleared
}

// sweep removes what has expired.
func (s *suspects) sweep(now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.own.Sweep(now)
	for id, runs := range s.unresolved {
		if now.Sub(runs[len(runs)-1].at) > unresolvedTTL {
			delete(s.unresolved, id)
		}
	}
}

// count returns how many requests are suspect, and how many quarantined, according to the
// leader.
func (s *suspects) count(now time.Time) (suspect, quarantined int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, c := range s.fromLeader {
		if now.Before(c.until) {
			quarantined++
		} else {
			suspect++
		}
	}
	return suspect, quarantined
}
