package leafclient

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"syscall"

	"github.com/fuchsiaroad/fuchsiaroad/api/leafapi"
	"github.com/fuchsiaroad/fuchsiaroad/kernel/keyrange"
)

// DialError says that the request was not sent, for lack of a connection or because
// the attempt was cancelled first: the request did not run.
type DialError struct {
	Leaf string
	Err  error
}

// Error implements error.
func (e *DialError) Error() string { return fmt.Sprintf("leaf %s: no connection: %v", e.Leaf, e.Err) }

// Unwrap returns the cause.
func (e *DialError) Unwrap() error { return e.Err }

// DeclinedError says that the leaf declined the request and did not run it. Ranges
// are the key ranges that the leaf reports with the decline.
type DeclinedError struct {
	Leaf   string
	Reason leafapi.Decline
	Ranges []keyrange.Range
	LeafStatus
}

// Error implements error.
func (e *DeclinedError) Error() string { return fmt.Sprintf("leaf %s: declined: %s", e.Leaf, e.Reason) }

// Cause is why a request that may have run has no complete reply.
type Cause string

// The causes of a BrokenError.
const (
	CauseClosed    Cause = "closed"    // the leaf closed or reset the connection
	CauseDeadline  Cause = "deadline"  // the deadline passed
	CauseCancelled Cause = "cancelled" // the attempt's context was cancelled
	CauseStatus    Cause = "status"    // the response's status is neither that of a reply nor of a decline
	CauseMalformed Cause = "malformed" // the response violates the protocol
	// CauseLost is a closed connection of a leaf that also resets connections for
	// other reasons, such as its connection limit: by itself it is no sign that the
	// request crashed the leaf.
	CauseLost Cause = "lost"
)

// BrokenError says that the request may have run and has no complete reply.
type BrokenError struct {
	Leaf  string
	Cause Cause
	Err   error
	// Failure is the leaf's own error response, to be returned to the caller; nil if
	// the leaf sent none.
	Failure any
}

// Error implements error.
func (e *BrokenError) Error() string {
	return fmt.Sprintf("leaf %s: no complete reply (%s): %v", e.Leaf, e.Cause, e.Err)
}

// Unwrap returns the underlying error.
func (e *BrokenError) Unwrap() error { return e.Err }

// newBrokenError returns a BrokenError with the cause of a transport error.
func newBrokenError(ctx context.Context, leaf string, err error) *BrokenError {
	cause := CauseClosed
	var timeout net.Error
	switch {
	case errors.Is(ctx.Err(), context.DeadlineExceeded):
		cause = CauseDeadline
	case ctx.Err() != nil:
		cause = CauseCancelled
	case errors.As(err, &timeout) && timeout.Timeout():
		cause = CauseDeadline
	case !isClosed(err):
		cause = CauseMalformed
	}
	return &BrokenError{Leaf: leaf, Cause: cause, Err: err}
}

// isClosed reports whether the peer closed or reset the connection.
func isClosed(err error) bool {
	return errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) ||
		errors.Is(err, syscall.ECONNRESET) || errors.Is(err, syscall.EPIPE) ||
		errors.Is(err, net.ErrClosed)
}
