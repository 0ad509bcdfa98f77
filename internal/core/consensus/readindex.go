package consensus

// pendingRead waits until a majority has confirmed that this member still led
// when the read arrived. Without that round a deposed leader could answer from
// outdated state.
type pendingRead struct {
	context uint64
	from    NodeID // requesting member; the leader itself for local reads
	round   uint64
	acks    map[NodeID]bool
}

// ReadIndex requests the index that must be applied before a read is answered. The
// index is returned in Ready.Reads under the same context; the answer may be lost, so
// the owner retries after a timeout. ReadIndex returns false if no leader is known.
func (n *Node) ReadIndex(context uint64) bool {
	if n.role == Leader {
		n.queueRead(n.id, context)
		return true
	}
	if n.lead == None {
		return false
	}
	n.send(Message{Type: MsgReadIndex, To: n.lead, Context: context})
	return true
}

func (n *Node) stepReadIndex(m Message) {
	if n.role == Leader {
		n.queueRead(m.From, m.Context)
	}
}

const maxPendingReads = 4096

func (n *Node) queueRead(from NodeID, context uint64) {
	if len(n.reads) >= maxPendingReads {
		return
	}
	n.round++
	r := pendingRead{context: context, from: from, round: n.round, acks: map[NodeID]bool{n.id: true}}
	n.reads = append(n.reads, r)
	n.eachPeer(func(id NodeID, p *progress) {
		if p.voter {
			n.sendHeartbeat(id, p, n.round)
		}
	})
	n.releaseReads()
}

// ackRead counts a heartbeat answer for its round and every earlier one.
func (n *Node) ackRead(from NodeID, round uint64) {
	p := n.progress[from]
	if !p.voter {
		return
	}
	for i := range n.reads {
		if n.reads[i].round <= round {
			n.reads[i].acks[from] = true
		}
	}
	n.releaseReads()
}

// releaseReads answers the oldest reads, as far as a majority has confirmed them.
func (n *Node) releaseReads() {
	// Before the first commit of its own term a new leader may not know the
	// newest commit index of the group.
	if t, _ := n.log.term(n.log.commit); t != n.term {
		return
	}
	majority := n.membership.Voters()/2 + 1
	for len(n.reads) > 0 && len(n.reads[0].acks) >= majority {
		r := n.reads[0]
		n.reads = n.reads[1:]
		if r.from == n.id {
			n.readDone = append(n.readDone, ReadState{Context: r.context, Index: n.log.commit})
			continue
		}
		n.send(Message{Type: MsgReadIndexResp, To: r.from, Context: r.context, Index: n.log.commit})
		if p, ok := n.progress[r.from]; ok && !p.voter {
			// A non-voting member gets new commit indexes with its infrequent
			// heartbeats only, and the read waits for that index: 0.5 s without
			// a heartbeat sent now, 1 ms with it.
			n.sendHeartbeat(r.from, p, n.round)
		}
	}
}
