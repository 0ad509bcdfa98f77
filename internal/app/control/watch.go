package control

import (
	"time"

	"github.com/rs/zerolog"

	"github.com/cassiapass/cassiapass/internal/core/consensus"
)

// slowThreshold is the duration above which a turn of the loop, or the wait of a message
// before it is written, is logged: half of the shortest silence after which a follower
// campaigns.
const slowThreshold = electionTicks * tickInterval / 2

// leaderWatch logs why leadership changes: which host campaigned after how long a silence,
// and why a leader stepped down. Without it, a change of leader that no external event
// explains cannot be attributed to a host that was suspended, one that was unreachable or
// one that received messages too late.
type leaderWatch struct {
	log         zerolog.Logger
	met         *metrics
	view        consensusView
	lastMessage time.Time // when the last message of a leader of the present term arrived
}

// consensusView is the part of the consensus state that is compared after each turn of the
// loop.
type consensusView struct {
	role consensus.Role
	term uint64
	lead consensus.NodeID
}

// observeMessage records when a message of the leader arrived.
func (w *leaderWatch) observeMessage(now time.Time, m consensus.Message) {
	if m.Term < w.view.term {
		return
	}
	switch m.Type {
	case consensus.MsgAppend, consensus.MsgHeartbeat, consensus.MsgSnapshot:
		w.lastMessage = now
	}
}

// observeTurn measures a turn of the loop and logs a change of the consensus state.
func (w *leaderWatch) observeTurn(begin, now time.Time, node *consensus.Node) {
	took := now.Sub(begin)
	w.met.turnSeconds.Update(took.Seconds())
	if took > slowThreshold {
		w.log.Warn().Dur("took", took).Msg("control_loop_slow")
	}
	next := consensusView{role: node.Role(), term: node.Term(), lead: node.Leader()}
	if next != w.view {
		w.logChange(now, next)
		w.view = next
	}
}

// logChange logs a change of role, term or leader.
func (w *leaderWatch) logChange(now time.Time, next consensusView) {
	before := w.view
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
		if !w.lastMessage.IsZero() {
			ev.Dur("silent", now.Sub(w.lastMessage))
		}
		ev.Msg("campaign_begun")
	case next.lead != consensus.None && next.lead != before.lead:
		w.log.Info().Uint64("term", next.term).Uint64("leader", uint64(next.lead)).Msg("leader_known")
	}
}
