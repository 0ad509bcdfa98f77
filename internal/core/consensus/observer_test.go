package consensus

import (
	"testing"

	"github.com/matryer/is"
)

// Symptom: a host without a vote that was removed while it was cut off never takes part
// again, though its process runs and reaches the others.
// Sequence: it hears the leader; then nothing more comes, for ever.
// Cause: only who votes campaigns after a silence, and forgets its leader by that.
func TestObserverForgetsALeaderThatIsSilent(t *testing.T) {
	is := is.New(t)
	const beat = 4
	ms := Membership{Members: []Member{{ID: 1, Voter: true}, {ID: 2}}}
	n := New(Config{ID: 2, ElectionTicks: 10, HeartbeatTicks: 2, ObserverTicks: beat, Rand: func(int) int { return 0 }, Snapshot: Bootstrap(ms)})
	n.Step(Message{Type: MsgHeartbeat, From: 1, To: 2, Term: 3})
	for range observerPatience*beat - 1 {
		n.Tick()
		is.Equal(n.Leader(), NodeID(1)) // some heartbeats may be late
	}
	n.Tick()
	is.Equal(n.Leader(), None)
	n.Step(Message{Type: MsgHeartbeat, From: 1, To: 2, Term: 3})
	is.Equal(n.Leader(), NodeID(1))
}

// Symptom: after all processes were killed nothing is decided for half a second.
// Cause: a member that has just begun waits as long as if a leader might be about.
func TestMemberThatHasHeardNoLeaderCampaignsSoon(t *testing.T) {
	is := is.New(t)
	const start, usual = 3, 10
	ms := Membership{Members: []Member{{ID: 1, Voter: true}, {ID: 2, Voter: true}}}
	n := New(Config{ID: 2, ElectionTicks: usual, StartTicks: start, HeartbeatTicks: 2, ObserverTicks: 4, Rand: func(n int) int { return n - 1 }, Snapshot: Bootstrap(ms)})
	silence := func() int {
		for ticks := 1; ; ticks++ {
			n.Tick()
			if n.role == PreCandidate {
				return ticks
			}
		}
	}
	is.Equal(silence(), 2*start-1)
	n.Step(Message{Type: MsgHeartbeat, From: 1, To: 2, Term: 3})
	is.Equal(silence(), 2*usual-1) // from then on a short silence may be a lost heartbeat
}
