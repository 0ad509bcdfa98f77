package limit

import "time"

// Pacer spaces the calls that one process makes to a service which bounds the
// calls of all processes together and refuses what comes beyond.
type Pacer struct {
	gap  time.Duration // between calls in the usual course
	back time.Duration // added after refusals
	next time.Time     // the earliest time of the next call
}

const (
	// pacerShare is the part of the bound that one process may use: the rest is
	// for others that read at the same time, as after a change of leader.
	pacerShare = 0.75
	// leastBack and mostBack bound the pause after refusals, which doubles.
	leastBack = 100 * time.Millisecond
	mostBack  = time.Second
)

// NewPacer returns a Pacer for a bound in calls a second; 0 bounds nothing.
func NewPacer(perSecond float64) *Pacer {
	p := &Pacer{}
	if perSecond > 0 {
		p.gap = time.Duration(float64(time.Second) / (perSecond * pacerShare))
	}
	return p
}

// Take books the next call and returns how long it must wait from now on.
func (p *Pacer) Take(now time.Time) time.Duration {
	at := now
	if p.next.After(now) {
		at = p.next
	}
	p.next = at.Add(p.gap)
	return at.Sub(now)
}

// Refused makes the next call wait longer with every refusal in a row.
func (p *Pacer) Refused(now time.Time) {
	p.back = min(max(2*p.back, leastBack), mostBack)
	p.next = now.Add(p.back)
}

// Granted ends the pauses after refusals.
func (p *Pacer) Granted() { p.back = 0 }

// ReadPause returns the time between reads for each of several processes that
// read the same thing, where one read takes so many calls and all processes
// together may make perSecond. refused are the reads in a row that were refused for
// coming too often: then more processes read than is known, and the pause doubles.
//
// Symptom without it: 300 entries lose their leader, read the platform's list of
// 3,000 endpoints each for itself, 15 calls a read, and are refused; so is the next
// leader, which then has nothing to tell, and so they go on reading.
func ReadPause(processes, calls int, perSecond float64, refused int) time.Duration {
	pause := leastReadPause
	if perSecond > 0 {
		share := float64(max(processes, 1)*max(calls, 1)) / (perSecond * readShare)
		pause = max(pause, time.Duration(share*float64(time.Second)))
	}
	return min(pause<<min(refused, mostDoublings), max(pause, mostReadPause))
}

const (
	// leastReadPause is the pause of few processes: with what the list lags, a
	// leaving endpoint is noticed within 3 s though the leader is silent.
	leastReadPause = 800 * time.Millisecond
	// readShare is the part of the bound that these reads may use together.
	readShare = 0.8
	// mostReadPause bounds the pause after refusals, unless the share is longer: 370
	// processes then make three calls a second together.
	mostReadPause = 2 * time.Minute
	mostDoublings = 8
)

// Meter spaces messages by their size, so that large ones to many receivers do not
// fill a host's link.
type Meter struct {
	perSecond float64 // bytes
	free      time.Time
}

// NewMeter returns a Meter for so many bytes a second.
func NewMeter(perSecond float64) *Meter { return &Meter{perSecond: perSecond} }

// Take books a message and returns how long it must wait; false, and nothing is
// booked, if that is longer than most.
func (m *Meter) Take(now time.Time, bytes int, most time.Duration) (time.Duration, bool) {
	at := now
	if m.free.After(now) {
		at = m.free
	}
	wait := at.Sub(now)
	if wait > most {
		return 0, false
	}
	m.free = at.Add(time.Duration(float64(bytes) / m.perSecond * float64(time.Second)))
	return wait, true
}
