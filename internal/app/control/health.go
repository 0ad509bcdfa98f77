package control

import (
	"net/http"
	"slices"
	"time"

	"github.com/labstack/echo/v4"

	"github.com/cassiapass/cassiapass/internal/core/consensus"
	"github.com/cassiapass/cassiapass/internal/core/roster"
)

// GroupPath is the path at which operators read the state of the control group.
const GroupPath = "/v1/group"

// GroupMember is a member of the group, as one host knows it.
type GroupMember struct {
	consensus.Member
	// Unheard is the time in seconds since the member was last heard at its address; negative if
	// it never was since this process started.
	Unheard float64 `json:"unheardSeconds"`
	// Instead is another identity that was seen at the address last: the host lost its disk or
	// its log was damaged. None if there is none.
	Instead consensus.NodeID `json:"instead,omitempty"`
}

// GroupStatus is the state of the control group, as one host knows it.
type GroupStatus struct {
	Node    consensus.NodeID `json:"node"`
	Addr    string           `json:"addr"`
	Vote    string           `json:"vote"` // "yes", or why this host has none
	Role    string           `json:"role"`
	Term    uint64           `json:"term"`
	Leader  consensus.NodeID `json:"leader"`
	Commit  uint64           `json:"commit"`
	Last    uint64           `json:"last"`
	Quorum  int              `json:"quorum"`
	Members []GroupMember    `json:"members"`
	// Health is nil at hosts that do not lead.
	Health *roster.Health `json:"health,omitempty"`
}

// Reasons why a host has no vote.
const (
	votes          = "yes"
	noVoteDisk     = "no: it has no disk"
	noVoteDamaged  = "no: its log was damaged and is set aside, and it is no member yet"
	noVoteStranger = "no: it is no member of the group that its log describes, or its log is empty"
	noVoteSpare    = "no: it is a spare that holds the log"
)

// vote returns whether this host has a vote and why not. It runs in the loop.
func (l *loop) vote() string {
	self, member := l.node.Status().Membership.Find(l.id)
	switch {
	case self.Voter:
		return votes
	case l.volatile:
		return noVoteDisk
	case member:
		return noVoteSpare
	case l.setAside != nil:
		return noVoteDamaged
	}
	return noVoteStranger
}

// observeHealth logs a change of this host's vote and of what the group can lose, and keeps the
// latter for the metric. It runs in the loop.
func (l *loop) observeHealth(now time.Time, st consensus.Status) {
	if v := l.vote(); v != l.loggedVote {
		l.loggedVote = v
		l.log.Info().Str("vote", v).Uint64("term", st.Term).Msg("vote_changed")
	}
	if l.roster == nil {
		l.met.losable.Store(unknownLosable)
		return
	}
	h := l.roster.Health(now, st)
	l.met.losable.Store(int64(h.Losable))
	if h.Losable != l.health.Losable || !slices.Equal(h.Causes, l.health.Causes) && h.Losable == 0 && now.Sub(l.healthLogged) > healthLogInterval {
		l.healthLogged = now
		l.log.Info().Int("losable", h.Losable).Int("wanted", h.Wanted).Strs("causes", h.Causes).Msg("losable_disks_changed")
	}
	l.health = h
}

// healthLogInterval is the minimum time between two lines that differ in their causes alone.
const healthLogInterval = 5 * time.Second

// GroupStatus returns the state of the group as this host knows it.
func (c *Control) GroupStatus() GroupStatus {
	g := GroupStatus{Node: c.id, Addr: c.Addr()}
	now := time.Now()
	var members []consensus.Member
	_ = c.loop.do(func() {
		st := c.loop.node.Status()
		g.Vote, g.Role, g.Term, g.Leader, g.Commit, g.Last = c.loop.vote(), st.Role.String(), st.Term, st.Leader, st.Commit, st.LastIndex
		g.Quorum = st.Membership.Voters()/2 + 1
		members = st.Membership.Members
		if c.loop.roster != nil {
			h := c.loop.roster.Health(now, st)
			g.Health = &h
		}
	})
	for _, m := range members {
		g.Members = append(g.Members, c.groupMember(now, m))
	}
	return g
}

func (c *Control) groupMember(now time.Time, m consensus.Member) GroupMember {
	out := GroupMember{Member: m, Unheard: -1}
	if m.ID == c.id {
		out.Unheard = 0
		return out
	}
	addr, met := c.contacts.addrOf(m.ID)
	if !met {
		addr = m.Addr
	}
	c.contacts.mu.Lock()
	defer c.contacts.mu.Unlock()
	id, at := c.contacts.book.SeenAt(addr)
	switch {
	case id == m.ID:
		out.Unheard = now.Sub(at).Seconds()
	case id != consensus.None:
		out.Instead = id
	}
	return out
}

// ServeGroup answers operators with the state of the group.
func (c *Control) ServeGroup(x echo.Context) error { return x.JSON(http.StatusOK, c.GroupStatus()) }
