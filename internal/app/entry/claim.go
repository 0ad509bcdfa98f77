package entry

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"net/http"
	"time"

	"github.com/labstack/echo/v4"

	"github.com/cassiapass/cassiapass/internal/core/state"
	"github.com/cassiapass/cassiapass/internal/wire"
)

const (
	claimTimeout   = 2 * time.Second
	claimInterval  = 200 * time.Millisecond
	maxSettleTries = 10
)

// serveKeyed runs a request under its idempotency key. The key is claimed
// through the log before the request runs, so that of all requests with the
// same key, at any entry, one runs and the others receive its answer.
func (e *Entry) serveKeyed(ctx context.Context, c echo.Context, j *job, key string) *refusal {
	if len(key) > maxKeyBytes {
		return badRequest("", HeaderKey+" is longer than 255 bytes")
	}
	j.claim = &state.ClaimKey{Customer: j.customer.Name, Service: j.service, Key: key}
	open := &state.OpenClaim{Key: *j.claim, Digest: requestDigest(j), Request: j.id, Within: time.Until(j.endBy)}
	for {
		res, err := e.claim(ctx, wire.ClaimParams{Open: open})
		if err != nil {
			// Without a quorum it is not known whether the key is claimed. The
			// claim may have been committed nevertheless, so it is released.
			go e.settle(j, &state.SettleClaim{Key: *j.claim, Request: j.id, NotRun: true})
			return notRun("claim_unavailable", "the idempotency key could not be claimed: "+err.Error(), 2*time.Second)
		}
		switch res.Code {
		case state.OK:
			return e.runClaimed(ctx, j)
		case state.InProgress:
			ref, retry := e.awaitClaim(ctx, c, j, res.Claim)
			if !retry {
				return ref
			}
		case state.DigestMismatch:
			return &refusal{outcome: NotRun, status: http.StatusUnprocessableEntity, kind: kindRequest, code: "idempotency_key_reused", message: res.Message}
		default:
			return notRun("claim_refused", res.Message, 0)
		}
	}
}

// requestDigest returns a hash that distinguishes different requests with the
// same key.
func requestDigest(j *job) string {
	h := sha256.New()
	h.Write([]byte(j.method + "\x00" + j.path + "\x00" + j.target.String() + "\x00" + j.plain + "\x00"))
	h.Write(j.body)
	return hex.EncodeToString(h.Sum(nil))
}

func (e *Entry) claim(ctx context.Context, p wire.ClaimParams) (state.Result, error) {
	ctx, cancel := context.WithTimeout(ctx, claimTimeout)
	defer cancel()
	begin := time.Now()
	var res state.Result
	err := e.follower.Call(ctx, wire.MethodClaim, p, &res)
	e.met.claimSeconds.UpdateDuration(begin)
	return res, err
}

// runClaimed runs the request that holds the key. The agent settles the claim of
// an answered request; a claim that ends as not run or unknown is settled here.
func (e *Entry) runClaimed(ctx context.Context, j *job) *refusal {
	ref := e.run(ctx, j)
	switch {
	case ref == nil:
	case ref.outcome == NotRun:
		e.settle(j, &state.SettleClaim{Key: *j.claim, Request: j.id, NotRun: true})
	case ref.code != "caller_left":
		e.settle(j, &state.SettleClaim{Key: *j.claim, Request: j.id, Unknown: true})
	}
	return ref
}

// settle ends a claim. If control cannot be reached for long, the claim becomes
// unknown when its own deadline passes.
func (e *Entry) settle(j *job, s *state.SettleClaim) {
	ctx, cancel := context.WithTimeout(context.Background(), claimTimeout)
	defer cancel()
	for range maxSettleTries {
		if _, err := e.claim(ctx, wire.ClaimParams{Settle: s}); err == nil || ctx.Err() != nil {
			return
		}
		pause(ctx, claimInterval)
	}
}

// awaitClaim answers a request whose key another request holds: with the
// recorded outcome, or with a refusal when the run in progress does not end
// before the request's deadline. retry reports that the claim must be tried
// again.
func (e *Entry) awaitClaim(ctx context.Context, c echo.Context, j *job, cl *state.Claim) (ref *refusal, retry bool) {
	switch cl.Phase {
	case state.ClaimAnswered:
		return replay(c, cl.Answer), false
	case state.ClaimUnknown:
		return unknown("outcome_unknown", "the request under this key may have run"), false
	}
	if time.Now().Add(claimInterval).After(j.startBy) {
		return &refusal{outcome: NotRun, status: http.StatusConflict, kind: kindRequest, code: "in_progress", message: "a request under this key is in progress", retryAfter: time.Second}, false
	}
	pause(ctx, claimInterval)
	if ctx.Err() != nil {
		return e.contextRefusal(ctx), false
	}
	return nil, true
}

// replay sends a recorded answer.
func replay(c echo.Context, a *state.Answer) *refusal {
	h := c.Response().Header()
	h.Set(HeaderReplayed, "true")
	if a.TooLarge {
		return &refusal{outcome: Answered, status: http.StatusConflict, kind: kindRequest, code: "answer_not_kept", message: "the request under this key was answered; its answer was too large to keep"}
	}
	h.Set(HeaderOutcome, string(Answered))
	if err := c.Blob(a.Status, a.ContentType, a.Body); err != nil {
		return unknown("caller_left", "the caller does not take the answer")
	}
	return nil
}
