package executor

import (
	"fmt"
	"time"

	"github.com/fuchsiaroad/fuchsiaroad/kernel/query"
)

// RefusedReason is the reason why a request was not run.
type RefusedReason string

// The reasons of a refusal.
const (
	RefusedOverloaded  RefusedReason = "overloaded"   // no capacity: retry later
	RefusedDeadline    RefusedReason = "deadline"     // it could not finish in time
	RefusedUnavailable RefusedReason = "unavailable"  // no leaf is available, or the store for claims isn't
	RefusedDraining    RefusedReason = "draining"     // this instance is stopping
	RefusedQuarantined RefusedReason = "quarantined"  // the request has crashed leaves
	RefusedKeyRequired RefusedReason = "key-required" // the service demands an Idempotency-Key
	RefusedBadClaim    RefusedReason = "bad-claim"    // the request can't be claimed, at any time
	RefusedKeyMismatch RefusedReason = "key-mismatch" // the key was used with another body
)

// RefusedError means that a request provably ran nowhere. Only functions in
// this file create one.
type RefusedError struct {
	Reason     RefusedReason
	Detail     string
	RetryAfter time.Duration
}

// Error implements error.
func (e *RefusedError) Error() string {
	return fmt.Sprintf("not run: %s: %s", e.Reason, e.Detail)
}

// refuse returns the refusal of a request of which nothing was sent.
func refuse(reason RefusedReason, retryAfter time.Duration, detail string) *RefusedError {
	return &RefusedError{Reason: reason, Detail: detail, RetryAfter: retryAfter}
}

// refusedReasons maps the kernel's reasons to this package's.
var refusedReasons = map[query.DeclineReason]RefusedReason{
	query.ReasonOverloaded:   RefusedOverloaded,
	query.ReasonDeadline:     RefusedDeadline,
	query.ReasonQuarantined:  RefusedQuarantined,
	query.ReasonDraining:     RefusedUnavailable,
	query.ReasonDialFailed:   RefusedUnavailable,
	query.ReasonNoLeaf:       RefusedUnavailable,
	query.ReasonWrongVersion: RefusedUnavailable,
	query.ReasonWrongRange:   RefusedUnavailable,
}

// refusalFromAnswer converts the machine's answer to a query that provably did not run.
func refusalFromAnswer(a *query.Answer) *RefusedError {
	reason, ok := refusedReasons[query.DeclineReason(a.Reason)]
	if !ok {
		reason = RefusedUnavailable
	}
	return refuse(reason, max(a.RetryAfter, minRetryAfter), "no part of the request was run: "+a.Reason)
}

// minRetryAfter is the shortest time after which a retry makes sense.
const minRetryAfter = 50 * time.Millisecond
