package platform

import (
	"errors"
	"fmt"
	"time"
)

// ConflictError says that a conditional write had no effect, because the
// object has another version.
type ConflictError struct {
	Kind, Name string
	// Version is the object's version in the store; 0 means absent.
	Version uint64
	// Body is the reply, which holds the object in some stores.
	Body []byte
}

// Error implements error.
func (e *ConflictError) Error() string {
	return fmt.Sprintf("object %s/%s is at version %d", e.Kind, e.Name, e.Version)
}

// NotFoundError says that there is no such object.
type NotFoundError struct{ Kind, Name string }

// Error implements error.
func (e *NotFoundError) Error() string {
	return fmt.Sprintf("object %s/%s not found", e.Kind, e.Name)
}

// GoneError says that a watch's revision is too old: the caller must list the kind
// again.
type GoneError struct {
	Kind  string
	Since uint64
}

// Error implements error.
func (e *GoneError) Error() string {
	return fmt.Sprintf("revision %d of kind %s is too old to watch from", e.Since, e.Kind)
}

// UnavailableError says that a read failed, or that a write was never sent and
// therefore had no effect.
type UnavailableError struct {
	Call Call
	// RetryAfter is the delay that the store asks for; 0 if it asks for none.
	RetryAfter time.Duration
	Err        error
}

// Error implements error.
func (e *UnavailableError) Error() string {
	return fmt.Sprintf("platform %s unavailable: %v", e.Call, e.Err)
}

// Unwrap gives the cause.
func (e *UnavailableError) Unwrap() error { return e.Err }

// UnknownEffectError says that a write has no usable reply: it may have taken
// effect, or may still do so.
type UnknownEffectError struct {
	Call Call
	// RetryAfter is the delay that the store asks for; 0 if it asks for none.
	RetryAfter time.Duration
	Err        error
}

// Error implements error.
func (e *UnknownEffectError) Error() string {
	return fmt.Sprintf("platform %s has an unknown effect: %v", e.Call, e.Err)
}

// Unwrap gives the cause.
func (e *UnknownEffectError) Unwrap() error { return e.Err }

// RateLimitedError says that the store refused the call because of its rate
// limit; the call had no effect.
type RateLimitedError struct {
	Call Call
	// RetryAfter is the delay that the store asks for; 0 if it asks for none.
	RetryAfter time.Duration
}

// Error implements error.
func (e *RateLimitedError) Error() string {
	return fmt.Sprintf("platform %s is rate limited", e.Call)
}

// RejectedError says that the store, or this client on its behalf, refused the
// call and that a retry won't succeed: a bad token, a bad request or a value that
// is too large. The call had no effect.
type RejectedError struct {
	Call   Call
	Status int
	Detail string
}

// Error implements error.
func (e *RejectedError) Error() string {
	return fmt.Sprintf("platform %s rejected with status %d: %s", e.Call, e.Status, e.Detail)
}

// statusError is the cause of the error for a reply with a 5xx status.
type statusError struct{ status int }

func (e *statusError) Error() string { return fmt.Sprintf("status %d", e.status) }

// ConfigError says that a setting is invalid.
type ConfigError struct{ Field, Reason string }

// Error implements error.
func (e *ConfigError) Error() string {
	return fmt.Sprintf("platform setting %s: %s", e.Field, e.Reason)
}

// RetryAfter returns the delay before a retry that the store asked for with err, or
// 0 if it asked for none.
func RetryAfter(err error) time.Duration {
	var unavailable *UnavailableError
	var limited *RateLimitedError
	var unknown *UnknownEffectError
	switch {
	case errors.As(err, &unavailable):
		return unavailable.RetryAfter
	case errors.As(err, &limited):
		return limited.RetryAfter
	case errors.As(err, &unknown):
		return unknown.RetryAfter
	default:
		return 0
	}
}
