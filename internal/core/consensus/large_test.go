package consensus_test

import (
	"testing"

	"github.com/cassiapass/cassiapass/internal/core/consensus"
)

// slowPeer is a leader of three and what it sends to member 2, whose heartbeats pass.
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

// sent returns the bytes of entries that go to member 2 now.
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

// propose appends an entry and returns the bytes that go out at once.
func (s slowPeer) propose(size int) int {
	s.t.Helper()
	if _, err := s.n.Propose(make([]byte, size)); err != nil {
		s.t.Fatal(err)
	}
	s.n.Flush()
	return s.sent()
}

// acknowledge has both other members hold the log up to index.
func (s slowPeer) acknowledge(index uint64) {
	for _, id := range []consensus.NodeID{2, 3} {
		s.n.Step(consensus.Message{Type: consensus.MsgAppendResp, From: id, To: 1, Term: s.n.Term(), Index: index})
	}
	s.sent()
}

// quiet returns after how many ticks something is sent anew, most at the most.
func (s slowPeer) quiet(most int) int {
	for tick := 1; tick <= most; tick++ {
		s.n.Tick()
		if s.sent() > 0 {
			return tick
		}
	}
	return most + 1
}

// resend is after how many ticks a small append counts as lost.
const resend = 20

// Symptom: a large entry crosses a slow link again and again and is never acknowledged
// in time.
// Sequence: a leader proposes an entry of 2 MB; heartbeats pass meanwhile; the append is
// under way for longer than the time after which a small one counts as lost.
// Cause: it was sent anew after 20 ticks whatever its size, behind the first copy.
func TestLargeAppendIsNotSentAnewWhileItIsUnderWay(t *testing.T) {
	const size = 2 << 20
	const slowest = 32 << 10 // bytes a tick: 0.6 MB/s at 50 ms a tick
	s := newSlowPeer(t)
	if sent := s.propose(size); sent != size {
		t.Fatalf("%d bytes sent at once", sent)
	}
	after := s.quiet(10 * size / slowest)
	if after < size/slowest {
		t.Fatalf("sent anew after %d ticks, while it is under way", after)
	}
	if after > size/slowest+2*resend { // it may be lost after all
		t.Fatalf("not sent anew after %d ticks", after)
	}
}

// Symptom: a small change is not decided for half a minute after a connection broke.
// Sequence: one acknowledgement is lost; 3 MB of small entries are written and
// acknowledged as usual; the last append is lost.
// Cause: what the lost acknowledgement covered, and all after it, counted as under way.
func TestLostAcknowledgementDelaysNoLaterResend(t *testing.T) {
	const writes, size = 300, 10 << 10
	s := newSlowPeer(t)
	for i := range uint64(writes) {
		s.propose(size)
		if i != 0 && i != writes-1 {
			s.acknowledge(3 + i)
		}
	}
	if after := s.quiet(10 * resend); after > 2*resend {
		t.Fatalf("sent anew after %d ticks", after)
	}
}
