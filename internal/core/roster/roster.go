// Package roster decides how the membership of a control group changes when
// nobody is there to change it by hand: it takes in hosts that ask to join,
// drops identities whose disk is gone, and replaces voters that stay silent by
// spare members that hold the log.
//
// It proposes one change at a time; consensus refuses a change while an earlier
// one is open. Whatever is proposed here, safety is consensus's: a wrong guess
// about silence costs availability, never a decision.
package roster

import (
	"time"

	"github.com/cassiapass/cassiapass/internal/core/consensus"
)

// Config bounds what a Roster does.
type Config struct {
	// Voters is how many members vote: 2f+1 bears the loss of f at once.
	Voters int
	// ReplaceAfter is the silence after which a spare takes a voter's place.
	// It is longer than a restart, so that a planned stop moves nothing.
	ReplaceAfter time.Duration
	// ForgetAfter is the silence after which a member that does not vote is
	// dropped. A host that comes back later simply joins again.
	ForgetAfter time.Duration
}

// DefaultConfig returns the bounds for a group that bears f lost hosts.
func DefaultConfig(f int) Config {
	return Config{
		Voters: 2*max(f, 1) + 1,
		// A stopped process is back within about 2 s, a frozen host within 4 s.
		ReplaceAfter: 5 * time.Second,
		// Twice the longest partition seen in practice runs of this size.
		ForgetAfter: 30 * time.Second,
	}
}

// Joiner is a host that asks to be a member.
type Joiner struct {
	ID   consensus.NodeID
	Addr string
	At   time.Time // of its last request
	// Volatile tells that the host has no disk.
	Volatile bool
}

// joinerStays is how long a request to join stands. Joiners repeat it twice a
// second, so an older one comes from a host that has died since.
const joinerStays = 3 * time.Second

// Roster is what a leader knows of members beyond consensus. It is made anew at
// each change of leader and is not safe for concurrent use.
type Roster struct {
	cfg     Config
	began   time.Time
	heard   map[consensus.NodeID]time.Time
	joiners map[consensus.NodeID]Joiner
}

// New returns a Roster for a leader whose term begins now.
func New(cfg Config, now time.Time) *Roster {
	return &Roster{cfg: cfg, began: now, heard: map[consensus.NodeID]time.Time{}, joiners: map[consensus.NodeID]Joiner{}}
}

// Heard notes a message from a member.
func (r *Roster) Heard(now time.Time, id consensus.NodeID) { r.heard[id] = now }

// Join notes a request to join.
func (r *Roster) Join(j Joiner) { r.joiners[j.ID] = j }

// Change is one membership change to propose.
type Change struct {
	Member consensus.Member
	Remove bool
	Reason string
}

// Next returns the change that is due, if any. st is the leader's own status. Hosts
// with a disk come first: each change takes some 0.3 s, and after many restarts at
// once a host that could take over a vote would wait behind all that never vote.
func (r *Roster) Next(now time.Time, st consensus.Status) (Change, bool) {
	const disk, volatile = false, true
	for _, rule := range []func(time.Time, consensus.Status) (Change, bool){
		r.readdress, r.dropReplaced(disk), r.dropExtraVoter, r.admit(disk), r.promote,
		r.dropReplaced(volatile), r.admit(volatile), r.forget,
	} {
		if c, due := rule(now, st); due {
			return c, true
		}
	}
	return Change{}, false
}

// readdress notes the address of a member that asks to join, under its own identity,
// from another one than the log says. It comes before dropReplaced: of two hosts that
// exchanged their addresses, neither has lost anything.
func (r *Roster) readdress(now time.Time, st consensus.Status) (Change, bool) {
	for id, j := range r.joiners {
		m, member := st.Membership.Find(id)
		if member && m.Addr != j.Addr && now.Sub(j.At) <= joinerStays {
			m.Addr = j.Addr
			return Change{Member: m, Reason: "its address has changed"}, true
		}
	}
	return Change{}, false
}

// Silent returns the members that were not heard for longer than d.
func (r *Roster) Silent(now time.Time, d time.Duration, st consensus.Status) []consensus.NodeID {
	var out []consensus.NodeID
	for _, m := range st.Membership.Members {
		if m.ID != st.ID && r.silent(now, m.ID) > d {
			out = append(out, m.ID)
		}
	}
	return out
}

// dropReplaced removes an identity whose address asks to join under another one: the
// host lost its disk, or never had one and started anew, so the old identity can never
// answer again. Were it kept, it would count towards every quorum while it cannot vote.
func (r *Roster) dropReplaced(volatile bool) func(time.Time, consensus.Status) (Change, bool) {
	return func(now time.Time, st consensus.Status) (Change, bool) {
		for _, j := range r.joiners {
			if j.Volatile != volatile || now.Sub(j.At) > joinerStays {
				continue
			}
			for _, m := range st.Membership.Members {
				if m.Addr == j.Addr && m.ID != j.ID && m.ID != st.ID {
					return Change{Member: m, Remove: true, Reason: "its host joins under a new identity: it lost its disk, or has none"}, true
				}
			}
		}
		return Change{}, false
	}
}

// dropExtraVoter removes a silent voter once a spare has taken its place.
func (r *Roster) dropExtraVoter(now time.Time, st consensus.Status) (Change, bool) {
	if st.Membership.Voters() <= r.cfg.Voters {
		return Change{}, false
	}
	for _, m := range st.Membership.Members {
		if m.Voter && m.ID != st.ID && r.silent(now, m.ID) > r.cfg.ReplaceAfter {
			return Change{Member: m, Remove: true, Reason: "silent, and a spare votes in its place"}, true
		}
	}
	return Change{}, false
}

// admit adds a host that asks to join, without a vote.
func (r *Roster) admit(volatile bool) func(time.Time, consensus.Status) (Change, bool) {
	return func(now time.Time, st consensus.Status) (Change, bool) {
		for id, j := range r.joiners {
			if now.Sub(j.At) > joinerStays {
				delete(r.joiners, id)
				continue
			}
			if _, member := st.Membership.Find(id); !member && j.Volatile == volatile {
				return Change{Member: consensus.Member{ID: id, Addr: j.Addr, Volatile: j.Volatile}, Reason: "it asked to join"}, true
			}
		}
		return Change{}, false
	}
}

// promote gives a vote to a spare that holds the log, when votes are missing or
// a voter has been silent for long.
func (r *Roster) promote(now time.Time, st consensus.Status) (Change, bool) {
	voters := st.Membership.Voters()
	reason := "fewer voters than the group should have"
	if voters >= r.cfg.Voters {
		if voters > r.cfg.Voters || !r.voterSilent(now, st) {
			return Change{}, false
		}
		reason = "a voter is silent"
	}
	for _, m := range st.Membership.Members {
		if m.Voter || m.Volatile || r.silent(now, m.ID) > r.cfg.ReplaceAfter/2 || st.Match[m.ID] < st.Commit {
			continue
		}
		m.Voter = true
		return Change{Member: m, Reason: reason}, true
	}
	return Change{}, false
}

// forget drops spares that are gone.
func (r *Roster) forget(now time.Time, st consensus.Status) (Change, bool) {
	for _, m := range st.Membership.Members {
		if !m.Voter && m.ID != st.ID && r.silent(now, m.ID) > r.cfg.ForgetAfter {
			return Change{Member: m, Remove: true, Reason: "silent for long"}, true
		}
	}
	return Change{}, false
}

func (r *Roster) voterSilent(now time.Time, st consensus.Status) bool {
	for _, m := range st.Membership.Members {
		if m.Voter && m.ID != st.ID && r.silent(now, m.ID) > r.cfg.ReplaceAfter {
			return true
		}
	}
	return false
}

// silent returns how long a member was not heard, at most since the term began.
func (r *Roster) silent(now time.Time, id consensus.NodeID) time.Duration {
	at, ok := r.heard[id]
	if !ok {
		at = r.began
	}
	return now.Sub(at)
}
