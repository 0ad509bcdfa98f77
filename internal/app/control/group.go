package control

import (
	"context"
	"encoding/json"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/cassiapass/cassiapass/internal/adapter/disklog"
	"github.com/cassiapass/cassiapass/internal/core/consensus"
	"github.com/cassiapass/cassiapass/internal/core/roster"
	"github.com/cassiapass/cassiapass/internal/wire"
)

// Seeds lets control hosts form a group and keep it whole without an operator.
// The zero value leaves membership to operators.
type Seeds struct {
	// Addrs are the advertised addresses of hosts that were control hosts when
	// the settings were written.
	Addrs []string
	// Form is true only at the first start of the whole deployment: the hosts
	// at Addrs are then the founding voters.
	Form bool
	// Volatile tells that the host has no disk. It holds the log in memory and
	// answers operators, but never votes and founds no group.
	Volatile bool
	// Roster bounds replacing and forgetting.
	Roster roster.Config
}

func (s Seeds) used() bool { return len(s.Addrs) > 0 }

// rosterEvery is the time between looks at which membership change is due.
const rosterEvery = 250 * time.Millisecond

// foundingID is the identity of a founding voter. Every founder derives the
// same ones from the same list, so that all start from one membership without
// having talked. A host that later loses its disk starts with Form false and
// draws a fresh identity instead: under this one it would forget its votes.
func foundingID(group, addr string) consensus.NodeID {
	return consensus.NodeID(xxhash.Sum64String("founder/"+group+"/"+addr) | 1)
}

// freshIdentity is the identity for an empty data folder.
func (cfg Config) freshIdentity() disklog.Identity {
	id := consensus.NodeID(rand.Uint64() | 1)
	if cfg.Seeds.Form && !cfg.Seeds.Volatile && slices.Contains(cfg.Seeds.Addrs, cfg.Advertise) {
		id = foundingID(string(cfg.Group), cfg.Advertise)
	}
	return disklog.Identity{Node: id, Group: cfg.Group}
}

// startOver empties a damaged data folder; the host joins as a new member.
// Nobody is there to do it by hand, and a host that stays down would leave its
// group unable to bear the next loss. The new identity is never a founding one:
// the damaged folder may have voted under that.
func (cfg Config) startOver(cause error) (*disklog.Log, *disklog.Restored, error) {
	cfg.Log.Error().Err(cause).Msg("data_folder_discarded")
	if err := disklog.Discard(cfg.DataDir); err != nil {
		return nil, nil, err
	}
	cfg.Seeds.Form = false
	return disklog.Open(cfg.DataDir, cfg.freshIdentity)
}

// founders returns the first membership, if this host is one of the founders.
func (c *Control) founders() (consensus.Membership, bool) {
	var m consensus.Membership
	if !c.cfg.Seeds.Form {
		return m, false
	}
	for _, a := range c.cfg.Seeds.Addrs {
		m = m.With(consensus.Member{ID: foundingID(string(c.cfg.Group), a), Addr: a, Voter: true})
	}
	_, founder := m.Find(c.id)
	return m, founder
}

// onJoin notes a request to join on the leader and forwards it elsewhere.
func (c *Control) onJoin(ctx context.Context, raw json.RawMessage) (any, error) {
	p, err := decode[wire.JoinParams](raw)
	if err != nil {
		return nil, err
	}
	leader := c.leader()
	switch {
	case leader == consensus.None:
		return nil, ErrNoLeader
	case leader != c.id && p.Forwarded:
		return nil, ErrNoLeader // two hosts that each take the other for the leader
	case leader != c.id:
		p.Forwarded = true
		var res wire.JoinResult
		err := c.peers.call(ctx, leader, wire.MethodJoin, p, &res)
		return res, err
	}
	var res wire.JoinResult
	err = c.loop.with(func() {
		if c.loop.roster != nil {
			c.loop.roster.Join(roster.Joiner{ID: p.ID, Addr: p.Addr, At: time.Now(), Volatile: p.Volatile})
		}
		res.Members = c.loop.node.Status().Membership.Members
	})
	return res, err
}

// tickRoster proposes the membership change that is due. It runs in the loop.
func (l *loop) tickRoster(now time.Time) {
	if !l.rosterUsed || now.Sub(l.rosterChecked) < rosterEvery {
		return
	}
	l.rosterChecked = now
	if !l.node.LeadsSettled() {
		l.roster = nil
		return
	}
	if l.roster == nil || l.rosterTerm != l.node.Term() {
		l.roster, l.rosterTerm = roster.New(l.rosterCfg, now), l.node.Term()
	}
	st := l.node.Status()
	l.noteMoved(now, st.Membership)
	ch, due := l.roster.Next(now, st)
	if !due {
		return
	}
	_, err := l.node.ProposeMembership(ch.Member, ch.Remove)
	l.log.Info().Uint64("member", uint64(ch.Member.ID)).Str("address", ch.Member.Addr).Bool("voter", ch.Member.Voter).
		Bool("remove", ch.Remove).Str("reason", ch.Reason).Err(err).Msg("membership_change_proposed")
}

// noteMoved tells the roster of members that were met at another address than the log
// says, this host among them. They hear the leader and do not ask to join.
func (l *loop) noteMoved(now time.Time, ms consensus.Membership) {
	for _, m := range ms.Members {
		addr, met := l.metAt(m.ID)
		if m.ID == l.id {
			addr, met = l.addr, true
		}
		if met && addr != m.Addr {
			l.roster.Join(roster.Joiner{ID: m.ID, Addr: addr, At: now, Volatile: m.Volatile})
		}
	}
}
