package control

import (
	"encoding/json"

	"github.com/samber/oops"

	"github.com/cassiapass/cassiapass/internal/core/consensus"
	"github.com/cassiapass/cassiapass/internal/core/state"
)

// waiter is who waits for the entry at one index.
type waiter struct {
	term uint64
	chs  []chan<- proposalResult
	// deploy is the deployment that is proposed there, nil for other commands.
	deploy *state.Deploy
}

// answer tells all who wait. Each has room for one answer.
func (w waiter) answer(r proposalResult) {
	for _, ch := range w.chs {
		ch <- r
	}
}

// proposalResult is what became of a proposal.
type proposalResult struct {
	res state.Result
	err error
}

// propose appends a command if this host leads.
func (l *loop) propose(c state.Command, ch chan<- proposalResult) {
	if c.Deploy != nil && l.sentBefore(*c.Deploy, ch) {
		return
	}
	c.Time = l.now()
	data, err := json.Marshal(c)
	if err != nil {
		ch <- proposalResult{err: oops.Wrapf(err, "encode command")}
		return
	}
	index, err := l.node.Propose(data)
	if err != nil {
		ch <- proposalResult{err: err}
		return
	}
	l.wait(index, ch, c.Deploy)
}

// wait lets ch wait for the entry at index, of this term. An entry of an earlier term
// that it takes the place of is lost.
func (l *loop) wait(index uint64, ch chan<- proposalResult, d *state.Deploy) {
	if old, ok := l.waiters[index]; ok {
		old.answer(proposalResult{err: ErrLost})
	}
	l.waiters[index] = waiter{term: l.node.Term(), chs: []chan<- proposalResult{ch}, deploy: d}
}

// sentBefore answers a deployment that was decided already and lets ch wait for one that
// is under way; it returns false for a new one.
// Operators repeat a change each second at another host until it is acknowledged. Symptom
// without this: each repeat of a large one is one more copy in the log of a leader that
// is still sending the first.
func (l *loop) sentBefore(d state.Deploy, ch chan<- proposalResult) bool {
	// What was decided stays so: the answer is right even on a host that leads no more.
	if res, known := l.st.Deployed(d); known {
		ch <- proposalResult{res: res}
		return true
	}
	for index, w := range l.waiters {
		if w.deploy != nil && *w.deploy == d && w.term == l.node.Term() && l.node.IsLeader() {
			w.chs = append(w.chs, ch)
			l.waiters[index] = w
			return true
		}
	}
	return false
}

// answer tells who waits for an entry that was applied.
func (l *loop) answer(e consensus.Entry, res state.Result) {
	w, ok := l.waiters[e.Index]
	if !ok {
		return
	}
	delete(l.waiters, e.Index)
	if w.term != e.Term {
		// Another leader's entry took the place of the proposed one.
		w.answer(proposalResult{err: ErrLost})
		return
	}
	w.answer(proposalResult{res: res})
}

// proposeQuietly appends a command whose result only the planner looks at.
func (l *loop) proposeQuietly(c state.Command) {
	c.Time = l.now()
	c.By = "control"
	data, err := json.Marshal(c)
	if err != nil {
		l.fatal(oops.Wrapf(err, "encode command"))
		return
	}
	if _, err := l.node.Propose(data); err != nil {
		l.log.Debug().Err(err).Msg("proposal_refused")
	}
}
