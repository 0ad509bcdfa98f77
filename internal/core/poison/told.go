package poison

import (
	"slices"
	"time"
)

const (
	// mostTold bounds what entries are told of beside quarantines: 4 kB for each of some
	// hundred entries. The gravest cases come first; of the others an entry knows what it
	// saw itself.
	mostTold = 64
	// clearedStays is how long entries are told that a request was cleared, so that they
	// forget what they saw themselves.
	clearedStays = 10 * time.Second
)

// Told is what the leader tells entries of one request.
type Told struct {
	Request Fingerprint   `json:"request"`
	Ends    int           `json:"ends"`           // starts that ended under it; 0 if it was cleared
	Left    time.Duration `json:"left,omitempty"` // of its quarantine; 0 if there is none
}

// Docket is a Book as the leader keeps it, with what entries are to be told. It is not safe
// for concurrent use.
type Docket struct {
	*Book
	cleared map[Fingerprint]time.Time
}

// NewDocket returns a Docket with the quarantines of a registry.
func NewDocket(now time.Time, r Registry) *Docket {
	d := &Docket{Book: NewBook(), cleared: map[Fingerprint]time.Time{}}
	for _, c := range r.Cases {
		d.Restore(now, c)
	}
	return d
}

// Clear forgets a request and has entries told so. It reports whether anything was known of
// it.
func (d *Docket) Clear(now time.Time, f Fingerprint) bool {
	if !d.Book.Clear(f) {
		return false
	}
	d.cleared[f] = now
	return true
}

// Ended takes an end in, as Book does. Of too many quarantines the oldest is lifted.
func (d *Docket) Ended(now time.Time, e End) (news, quarantined bool) {
	delete(d.cleared, e.Request)
	news, quarantined = d.Book.Ended(now, e)
	if !quarantined {
		return news, false
	}
	if qs := d.Quarantined(); len(qs) > mostQuarantined {
		d.Clear(now, slices.MinFunc(qs, func(a, b Case) int { return a.Quarantined.Compare(b.Quarantined) }).Request)
	}
	return news, true
}

// Quarantined returns the cases that are quarantined.
func (d *Docket) Quarantined() []Case {
	return slices.DeleteFunc(d.Cases(), func(c Case) bool { return c.Quarantined.IsZero() })
}

// Tell returns what entries are to be told: all quarantines, and what is newest and gravest of
// the rest.
func (d *Docket) Tell(now time.Time) []Told {
	var out []Told
	others := 0
	for _, c := range d.Cases() {
		s := d.Standing(now, c.Request)
		if !s.Quarantined {
			others++
		}
		if s.Quarantined || others <= mostTold {
			out = append(out, Told{Request: c.Request, Ends: s.Ends, Left: s.Left})
		}
	}
	others = 0
	for f, at := range d.cleared {
		switch {
		case now.Sub(at) > clearedStays:
			delete(d.cleared, f)
		case others < mostTold:
			others++
			out = append(out, Told{Request: f})
		}
	}
	return out
}

// Due returns the note that brings a registry in line with the docket, and whether there is
// anything to note.
func (d *Docket) Due(r Registry) (Note, bool) {
	var n Note
	quarantined := map[Fingerprint]bool{}
	for _, c := range d.Quarantined() {
		quarantined[c.Request] = true
		if !r.Has(c.Request) {
			n.Add = append(n.Add, c)
		}
	}
	for _, c := range r.Cases {
		if !quarantined[c.Request] {
			n.Lift = append(n.Lift, c.Request)
		}
	}
	return n, len(n.Add)+len(n.Lift) > 0
}
