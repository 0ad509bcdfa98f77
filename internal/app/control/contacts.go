package control

import (
	"context"
	"encoding/json"
	"slices"
	"sync"
	"time"

	"github.com/cassiapass/cassiapass/internal/core/consensus"
	"github.com/cassiapass/cassiapass/internal/core/contact"
	"github.com/cassiapass/cassiapass/internal/wire"
)

const (
	// greetInterval is the time between checks for hosts that are due to be greeted.
	greetInterval = 250 * time.Millisecond
	greetTimeout  = 400 * time.Millisecond
	// maxLeaderless is how long a member goes without a leader before it counts as
	// disconnected and asks to join: it may have been removed while it was down, and no host
	// notifies it.
	maxLeaderless = 2 * time.Second
	// silenceLimit is how long a member is silent before the leader greets its address to find
	// out which host is there now: longer than two heartbeats to a member without a vote.
	silenceLimit = 1200 * time.Millisecond
	// hintTTL is how long a host without a leader passes on to entries the leader's address
	// that it received from another host.
	hintTTL = 3 * time.Second
	// contactSaveInterval is the minimum time between two writes of the addresses.
	contactSaveInterval = 2 * time.Second
)

// contacts is this host's address book of control hosts. It is safe for concurrent use.
type contacts struct {
	mu           sync.Mutex
	book         *contact.Book
	hintedLeader string // address of the leader, as another host last reported
	hintedAt     time.Time
}

func (k *contacts) withBook(f func(b *contact.Book)) {
	k.mu.Lock()
	defer k.mu.Unlock()
	f(k.book)
}

// addrOf returns the address at which a host with this identity was last contacted.
func (k *contacts) addrOf(id consensus.NodeID) (string, bool) {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.book.AddrOf(id)
}

// leaderHint returns the leader's address if another host reported it within hintTTL, or "".
func (k *contacts) leaderHint(now time.Time) string {
	k.mu.Lock()
	defer k.mu.Unlock()
	if now.Sub(k.hintedAt) > hintTTL {
		return ""
	}
	return k.hintedLeader
}

// loadContacts returns the addresses saved in the data folder.
func (cfg Config) loadContacts() []string {
	if cfg.Seeds.Volatile || !cfg.Seeds.used() {
		return nil
	}
	addrs, err := cfg.folder().PeerAddrs()
	if err != nil {
		// The seeds remain, and the hosts that greet this one.
		cfg.Log.Warn().Err(err).Msg("contacts_not_read")
	}
	return addrs
}

// SetSeeds replaces the seed addresses of the settings.
func (c *Control) SetSeeds(addrs []string) {
	c.contacts.withBook(func(b *contact.Book) { b.SetSeeds(addrs) })
}

// standing is this host's relation to its group at one moment.
type standing struct {
	contact.Standing
	membership consensus.Membership
	silent     []consensus.NodeID // silent members, as seen by the leader
}

// currentStanding returns this host's relation to its group. leaderSeen is when it was
// last a member with a leader.
func (c *Control) currentStanding(now, leaderSeen time.Time) standing {
	var s standing
	_ = c.loop.do(func() {
		st := c.loop.node.Status()
		s.membership = st.Membership
		_, member := st.Membership.Find(c.id)
		switch {
		case !member || st.Leader == consensus.None && now.Sub(leaderSeen) >= maxLeaderless:
			return // disconnected, the zero value
		case st.Leader != c.id || c.loop.roster == nil:
			s.Standing = contact.Following
		default:
			s.Standing = contact.Leading
			s.silent = c.loop.roster.Silent(now, silenceLimit, st)
		}
	})
	return s
}

// greetHosts greets other hosts, and asks to join while this host is not a member
// or may have been removed while it was down.
func (c *Control) greetHosts(ctx context.Context) {
	t := time.NewTicker(greetInterval)
	defer t.Stop()
	leaderSeen := time.Now()
	for {
		select {
		case <-ctx.Done():
			return
		case <-t.C:
		}
		now := time.Now()
		s := c.currentStanding(now, leaderSeen)
		if c.leader() != consensus.None && s.Standing != contact.Disconnected {
			leaderSeen = now
		}
		var due []string
		c.contacts.withBook(func(b *contact.Book) {
			b.SetMembers(s.membership)
			due = b.NextGreetings(now, s.Standing, s.silent)
		})
		for _, addr := range due {
			go c.greet(ctx, addr, s.Standing)
		}
	}
}

// greeting returns what this host reports about itself and the hosts that it knows.
func (c *Control) greeting(now time.Time, s contact.Standing) wire.Greeting {
	g := wire.Greeting{Group: c.cfg.Group, ID: c.id, Addr: c.Addr(), Leader: c.currentLeaderAddr()}
	c.contacts.withBook(func(b *contact.Book) { g.Known = b.ToShare(now, s) })
	return g
}

// greet sends this host's greeting to one host and applies the answer. A disconnected
// host also asks it to forward a request to join, if it has a leader.
func (c *Control) greet(ctx context.Context, addr string, s contact.Standing) {
	ctx, cancel := context.WithTimeout(ctx, greetTimeout)
	defer cancel()
	conn, err := c.peers.dialOnce(ctx, addr)
	if err != nil {
		c.cfg.Log.Debug().Str("address", addr).Err(err).Msg("greeting_not_sent")
		return
	}
	defer conn.Close()
	var res wire.Greeting
	if err := conn.Call(ctx, wire.MethodGreet, c.greeting(time.Now(), s), &res); err != nil {
		c.cfg.Log.Debug().Str("address", addr).Err(err).Msg("greeting_not_answered")
		return
	}
	c.applyGreeting(res)
	if s != contact.Disconnected || res.Leader == "" {
		return
	}
	var joined wire.JoinResult
	err = conn.Call(ctx, wire.MethodJoin, wire.JoinParams{ID: c.id, Addr: c.Addr(), Volatile: c.cfg.Seeds.Volatile}, &joined)
	if err == nil {
		c.peers.learn(joined.Members)
	}
	c.cfg.Log.Info().Str("address", addr).Err(err).Msg("join_asked")
}

// applyGreeting records the addresses that another host sent. A host of another group is
// ignored.
func (c *Control) applyGreeting(g wire.Greeting) {
	if g.Group != c.cfg.Group {
		c.cfg.Log.Warn().Str("address", g.Addr).Str("group", string(g.Group)).Msg("greeted_by_another_group")
		return
	}
	now := time.Now()
	c.contacts.mu.Lock()
	defer c.contacts.mu.Unlock()
	c.contacts.book.RecordSeen(now, contact.Contact{ID: g.ID, Addr: g.Addr})
	c.contacts.book.RecordReported(now, g.Known)
	if g.Leader != "" {
		c.contacts.hintedLeader, c.contacts.hintedAt = g.Leader, now
	}
}

// onGreet applies another host's greeting and answers it.
func (c *Control) onGreet(raw json.RawMessage) (any, error) {
	g, err := decode[wire.Greeting](raw)
	if err != nil {
		return nil, err
	}
	c.applyGreeting(g)
	s := contact.Following
	if c.leader() == consensus.None {
		s = contact.Disconnected
	}
	return c.greeting(time.Now(), s), nil
}

// saveContacts writes the addresses to the data folder when they have changed. A disk
// that is stalled, slow or full delays nothing else, and a failed write is retried.
func (c *Control) saveContacts(ctx context.Context, saved []string) {
	t := time.NewTicker(contactSaveInterval)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-t.C:
		}
		var addrs []string
		c.contacts.withBook(func(b *contact.Book) { addrs = b.Addrs() })
		if slices.Equal(addrs, saved) {
			continue
		}
		if err := c.cfg.folder().SavePeerAddrs(addrs); err != nil {
			c.cfg.Log.Warn().Err(err).Msg("contacts_not_saved")
			continue
		}
		saved = addrs
	}
}

// currentLeaderAddr returns the address of the leader that this host follows or is, or "".
func (c *Control) currentLeaderAddr() string {
	lead := c.leader()
	switch lead {
	case consensus.None:
		return ""
	case c.id:
		return c.Addr()
	}
	if addr, met := c.contacts.addrOf(lead); met {
		return addr
	}
	m, _ := c.Status().Membership.Find(lead)
	return m.Addr
}

// LeaderAddr returns the leader's address, known from this host's own state or reported by
// another host, or "".
func (c *Control) LeaderAddr() string {
	if addr := c.currentLeaderAddr(); addr != "" {
		return addr
	}
	return c.contacts.leaderHint(time.Now())
}

// Members returns the addresses at which the group may be found: its members, or,
// while there is no leader, every address that this host knows.
func (c *Control) Members() []string {
	if c.leader() == consensus.None {
		var out []string
		c.contacts.withBook(func(b *contact.Book) { out = b.All() })
		return append(out, c.Addr())
	}
	var out []string
	for _, m := range c.Status().Membership.Members {
		out = append(out, m.Addr)
	}
	return out
}
