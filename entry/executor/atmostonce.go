package executor

import (
	"context"
	"errors"

	"github.com/fuchsiaroad/fuchsiaroad/api/callerapi"
	"github.com/fuchsiaroad/fuchsiaroad/entry/ledger"
	kernelledger "github.com/fuchsiaroad/fuchsiaroad/kernel/ledger"
	"github.com/fuchsiaroad/fuchsiaroad/kernel/query"
)

// Ledger claims keys; *ledger.Ledger does it.
type Ledger interface {
	Claim(ctx context.Context, r ledger.Request) (*ledger.Grant, error)
}

// atMostOnce runs a non-idempotent request. With a key, it runs only under a
// confirmed claim, so that a resend at any entry can't run it again. Without
// one, where the service allows that, it runs with one attempt.
func (e *Executor) atMostOnce(ctx context.Context, req *Request) (*Response, error) {
	if req.Key == "" {
		if req.Service.Config.KeyRequired {
			return nil, refuse(RefusedKeyRequired, 0, "this service is not idempotent and wants an Idempotency-Key")
		}
		return e.answered(ctx, req)
	}
	grant, err := e.config.Ledger.Claim(ctx, ledger.Request{
		Caller: req.Caller.Name, Service: req.Service.Config.Name, Key: req.Key,
		Body: req.Body, Deadline: req.Deadline,
	})
	if err != nil {
		return claimFailed(err)
	}
	// A claimant that was paused since the claim must not start stale work.
	if !grant.MayDispatch() {
		grant.Release()
		return nil, refuse(RefusedDeadline, leastRetryAfter, "the deadline passed before the request could start")
	}
	resp, err := e.answered(ctx, req)
	if err != nil {
		grant.Release() // a refusal proves that nothing ran
		return nil, err
	}
	grant.Record(recorded(&resp.Answer))
	return resp, nil
}

// recorded is what the ledger keeps of an answer. A word that the ledger does
// not know is kept as unknown: the request may have run.
func recorded(a *callerapi.Answer) kernelledger.Result {
	outcome, err := kernelledger.ParseOutcome(a.Outcome)
	if err != nil {
		outcome = kernelledger.OutcomeUnknown
	}
	return kernelledger.Result{Outcome: outcome, Version: a.Version, ShareBP: uint16(a.Share * basisPoints)}
}

// basisPoints is the whole, in the ledger's unit of shares.
const basisPoints = 10_000

// claimFailed answers a request whose claim was not granted: it did not run.
func claimFailed(err error) (*Response, error) {
	var held *ledger.HeldError
	var mismatch *ledger.MismatchError
	var unavailable *ledger.UnavailableError
	var bad *ledger.RequestError
	switch {
	case errors.As(err, &held):
		return heldAnswer(held), nil
	case errors.As(err, &mismatch):
		return nil, refuse(RefusedKeyMismatch, 0, mismatch.Error())
	case errors.As(err, &unavailable):
		return nil, refuse(RefusedUnavailable, max(unavailable.RetryAfter, leastRetryAfter), unavailable.Error())
	case errors.As(err, &bad):
		return nil, refuse(RefusedBadClaim, 0, bad.Error())
	default:
		return nil, refuse(RefusedUnavailable, leastRetryAfter, "the claim was not confirmed")
	}
}

// heldAnswer answers a resend from what is known of the earlier request. It is
// never a refusal: the request with this key ran or may have run.
func heldAnswer(held *ledger.HeldError) *Response {
	answer := callerapi.Answer{
		Request: newToken(), Replayed: true, RetryAfterMS: held.RetryAfter.Milliseconds(),
		Covered: []callerapi.Part{}, Missing: []callerapi.MissingPart{}, Results: []callerapi.Result{},
	}
	switch held.State {
	case ledger.StateRecorded:
		answer.Outcome = held.Result.Outcome.String()
		answer.Version = held.Result.Version
		answer.Share = float64(held.Result.ShareBP) / basisPoints
		answer.Reason = "recorded outcome of the first request with this key"
	case ledger.StateRunning:
		answer.Outcome = string(query.Unknown)
		answer.Reason = "the first request with this key is still running"
		answer.RetryAfterMS = max(answer.RetryAfterMS, leastRetryAfter.Milliseconds())
	default:
		answer.Outcome = string(query.Unknown)
		answer.Reason = "the first request with this key may have run"
	}
	return &Response{Answer: answer}
}
