package peer

import (
	"fmt"
	"time"
)

// SizeError says that a message is longer than maxMessageBytes.
type SizeError struct{ Bytes int }

// Error implements error.
func (e *SizeError) Error() string {
	return fmt.Sprintf("peer message of %d bytes exceeds the limit of %d bytes", e.Bytes, maxMessageBytes)
}

// AuthError says that the other side did not prove that it knows the key, or
// is not the instance that was called.
type AuthError struct{ Address, Reason string }

// Error implements error.
func (e *AuthError) Error() string { return fmt.Sprintf("peer %s: %s", e.Address, e.Reason) }

// UnreachableError says that a call to a peer failed; Method is "dial" if no
// connection was opened.
type UnreachableError struct {
	Address string
	Method  string
	Err     error
}

// Error implements error.
func (e *UnreachableError) Error() string {
	return fmt.Sprintf("peer %s: %s: %v", e.Address, e.Method, e.Err)
}

// Unwrap gives the cause.
func (e *UnreachableError) Unwrap() error { return e.Err }

// IdleTimeoutError says that no byte was received for Timeout.
type IdleTimeoutError struct{ Timeout time.Duration }

// Error implements error.
func (e *IdleTimeoutError) Error() string { return fmt.Sprintf("no data received for %v", e.Timeout) }
