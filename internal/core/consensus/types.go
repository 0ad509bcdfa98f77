package consensus

import (
	"errors"
	"slices"
)

// NodeID identifies one member. A new one is drawn whenever a data folder is
// created, so that a host that lost its disk cannot rejoin under an identity
// whose votes it no longer has.
type NodeID uint64

// None is the absent NodeID.
const None NodeID = 0

// EntryKind is the kind of payload that an Entry carries.
type EntryKind uint8

// The kinds of entries.
const (
	EntryCommand    EntryKind = iota // Data is a command of the owner.
	EntryNoop                        // Appended by new leaders of earlier releases; Data is empty.
	EntryMembership                  // Data is an encoded Membership.
)

// Entry is one position of the log.
type Entry struct {
	Term  uint64    `json:"t"`
	Index uint64    `json:"i"`
	Kind  EntryKind `json:"k,omitempty"`
	Data  []byte    `json:"d,omitempty"`
}

// HardState is the state that a member must keep across restarts.
type HardState struct {
	Term   uint64 `json:"term"`
	Vote   NodeID `json:"vote"`
	Commit uint64 `json:"commit"`
}

// Member is one member of the group.
type Member struct {
	ID    NodeID `json:"id"`
	Addr  string `json:"addr"`
	Voter bool   `json:"voter"`
	// Volatile members hold the log in memory only. They never vote, because a
	// restart would lose their votes.
	Volatile bool `json:"volatile,omitempty"`
}

// Membership is the complete list of members, ordered by ID.
type Membership struct {
	Members []Member `json:"members"`
}

// Find returns the member with the given id.
func (m Membership) Find(id NodeID) (Member, bool) {
	for _, mem := range m.Members {
		if mem.ID == id {
			return mem, true
		}
	}
	return Member{}, false
}

// With returns a copy in which mem is added or replaced.
func (m Membership) With(mem Member) Membership {
	out := m.Without(mem.ID)
	out.Members = append(out.Members, mem)
	slices.SortFunc(out.Members, func(a, b Member) int {
		if a.ID < b.ID {
			return -1
		}
		return 1
	})
	return out
}

// Without returns a copy in which the member with the given id is removed.
func (m Membership) Without(id NodeID) Membership {
	out := Membership{}
	for _, mem := range m.Members {
		if mem.ID != id {
			out.Members = append(out.Members, mem)
		}
	}
	return out
}

// Voters returns the number of voting members.
func (m Membership) Voters() int {
	n := 0
	for _, mem := range m.Members {
		if mem.Voter {
			n++
		}
	}
	return n
}

// Snapshot replaces the log up to and including Index.
type Snapshot struct {
	Index      uint64     `json:"index"`
	Term       uint64     `json:"term"`
	Membership Membership `json:"membership"`
	Data       []byte     `json:"data"`
}

// MessageType is the kind of a Message.
type MessageType uint8

// The message types.
const (
	MsgPreVote MessageType = iota + 1
	MsgPreVoteResp
	MsgVote
	MsgVoteResp
	MsgAppend
	MsgAppendResp
	MsgHeartbeat
	MsgHeartbeatResp
	MsgSnapshot
	MsgReadIndex
	MsgReadIndexResp
	MsgTimeoutNow
)

// Message is sent from one member to another. Unused fields are zero.
type Message struct {
	Type     MessageType `json:"y"`
	From     NodeID      `json:"f"`
	To       NodeID      `json:"o"`
	Term     uint64      `json:"t,omitempty"`
	Index    uint64      `json:"i,omitempty"` // previous index, last index or match, by type
	LogTerm  uint64      `json:"l,omitempty"` // term at Index; of a heartbeat at Commit, 0 if that is not known
	Commit   uint64      `json:"c,omitempty"`
	Entries  []Entry     `json:"e,omitempty"`
	Reject   bool        `json:"r,omitempty"`
	Hint     uint64      `json:"h,omitempty"` // last index of a member that rejected an append
	Context  uint64      `json:"x,omitempty"` // read-index round
	Transfer bool        `json:"v,omitempty"` // vote requested during a leadership transfer
	Snapshot *Snapshot   `json:"s,omitempty"`
}

// ReadState answers one ReadIndex call: Index covers everything that was
// committed when the call was made.
type ReadState struct {
	Context uint64
	Index   uint64
}

// Ready is the pending work that a Node returns to its owner. See the package
// comment for the order in which it must be carried out.
type Ready struct {
	HardState *HardState // nil when unchanged
	Entries   []Entry    // to append; an index at or below the last one replaces the tail
	Snapshot  *Snapshot  // received from the leader; replaces log and state
	Early     []Message
	Messages  []Message
	Committed []Entry // to apply, in order
	Reads     []ReadState
}

// Empty reports whether there is nothing to do.
func (r Ready) Empty() bool {
	return r.HardState == nil && len(r.Entries) == 0 && r.Snapshot == nil &&
		len(r.Early) == 0 && len(r.Messages) == 0 && len(r.Committed) == 0 && len(r.Reads) == 0
}

// Role is a Node's role in its term.
type Role uint8

// The roles.
const (
	Follower Role = iota
	PreCandidate
	Candidate
	Leader
)

// String returns the role in lower case, for logs.
func (r Role) String() string {
	return [...]string{"follower", "pre-candidate", "candidate", "leader"}[r]
}

// Errors of proposals and transfers, for the owner to compare with.
var (
	ErrNotLeader      = errors.New("this member is not the leader")
	ErrTransferring   = errors.New("leadership is being handed over")
	ErrChangePending  = errors.New("an earlier membership change is not yet applied")
	ErrMemberBehind   = errors.New("the member changed last does not hold the log yet")
	ErrMemberUnknown  = errors.New("no such member")
	ErrRemoveLeader   = errors.New("the leader cannot remove itself; hand leadership over first")
	ErrLastVoter      = errors.New("the last voter cannot be removed")
	ErrVolatile       = errors.New("a member without a disk cannot vote")
	ErrTooManyPending = errors.New("too many proposals wait for the quorum")
)
