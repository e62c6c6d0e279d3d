package leafclient

import (
	"context"
	"errors"
	"net"
)

// DiscardReason says why bytes that a leaf sent were not taken for the answer to a request.
type DiscardReason string

// The reasons, each a constant: they go to the log, which must hold no bytes of a leaf.
const (
	DiscardOtherRequest  DiscardReason = "answers another request"
	DiscardUnproven      DiscardReason = "not proven to answer this request"
	DiscardMalformed     DiscardReason = "not an HTTP response"
	DiscardIncomplete    DiscardReason = "cut short"
	DiscardHeadTooLong   DiscardReason = "head over the limit"
	DiscardBodyTooLong   DiscardReason = "body over the limit"
	DiscardNoMemory      DiscardReason = "no memory for the body"
	DiscardEncoded       DiscardReason = "body is encoded"
	DiscardUnsigned      DiscardReason = "success without signature"
	DiscardContradiction DiscardReason = "success that says not run"
	DiscardFailure       DiscardReason = "leaf's failure"
	DiscardNotRunStatus  DiscardReason = "status promises not run"
)

// discardError is an error of an exchange whose bytes were discarded.
type discardError struct {
	reason DiscardReason
	err    error
}

// Error implements error.
func (e *discardError) Error() string { return string(e.reason) + ": " + e.err.Error() }

// Unwrap returns the cause.
func (e *discardError) Unwrap() error { return e.err }

// discardReason returns why an exchange discarded what it read; ok is false if it ended for
// another reason: the deadline, a cancellation, or a connection that ended without a byte.
func discardReason(ctx context.Context, err error, received bool) (reason DiscardReason, ok bool) {
	var discarded *discardError
	var timeout net.Error
	switch {
	case errors.As(err, &discarded):
		return discarded.reason, true
	case ctx.Err() != nil || !received || errors.As(err, &timeout) && timeout.Timeout():
		return "", false
	case isClosed(err):
		return DiscardIncomplete, true
	default:
		return DiscardMalformed, true
	}
}
