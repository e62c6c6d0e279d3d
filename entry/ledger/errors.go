package ledger

import (
	"errors"
	"fmt"
	"time"

	"github.com/fuchsiaroad/fuchsiaroad/kernel/ledger"
)

// HeldError says that the key was claimed by an earlier request: this one must
// not run. State tells what is known of the earlier one.
type HeldError struct {
	State State
	// Result is the recorded result when State is StateRecorded.
	Result ledger.Result
	// RetryAfter says when asking again may tell more; 0 when it won't.
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

// MismatchError says that the key was used before with another body (422).
type MismatchError struct{}

// Error implements error.
func (*MismatchError) Error() string { return "idempotency key already used with another body" }

// UnavailableError says that the ledger can't take the claim now. The request
// did not run and must not: answer not_run.
type UnavailableError struct {
	Reason ledger.Reason
	// RetryAfter says when to come back.
	RetryAfter time.Duration
}

// Error implements error.
func (e *UnavailableError) Error() string {
	return fmt.Sprintf("ledger can't take the claim: %s", e.Reason)
}

// RequestError names a field of a request that the ledger can't work with.
type RequestError struct{ Field, Reason string }

// Error implements error.
func (e *RequestError) Error() string { return fmt.Sprintf("claim %s: %s", e.Field, e.Reason) }

// FlushError says that the store did not take all results and releases in time.
type FlushError struct {
	// Unsaved is how many it lacks, or -1 when the ledger has stopped.
	Unsaved int
}

// Error implements error.
func (e *FlushError) Error() string {
	if e.Unsaved < 0 {
		return "ledger stopped before it was flushed"
	}
	return fmt.Sprintf("ledger has %d unsaved results and releases", e.Unsaved)
}

// LayoutError says that the store's ledger has another number of buckets than
// this entry: it must not take claims, as it would look for keys elsewhere.
type LayoutError struct{ Stored, Configured int }

// Error implements error.
func (e *LayoutError) Error() string {
	return fmt.Sprintf("ledger has %d buckets in the store, %d in the settings", e.Stored, e.Configured)
}

// resultName is the meter's word for the end of a claim.
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
