package control

import (
	"context"
	"encoding/json"
	"slices"
	"sync"
	"time"

	"github.com/cassiapass/cassiapass/internal/adapter/disklog"
	"github.com/cassiapass/cassiapass/internal/core/consensus"
	"github.com/cassiapass/cassiapass/internal/core/contact"
	"github.com/cassiapass/cassiapass/internal/wire"
)

const (
	// greetLook is the time between looks at who is due to be greeted.
	greetLook    = 250 * time.Millisecond
	greetTimeout = 400 * time.Millisecond
	// leaderless is how long a member goes without a leader before it counts as lost
	// and asks to join: it may have been removed while it was away, and nobody tells it.
	leaderless = 2 * time.Second
	// silentAfter is how long a leader does not hear a member before it looks who is
	// at that address now: two heartbeats to a member without a vote.
	silentAfter = 1200 * time.Millisecond
	// hintHolds is how long the address of a leader that somebody told is passed on to
	// entries by a host that hears no leader itself.
	hintHolds = 3 * time.Second
	// saveContacts is the least time between two writes of the addresses.
	saveContacts = 2 * time.Second
)

// contacts is this host's book of addresses. It is safe for concurrent use.
type contacts struct {
	mu     sync.Mutex
	book   *contact.Book
	leader string // address of the leader, as another host told last
	told   time.Time
}

func (k *contacts) with(f func(b *contact.Book)) {
	k.mu.Lock()
	defer k.mu.Unlock()
	f(k.book)
}

// addrOf returns where an identity was met.
func (k *contacts) addrOf(id consensus.NodeID) (string, bool) {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.book.AddrOf(id)
}

// hint returns the address of a leader of which was told lately, or "".
func (k *contacts) hint(now time.Time) string {
	k.mu.Lock()
	defer k.mu.Unlock()
	if now.Sub(k.told) > hintHolds {
		return ""
	}
	return k.leader
}

// keptContacts returns the addresses in the data folder.
func (cfg Config) keptContacts() []string {
	if cfg.Seeds.Volatile || !cfg.Seeds.used() {
		return nil
	}
	addrs, err := disklog.Contacts(cfg.DataDir)
	if err != nil {
		// The seeds remain, and whoever greets this host.
		cfg.Log.Warn().Err(err).Msg("contacts_not_read")
	}
	return addrs
}

// SetSeeds replaces the addresses that the settings name.
func (c *Control) SetSeeds(addrs []string) {
	c.contacts.with(func(b *contact.Book) { b.SetSeeds(addrs) })
}

// standing is what this host is to its group at one moment.
type standing struct {
	contact.Standing
	membership consensus.Membership
	silent     []consensus.NodeID // members that a leader does not hear
}

// standing tells what this host is to its group. lastLed is when it last was a
// member that heard a leader.
func (c *Control) standing(now, lastLed time.Time) standing {
	var s standing
	_ = c.loop.with(func() {
		st := c.loop.node.Status()
		s.membership = st.Membership
		_, member := st.Membership.Find(c.id)
		switch {
		case !member || st.Leader == consensus.None && now.Sub(lastLed) >= leaderless:
			return // lost
		case st.Leader != c.id || c.loop.roster == nil:
			s.Standing = contact.Follows
		default:
			s.Standing = contact.Leads
			s.silent = c.loop.roster.Silent(now, silentAfter, st)
		}
	})
	return s
}

// keepInTouch greets other hosts, and asks to be a member whenever this host is none
// or may have been removed while it was away.
func (c *Control) keepInTouch(ctx context.Context) {
	t := time.NewTicker(greetLook)
	defer t.Stop()
	lastLed := time.Now()
	for {
		select {
		case <-ctx.Done():
			return
		case <-t.C:
		}
		now := time.Now()
		s := c.standing(now, lastLed)
		if c.leader() != consensus.None && s.Standing != contact.Lost {
			lastLed = now
		}
		var due []string
		c.contacts.with(func(b *contact.Book) {
			b.SetMembers(s.membership)
			due = b.Greet(now, s.Standing, s.silent)
		})
		for _, addr := range due {
			go c.greet(ctx, addr, s.Standing)
		}
	}
}

// greeting is what this host tells of itself.
func (c *Control) greeting(now time.Time, s contact.Standing) wire.Greeting {
	g := wire.Greeting{Group: c.cfg.Group, ID: c.id, Addr: c.Addr(), Leader: c.leaderHeard()}
	c.contacts.with(func(b *contact.Book) { g.Known = b.Tell(now, s) })
	return g
}

// greet tells one host of this one, learns what it knows, and asks it to pass a
// request to join on to the leader if it hears one.
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
	c.meet(res)
	if s != contact.Lost || res.Leader == "" {
		return
	}
	var joined wire.JoinResult
	err = conn.Call(ctx, wire.MethodJoin, wire.JoinParams{ID: c.id, Addr: c.Addr(), Volatile: c.cfg.Seeds.Volatile}, &joined)
	if err == nil {
		c.peers.learn(joined.Members)
	}
	c.cfg.Log.Info().Str("address", addr).Err(err).Msg("join_asked")
}

// meet takes in what another host told. A host of another group is no contact.
func (c *Control) meet(g wire.Greeting) {
	if g.Group != c.cfg.Group {
		c.cfg.Log.Warn().Str("address", g.Addr).Str("group", string(g.Group)).Msg("greeted_by_another_group")
		return
	}
	now := time.Now()
	c.contacts.mu.Lock()
	defer c.contacts.mu.Unlock()
	c.contacts.book.Met(now, contact.Contact{ID: g.ID, Addr: g.Addr})
	c.contacts.book.Told(now, g.Known)
	if g.Leader != "" {
		c.contacts.leader, c.contacts.told = g.Leader, now
	}
}

// onGreet takes in another host's greeting and answers it.
func (c *Control) onGreet(raw json.RawMessage) (any, error) {
	g, err := decode[wire.Greeting](raw)
	if err != nil {
		return nil, err
	}
	c.meet(g)
	s := contact.Follows
	if c.leader() == consensus.None {
		s = contact.Lost
	}
	return c.greeting(time.Now(), s), nil
}

// keepContacts writes the addresses to the data folder when they have changed. A disk
// that is stalled, slow or full holds nothing else up, and what cannot be written is
// tried again.
func (c *Control) keepContacts(ctx context.Context, saved []string) {
	t := time.NewTicker(saveContacts)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-t.C:
		}
		var addrs []string
		c.contacts.with(func(b *contact.Book) { addrs = b.Kept() })
		if slices.Equal(addrs, saved) {
			continue
		}
		if err := disklog.SaveContacts(c.cfg.DataDir, addrs); err != nil {
			c.cfg.Log.Warn().Err(err).Msg("contacts_not_saved")
			continue
		}
		saved = addrs
	}
}

// leaderHeard returns the address of the leader that this host hears or is, or "".
func (c *Control) leaderHeard() string {
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

// LeaderAddr returns the address of the leader, as far as this host knows, or "".
func (c *Control) LeaderAddr() string {
	if addr := c.leaderHeard(); addr != "" {
		return addr
	}
	return c.contacts.hint(time.Now())
}

// Members returns the addresses at which the group may be found: its members, and
// while no leader is heard every address that this host knows.
func (c *Control) Members() []string {
	if c.leader() == consensus.None {
		var out []string
		c.contacts.with(func(b *contact.Book) { out = b.All() })
		return append(out, c.Addr())
	}
	var out []string
	for _, m := range c.Status().Membership.Members {
		out = append(out, m.Addr)
	}
	return out
}
