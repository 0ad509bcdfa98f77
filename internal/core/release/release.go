// Package release keeps streams at the software release that began them.
//
// Endpoints of one service may run several releases side by side. What two of them write does not fit
// together, and endpoints do not check it: a stream goes on only at an endpoint of the release that
// sent its first event. A process cannot change its release, so the release of an incarnation is
// fixed.
//
// A caller that takes a stream up again may come to an entry that has never heard of it. Entries
// remember which release began the streams that they passed on (Origins), and tell the leader while a
// service has several releases (History). What neither knows may go on only if one release alone has
// served for as long as a stream can last; else it is refused. A doubt is no guess: two streams that
// were put together wrongly are worse than all that is refused.
package release

import (
	"maps"
	"slices"
	"time"

	"github.com/cassiapass/cassiapass/internal/core/poison"
)

// Name names a release of the software of endpoints; "" is not known, and equals no other.
type Name string

// StreamLife bounds how long a stream and its caller's tries last, and so how long origins and
// releases are remembered.
const StreamLife = 30 * time.Second

// StreamID identifies a stream: the keyed hash of the id of the request that brought its first event.
type StreamID = poison.Fingerprint

// History remembers which releases have served a service within StreamLife. The zero value is ready
// for use; it is not safe for concurrent use.
type History struct {
	services map[string]map[Name]time.Time // to when they were last listed
	since    map[string]time.Time          // when a service was listed first
}

// Listed records the releases of all endpoints of a service that are listed now. Once all of them tell
// theirs, it is forgotten that some did not: the list may have come from a process that knew none.
func (h *History) Listed(now time.Time, service string, names ...Name) {
	if h.services == nil {
		h.services, h.since = map[string]map[Name]time.Time{}, map[string]time.Time{}
	}
	seen := h.services[service]
	if seen == nil {
		seen = map[Name]time.Time{}
		h.services[service], h.since[service] = seen, now
	}
	if !slices.Contains(names, "") {
		delete(seen, "")
	}
	for _, n := range names {
		seen[n] = now
	}
	for n, at := range seen {
		if now.Sub(at) > StreamLife {
			delete(seen, n)
		}
	}
}

// Names returns the releases that have served a service within StreamLife, in no order.
func (h *History) Names(now time.Time, service string) []Name {
	var out []Name
	for n, at := range h.services[service] {
		if now.Sub(at) <= StreamLife {
			out = append(out, n)
		}
	}
	return out
}

// ByService adds the release of an endpoint to those of its service.
func ByService(names map[string][]Name, service string, n Name) {
	if !slices.Contains(names[service], n) {
		names[service] = append(names[service], n)
	}
}

// Served are the releases that serve services, by service and each sorted. The newest is in the
// replicated log: a leader that begins knows from it which releases can have begun streams, also after
// all processes have ended. It is not changed once made.
type Served map[string][]Name

// Served returns the releases that have served within StreamLife.
func (h *History) Served(now time.Time) Served {
	out := Served{}
	for service := range h.services {
		if names := h.Names(now, service); len(names) > 0 {
			slices.Sort(names)
			out[service] = names
		}
	}
	return out
}

// Equal reports whether two Served name the same releases.
func (s Served) Equal(o Served) bool { return maps.EqualFunc(s, o, slices.Equal[[]Name]) }

// Known reports whether releases of a service have been followed for StreamLife: which of them can have
// begun a stream is known without asking anybody.
func (h *History) Known(now time.Time, service string) bool {
	since, known := h.since[service]
	return known && now.Sub(since) >= StreamLife
}

// Only returns the release of a service if exactly one is named in all the given lists. Where no
// endpoint tells its release, all are taken for one.
func Only(lists ...[]Name) (Name, bool) {
	var only Name
	found := false
	for _, names := range lists {
		for _, n := range names {
			if found && n != only {
				return "", false
			}
			only, found = n, true
		}
	}
	return only, found
}

// maxOrigins bounds each of the two generations of Origins: 5 MB.
const maxOrigins = 32768

// Origins remembers the releases that began streams, for StreamLife at least unless there are too
// many. The zero value is ready for use; it is not safe for concurrent use.
type Origins struct {
	newer, older map[StreamID]Name
	rotatedAt    time.Time
}

// Began records which release sent the first event of a stream. The first word stands.
func (o *Origins) Began(now time.Time, id StreamID, n Name) {
	o.rotate(now)
	if _, known := o.find(id); !known {
		o.newer[id] = n
	}
}

// Find returns the release that began a stream, if it is known.
func (o *Origins) Find(now time.Time, id StreamID) (Name, bool) {
	o.rotate(now)
	return o.find(id)
}

func (o *Origins) find(id StreamID) (Name, bool) {
	if n, known := o.newer[id]; known {
		return n, true
	}
	n, known := o.older[id]
	return n, known
}

// All calls f for each stream.
func (o *Origins) All(f func(StreamID, Name)) {
	for id, n := range o.older {
		f(id, n)
	}
	for id, n := range o.newer {
		f(id, n)
	}
}

func (o *Origins) rotate(now time.Time) {
	if o.newer != nil && now.Sub(o.rotatedAt) < StreamLife && len(o.newer) < maxOrigins {
		return
	}
	o.older, o.newer, o.rotatedAt = o.newer, map[StreamID]Name{}, now
}
