package consensus_test

import (
	"testing"

	"github.com/cassiapass/cassiapass/internal/core/consensus"
)

// A process starts, votes in the first term and then receives a message from the leader of
// that term. Its start timeout of 3 to 6 ticks must be replaced then, although neither its
// term nor its role changes. Otherwise it campaigns after 0.13 s without a heartbeat, where
// followers wait for 0.4 s and more, and helps to depose a leader that is only busy
// sending a large entry.
func TestMemberThatSawItsFirstLeaderWaitsAFullTimeout(t *testing.T) {
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
			t.Fatalf("campaigns after %d ticks of silence; with a leader seen, want %d", tick+1, electionTicks)
		}
	}
	n.Tick()
	if n.Role() != consensus.PreCandidate {
		t.Fatalf("role is %v after %d ticks of silence", n.Role(), electionTicks)
	}
}
