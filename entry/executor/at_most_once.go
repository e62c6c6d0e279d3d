package executor

import (
	"context"
	"errors"

	"github.com/fuchsiaroad/fuchsiaroad/api/callerapi"
	"github.com/fuchsiaroad/fuchsiaroad/entry/ledger"
	kernelledger "github.com/fuchsiaroad/fuchsiaroad/kernel/ledger"
	"github.com/fuchsiaroad/fuchsiaroad/kernel/query"
)

// Ledger claims idempotency keys; *ledger.Ledger implements it.
type Ledger interface {
	Claim(ctx context.Context, r ledger.Request) (*ledger.Grant, error)
}

// executeAtMostOnce runs a non-idempotent request. With a key, the request runs only under
// a confirmed claim, so that a resend at any instance can't run it again. Without a key,
// if the service allows that, it runs with one attempt.
func (e *Executor) executeAtMostOnce(ctx context.Context, req *Request) (*Response, error) {
	if req.Key == "" {
		if req.Service.Config.KeyRequired {
			return nil, refuse(RefusedKeyRequired, 0, "this service is not idempotent and wants an Idempotency-Key")
		}
		return e.fanOutAndConvert(ctx, req)
	}
	grant, err := e.config.Ledger.Claim(ctx, ledger.Request{
		Caller: req.Caller.Name, Service: req.Service.Config.Name, Key: req.Key,
		Body: req.Body, Deadline: req.Deadline,
	})
	if err != nil {
		return convertClaimError(err)
	}
	// An instance that was paused since the claim must not start work past the deadline.
	if !grant.MayDispatch() {
		grant.Release()
		return nil, refuse(RefusedDeadline, minRetryAfter, "the deadline passed before the request could start")
	}
	resp, err := e.fanOutAndConvert(ctx, req)
	if err != nil {
		grant.Release() // a refusal proves that nothing ran
		return nil, err
	}
	grant.Record(ledgerResult(&resp.Answer))
	return resp, nil
}

// ledgerResult returns the part of an answer that the ledger stores. An outcome that the
// ledger doesn't know is stored as unknown: the request may have run.
func ledgerResult(a *callerapi.Answer) kernelledger.Result {
	outcome, err := kernelledger.ParseOutcome(a.Outcome)
	if err != nil {
		outcome = kernelledger.OutcomeUnknown
	}
	return kernelledger.Result{Outcome: outcome, Version: a.Version, ShareBP: uint16(a.Share * basisPoints)}
}

// basisPoints is a share of 1 in the ledger's unit, basis points.
const basisPoints = 10_000

// convertClaimError converts the error of a claim that was not granted to the answer or
// refusal of the request. The request was not run under this claim.
func convertClaimError(err error) (*Response, error) {
	var held *ledger.HeldError
	var mismatch *ledger.MismatchError
	var unavailable *ledger.UnavailableError
	var bad *ledger.RequestError
	switch {
	case errors.As(err, &held):
		return resendResponse(held), nil
	case errors.As(err, &mismatch):
		return nil, refuse(RefusedKeyMismatch, 0, mismatch.Error())
	case errors.As(err, &unavailable):
		return nil, refuse(RefusedUnavailable, max(unavailable.RetryAfter, minRetryAfter), unavailable.Error())
	case errors.As(err, &bad):
		return nil, refuse(RefusedBadClaim, 0, bad.Error())
	default:
		return nil, refuse(RefusedUnavailable, minRetryAfter, "the claim was not confirmed")
	}
}

// resendResponse answers a resend from what is known of the earlier request. It is
// never a refusal: the request with this key ran or may have run.
func resendResponse(held *ledger.HeldError) *Response {
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
		answer.RetryAfterMS = max(answer.RetryAfterMS, minRetryAfter.Milliseconds())
	default:
		answer.Outcome = string(query.Unknown)
		answer.Reason = "the first request with this key may have run"
	}
	return &Response{Answer: answer}
}
