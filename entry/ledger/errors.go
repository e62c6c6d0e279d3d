package ledger

import (
	"errors"
	"fmt"
	"time"

	"github.com/fuchsiaroad/fuchsiaroad/kernel/ledger"
)

// HeldError says that an earlier request claimed the key, so that this one must
// not run. State is what the ledger knows of the earlier request.
type HeldError struct {
	State State
	// Result is the recorded result when State is StateRecorded.
	Result ledger.Result
	// RetryAfter is the time after which a resend may get a different answer; 0
	// when the answer is final.
	RetryAfter time.Duration
}

// State is what the ledger knows of an earlier request with the same key.
type State = ledger.State

// The states of an earlier request.
const (
	StateRunning  = ledger.StateRunning
	StateRecorded = ledger.StateRecorded
	StateUnknown  = ledger.StateUnknown
)

// Error implements error.
func (e *HeldError) Error() string {
	if e.State == StateRecorded {
		return fmt.Sprintf("idempotency key already used: outcome %s", e.Result.Outcome)
	}
	return fmt.Sprintf("idempotency key already used: %s", e.State)
}

// MismatchError says that the key was used before with another body. It is
// answered with HTTP status 422.
type MismatchError struct{}

// Error implements error.
func (*MismatchError) Error() string { return "idempotency key already used with another body" }

// UnavailableError says that the ledger can't take the claim at present. The
// request has not run and must not run: its caller is answered not_run.
type UnavailableError struct {
	Reason ledger.Reason
	// RetryAfter is the time after which the caller may retry.
	RetryAfter time.Duration
}

// Error implements error.
func (e *UnavailableError) Error() string {
	return fmt.Sprintf("ledger can't take the claim: %s", e.Reason)
}

// RequestError names an invalid field of a request and the reason.
type RequestError struct{ Field, Reason string }

// Error implements error.
func (e *RequestError) Error() string { return fmt.Sprintf("claim %s: %s", e.Field, e.Reason) }

// FlushError says that not all results and releases were stored in time.
type FlushError struct {
	// Unsaved is the number not stored, or -1 when the ledger has stopped.
	Unsaved int
}

// Error implements error.
func (e *FlushError) Error() string {
	if e.Unsaved < 0 {
		return "ledger stopped before it was flushed"
	}
	return fmt.Sprintf("ledger has %d unsaved results and releases", e.Unsaved)
}

// LayoutError says that the ledger in the store has another number of buckets
// than this instance is configured with. The instance must not take claims, as it
// would look for keys in the wrong buckets.
type LayoutError struct{ Stored, Configured int }

// Error implements error.
func (e *LayoutError) Error() string {
	return fmt.Sprintf("ledger has %d buckets in the store, %d in the settings", e.Stored, e.Configured)
}

// resultName returns the name under which the meter counts the answer to a claim.
func resultName(err error) string {
	var held *HeldError
	var mismatch *MismatchError
	switch {
	case err == nil:
		return "granted"
	case errors.As(err, &held):
		return string(held.State)
	case errors.As(err, &mismatch):
		return "mismatch"
	default:
		return "unavailable"
	}
}
