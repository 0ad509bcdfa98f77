package gateway

import (
	"slices"
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
	proven     *poison.Recent // parts of prompts on which answers were begun, and their endpoints lived on
	trials     poison.Trials  // of parts, while no leader hands them out
	changed    chan struct{}  // closed and replaced when parts may have become suspect or been cleared
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
	part  bool
	until time.Time // end of its quarantine; zero if there is none
}

// unresolvedRun is a run that broke off or stayed silent at an endpoint of which it is not
// known whether it ended.
type unresolvedRun struct {
	run brokenRun
	at  time.Time
}

// brokenRun is what an end of an endpoint counts against.
type brokenRun struct {
	request poison.Fingerprint
	parts   []poison.Fingerprint // of its prompt, if the endpoint may have begun to write its answer
	trial   bool                 // the run was a trial, of one part
}

func newSuspects() *suspects {
	return &suspects{own: poison.NewBook(), answered: poison.NewRecent(time.Now()), proven: poison.NewRecentParts(time.Now()), changed: make(chan struct{}), fromLeader: map[poison.Fingerprint]leaderCase{},
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

// recordEnd records that an incarnation of an endpoint ended under a run.
func (s *suspects) recordEnd(now time.Time, r brokenRun, id fleet.EndpointID) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.recordEndLocked(now, r, id)
}

// recordEndLocked is recordEnd for callers that hold mu. A request does not become suspect
// if an equal one was answered recently, and a part does not if another request with it was.
func (s *suspects) recordEndLocked(now time.Time, r brokenRun, id fleet.EndpointID) {
	if !s.answered.Has(now, r.request) {
		s.addEnd(now, poison.End{Request: r.request, Incarnation: string(id), Cold: s.cold(now, false)})
	}
	var parts []poison.Fingerprint
	for _, f := range r.parts {
		if !s.proven.Has(now, f) {
			parts = append(parts, f)
		}
	}
	for _, f := range parts {
		if s.trials.Over("", f); r.trial {
			s.trials.Ended(now, f)
		}
		s.addEnd(now, poison.End{Request: f, Incarnation: string(id), Cold: s.cold(now, true), Part: true, Trial: r.trial && len(parts) == 1})
	}
	if len(parts) > 0 {
		s.signalChanged()
	}
}

// cold reports whether this entry has not run for long enough to know which requests, or which parts
// of prompts, are often answered.
func (s *suspects) cold(now time.Time, part bool) bool {
	if part {
		return s.proven.Cold(now)
	}
	return s.answered.Cold(now)
}

func (s *suspects) addEnd(now time.Time, e poison.End) {
	if isNew, _ := s.own.Ended(now, e); !isNew {
		return
	}
	s.ends = append(s.ends, e)
	s.signalReport()
}

// signalChanged wakes requests that wait for the clearing of a part. The caller holds mu.
func (s *suspects) signalChanged() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// recordUnresolved records a run that broke off or stayed silent, at an endpoint that may have
// ended.
func (s *suspects) recordUnresolved(now time.Time, r brokenRun, id fleet.EndpointID) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.unresolved[id]) < maxUnresolved {
		s.unresolved[id] = append(s.unresolved[id], unresolvedRun{r, now})
	}
}

// suspectParts returns those of some parts that are suspect, and a channel that closes when that may
// have changed.
func (s *suspects) suspectParts(now time.Time, parts []poison.Fingerprint) ([]poison.Fingerprint, <-chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	var out []poison.Fingerprint
	for _, f := range parts {
		if s.fromLeader[f].ends > 0 || s.own.Standing(now, f).Ends > 0 {
			out = append(out, f)
		}
	}
	return out, s.changed
}

// takeTrial hands out a trial while no leader does: for parts of which this entry knows at most
// one end, and had no trial under which an endpoint ended. The end that it was told of is another
// one than that of its trial, but neither count shows that.
func (s *suspects) takeTrial(now time.Time, parts []poison.Fingerprint) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, f := range parts {
		if s.fromLeader[f].ends > 1 || s.own.Standing(now, f).Ends > 1 {
			return false
		}
	}
	return s.trials.Take(now, "", parts)
}

// endTrials ends trials that this entry handed out.
func (s *suspects) endTrials(parts []poison.Fingerprint) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, f := range parts {
		s.trials.Over("", f)
	}
	s.signalChanged()
}

// recordProven records that an endpoint began to write an answer on parts of a prompt, and lived on.
func (s *suspects) recordProven(now time.Time, parts []poison.Fingerprint) {
	s.mu.Lock()
	defer s.mu.Unlock()
	changed := false
	for _, f := range parts {
		s.proven.Answered(now, f)
		_, listed := s.fromLeader[f]
		if s.own.Clear(f) || listed {
			s.trials.Cleared(f)
			s.reportCleared(f)
			changed = true
		}
	}
	if changed {
		s.signalChanged()
	}
}

// endpointRemoved records that an incarnation of an endpoint was removed: it ended under the
// runs that broke off there, unless it left as planned.
func (s *suspects) endpointRemoved(now time.Time, id fleet.EndpointID, planned bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, r := range s.unresolved[id] {
		if !planned && now.Sub(r.at) <= unresolvedTTL {
			s.recordEndLocked(now, r.run, id)
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
		s.key, s.own, s.answered, s.proven = n.Key, poison.NewBook(), poison.NewRecent(now), poison.NewRecentParts(now)
		s.unresolved, s.ends, s.cleared = map[fleet.EndpointID][]unresolvedRun{}, nil, nil
	}
	if n.Mark.Term != s.mark.Term {
		s.resend = true
		s.signalReport()
	}
	s.mark = n.Mark
	defer s.signalChanged()
	s.fromLeader = make(map[poison.Fingerprint]leaderCase, len(n.Told))
	for _, t := range n.Told {
		switch {
		case t.Ends == 0:
			s.own.Clear(t.Request)
			s.trials.Cleared(t.Request)
		case s.answered.Has(now, t.Request), t.Part && s.proven.Has(now, t.Request):
			s.reportCleared(t.Request)
		default:
			c := leaderCase{ends: t.Ends, part: t.Part}
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
				ends = append(ends, poison.End{Request: c.Request, Incarnation: start, Cold: s.cold(now, c.Part), Part: c.Part, Trial: slices.Contains(c.Trials, start)})
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
	s.trials.Sweep(now)
	for id, runs := range s.unresolved {
		if now.Sub(runs[len(runs)-1].at) > unresolvedTTL {
			delete(s.unresolved, id)
		}
	}
}

// count returns how many requests, or parts of prompts, are suspect, and how many quarantined,
// according to the leader.
func (s *suspects) count(now time.Time, parts bool) (suspect, quarantined int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, c := range s.fromLeader {
		if c.part != parts {
			continue
		}
		if now.Before(c.until) {
			quarantined++
		} else {
			suspect++
		}
	}
	return suspect, quarantined
}
