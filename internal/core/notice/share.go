package notice

import (
	"cmp"
	"slices"
	"time"
)

// Report is what an entry tells the leader of the statements in force there.
type Report struct {
	Endpoint string        `json:"e"`
	Leaving  bool          `json:"l,omitempty"`
	Pause    time.Duration `json:"p,omitempty"` // left when the message was sent; 0 if there is none
	Refusing bool          `json:"r,omitempty"` // it has turned several requests in succession away
}

// Advice is what the leader tells entries of a pause that others were asked for.
type Advice struct {
	Endpoint string        `json:"e"`
	Pause    time.Duration `json:"p"` // the longest, left when the message was sent
	Entries  int           `json:"n"` // that were asked for one
}

// advised is an Advice by this process's clock.
type advised struct {
	until   time.Time
	entries int
}

// Reports returns the statements in force, ordered by endpoint.
func (b *Book) Reports(now time.Time) []Report {
	var out []Report
	for id, r := range b.endpoints {
		rep := Report{Endpoint: id, Leaving: !r.leaving.At.IsZero(), Pause: max(r.pause.Until.Sub(now), 0)}
		rep.Refusing = r.refusals.count >= refusingFrom && now.Before(r.refusals.until.Add(maxRefusalPause))
		if r.unlisted.IsZero() && (rep.Leaving || rep.Pause > 0 || rep.Refusing) {
			out = append(out, rep)
		}
	}
	slices.SortFunc(out, func(a, b Report) int { return cmp.Compare(a.Endpoint, b.Endpoint) })
	return out
}

// Advise replaces what the leader has told before.
func (b *Book) Advise(now time.Time, all []Advice) {
	clear(b.advice)
	for _, a := range all {
		if a.Pause > 0 {
			b.advice[a.Endpoint] = advised{now.Add(min(a.Pause, maxPause)), a.Entries}
		}
	}
}

// Advised reports whether other entries were asked for a pause at an endpoint: one that should be
// chosen only if no other can take a request.
func (b *Book) Advised(now time.Time, id string) bool {
	a, known := b.advice[id]
	return known && now.Before(a.until)
}

// Summary is what the leader knows of the statements of all endpoints, by reports of entries. It
// is not safe for concurrent use.
type Summary struct {
	byEntry map[string]map[string]heardThere
}

// heardThere is what one entry reports of one endpoint.
type heardThere struct {
	leaving       bool
	refusingUntil time.Time // the entry reports it anew while it holds
	until         time.Time
}

// refusingMemory is how long an entry's report that an endpoint refuses counts: entries report
// several times a second, and one that has ended reports no end.
const refusingMemory = time.Second

// NewSummary returns an empty Summary.
func NewSummary() *Summary { return &Summary{byEntry: map[string]map[string]heardThere{}} }

// Record replaces the statements in force at an entry. A pause that an entry no longer reports has
// ended; that an endpoint leaves stays known.
func (s *Summary) Record(now time.Time, entry string, all []Report) {
	before, next := s.byEntry[entry], make(map[string]heardThere, len(all))
	for id, h := range before {
		if h.leaving {
			next[id] = heardThere{leaving: true}
		}
	}
	for _, r := range all {
		h := heardThere{leaving: r.Leaving || next[r.Endpoint].leaving, until: now.Add(min(r.Pause, maxPause))}
		if r.Refusing {
			h.refusingUntil = now.Add(refusingMemory)
		}
		next[r.Endpoint] = h
	}
	if len(next) == 0 {
		delete(s.byEntry, entry)
		return
	}
	s.byEntry[entry] = next
}

// Status is what is known of one endpoint.
type Status struct {
	Endpoint string        `json:"endpoint"`
	Leaving  bool          `json:"leaving,omitempty"`
	Pause    time.Duration `json:"pause,omitempty"`    // the longest, left
	Paused   []string      `json:"paused,omitempty"`   // entries that were asked for one
	HeardBy  []string      `json:"heardBy,omitempty"`  // entries that were told that it leaves
	Refusing []string      `json:"refusing,omitempty"` // entries that it turned several requests in succession away of
}

// All returns what is known of the endpoints that are still known, ordered by endpoint, and drops
// the rest.
func (s *Summary) All(now time.Time, known func(id string) bool) []Status {
	byID := map[string]*Status{}
	for entry, all := range s.byEntry {
		for id, h := range all {
			if !known(id) || !h.leaving && !now.Before(h.refusingUntil) && !now.Before(h.until) {
				delete(all, id)
				continue
			}
			st := byID[id]
			if st == nil {
				st = &Status{Endpoint: id}
				byID[id] = st
			}
			st.add(now, entry, h)
		}
	}
	out := make([]Status, 0, len(byID))
	for _, st := range byID {
		slices.Sort(st.Refusing)
		slices.Sort(st.Paused)
		slices.Sort(st.HeardBy)
		out = append(out, *st)
	}
	slices.SortFunc(out, func(a, b Status) int { return cmp.Compare(a.Endpoint, b.Endpoint) })
	return out
}

func (st *Status) add(now time.Time, entry string, h heardThere) {
	if h.leaving {
		st.Leaving = true
		st.HeardBy = append(st.HeardBy, entry)
	}
	if now.Before(h.refusingUntil) {
		st.Refusing = append(st.Refusing, entry)
	}
	if left := h.until.Sub(now); left > 0 {
		st.Pause = max(st.Pause, left)
		st.Paused = append(st.Paused, entry)
	}
}
