// Package platform is the client of the platform's object API: versioned
// objects with conditional updates and watches, and the list of instances.
//
// For each write it reports whether the write took effect. A write returns nil
// if it did, an error that proves that it didn't (ConflictError, NotFoundError,
// RateLimitedError, RejectedError, UnavailableError), or UnknownEffectError: it
// may have taken effect, or may still do so, and only a read of the object can
// tell.
package platform
