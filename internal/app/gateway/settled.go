package gateway

import (
	"time"

	"github.com/cassiapass/cassiapass/internal/core/fleet"
	"github.com/cassiapass/cassiapass/internal/core/release"
)

// serviceRelease is a release of the endpoints of a service.
type serviceRelease struct {
	service string
	name    release.Name
}

// setSettled has an endpoint and what is known of its release agree: the leader's word counts, and
// where the entry has read the list itself, what the leader said before. A release that no leader has
// spoken of is not settled: after a start of all processes the log may not name it. The caller holds mu.
func (d *directory) setSettled(ep *fleet.Endpoint, fromLeader bool) {
	key := serviceRelease{ep.Service, ep.Release}
	switch {
	case !fromLeader:
		_, settled := d.settled[key]
		ep.Unsettled = !settled
	case ep.Unsettled:
		delete(d.settled, key)
	default:
		d.settled[key] = time.Now()
	}
}

// pruneSettled forgets releases that no endpoint has had for the life of a stream. The caller holds mu.
func (d *directory) pruneSettled(now time.Time) {
	for _, e := range d.byID {
		key := serviceRelease{e.Service, e.Release}
		if _, settled := d.settled[key]; settled && !e.removed {
			d.settled[key] = now
		}
	}
	for key, at := range d.settled {
		if now.Sub(at) > release.StreamLife {
			delete(d.settled, key)
		}
	}
}

// isSettled reports whether streams may begin at a release of a service, by a leader's word.
func (d *directory) isSettled(service string, name release.Name) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	_, settled := d.settled[serviceRelease{service, name}]
	return settled
}
