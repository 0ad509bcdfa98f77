package limit

import "time"

// Pacer spaces the calls that one process makes to a service which limits the
// rate of calls of all processes together and refuses those beyond it.
type Pacer struct {
	gap     time.Duration // between calls when none is refused
	backoff time.Duration // added after refusals
	next    time.Time     // earliest time of the next call
}

const (
	// pacerShare is the part of the limit that the leader may use. Together with readShare it
	// stays within the limit: entries that are cut off from the leader read while it does.
	pacerShare = 0.55
	// minBackoff and maxBackoff bound the pause after refusals, which doubles with
	// each refusal in a row.
	minBackoff = 100 * time.Millisecond
	maxBackoff = time.Second
)

// NewPacer returns a Pacer for a limit in calls a second; 0 means no limit.
func NewPacer(perSecond float64) *Pacer {
	p := &Pacer{}
	if perSecond > 0 {
		p.gap = time.Duration(float64(time.Second) / (perSecond * pacerShare))
	}
	return p
}

// Take reserves the next call and returns how long it must wait, counted from now.
func (p *Pacer) Take(now time.Time) time.Duration {
	at := now
	if p.next.After(now) {
		at = p.next
	}
	p.next = at.Add(p.gap)
	return at.Sub(now)
}

// Refused records a refused call. The next call waits longer with every refusal in
// a row.
func (p *Pacer) Refused(now time.Time) {
	p.backoff = min(max(2*p.backoff, minBackoff), maxBackoff)
	p.next = now.Add(p.backoff)
}

// Granted records a successful call and resets the pause after refusals.
func (p *Pacer) Granted() { p.backoff = 0 }

// ReadPause returns the time between reads for each of several processes that
// read the same list, where one read takes the given number of calls and all
// processes together may make perSecond calls a second. refused is the number of
// reads in a row that were refused by the rate limit: then more processes read than
// are known, and the pause doubles.
//
// Without it, 300 entries that lose their leader each read the platform's list of
// 3,000 endpoints, with 15 calls a read, and are refused. The next leader is refused
// too, has nothing to publish, and so the entries continue to read.
func ReadPause(processes, calls int, perSecond float64, refused int) time.Duration {
	pause := minReadPause
	if perSecond > 0 {
		share := float64(max(processes, 1)*max(calls, 1)) / (perSecond * readShare)
		pause = max(pause, time.Duration(share*float64(time.Second)))
	}
	return min(pause<<min(refused, maxDoublings), max(pause, maxReadPause))
}

const (
	// minReadPause is the pause if there are few processes: including the delay of
	// the list, a leaving endpoint is noticed within 3 s even if the leader is silent.
	minReadPause = 800 * time.Millisecond
	// readShare is the part of the limit that these reads may use together.
	readShare = 0.4
	// maxReadPause bounds the pause after refusals, unless the pause that the number
	// of processes requires is longer: 370 processes then make three calls a second
	// together.
	maxReadPause = 2 * time.Minute
	maxDoublings = 8
)

// Meter spaces messages by their size, so that large messages to many receivers do
// not saturate a host's link.
type Meter struct {
	perSecond float64 // bytes
	freeAt    time.Time
}

// NewMeter returns a Meter for the given bytes a second.
func NewMeter(perSecond float64) *Meter { return &Meter{perSecond: perSecond} }

// Take reserves the time of a message and returns how long the message must wait. If
// that is longer than maxWait, it returns false and reserves nothing.
func (m *Meter) Take(now time.Time, bytes int, maxWait time.Duration) (time.Duration, bool) {
	at := now
	if m.freeAt.After(now) {
		at = m.freeAt
	}
	wait := at.Sub(now)
	if wait > maxWait {
		return 0, false
	}
	m.freeAt = at.Add(time.Duration(float64(bytes) / m.perSecond * float64(time.Second)))
	return wait, true
}
