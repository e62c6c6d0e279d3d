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

// DialError says that no connection was had: the request did not run.
type DialError struct {
	Leaf string
	Err  error
}

// Error implements error.
func (e *DialError) Error() string { return fmt.Sprintf("leaf %s: no connection: %v", e.Leaf, e.Err) }

// Unwrap gives the cause.
func (e *DialError) Unwrap() error { return e.Err }

// DeclinedError is the leaf's word that it did not run the request.
type DeclinedError struct {
	Leaf   string
	Reason leafapi.Decline
	Ranges []keyrange.Range
	LeafStatus
}

// Error implements error.
func (e *DeclinedError) Error() string { return fmt.Sprintf("leaf %s: declined: %s", e.Leaf, e.Reason) }

// Cause is why an exchange that may have run has no whole reply.
type Cause string

// The causes of a BrokenError.
const (
	CauseClosed    Cause = "closed"    // the leaf closed or reset the connection
	CauseDeadline  Cause = "deadline"  // the time was up
	CauseCancelled Cause = "cancelled" // the attempt was withdrawn
	CauseStatus    Cause = "status"    // an answer that is neither a reply nor a decline
	CauseMalformed Cause = "malformed" // a reply that breaks the protocol
	// CauseLost is a connection that ended where that says nothing of the
	// request: leaves also reset connections that are over their limit.
	CauseLost Cause = "lost"
)

// BrokenError says that the request may have run and has no whole reply.
type BrokenError struct {
	Leaf  string
	Cause Cause
	Err   error
	// Failure is the failure as the leaf stated it, for the caller; nil when
	// the leaf stated none.
	Failure any
}

// Error implements error.
func (e *BrokenError) Error() string {
	return fmt.Sprintf("leaf %s: broken (%s): %v", e.Leaf, e.Cause, e.Err)
}

// Unwrap gives the cause below.
func (e *BrokenError) Unwrap() error { return e.Err }

// newBrokenError classifies a transport error.
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
