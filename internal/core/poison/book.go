package poison

import (
	"cmp"
	"slices"
	"time"
)

const (
	// EndsToQuarantine is how many starts of endpoints end under a request before it is run
	// no more. Two happen to the innocent: a request under the first end is sent again, and
	// meets the guilty one again where few endpoints hold their model.
	EndsToQuarantine = 3
	// CaseStays is how long ends count: a guilty request may come again after minutes.
	CaseStays = 10 * time.Minute
	// QuarantineStays is how long a quarantined request is refused before it is tried once
	// more: its endpoints may run another release by then.
	QuarantineStays = 30 * time.Minute
	// mostCases bounds a Book: 180 endpoints of 16 requests that end together make 2,880.
	mostCases = 4096
	// together is within what time ends that were told by entries without a memory of answers
	// count as one: a zone that fails takes its endpoints within less.
	together = 500 * time.Millisecond
	// mostTogether bounds the starts that are kept of such ends.
	mostTogether = 64
)

// End tells that a start of an endpoint ended while it ran a request.
type End struct {
	Request Fingerprint `json:"request"`
	Start   string      `json:"start"` // of the endpoint's process; another one after a restart
	// Cold tells that the entry has not run for long enough to know which requests are often
	// answered: see Recent. Symptom if its word counted like any other: all processes are
	// killed, and just after they are back three endpoints fail together; look-ups that are all
	// alike ran on each, no entry remembers an answer, and all of them are refused.
	Cold bool `json:"cold,omitempty"`
}

// Case is what is known of one request.
type Case struct {
	Request Fingerprint `json:"request"`
	// Starts are those that ended under it, oldest first.
	Starts []string `json:"starts,omitempty"`
	// Beside are starts that ended together with one of these and do not count.
	Beside []string `json:"beside,omitempty"`
	// Quarantined tells since when it is refused; zero if it is not.
	Quarantined time.Time `json:"quarantined,omitzero"`
	At          time.Time `json:"at,omitzero"` // of the newest end
}

// Book keeps the cases that one process knows of. It is not safe for concurrent use.
type Book struct {
	cases map[Fingerprint]*Case
	stays time.Duration // of a quarantine
}

// NewBook returns an empty Book with quarantines of QuarantineStays.
func NewBook() *Book { return NewBookFor(QuarantineStays) }

// NewBookFor returns an empty Book with quarantines that last for so long.
func NewBookFor(stays time.Duration) *Book {
	return &Book{cases: map[Fingerprint]*Case{}, stays: stays}
}

// Ended takes an end in. It reports whether it was not known, and whether the request is
// quarantined by it.
func (b *Book) Ended(now time.Time, e End) (news, quarantined bool) {
	c, known := b.cases[e.Request]
	if !known {
		b.makeRoom()
		c = &Case{Request: e.Request}
		b.cases[e.Request] = c
	}
	b.lapse(now, c)
	if slices.Contains(c.Starts, e.Start) || slices.Contains(c.Beside, e.Start) {
		return false, false
	}
	if e.Cold && len(c.Starts) > 0 && now.Sub(c.At) < together {
		c.Beside = append(c.Beside[max(0, len(c.Beside)-mostTogether+1):], e.Start)
		return true, false
	}
	c.Starts, c.At = append(c.Starts, e.Start), now
	if len(c.Starts) < EndsToQuarantine || !c.Quarantined.IsZero() {
		return true, false
	}
	c.Quarantined = now
	return true, true
}

// Clear forgets a request: it was answered whole, or an operator says so. It reports
// whether anything was known of it.
func (b *Book) Clear(f Fingerprint) bool {
	_, known := b.cases[f]
	delete(b.cases, f)
	return known
}

// Restore takes in a quarantine that was decided before, perhaps on another host. Its time
// begins anew: that of another host's clock says nothing here.
func (b *Book) Restore(now time.Time, c Case) {
	c.Quarantined, c.At = now, now
	b.cases[c.Request] = &c
}

// Forgive takes back what was counted for a start: its end had another cause. A quarantine
// that it led to ends.
func (b *Book) Forgive(start string) {
	for f, c := range b.cases {
		at := slices.Index(c.Starts, start)
		if at < 0 {
			continue
		}
		c.Starts = slices.Delete(slices.Clone(c.Starts), at, at+1)
		if len(c.Starts) < EndsToQuarantine {
			c.Quarantined = time.Time{}
		}
		if len(c.Starts) == 0 {
			delete(b.cases, f)
		}
	}
}

// Len returns how many cases there are.
func (b *Book) Len() int { return len(b.cases) }

// Put takes in a case as it is, of a Book that was stored.
func (b *Book) Put(c Case) { b.cases[c.Request] = &c }

// Standing is how a request is to be treated.
type Standing struct {
	Ends        int           // starts that ended under it
	Quarantined bool          // it is not run
	Left        time.Duration // of the quarantine
}

// Standing returns a request's standing.
func (b *Book) Standing(now time.Time, f Fingerprint) Standing {
	c, known := b.cases[f]
	if !known {
		return Standing{}
	}
	b.lapse(now, c)
	s := Standing{Ends: len(c.Starts)}
	if !c.Quarantined.IsZero() {
		s.Quarantined, s.Left = true, b.stays-now.Sub(c.Quarantined)
	}
	return s
}

// lapse ends what is over in a case: ends that are too old, or the quarantine, which leaves
// the request one end short of the next one.
func (b *Book) lapse(now time.Time, c *Case) {
	switch {
	case c.Quarantined.IsZero() && now.Sub(c.At) > CaseStays:
		c.Starts, c.Beside = nil, nil
	case !c.Quarantined.IsZero() && now.Sub(c.Quarantined) >= b.stays:
		c.Quarantined, c.At = time.Time{}, now
		c.Starts = slices.Clone(c.Starts[max(0, len(c.Starts)-EndsToQuarantine+1):])
	}
}

// Sweep forgets cases in which nothing counts any more, and returns the requests whose
// quarantine has ended.
func (b *Book) Sweep(now time.Time) []Fingerprint {
	var over []Fingerprint
	for f, c := range b.cases {
		before := c.Quarantined
		b.lapse(now, c)
		if !before.IsZero() && c.Quarantined.IsZero() {
			over = append(over, f)
		}
		if len(c.Starts) == 0 {
			delete(b.cases, f)
		}
	}
	return over
}

// StartsOf returns the starts that ended under a request.
func (b *Book) StartsOf(f Fingerprint) []string {
	if c, known := b.cases[f]; known {
		return c.Starts
	}
	return nil
}

// Cases returns all cases, the gravest first: quarantined ones, then those with most ends,
// then the newest.
func (b *Book) Cases() []Case {
	out := make([]Case, 0, len(b.cases))
	for _, c := range b.cases {
		out = append(out, *c)
	}
	slices.SortFunc(out, func(x, y Case) int {
		return cmp.Or(
			cmp.Compare(len(y.Starts), len(x.Starts)),
			y.At.Compare(x.At),
			slices.Compare(x.Request[:], y.Request[:]),
		)
	})
	return out
}

// makeRoom drops the least grave cases when the book is full.
func (b *Book) makeRoom() {
	if len(b.cases) < mostCases {
		return
	}
	for _, c := range b.Cases()[mostCases*3/4:] {
		delete(b.cases, c.Request)
	}
}
