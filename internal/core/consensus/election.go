package consensus

import "encoding/json"

// becomeFollower makes this member a follower of lead, which may be None, in term.
func (n *Node) becomeFollower(term uint64, lead NodeID) {
	if term > n.term {
		n.term = term
		n.vote = None
	}
	n.role = Follower
	n.lead = lead
	n.leaderSeen = n.leaderSeen || lead != None
	n.elapsed = 0
	n.transfer = None
	n.progress = nil
	n.reads = nil
	n.resetTimeout()
}

// campaign starts a pre-vote or a vote.
func (n *Node) campaign(role Role, transfer bool) {
	self, ok := n.membership.Find(n.id)
	if !ok || !self.Voter {
		return
	}
	n.role = role
	n.lead = None
	n.ballots = map[NodeID]bool{}
	term, msg := n.term+1, MsgPreVote
	if role == Candidate {
		n.term++
		n.vote = n.id
		term, msg = n.term, MsgVote
	}
	for _, m := range n.membership.Members {
		if !m.Voter || m.ID == n.id {
			continue
		}
		n.send(Message{Type: msg, To: m.ID, Term: term, Index: n.log.lastIndex(), LogTerm: n.log.lastTerm(), Transfer: transfer})
	}
	n.countBallot(n.id, true)
}

func (n *Node) stepVote(m Message) {
	resp := MsgVoteResp
	if m.Type == MsgPreVote {
		resp = MsgPreVoteResp
	}
	canVote := n.vote == m.From || (n.vote == None && n.lead == None) || (m.Type == MsgPreVote && m.Term > n.term)
	if !canVote || !n.log.upToDate(m.LogTerm, m.Index) {
		n.send(Message{Type: resp, To: m.From, Reject: true})
		return
	}
	if m.Type == MsgVote {
		n.elapsed = 0
		n.vote = m.From
	}
	n.send(Message{Type: resp, To: m.From, Term: m.Term})
}

func (n *Node) stepBallot(m Message) {
	want := (n.role == PreCandidate && m.Type == MsgPreVoteResp) ||
		(n.role == Candidate && m.Type == MsgVoteResp)
	if !want {
		return
	}
	n.countBallot(m.From, !m.Reject)
}

func (n *Node) countBallot(from NodeID, granted bool) {
	n.ballots[from] = granted
	yes, no := 0, 0
	for _, m := range n.membership.Members {
		g, voted := n.ballots[m.ID]
		switch {
		case !m.Voter || !voted:
		case g:
			yes++
		default:
			no++
		}
	}
	majority := n.membership.Voters()/2 + 1
	switch {
	case yes >= majority && n.role == PreCandidate:
		n.campaign(Candidate, false)
	case yes >= majority:
		n.becomeLeader()
	case no >= majority:
		n.becomeFollower(n.term, None)
	}
}

func (n *Node) stepTimeoutNow() {
	if n.role == Follower {
		n.campaign(Candidate, true)
	}
}

func (n *Node) becomeLeader() {
	invariant(n.vote == n.id, "leader did not vote for itself", n.term, uint64(n.vote))
	n.role = Leader
	n.lead, n.leaderSeen = n.id, true
	n.elapsed, n.heartbeat = 0, 0
	n.transfer = None
	n.reads = nil
	n.progress = map[NodeID]*progress{}
	for _, m := range n.membership.Members {
		n.progress[m.ID] = &progress{voter: m.Voter, next: n.log.lastIndex() + 1, probing: true, active: true}
	}
	// The old entries may include unapplied membership changes: no further change
	// is accepted before all of them are applied. The first entry of the term restates
	// the newest one, which corrects members whose folders hold another membership.
	data, err := json.Marshal(n.log.membershipAt(n.log.lastIndex()))
	invariant(err == nil, "membership cannot be encoded", 0, 0)
	n.lastChange = n.appendEntry(EntryMembership, data)
	n.Flush()
}
