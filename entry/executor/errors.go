package executor

import (
	"fmt"
	"time"

	"github.com/fuchsiaroad/fuchsiaroad/kernel/query"
)

// RefusedReason says why a request was not run.
type RefusedReason string

// The reasons of a refusal.
const (
	RefusedOverloaded  RefusedReason = "overloaded"   // no room: come back later
	RefusedDeadline    RefusedReason = "deadline"     // it could not finish in time
	RefusedUnavailable RefusedReason = "unavailable"  // no leaf, or no store for a claim
	RefusedDraining    RefusedReason = "draining"     // this instance is stopping
	RefusedQuarantined RefusedReason = "quarantined"  // the request broke leaves before
	RefusedKeyRequired RefusedReason = "key-required" // the service demands an Idempotency-Key
	RefusedBadClaim    RefusedReason = "bad-claim"    // the request can't be claimed, whenever it comes
	RefusedKeyMismatch RefusedReason = "key-mismatch" // the key was used with another body
)

// RefusedError says that a request provably ran nowhere. Only functions of
// this file make one.
type RefusedError struct {
	Reason     RefusedReason
	Detail     string
	RetryAfter time.Duration
}

// Error implements error.
func (e *RefusedError) Error() string {
	return fmt.Sprintf("not run: %s: %s", e.Reason, e.Detail)
}

// refuse makes a refusal of a request of which nothing was sent.
func refuse(reason RefusedReason, retryAfter time.Duration, detail string) *RefusedError {
	return &RefusedError{Reason: reason, Detail: detail, RetryAfter: retryAfter}
}

// reasons maps the kernel's reasons to this layer's.
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

// refusal converts the machine's answer of a query that provably did not run.
func refusalFromAnswer(a *query.Answer) *RefusedError {
	reason, ok := refusedReasons[query.DeclineReason(a.Reason)]
	if !ok {
		reason = RefusedUnavailable
	}
	return refuse(reason, max(a.RetryAfter, minRetryAfter), "no part of the request was run: "+a.Reason)
}

// leastRetryAfter is the shortest time after which coming back makes sense.
const minRetryAfter = 50 * time.Millisecond
