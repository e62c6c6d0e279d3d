package peer

import (
	"fmt"
	"time"
)

// SizeError says that a message is over the bound.
type SizeError struct{ Bytes int }

// Error implements error.
func (e *SizeError) Error() string {
	return fmt.Sprintf("peer message of %d bytes, at most %d are taken", e.Bytes, maxMessage)
}

// AuthError says that the other side did not prove that it knows the key, or
// is not the instance that was called.
type AuthError struct{ Address, Reason string }

// Error implements error.
func (e *AuthError) Error() string { return fmt.Sprintf("peer %s: %s", e.Address, e.Reason) }

// UnreachableError says that a call got no answer.
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

// IdleTimeoutError says that no byte of a reply came in for a time.
type IdleTimeoutError struct{ Timeout time.Duration }

// Error implements error.
func (e *IdleTimeoutError) Error() string { return fmt.Sprintf("silent for %v", e.Timeout) }
