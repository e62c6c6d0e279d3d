package ledger

import (
	"time"

	"github.com/fuchsiaroad/fuchsiaroad/kernel/ledger"
)

// message is what other goroutines tell the ledger's own.
type message interface{ isMessage() }

// waiter is a caller that waits for the answer to its claim.
type waiter struct {
	claim  ledger.Claim // its ID and nonce are set by the ledger's goroutine
	bucket int
	answer chan ledger.Action // takes one answer without blocking
}

// flush is a caller that waits for all results and releases to be stored.
type flush struct {
	done    chan struct{}
	unsaved chan int // takes one answer without blocking
}

// claimMessage brings a claim.
type claimMessage struct{ *waiter }

// abandonMessage says that a claim's caller has gone.
type abandonMessage struct{ *waiter }

// eventMessage brings an event of a bucket.
type eventMessage struct {
	bucket int
	event  ledger.Event
}

// callMessage brings the end of a read or write of a bucket.
type callMessage struct {
	bucket int
	event  ledger.Event
	// gate tells the gate how the store answered; nil tells it nothing.
	gate ledger.BreakerEvent
	err  error
}

// probeMessage brings the end of a probe.
type probeMessage struct {
	gate ledger.BreakerEvent
	err  error
}

// flushMessage asks to store all that waits.
type flushMessage struct{ *flush }

// flushEndMessage says that nobody waits for a flush any more.
type flushEndMessage struct{ *flush }

func (claimMessage) isMessage()    {}
func (abandonMessage) isMessage()  {}
func (eventMessage) isMessage()    {}
func (callMessage) isMessage()     {}
func (probeMessage) isMessage()    {}
func (flushMessage) isMessage()    {}
func (flushEndMessage) isMessage() {}

// bucket is the machine of one bucket and when it wants a tick.
type bucket struct {
	machine *ledger.Machine
	wakeAt  time.Time
}
