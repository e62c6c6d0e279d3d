package ledger

import (
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
