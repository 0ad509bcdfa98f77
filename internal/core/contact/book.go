package contact

import (
	"slices"
	"time"

	"github.com/cassiapass/cassiapass/internal/core/consensus"
)

// Standing is a host's relation to its group.
type Standing uint8

// The standings.
const (
	// Disconnected: it is not a member, or has had no leader for long.
	Disconnected Standing = iota
	// Following: it is a member and has a leader.
	Following
	// Leading: it is the leader.
	Leading
)

const (
	// disconnectedInterval is the minimum time between two greetings of a Disconnected host
	// to the same address; leaderInterval and followerInterval are those of members. A restarted host
	// without a disk rejoins after an election of 0.8 s, one greeting of the leader and
	// one request to join: within 3 s, of the 12 s within which callers must be served
	// again.
	disconnectedInterval = 500 * time.Millisecond
	leaderInterval       = time.Second
	followerInterval     = 2 * time.Second
	// maxInterval is the maximum time between two greetings to an address. The interval
	// grows to half the time since the host there was last seen.
	maxInterval = 5 * time.Second
	// shareFor is how long an address is shared with others after its host was last seen.
	// Without this limit, addresses of dead hosts would circulate forever.
	shareFor = time.Minute
	// keepFor is how long an address is kept after its host was last seen. It is much
	// longer than partitions and power losses, which last minutes.
	keepFor = time.Hour
	// maxEntries limits the number of addresses: at most 18 hosts are reserved for
	// control, and each may be replaced a few times.
	maxEntries = 64
)

// Contact is the identity and address of a host, as announced by the host itself.
type Contact struct {
	ID   consensus.NodeID
	Addr string
}

// entry is the information about one address.
type entry struct {
	id          consensus.NodeID // identity last seen there; None if another host only reported the address
	lastSeen    time.Time        // when it was last seen or, if it never was, reported
	lastGreeted time.Time
}

func (e *entry) seen() bool { return e.id != consensus.None }

// Book holds the addresses known to one host. It is not safe for concurrent use.
type Book struct {
	self    Contact
	seeds   []string
	members consensus.Membership
	byAddr  map[string]*entry
	byID    map[consensus.NodeID]string // address where an identity was last seen
}

// New returns the Book of a host. kept are the addresses that it stored on disk.
func New(now time.Time, self Contact, seeds, kept []string) *Book {
	b := &Book{self: self, seeds: slices.Clone(seeds), byAddr: map[string]*entry{}, byID: map[consensus.NodeID]string{}}
	b.RecordReported(now, kept)
	return b
}

// SetSeeds replaces the seed addresses.
func (b *Book) SetSeeds(addrs []string) { b.seeds = slices.Clone(addrs) }

// SetMembers replaces the membership by that of this host's log.
func (b *Book) SetMembers(m consensus.Membership) { b.members = m }

// RecordSeen records a host's own announcement of its identity and address. An identity has
// the address where it was last seen, and an address belongs to the identity last seen
// there: a host that lost its disk, or another host at its address, has a new identity.
func (b *Book) RecordSeen(now time.Time, c Contact) {
	if c.Addr == "" || c.Addr == b.self.Addr || c.ID == b.self.ID {
		return
	}
	e, known := b.byAddr[c.Addr]
	if !known {
		e = &entry{}
		b.byAddr[c.Addr] = e
	}
	if e.id != c.ID && b.byID[e.id] == c.Addr {
		delete(b.byID, e.id)
	}
	e.id, e.lastSeen = c.ID, now
	b.byID[c.ID] = c.Addr
	b.prune(now)
}

// RecordReported records addresses reported by another host or stored on disk.
func (b *Book) RecordReported(now time.Time, addrs []string) {
	for _, a := range addrs {
		if a == "" || a == b.self.Addr || b.byAddr[a] != nil {
			continue
		}
		b.byAddr[a] = &entry{lastSeen: now}
	}
	b.prune(now)
}

// prune removes addresses not seen for longer than keepFor, and the oldest ones beyond
// maxEntries.
func (b *Book) prune(now time.Time) {
	for a, e := range b.byAddr {
		if now.Sub(e.lastSeen) > keepFor {
			b.remove(a)
		}
	}
	for len(b.byAddr) > maxEntries {
		b.remove(b.evictionCandidate())
	}
}

func (b *Book) remove(addr string) {
	if id := b.byAddr[addr].id; b.byID[id] == addr {
		delete(b.byID, id)
	}
	delete(b.byAddr, addr)
}

// evictionCandidate returns the address to remove first: addresses that were only reported
// come before those of hosts that were seen, then the one seen longest ago.
func (b *Book) evictionCandidate() string {
	addrs := b.Addrs()
	return slices.MinFunc(addrs, func(x, y string) int {
		p, q := b.byAddr[x], b.byAddr[y]
		if p.seen() != q.seen() {
			if q.seen() {
				return -1
			}
			return 1
		}
		return p.lastSeen.Compare(q.lastSeen)
	})
}

// Addrs returns the addresses to store on disk, sorted.
func (b *Book) Addrs() []string {
	out := make([]string, 0, len(b.byAddr))
	for a := range b.byAddr {
		out = append(out, a)
	}
	slices.Sort(out)
	return out
}

// AddrOf returns the address where an identity was last seen. It takes precedence over
// the address in the log: a host's address may have changed while there was no leader to
// record the change.
func (b *Book) AddrOf(id consensus.NodeID) (string, bool) {
	addr, seen := b.byID[id]
	return addr, seen
}

// SeenAt returns the identity last seen at an address and when; None if none was seen.
func (b *Book) SeenAt(addr string) (consensus.NodeID, time.Time) {
	e, known := b.byAddr[addr]
	if !known || !e.seen() {
		return consensus.None, time.Time{}
	}
	return e.id, e.lastSeen
}

// ToShare returns the addresses to share with others: hosts seen within shareFor and, unless
// this host is Disconnected and its log may be outdated, the members.
func (b *Book) ToShare(now time.Time, s Standing) []string {
	var out []string
	for _, a := range b.Addrs() {
		if e := b.byAddr[a]; e.seen() && now.Sub(e.lastSeen) < shareFor {
			out = append(out, a)
		}
	}
	if s == Disconnected {
		return out
	}
	for _, m := range b.members.Members {
		if m.Addr != b.self.Addr && !slices.Contains(out, m.Addr) {
			out = append(out, m.Addr)
		}
	}
	return out
}

// All returns every address at which the group may be found, sorted: seeds, members and
// known contacts, without the host's own.
func (b *Book) All() []string {
	out := slices.Clone(b.seeds)
	for _, m := range b.members.Members {
		out = append(out, m.Addr)
	}
	out = append(out, b.Addrs()...)
	slices.Sort(out)
	out = slices.Compact(out)
	return slices.DeleteFunc(out, func(a string) bool { return a == "" || a == b.self.Addr })
}

// NextGreetings returns the addresses to greet now and records them as greeted. silent are the
// members from which the leader receives no messages.
func (b *Book) NextGreetings(now time.Time, s Standing, silent []consensus.NodeID) []string {
	var out []string
	for _, a := range b.All() {
		if s != Disconnected && b.inTouch(a, silent) {
			continue
		}
		e, known := b.byAddr[a]
		if !known {
			e = &entry{lastSeen: now}
			b.byAddr[a] = e
		}
		if e.lastGreeted.IsZero() || now.Sub(e.lastGreeted) >= b.interval(now, s, a, e) {
			e.lastGreeted = now
			out = append(out, a)
		}
	}
	b.prune(now)
	return out
}

// inTouch reports whether addr is the address of a member that is not silent, so that
// the consensus messages make greetings unnecessary.
func (b *Book) inTouch(addr string, silent []consensus.NodeID) bool {
	for _, m := range b.members.Members {
		if m.Addr == addr && !slices.Contains(silent, m.ID) {
			return true
		}
	}
	return false
}

// interval returns the time between two greetings to an address. Seeds and members are
// always greeted at the minimum interval, because new hosts appear at their addresses.
func (b *Book) interval(now time.Time, s Standing, addr string, e *entry) time.Duration {
	minInterval := map[Standing]time.Duration{Disconnected: disconnectedInterval, Following: followerInterval, Leading: leaderInterval}[s]
	if slices.Contains(b.seeds, addr) || slices.ContainsFunc(b.members.Members, func(m consensus.Member) bool { return m.Addr == addr }) {
		return minInterval
	}
	return max(minInterval, min(maxInterval, now.Sub(e.lastSeen)/2))
}
