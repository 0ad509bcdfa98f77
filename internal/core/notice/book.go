package notice

import (
	"time"
)

const (
	// maxPause bounds a pause. A longer one is asked for again by the answer to one request
	// an hour, so that an endpoint that named it by mistake is not lost for good.
	maxPause = time.Hour
	// unreadablePause is kept for a time that cannot be read: the endpoint does want a pause.
	unreadablePause = time.Second
	// refusalPause is how long an endpoint that turned a request away and named no time gets
	// none; it doubles with each further one, up to maxRefusalPause.
	refusalPause    = 50 * time.Millisecond
	maxRefusalPause = 1600 * time.Millisecond
	// refusingFrom is the number of refusals in succession from which on an endpoint counts as
	// one that takes nothing.
	refusingFrom = 3
	// leavingMemory is how long it is remembered that an endpoint that is no longer listed leaves.
	// A list may lag, or a new leader may have an old one.
	leavingMemory = time.Hour
	// maxUnlisted bounds the endpoints that are remembered after they were listed last.
	maxUnlisted = 4096
)

// Reason is why an endpoint should get no request now.
type Reason uint8

// The reasons.
const (
	None       Reason = iota
	Paused            // it has asked for a pause
	Refusing          // it has turned requests away and named no time
	Recovering        // after a pause, as many requests as it should get now were sent
	Leaving           // it has said that it leaves
)

// String returns the reason for logs.
func (r Reason) String() string {
	return [...]string{"none", "paused", "refusing", "recovering", "leaving"}[r]
}

// Heard is one statement of an endpoint in an answer.
type Heard struct {
	At      time.Time // when the head of the answer was read
	Request string    // whose answer it was
}

// Pause is a pause that an endpoint asked for.
type Pause struct {
	Heard
	For   time.Duration // as asked
	Until time.Time
}

// State is what binds sends to an endpoint now.
type State struct {
	Reason Reason
	// Until is when a request can be sent at the earliest, for Paused, Refusing and Recovering.
	Until   time.Time
	Pause   Pause // the last one
	Leaving Heard // zero if it has not said that it leaves
}

// Book holds the statements of all endpoints. It is not safe for concurrent use.
type Book struct {
	draw      func() float64
	entries   int // that may have been asked for the same pause; 0 if not known
	endpoints map[string]*record
	advice    map[string]advised
	tickets   uint64
}

// record holds the statements of one incarnation of an endpoint.
type record struct {
	pause    Pause
	refusals refusals
	leaving  Heard
	ramp     ramp
	unlisted time.Time // since when it is not listed; zero while it is
}

// refusals are requests in succession that an endpoint turned away without naming a time.
type refusals struct {
	count int
	until time.Time
}

// quietUntil returns until when no request should be sent.
func (r *record) quietUntil() time.Time {
	if r.refusals.until.After(r.pause.Until) {
		return r.refusals.until
	}
	return r.pause.Until
}

// refused records a request that was turned away without a time. Several that were sent at the
// same time count once.
func (r *record) refused(now time.Time, drawn float64) {
	if now.Before(r.quietUntil()) {
		return
	}
	r.refusals.count++
	length := min(refusalPause<<min(r.refusals.count-1, 10), maxRefusalPause)
	if r.refusals.count >= refusingFrom {
		r.ramp.restart(now, r.quietUntil(), drawn)
	}
	r.refusals.until = now.Add(length)
}

// NewBook returns a Book without statements. draw returns a random number from 0 to 1.
func NewBook(draw func() float64) *Book {
	return &Book{draw: draw, endpoints: map[string]*record{}, advice: map[string]advised{}}
}

// SetEntries sets the number of entries that send to the same endpoints.
func (b *Book) SetEntries(n int) { b.entries = max(b.entries, n) }

func (b *Book) record(id string) *record {
	r, known := b.endpoints[id]
	if !known {
		r = &record{}
		b.endpoints[id] = r
	}
	return r
}

// PauseAsked records that an answer turned a request away and asked for a pause. readable is
// false if the time could not be read. It reports whether this extends what is known.
func (b *Book) PauseAsked(h Heard, id string, length time.Duration, readable bool) bool {
	if !readable {
		length = unreadablePause
	}
	if length <= 0 {
		return false
	}
	p := Pause{Heard: h, For: length, Until: h.At.Add(min(length, maxPause))}
	r := b.record(id)
	if !p.Until.After(r.pause.Until) {
		return false
	}
	r.ramp.restart(h.At, r.quietUntil(), b.draw())
	r.pause = p
	return true
}

// LeavingHeard records that an endpoint said that it leaves. It reports whether that is new.
func (b *Book) LeavingHeard(h Heard, id string) bool {
	r := b.record(id)
	if !r.leaving.At.IsZero() {
		return false
	}
	r.leaving = h
	return true
}

// State returns what binds a send to an endpoint now.
func (b *Book) State(now time.Time, id string) State {
	r := b.endpoints[id]
	if r == nil {
		return State{}
	}
	s := State{Pause: r.pause, Leaving: r.leaving}
	switch {
	case !r.leaving.At.IsZero():
		s.Reason = Leaving
	case now.Before(r.pause.Until):
		s.Reason, s.Until = Paused, b.firstSend(r, id)
	case now.Before(r.refusals.until):
		s.Reason, s.Until = Refusing, b.firstSend(r, id)
	default:
		if at := r.ramp.next(now, b.firstSend(r, id)); at.After(now) {
			s.Reason, s.Until = Recovering, at
		}
	}
	return s
}

// firstSend returns when the first request after a pause may be sent: each of the entries that
// paused draws its moment.
func (b *Book) firstSend(r *record, id string) time.Time {
	sharers := b.entries
	if a, known := b.advice[id]; known {
		sharers = a.entries
	}
	return r.quietUntil().Add(time.Duration(r.ramp.drawn * float64(firstSendSpread(sharers))))
}

// FirstEnd returns the earliest end of the pauses in force; false if there is none.
func (b *Book) FirstEnd(now time.Time) (at time.Time, found bool) {
	for _, r := range b.endpoints {
		if end := r.pause.Until; end.After(now) && (!found || end.Before(at)) {
			at, found = end, true
		}
	}
	return at, found
}

// Expect returns when a request can expect to be sent to an endpoint if others are sent before
// it.
func (b *Book) Expect(now time.Time, id string, ahead int) time.Time {
	s := b.State(now, id)
	at := s.Until
	if at.Before(now) {
		at = now
	}
	if r := b.endpoints[id]; r != nil && r.ramp.active {
		at = at.Add(r.ramp.timeFor(ahead))
	}
	return at
}

// Ticket identifies a send, for the record of its answer.
type Ticket struct {
	restarts uint64 // of the ramp
	id       uint64
}

// Send counts a request that is about to be sent, if nothing binds it. It is the last check
// before the first byte: a statement may have been heard since the endpoint was chosen.
func (b *Book) Send(now time.Time, id string) (Ticket, Reason) {
	if s := b.State(now, id); s.Reason != None {
		return Ticket{}, s.Reason
	}
	r := b.endpoints[id]
	if r == nil {
		return Ticket{}, None
	}
	b.tickets++
	r.ramp.send(now, b.tickets)
	return Ticket{r.ramp.restarts, b.tickets}, None
}

// SendEnded records how a send ended: taken if the endpoint began to answer without turning it
// away, or turnedAway; neither if it was not sent or the connection broke.
func (b *Book) SendEnded(now time.Time, id string, t Ticket, taken, turnedAway bool) {
	if turnedAway {
		b.record(id).refused(now, b.draw())
	}
	r := b.endpoints[id]
	if r == nil {
		return
	}
	if taken && !now.Before(r.refusals.until) {
		r.refusals.count = 0
	}
	if t.restarts == r.ramp.restarts {
		r.ramp.ended(now, t.id, taken, turnedAway)
	}
}

// Prune drops what no longer matters. listed reports whether an endpoint is still known.
func (b *Book) Prune(now time.Time, listed func(id string) bool) {
	var unlisted int
	for id, r := range b.endpoints {
		if listed(id) {
			r.unlisted = time.Time{}
		} else if r.unlisted.IsZero() {
			r.unlisted = now
		}
		if r.forgettable(now) {
			delete(b.endpoints, id)
		} else if !r.unlisted.IsZero() {
			unlisted++
		}
	}
	for ; unlisted > maxUnlisted; unlisted-- {
		b.dropOldestUnlisted()
	}
	for id, a := range b.advice {
		if !now.Before(a.until) {
			delete(b.advice, id)
		}
	}
}

// forgettable reports whether nothing in the record binds a send any more.
func (r *record) forgettable(now time.Time) bool {
	if now.Before(r.quietUntil().Add(RampLength)) {
		return false
	}
	return r.leaving.At.IsZero() || !r.unlisted.IsZero() && now.Sub(r.unlisted) > leavingMemory
}

func (b *Book) dropOldestUnlisted() {
	oldest, found := "", false
	for id, r := range b.endpoints {
		if !r.unlisted.IsZero() && (!found || r.unlisted.Before(b.endpoints[oldest].unlisted)) {
			oldest, found = id, true
		}
	}
	delete(b.endpoints, oldest)
}

// Leaves reports whether an endpoint has said that it leaves.
func (b *Book) Leaves(id string) bool {
	r := b.endpoints[id]
	return r != nil && !r.leaving.At.IsZero()
}

// Pacing reports whether requests to an endpoint are paced after a pause.
func (b *Book) Pacing(id string) bool {
	r := b.endpoints[id]
	return r != nil && r.ramp.active
}
