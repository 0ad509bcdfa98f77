package control

import (
	"encoding/json"

	"github.com/samber/oops"

	"github.com/cassiapass/cassiapass/internal/core/consensus"
	"github.com/cassiapass/cassiapass/internal/core/state"
)

// waiter holds the callers that wait for the entry at one index.
type waiter struct {
	term uint64
	chs  []chan<- proposalResult
	// deploy is the deployment proposed at that index, nil for other commands.
	deploy *state.Deploy
}

// answer sends the result to all callers. Each channel must have room for it.
func (w waiter) answer(r proposalResult) {
	for _, ch := range w.chs {
		ch <- r
	}
}

// proposalResult is the outcome of a proposal.
type proposalResult struct {
	res state.Result
	err error
}

// propose appends a command if this host leads.
func (l *loop) propose(c state.Command, ch chan<- proposalResult) {
	if c.Deploy != nil && l.joinRepeated(*c.Deploy, ch) {
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

// wait registers ch for the entry at index, in this term. Callers that wait for an entry of
// an earlier term at the same index get ErrLost.
func (l *loop) wait(index uint64, ch chan<- proposalResult, d *state.Deploy) {
	if old, ok := l.waiters[index]; ok {
		old.answer(proposalResult{err: ErrLost})
	}
	l.waiters[index] = waiter{term: l.node.Term(), chs: []chan<- proposalResult{ch}, deploy: d}
}

// joinRepeated answers a deployment that is already committed and makes ch wait for one that
// is already proposed; it returns false for a new one.
// Operators repeat a change each second at another host until it is acknowledged. Without
// this, each repeat of a large change adds a copy to the log of a leader that is still
// sending the first.
func (l *loop) joinRepeated(d state.Deploy, ch chan<- proposalResult) bool {
	// A committed deployment stays committed: the answer is correct even on a former leader.
	if res, known := l.st.CheckDeploy(d); known {
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

// answer sends the result of an applied entry to the callers that wait for it.
func (l *loop) answer(e consensus.Entry, res state.Result) {
	w, ok := l.waiters[e.Index]
	if !ok {
		return
	}
	delete(l.waiters, e.Index)
	if w.term != e.Term {
		// An entry of another leader replaced the proposed one.
		w.answer(proposalResult{err: ErrLost})
		return
	}
	w.answer(proposalResult{res: res})
}

// proposeInternal proposes a command of control itself; no caller waits for its result.
func (l *loop) proposeInternal(c state.Command) {
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
