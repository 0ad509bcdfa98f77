package consensus

import (
	"testing"

	"github.com/matryer/is"
)

// An observer that was removed while it was partitioned receives no more messages from the
// leader. It must drop its leader then, or it never asks to join again. A voter drops its
// leader when it campaigns, but an observer never campaigns.
func TestObserverDropsASilentLeader(t *testing.T) {
	is := is.New(t)
	const beat = 4
	ms := Membership{Members: []Member{{ID: 1, Voter: true}, {ID: 2}}}
	n := New(Config{ID: 2, ElectionTicks: 10, HeartbeatTicks: 2, ObserverTicks: beat, Rand: func(int) int { return 0 }, Snapshot: Bootstrap(ms)})
	n.Step(Message{Type: MsgHeartbeat, From: 1, To: 2, Term: 3})
	for range observerMissedHeartbeats*beat - 1 {
		n.Tick()
		is.Equal(n.Leader(), NodeID(1)) // late heartbeats are tolerated
	}
	n.Tick()
	is.Equal(n.Leader(), None)
	n.Step(Message{Type: MsgHeartbeat, From: 1, To: 2, Term: 3})
	is.Equal(n.Leader(), NodeID(1))
}

// After all processes were killed, nothing is committed for half a second if a member that
// has just started waits a full election timeout, as if there could be a leader.
func TestMemberThatHasHeardNoLeaderCampaignsSoon(t *testing.T) {
	is := is.New(t)
	const start, usual = 3, 10
	ms := Membership{Members: []Member{{ID: 1, Voter: true}, {ID: 2, Voter: true}}}
	n := New(Config{ID: 2, ElectionTicks: usual, StartTicks: start, HeartbeatTicks: 2, ObserverTicks: 4, Rand: func(n int) int { return n - 1 }, Snapshot: Bootstrap(ms)})
	ticksToCampaign := func() int {
		for ticks := 1; ; ticks++ {
			n.Tick()
			if n.role == PreCandidate {
				return ticks
			}
		}
	}
	is.Equal(ticksToCampaign(), 2*start-1)
	n.Step(Message{Type: MsgHeartbeat, From: 1, To: 2, Term: 3})
	is.Equal(ticksToCampaign(), 2*usual-1) // with a leader, a short silence may be a lost heartbeat
}
