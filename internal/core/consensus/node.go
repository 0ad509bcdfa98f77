package consensus

import (
	"encoding/json"
	"fmt"
)

const (
	entryOverhead  = 16      // bytes counted per entry in addition to its data
	maxAppendBytes = 1 << 20 // bytes of entries in one append
	maxInflight    = 64      // unanswered appends to one member
	maxUncommitted = 16384   // proposals that may wait for the quorum
	resendTicks    = 20      // ticks after which an unanswered append is sent again
	// resendBytes is the number of bytes under way that extend the resend time by one
	// tick: 0.6 MB/s with ticks of 50 ms, a third of the share of each of seven members
	// in a link of 100 Mbit/s. Otherwise a large entry would be sent again, forever,
	// while its first copy is still under way.
	resendBytes = 32 << 10
)

// Config is the settings and the stored state of a Node.
type Config struct {
	ID            NodeID
	ElectionTicks int // a follower campaigns after one to two times this many ticks without a leader
	// StartTicks replaces ElectionTicks from the start of the process until the first
	// message of a leader; 0 means ElectionTicks. It may be short: members that receive
	// messages of a leader ignore vote requests, so an early campaign has no effect
	// while there is a leader.
	StartTicks     int
	HeartbeatTicks int             // ticks between heartbeats to voters
	ObserverTicks  int             // ticks between heartbeats to non-voting members
	Rand           func(n int) int // uniform in [0,n); injected so that runs are reproducible
	HardState      HardState       // as read from disk
	Snapshot       Snapshot        // as read from disk; the zero Snapshot is an empty log
	Entries        []Entry         // as read from disk, following Snapshot
}

// Node is one member's state machine. It is not safe for concurrent use.
type Node struct {
	cfg  Config
	id   NodeID
	role Role
	term uint64
	vote NodeID
	lead NodeID

	log         raftLog
	membership  Membership
	lastChange  uint64 // index of the newest membership entry applied or appended
	lastAdded   NodeID // voter that was added last
	lastAddedAt uint64 // index of the change that added it

	elapsed    int // ticks since the last message of the leader or, at a leader, the last quorum check
	heartbeat  int
	timeout    int  // randomised election timeout
	leaderSeen bool // this member had a leader, or led, since the process started
	ballots    map[NodeID]bool
	progress   map[NodeID]*progress
	transfer   NodeID

	reads []pendingRead
	round uint64

	savedHard HardState
	unstable  uint64 // first index not yet returned by Ready to be synced
	early     []Message
	out       []Message
	readDone  []ReadState
	received  *Snapshot
}

// New returns a Node in the follower role, restored from cfg.
func New(cfg Config) *Node {
	n := &Node{cfg: cfg, id: cfg.ID, term: cfg.HardState.Term, vote: cfg.HardState.Vote}
	n.savedHard = cfg.HardState
	n.log.snap = cfg.Snapshot
	n.log.entries = cfg.Entries
	n.log.commit = max(cfg.HardState.Commit, cfg.Snapshot.Index)
	// Commit may be older than the last index applied before the crash but never
	// newer than the log on disk, because both are written in one batch.
	invariant(n.log.commit <= n.log.lastIndex(), "commit beyond log", n.log.commit, n.log.lastIndex())
	n.log.applied = cfg.Snapshot.Index
	n.log.synced = n.log.lastIndex()
	n.unstable = n.log.lastIndex() + 1
	n.membership = cfg.Snapshot.Membership
	n.resetTimeout()
	return n
}

// Bootstrap returns the Snapshot that starts a new group with these members.
func Bootstrap(m Membership) Snapshot {
	return Snapshot{Index: 1, Term: 1, Membership: m}
}

// Status is a Node's view of itself and of the group.
type Status struct {
	ID         NodeID
	Role       Role
	Term       uint64
	Leader     NodeID
	Commit     uint64
	Applied    uint64
	LastIndex  uint64
	Membership Membership
	Match      map[NodeID]uint64 // leader only
}

// Status returns a copy of the present state.
func (n *Node) Status() Status {
	s := Status{
		ID: n.id, Role: n.role, Term: n.term, Leader: n.lead,
		Commit: n.log.commit, Applied: n.log.applied, LastIndex: n.log.lastIndex(),
		Membership: n.membership,
	}
	if n.role == Leader {
		s.Match = make(map[NodeID]uint64, len(n.progress))
		for id, p := range n.progress {
			s.Match[id] = p.match
		}
	}
	return s
}

// Leader returns the leader known to this member, or None.
func (n *Node) Leader() NodeID { return n.lead }

// Role returns this member's role in the present term.
func (n *Node) Role() Role { return n.role }

// IsLeader reports whether this member leads its term.
func (n *Node) IsLeader() bool { return n.role == Leader }

// Term returns the present term.
func (n *Node) Term() uint64 { return n.term }

// LeaderCaughtUp reports whether this member leads and has applied everything
// that was committed before its term began, so that its state is current.
func (n *Node) LeaderCaughtUp() bool {
	t, ok := n.log.term(n.log.applied)
	return n.role == Leader && ok && t == n.term
}

// Applied returns the index of the last entry whose application Advance has
// confirmed.
func (n *Node) Applied() uint64 { return n.log.applied }

// Ready returns the work that is pending since the last call.
func (n *Node) Ready() Ready {
	var rd Ready
	hs := HardState{Term: n.term, Vote: n.vote, Commit: n.log.commit}
	// A change of the commit index alone is not synced: after a restart the
	// leader sends it again. It is written whenever something else is synced,
	// and with a change of the membership.
	if hs.Term != n.savedHard.Term || hs.Vote != n.savedHard.Vote || n.unstable <= n.log.lastIndex() || n.commitsMembership() {
		rd.HardState = &hs
		n.savedHard = hs
	}
	if n.received != nil {
		rd.Snapshot, n.received = n.received, nil
	}
	if last := n.log.lastIndex(); n.unstable <= last {
		rd.Entries = n.log.entries[n.unstable-n.log.snap.Index-1:]
		n.unstable = last + 1
	}
	rd.Early, n.early = n.early, nil
	rd.Messages, n.out = n.out, nil
	rd.Reads, n.readDone = n.readDone, nil
	// Only entries synced here are applied: a member never acts on an entry
	// that it could lose in a crash, even if a quorum holds it.
	if to := min(n.log.commit, max(n.log.synced, n.unstable-1)); to > n.log.applied {
		rd.Committed = n.log.slice(n.log.applied+1, to, 4*maxAppendBytes)
	}
	return rd
}

// commitsMembership reports whether the commit index covers a change of the membership that the
// stored one does not. A member restarts with the membership at its stored commit index. If all
// restart with one that still counts a removed voter, the voters that are left may be too few.
func (n *Node) commitsMembership() bool {
	for i := max(n.savedHard.Commit, n.log.snap.Index) + 1; i <= n.log.commit; i++ {
		if n.log.entries[i-n.log.snap.Index-1].Kind == EntryMembership {
			return true
		}
	}
	return false
}

// Advance confirms that rd was carried out: its entries are synced and its
// committed entries applied.
func (n *Node) Advance(rd Ready) {
	if k := len(rd.Entries); k > 0 {
		last := rd.Entries[k-1]
		if t, ok := n.log.term(last.Index); ok && t == last.Term && last.Index > n.log.synced {
			n.log.synced = last.Index
		}
	}
	if k := len(rd.Committed); k > 0 {
		n.log.applied = max(n.log.applied, rd.Committed[k-1].Index)
		for _, e := range rd.Committed {
			if e.Kind == EntryMembership {
				n.applyMembership(e)
			}
		}
	}
	if n.role == Leader {
		n.advanceCommit()
	}
}

// Compact replaces the log up to index by a snapshot of the owner's state at that
// index, which must have been applied. The owner may have encoded the state in the
// background while later entries were applied. Who votes at that index is read from
// the log itself: the owner applies a batch before Advance puts the batch's membership
// entries in force, so what Status returns may belong to an earlier index.
func (n *Node) Compact(index uint64, data []byte) (Snapshot, bool) {
	invariant(index <= n.log.applied, "snapshot beyond applied", index, n.log.applied)
	t, ok := n.log.term(index)
	if !ok || index <= n.log.snap.Index {
		return Snapshot{}, false // a newer snapshot arrived from the leader meanwhile
	}
	s := Snapshot{Index: index, Term: t, Membership: n.log.membershipAt(index), Data: data}
	n.log.compact(s)
	return s, true
}

// Tick advances time by one tick.
func (n *Node) Tick() {
	n.elapsed++
	if n.role == Leader {
		n.tickLeader()
		return
	}
	if self, _ := n.membership.Find(n.id); !self.Voter {
		n.tickObserver()
		return
	}
	if n.elapsed >= n.timeout {
		n.elapsed = 0
		n.resetTimeout()
		n.campaign(PreCandidate, false)
	}
}

// observerMissedHeartbeats is the number of missed heartbeats after which an observer
// drops its leader.
const observerMissedHeartbeats = 4

// tickObserver drops a leader that no longer sends heartbeats. Without this, a host
// without a vote that was removed while it was partitioned would consider itself a
// follower forever and never ask to join again, and would redirect entries to a former
// leader.
func (n *Node) tickObserver() {
	if n.elapsed >= observerMissedHeartbeats*n.cfg.ObserverTicks {
		n.lead = None
	}
}

func (n *Node) tickLeader() {
	if n.elapsed >= n.cfg.ElectionTicks {
		n.elapsed = 0
		n.transfer = None // a transfer that did not finish in time is aborted
		// A leader cut off by a partition would otherwise continue to answer
		// for a group that has a newer leader. It steps down if, by its own
		// clock, no quorum has answered for an election timeout.
		if !n.quorumActive() {
			n.becomeFollower(n.term, None)
			return
		}
	}
	n.heartbeat++
	n.eachPeer(n.tickPeer)
}

func (n *Node) tickPeer(id NodeID, p *progress) {
	every := n.cfg.HeartbeatTicks
	if !p.voter {
		every = n.cfg.ObserverTicks
	}
	if n.heartbeat%every == 0 {
		n.sendHeartbeat(id, p, 0)
	}
	if p.inflight == 0 && p.snapshot == 0 {
		return
	}
	p.waited++
	if p.waited < resendTicks+p.bytes/resendBytes {
		return
	}
	// An append or snapshot was lost. Without a resend the member would stay
	// paused forever.
	p.waited, p.inflight, p.bytes, p.snapshot = 0, 0, 0, 0
	p.next = p.match + 1
	p.probing = true
	n.sendAppend(id, p)
}

func (n *Node) resetTimeout() {
	ticks := n.cfg.ElectionTicks
	if !n.leaderSeen && n.cfg.StartTicks > 0 {
		ticks = n.cfg.StartTicks
	}
	n.timeout = ticks + n.cfg.Rand(ticks)
}

// Propose appends a command and returns its index. The command is committed only
// if Ready.Committed returns it at that index with the same term.
func (n *Node) Propose(data []byte) (index uint64, err error) {
	if n.role != Leader {
		return 0, ErrNotLeader
	}
	if n.transfer != None {
		return 0, ErrTransferring
	}
	if n.log.lastIndex()-n.log.commit >= maxUncommitted {
		return 0, ErrTooManyPending
	}
	return n.appendEntry(EntryCommand, data), nil
}

func (n *Node) appendEntry(kind EntryKind, data []byte) uint64 {
	i := n.log.lastIndex() + 1
	n.log.append(Entry{Term: n.term, Index: i, Kind: kind, Data: data})
	return i
}

// Flush sends the entries proposed since the last call. Calling it once per batch
// gives group commit: one append per member and one sync for many proposals.
func (n *Node) Flush() {
	if n.role != Leader {
		return
	}
	n.eachPeer(n.sendAppend)
}

// ProposeMembership appends a membership change: the addition or promotion of
// mem, or with remove its removal.
func (n *Node) ProposeMembership(mem Member, remove bool) (uint64, error) {
	if n.role != Leader {
		return 0, ErrNotLeader
	}
	// With one change at a time, any majority before a change overlaps with any
	// majority after it.
	if n.lastChange > n.log.applied {
		return 0, ErrChangePending
	}
	// Of the voters added one after the other, one that does not hold
	// all that is committed must wait until the last one holds the log: otherwise two quick
	// repairs could leave a quorum in which no member has the data if a second host is lost
	// right after the first repair. One that holds it only adds to the members that do.
	if mem.Voter && !remove && !n.holdsCommitted(mem.ID) && n.lastAddedBehind() {
		return 0, ErrMemberBehind
	}
	next, err := n.membershipWith(mem, remove)
	if err != nil {
		return 0, err
	}
	data, err := json.Marshal(next)
	invariant(err == nil, "membership cannot be encoded", 0, 0)
	i := n.appendEntry(EntryMembership, data)
	n.lastChange = i
	return i, nil
}

func (n *Node) membershipWith(mem Member, remove bool) (Membership, error) {
	old, known := n.membership.Find(mem.ID)
	if remove {
		if !known {
			return Membership{}, ErrMemberUnknown
		}
		if mem.ID == n.id {
			return Membership{}, ErrRemoveLeader
		}
		if old.Voter && n.membership.Voters() == 1 {
			return Membership{}, ErrLastVoter
		}
		return n.membership.Without(mem.ID), nil
	}
	if old.Voter && !mem.Voter && mem.ID == n.id {
		return Membership{}, ErrRemoveLeader
	}
	if mem.Voter && (mem.Volatile || old.Volatile) {
		return Membership{}, ErrVolatile
	}
	if mem.Voter && (!known || !old.Voter) {
		// A voter without the log would count towards quorums that it
		// cannot yet serve, so members join non-voting and are promoted
		// once they have caught up, at least to the change that added them.
		p, ok := n.progress[mem.ID]
		if !ok || p.silent() || p.match < n.lastChange || p.match+promoteSlack < n.log.commit {
			return Membership{}, ErrMemberBehind
		}
	}
	return n.membership.With(mem), nil
}

// holdsCommitted reports whether a member is known to hold all that is committed.
func (n *Node) holdsCommitted(id NodeID) bool {
	p, ok := n.progress[id]
	return ok && p.match >= n.log.commit
}

// lastAddedBehind reports whether the voter added last answers but is not known to hold the log.
// One that no longer answers may never hold it, and must itself be replaced.
func (n *Node) lastAddedBehind() bool {
	p, ok := n.progress[n.lastAdded]
	return ok && n.lastAdded != n.id && p.match < n.lastAddedAt && !p.silent()
}

const promoteSlack = 1000 // entries that a member may lag behind when promoted

func decodeMembership(e Entry) Membership {
	var m Membership
	err := json.Unmarshal(e.Data, &m)
	invariant(err == nil, "membership entry cannot be decoded", e.Index, 0)
	return m
}

func (n *Node) applyMembership(e Entry) {
	m := decodeMembership(e)
	for _, mem := range m.Members {
		// A member without a vote is not part of a quorum, so no change has to wait for it.
		if old, _ := n.membership.Find(mem.ID); mem.Voter && !old.Voter {
			n.lastAdded, n.lastAddedAt = mem.ID, e.Index
		}
	}
	n.membership = m
	n.lastChange = max(n.lastChange, e.Index)
	if n.role == Leader {
		n.syncProgress()
	}
}

// syncProgress makes progress match the membership.
func (n *Node) syncProgress() {
	for id := range n.progress {
		if _, ok := n.membership.Find(id); !ok {
			delete(n.progress, id)
		}
	}
	for _, m := range n.membership.Members {
		p, ok := n.progress[m.ID]
		if !ok {
			p = &progress{next: n.log.lastIndex() + 1, probing: true, active: true}
			n.progress[m.ID] = p
			if m.ID != n.id {
				n.sendAppend(m.ID, p)
			}
		}
		p.voter = m.Voter
	}
	if self, ok := n.membership.Find(n.id); !ok || !self.Voter {
		n.becomeFollower(n.term, None)
	}
}

// Transfer asks a voter to take over leadership as soon as it has caught up. A
// planned stop uses it so that the group has no leader for only one round trip.
func (n *Node) Transfer(to NodeID) error {
	p, ok := n.progress[to]
	if n.role != Leader {
		return ErrNotLeader
	}
	if !ok || !p.voter || to == n.id {
		return ErrMemberUnknown
	}
	n.transfer = to
	n.elapsed = 0
	if p.match == n.log.lastIndex() {
		n.send(Message{Type: MsgTimeoutNow, To: to})
		return nil
	}
	n.sendAppend(to, p)
	return nil
}

// TransferTarget returns the voter with the longest log, or None.
func (n *Node) TransferTarget() NodeID {
	best, match := None, uint64(0)
	for id, p := range n.progress {
		if id == n.id || !p.voter {
			continue
		}
		if best == None || p.match > match || (p.match == match && id < best) {
			best, match = id, p.match
		}
	}
	return best
}

func (n *Node) send(m Message) {
	m.From = n.id
	if m.Term == 0 {
		m.Term = n.term
	}
	n.out = append(n.out, m)
}

// sendEarly queues a message that does not depend on this member's disk and may
// be sent before the sync.
func (n *Node) sendEarly(m Message) {
	m.From, m.Term = n.id, n.term
	n.early = append(n.early, m)
}

// invariant panics if ok is false. That is always a bug, and continuing could
// lose committed entries.
func invariant(ok bool, what string, a, b uint64) {
	if !ok {
		panic(fmt.Sprintf("invariant: consensus: %s (%d, %d)", what, a, b))
	}
}
