// Package dispatch queues the attempts of queries and decides when each one runs and on
// which leaf. It keeps a queue per shard and a concurrency limit per leaf, refuses
// attempts that can't finish by their deadline, and decides on the admission of whole
// queries. One Machine serves one upstream at one instance.
package dispatch

import (
	"time"

	"github.com/fuchsiaroad/fuchsiaroad/kernel/query"
	"github.com/fuchsiaroad/fuchsiaroad/kernel/slowness"
	"github.com/fuchsiaroad/fuchsiaroad/kernel/view"
)

// Ticket identifies an attempt that was offered to the machine, within the instance.
type Ticket struct {
	Query   uint64 // admission stamp of the query, unique and increasing; it orders all its parts alike
	Attempt query.AttemptID
}

// Event is an input of the Machine.
type Event interface{ isEvent() }

// Offered offers an attempt, which is queued or refused.
type Offered struct {
	Ticket   Ticket
	Shard    int
	Caller   string
	Priority int // of the service; 0 is the most urgent
	Deadline time.Time
	// Due is the time of the objective, until which the answer has its full value. The
	// zero value means the deadline.
	Due   time.Time
	Avoid []int // leaves not to use, by their indexes in the view
	Hedge bool
	Retry bool
	Solo  bool // needs a leaf on which no other attempt runs
}

// Withdrawn removes a queued attempt. For a running one the code that drives the machine
// cancels the exchange and reports Finished with OutcomeCancelled.
type Withdrawn struct{ Ticket Ticket }

// Finished reports the end of a dispatched attempt.
type Finished struct {
	Ticket      Ticket
	Leaf        int
	Outcome     Outcome
	Latency     time.Duration // from dispatch to the end
	ServiceTime time.Duration // as reported by the leaf, 0 when it reported none
}

// ViewChanged installs a new view. Running attempts keep their leaf, which is identified
// by its ID.
type ViewChanged struct{ View *view.View }

// LoadHint is the reply of a leaf's load endpoint, which may be wrong or out of date.
type LoadHint struct {
	Leaf     int
	InFlight int
	Queued   int
}

// SlowLeavesReported carries the leaves that other instances found slow.
type SlowLeavesReported struct{ Leaves []slowness.SlowLeaf }

// Tick makes the machine do what is due by time: expire attempts and retry stalled
// shards.
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
	OutcomeReply      Outcome = iota // a complete reply
	OutcomeShed                      // declined by the leaf as overloaded
	OutcomeDeclined                  // declined by the leaf for another reason
	OutcomeDialFailed                // no connection could be opened
	OutcomeBroken                    // the connection broke after the request was sent
	OutcomeTimeout                   // the deadline passed while it ran
	OutcomeCancelled                 // withdrawn while it ran
)

// Action is an output of the Machine.
type Action interface{ isAction() }

// Dispatch asks for an attempt to be sent to a leaf at once.
type Dispatch struct {
	Ticket    Ticket
	Shard     int
	Leaf      int
	QueueTime time.Duration // time between offer and dispatch
	Reason    string        // why the routing policy chose the leaf, for the decision log
}

// Refuse reports that an attempt is not dispatched. It has run nowhere.
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
