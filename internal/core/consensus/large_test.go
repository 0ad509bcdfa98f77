package consensus_test

import (
	"testing"

	"github.com/cassiapass/cassiapass/internal/core/consensus"
)

// slowPeer is the leader of a group of three. The test decides when appends are
// acknowledged; heartbeats are always answered.
type slowPeer struct {
	t *testing.T
	n *consensus.Node
}

func newSlowPeer(t *testing.T) slowPeer {
	t.Helper()
	var m consensus.Membership
	for id := range consensus.NodeID(3) {
		m = m.With(consensus.Member{ID: id + 1, Voter: true})
	}
	s := slowPeer{t, consensus.New(consensus.Config{ID: 1, ElectionTicks: 10, HeartbeatTicks: 2, ObserverTicks: 4, Rand: func(int) int { return 0 }, Snapshot: consensus.Bootstrap(m)})}
	for !s.n.IsLeader() {
		s.n.Tick()
		s.n.Step(consensus.Message{Type: consensus.MsgPreVoteResp, From: 2, To: 1, Term: s.n.Term() + 1})
		s.n.Step(consensus.Message{Type: consensus.MsgVoteResp, From: 2, To: 1, Term: s.n.Term()})
	}
	s.sent()
	s.acknowledge(2)
	return s
}

// sent carries out the pending work and returns the bytes of entries sent to member 2.
func (s slowPeer) sent() (bytes int) {
	for {
		rd := s.n.Ready()
		if rd.Empty() {
			return bytes
		}
		for _, msg := range append(rd.Early, rd.Messages...) {
			switch {
			case msg.Type == consensus.MsgHeartbeat:
				s.n.Step(consensus.Message{Type: consensus.MsgHeartbeatResp, From: msg.To, To: 1, Term: msg.Term, Context: msg.Context})
			case msg.Type == consensus.MsgAppend && msg.To == 2:
				for _, e := range msg.Entries {
					bytes += len(e.Data)
				}
			}
		}
		s.n.Advance(rd)
	}
}

// propose appends an entry and returns the bytes sent to member 2 immediately.
func (s slowPeer) propose(size int) int {
	s.t.Helper()
	if _, err := s.n.Propose(make([]byte, size)); err != nil {
		s.t.Fatal(err)
	}
	s.n.Flush()
	return s.sent()
}

// acknowledge makes both other members acknowledge the log up to index.
func (s slowPeer) acknowledge(index uint64) {
	for _, id := range []consensus.NodeID{2, 3} {
		s.n.Step(consensus.Message{Type: consensus.MsgAppendResp, From: id, To: 1, Term: s.n.Term(), Index: index})
	}
	s.sent()
}

// ticksToResend returns the number of ticks until entries are sent again, or maxTicks+1.
func (s slowPeer) ticksToResend(maxTicks int) int {
	for tick := 1; tick <= maxTicks; tick++ {
		s.n.Tick()
		if s.sent() > 0 {
			return tick
		}
	}
	return maxTicks + 1
}

// resendTicks is the number of ticks after which a small append counts as lost.
const resendTicks = 20

// An entry of 2 MB is under way on a slow link for longer than the 20 ticks after which a
// small append counts as lost, while heartbeats pass. If it were sent again after 20 ticks
// regardless of its size, copies would queue up behind the first one and none would be
// acknowledged in time.
func TestLargeAppendIsNotResentWhileInFlight(t *testing.T) {
	const size = 2 << 20
	const slowest = 32 << 10 // bytes a tick: 0.6 MB/s at 50 ms a tick
	s := newSlowPeer(t)
	if sent := s.propose(size); sent != size {
		t.Fatalf("%d bytes sent immediately", sent)
	}
	after := s.ticksToResend(10 * size / slowest)
	if after < size/slowest {
		t.Fatalf("sent again after %d ticks, while it is under way", after)
	}
	if after > size/slowest+2*resendTicks { // by then it may have been lost
		t.Fatalf("not sent again after %d ticks", after)
	}
}

// One acknowledgement is lost, 3 MB of small entries are acknowledged as usual, then the
// last append is lost. If the entries of the lost acknowledgement and all later ones
// counted as under way, the last append would be sent again only after half a minute.
func TestLostAcknowledgementDelaysNoLaterResend(t *testing.T) {
	const writes, size = 300, 10 << 10
	s := newSlowPeer(t)
	for i := range uint64(writes) {
		s.propose(size)
		if i != 0 && i != writes-1 {
			s.acknowledge(3 + i)
		}
	}
	if after := s.ticksToResend(10 * resendTicks); after > 2*resendTicks {
		t.Fatalf("sent again after %d ticks", after)
	}
}
