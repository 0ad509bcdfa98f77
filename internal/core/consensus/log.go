package consensus

// raftLog is the part of the log after the newest snapshot, in memory.
type raftLog struct {
	snap    Snapshot // Index and Term of the entry before entries[0]; Data for members that lag behind it
	entries []Entry
	synced  uint64 // last index that the owner has synced
	commit  uint64
	applied uint64
}

func (l *raftLog) lastIndex() uint64 { return l.snap.Index + uint64(len(l.entries)) }

func (l *raftLog) lastTerm() uint64 {
	t, _ := l.term(l.lastIndex())
	return t
}

// term returns the term at index i, and false if i is compacted or beyond the log.
func (l *raftLog) term(i uint64) (uint64, bool) {
	if i == l.snap.Index {
		return l.snap.Term, true
	}
	if i < l.snap.Index || i > l.lastIndex() {
		return 0, false
	}
	return l.entries[i-l.snap.Index-1].Term, true
}

// membershipAt returns the membership at index i, which the log or its snapshot holds.
func (l *raftLog) membershipAt(i uint64) Membership {
	for ; i > l.snap.Index; i-- {
		if e := l.entries[i-l.snap.Index-1]; e.Kind == EntryMembership {
			return decodeMembership(e)
		}
	}
	return l.snap.Membership
}

// slice returns the entries from..to inclusive, truncated at maxBytes, but at least
// one entry if from exists. The result shares the array with the log. That is safe
// because entries are never changed in place: a conflicting tail is replaced by a
// new array.
func (l *raftLog) slice(from, to uint64, maxBytes int) []Entry {
	if from > to || from <= l.snap.Index {
		return nil
	}
	ents := l.entries[from-l.snap.Index-1 : to-l.snap.Index]
	size := 0
	for i := range ents {
		size += len(ents[i].Data) + entryOverhead
		if size > maxBytes && i > 0 {
			return ents[:i:i]
		}
	}
	return ents[:len(ents):len(ents)]
}

// bytes returns the data size of the entries from..to inclusive that are in the log.
func (l *raftLog) bytes(from, to uint64) int {
	size := 0
	for i := max(from, l.snap.Index+1); i <= min(to, l.lastIndex()); i++ {
		size += len(l.entries[i-l.snap.Index-1].Data)
	}
	return size
}

// append adds entries of this leader at the end.
func (l *raftLog) append(ents ...Entry) {
	l.entries = append(l.entries, ents...)
}

// merge stores entries received from a leader and returns those that were new.
// Entries that match are skipped; the first that differs replaces the tail.
func (l *raftLog) merge(ents []Entry) []Entry {
	for i, e := range ents {
		t, ok := l.term(e.Index)
		if ok && t == e.Term {
			continue
		}
		if e.Index <= l.snap.Index {
			continue
		}
		// Replacing a committed entry would lose an acknowledged change; only a
		// bug elsewhere can cause it.
		invariant(e.Index > l.commit, "replace of committed entry", e.Index, l.commit)
		if e.Index > l.lastIndex() {
			l.entries = append(l.entries, ents[i:]...)
			return ents[i:]
		}
		// A new array, because slices of the old one may still be being written to disk.
		keep := l.entries[:e.Index-l.snap.Index-1]
		l.entries = append(keep[:len(keep):len(keep)], ents[i:]...)
		if l.synced >= e.Index {
			l.synced = e.Index - 1
		}
		return ents[i:]
	}
	return nil
}

// upToDate reports whether a log that ends at (term, index) is at least as up to
// date as this one.
func (l *raftLog) upToDate(term, index uint64) bool {
	lt := l.lastTerm()
	return term > lt || (term == lt && index >= l.lastIndex())
}

// compact drops entries up to and including s.Index; a member that still needs
// one of them gets the snapshot.
func (l *raftLog) compact(s Snapshot) {
	if s.Index <= l.snap.Index {
		return
	}
	rest := l.entries[s.Index-l.snap.Index:]
	l.entries = append([]Entry(nil), rest...)
	l.snap = s
}

// restore replaces everything by a received snapshot.
func (l *raftLog) restore(s Snapshot) {
	l.snap = s
	l.entries = nil
	l.commit = s.Index
	l.applied = s.Index
	l.synced = s.Index
}
