package contact

import (
	"fmt"
	"math/rand/v2"
	"runtime"
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/cassiapass/cassiapass/internal/core/consensus"
)

// safeguard is a mechanism that a run can disable.
type safeguard string

const (
	none          safeguard = ""
	greetings     safeguard = "greetings of members"
	memory        safeguard = "remembering who greeted"
	sharing       safeguard = "telling others of addresses"
	movedAddrs    safeguard = "the address where an identity was met"
	keptAddresses safeguard = "addresses kept on disk"
)

// step is the time of one tick. joinLimit is the time within which every host must be in
// the group once the faults have ended.
const (
	step      = 250 * time.Millisecond
	joinLimit = 8 * time.Second
	voters    = 3
)

// simHost is one host of the model.
type simHost struct {
	addr    string
	id      consensus.NodeID
	disk    bool
	up      bool
	seeds   []string
	book    *Book
	version int // of the membership in its log
	log     consensus.Membership
	kept    []string // on its disk
	inGroup bool
}

// model is a group in which consensus is simulated by its outcome: a host leads while it
// and a majority of the voters reach each other at the addresses that they know.
type model struct {
	rnd      *rand.Rand
	disabled safeguard
	now      time.Time
	hosts    []*simHost
	nextID   consensus.NodeID
	nextIP   int
	group    consensus.Membership
	version  int
	leader   *simHost
	joiners  []*simHost
	cut      map[[2]int]bool
}

func newModel(seed uint64, w safeguard) *model {
	s := &model{rnd: rand.New(rand.NewPCG(seed, 7)), disabled: w, now: time.Unix(1000, 0), cut: map[[2]int]bool{}}
	disks := 3 + s.rnd.IntN(3)
	for i := range disks + s.rnd.IntN(6) {
		s.nextIP++
		s.hosts = append(s.hosts, &simHost{addr: fmt.Sprint("a", s.nextIP), disk: i < disks})
	}
	for _, h := range s.hosts[:voters] {
		h.id = s.newIdentity()
		s.group = s.group.With(consensus.Member{ID: h.id, Addr: h.addr, Voter: true})
	}
	s.version = 1
	for i, h := range s.hosts {
		h.seeds = s.addrs(s.hosts[:voters])
		if i < voters {
			h.log, h.version = s.group, 1
		}
		s.start(h)
	}
	return s
}

func (s *model) newIdentity() consensus.NodeID { s.nextID++; return s.nextID }

func (s *model) addrs(hs []*simHost) []string {
	var out []string
	for _, h := range hs {
		out = append(out, h.addr)
	}
	return out
}

// start starts a host's process. Without a disk it knows only its settings.
func (s *model) start(h *simHost) {
	if !h.disk || h.id == consensus.None {
		h.id, h.log, h.version, h.kept = s.newIdentity(), consensus.Membership{}, 0, nil
	}
	kept := h.kept
	if s.disabled == keptAddresses {
		kept = nil
	}
	h.up, h.inGroup = true, false
	h.book = New(s.now, Contact{ID: h.id, Addr: h.addr}, h.seeds, kept)
	h.book.SetMembers(h.log)
}

// at returns the running host at an address, or nil.
func (s *model) at(addr string) *simHost {
	for _, h := range s.hosts {
		if h.up && h.addr == addr {
			return h
		}
	}
	return nil
}

func (s *model) index(h *simHost) int { return slices.Index(s.hosts, h) }

func (s *model) linked(a, b *simHost) bool {
	return !s.cut[[2]int{s.index(a), s.index(b)}] && !s.cut[[2]int{s.index(b), s.index(a)}]
}

// reaches reports whether a message from a to the identity of b arrives at b.
func (s *model) reaches(a, b *simHost) bool {
	addr, met := a.book.AddrOf(b.id)
	if !met || s.disabled == movedAddrs {
		m, _ := a.log.Find(b.id)
		addr = m.Addr
	}
	return addr == b.addr && s.at(addr) == b && s.linked(a, b)
}

func (s *model) reachEachOther(a, b *simHost) bool {
	return a == b || s.reaches(a, b) && s.reaches(b, a)
}

// elect sets the outcome of an election.
func (s *model) elect() {
	if s.leader != nil && s.leader.up && s.quorum(s.leader) {
		return
	}
	s.leader = nil
	s.joiners = nil
	for _, h := range s.hosts {
		if m, _ := s.group.Find(h.id); h.up && m.Voter && h.version == s.version && s.quorum(h) {
			s.leader = h
			return
		}
	}
}

func (s *model) quorum(c *simHost) bool {
	n := 0
	for _, h := range s.hosts {
		if m, _ := s.group.Find(h.id); h.up && m.Voter && s.reachEachOther(c, h) {
			n++
		}
	}
	return n > s.group.Voters()/2
}

// follow makes the members that the leader reaches followers with its log.
func (s *model) follow() {
	for _, h := range s.hosts {
		_, member := s.group.Find(h.id)
		h.inGroup = h.up && s.leader != nil && member && s.reachEachOther(s.leader, h)
		if h.inGroup {
			h.log, h.version = s.group, s.version
			h.book.SetMembers(h.log)
		}
	}
}

// change makes one membership change, as package roster would.
func (s *model) change() {
	if s.leader == nil {
		return
	}
	next, due := s.nextChange()
	if !due {
		return
	}
	s.group = next
	s.version++
	s.follow()
}

func (s *model) nextChange() (consensus.Membership, bool) {
	for _, j := range s.joiners {
		if m, member := s.group.Find(j.id); member && m.Addr != j.addr {
			m.Addr = j.addr
			return s.group.With(m), true
		}
		for _, m := range s.group.Members {
			if m.Addr == j.addr && m.ID != j.id && m.ID != s.leader.id {
				return s.group.Without(m.ID), true
			}
		}
		if _, member := s.group.Find(j.id); !member {
			return s.group.With(consensus.Member{ID: j.id, Addr: j.addr, Volatile: !j.disk}), true
		}
	}
	for _, h := range s.hosts {
		m, member := s.group.Find(h.id)
		if member && !m.Voter && h.disk && h.inGroup && s.group.Voters() < voters {
			m.Voter = true
			return s.group.With(m), true
		}
	}
	return s.group, false
}

func (s *model) standing(h *simHost) Standing {
	switch {
	case h == s.leader:
		return Leading
	case h.inGroup:
		return Following
	}
	return Disconnected
}

// greet sends a host's greetings, and its request to join if a member answers.
func (s *model) greet(h *simHost) {
	st := s.standing(h)
	if st != Disconnected && s.disabled == greetings {
		return
	}
	var silent []consensus.NodeID
	for _, m := range s.group.Members {
		if !slices.ContainsFunc(s.hosts, func(o *simHost) bool { return o.id == m.ID && o.inGroup }) {
			silent = append(silent, m.ID)
		}
	}
	for _, a := range h.book.NextGreetings(s.now, st, silent) {
		o := s.at(a)
		if o == nil || !s.linked(h, o) {
			continue
		}
		s.meet(h, o)
		s.meet(o, h)
		if st == Disconnected && o.inGroup && s.leader != nil && !slices.Contains(s.joiners, h) {
			s.joiners = append(s.joiners, h)
			h.log = s.leader.log // the answer contains the membership
		}
	}
}

// meet makes a record b and the addresses that b shares.
func (s *model) meet(a, b *simHost) {
	if s.disabled != memory {
		a.book.RecordSeen(s.now, Contact{ID: b.id, Addr: b.addr})
	}
	if s.disabled != sharing {
		a.book.RecordReported(s.now, b.book.ToShare(s.now, s.standing(b)))
	}
	if a.disk {
		a.kept = a.book.Addrs()
	}
}

func (s *model) tick() {
	s.now = s.now.Add(step)
	s.elect()
	s.follow()
	for _, h := range s.hosts {
		if h.up {
			s.greet(h)
		}
	}
	s.change()
	s.joiners = slices.DeleteFunc(s.joiners, func(j *simHost) bool { return !j.up || j.inGroup })
}

func (s *model) run(d time.Duration) {
	for end := s.now.Add(d); s.now.Before(end); {
		s.tick()
	}
}

// draw returns n distinct random hosts.
func (s *model) draw(n int) []*simHost {
	var out []*simHost
	for _, i := range s.rnd.Perm(len(s.hosts))[:min(n, len(s.hosts))] {
		out = append(out, s.hosts[i])
	}
	return out
}

// allInGroup reports whether every host is in the group.
func (s *model) allInGroup() bool {
	return !slices.ContainsFunc(s.hosts, func(h *simHost) bool { return !h.inGroup })
}

// injectFault injects one random fault or change of settings.
func (s *model) injectFault() {
	switch s.rnd.IntN(7) {
	case 0, 1: // some or all hosts get other seeds
		seeds := s.addrs(s.draw(1 + s.rnd.IntN(3)))
		for _, h := range s.draw(1 + s.rnd.IntN(len(s.hosts))) {
			h.seeds = seeds
			if h.up {
				h.book.SetSeeds(seeds)
			}
		}
	case 2: // all lose power
		s.powerCycle(s.hosts)
	case 3:
		s.powerCycle(s.draw(1 + s.rnd.IntN(len(s.hosts))))
	case 4: // a disk is lost while the group tolerates it
		if h := s.hosts[s.rnd.IntN(voters)]; s.allInGroup() {
			h.id = consensus.None
			s.powerCycle([]*simHost{h})
		}
	case 5: // addresses change while hosts are down
		hs := s.draw(1 + s.rnd.IntN(2))
		for _, h := range hs {
			s.nextIP++
			h.addr = fmt.Sprint("a", s.nextIP)
		}
		s.powerCycle(hs)
	case 6: // links are cut temporarily
		for range 1 + s.rnd.IntN(6) {
			s.cut[[2]int{s.rnd.IntN(len(s.hosts)), s.rnd.IntN(len(s.hosts))}] = true
		}
		s.run(time.Duration(1+s.rnd.IntN(8)) * time.Second)
		clear(s.cut)
	}
}

// powerCycle stops hosts and starts them again after up to 3 s.
func (s *model) powerCycle(hs []*simHost) {
	for _, h := range hs {
		h.up, h.inGroup = false, false
	}
	s.run(time.Duration(s.rnd.IntN(4)) * time.Second)
	for _, h := range hs {
		s.start(h)
	}
}

// connected returns the hosts that are connected with a quorum by known addresses, in
// either direction; nil if no quorum is connected.
func (s *model) connected() []*simHost {
	knows := func(a, b *simHost) bool {
		return slices.Contains(a.book.All(), b.addr) || slices.Contains(a.kept, b.addr)
	}
	seen := map[*simHost]bool{}
	for _, first := range s.hosts {
		if seen[first] {
			continue
		}
		part := []*simHost{first}
		seen[first] = true
		for i := 0; i < len(part); i++ {
			for _, o := range s.hosts {
				if !seen[o] && (knows(part[i], o) || knows(o, part[i])) {
					seen[o] = true
					part = append(part, o)
				}
			}
		}
		if s.quorumIn(part) {
			return part
		}
	}
	return nil
}

func (s *model) quorumIn(part []*simHost) bool {
	n, newest := 0, false
	for _, h := range part {
		if m, _ := s.group.Find(h.id); m.Voter {
			n++
			newest = newest || h.version == s.version
		}
	}
	return newest && n > s.group.Voters()/2
}

// runSchedule runs a random schedule of faults. It returns whether a quorum was connected
// by known addresses after the last fault, and the hosts connected with it that did not
// find the leader within joinLimit.
func runSchedule(seed uint64, w safeguard) (connected bool, missing []string) {
	s := newModel(seed, w)
	s.run(5 * time.Second)
	for range 1 + s.rnd.IntN(8) {
		s.injectFault()
		s.run(time.Duration(s.rnd.IntN(6)) * time.Second)
	}
	part := s.connected()
	s.run(joinLimit)
	for _, h := range part {
		if !h.inGroup {
			missing = append(missing, h.addr)
		}
	}
	return len(part) > 0, missing
}

// schedules is the number of random fault schedules that CI runs.
const schedules = 2000

// The seeds are replaced by hosts without a disk, then all hosts lose power. The hosts with
// disks elect a leader again, but the seeds know only each other, and no other host is
// asked. If a host that is greeted did not record the sender's address, no request would be
// served again although every disk and every process is back.
func TestAnyKnownAddressesConnectTheGroup(t *testing.T) {
	var found atomic.Int64
	var workers sync.WaitGroup
	for worker := range uint64(runtime.GOMAXPROCS(0)) {
		workers.Go(func() {
			for seed := worker; seed < schedules; seed += uint64(runtime.GOMAXPROCS(0)) {
				connected, missing := runSchedule(seed, none)
				if connected {
					found.Add(1)
				}
				if len(missing) > 0 {
					t.Errorf("seed %d: %v found no leader", seed, missing)
				}
			}
		})
	}
	workers.Wait()
	if found.Load() < schedules*9/10 {
		t.Fatalf("only %d of %d schedules end with a connected quorum", found.Load(), schedules)
	}
}

// Each safeguard is needed: without it, some schedule leaves hosts outside the group. The
// search starts at a seed known to show this.
func TestEachMissingSafeguardIsDetected(t *testing.T) {
	for w, seed := range map[safeguard]uint64{greetings: 36, memory: 25, sharing: 65, movedAddrs: 25, keptAddresses: 1718} {
		t.Run(string(w), func(t *testing.T) {
			for range schedules {
				if _, missing := runSchedule(seed, w); len(missing) > 0 {
					t.Logf("detected by seed %d", seed)
					return
				}
				seed++
			}
			t.Fatalf("none of %d schedules detects the missing safeguard", schedules)
		})
	}
}
