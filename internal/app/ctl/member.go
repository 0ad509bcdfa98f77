package ctl

import (
	"errors"
	"fmt"
	"net/http"
	"time"

	"github.com/cassiapass/cassiapass/internal/core/consensus"
	"github.com/cassiapass/cassiapass/internal/wire"
)

type memberCmd struct {
	cli      *cli
	Addr     string `long:"address" description:"address for the system's own processes, to add a host"`
	Promote  bool   `long:"promote" description:"make it a voter"`
	Remove   bool   `long:"remove" description:"remove it"`
	Transfer bool   `long:"transfer" description:"hand leadership to it"`
	Args     struct {
		Node uint64 `positional-arg-name:"NODE" description:"identity, as the host's log and status print it"`
	} `positional-args:"yes" required:"yes"`
}

// Execute implements flags.Commander.
func (x *memberCmd) Execute([]string) error {
	id := consensus.NodeID(x.Args.Node)
	p := wire.MemberParams{Member: consensus.Member{ID: id, Addr: x.Addr, Voter: x.Promote}, Remove: x.Remove, Transfer: x.Transfer}
	if x.Promote && x.Addr == "" {
		addr, err := x.address(id)
		if err != nil {
			return err
		}
		p.Member.Addr = addr
	}
	if !x.Remove && !x.Transfer && p.Member.Addr == "" {
		return fail(ExitUsage, "--address is required to add a host")
	}
	res, err := x.change(p)
	if err != nil {
		return err
	}
	return x.cli.print(res, func() { fmt.Fprintln(x.cli.out, "done") })
}

const changeRetryInterval = 200 * time.Millisecond

// change requests a membership change. It retries while the member that was added last is
// still catching up, which takes a second or two and needs no operator.
func (x *memberCmd) change(p wire.MemberParams) (wire.MemberResult, error) {
	var res wire.MemberResult
	deadline := time.Now().Add(x.cli.opts.Timeout)
	for {
		err := x.cli.call(http.MethodPost, "/v1/members", p, &res)
		var f *failure
		if !errors.As(err, &f) || !f.retryable || time.Now().Add(changeRetryInterval).After(deadline) {
			return res, err
		}
		time.Sleep(changeRetryInterval)
	}
}

// address returns the address of an existing member.
func (x *memberCmd) address(id consensus.NodeID) (string, error) {
	var s wire.ControlStatus
	if err := x.cli.call(http.MethodGet, "/v1/status", nil, &s); err != nil {
		return "", err
	}
	m, ok := s.Node.Membership.Find(id)
	if !ok {
		return "", fail(ExitNotFound, "no member %d; add it with --address first", id)
	}
	return m.Addr, nil
}
