// Package platform is the client of the platform's object API: versioned
// objects with conditional updates and watches, and the list of instances.
//
// The one thing that it adds to HTTP is truth about writes. A write ends in
// success, in an error that proves it had no effect (ConflictError,
// NotFoundError, RateLimitedError, RejectedError, UnavailableError), or in
// UnknownEffectError: it may have taken effect, now or later, and only a read
// of the object can tell.
package platform
