package consensus_test

import (
	"errors"
	"slices"
	"testing"

	"github.com/matryer/is"

	"github.com/cassiapass/cassiapass/internal/core/consensus"
)

// group is a set of members whose messages all arrive at once, with what each has synced.
type group struct {
	t     *testing.T
	nodes map[consensus.NodeID]*consensus.Node
	disks map[consensus.NodeID]*consensus.Config
	down  map[consensus.NodeID]bool
}

// newMemberGroup returns voters 1 to 3 and spares 4 and 5.
func newMemberGroup(t *testing.T) *group {
	t.Helper()
	g := &group{t: t, nodes: map[consensus.NodeID]*consensus.Node{}, disks: map[consensus.NodeID]*consensus.Config{}, down: map[consensus.NodeID]bool{}}
	var m consensus.Membership
	for id := consensus.NodeID(1); id <= 5; id++ {
		m = m.With(consensus.Member{ID: id, Voter: id <= 3})
	}
	for id := consensus.NodeID(1); id <= 5; id++ {
		g.disks[id] = &consensus.Config{ID: id, ElectionTicks: 10, HeartbeatTicks: 1, ObserverTicks: 1, Rand: func(int) int { return int(id) }, Snapshot: consensus.Bootstrap(m)}
		g.restart(id)
	}
	return g
}

func (g *group) restart(id consensus.NodeID) {
	cfg := *g.disks[id]
	cfg.Entries = slices.Clone(cfg.Entries)
	g.nodes[id] = consensus.New(cfg)
}

// settle carries out all pending work and delivers all messages.
func (g *group) settle() {
	for {
		var msgs []consensus.Message
		for id := consensus.NodeID(1); id <= 5; id++ {
			if n := g.nodes[id]; !g.down[id] {
				n.Flush()
				for rd := n.Ready(); !rd.Empty(); rd = n.Ready() {
					msgs = append(msgs, rd.Early...)
					g.save(id, rd)
					msgs = append(msgs, rd.Messages...)
					n.Advance(rd)
				}
			}
		}
		if len(msgs) == 0 {
			return
		}
		for _, m := range msgs {
			if n, ok := g.nodes[m.To]; ok && !g.down[m.To] {
				n.Step(m)
			}
		}
	}
}

func (g *group) save(id consensus.NodeID, rd consensus.Ready) {
	d := g.disks[id]
	for _, e := range rd.Entries {
		d.Entries = append(d.Entries[:e.Index-d.Snapshot.Index-1], e)
	}
	if rd.HardState != nil {
		d.HardState = *rd.HardState
	}
}

func (g *group) tick(n int) {
	for range n {
		for id := consensus.NodeID(1); id <= 5; id++ {
			if !g.down[id] {
				g.nodes[id].Tick()
			}
		}
		g.settle()
	}
}

// leader returns the leader, after an election if there is none.
func (g *group) leader() *consensus.Node {
	g.t.Helper()
	for range 100 {
		for id := consensus.NodeID(1); id <= 5; id++ {
			if !g.down[id] && g.nodes[id].LeaderCaughtUp() {
				return g.nodes[id]
			}
		}
		g.tick(1)
	}
	g.t.Fatal("no leader")
	return nil
}

func (g *group) change(m consensus.Member, remove bool) {
	g.t.Helper()
	if _, err := g.leader().ProposeMembership(m, remove); err != nil {
		g.t.Fatal(err)
	}
	g.settle()
}

// Guards against members that all restart with a membership which still counts a voter whose vote
// was taken: the change is in their logs, but not within their stored commit indexes.
func TestCommittedMembershipSurvivesRestartOfAll(t *testing.T) {
	g := newMemberGroup(t)
	g.down[3] = true
	g.leader()
	g.change(consensus.Member{ID: 4, Voter: true}, false)
	g.change(consensus.Member{ID: 3}, true)
	// All lose power; member 2 its disk.
	g.down[2] = true
	for _, id := range []consensus.NodeID{1, 4, 5} {
		g.restart(id)
	}
	g.leader() // 1 and 4 are a quorum of 1, 2 and 4
}

// Guards against a repair that waits for a member which was added last and is gone for good.
func TestVoterIsAddedAlthoughTheLastOneIsGone(t *testing.T) {
	is := is.New(t)
	g := newMemberGroup(t)
	g.leader()
	g.down[3] = true
	g.change(consensus.Member{ID: 3}, false)
	g.change(consensus.Member{ID: 4, Voter: true}, false)
	g.down[4] = true // gone for good; a new leader does not know what it holds
	g.down[g.leader().Status().ID] = true
	up := consensus.NodeID(1)
	if g.down[1] {
		up = 2
	}
	g.down[3-up] = false
	g.restart(1)
	g.restart(2)
	l := g.leader()
	g.tick(25)
	_, err := l.ProposeMembership(consensus.Member{ID: 5, Voter: true}, false)
	is.NoErr(err)
}

// Guards against admissions of hosts without a vote that wait for each other.
func TestAdmissionOfASpareWaitsForNoOther(t *testing.T) {
	is := is.New(t)
	g := newMemberGroup(t)
	l := g.leader()
	g.change(consensus.Member{ID: 6}, false) // never answers
	_, err := l.ProposeMembership(consensus.Member{ID: 7}, false)
	is.NoErr(err)
	g.settle()
	_, err = l.ProposeMembership(consensus.Member{ID: 4, Voter: true}, false)
	is.NoErr(err)
}

// Guards against two quick repairs after which no member of a quorum holds the log.
func TestVoterIsNotAddedBeforeTheLastOneHoldsTheLog(t *testing.T) {
	is := is.New(t)
	g := newMemberGroup(t)
	l := g.leader()
	_, err := l.ProposeMembership(consensus.Member{ID: 4, Voter: true}, false)
	is.NoErr(err)
	g.down[4], g.down[5] = true, true // just now: they still count as answering
	g.settle()
	_, err = l.ProposeMembership(consensus.Member{ID: 5, Voter: true}, false)
	is.Equal(err, consensus.ErrMemberBehind) // neither holds the log

	g.down[5] = false
	g.tick(25)
	_, err = l.ProposeMembership(consensus.Member{ID: 5, Voter: true}, false)
	is.NoErr(err) // 5 holds it
}

// Guards against a group of two that has no quorum, as the second one was promoted before it knew the first.
func TestSpareIsNotPromotedBeforeItHoldsItsAdmission(t *testing.T) {
	is := is.New(t)
	g := newMemberGroup(t)
	l := g.leader()
	g.change(consensus.Member{ID: 6}, false) // has not answered yet
	_, err := l.ProposeMembership(consensus.Member{ID: 6, Voter: true}, false)
	is.Equal(err, consensus.ErrMemberBehind)
}

// Guards against a promotion that is refused while the next answer of a spare, which gets few
// heartbeats, is awaited.
func TestSpareIsPromotedBetweenTwoOfItsAnswers(t *testing.T) {
	is := is.New(t)
	for phase := range 30 {
		g := newMemberGroup(t)
		for id, d := range g.disks {
			d.ObserverTicks = d.ElectionTicks + 2
			g.restart(id)
		}
		l := g.leader()
		g.tick(phase)
		_, err := l.ProposeMembership(consensus.Member{ID: 4, Voter: true}, false)
		is.NoErr(err)
	}
}

func TestLeaderDoesNotTakeItsOwnVote(t *testing.T) {
	is := is.New(t)
	g := newMemberGroup(t)
	l := g.leader()
	_, err := l.ProposeMembership(consensus.Member{ID: l.Status().ID}, false)
	is.Equal(err, consensus.ErrRemoveLeader)
}

// Guards against two changes under way: each is worked out from the applied membership, so the second
// differs by two members from the first, and a majority of one need not meet one of the other.
func TestOneChangeAtATime(t *testing.T) {
	is := is.New(t)
	g := newMemberGroup(t)
	l := g.leader()
	_, err := l.ProposeMembership(consensus.Member{ID: 4, Voter: true}, false)
	is.NoErr(err)
	for _, c := range []consensus.Member{{ID: 5, Voter: true}, {ID: 4, Voter: true}, {ID: 6}} {
		_, err = l.ProposeMembership(c, false)
		is.True(errors.Is(err, consensus.ErrChangePending))
	}
	g.settle()
	_, err = l.ProposeMembership(consensus.Member{ID: 5, Voter: true}, false)
	is.NoErr(err)
}
