package consensus

import "slices"

// progress is a leader's view of one member's log.
type progress struct {
	voter    bool
	match    uint64 // highest index known to be synced there
	next     uint64 // next index to send
	inflight int    // appends sent and not yet answered
	bytes    int    // size of the entries or snapshot sent and not known to be synced there
	probing  bool   // one append at a time until the first success
	snapshot uint64 // index of a snapshot under way, 0 if none
	waited   int    // ticks spent waiting for an answer
	active   bool   // has answered since the last check of the quorum
	answered bool   // had answered when the quorum was last checked
}

// paused reports whether the leader must wait for an answer before sending
// more. Without this limit the leader would queue its whole log in the transport
// for a slow member.
func (p *progress) paused() bool {
	if p.snapshot != 0 {
		return true
	}
	if p.probing {
		return p.inflight >= 1
	}
	return p.inflight >= maxInflight
}

// accepted records an acknowledgement up to index. bytes is the size of the entries
// that no earlier acknowledgement covered.
func (p *progress) accepted(index uint64, bytes int) {
	if p.inflight > 0 {
		p.inflight--
	}
	p.waited = 0
	if index > p.match {
		p.match = index
	}
	if p.match >= p.next {
		p.next = p.match + 1
	}
	if p.snapshot != 0 && p.match >= p.snapshot {
		p.snapshot = 0
	}
	p.bytes = max(0, p.bytes-bytes)
	if p.match+1 == p.next {
		// Everything sent is acknowledged. Appends whose acknowledgement was lost, and
		// their bytes, have counted as under way until now.
		p.inflight, p.bytes = 0, 0
	}
	p.probing = false
}

// rejected moves next back after a rejected append whose entries followed index prev.
func (p *progress) rejected(prev, hint uint64) {
	p.inflight, p.bytes = 0, 0
	p.waited = 0
	if prev <= p.match {
		return // an old answer, delayed or duplicated
	}
	p.next = max(min(prev, hint+1), p.match+1)
	p.probing = true
}

// eachPeer calls f for every other member whose progress this leader tracks, in the order
// of the membership. In the order of the map, seeded runs would not be reproducible.
func (n *Node) eachPeer(f func(NodeID, *progress)) {
	for _, m := range n.membership.Members {
		if p, ok := n.progress[m.ID]; ok && m.ID != n.id {
			f(m.ID, p)
		}
	}
}

// silent reports whether the member has not answered for one to two checks of the quorum.
func (p *progress) silent() bool { return !p.active && !p.answered }

// quorumMatch returns the highest index that a majority of voters holds.
func (n *Node) quorumMatch() uint64 {
	var matches []uint64
	for id, p := range n.progress {
		if !p.voter {
			continue
		}
		if id == n.id {
			matches = append(matches, n.log.synced)
			continue
		}
		matches = append(matches, p.match)
	}
	if len(matches) == 0 {
		return 0
	}
	slices.Sort(matches)
	return matches[(len(matches)-1)/2]
}

// quorumActive reports whether a majority of voters, including this one, has
// answered since the last call, and starts a new period.
func (n *Node) quorumActive() bool {
	active, voters := 0, 0
	for id, p := range n.progress {
		if p.voter {
			voters++
			if id == n.id || p.active {
				active++
			}
		}
		p.answered, p.active = p.active, false
	}
	return active > voters/2
}
