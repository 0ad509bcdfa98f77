package consensus

// pendingRead waits until a majority has confirmed that this member still led
// when the read arrived. Without that round a deposed leader could answer from
// a state that the group has left behind.
type pendingRead struct {
	context uint64
	from    NodeID // asking member; the leader itself for local reads
	round   uint64
	acks    map[NodeID]bool
}

// ReadIndex asks for the index that a read must wait for. The answer comes in
// Ready.Reads under the same context; it may never come, so the owner asks
// again after a timeout. A false result means that no leader is known.
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

// ackRead counts an answer for its round and every earlier one.
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

// releaseReads answers the reads at the front that a majority has confirmed.
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
			// It hears of commits with its rare heartbeats only, and the read waits
			// for this one: 0.5 s without the next one sent now, 1 ms with it.
			n.sendHeartbeat(r.from, p, n.round)
		}
	}
}
