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
//
// An origin is a fact that never changes, so whoever holds it may tell it, however late: the entry, the
// leader, the replicated log, where the leader notes it (Note), and while no host leads control hosts
// that entries tell instead. It is lost only if all of these end before the note is synced; the stream is
// then refused. The state keeps notes for StreamLife by the clocks of the leaders that wrote them; a clock
// that jumps ahead loses some early.
//
// Which releases can have begun streams is known because only a leader lets streams begin at a release
// (Settlement), after the replicated log names it: a later leader reads it there, also after all
// processes have ended.
package release

import (
	"time"

	"github.com/cassiapass/cassiapass/internal/core/poison"
)

// Name names a release of the software of endpoints; "" is not known, and equals no other.
type Name string

// StreamLife bounds how long a stream and its caller's tries last, and so how long origins and
// releases are remembered.
const StreamLife = 30 * time.Second

// MaxTries is the longest time limit of a route for which an only release may be inferred: callers come
// back within it, and all lists of the time before must still be remembered then.
const MaxTries = StreamLife - ListGap - 2*time.Second

// StreamID identifies a stream: the keyed hash of the id of the request that brought its first event.
type StreamID = poison.Fingerprint

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
