package control

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/cassiapass/cassiapass/internal/core/consensus"
)

// Guards against followers that campaign while their leader takes in a large change.
func TestHeartbeatsAreSentDuringALongTurn(t *testing.T) {
	is := is.New(t)
	b := &busyBeats{}
	at := time.Unix(1000, 0)
	beats := []consensus.Message{{Type: consensus.MsgHeartbeat, To: 2}}
	b.beginTurn(at, beats)
	is.Equal(len(b.due(at.Add(beatInterval/2))), 0)
	is.Equal(b.due(at.Add(beatInterval)), beats)
	is.Equal(len(b.due(at.Add(beatInterval+tickInterval))), 0) // sent just now
	is.Equal(b.due(at.Add(2*beatInterval)), beats)
	b.endTurn()
	is.Equal(len(b.due(at.Add(4*beatInterval))), 0)
}

// Guards against a leader whose loop hangs and that no other host replaces.
func TestALoopThatHangsLosesItsLeadership(t *testing.T) {
	is := is.New(t)
	b := &busyBeats{}
	at := time.Unix(1000, 0)
	b.beginTurn(at, []consensus.Message{{Type: consensus.MsgHeartbeat, To: 2}})
	is.Equal(len(b.due(at.Add(maxBusyTurn))), 1)
	is.Equal(len(b.due(at.Add(maxBusyTurn+beatInterval))), 0)
}

// Guards against a change of leader while the leader's loop is busy for as long as a follower waits at
// most before it campaigns.
func TestALeaderThatIsBusyKeepsItsLeadership(t *testing.T) {
	is := is.New(t)
	g := newGroup(t, 3)
	g.eventually("formed", func() bool { return g.complete(3) })
	before := g.leaderView()
	for _, c := range g.hosts {
		if c.ID() == c.Status().Leader {
			is.NoErr(c.loop.do(func() { time.Sleep(electionTicks * tickInterval * 2) }))
		}
	}
	time.Sleep(electionTicks * tickInterval)
	is.Equal(g.leaderView(), before)
}
