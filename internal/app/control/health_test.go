package control

import (
	"testing"

	"github.com/matryer/is"

	"github.com/cassiapass/cassiapass/internal/core/consensus"
)

// losable returns how many disks the leader says may be lost, unknownLosable without a leader.
func (g *testGroup) losable() int {
	for _, c := range g.hosts {
		if c == nil {
			continue
		}
		if h := c.GroupStatus().Health; h != nil {
			return h.Losable
		}
	}
	return unknownLosable
}

func TestLosableDisksFollowTheLossAndTheRepair(t *testing.T) {
	g := newGroup(t, 4)
	g.eventually("formed", func() bool { return g.complete(4) && g.losable() == 1 })
	g.kill(1)
	g.eventually("the loss is seen", func() bool { return g.losable() == 0 })
	g.eventually("the spare votes", func() bool { return g.losable() == 1 })
}

// Guards against an on-call engineer who finds no leader and no reason.
func TestGroupStatusNamesTheMissingVoters(t *testing.T) {
	is := is.New(t)
	g := newGroup(t, 4)
	g.eventually("formed", func() bool { return g.complete(4) })
	lost, down := g.hosts[0].ID(), g.hosts[1].ID()
	for i := range g.hosts {
		g.kill(i)
	}
	g.dirs[0] = t.TempDir()
	for _, i := range []int{0, 2, 3} {
		g.start(i, false)
	}
	g.eventually("the new identity is seen", func() bool {
		for _, m := range g.hosts[2].GroupStatus().Members {
			if m.ID == lost {
				return m.Instead == g.hosts[0].ID()
			}
		}
		return false
	})
	s := g.hosts[2].GroupStatus()
	is.Equal(s.Leader, consensus.None)
	is.Equal(s.Quorum, 2)
	is.Equal(s.Vote, votes)
	is.True(s.Health == nil)
	for _, m := range s.Members {
		if m.ID == down {
			is.True(m.Unheard < 0 && m.Instead == consensus.None)
		}
	}
	is.Equal(g.hosts[3].GroupStatus().Vote, noVoteSpare)
	is.Equal(g.hosts[0].GroupStatus().Vote, noVoteStranger)
}
