package control

import (
	"time"

	"github.com/rs/zerolog"

	"github.com/cassiapass/cassiapass/internal/core/consensus"
)

// slow is from which duration on a turn of the loop, or the wait of a message before it
// is written, is logged: half of the shortest silence after which a follower campaigns.
const slow = electionTicks * tickEvery / 2

// watch tells in the log why leadership moves: who campaigned after how long a silence,
// and how a leader learned that it leads no more. Without it a change of leader that
// nothing outside explains cannot be told apart from a host that stood still, one that
// was not reached and one that heard too late.
type watch struct {
	log   zerolog.Logger
	met   *metrics
	seen  consensusView
	heard time.Time // when a message of a leader of the present term was taken in last
}

// consensusView is what is compared after each turn of the loop.
type consensusView struct {
	role consensus.Role
	term uint64
	lead consensus.NodeID
}

// message notes a sign of life of the leader.
func (w *watch) message(now time.Time, m consensus.Message) {
	if m.Term < w.seen.term {
		return
	}
	switch m.Type {
	case consensus.MsgAppend, consensus.MsgHeartbeat, consensus.MsgSnapshot:
		w.heard = now
	}
}

// turn notes how long a turn of the loop took and what it changed.
func (w *watch) turn(begun, now time.Time, node *consensus.Node) {
	took := now.Sub(begun)
	w.met.turnSeconds.Update(took.Seconds())
	if took > slow {
		w.log.Warn().Dur("took", took).Msg("control_loop_slow")
	}
	next := consensusView{role: node.Role(), term: node.Term(), lead: node.Leader()}
	if next != w.seen {
		w.tell(now, next)
		w.seen = next
	}
}

// tell logs a change.
func (w *watch) tell(now time.Time, next consensusView) {
	before := w.seen
	if before.role == consensus.Leader && next.role != consensus.Leader {
		cause := "no_quorum_answered"
		if next.term > before.term {
			cause = "newer_term"
		}
		w.log.Info().Uint64("term", before.term).Uint64("newer", next.term).Str("cause", cause).Msg("leader_deposed")
	}
	switch {
	case next.role == consensus.PreCandidate || next.role == consensus.Candidate:
		ev := w.log.Info().Stringer("role", next.role).Uint64("term", next.term).Uint64("leader", uint64(before.lead))
		if !w.heard.IsZero() {
			ev.Dur("silent", now.Sub(w.heard))
		}
		ev.Msg("campaign_begun")
	case next.lead != consensus.None && next.lead != before.lead:
		w.log.Info().Uint64("term", next.term).Uint64("leader", uint64(next.lead)).Msg("leader_known")
	}
}
