package poison

import (
	"cmp"
	"slices"
	"time"
)

const (
	// EndsToQuarantine is the number of endpoint incarnations that must end under a request
	// before it is quarantined. Two happen to harmless requests: a request under a first end is
	// sent again, and runs beside the harmful one again if few endpoints hold their model.
	EndsToQuarantine = 3
	// EndsUnderTrial is the same for a part, if one of them was the end of a trial of that part.
	EndsUnderTrial = 2
	// ObjectionTime is the time after the first end for which a part is not quarantined for ends
	// that were no trials. What one entry observes reaches all within less, and an entry at which the
	// part was answered clears it.
	ObjectionTime = 500 * time.Millisecond
	// CaseRetention is how long ends count: a harmful request may be sent again after minutes.
	CaseRetention = 10 * time.Minute
	// QuarantineDuration is how long a quarantined request is refused before it is run once more:
	// its endpoints may run another release by then.
	QuarantineDuration = 30 * time.Minute
	// maxCases bounds a Book: 180 endpoints with 16 requests each that end together make 2,880
	// cases.
	maxCases = 4096
	// concurrentWithin is the time within which ends that were reported by cold entries (End.Cold) count
	// as one: a zone failure ends its endpoints within less.
	concurrentWithin = 500 * time.Millisecond
	// maxConcurrent bounds the incarnations that are kept for such ends.
	maxConcurrent = 64
)

// End reports that an incarnation of an endpoint ended while it ran a request.
type End struct {
	Request     Fingerprint `json:"request"`
	Incarnation string      `json:"start"` // incarnation of the endpoint's process; another one after a restart
	// Cold is set if the entry has not run for long enough to know which requests are often
	// answered: see Recent. If its report counted like any other, identical look-ups could be
	// quarantined: all processes are killed, and just after their restart three endpoints fail
	// together; look-ups ran on each, no entry remembers an answer, and all of them are refused.
	Cold bool `json:"cold,omitempty"`
	// Part is set if Request identifies a part of prompts.
	Part bool `json:"part,omitempty"`
	// Trial is set if the endpoint ended under a trial of this part, and no other part of that
	// request was suspect.
	Trial bool `json:"trial,omitempty"`
}

// Case is the evidence against one request.
type Case struct {
	Request Fingerprint `json:"request"`
	// Incarnations are the incarnations that ended under it, oldest first.
	Incarnations []string `json:"starts,omitempty"`
	// Concurrent are incarnations that ended together with one of Incarnations and do not count.
	Concurrent []string `json:"beside,omitempty"`
	Part       bool     `json:"part,omitempty"` // Request identifies a part of prompts
	// Trials are those of Incarnations that ended under a trial, with no other part suspect there.
	Trials []string  `json:"trials,omitempty"`
	First  time.Time `json:"first,omitzero"` // time of the oldest end
	// Quarantined is the start of the quarantine; zero if there is none.
	Quarantined time.Time `json:"quarantined,omitzero"`
	At          time.Time `json:"at,omitzero"` // time of the newest end
}

// Book holds the cases known to one process. It is not safe for concurrent use.
type Book struct {
	cases      map[Fingerprint]*Case
	quarantine time.Duration // duration of a quarantine
}

// NewBook returns an empty Book with quarantines of QuarantineDuration.
func NewBook() *Book { return NewBookFor(QuarantineDuration) }

// NewBookFor returns an empty Book with quarantines of the given duration.
func NewBookFor(quarantine time.Duration) *Book {
	return &Book{cases: map[Fingerprint]*Case{}, quarantine: quarantine}
}

// Clone returns a copy that later changes of b do not change.
func (b *Book) Clone() *Book {
	c := NewBookFor(b.quarantine)
	for f, known := range b.cases {
		copied := *known
		copied.Incarnations, copied.Concurrent, copied.Trials = slices.Clone(known.Incarnations), slices.Clone(known.Concurrent), slices.Clone(known.Trials)
		c.cases[f] = &copied
	}
	return c
}

// Ended records an end. It reports whether the end was not known yet, and whether it
// quarantines the request.
func (b *Book) Ended(now time.Time, e End) (isNew, quarantined bool) {
	c, known := b.cases[e.Request]
	if !known {
		b.evict()
		c = &Case{Request: e.Request, Part: e.Part}
		b.cases[e.Request] = c
	}
	b.expire(now, c)
	if slices.Contains(c.Incarnations, e.Incarnation) || slices.Contains(c.Concurrent, e.Incarnation) {
		return false, false
	}
	if e.Cold && !e.Trial && len(c.Incarnations) > 0 && now.Sub(c.At) < concurrentWithin {
		c.Concurrent = append(c.Concurrent[max(0, len(c.Concurrent)-maxConcurrent+1):], e.Incarnation)
		return true, false
	}
	if len(c.Incarnations) == 0 {
		c.First = now
	}
	c.Incarnations, c.At = append(c.Incarnations, e.Incarnation), now
	if e.Part && !b.sharesEnd(now, e) && e.Trial {
		c.Trials = append(c.Trials, e.Incarnation)
	}
	if !c.guilty(now) || !c.Quarantined.IsZero() {
		return true, false
	}
	c.Quarantined = now
	return true, true
}

// guilty reports whether the evidence is enough for a quarantine.
func (c *Case) guilty(now time.Time) bool {
	if !c.Part {
		return len(c.Incarnations) >= EndsToQuarantine
	}
	return len(c.Trials) > 0 && len(c.Incarnations) >= EndsUnderTrial ||
		len(c.Incarnations) >= EndsToQuarantine && now.Sub(c.First) >= ObjectionTime
}

// sharesEnd reports whether another part is suspect of the same end. The end then proves nothing
// against either alone: what it proved against the other is taken back.
func (b *Book) sharesEnd(now time.Time, e End) bool {
	shared := false
	for f, c := range b.cases {
		if f == e.Request || !c.Part || !slices.Contains(c.Incarnations, e.Incarnation) {
			continue
		}
		shared = true
		at := slices.Index(c.Trials, e.Incarnation)
		if at < 0 {
			continue
		}
		c.Trials = slices.Delete(slices.Clone(c.Trials), at, at+1)
		if !c.guilty(now) {
			c.Quarantined = time.Time{}
		}
	}
	return shared
}

// Clear removes the case of a request that was answered completely or cleared by an operator.
// It reports whether there was a case.
func (b *Book) Clear(f Fingerprint) bool {
	_, known := b.cases[f]
	delete(b.cases, f)
	return known
}

// Restore adds a quarantine that was decided earlier, possibly on another host. Its duration
// starts again, since the time of another host's clock has no meaning here.
func (b *Book) Restore(now time.Time, c Case) {
	c.Quarantined, c.At = now, now
	b.cases[c.Request] = &c
}

// Retract removes an incarnation from all cases, since its end had another cause. A quarantine
// that no longer has enough ends is lifted.
func (b *Book) Retract(incarnation string) {
	for f, c := range b.cases {
		at := slices.Index(c.Incarnations, incarnation)
		if at < 0 {
			continue
		}
		c.Incarnations = slices.Delete(slices.Clone(c.Incarnations), at, at+1)
		c.Trials = slices.DeleteFunc(slices.Clone(c.Trials), func(t string) bool { return t == incarnation })
		if len(c.Incarnations) < EndsToQuarantine && len(c.Trials) == 0 {
			c.Quarantined = time.Time{}
		}
		if len(c.Incarnations) == 0 {
			delete(b.cases, f)
		}
	}
}

// Len returns how many cases there are.
func (b *Book) Len() int { return len(b.cases) }

// Put adds a case unchanged, when a stored Book is read.
func (b *Book) Put(c Case) { b.cases[c.Request] = &c }

// Standing tells how a request is to be treated.
type Standing struct {
	Ends        int           // incarnations that ended under it
	Quarantined bool          // it must not be run
	Left        time.Duration // remaining time of the quarantine
}

// Standing returns a request's standing.
func (b *Book) Standing(now time.Time, f Fingerprint) Standing {
	c, known := b.cases[f]
	if !known {
		return Standing{}
	}
	b.expire(now, c)
	s := Standing{Ends: len(c.Incarnations)}
	if !c.Quarantined.IsZero() {
		s.Quarantined, s.Left = true, b.quarantine-now.Sub(c.Quarantined)
	}
	return s
}

// expire removes what has expired in a case: ends that are too old, or the quarantine, after
// which the request is one end short of the next quarantine.
func (b *Book) expire(now time.Time, c *Case) {
	switch {
	case c.Quarantined.IsZero() && now.Sub(c.At) > CaseRetention:
		c.Incarnations, c.Concurrent, c.Trials = nil, nil, nil
	case !c.Quarantined.IsZero() && now.Sub(c.Quarantined) >= b.quarantine:
		c.Quarantined, c.At, c.Trials = time.Time{}, now, nil
		c.Incarnations = slices.Clone(c.Incarnations[max(0, len(c.Incarnations)-EndsToQuarantine+1):])
	}
}

// Sweep removes cases without ends that still count, and returns the requests whose quarantine
// has expired.
func (b *Book) Sweep(now time.Time) []Fingerprint {
	var expired []Fingerprint
	for f, c := range b.cases {
		before := c.Quarantined
		b.expire(now, c)
		if !before.IsZero() && c.Quarantined.IsZero() {
			expired = append(expired, f)
		}
		if len(c.Incarnations) == 0 {
			delete(b.cases, f)
		}
	}
	return expired
}

// IsPart reports whether there is a case of f, and f identifies a part of prompts.
func (b *Book) IsPart(f Fingerprint) bool {
	c, known := b.cases[f]
	return known && c.Part
}

// IncarnationsOf returns the incarnations that ended under a request.
func (b *Book) IncarnationsOf(f Fingerprint) []string {
	if c, known := b.cases[f]; known {
		return c.Incarnations
	}
	return nil
}

// Cases returns all cases, the most severe first: by number of ends, so that quarantined ones
// come first, then the newest.
func (b *Book) Cases() []Case {
	out := make([]Case, 0, len(b.cases))
	for _, c := range b.cases {
		out = append(out, *c)
	}
	slices.SortFunc(out, func(x, y Case) int {
		return cmp.Or(
			cmp.Compare(len(y.Incarnations), len(x.Incarnations)),
			y.At.Compare(x.At),
			slices.Compare(x.Request[:], y.Request[:]),
		)
	})
	return out
}

// evict drops the least severe quarter of the cases when the book is full.
func (b *Book) evict() {
	if len(b.cases) < maxCases {
		return
	}
	for _, c := range b.Cases()[maxCases*3/4:] {
		delete(b.cases, c.Request)
	}
}
