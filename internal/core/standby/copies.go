package standby

import (
	"time"

	"github.com/cassiapass/cassiapass/internal/core/fleet"
)

const (
	// copyShare is the share of a holder's memory that copies of runs may take, as this process
	// expects it. Full batches of runs of usual size leave at least half of it free.
	copyShare = 0.5
	// entryPeak is how much more than an even part of a bound one entry may use: entries are
	// unequally busy, and their peaks do not coincide.
	entryPeak = 4
	// copyDelay is the time in which the first part of a copy arrives. Endpoints send parts several
	// times a second, so a run that ends within it is not protected by a copy.
	copyDelay = 250 * time.Millisecond
)

// Run is a run for whose memory a holder is sought.
type Run struct {
	Tokens     int           // of the prompt and the expected output together
	Expected   time.Duration // until its end; 0 if not known
	Repeatable bool          // the route allows another run if this one breaks off
}

// Holder is an endpoint that could hold a copy of a run's memory. It runs on another host than the
// run, has the same release, and holds the same version of the run's model and adapter.
type Holder struct {
	ID       fleet.EndpointID
	SameZone bool // as the endpoint that runs it
	Running  int
	Slots    int
}

// Bounds limit the copies that one entry has made at one holder.
type Bounds struct {
	Tokens int
	Bytes  float64 // sent within copyDelay
	Token  int64   // bytes of a token; 0 if not known
}

// NewBounds returns the bounds for holders that have memory for kvTokens tokens of tokenBytes each and
// receive linkMbps megabits a second, of which each of some entries has its part.
func NewBounds(kvTokens int, tokenBytes int64, linkMbps float64, entries int) Bounds {
	part := min(1, entryPeak/float64(max(1, entries)))
	return Bounds{
		Tokens: int(float64(kvTokens) * copyShare * part),
		Bytes:  linkMbps * 1e6 / 8 * copyDelay.Seconds() * copyShare * part,
		Token:  tokenBytes,
	}
}

// Ledger counts the copies that one entry has had made. It is not safe for concurrent use.
type Ledger struct {
	held map[fleet.EndpointID]*heldCopies
}

type heldCopies struct {
	copies int
	tokens int
	bytes  float64 // begun within copyDelay before at, decaying in a straight line
	at     time.Time
}

// Pick returns the index of the holder for a copy of a run, -1 if it is to have none: a run that may be
// repeated reads its prompt again elsewhere in tens of milliseconds, while its copy takes memory from
// runs at the holder, which are then preempted. Holders in the
// same zone are taken first: copies between zones take twice as long. Among them the one with the most
// room is taken, by the copies of this entry and the requests that run there.
func (l *Ledger) Pick(now time.Time, r Run, holders []Holder, b Bounds) int {
	if r.Repeatable || r.Expected > 0 && r.Expected < copyDelay {
		return -1
	}
	best := -1
	for i, h := range holders {
		if !l.hasRoom(now, r, h.ID, b) {
			continue
		}
		if best < 0 || l.better(h, holders[best]) {
			best = i
		}
	}
	return best
}

func (l *Ledger) hasRoom(now time.Time, r Run, id fleet.EndpointID, b Bounds) bool {
	h := l.held[id]
	if h == nil {
		h = &heldCopies{}
	}
	if b.Tokens > 0 && float64(h.tokens+r.Tokens) > float64(b.Tokens) {
		return false
	}
	bytes := float64(int64(r.Tokens) * b.Token)
	return b.Bytes <= 0 || bytes == 0 || h.bytesAt(now)+bytes <= b.Bytes
}

func (l *Ledger) better(a, b Holder) bool {
	if a.SameZone != b.SameZone {
		return a.SameZone
	}
	return l.load(a) < l.load(b)
}

// load counts a copy like a request: whichever endpoint it goes on at has the request, too.
func (l *Ledger) load(h Holder) float64 {
	n := h.Running
	if c := l.held[h.ID]; c != nil {
		n += c.copies
	}
	return float64(n) / float64(max(1, h.Slots))
}

func (h *heldCopies) bytesAt(now time.Time) float64 {
	return h.bytes * max(0, 1-now.Sub(h.at).Seconds()/copyDelay.Seconds())
}

// Add counts a copy that is made at a holder.
func (l *Ledger) Add(now time.Time, id fleet.EndpointID, r Run, b Bounds) {
	if l.held == nil {
		l.held = map[fleet.EndpointID]*heldCopies{}
	}
	h := l.held[id]
	if h == nil {
		h = &heldCopies{}
		l.held[id] = h
	}
	h.bytes = h.bytesAt(now) + float64(int64(r.Tokens)*b.Token)
	h.at = now
	h.copies++
	h.tokens += r.Tokens
}

// Remove ends the count of a copy.
func (l *Ledger) Remove(id fleet.EndpointID, r Run) {
	h := l.held[id]
	if h == nil {
		return
	}
	h.copies--
	h.tokens -= r.Tokens
	if h.copies <= 0 {
		delete(l.held, id)
	}
}

// Copies returns how many copies are counted, and their tokens.
func (l *Ledger) Copies() (copies, tokens int) {
	for _, h := range l.held {
		copies += h.copies
		tokens += h.tokens
	}
	return copies, tokens
}

// MayHaveArrived reports whether a copy may be there of a run that was sent so long ago and of which
// events have come. Before, its holder would be asked for nothing, and might begin the run anew.
func MayHaveArrived(sent time.Duration, events int) bool {
	return events > 0 || sent >= 2*copyDelay
}
