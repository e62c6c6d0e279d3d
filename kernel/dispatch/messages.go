// Package dispatch decides which attempt runs on which leaf and when: queues
// per shard, limits in flight per leaf, leaf choice, and the refusal of what
// can't finish. One machine serves one upstream at one entry.
package dispatch

import (
	"time"

	"github.com/fuchsiaroad/fuchsiaroad/kernel/query"
	"github.com/fuchsiaroad/fuchsiaroad/kernel/slowness"
	"github.com/fuchsiaroad/fuchsiaroad/kernel/view"
)

// Ticket names an offered attempt within the entry: query stamp and attempt.
type Ticket struct {
	Query   uint64 // admission stamp of the query: one order for all its parts
	Attempt query.AttemptID
}

// Event is an input of the machine.
type Event interface{ isEvent() }

// Offered queues an attempt.
type Offered struct {
	Ticket   Ticket
	Shard    int
	Caller   string
	Priority int // of its service, 0 is the most urgent
	Deadline time.Time
	// Due is when the answer has its full value; zero: until the deadline.
	Due   time.Time
	Avoid []int // view indexes of leaves
	Hedge bool
	Retry bool
	Solo  bool
}

// Withdrawn takes back a queued attempt; for a running one the runtime cancels
// the exchange and reports Finished with OutcomeCancelled.
type Withdrawn struct{ Ticket Ticket }

// Finished reports the end of a dispatched attempt.
type Finished struct {
	Ticket      Ticket
	Leaf        int
	Outcome     Outcome
	Latency     time.Duration // from dispatch to the end
	ServiceTime time.Duration // the leaf's own run time, 0 when it did not say
}

// ViewChanged gives a new view; running attempts keep their leaf by ID.
type ViewChanged struct{ View *view.View }

// LoadHint is what a leaf's load endpoint said; it may lie or lag.
type LoadHint struct {
	Leaf     int
	InFlight int
	Queued   int
}

// SlowLeavesReported passes on what other instances saw of leaves, by their IDs.
type SlowLeavesReported struct{ Leaves []slowness.SlowLeaf }

// Tick lets time-driven work happen (expiry, probing).
type Tick struct{}

func (Offered) isEvent()            {}
func (Withdrawn) isEvent()          {}
func (Finished) isEvent()           {}
func (ViewChanged) isEvent()        {}
func (LoadHint) isEvent()           {}
func (SlowLeavesReported) isEvent() {}
func (Tick) isEvent()               {}

// Outcome is how a dispatched attempt ended.
type Outcome int

// The outcomes of a dispatched attempt.
const (
	OutcomeReply      Outcome = iota // a whole reply
	OutcomeShed                      // declined: overloaded
	OutcomeDeclined                  // declined for another reason
	OutcomeDialFailed                // no connection
	OutcomeBroken                    // broke after it was sent
	OutcomeTimeout                   // deadline passed while it ran
	OutcomeCancelled                 // withdrawn while it ran
)

// Action is an output of the machine.
type Action interface{ isAction() }

// Dispatch runs an attempt on a leaf now.
type Dispatch struct {
	Ticket    Ticket
	Shard     int
	Leaf      int
	QueueTime time.Duration // how long it waited
	Reason    string        // short reason of the choice, for the decision log
}

// Refuse says that an attempt will not be dispatched. It never ran.
type Refuse struct {
	Ticket     Ticket
	Reason     query.DeclineReason
	RetryAfter time.Duration
}

// WakeAt asks for a Tick at or after At.
type WakeAt struct{ At time.Time }

func (Dispatch) isAction() {}
func (Refuse) isAction()   {}
func (WakeAt) isAction()   {}
