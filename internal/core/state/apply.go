package state

import (
	"encoding/json"
	"fmt"

	"github.com/cespare/xxhash/v2"

	"github.com/cassiapass/cassiapass/internal/core/ident"
	"github.com/cassiapass/cassiapass/internal/core/record"
)

// Apply carries out the command at the given log index and returns its result
// and the changes that subscribers have to learn of.
func (s *State) Apply(index ident.Index, c Command) (Result, []Change) {
	invariant(index > s.index, "command %d after %d", index, s.index)
	s.index = index
	// A new leader's clock may be behind; time in the state never goes back.
	if c.Time.After(s.now) {
		s.now = c.Time
	}
	s.changes = nil
	res := s.dispatch(c)
	res.Index = index
	return res, s.changes
}

// Skip records that the entry at index held no command.
func (s *State) Skip(index ident.Index) {
	invariant(index > s.index, "entry %d after %d", index, s.index)
	s.index = index
}

func (s *State) dispatch(c Command) Result {
	switch {
	case c.Submit != nil:
		return s.once(c.Submit.Request, c.Submit, func() (Result, string) { return s.submit(c.By, *c.Submit) })
	case c.Withdraw != nil:
		return s.once(c.Withdraw.Request, c.Withdraw, func() (Result, string) { return s.withdraw(c.By, *c.Withdraw) })
	case c.Endpoint != nil:
		return s.setEndpoint(c.By, *c.Endpoint)
	case c.Forget != nil:
		return s.forget(c.By, *c.Forget)
	case c.Grant != nil:
		return s.grant(c.By, *c.Grant)
	case c.Replica != nil:
		return s.setReplica(c.By, *c.Replica)
	case c.Open != nil:
		return s.openClaim(*c.Open)
	case c.Settle != nil:
		return s.settle(*c.Settle)
	case c.Expire != nil:
		return s.expire()
	case c.History != nil:
		s.history.Add(c.History.Samples)
		return Result{Code: OK}
	case c.Deploy != nil:
		return s.deploy(c.By, *c.Deploy)
	case c.Holder != nil:
		s.holder = s.holder.Next(*c.Holder)
		return Result{Code: OK}
	case c.Poison != nil:
		return s.notePoison(c.By, *c.Poison)
	}
	return Result{Code: Invalid, Message: "the command is empty"}
}

// once carries out an operator request, or returns its first answer if it was
// carried out before. An operator who lost the answer resends; without the
// stored answer the resend would meet its own change and report a conflict.
func (s *State) once(request string, body any, f func() (Result, string)) Result {
	if request == "" {
		return Result{Code: Invalid, Message: "the operator request id is missing"}
	}
	raw, err := json.Marshal(body)
	invariant(err == nil, "request cannot be encoded: %v", err)
	digest := xxhash.Sum64(raw)
	if first, ok := s.results[request]; ok {
		return s.resend(first, digest)
	}
	res, name := f()
	s.results[request] = storedResult{Code: res.Code, Index: s.index, Revision: res.Revision, Message: res.Message, Name: name, Digest: digest}
	return res
}

func (s *State) resend(first storedResult, digest uint64) Result {
	if first.Digest != digest {
		return Result{Code: Invalid, Message: fmt.Sprintf("this operator request id was used at index %d for another request", first.Index)}
	}
	res := Result{Code: first.Code, Revision: first.Revision, Message: first.Message, Resent: true}
	if r, ok := s.records[first.Name]; ok && first.Code == Conflict {
		res.Present = &r
	}
	return res
}

func (s *State) submit(by string, c Submit) (Result, string) {
	svc, err := record.Parse(c.Raw)
	if err != nil {
		return Result{Code: Invalid, Message: err.Error()}, ""
	}
	old, exists := s.records[svc.Name]
	live := exists && !old.Withdrawn
	if res, bad := s.conflict(old, live, c.Base); bad {
		return res, svc.Name
	}
	if msg := s.foreignKeys(svc); msg != "" {
		return Result{Code: Invalid, Message: msg}, ""
	}
	action := ActionSubmit
	if live {
		action = ActionRevise
	}
	r := Record{Name: svc.Name, Revision: s.index, Raw: c.Raw, service: svc}
	s.putRecord(r)
	s.log(AuditEvent{By: by, Action: action, Subject: r.Name, Reason: c.Reason, Before: old.Revision, Content: c.Raw})
	return Result{Code: OK, Revision: r.Revision}, r.Name
}

func (s *State) withdraw(by string, c Withdraw) (Result, string) {
	old, exists := s.records[c.Name]
	if !exists || old.Withdrawn {
		return Result{Code: NotFound, Message: fmt.Sprintf("no record %q is in force", c.Name)}, c.Name
	}
	if res, bad := s.conflict(old, true, c.Base); bad {
		return res, c.Name
	}
	r := Record{Name: c.Name, Revision: s.index, Raw: old.Raw, Withdrawn: true}
	s.putRecord(r)
	s.log(AuditEvent{By: by, Action: ActionWithdraw, Subject: c.Name, Reason: c.Reason, Before: old.Revision})
	return Result{Code: OK, Revision: r.Revision}, c.Name
}

// conflict compares the base revision with the one in force. Of two operators
// who hold equal numbers the first committed one wins here.
func (s *State) conflict(old Record, live bool, base ident.Index) (Result, bool) {
	if live && old.Revision == base {
		return Result{}, false
	}
	if !live && base == 0 {
		return Result{}, false
	}
	if !live {
		return Result{Code: Conflict, Message: fmt.Sprintf("based on revision %d, but no such record is in force", base)}, true
	}
	return Result{
		Code: Conflict, Revision: old.Revision, Present: &old,
		Message: fmt.Sprintf("based on revision %d, but revision %d is in force", base, old.Revision),
	}, true
}

// foreignKeys refuses key digests that another service's customer of another
// name uses: a caller's key must lead to one customer.
func (s *State) foreignKeys(svc *record.Service) string {
	for _, r := range s.Records() {
		if r.Name == svc.Name || r.service == nil {
			continue
		}
		for i, cu := range svc.Customers {
			for j, d := range cu.KeyDigests {
				other, ok := r.service.CustomerByKey(d)
				if ok && other.Name != cu.Name {
					return fmt.Sprintf("customers[%d].keyDigests[%d]: belongs to customer %q of service %q", i, j, other.Name, r.Name)
				}
			}
		}
	}
	return ""
}

func (s *State) putRecord(r Record) {
	s.records[r.Name] = r
	s.config = s.index
	s.restate()
	s.changes = append(s.changes, Change{Index: s.index, Record: &r})
}

// log appends to the audit trail and drops the oldest events beyond the bound.
func (s *State) log(e AuditEvent) {
	e.Index, e.Time = s.index, s.now
	s.audit = append(s.audit, e)
	if len(s.audit) > MaxAudit+MaxAudit/8 {
		s.audit = append([]AuditEvent(nil), s.audit[len(s.audit)-MaxAudit:]...)
	}
}
