package ledger

import (
	"time"

	"github.com/fuchsiaroad/fuchsiaroad/kernel/ledger"
)

// message is a message from another goroutine to the ledger's goroutine.
type message interface{ isMessage() }

// waiter is a pending claim whose caller waits for the answer.
type waiter struct {
	claim  ledger.Claim // its ID and nonce are set by the ledger's goroutine
	bucket int
	answer chan ledger.Action // holds one answer, so that sending it never blocks
}

// flushRequest is a call of Flush that waits until the store holds all results
// and releases.
type flushRequest struct {
	done    chan struct{} // closed when the store holds them
	unsaved chan int      // holds one count, so that sending it never blocks
}

// claimMessage submits a claim.
type claimMessage struct{ *waiter }

// abandonMessage says that the caller of a claim stopped waiting.
type abandonMessage struct{ *waiter }

// eventMessage passes an event to the state machine of a bucket.
type eventMessage struct {
	bucket int
	event  ledger.Event
}

// callMessage reports the outcome of a read or write of a bucket.
type callMessage struct {
	bucket int
	event  ledger.Event
	// breaker is the event for the circuit breaker; nil if the call shows nothing
	// about the store's health.
	breaker ledger.BreakerEvent
	err     error
}

// probeMessage reports the outcome of a probe of the store.
type probeMessage struct {
	breaker ledger.BreakerEvent
	err     error
}

// flushMessage starts a flush.
type flushMessage struct{ *flushRequest }

// flushEndMessage cancels a flush and asks for the number of unsaved results
// and releases.
type flushEndMessage struct{ *flushRequest }

func (claimMessage) isMessage()    {}
func (abandonMessage) isMessage()  {}
func (eventMessage) isMessage()    {}
func (callMessage) isMessage()     {}
func (probeMessage) isMessage()    {}
func (flushMessage) isMessage()    {}
func (flushEndMessage) isMessage() {}

// bucket is the state machine of one bucket and the time of its next tick; a
// zero wakeAt means that none is due.
type bucket struct {
	machine *ledger.Machine
	wakeAt  time.Time
}
