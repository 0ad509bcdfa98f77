package consensus

// Heartbeats returns the heartbeats of a leader to the voters, for its owner to send while a long
// step keeps it from calling Tick; none from other members. They may be sent late, repeatedly and
// after the member has lost its leadership: each equals a heartbeat that the network delayed. Its
// term is that of the leader at the time of the call, so members of a newer term reject it. Its
// commit index is covered by what the receiver had acknowledged, which it keeps. It confirms no read,
// as it carries no round, and does not extend the leadership by the leader's own clock, which counts
// the answers in Tick.
func (n *Node) Heartbeats() []Message {
	if n.role != Leader {
		return nil
	}
	var out []Message
	n.eachPeer(func(id NodeID, p *progress) {
		if p.voter {
			out = append(out, Message{Type: MsgHeartbeat, From: n.id, To: id, Term: n.term, Commit: min(p.match, n.log.commit)})
		}
	})
	return out
}
