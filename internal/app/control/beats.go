package control

import (
	"sync"
	"time"

	"github.com/cassiapass/cassiapass/internal/core/consensus"
)

const (
	// beatInterval is the time between heartbeats that are sent for a busy loop.
	beatInterval = voterHeartbeatTicks * tickInterval
	// maxBusyTurn bounds how long heartbeats are sent for one turn of the loop. A loop that hangs
	// must lose its leadership.
	maxBusyTurn = 2 * electionTicks * tickInterval
)

// busyBeats sends a leader's heartbeats while a turn of its loop takes long, as the turn that takes
// in a deployment of several hundred kilobytes does. Otherwise followers campaign against a leader
// that is well.
type busyBeats struct {
	send func([]consensus.Message)

	mu     sync.Mutex
	beats  []consensus.Message // of the present leader; nil while the loop is idle or does not lead
	begun  time.Time           // start of the present turn
	lastAt time.Time           // when beats were last sent, by the loop or for it
}

// beginTurn records that a turn of the loop begins, and the heartbeats to send if it takes long.
func (b *busyBeats) beginTurn(now time.Time, beats []consensus.Message) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.beats, b.begun, b.lastAt = beats, now, now
}

// endTurn records that the loop is idle again.
func (b *busyBeats) endTurn() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.beats = nil
}

// due returns the heartbeats to send now, if the present turn has lasted long enough and not too long.
func (b *busyBeats) due(now time.Time) []consensus.Message {
	b.mu.Lock()
	defer b.mu.Unlock()
	if now.Sub(b.lastAt) < beatInterval || now.Sub(b.begun) > maxBusyTurn {
		return nil
	}
	b.lastAt = now
	return b.beats
}

// run sends due heartbeats until stopped closes.
func (b *busyBeats) run(stopped <-chan struct{}) {
	t := time.NewTicker(tickInterval)
	defer t.Stop()
	for {
		select {
		case <-stopped:
			return
		case <-t.C:
			if beats := b.due(time.Now()); len(beats) > 0 {
				b.send(beats)
			}
		}
	}
}
