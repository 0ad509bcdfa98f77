package consensus

// Step processes one received message.
func (n *Node) Step(m Message) {
	if m.To != n.id {
		return
	}
	if m.Term > n.term && !n.stepNewerTerm(m) {
		return
	}
	if m.Term < n.term {
		n.stepOlderTerm(m)
		return
	}
	switch m.Type {
	case MsgPreVote, MsgVote:
		n.stepVote(m)
	case MsgPreVoteResp, MsgVoteResp:
		n.stepBallot(m)
	case MsgAppend:
		n.acceptLeader(m)
		n.stepAppend(m)
	case MsgHeartbeat:
		n.acceptLeader(m)
		n.stepHeartbeat(m)
	case MsgSnapshot:
		n.acceptLeader(m)
		n.stepSnapshot(m)
	case MsgAppendResp:
		n.stepAppendResp(m)
	case MsgHeartbeatResp:
		n.stepHeartbeatResp(m)
	case MsgReadIndex:
		n.stepReadIndex(m)
	case MsgReadIndexResp:
		n.readDone = append(n.readDone, ReadState{Context: m.Context, Index: m.Index})
	case MsgTimeoutNow:
		n.stepTimeoutNow()
	}
}

// stepNewerTerm moves to the message's term and reports whether the message
// is to be handled further.
func (n *Node) stepNewerTerm(m Message) bool {
	if m.Type == MsgPreVote || m.Type == MsgVote {
		// While there is a live leader, a member that was only partitioned
		// must not be able to depose it by returning with a higher term.
		if !m.Transfer && n.lead != None && n.elapsed < n.cfg.ElectionTicks {
			return false
		}
	}
	switch {
	case m.Type == MsgPreVote:
		// A pre-vote asks about a term that has not begun.
	case m.Type == MsgPreVoteResp && !m.Reject:
		// A granted pre-vote carries the term that was asked about.
	case m.Type == MsgAppend || m.Type == MsgHeartbeat || m.Type == MsgSnapshot:
		n.becomeFollower(m.Term, m.From)
	default:
		n.becomeFollower(m.Term, None)
	}
	return true
}

// stepOlderTerm answers a message from a past term if its sender could not make
// progress without an answer.
func (n *Node) stepOlderTerm(m Message) {
	switch m.Type {
	case MsgAppend, MsgHeartbeat, MsgSnapshot:
		// A deposed leader learns the new term from this answer.
		n.send(Message{Type: MsgAppendResp, To: m.From, Reject: true, Index: 0, Hint: n.log.lastIndex()})
	case MsgPreVote:
		n.send(Message{Type: MsgPreVoteResp, To: m.From, Reject: true})
	}
}

func (n *Node) acceptLeader(m Message) {
	invariant(n.role != Leader, "two leaders in one term", n.term, uint64(m.From))
	// On the first message of its first leader a member draws a new timeout even if
	// neither its role nor its term changes because it voted for that leader. Otherwise
	// it would keep the short timeout of a start and campaign after 0.13 s without a
	// heartbeat.
	if n.role != Follower || !n.leaderSeen {
		n.becomeFollower(m.Term, m.From)
	}
	n.lead = m.From
	n.elapsed = 0
}

// checkCommitted panics if an entry that this member has committed differs from the leader's. Logs that
// agree in the term of an entry agree up to it, so one term in each message suffices to detect a
// divergence as long as the logs hold the entry. Entries of one term are not told apart.
func (n *Node) checkCommitted(index, term uint64) {
	if own, ok := n.log.term(index); ok && term != 0 && index <= n.log.commit {
		invariant(own == term, "a committed entry differs from the leader's", index, term)
	}
}

func (n *Node) stepAppend(m Message) {
	n.checkCommitted(m.Index, m.LogTerm)
	for _, e := range m.Entries {
		n.checkCommitted(e.Index, e.Term)
	}
	if m.Index < n.log.commit {
		// A delayed duplicate: its entries are already committed here.
		n.send(Message{Type: MsgAppendResp, To: m.From, Index: n.log.commit})
		return
	}
	if t, ok := n.log.term(m.Index); !ok || t != m.LogTerm {
		n.send(Message{Type: MsgAppendResp, To: m.From, Reject: true, Index: m.Index, Hint: min(m.Index, n.log.lastIndex())})
		return
	}
	if fresh := n.log.merge(m.Entries); len(fresh) > 0 {
		n.unstable = min(n.unstable, fresh[0].Index)
	}
	last := m.Index + uint64(len(m.Entries))
	n.setCommit(min(m.Commit, last))
	n.send(Message{Type: MsgAppendResp, To: m.From, Index: last})
}

func (n *Node) stepHeartbeat(m Message) {
	n.checkCommitted(m.Commit, m.LogTerm)
	// The leader caps m.Commit at the last index that it knows this member to hold.
	n.setCommit(min(m.Commit, n.log.lastIndex()))
	n.send(Message{Type: MsgHeartbeatResp, To: m.From, Context: m.Context, Index: n.log.lastIndex()})
}

func (n *Node) stepSnapshot(m Message) {
	s := *m.Snapshot
	if s.Index <= n.log.commit {
		n.send(Message{Type: MsgAppendResp, To: m.From, Index: n.log.commit})
		return
	}
	if t, ok := n.log.term(s.Index); ok && t == s.Term {
		// The log agrees with the snapshot up to there. What follows stays: this member may have
		// acknowledged it (Raft, section 7).
		n.setCommit(s.Index)
		n.send(Message{Type: MsgAppendResp, To: m.From, Index: s.Index})
		return
	}
	n.log.restore(s)
	n.unstable = s.Index + 1
	n.membership = s.Membership
	n.lastChange = s.Index
	n.received = &s
	n.send(Message{Type: MsgAppendResp, To: m.From, Index: s.Index})
}

func (n *Node) setCommit(i uint64) {
	if i > n.log.commit {
		n.log.commit = i
	}
}

func (n *Node) stepAppendResp(m Message) {
	p, ok := n.progress[m.From]
	if n.role != Leader || !ok {
		return
	}
	p.active = true
	if m.Reject {
		p.rejected(m.Index, m.Hint)
		n.sendAppend(m.From, p)
		return
	}
	invariant(m.Index <= n.log.lastIndex(), "acknowledgement beyond the log", m.Index, n.log.lastIndex())
	p.accepted(m.Index, n.log.bytes(p.match+1, m.Index))
	n.advanceCommit()
	if n.transfer == m.From && p.match == n.log.lastIndex() {
		n.send(Message{Type: MsgTimeoutNow, To: m.From})
	}
	n.sendAppend(m.From, p)
}

func (n *Node) stepHeartbeatResp(m Message) {
	p, ok := n.progress[m.From]
	if n.role != Leader || !ok {
		return
	}
	p.active = true
	if m.Context != 0 {
		n.ackRead(m.From, m.Context)
	}
	if p.match < n.log.lastIndex() && p.inflight == 0 {
		n.sendAppend(m.From, p)
	}
}

// sendAppend sends the next entries, or a snapshot if they are compacted.
func (n *Node) sendAppend(to NodeID, p *progress) {
	for !p.paused() {
		prev := p.next - 1
		prevTerm, ok := n.log.term(prev)
		if !ok {
			s := n.log.snap
			p.snapshot, p.waited, p.bytes = s.Index, 0, len(s.Data)
			p.next = s.Index + 1
			n.sendEarly(Message{Type: MsgSnapshot, To: to, Snapshot: &s})
			return
		}
		ents := n.log.slice(p.next, n.log.lastIndex(), maxAppendBytes)
		if len(ents) == 0 && !p.probing {
			return
		}
		n.sendEarly(Message{Type: MsgAppend, To: to, Index: prev, LogTerm: prevTerm, Entries: ents, Commit: n.log.commit})
		p.inflight++
		for _, e := range ents {
			p.bytes += len(e.Data)
		}
		p.next += uint64(len(ents))
		if p.probing {
			return
		}
	}
}

func (n *Node) sendHeartbeat(to NodeID, p *progress, round uint64) {
	commit := min(p.match, n.log.commit)
	term, _ := n.log.term(commit)
	n.sendEarly(Message{Type: MsgHeartbeat, To: to, Commit: commit, LogTerm: term, Context: round})
}

// advanceCommit moves the commit index to the highest index that a majority
// holds. Only entries of the present term are counted (Raft 5.4.2): an older
// entry held by a majority can still be replaced by a leader that never had it.
func (n *Node) advanceCommit() {
	q := n.quorumMatch()
	t, ok := n.log.term(q)
	if q <= n.log.commit || !ok || t != n.term {
		return
	}
	n.log.commit = q
	n.releaseReads()
	// Send the new commit index now rather than with the next heartbeat:
	// members need it to put a new configuration in force.
	n.eachPeer(func(id NodeID, p *progress) {
		if p.next > n.log.lastIndex() {
			n.sendHeartbeat(id, p, 0)
			return
		}
		n.sendAppend(id, p)
	})
}
