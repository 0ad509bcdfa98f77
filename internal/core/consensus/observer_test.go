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
