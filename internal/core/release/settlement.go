package release

import (
	"slices"
	"time"
)

// settleMargin covers clocks that run at different rates while a release settles.
const settleMargin = 250 * time.Millisecond

// SettleTime returns how long a release must have been listed before streams may begin at it, where the
// list lags by up to listLag.
func SettleTime(listLag time.Duration) time.Duration { return listLag + ListGap + settleMargin }

// Settlement decides, at a leader, at which releases streams that callers may take up can begin.
//
// A process without a leader that is asked for a stream it does not know goes on with it only if its
// lists have named one release alone (History.Follows). That is right because of this wait. A release is
// settled no earlier than SettleTime after the leader had a list that shows it, at t. A stream that it
// began is asked for later than that, at u >= t + listLag + ListGap. The process read its list after
// u - ListGap >= t + listLag, and a list read then shows all that was listed at t and still serves. A
// release that is gone by then was listed from t to u, which is longer than the gap between two lists of
// the process: one of them showed it. The argument needs no clocks that agree, only ones that run at the
// same rate; a process that stands still asks, reads or begins later, which only adds to the wait.
//
// The first releases of a service need no wait: before, no stream of it can have begun.
type Settlement struct {
	wait  time.Duration
	until map[string]map[Name]time.Time // when each release is settled
}

// NewSettlement returns the Settlement of a leader that begins: the releases that the log names as
// settled are, the others that have served wait anew.
func NewSettlement(now time.Time, wait time.Duration, served, settled Served) *Settlement {
	s := &Settlement{wait: wait, until: map[string]map[Name]time.Time{}}
	for service, names := range served {
		s.until[service] = map[Name]time.Time{}
		for _, n := range names {
			s.until[service][n] = now.Add(wait)
			if settled.Has(service, n) {
				s.until[service][n] = now
			}
		}
	}
	return s
}

// Observe takes in which releases have served.
func (s *Settlement) Observe(now time.Time, served Served) {
	for service, names := range served {
		at := now.Add(s.wait)
		if s.until[service] == nil {
			s.until[service], at = map[Name]time.Time{}, now
		}
		for _, n := range names {
			if _, known := s.until[service][n]; !known {
				s.until[service][n] = at
			}
		}
	}
	for service, until := range s.until {
		for n := range until {
			if !served.Has(service, n) {
				delete(until, n)
			}
		}
		if len(until) == 0 {
			delete(s.until, service)
		}
	}
}

// Settled returns the settled releases.
func (s *Settlement) Settled(now time.Time) Served {
	out := Served{}
	for service, until := range s.until {
		var names []Name
		for n, at := range until {
			if !now.Before(at) {
				names = append(names, n)
			}
		}
		if len(names) > 0 {
			slices.Sort(names)
			out[service] = names
		}
	}
	return out
}
