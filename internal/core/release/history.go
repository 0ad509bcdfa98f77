package release

import (
	"maps"
	"slices"
	"time"
)

// ListGap is the greatest age of the list, and the greatest distance between two lists, with which a
// process still knows by itself which releases can have begun streams.
const ListGap = 3 * time.Second

// History remembers which releases have served services within StreamLife of the newest list. The zero
// value is ready for use; it is not safe for concurrent use.
type History struct {
	services map[string]map[Name]time.Time // to when they were last listed
	asOf     time.Time                     // when the read of the newest list began
	since    time.Time                     // asOf of the first list since which none was missing for ListGap
}

// Listed records a whole list: the releases of all its endpoints, by service. asOf is an instant before
// the list was read; zero if it is not known. An endpoint that tells no release counts as one of another
// release than all that are told, and is remembered like these.
func (h *History) Listed(now, asOf time.Time, names map[string][]Name) {
	if asOf.After(h.asOf) {
		if now.Sub(h.asOf) > ListGap {
			h.since = asOf
		}
		h.asOf = asOf
	}
	for service, ns := range names {
		h.Heard(now, service, ns...)
	}
	for service, seen := range h.services {
		maps.DeleteFunc(seen, func(_ Name, at time.Time) bool { return now.Sub(at) > StreamLife })
		if len(seen) == 0 {
			delete(h.services, service)
		}
	}
}

// Heard records releases of a service that another process knows.
func (h *History) Heard(now time.Time, service string, names ...Name) {
	if h.services == nil {
		h.services = map[string]map[Name]time.Time{}
	}
	if h.services[service] == nil {
		h.services[service] = map[Name]time.Time{}
	}
	for _, n := range names {
		h.services[service][n] = now
	}
}

// Names returns the releases that have served a service, sorted.
func (h *History) Names(service string) []Name {
	return slices.Sorted(maps.Keys(h.services[service]))
}

// Served returns the releases of all services.
func (h *History) Served() Served {
	out := Served{}
	for service := range h.services {
		if names := h.Names(service); len(names) > 0 {
			out[service] = names
		}
	}
	return out
}

// Follows reports whether lists were recorded for StreamLife without a gap, up to now. Every settled
// release that can have begun a stream, and whose endpoints can still serve, is then among Names; see
// Settlement.
func (h *History) Follows(now time.Time) bool {
	return !h.since.IsZero() && now.Sub(h.asOf) <= ListGap && now.Sub(h.since) >= StreamLife
}

// Served are releases by service, each sorted. It is not changed once made.
type Served map[string][]Name

// Equal reports whether two Served name the same releases.
func (s Served) Equal(o Served) bool { return maps.EqualFunc(s, o, slices.Equal[[]Name]) }

// Has reports whether a release of a service is among them.
func (s Served) Has(service string, n Name) bool { return slices.Contains(s[service], n) }

// ByService adds the release of an endpoint to those of its service.
func ByService(names map[string][]Name, service string, n Name) {
	if !slices.Contains(names[service], n) {
		names[service] = append(names[service], n)
	}
}
