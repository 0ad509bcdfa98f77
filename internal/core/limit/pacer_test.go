package limit

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

func TestPacerSpacesCallsAndBacksOff(t *testing.T) {
	is := is.New(t)
	now := time.Unix(100, 0)
	p := NewPacer(50)
	is.Equal(p.Take(now), time.Duration(0))
	gap := p.Take(now)
	is.True(gap > 20*time.Millisecond && gap < 50*time.Millisecond) // under the whole bound
	is.Equal(p.Take(now), 2*gap)                                    // calls booked together are spread
	now = now.Add(time.Second)
	is.Equal(p.Take(now), time.Duration(0)) // nothing is saved up, nothing owed
	p.Refused(now)
	first := p.Take(now)
	p.Refused(now)
	is.Equal(p.Take(now), 2*first)
	for range 20 {
		p.Refused(now)
	}
	is.Equal(p.Take(now), mostBack)
	p.Granted()
	p.Refused(now)
	is.Equal(p.Take(now), leastBack)
	is.Equal(NewPacer(0).Take(now), time.Duration(0)) // no bound is stated
}

// Symptom: at 300 entries nothing is known of 3,000 endpoints for minutes after the
// leader died.
// Sequence: every entry reads the platform's list for itself, 15 calls a read; all of
// them are refused, and the next leader with them.
// Cause: the pause between reads did not know how many read.
func TestReadsOfAllProcessesKeepToTheBound(t *testing.T) {
	const rate = 47.0
	for _, tc := range []struct{ processes, calls int }{{1, 1}, {9, 1}, {31, 1}, {300, 15}, {370, 22}} {
		is := is.New(t)
		pause := ReadPause(tc.processes, tc.calls, rate, 0)
		perSecond := float64(tc.processes*tc.calls) / pause.Seconds()
		is.True(perSecond <= rate)
		is.True(ReadPause(tc.processes, tc.calls, rate, 3) >= pause) // refusals never hurry
	}
	is := is.New(t)
	is.Equal(ReadPause(9, 1, rate, 0), leastReadPause) // few processes need not wait
	is.Equal(ReadPause(9, 1, rate, 1), 2*leastReadPause)
	is.Equal(ReadPause(9, 1, rate, 40), mostReadPause)
}

func TestMeterKeepsToItsRate(t *testing.T) {
	is := is.New(t)
	now := time.Unix(100, 0)
	m := NewMeter(1000)
	sent, last := 0, time.Duration(0)
	for range 100 {
		wait, ok := m.Take(now, 100, time.Second)
		if !ok {
			break
		}
		is.True(wait >= last)
		sent, last = sent+100, wait
	}
	is.Equal(sent, 1100) // a second's worth, and the one that begins it
	_, ok := m.Take(now.Add(500*time.Millisecond), 100, time.Second)
	is.True(ok)
}
