// Package machine defines the interface of the kernel's state machines: an event and the
// time go in, actions come out. A machine starts no goroutine, reads no clock and does no
// I/O, so that any driver can run it: the runtime of an instance, a model-based test, or a
// replay of a log.
package machine

import "time"

// Machine is a deterministic state machine. E is its event type and A its action type;
// both are closed sets of message types in the machine's package.
//
// Handle must be called by one goroutine at a time, with a now that never goes back. The
// returned slice is valid until the next call.
type Machine[E, A any] interface {
	Handle(event E, now time.Time) []A
}
