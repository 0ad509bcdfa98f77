package consensus_test

import (
	"testing"

	"github.com/cassiapass/cassiapass/internal/core/consensus"
)

// Symptom: a large entry crosses a slow link again and again and is never acknowledged
// in time.
// Sequence: a leader proposes an entry of 2 MB; heartbeats pass meanwhile; the append is
// under way for longer than the time after which a small one counts as lost.
// Cause: it was sent anew after 20 ticks whatever its size, behind the first copy.
func TestLargeAppendIsNotSentAnewWhileItIsUnderWay(t *testing.T) {
	const size, small = 2 << 20, 20
	// The slowest link that counts: 0.6 MB/s at 50 ms a tick.
	const underWay = size / (32 << 10)
	var m consensus.Membership
	for id := range consensus.NodeID(3) {
		m = m.With(consensus.Member{ID: id + 1, Voter: true})
	}
	n := consensus.New(consensus.Config{ID: 1, ElectionTicks: 10, HeartbeatTicks: 2, ObserverTicks: 4, Rand: func(int) int { return 0 }, Snapshot: consensus.Bootstrap(m)})
	appends := func() (bytes int) {
		for {
			rd := n.Ready()
			if rd.Empty() {
				return bytes
			}
			for _, msg := range append(rd.Early, rd.Messages...) {
				switch {
				case msg.Type == consensus.MsgHeartbeat:
					n.Step(consensus.Message{Type: consensus.MsgHeartbeatResp, From: msg.To, To: 1, Term: msg.Term, Context: msg.Context})
				case msg.Type == consensus.MsgAppend && msg.To == 2:
					for _, e := range msg.Entries {
						bytes += len(e.Data)
					}
				}
			}
			n.Advance(rd)
		}
	}
	for !n.IsLeader() {
		n.Tick()
		n.Step(consensus.Message{Type: consensus.MsgPreVoteResp, From: 2, To: 1, Term: n.Term() + 1})
		n.Step(consensus.Message{Type: consensus.MsgVoteResp, From: 2, To: 1, Term: n.Term()})
	}
	appends()
	for _, id := range []consensus.NodeID{2, 3} {
		n.Step(consensus.Message{Type: consensus.MsgAppendResp, From: id, To: 1, Term: n.Term(), Index: 2})
	}
	appends()
	if _, err := n.Propose(make([]byte, size)); err != nil {
		t.Fatal(err)
	}
	n.Flush()
	if sent := appends(); sent != size {
		t.Fatalf("%d bytes sent at once", sent)
	}
	for tick := 1; tick < underWay; tick++ {
		n.Tick()
		if sent := appends(); sent > 0 {
			t.Fatalf("sent anew after %d ticks", tick)
		}
	}
	sent := 0
	for range 2 * small {
		n.Tick()
		sent += appends()
	}
	if sent < size { // it may be lost after all
		t.Fatalf("not sent anew after %d ticks: %d bytes", underWay+2*small, sent)
	}
}
