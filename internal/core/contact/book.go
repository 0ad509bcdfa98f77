package contact

import (
	"slices"
	"time"

	"github.com/cassiapass/cassiapass/internal/core/consensus"
)

// Standing is a host's place in its group.
type Standing uint8

// The standings.
const (
	// Lost: it is no member, or has heard no leader for long.
	Lost Standing = iota
	// Follows: it is a member that hears a leader.
	Follows
	// Leads: it leads.
	Leads
)

const (
	// lostEvery is the time between two greetings of a lost host to one address, and
	// leadsEvery and followsEvery those of members. A restarted host without a disk is
	// back in the group after an election of 0.8 s, one greeting of the leader and one
	// request to join: within 3 s, of the 12 s after which callers must be served again.
	lostEvery    = 500 * time.Millisecond
	leadsEvery   = time.Second
	followsEvery = 2 * time.Second
	// rarest bounds how rarely an address that does not answer is greeted: each
	// further greeting waits for half the time since it was last heard.
	rarest = 5 * time.Second
	// tellFor is how long an address is told to others after it was last heard. Told
	// for longer, addresses of dead hosts would be passed around for ever.
	tellFor = time.Minute
	// keepFor is how long an address is kept that is not heard. It outlasts
	// partitions and power losses of minutes by far.
	keepFor = time.Hour
	// mostKept bounds the book: 18 hosts are set aside for control at most, each a few
	// times replaced.
	mostKept = 64
)

// Contact is a host at an address, as it said itself.
type Contact struct {
	ID   consensus.NodeID
	Addr string
}

// entry is what is known of one address.
type entry struct {
	id      consensus.NodeID // who was met there last; None if it was only told
	heard   time.Time        // when it was met last; of one that was only told, when that was
	greeted time.Time
}

func (e *entry) met() bool { return e.id != consensus.None }

// Book is one host's knowledge of addresses. It is not safe for concurrent use.
type Book struct {
	self    Contact
	seeds   []string
	members consensus.Membership
	entries map[string]*entry
	at      map[consensus.NodeID]string // to the address where it was met last
}

// New returns the Book of a host with the addresses that it kept from before.
func New(now time.Time, self Contact, seeds, kept []string) *Book {
	b := &Book{self: self, seeds: slices.Clone(seeds), entries: map[string]*entry{}, at: map[consensus.NodeID]string{}}
	b.Told(now, kept)
	return b
}

// SetSeeds takes in the addresses that the settings name now.
func (b *Book) SetSeeds(addrs []string) { b.seeds = slices.Clone(addrs) }

// SetMembers takes in the membership that this host's log names.
func (b *Book) SetMembers(m consensus.Membership) { b.members = m }

// Met notes that a host itself said who it is and where. An identity is at the
// address where it was met last, and an address belongs to who was met there last: a
// host that lost its disk, or another one in its place, has another identity.
func (b *Book) Met(now time.Time, c Contact) {
	if c.Addr == "" || c.Addr == b.self.Addr || c.ID == b.self.ID {
		return
	}
	e, known := b.entries[c.Addr]
	if !known {
		e = &entry{}
		b.entries[c.Addr] = e
	}
	if e.id != c.ID && b.at[e.id] == c.Addr {
		delete(b.at, e.id)
	}
	e.id, e.heard = c.ID, now
	b.at[c.ID] = c.Addr
	b.bound(now)
}

// Told notes addresses that another host told, or that were kept on disk.
func (b *Book) Told(now time.Time, addrs []string) {
	for _, a := range addrs {
		if a == "" || a == b.self.Addr || b.entries[a] != nil {
			continue
		}
		b.entries[a] = &entry{heard: now}
	}
	b.bound(now)
}

// bound forgets what was not heard for long, and the oldest beyond what is kept.
func (b *Book) bound(now time.Time) {
	for a, e := range b.entries {
		if now.Sub(e.heard) > keepFor {
			b.forget(a)
		}
	}
	for len(b.entries) > mostKept {
		b.forget(b.oldest())
	}
}

func (b *Book) forget(addr string) {
	if id := b.entries[addr].id; b.at[id] == addr {
		delete(b.at, id)
	}
	delete(b.entries, addr)
}

// oldest returns the address to forget first: one that was only told before one
// that was met, then the one that was heard longest ago.
func (b *Book) oldest() string {
	addrs := b.Kept()
	return slices.MinFunc(addrs, func(x, y string) int {
		p, q := b.entries[x], b.entries[y]
		if p.met() != q.met() {
			if q.met() {
				return -1
			}
			return 1
		}
		return p.heard.Compare(q.heard)
	})
}

// Kept returns the addresses worth keeping on disk, in order.
func (b *Book) Kept() []string {
	out := make([]string, 0, len(b.entries))
	for a := range b.entries {
		out = append(out, a)
	}
	slices.Sort(out)
	return out
}

// AddrOf returns where an identity was met, which goes before what the log says: a
// host's address may have changed while no leader was there to note it.
func (b *Book) AddrOf(id consensus.NodeID) (string, bool) {
	addr, met := b.at[id]
	return addr, met
}

// Tell returns the addresses to tell others: who was met lately, and, while the log
// is known to be the group's, its members.
func (b *Book) Tell(now time.Time, s Standing) []string {
	var out []string
	for _, a := range b.Kept() {
		if e := b.entries[a]; e.met() && now.Sub(e.heard) < tellFor {
			out = append(out, a)
		}
	}
	if s == Lost {
		return out
	}
	for _, m := range b.members.Members {
		if m.Addr != b.self.Addr && !slices.Contains(out, m.Addr) {
			out = append(out, m.Addr)
		}
	}
	return out
}

// All returns every address at which the group may be found.
func (b *Book) All() []string {
	out := slices.Clone(b.seeds)
	for _, m := range b.members.Members {
		out = append(out, m.Addr)
	}
	out = append(out, b.Kept()...)
	slices.Sort(out)
	out = slices.Compact(out)
	return slices.DeleteFunc(out, func(a string) bool { return a == "" || a == b.self.Addr })
}

// Greet returns the addresses to greet now, and counts them as greeted. silent are
// the members that a leader does not hear.
func (b *Book) Greet(now time.Time, s Standing, silent []consensus.NodeID) []string {
	var out []string
	for _, a := range b.All() {
		if s != Lost && b.heardByLog(a, silent) {
			continue
		}
		e, known := b.entries[a]
		if !known {
			e = &entry{heard: now}
			b.entries[a] = e
		}
		if e.greeted.IsZero() || now.Sub(e.greeted) >= b.pause(now, s, a, e) {
			e.greeted = now
			out = append(out, a)
		}
	}
	b.bound(now)
	return out
}

// heardByLog reports whether the group itself keeps in touch with an address: it is
// that of a member that is not silent.
func (b *Book) heardByLog(addr string, silent []consensus.NodeID) bool {
	for _, m := range b.members.Members {
		if m.Addr == addr && !slices.Contains(silent, m.ID) {
			return true
		}
	}
	return false
}

// pause returns the time between two greetings to an address. Seeds and members are
// greeted at full pace: new hosts are placed there.
func (b *Book) pause(now time.Time, s Standing, addr string, e *entry) time.Duration {
	least := map[Standing]time.Duration{Lost: lostEvery, Follows: followsEvery, Leads: leadsEvery}[s]
	if slices.Contains(b.seeds, addr) || slices.ContainsFunc(b.members.Members, func(m consensus.Member) bool { return m.Addr == addr }) {
		return least
	}
	return max(least, min(rarest, now.Sub(e.heard)/2))
}
