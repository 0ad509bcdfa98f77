// Package roster decides which automatic changes a control group's leader makes
// to its membership: it admits hosts that ask to join, removes identities whose
// disk is lost, and replaces silent voters by spares, which are non-voting
// members that hold the log.
//
// No step bears less than the one before it. Of 2f+1 voters of which one is silent for
// good, f-1 others may be lost. Once its vote is taken, f-1 of 2f may be, and f again once a
// spare votes. With the spare first, all of 2f+2 but the silent one and f-1 others would
// be needed for a quorum, one host more than before.
//
// It proposes one change at a time; package consensus refuses a change while an
// earlier one is pending. Safety does not depend on this package: a wrong
// assumption about a silent member costs availability, but never a committed
// entry.
package roster

import (
	"maps"
	"slices"
	"time"

	"github.com/cassiapass/cassiapass/internal/core/consensus"
)

// Config holds the parameters of a Roster.
type Config struct {
	// Voters is the number of voting members: 2f+1 tolerate f simultaneous failures.
	Voters int
	// ReplaceAfter is the silence after which a spare replaces a voter. It is about
	// as long as a restart; a host that takes longer comes back as a spare.
	ReplaceAfter time.Duration
	// RemoveAfter is the silence after which a non-voting member is removed. A
	// host that returns later joins again.
	RemoveAfter time.Duration
}

// DefaultCatchUp is the time after the loss of a host within which the group must bear the next
// loss, where the deployment states none.
const DefaultCatchUp = 4 * time.Second

const (
	// minReplaceAfter is longer than two heartbeats to a member without a vote.
	minReplaceAfter = time.Second
	maxReplaceAfter = 5 * time.Second
)

// DefaultConfig returns the Config of a group that tolerates the loss of f hosts, at
// least one, and of the next one once catchUp has passed, DefaultCatchUp if it is 0.
func DefaultConfig(f int, catchUp time.Duration) Config {
	if catchUp <= 0 {
		catchUp = DefaultCatchUp
	}
	return Config{
		Voters: 2*max(f, 1) + 1,
		// The rest is for an election and the two changes of the membership.
		ReplaceAfter: min(max(catchUp/2, minReplaceAfter), maxReplaceAfter),
		// Twice the longest partition observed in practice runs of this size.
		RemoveAfter: 30 * time.Second,
	}
}

// Joiner is a host that asks to be a member.
type Joiner struct {
	ID   consensus.NodeID
	Addr string
	At   time.Time // of its last request
	// Volatile is set if the host has no disk.
	Volatile bool
}

// joinRequestTTL is how long a request to join is valid. Joiners repeat it twice a
// second, so an older one comes from a host that has failed since.
const joinRequestTTL = 3 * time.Second

// Roster is a leader's record of when members were last seen and which hosts ask to
// join. Each new leader creates its own. It is not safe for concurrent use.
type Roster struct {
	cfg       Config
	termStart time.Time
	lastSeen  map[consensus.NodeID]time.Time
	joiners   map[consensus.NodeID]Joiner
	// checkedCommit is the commit index at the last call of Next. A voter may lag behind the
	// present one by what is under way.
	checkedCommit uint64
}

// Heard holds when a host last got a message from each other member: a leader's as its follower, the
// members' as their leader. Members that it neither followed nor led are missing.
type Heard map[consensus.NodeID]time.Time

// New returns a Roster for a leader whose term begins now.
func New(cfg Config, now time.Time, heard Heard) *Roster {
	r := &Roster{cfg: cfg, termStart: now, lastSeen: map[consensus.NodeID]time.Time{}, joiners: map[consensus.NodeID]Joiner{}}
	maps.Copy(r.lastSeen, heard)
	return r
}

// RecordMessage records a message from a member.
func (r *Roster) RecordMessage(now time.Time, id consensus.NodeID) { r.lastSeen[id] = now }

// Join records a request to join.
func (r *Roster) Join(j Joiner) { r.joiners[j.ID] = j }

// joinerIDs returns the hosts that asked to join, sorted, so that decisions can be reproduced.
func (r *Roster) joinerIDs() []consensus.NodeID { return slices.Sorted(maps.Keys(r.joiners)) }

// Change is one membership change to propose.
type Change struct {
	Member consensus.Member
	Remove bool
	Reason string
}

// Next returns the next change to propose, if any. st is the leader's own status. Hosts
// with a disk come first: each change takes some 0.3 s, and after many simultaneous
// restarts a host that could become a voter would otherwise wait for all the hosts that
// never vote.
func (r *Roster) Next(now time.Time, st consensus.Status) (Change, bool) {
	const disk, volatile = false, true
	r.checkedCommit = st.Commit
	for _, rule := range []func(time.Time, consensus.Status) (Change, bool){
		r.updateAddr, r.removeReplaced(disk), r.demoteSilentVoter, r.promote, r.admit(disk),
		r.removeReplaced(volatile), r.admit(volatile), r.removeSilentSpare,
	} {
		if c, due := rule(now, st); due {
			return c, true
		}
	}
	return Change{}, false
}

// updateAddr changes the address of a member that asks to join under its own identity but
// from another address than the one in the log. It comes before removeReplaced, which
// would otherwise take two hosts that swapped their addresses for hosts that lost their
// disks.
func (r *Roster) updateAddr(now time.Time, st consensus.Status) (Change, bool) {
	for _, id := range r.joinerIDs() {
		j := r.joiners[id]
		m, member := st.Membership.Find(id)
		if member && m.Addr != j.Addr && now.Sub(j.At) <= joinRequestTTL {
			m.Addr = j.Addr
			return Change{Member: m, Reason: "its address has changed"}, true
		}
	}
	return Change{}, false
}

// Silent returns the other members from which no message has come for longer than d.
func (r *Roster) Silent(now time.Time, d time.Duration, st consensus.Status) []consensus.NodeID {
	var out []consensus.NodeID
	for _, m := range st.Membership.Members {
		if m.ID != st.ID && r.silence(now, m.ID) > d {
			out = append(out, m.ID)
		}
	}
	return out
}

// removeReplaced removes a member if a host at its address asks to join under another
// identity: the host lost its disk, or has none and was restarted, so the old identity
// can never answer again. If it stayed, it would count towards every quorum although it
// cannot vote.
func (r *Roster) removeReplaced(volatile bool) func(time.Time, consensus.Status) (Change, bool) {
	return func(now time.Time, st consensus.Status) (Change, bool) {
		for _, id := range r.joinerIDs() {
			j := r.joiners[id]
			if j.Volatile != volatile || now.Sub(j.At) > joinRequestTTL {
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

// demoteSilentVoter takes the vote of the voter that has been silent for longest if a spare can
// take its place. The voter stays a member: if it comes back, it is a spare at once.
func (r *Roster) demoteSilentVoter(now time.Time, st consensus.Status) (Change, bool) {
	voters := st.Membership.Voters()
	if _, spare := r.readySpare(now, st); voters < r.cfg.Voters || voters == r.cfg.Voters && !spare {
		return Change{}, false
	}
	longest, found := consensus.Member{}, false
	for _, m := range st.Membership.Members {
		if m.Voter && m.ID != st.ID && r.voterSilent(now, m.ID) && (!found || r.silence(now, m.ID) > r.silence(now, longest.ID)) {
			longest, found = m, true
		}
	}
	longest.Voter = false
	return Change{Member: longest, Reason: "silent, and a spare can vote in its place"}, found
}

// admit adds a host that asks to join, as a non-voting member.
func (r *Roster) admit(volatile bool) func(time.Time, consensus.Status) (Change, bool) {
	return func(now time.Time, st consensus.Status) (Change, bool) {
		for _, id := range r.joinerIDs() {
			j := r.joiners[id]
			if now.Sub(j.At) > joinRequestTTL {
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

// promote makes a spare a voter if there are too few voters.
func (r *Roster) promote(now time.Time, st consensus.Status) (Change, bool) {
	if st.Membership.Voters() >= r.cfg.Voters {
		return Change{}, false
	}
	m, ok := r.readySpare(now, st)
	m.Voter = true
	return Change{Member: m, Reason: "fewer voters than the group should have"}, ok
}

// readySpare returns a member that can become a voter: it has a disk, answers and holds the log.
func (r *Roster) readySpare(now time.Time, st consensus.Status) (consensus.Member, bool) {
	for _, m := range st.Membership.Members {
		if !m.Voter && !m.Volatile && r.silence(now, m.ID) <= r.cfg.ReplaceAfter/2 && st.Match[m.ID] >= st.Commit {
			return m, true
		}
	}
	return consensus.Member{}, false
}

// removeSilentSpare removes a non-voting member that has been silent for longer than
// RemoveAfter.
func (r *Roster) removeSilentSpare(now time.Time, st consensus.Status) (Change, bool) {
	for _, m := range st.Membership.Members {
		if !m.Voter && m.ID != st.ID && r.silence(now, m.ID) > r.cfg.RemoveAfter {
			return Change{Member: m, Remove: true, Reason: "silent for long"}, true
		}
	}
	return Change{}, false
}

// voterSilent reports whether a voter has been silent for longer than ReplaceAfter. One that had
// no reason to send anything before the term has half of that time to answer its leader, and one
// that has never sent this host anything has no more: how long it has been silent isn't known.
func (r *Roster) voterSilent(now time.Time, id consensus.NodeID) bool {
	_, known := r.lastSeen[id]
	return (!known || r.silence(now, id) > r.cfg.ReplaceAfter) && now.Sub(r.termStart) > r.cfg.ReplaceAfter/2
}

// silence returns the time since the last message from a member, or since the start of
// the term if none is known.
func (r *Roster) silence(now time.Time, id consensus.NodeID) time.Duration {
	at, ok := r.lastSeen[id]
	if !ok {
		at = r.termStart
	}
	return now.Sub(at)
}
