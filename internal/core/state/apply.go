package state

import (
	"encoding/json"
	"fmt"

	"github.com/cespare/xxhash/v2"

	"github.com/cassiapass/cassiapass/internal/core/ident"
	"github.com/cassiapass/cassiapass/internal/core/record"
)

// Apply executes the command at the given log index and returns its result and the
// changes to publish to subscribers. Indexes must increase.
func (s *State) Apply(index ident.Index, c Command) (Result, []Change) {
	invariant(index > s.index, "command %d after %d", index, s.index)
	s.index = index
	// A new leader's clock may be behind; time in the state never decreases.
	if c.Time.After(s.now) {
		s.now = c.Time
	}
	s.changes = nil
	s.streams.Rotate(s.now)
	res := s.dispatch(c)
	res.Index = index
	return res, s.changes
}

// Skip advances the state past a log entry that holds no command.
func (s *State) Skip(index ident.Index) {
	invariant(index > s.index, "entry %d after %d", index, s.index)
	s.index = index
}

func (s *State) dispatch(c Command) Result {
	switch {
	case c.Submit != nil:
		return s.applyOnce(c.Submit.Request, c.Submit, func() (Result, string) { return s.submit(c.By, *c.Submit) })
	case c.Withdraw != nil:
		return s.applyOnce(c.Withdraw.Request, c.Withdraw, func() (Result, string) { return s.withdraw(c.By, *c.Withdraw) })
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
	case c.Releases != nil:
		s.releases, s.settled = *c.Releases, *c.Releases
		if c.Settled != nil {
			s.settled = *c.Settled
		}
		return Result{Code: OK}
	case c.Poison != nil:
		return s.applyPoison(c.By, *c.Poison)
	case c.Streams != nil:
		s.streams.Record(s.now, c.Streams)
		return Result{Code: OK}
	}
	return Result{Code: Invalid, Message: "the command is empty"}
}

// applyOnce executes an operator request with f, or returns the stored answer if the
// request was executed before. An operator who did not receive the answer sends the
// request again; without the stored answer it would conflict with its own change.
func (s *State) applyOnce(request string, body any, f func() (Result, string)) Result {
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
		res.Current = &r
	}
	return res
}

func (s *State) submit(by string, c Submit) (Result, string) {
	svc, err := record.Parse(c.Raw)
	if err != nil {
		return Result{Code: Invalid, Message: err.Error()}, ""
	}
	old, exists := s.records[svc.Name]
	inForce := exists && !old.Withdrawn
	if res, bad := s.conflict(old, inForce, c.Base); bad {
		return res, svc.Name
	}
	if msg := s.keyConflict(svc); msg != "" {
		return Result{Code: Invalid, Message: msg}, ""
	}
	action := ActionSubmit
	if inForce {
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

// conflict reports whether base differs from the revision in force, and the result to
// answer then. If two operators submit changes on the same base, the first one to be
// committed is applied.
func (s *State) conflict(old Record, inForce bool, base ident.Index) (Result, bool) {
	if inForce && old.Revision == base {
		return Result{}, false
	}
	if !inForce && base == 0 {
		return Result{}, false
	}
	if !inForce {
		return Result{Code: Conflict, Message: fmt.Sprintf("based on revision %d, but no such record is in force", base)}, true
	}
	return Result{
		Code: Conflict, Revision: old.Revision, Current: &old,
		Message: fmt.Sprintf("based on revision %d, but revision %d is in force", base, old.Revision),
	}, true
}

// keyConflict returns the reason to reject svc if it uses a key digest that another
// service uses for a different customer, else "". An API key must identify exactly
// one customer.
func (s *State) keyConflict(svc *record.Service) string {
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
	s.recomputeRequirements()
	s.changes = append(s.changes, Change{Index: s.index, Record: &r})
}

// log appends to the audit trail and drops the oldest events beyond MaxAudit. They
// are dropped in batches of an eighth of it.
func (s *State) log(e AuditEvent) {
	e.Index, e.Time = s.index, s.now
	s.audit = append(s.audit, e)
	if len(s.audit) > MaxAudit+MaxAudit/8 {
		s.audit = append([]AuditEvent(nil), s.audit[len(s.audit)-MaxAudit:]...)
	}
}
