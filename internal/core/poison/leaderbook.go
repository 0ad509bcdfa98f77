package poison

import (
	"slices"
	"time"
)

const (
	// maxPublished bounds what is published to entries in addition to quarantines: 4 kB for each of
	// some hundred entries. The most severe cases come first; of the others an entry knows what
	// it observed itself.
	maxPublished = 64
	// maxPublishedParts is the same for parts of prompts: while an entry does not know that a part is
	// suspect, it runs requests with it.
	maxPublishedParts = 256
	// clearedRetention is how long it is published to entries that a request was cleared, so that
	// they discard what they observed themselves.
	clearedRetention = 10 * time.Second
)

// Update is what the leader publishes to entries about one request.
type Update struct {
	Request Fingerprint   `json:"request"`
	Ends    int           `json:"ends"`           // incarnations that ended under it; 0 if it was cleared
	Part    bool          `json:"part,omitempty"` // Request identifies a part of prompts
	Left    time.Duration `json:"left,omitempty"` // remaining time of its quarantine; 0 if there is none
}

// LeaderBook is the leader's Book, with what is to be published to entries. It is not safe for
// concurrent use.
type LeaderBook struct {
	*Book
	cleared map[Fingerprint]time.Time
	began   time.Time
}

// NewLeaderBook returns a LeaderBook with the quarantines of a registry.
func NewLeaderBook(now time.Time, r Registry) *LeaderBook {
	d := &LeaderBook{Book: NewBook(), cleared: map[Fingerprint]time.Time{}, began: now}
	for _, c := range r.Cases {
		d.Restore(now, c)
	}
	return d
}

// MayTry reports whether trials may be handed out: not before entries had the time to report again
// what the previous leader knew.
func (d *LeaderBook) MayTry(now time.Time) bool { return now.Sub(d.began) >= ObjectionTime }

// Clear removes the case of a request and has this published to entries. It reports whether
// there was a case.
func (d *LeaderBook) Clear(now time.Time, f Fingerprint) bool {
	if !d.Book.Clear(f) {
		return false
	}
	d.cleared[f] = now
	return true
}

// Ended records an end as Book.Ended does. If there are too many quarantines the oldest is
// lifted.
func (d *LeaderBook) Ended(now time.Time, e End) (isNew, quarantined bool) {
	delete(d.cleared, e.Request)
	isNew, quarantined = d.Book.Ended(now, e)
	if !quarantined {
		return isNew, false
	}
	if qs := d.Quarantined(); len(qs) > maxQuarantined {
		d.Clear(now, slices.MinFunc(qs, func(a, b Case) int { return a.Quarantined.Compare(b.Quarantined) }).Request)
	}
	return isNew, true
}

// Quarantined returns the cases that are quarantined.
func (d *LeaderBook) Quarantined() []Case {
	return slices.DeleteFunc(d.Cases(), func(c Case) bool { return c.Quarantined.IsZero() })
}

// Updates returns what is to be published to entries: all quarantines, the most severe and newest
// of the other cases, and the requests cleared within clearedRetention.
func (d *LeaderBook) Updates(now time.Time) []Update {
	var out []Update
	others, parts := 0, 0
	for _, c := range d.Cases() {
		s := d.Standing(now, c.Request)
		switch {
		case s.Quarantined:
		case c.Part:
			parts++
		default:
			others++
		}
		if s.Quarantined || c.Part && parts <= maxPublishedParts || !c.Part && others <= maxPublished {
			out = append(out, Update{Request: c.Request, Ends: s.Ends, Part: c.Part, Left: s.Left})
		}
	}
	others = 0
	for f, at := range d.cleared {
		switch {
		case now.Sub(at) > clearedRetention:
			delete(d.cleared, f)
		case others < maxPublished:
			others++
			out = append(out, Update{Request: f})
		}
	}
	return out
}

// PendingChange returns the change that makes a registry agree with the book, and whether there is
// anything to change.
func (d *LeaderBook) PendingChange(r Registry) (Change, bool) {
	var n Change
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
