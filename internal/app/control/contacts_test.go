package control

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// foundWithin bounds how long a restarted group takes until every host is back: an
// election, a greeting, a request to join and one membership change for each host
// that has lost its identity.
const foundWithin = 8 * time.Second

// darken takes power from all hosts and gives it back.
func (s *site) darken() {
	for i := range s.hosts {
		s.kill(i)
	}
	for i := range s.hosts {
		s.start(i, false)
	}
}

// Symptom: after all hosts lost power no request is served again, though every disk
// and every process is back.
// Sequence: the seeds are exchanged for hosts that hold the log in memory; then all
// lose power, twice; between the two, one disk is lost.
// Cause: hosts with disks know those without and lead; the seeds know only each
// other, and whoever has to ask asks them.
func TestSeedsWithoutADiskAreFoundAfterAllLostPower(t *testing.T) {
	s := newSite(t, 6, 3, 4, 5)
	s.eventually("formed", func() bool { return s.settled(6) })
	s.deploy(0, 1)
	s.seeds = s.addrs[3:]
	for i, c := range s.hosts {
		c.SetSeeds(s.seeds)
		s.deploy(i, uint64(i+2))
	}
	for round := range uint64(2) {
		s.darken()
		begin := time.Now()
		for i := range s.hosts {
			s.eventually("every host serves what was decided", func() bool { return s.version(i) == 7+round })
		}
		if took := time.Since(begin); took > foundWithin {
			t.Fatalf("the group was whole again after %v", took)
		}
		s.eventually("whole", func() bool { return s.settled(6) })
		s.wipe(1)
		s.eventually("whole after a disk was lost", func() bool { return s.settled(6) })
		s.deploy(3, 8+round)
	}
}

// Symptom: hosts never elect a leader again, though all of them have their disks.
// Sequence: all lose power and come back at other addresses; the settings name the new
// ones.
// Cause: messages go where the log says, and only a leader can change the log.
func TestAddressesChangeWhileAllAreDark(t *testing.T) {
	is := is.New(t)
	s := newSite(t, 4)
	s.eventually("formed", func() bool { return s.settled(4) })
	s.deploy(0, 3)
	ids := s.identities()
	for i := range s.hosts {
		s.kill(i)
	}
	s.addrs = freeAddrs(t, 4)
	s.seeds = s.addrs[:3]
	for i := range s.hosts {
		s.start(i, false)
	}
	s.eventually("read back", func() bool { return s.version(3) == 3 })
	s.eventually("the log names the new addresses", func() bool { return s.settled(4) && s.logged(s.addrs) })
	is.Equal(s.identities(), ids) // nobody was taken for a new host
}

// Symptom: a host that lost its seeds finds nobody.
// Sequence: a host with a disk that was no founder restarts; its settings name only
// itself, and the others' settings do not name it.
// Cause: what it knew of others was in its memory.
func TestHostWithoutSeedsIsFoundByTheOthers(t *testing.T) {
	s := newSite(t, 4)
	s.eventually("formed", func() bool { return s.settled(4) })
	s.kill(3)
	s.eventually("forgotten", func() bool { return s.settled(3) })
	s.seeds = s.addrs[3:]
	s.start(3, false)
	s.eventually("found", func() bool { return s.settled(4) })
}

// identities returns who runs on the hosts.
func (s *site) identities() map[uint64]bool {
	out := map[uint64]bool{}
	for _, c := range s.hosts {
		out[uint64(c.ID())] = true
	}
	return out
}

// logged reports whether every host's log names just these addresses.
func (s *site) logged(addrs []string) bool {
	for _, c := range s.hosts {
		for _, m := range c.Status().Membership.Members {
			known := false
			for _, a := range addrs {
				known = known || a == m.Addr
			}
			if !known {
				return false
			}
		}
	}
	return true
}

// BenchmarkLeadAfterKillOfAll tells how long after a kill of all processes a leader
// leads again: 0.51 s with the usual election timeout from the start on, 0.19 s so.
func BenchmarkLeadAfterKillOfAll(b *testing.B) {
	s := newSite(b, 4)
	s.eventually("formed", func() bool { return s.settled(4) })
	for b.Loop() {
		s.darken()
		s.eventually("led", func() bool {
			for _, c := range s.hosts {
				if c.Lead().Leading {
					return true
				}
			}
			return false
		})
	}
}
