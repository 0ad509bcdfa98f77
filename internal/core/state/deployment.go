package state

import (
	"fmt"

	"github.com/cassiapass/cassiapass/internal/core/holder"
	"github.com/cassiapass/cassiapass/internal/core/ident"
	"github.com/cassiapass/cassiapass/internal/core/release"
)

// Deploy replaces the whole deployment under a version chosen by the operator.
type Deploy struct {
	Version uint64 `json:"version"`
	Text    string `json:"text"` // exactly as the operator sent it
}

// Deployment is the accepted deployment with the highest version. Its text is kept
// verbatim and decoded where it is used, so that an operator reads back exactly what
// was written.
type Deployment struct {
	Version  uint64      `json:"version"`
	Text     string      `json:"text"`
	Revision ident.Index `json:"revision"` // log index at which it came into force
}

// Deployment returns the deployment in force; its Version is 0 if there is none.
func (s *State) Deployment() Deployment { return s.deployed }

// deploy accepts a deployment with a higher version than the one in force. A lower
// version is superseded and acknowledged without effect; the same version is
// acknowledged again if its text is the same. Another text under the same version is
// refused: operators would otherwise see different content under one version.
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

// Releases returns which releases of endpoints have served lately, and at which of them streams may
// begin, as the leader noted them. The caller must not modify them.
func (s *State) Releases() (served, settled release.Served) { return s.releases, s.settled }

// FindStream returns the release that began a stream, if the log names it.
func (s *State) FindStream(id release.StreamID) (release.Name, bool) { return s.streams.Lookup(id) }

// Streams returns a copy of what the log says of begun streams.
func (s *State) Streams() release.Origins { return s.streams.Clone() }

// Holder returns the newest record of the host that holds the engines.
func (s *State) Holder() holder.Record { return s.holder }

// CheckDeploy returns the answer to a deployment that would change nothing because it was
// sent before, is superseded or conflicts. It returns false if the deployment is new
// and has to be committed. A repeated deployment therefore needs no log entry.
func (s *State) CheckDeploy(c Deploy) (Result, bool) {
	known := true
	res := s.checkDeploy(c, func() Result {
		known = false
		return Result{}
	})
	return res, known
}
