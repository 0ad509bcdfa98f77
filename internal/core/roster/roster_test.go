package roster

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/cassiapass/cassiapass/internal/core/consensus"
)

var start = time.Unix(1000, 0)

func members(ms ...consensus.Member) consensus.Status {
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

func three() []consensus.Member {
	return []consensus.Member{voter(1, "a"), voter(2, "b"), voter(3, "c")}
}

func TestQuietGroupStaysAsItIs(t *testing.T) {
	is := is.New(t)
	r := New(DefaultConfig(1), start)
	now := start.Add(time.Minute)
	r.Heard(now, 2)
	r.Heard(now, 3)
	_, due := r.Next(now, members(three()...))
	is.True(!due)
}

// Symptom: acknowledged changes are lost though fewer disks were lost than the
// group should bear.
// Sequence: a vote is missing; the only spare that holds the log has no disk.
// Cause: it would vote, and forget that at its next restart.
func TestHostWithoutADiskIsTakenInButNeverVotes(t *testing.T) {
	is := is.New(t)
	r := New(DefaultConfig(1), start)
	now := start.Add(time.Second)
	r.Join(Joiner{ID: 9, Addr: "d", At: now, Volatile: true})
	c, due := r.Next(now, members(voter(1, "a"), voter(2, "b")))
	is.True(due)
	is.Equal(c.Member, consensus.Member{ID: 9, Addr: "d", Volatile: true})
	r.Heard(now, 9)
	_, due = r.Next(now, members(voter(1, "a"), voter(2, "b"), c.Member))
	is.True(!due)
}

// Symptom: a group that lost a disk can bear no further loss.
// Sequence: host b loses its disk and asks to join under identity 9.
// Cause: identity 2 stays a voter that can never vote again.
func TestLostDiskIsReplacedByItsNewIdentity(t *testing.T) {
	is := is.New(t)
	r := New(DefaultConfig(1), start)
	now := start.Add(time.Second)
	r.Join(Joiner{ID: 9, Addr: "b", At: now})
	c, due := r.Next(now, members(three()...))
	is.True(due && c.Remove)
	is.Equal(c.Member.ID, consensus.NodeID(2))

	c, due = r.Next(now, members(voter(1, "a"), voter(3, "c")))
	is.True(due && !c.Remove)
	is.Equal(c.Member, consensus.Member{ID: 9, Addr: "b"}) // first without a vote

	r.Heard(now, 9)
	st := members(voter(1, "a"), voter(3, "c"), consensus.Member{ID: 9, Addr: "b"})
	st.Match[9] = 4
	_, due = r.Next(now, st)
	is.True(!due) // it does not hold the log yet
	st.Match[9] = 10
	c, due = r.Next(now, st)
	is.True(due && c.Member.Voter)
}

// Symptom: a second lost host stops the group, though a spare was there.
// Sequence: voter 3 is gone for good; spare 4 holds the log.
// Cause: nobody gives the spare the vote.
func TestSilentVoterIsReplacedBySpareFirst(t *testing.T) {
	is := is.New(t)
	cfg := DefaultConfig(1)
	r := New(cfg, start)
	st := members(append(three(), consensus.Member{ID: 4, Addr: "d"})...)
	now := start.Add(cfg.ReplaceAfter / 2)
	r.Heard(now, 2)
	r.Heard(now, 4)
	_, due := r.Next(now, st)
	is.True(!due) // a restart takes no longer than this

	now = start.Add(cfg.ReplaceAfter + time.Second)
	r.Heard(now, 2)
	r.Heard(now, 4)
	c, due := r.Next(now, st)
	is.True(due && c.Member.Voter)
	is.Equal(c.Member.ID, consensus.NodeID(4))

	st.Membership = st.Membership.With(c.Member)
	c, due = r.Next(now, st)
	is.True(due && c.Remove)
	is.Equal(c.Member.ID, consensus.NodeID(3))
}

func TestSilentSpareIsForgottenAndOldRequestsLapse(t *testing.T) {
	is := is.New(t)
	cfg := DefaultConfig(1)
	r := New(cfg, start)
	r.Join(Joiner{ID: 9, Addr: "z", At: start})
	now := start.Add(cfg.ForgetAfter + time.Second)
	r.Heard(now, 2)
	r.Heard(now, 3)
	c, due := r.Next(now, members(append(three(), consensus.Member{ID: 4, Addr: "d"})...))
	is.True(due && c.Remove)
	is.Equal(c.Member.ID, consensus.NodeID(4)) // and 9, silent since, is not admitted
}

// Symptom: after all hosts were restarted at once, a lost vote is replaced seconds late.
// Sequence: six hosts without a disk ask to join again under new identities, and one
// whose disk was lost.
// Cause: each change takes some 0.3 s, and they were made in no order.
func TestHostsWithADiskComeFirst(t *testing.T) {
	is := is.New(t)
	r := New(DefaultConfig(1), start)
	now := start.Add(time.Second)
	ms := three()
	for i := range 6 {
		addr := string(rune('p' + i))
		ms = append(ms, consensus.Member{ID: consensus.NodeID(20 + i), Addr: addr, Volatile: true})
		r.Join(Joiner{ID: consensus.NodeID(30 + i), Addr: addr, At: now, Volatile: true})
	}
	r.Join(Joiner{ID: 9, Addr: "c", At: now})
	c, due := r.Next(now, members(ms...))
	is.True(due && c.Remove)
	is.Equal(c.Member.ID, consensus.NodeID(3)) // the lost disk's identity
	ms = append(ms[:2], ms[3:]...)
	c, due = r.Next(now, members(ms...))
	is.True(due)
	is.Equal(c.Member.ID, consensus.NodeID(9)) // then its host
	ms = append(ms, c.Member)
	r.Heard(now, 9)
	c, due = r.Next(now, members(ms...))
	is.True(due)
	is.Equal(c.Member, voter(9, "c")) // which gets the vote
	ms[len(ms)-1] = c.Member
	c, due = r.Next(now, members(ms...))
	is.True(due && c.Remove && c.Member.Volatile) // and only then the others
}

// Symptom: two hosts lose their votes though neither lost anything.
// Sequence: both come back at each other's address.
// Cause: the address of one, asked for under another identity, was taken for that of a
// host that lost its disk.
func TestHostsThatExchangedAddressesKeepTheirIdentities(t *testing.T) {
	is := is.New(t)
	r := New(DefaultConfig(1), start)
	now := start.Add(time.Second)
	r.Join(Joiner{ID: 2, Addr: "c", At: now})
	r.Join(Joiner{ID: 3, Addr: "b", At: now})
	st := members(three()...)
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
