package roster

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/cassiapass/cassiapass/internal/core/consensus"
)

var start = time.Unix(1000, 0)

func statusOf(ms ...consensus.Member) consensus.Status {
	st := consensus.Status{ID: 1, Role: consensus.Leader, Commit: 10, Match: map[consensus.NodeID]uint64{}}
	for _, m := range ms {
		st.Membership = st.Membership.With(m)
		st.Match[m.ID] = 10
	}
	return st
}

func voter(id consensus.NodeID, addr string) consensus.Member {
	return consensus.Member{ID: id, Addr: addr, Voter: true}
}

func threeVoters() []consensus.Member {
	return []consensus.Member{voter(1, "a"), voter(2, "b"), voter(3, "c")}
}

func TestHealthyGroupIsNotChanged(t *testing.T) {
	is := is.New(t)
	r := New(DefaultConfig(1, 0), start, nil)
	now := start.Add(time.Minute)
	r.RecordMessage(now, 2)
	r.RecordMessage(now, 3)
	_, due := r.Next(now, statusOf(threeVoters()...))
	is.True(!due)
}

// A vote is missing and the only spare that holds the log has no disk. As a voter it
// would lose its vote and its log at the next restart, and acknowledged changes could be
// lost although fewer disks failed than the group tolerates.
func TestHostWithoutADiskJoinsButNeverVotes(t *testing.T) {
	is := is.New(t)
	r := New(DefaultConfig(1, 0), start, nil)
	now := start.Add(time.Second)
	r.Join(Joiner{ID: 9, Addr: "d", At: now, Volatile: true})
	c, due := r.Next(now, statusOf(voter(1, "a"), voter(2, "b")))
	is.True(due)
	is.Equal(c.Member, consensus.Member{ID: 9, Addr: "d", Volatile: true})
	r.RecordMessage(now, 9)
	_, due = r.Next(now, statusOf(voter(1, "a"), voter(2, "b"), c.Member))
	is.True(!due)
}

// Host b loses its disk and asks to join under identity 9. If its old identity 2 remained
// a voter, which can never vote again, the group would tolerate no further failure.
func TestLostDiskIsReplacedByItsNewIdentity(t *testing.T) {
	is := is.New(t)
	r := New(DefaultConfig(1, 0), start, nil)
	now := start.Add(time.Second)
	r.Join(Joiner{ID: 9, Addr: "b", At: now})
	c, due := r.Next(now, statusOf(threeVoters()...))
	is.True(due && c.Remove)
	is.Equal(c.Member.ID, consensus.NodeID(2))

	c, due = r.Next(now, statusOf(voter(1, "a"), voter(3, "c")))
	is.True(due && !c.Remove)
	is.Equal(c.Member, consensus.Member{ID: 9, Addr: "b"}) // at first non-voting

	r.RecordMessage(now, 9)
	st := statusOf(voter(1, "a"), voter(3, "c"), consensus.Member{ID: 9, Addr: "b"})
	st.Match[9] = 4
	_, due = r.Next(now, st)
	is.True(!due) // it does not hold the log yet
	st.Match[9] = 10
	c, due = r.Next(now, st)
	is.True(due && c.Member.Voter)
}

// Voter 3 has failed permanently and spare 4 holds the log. Unless the spare becomes a
// voter, the loss of a second host stops the group. With the spare as a fourth voter, it
// would stop if any one of the other three were slow.
func TestSilentVoterIsReplacedBySpare(t *testing.T) {
	is := is.New(t)
	cfg := DefaultConfig(1, 0)
	r := New(cfg, start, nil)
	st := statusOf(append(threeVoters(), consensus.Member{ID: 4, Addr: "d"})...)
	now := start.Add(cfg.ReplaceAfter / 2)
	r.RecordMessage(now, 2)
	r.RecordMessage(now, 4)
	_, due := r.Next(now, st)
	is.True(!due) // a restart takes at most this long

	now = start.Add(cfg.ReplaceAfter + time.Second)
	r.RecordMessage(now, 2)
	_, due = r.Next(now, st)
	is.True(!due) // the spare is silent too: nobody can take the vote

	r.RecordMessage(now, 4)
	st.Match[4] = 4
	_, due = r.Next(now, st)
	is.True(!due) // the spare does not hold the log yet

	st.Match[4] = 10
	c, due := r.Next(now, st)
	is.True(due && !c.Remove)
	is.Equal(c.Member, consensus.Member{ID: 3, Addr: "c"}) // it stays a member

	st.Membership = st.Membership.With(c.Member)
	c, due = r.Next(now, st)
	is.True(due && !c.Remove && c.Member.Voter)
	is.Equal(c.Member.ID, consensus.NodeID(4))

	st.Membership = st.Membership.With(c.Member)
	_, due = r.Next(now, st)
	is.True(!due)
}

// Guards against a vote that is taken from a voter which may come back, while another one is gone.
func TestVoterSilentForLongestIsReplacedFirst(t *testing.T) {
	is := is.New(t)
	cfg := DefaultConfig(2, 0)
	st := statusOf(append(threeVoters(), voter(5, "e"), voter(6, "f"), consensus.Member{ID: 4, Addr: "d"})...)
	for _, gone := range []consensus.NodeID{2, 3, 5, 6} {
		r := New(cfg, start, Heard{gone: start.Add(-2 * cfg.ReplaceAfter)})
		now := start.Add(cfg.ReplaceAfter * 3 / 2) // all others are silent for this long
		r.RecordMessage(now, 4)
		c, due := r.Next(now, st)
		is.True(due)
		is.Equal(c.Member.ID, gone)
	}
}

// Guards against a silence that is counted anew from each change of leader.
func TestSilenceOfTheFormerLeaderCounts(t *testing.T) {
	is := is.New(t)
	cfg := DefaultConfig(1, 0)
	r := New(cfg, start, Heard{3: start.Add(-cfg.ReplaceAfter)})
	st := statusOf(append(threeVoters(), consensus.Member{ID: 4, Addr: "d"})...)
	for _, after := range []time.Duration{cfg.ReplaceAfter / 4, cfg.ReplaceAfter * 3 / 4} {
		now := start.Add(after)
		r.RecordMessage(now, 2)
		r.RecordMessage(now, 4)
		_, due := r.Next(now, st)
		is.Equal(due, after > cfg.ReplaceAfter/2) // it has half of the time to answer the new leader
	}
}

// Guards against a voter that is gone, of which the next leader does not know since when.
func TestVoterThatNeverAnswersANewLeaderHasHalfTheTime(t *testing.T) {
	is := is.New(t)
	cfg := DefaultConfig(1, 0)
	r := New(cfg, start, nil)
	st := statusOf(append(threeVoters(), consensus.Member{ID: 4, Addr: "d"})...)
	for _, after := range []time.Duration{cfg.ReplaceAfter / 4, cfg.ReplaceAfter * 3 / 4} {
		now := start.Add(after)
		r.RecordMessage(now, 2)
		r.RecordMessage(now, 4)
		c, due := r.Next(now, st)
		is.Equal(due, after > cfg.ReplaceAfter/2)
		is.Equal(c.Member.ID == 3, due)
	}
}

func TestSilentSpareIsRemovedAndOldJoinRequestsExpire(t *testing.T) {
	is := is.New(t)
	cfg := DefaultConfig(1, 0)
	r := New(cfg, start, nil)
	r.Join(Joiner{ID: 9, Addr: "z", At: start})
	now := start.Add(cfg.RemoveAfter + time.Second)
	r.RecordMessage(now, 2)
	r.RecordMessage(now, 3)
	c, due := r.Next(now, statusOf(append(threeVoters(), consensus.Member{ID: 4, Addr: "d"})...))
	is.True(due && c.Remove)
	is.Equal(c.Member.ID, consensus.NodeID(4)) // and 9, whose request is too old, is not admitted
}

// After a restart of all hosts, six hosts without a disk and one whose disk was lost ask to
// join under new identities. Each change takes some 0.3 s; in arbitrary order, the lost
// vote would be replaced seconds late.
func TestHostsWithADiskJoinFirst(t *testing.T) {
	is := is.New(t)
	r := New(DefaultConfig(1, 0), start, nil)
	now := start.Add(time.Second)
	ms := threeVoters()
	for i := range 6 {
		addr := string(rune('p' + i))
		ms = append(ms, consensus.Member{ID: consensus.NodeID(20 + i), Addr: addr, Volatile: true})
		r.Join(Joiner{ID: consensus.NodeID(30 + i), Addr: addr, At: now, Volatile: true})
	}
	r.Join(Joiner{ID: 9, Addr: "c", At: now})
	c, due := r.Next(now, statusOf(ms...))
	is.True(due && c.Remove)
	is.Equal(c.Member.ID, consensus.NodeID(3)) // the lost disk's identity
	ms = append(ms[:2], ms[3:]...)
	c, due = r.Next(now, statusOf(ms...))
	is.True(due)
	is.Equal(c.Member.ID, consensus.NodeID(9)) // then its host joins
	ms = append(ms, c.Member)
	r.RecordMessage(now, 9)
	c, due = r.Next(now, statusOf(ms...))
	is.True(due)
	is.Equal(c.Member, voter(9, "c")) // and becomes a voter
	ms[len(ms)-1] = c.Member
	c, due = r.Next(now, statusOf(ms...))
	is.True(due && c.Remove && c.Member.Volatile) // only then the hosts without a disk
}

// Two hosts return at each other's address. Neither must be taken for a host that lost its
// disk, which would remove both from the voters.
func TestHostsThatSwappedAddressesKeepTheirIdentities(t *testing.T) {
	is := is.New(t)
	r := New(DefaultConfig(1, 0), start, nil)
	now := start.Add(time.Second)
	r.Join(Joiner{ID: 2, Addr: "c", At: now})
	r.Join(Joiner{ID: 3, Addr: "b", At: now})
	st := statusOf(threeVoters()...)
	for range 2 {
		c, due := r.Next(now, st)
		is.True(due && !c.Remove)
		is.True(c.Member.Voter)
		st.Membership = st.Membership.With(c.Member)
	}
	_, due := r.Next(now, st)
	is.True(!due)
	m, _ := st.Membership.Find(2)
	is.Equal(m.Addr, "c")
}

func TestHealthTellsWhatMayBeLostAndWhyNot(t *testing.T) {
	is := is.New(t)
	r := New(DefaultConfig(1, 0), start, nil)
	now := start.Add(time.Minute)
	r.RecordMessage(now, 2)
	r.RecordMessage(now, 3)
	st := statusOf(threeVoters()...)
	r.Next(now, st)
	is.Equal(r.Health(now, st), Health{Losable: 1, Wanted: 1})

	st.Match[3] = 9 // committed before the last check
	is.Equal(r.Health(now, st), Health{Wanted: 1, Causes: []string{"voter 3 at c holds the log up to 9 of 10"}})

	r.RecordMessage(now.Add(3*time.Second), 3)
	st.Match[3] = 10
	is.Equal(r.Health(now.Add(3*time.Second), st), Health{Wanted: 1, Causes: []string{"voter 2 at b silent for 3.0 s"}})

	st = statusOf(voter(1, "a"), voter(2, "b"))
	is.Equal(r.Health(now, st), Health{Wanted: 1, Causes: []string{"2 of 3 voters: no other host with a disk holds the log"}})
}
