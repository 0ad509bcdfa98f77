package state

import (
	"fmt"

	"github.com/cassiapass/cassiapass/internal/core/holder"
	"github.com/cassiapass/cassiapass/internal/core/ident"
)

// Deploy puts a whole deployment in force under an operator's version.
type Deploy struct {
	Version uint64 `json:"version"`
	Text    string `json:"text"` // exactly as the operator sent it
}

// Deployment is the deployment with the highest version that was accepted.
// Its text is kept as it was sent and is decoded where it is used, so that an
// operator reads back what was written.
type Deployment struct {
	Version  uint64      `json:"version"`
	Text     string      `json:"text"`
	Revision ident.Index `json:"revision"` // index at which it came into force
}

// Deployment returns the deployment in force; its Version is 0 if there is none.
func (s *State) Deployment() Deployment { return s.deployed }

// deploy takes the highest version. An older one that is sent again was
// overtaken and is acknowledged without effect; the present one is acknowledged
// again if its text is the same. Another text under the same version is
// refused: two operators would otherwise read different content under one
// number.
func (s *State) deploy(by string, c Deploy) Result {
	return s.checkDeploy(c, func() Result {
		before := s.deployed.Revision
		s.deployed = Deployment{Version: c.Version, Text: c.Text, Revision: s.index}
		s.log(AuditEvent{By: by, Action: ActionDeploy, Subject: fmt.Sprintf("version %d", c.Version), Before: before})
		return Result{Code: OK, Revision: s.index}
	})
}

func (s *State) checkDeploy(c Deploy, higher func() Result) Result {
	switch cur := s.deployed; {
	case c.Version > cur.Version:
		return higher()
	case c.Version < cur.Version:
		return Result{Code: OK, Revision: cur.Revision, Resent: true, Message: fmt.Sprintf("overtaken by version %d", cur.Version)}
	case c.Text == cur.Text:
		return Result{Code: OK, Revision: cur.Revision, Resent: true}
	default:
		return Result{Code: Conflict, Revision: cur.Revision, Message: fmt.Sprintf("version %d is in force with other content", cur.Version)}
	}
}

// Holder returns the newest note on who holds the engines.
func (s *State) Holder() holder.Record { return s.holder }

// Deployed tells how a deployment would be answered if it changes nothing: it
// was sent before, was overtaken, or clashes. The bool is false if it is new
// and has to be decided. A resend thus costs no entry of the log.
func (s *State) Deployed(c Deploy) (Result, bool) {
	known := true
	res := s.checkDeploy(c, func() Result {
		known = false
		return Result{}
	})
	return res, known
}
