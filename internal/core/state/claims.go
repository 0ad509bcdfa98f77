package state

import (
	"fmt"
	"time"
)

// openClaim claims an idempotency key. Exactly one request holds a key from
// here until it is settled, through whichever entry it came.
func (s *State) openClaim(c OpenClaim) Result {
	old, ok := s.claims[c.Key]
	if ok && old.Digest != c.Digest {
		return Result{Code: DigestDiffer, Message: "the idempotency key was used with another request"}
	}
	if ok && old.Request == c.Request {
		return Result{Code: OK, Claim: &old} // the entry asked again after losing the answer
	}
	if ok {
		return Result{Code: InProgress, Claim: &old}
	}
	if len(s.claims) >= MaxClaims {
		return Result{Code: Full, Message: fmt.Sprintf("%d idempotency keys are held", len(s.claims))}
	}
	deadline := s.now.Add(c.Within)
	claim := Claim{Key: c.Key, Digest: c.Digest, Request: c.Request, Phase: ClaimOpen, Deadline: deadline, Expires: deadline.Add(ClaimRetention)}
	s.putClaim(claim)
	return Result{Code: OK, Claim: &claim}
}

// settle ends an open claim. Only the request that opened it may do so: a late
// message about an earlier request under the same key changes nothing.
func (s *State) settle(c SettleClaim) Result {
	old, ok := s.claims[c.Key]
	if !ok || old.Request != c.Request {
		return Result{Code: Stale, Message: "the key is not held by this request"}
	}
	if old.Phase == ClaimAnswered || (old.Phase == ClaimUnknown && c.NotRun) {
		return Result{Code: Stale, Claim: &old, Message: "the claim is settled"}
	}
	if c.NotRun {
		delete(s.claims, c.Key)
		delete(s.open, c.Key)
		return Result{Code: OK}
	}
	old.Phase, old.Answer = ClaimAnswered, c.Answer
	if c.Unknown {
		old.Phase, old.Answer = ClaimUnknown, nil
	}
	old.Expires = s.now.Add(ClaimRetention)
	s.putClaim(old)
	return Result{Code: OK, Claim: &old}
}

func (s *State) putClaim(c Claim) {
	s.claims[c.Key] = c
	m := c.Expires.Unix()/60 + 1
	s.expiry[m] = append(s.expiry[m], c.Key)
	if c.Phase == ClaimOpen {
		s.open[c.Key] = struct{}{}
		return
	}
	delete(s.open, c.Key)
}

// expire turns open claims whose request cannot be running any more into
// unknown ones and drops claims past their retention. Buckets by minute keep
// the cost proportional to what expires.
func (s *State) expire() Result {
	for k := range s.open {
		c := s.claims[k]
		if s.now.After(c.Deadline.Add(ClaimGrace)) {
			c.Phase = ClaimUnknown
			s.putClaim(c)
		}
	}
	for m, keys := range s.expiry {
		if time.Unix(m*60, 0).After(s.now) {
			continue
		}
		for _, k := range keys {
			if c, ok := s.claims[k]; ok && !c.Expires.After(s.now) {
				delete(s.claims, k)
				delete(s.open, k)
			}
		}
		delete(s.expiry, m)
	}
	s.lapsePoison()
	return Result{Code: OK}
}
