package ctl

import (
	"fmt"
	"net/http"

	"github.com/cassiapass/cassiapass/internal/app/control"
	"github.com/cassiapass/cassiapass/internal/core/consensus"
)

type groupCmd struct{ cli *cli }

// Execute implements flags.Commander.
func (x *groupCmd) Execute([]string) error {
	var g control.GroupStatus
	if err := x.cli.call(http.MethodGet, control.GroupPath, nil, &g); err != nil {
		return err
	}
	return x.cli.print(g, func() { x.cli.group(g) })
}

// unheardAfterS is the silence in seconds after which a voter is shown as missing: two greetings
// between members.
const unheardAfterS = 4

func (c *cli) group(g control.GroupStatus) {
	fmt.Fprintf(c.out, "host %s, node %d: %s in term %d, log to %d, committed to %d; votes: %s\n", g.Addr, g.Node, g.Role, g.Term, g.Last, g.Commit, g.Vote)
	if g.Leader == consensus.None {
		fmt.Fprintf(c.out, "no leader: %d of the voters below must answer each other\n", g.Quorum)
	} else {
		fmt.Fprintf(c.out, "leader: node %d\n", g.Leader)
	}
	switch {
	case g.Health != nil:
		fmt.Fprintf(c.out, "disks that may be lost now, with power everywhere: %d of %d\n", g.Health.Losable, g.Health.Wanted)
		for _, cause := range g.Health.Causes {
			fmt.Fprintf(c.out, "  %s\n", cause)
		}
	case g.Leader != consensus.None:
		fmt.Fprintln(c.out, "ask the leader how many disks may be lost now")
	}
	c.table("NODE\tADDRESS\tROLE\tSTATE", func(add func(string, ...any)) {
		for _, m := range g.Members {
			add("%d\t%s\t%s\t%s", m.ID, m.Addr, memberRole(m), memberState(m, g.Node, g.Health != nil))
		}
	})
}

func memberRole(m control.GroupMember) string {
	switch {
	case m.Voter:
		return "voter"
	case m.Volatile:
		return "no disk"
	}
	return "spare"
}

// memberState describes whether a member was heard. A host greets the members that it does not hear;
// a follower hears only its leader, so no news of another member is no bad news with a leader.
func memberState(m control.GroupMember, self consensus.NodeID, leading bool) string {
	switch {
	case m.ID == self:
		return "this host"
	case m.Instead != consensus.None:
		return fmt.Sprintf("gone: node %d is at its address, without its log", m.Instead)
	case m.Unheard < 0:
		return "not heard since this process started"
	case m.Unheard > unheardAfterS && !leading:
		return fmt.Sprintf("last greeted %.0f s ago", m.Unheard)
	}
	return "heard"
}
