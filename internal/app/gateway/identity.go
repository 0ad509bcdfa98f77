package gateway

import (
	"context"
	"errors"
	"net/http"
	"sync"
	"time"

	"github.com/cassiapass/cassiapass/internal/core/customer"
	"github.com/cassiapass/cassiapass/internal/core/deploy"
	"github.com/cassiapass/cassiapass/internal/core/ident"
	"github.com/cassiapass/cassiapass/internal/core/urgency"
)

const (
	// maxContactAge is how recent the last contact with the leader must be for an unknown
	// key to be refused at once: a pull lasts pullHold at most and ends as soon as there is
	// a newer deployment.
	maxContactAge = pullHold + 200*time.Millisecond
	// unknownKeyWait is how long a request with an unknown key waits for contact with the
	// leader.
	unknownKeyWait = time.Second
)

var errKeyRevoked = errors.New("the caller's key was revoked")

// requester is the sender of a request.
type requester struct {
	keyed    bool // callers authenticate with keys here
	customer *customer.Customer
	digest   customer.Digest // of the key
}

func (a requester) customerName() ident.Customer {
	if a.customer == nil {
		return ""
	}
	return a.customer.Name
}

// priority returns the priority of a request: the customer's if it has one of its own, else
// the route's.
func (a requester) priority(r *deploy.Route) int {
	if a.customer != nil && a.customer.HasPriority {
		return a.customer.Priority
	}
	return r.Priority
}

// level returns how urgent a request is.
func (a requester) level(r *deploy.Route) urgency.Level { return urgency.LevelOf(a.priority(r)) }

// identify finds the customer that sent the request. It returns false if the caller is not
// allowed, with the reason in the exchange. A key that is not known here may be in a
// deployment that has not arrived yet: unless the last contact with the leader is recent,
// identify waits for the next one.
func (x *exchange) identify(t *deploy.Table) bool {
	for until := x.arrived.Add(unknownKeyWait); ; {
		book := t.Config().Customers
		x.requester = requester{keyed: book != nil}
		if book == nil {
			return true
		}
		owner, digest, standing := book.Identify(x.info.Credential, x.route.Anonymous)
		x.requester.customer, x.requester.digest = owner, digest
		if standing != customer.Unknown {
			return true
		}
		x.reason = reasonKeyUnknown
		lastContact, changed := x.g.sync.contact.last()
		if lastContact.After(x.arrived.Add(-maxContactAge)) {
			return false
		}
		x.reason = reasonKeyUnverified
		if !x.waitUntil(until, changed) {
			return false
		}
		t = x.g.table.Load()
		if x.route = t.Find(x.r.Host, x.r.Path); x.route == nil {
			return false
		}
	}
}

// waitUntil waits for a channel to close, at most until the given time or until the gateway
// stops. It reports whether the channel closed.
func (x *exchange) waitUntil(until time.Time, changed <-chan struct{}) bool {
	timer := time.NewTimer(time.Until(until))
	defer timer.Stop()
	select {
	case <-changed:
		return true
	case <-timer.C:
	case <-x.g.ctx.Done():
	}
	return false
}

// rejectCaller answers a request whose caller is not allowed. The request has not run.
func (x *exchange) rejectCaller() bool {
	switch {
	case x.route == nil:
		return x.respond(http.StatusNotFound, "no_route", nil, []byte("no route leads there\n"))
	case x.reason == reasonKeyUnverified:
		return x.refuse(http.StatusServiceUnavailable, "not_run")
	}
	return x.respond(http.StatusUnauthorized, "unauthorized", http.Header{"Www-Authenticate": {"Bearer"}}, []byte("the key is not known\n"))
}

// keyRevoked reports whether the request's key was revoked since the request arrived.
func (x *exchange) keyRevoked() bool {
	if x.requester.customer == nil {
		return false
	}
	book := x.g.table.Load().Config().Customers
	return book != nil && !book.Holds(x.requester.digest, x.requester.customer.Name)
}

// leaderContact records when the leader answered last.
type leaderContact struct {
	mu      sync.Mutex
	at      time.Time
	changed chan struct{} // closed and replaced at each contact
}

func (c *leaderContact) record(now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.at = now
	close(c.changed)
	c.changed = make(chan struct{})
}

// last returns the time of the last contact with the leader, and a channel that closes at
// the next one.
func (c *leaderContact) last() (time.Time, <-chan struct{}) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.at, c.changed
}

// revocations aborts running requests whose key is revoked, if that is enabled.
type revocations struct {
	enabled bool

	mu      sync.Mutex
	running map[customer.Digest]map[*context.CancelCauseFunc]ident.Customer
}

func newRevocations(enabled bool) *revocations {
	return &revocations{enabled: enabled, running: map[customer.Digest]map[*context.CancelCauseFunc]ident.Customer{}}
}

// track has a request aborted if its key is revoked, until the returned function is called.
func (r *revocations) track(a requester, end context.CancelCauseFunc) func() {
	if !r.enabled || a.customer == nil {
		return func() {}
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.running[a.digest] == nil {
		r.running[a.digest] = map[*context.CancelCauseFunc]ident.Customer{}
	}
	r.running[a.digest][&end] = a.customer.Name
	return func() {
		r.mu.Lock()
		defer r.mu.Unlock()
		delete(r.running[a.digest], &end)
		if len(r.running[a.digest]) == 0 {
			delete(r.running, a.digest)
		}
	}
}

// cancelRevoked aborts the requests whose keys a new deployment does not hold.
func (r *revocations) cancelRevoked(book *customer.Book) {
	if !r.enabled || book == nil {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	for digest, ends := range r.running {
		for end, name := range ends {
			if !book.Holds(digest, name) {
				(*end)(errKeyRevoked)
			}
		}
	}
}
