package control

import (
	"context"
	"encoding/json"
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/cassiapass/cassiapass/internal/adapter/disklog"
	"github.com/cassiapass/cassiapass/internal/core/consensus"
	"github.com/cassiapass/cassiapass/internal/core/roster"
	"github.com/cassiapass/cassiapass/internal/wire"
)

// Seeds lets control hosts form a group and maintain its membership without an operator.
// The zero value leaves membership to operators.
type Seeds struct {
	// Addrs are the advertised addresses of hosts that were control hosts when
	// the settings were written.
	Addrs []string
	// Form is true only at the first start of the whole deployment: the hosts
	// at Addrs are then the founding voters.
	Form bool
	// Volatile means that the host has no disk. It holds the log in memory and
	// answers operators, but never votes and does not found a group.
	Volatile bool
	// Roster sets when members are replaced and removed.
	Roster roster.Config
}

func (s Seeds) used() bool { return len(s.Addrs) > 0 }

// rosterInterval is the time between checks for a due membership change.
const rosterInterval = 100 * time.Millisecond

// foundingID is the identity of a founding voter. Every founder derives the
// same identities from the same list, so that all start from one membership without
// communication. A host that later loses its disk starts with Form false and
// draws a fresh identity: under its founding one it could vote twice, as its votes are lost.
func foundingID(group, addr string) consensus.NodeID {
	return consensus.NodeID(xxhash.Sum64String("founder/"+group+"/"+addr) | 1)
}

// freshIdentity returns the identity for an empty data folder.
func (cfg Config) freshIdentity() disklog.Identity {
	id := consensus.NodeID(rand.Uint64() | 1)
	if cfg.Seeds.Form && !cfg.Seeds.Volatile && slices.Contains(cfg.Seeds.Addrs, cfg.Advertise) {
		id = foundingID(string(cfg.Group), cfg.Advertise)
	}
	return disklog.Identity{Node: id, Group: cfg.Group}
}

// maxLoggedSegments is the number of segments, the newest ones, that a start logs.
const maxLoggedSegments = 8

// newestSegments returns the newest segments for the log.
func newestSegments(segs []disklog.Segment) []fmt.Stringer {
	var out []fmt.Stringer
	for _, s := range segs[max(0, len(segs)-maxLoggedSegments):] {
		out = append(out, s)
	}
	return out
}

// setAsideDataFolder sets a damaged log aside; the host joins as a new member without a vote.
// Whether that member replaces the old one is decided by the group's leader, which holds what was
// committed. If no leader is found because of the damage, the log that was set aside is what an
// operator can still recover. The new identity is never a founding one: the host may have
// voted under that.
func (cfg Config) setAsideDataFolder(read *disklog.Restored, cause error) (*disklog.Log, *disklog.Restored, error) {
	cfg.Seeds.Form = false
	id := cfg.freshIdentity()
	cfg.Log.Error().Err(cause).Uint64("node", uint64(read.Identity.Node)).Uint64("new_node", uint64(id.Node)).Uint64("term", read.HardState.Term).Uint64("commit", read.HardState.Commit).
		Uint64("snapshot", read.Snapshot.Index).Stringers("segments", newestSegments(read.Segments)).Msg("data_folder_set_aside")
	if err := cfg.folder().SetAside(id); err != nil {
		return nil, nil, err
	}
	return cfg.folder().Open(cfg.freshIdentity)
}

// removeSetAside removes a log that was set aside once this host is a member again: the quorum
// that admitted it holds all that was committed. It runs in the loop.
func (l *loop) removeSetAside() {
	if l.setAside == nil {
		return
	}
	if _, member := l.node.Status().Membership.Find(l.id); !member {
		return
	}
	removed, err := l.setAside.RemoveSetAside()
	l.setAside = nil
	if removed > 0 || err != nil {
		l.log.Info().Int("files", removed).Err(err).Msg("set_aside_log_removed")
	}
}

// foundingMembership returns the first membership of the group, and whether this host is
// one of its founders.
func (c *Control) foundingMembership() (consensus.Membership, bool) {
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

// onJoin passes a request to join to the roster on the leader and forwards it elsewhere.
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
		return nil, ErrNoLeader // avoids a loop between hosts that each take the other for the leader
	case leader != c.id:
		p.Forwarded = true
		var res wire.JoinResult
		err := c.peers.call(ctx, leader, wire.MethodJoin, p, &res)
		return res, err
	}
	var res wire.JoinResult
	err = c.loop.do(func() {
		if c.loop.roster != nil {
			c.loop.roster.Join(roster.Joiner{ID: p.ID, Addr: p.Addr, At: time.Now(), Volatile: p.Volatile})
		}
		res.Members = c.loop.node.Status().Membership.Members
	})
	return res, err
}

// tickRoster proposes the membership change that is due. It runs in the loop.
func (l *loop) tickRoster(now time.Time) {
	if !l.rosterUsed || now.Sub(l.rosterChecked) < rosterInterval {
		return
	}
	l.rosterChecked = now
	defer func() { l.observeHealth(now, l.node.Status()) }()
	if !l.node.LeaderCaughtUp() {
		l.roster = nil
		return
	}
	if l.roster == nil || l.rosterTerm != l.node.Term() {
		l.roster, l.rosterTerm = roster.New(l.rosterCfg, now, l.heard), l.node.Term()
	}
	st := l.node.Status()
	l.reportMoved(now, st.Membership)
	maps.DeleteFunc(l.heard, func(id consensus.NodeID, _ time.Time) bool {
		_, member := st.Membership.Find(id)
		return !member
	})
	ch, due := l.roster.Next(now, st)
	if !due {
		return
	}
	_, err := l.node.ProposeMembership(ch.Member, ch.Remove)
	l.log.Info().Uint64("member", uint64(ch.Member.ID)).Str("address", ch.Member.Addr).Bool("voter", ch.Member.Voter).
		Bool("remove", ch.Remove).Str("reason", ch.Reason).Err(err).Msg("membership_change_proposed")
}

// reportMoved passes to the roster the members whose address differs from the one in the log,
// including this host. They receive the leader's messages and so do not ask to join.
func (l *loop) reportMoved(now time.Time, ms consensus.Membership) {
	for _, m := range ms.Members {
		addr, met := l.contactAddr(m.ID)
		if m.ID == l.id {
			addr, met = l.addr, true
		}
		if met && addr != m.Addr {
			l.roster.Join(roster.Joiner{ID: m.ID, Addr: addr, At: now, Volatile: m.Volatile})
		}
	}
}
