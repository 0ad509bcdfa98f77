package state

import (
	"fmt"
	"time"
)

// openClaim claims an idempotency key. One request holds the key, across all entries,
// until it is released as not run or its claim expires; other requests get InProgress
// with that claim.
func (s *State) openClaim(c OpenClaim) Result {
	old, ok := s.claims[c.Key]
	if ok && old.Digest != c.Digest {
		return Result{Code: DigestMismatch, Message: "the idempotency key was used with another request"}
	}
	if ok && old.Request == c.Request {
		return Result{Code: OK, Claim: &old} // the entry lost the answer and retries
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

// settle records the outcome of an open claim, or a late answer to an unknown one. Only
// the request that opened the claim may settle it: a late message of an earlier request
// under the same key has no effect.
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

// expire marks open claims as unknown when their request can no longer be running,
// drops claims past their retention and ends expired quarantines. Claims are bucketed
// by minute, so that the cost is proportional to the claims that expire.
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
	s.expireQuarantines()
	return Result{Code: OK}
}
