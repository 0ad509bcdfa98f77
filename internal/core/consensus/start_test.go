package consensus_test

import (
	"testing"

	"github.com/cassiapass/cassiapass/internal/core/consensus"
)

// Symptom: a member campaigns after 0.13 s without a heartbeat, where followers wait
// for 0.4 s and more, and helps to depose a leader that only sends a large entry.
// Sequence: a process starts, votes in the first term and hears the leader of that term.
// Cause: the timeout drawn at the start, 3 to 6 ticks until a leader is heard, was drawn
// anew only at a change of term or role, and the member had neither.
func TestMemberThatHeardItsFirstLeaderWaitsAFullTimeout(t *testing.T) {
	const electionTicks, startTicks = 10, 3
	var m consensus.Membership
	for id := range consensus.NodeID(3) {
		m = m.With(consensus.Member{ID: id + 1, Voter: true})
	}
	n := consensus.New(consensus.Config{
		ID: 1, ElectionTicks: electionTicks, StartTicks: startTicks, HeartbeatTicks: 2, ObserverTicks: 4,
		Rand: func(int) int { return 0 }, Snapshot: consensus.Bootstrap(m),
	})
	n.Step(consensus.Message{Type: consensus.MsgVote, From: 2, To: 1, Term: 2, Index: 1, LogTerm: 1})
	n.Step(consensus.Message{Type: consensus.MsgHeartbeat, From: 2, To: 1, Term: 2})
	for tick := range electionTicks - 1 {
		n.Tick()
		if n.Role() != consensus.Follower {
			t.Fatalf("campaigns after %d ticks of silence; it has heard a leader and waits %d", tick+1, electionTicks)
		}
	}
	n.Tick()
	if n.Role() != consensus.PreCandidate {
		t.Fatalf("it is %v after %d ticks of silence", n.Role(), electionTicks)
	}
}
