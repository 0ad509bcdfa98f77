package consensus_test

import (
	"encoding/json"
	"fmt"
	"time"

	"github.com/anishathalye/porcupine"

	"github.com/cassiapass/cassiapass/internal/core/ident"
	"github.com/cassiapass/cassiapass/internal/core/record"
	"github.com/cassiapass/cassiapass/internal/core/state"
)

// proposal is a command that a client waits for.
type proposal struct {
	term uint64
	c    *client
	try  int
}

// client submits revisions of one record and reads it, one call at a time.
type client struct {
	id       int
	ops      int
	base     ident.Index
	req      int
	try      int
	busy     bool
	read     bool
	reading  *simNode
	readAt   uint64
	call     int
	deadline int
}

type regInput struct {
	read bool
	base ident.Index
}

type regOutput struct {
	code state.Code
	rev  ident.Index // new revision, or the one in force
}

// register is the sequential model that operator answers are checked against.
var register = porcupine.Model{
	Init: func() any { return ident.Index(0) },
	Step: func(s, in, out any) (bool, any) {
		cur, i, o := s.(ident.Index), in.(regInput), out.(regOutput)
		switch {
		case i.read:
			return o.rev == cur, cur
		case o.code == state.OK:
			return i.base == cur, o.rev
		default:
			return i.base != cur && o.rev == cur, cur
		}
	},
}

func (s *sim) answer(c *client, res state.Result) {
	out := regOutput{code: res.Code, rev: res.Revision}
	if res.Code == state.Conflict && res.Current != nil && !res.Resent {
		out.rev = res.Current.Revision
	}
	s.done(c, regInput{base: c.base}, out)
	c.base = out.rev
}

func (s *sim) done(c *client, in regInput, out regOutput) {
	s.ops = append(s.ops, porcupine.Operation{ClientId: c.id, Input: in, Call: int64(c.call), Output: out, Return: int64(s.now)})
	c.busy, c.reading = false, nil
	c.ops++
}

const recordForm = `{"schemaVersion":1,"service":"a","place":"p","firstAnswer":"1s","replicas":{"min":0,"max":1},"customers":[{"name":"c","keyDigests":["sha256:%064x"],"replicasSold":1,"ratePerSecond":1}],"models":[{"name":"m","version":"1","bytes":1}]}`

const opsPerClient = 12

// drive makes a client start, resend or finish a call.
func (s *sim) drive(c *client) {
	if c.busy && c.read {
		s.driveRead(c)
		return
	}
	if !c.busy {
		if c.ops >= opsPerClient || s.r.IntN(10) != 0 {
			return
		}
		c.busy, c.call = true, s.now
		c.read = s.r.IntN(3) == 0
		c.req++
		c.deadline = s.now
		if c.read {
			return
		}
	}
	if s.now < c.deadline {
		return
	}
	c.try++
	c.deadline = s.now + 100
	n := s.nodes[s.r.IntN(len(s.nodes))]
	if !n.up {
		return
	}
	req := fmt.Sprintf("%d-%d", c.id, c.req)
	if s.mut == loseResend {
		req += fmt.Sprintf("-%d", c.try)
	}
	cmd := state.Command{Time: time.Unix(int64(s.now), 0), Submit: &state.Submit{Request: req, Base: c.base, Raw: record.Text(fmt.Sprintf(recordForm, c.id*1000+c.req))}}
	data, err := json.Marshal(cmd)
	if err != nil {
		panic(err)
	}
	index, err := n.node.Propose(data)
	if err != nil {
		c.deadline = s.now + 3
		return
	}
	n.proposals[index] = &proposal{term: n.node.Term(), c: c, try: c.try}
}

// driveRead performs a quorum read at a random member.
func (s *sim) driveRead(c *client) {
	if n := c.reading; n != nil && n.up && c.readAt > 0 && uint64(n.st.Index()) >= c.readAt {
		rec, _ := n.st.Record("a")
		s.done(c, regInput{read: true}, regOutput{rev: rec.Revision})
		return
	}
	if s.now < c.deadline && c.reading != nil {
		return
	}
	n := s.nodes[s.r.IntN(len(s.nodes))]
	if !n.up {
		return
	}
	c.try++
	ctx := uint64(c.id)<<32 | uint64(c.try)
	c.reading, c.readAt, c.deadline = n, 0, s.now+60
	n.reads[ctx] = c
	if !n.node.ReadIndex(ctx) {
		c.reading = nil
	}
	// An answer to an earlier round of this client must not count for this one.
	for old, owner := range n.reads {
		if owner == c && old != ctx {
			delete(n.reads, old)
		}
	}
}

// subscribe resets the subscriber's view to a full copy from a random member. The view
// panics if its configuration would go back.
func (s *sim) subscribe() {
	n := s.nodes[s.r.IntN(len(s.nodes))]
	if !n.up || s.r.IntN(4) != 0 {
		return
	}
	var cs []state.Change
	for _, r := range n.st.Records() {
		cs = append(cs, state.Change{Index: r.Revision, Record: &r})
	}
	before := s.view.Config()
	if _, err := s.view.Reset(n.st.Index(), cs); err != nil {
		s.fail("subscriber: %v", err)
	}
	if s.view.Config() < before {
		s.fail("configuration went back from %d to %d", before, s.view.Config())
	}
}
