package roster

import (
	"fmt"
	"slices"
	"time"

	"github.com/cassiapass/cassiapass/internal/core/consensus"
)

// unheardAfter is the silence after which a voter no longer counts as holding what is committed:
// several heartbeats to a voter, two to a member without a vote.
const unheardAfter = 1200 * time.Millisecond

// Health is a leader's view of what the group could lose.
type Health struct {
	// Losable is how many more disks may be lost, with power lost everywhere, such that a quorum
	// comes back with all that is committed.
	Losable int `json:"losable"`
	// Wanted is how many should be.
	Wanted int `json:"wanted"`
	// Causes are why Losable is below Wanted, empty if it is not.
	Causes []string `json:"causes,omitempty"`
}

// Health returns what the group can lose now. st is the leader's own status.
func (r *Roster) Health(now time.Time, st consensus.Status) Health {
	voters := st.Membership.Voters()
	quorum := voters/2 + 1
	h := Health{Wanted: (r.cfg.Voters - 1) / 2}
	holders := 0
	for _, m := range st.Membership.Members {
		if !m.Voter {
			continue
		}
		if cause := r.notHolding(now, st, m); cause != "" {
			h.Causes = append(h.Causes, cause)
			continue
		}
		holders++
	}
	h.Losable = max(0, holders-quorum)
	if voters < r.cfg.Voters {
		h.Causes = append(h.Causes, fmt.Sprintf("%d of %d voters: no other host with a disk holds the log", voters, r.cfg.Voters))
	}
	if h.Losable >= h.Wanted {
		h.Causes = nil
	}
	slices.Sort(h.Causes)
	return h
}

// notHolding returns why a voter may not hold all that was committed at the last check, or "".
func (r *Roster) notHolding(now time.Time, st consensus.Status, m consensus.Member) string {
	if m.ID == st.ID {
		return ""
	}
	if d := r.silence(now, m.ID); d > unheardAfter {
		return fmt.Sprintf("voter %d at %s silent for %.1f s", m.ID, m.Addr, d.Seconds())
	}
	if match := st.Match[m.ID]; match < min(r.checkedCommit, st.Commit) {
		return fmt.Sprintf("voter %d at %s holds the log up to %d of %d", m.ID, m.Addr, match, st.Commit)
	}
	return ""
}
