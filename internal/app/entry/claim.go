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
	claimTimeout = 2 * time.Second
	claimPoll    = 200 * time.Millisecond
	settleTries  = 10
)

// serveKeyed runs a request under its idempotency key. The key is claimed
// through the log before anything runs, so that of all requests under it,
// through whichever entry, one runs and the others get its answer.
func (e *Entry) serveKeyed(ctx context.Context, c echo.Context, j *job, key string) *refusal {
	if len(key) > maxKey {
		return badRequest("", HeaderKey+" is longer than 255 bytes")
	}
	j.claim = &state.ClaimKey{Customer: j.customer.Name, Service: j.service, Key: key}
	open := &state.OpenClaim{Key: *j.claim, Digest: requestDigest(j), Request: j.id, Within: time.Until(j.endBy)}
	for {
		res, err := e.claim(ctx, wire.ClaimParams{Open: open})
		if err != nil {
			// Without a quorum nobody can know whether the key is taken. The
			// claim may have been made all the same: release it.
			go e.settle(j, &state.SettleClaim{Key: *j.claim, Request: j.id, NotRun: true})
			return notRun("claim_unavailable", "the idempotency key could not be claimed: "+err.Error(), 2*time.Second)
		}
		switch res.Code {
		case state.OK:
			return e.runClaimed(ctx, j)
		case state.InProgress:
			ref, again := e.attachTo(ctx, c, j, res.Claim)
			if !again {
				return ref
			}
		case state.DigestDiffer:
			return &refusal{outcome: NotRun, status: http.StatusUnprocessableEntity, kind: kindRequest, code: "idempotency_key_reused", message: res.Message}
		default:
			return notRun("claim_refused", res.Message, 0)
		}
	}
}

// requestDigest tells two requests under one key apart.
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

// runClaimed runs the request that holds the key. The agent settles an answered
// claim; what did not run or cannot be told is settled here.
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
// unknown by its own deadline.
func (e *Entry) settle(j *job, s *state.SettleClaim) {
	ctx, cancel := context.WithTimeout(context.Background(), claimTimeout)
	defer cancel()
	for range settleTries {
		if _, err := e.claim(ctx, wire.ClaimParams{Settle: s}); err == nil || ctx.Err() != nil {
			return
		}
		pause(ctx, claimPoll)
	}
}

// attachTo answers a request whose key another one holds: with the recorded
// outcome, or after waiting for the run in progress. again tells that the claim
// is to be tried anew.
func (e *Entry) attachTo(ctx context.Context, c echo.Context, j *job, cl *state.Claim) (ref *refusal, again bool) {
	switch cl.Phase {
	case state.ClaimAnswered:
		return replay(c, cl.Answer), false
	case state.ClaimUnknown:
		return unknown("outcome_unknown", "the request under this key may have run"), false
	}
	if time.Now().Add(claimPoll).After(j.startBy) {
		return &refusal{outcome: NotRun, status: http.StatusConflict, kind: kindRequest, code: "in_progress", message: "a request under this key is in progress", retryAfter: time.Second}, false
	}
	pause(ctx, claimPoll)
	if ctx.Err() != nil {
		return e.left(ctx), false
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
