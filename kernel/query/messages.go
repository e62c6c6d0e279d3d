// Package query is the state machine of one query: it fans a request out over
// the shards of its service's upstreams, keeps replies by index version,
// computes coverage from replies only, and derives the one truthful outcome.
package query

import (
	"time"

	"github.com/fuchsiaroad/fuchsiaroad/kernel/keyrange"
	"github.com/fuchsiaroad/fuchsiaroad/kernel/view"
)

// AttemptID names one attempt of one query at this entry; unguessable on the
// wire, where the runtime maps it to a random token.
type AttemptID uint64

// Part is a range of one upstream's key space.
type Part struct {
	Upstream int // index in the view
	Range    keyrange.Range
}

// Event is an input of the machine.
type Event interface{ isEvent() }

// Begin starts the query.
type Begin struct{}

// Sent says that the attempt's bytes may have reached the leaf: from here on
// it is not provably not run until the leaf declines. The runtime reports it
// before it writes the first byte, and writes none if the attempt was
// withdrawn or the query finished by then: a "not run" answer rests on this.
type Sent struct {
	Attempt AttemptID
	Leaf    int
}

// Reply is a whole, checked reply of a leaf.
type Reply struct {
	Attempt  AttemptID
	Leaf     int
	Version  uint64
	Ranges   []keyrange.Range
	Body     []byte
	Versions []uint64 // what the leaf serves now
	// Attachment is the runtime's own, handed on with the answer unread.
	Attachment any
}

// Declined is a leaf's word that it did not run the attempt.
type Declined struct {
	Attempt  AttemptID
	Leaf     int
	Reason   DeclineReason
	Versions []uint64 // what the leaf serves now, when it says so
	Ranges   []keyrange.Range
}

// NotSent says that the attempt provably never reached a leaf: the queue
// refused it or the dial failed.
type NotSent struct {
	Attempt AttemptID
	Reason  DeclineReason
	// Leaf is the leaf of a failed dial; it counts for ReasonDialFailed only.
	Leaf int
	// RetryAfter is the queue's hint, when it gave one.
	RetryAfter time.Duration
}

// Broken says that the connection broke, timed out or answered nonsense after
// Sent: the attempt may have run.
type Broken struct {
	Attempt AttemptID
	Leaf    int
	Cause   string
	// Crash marks a connection that the leaf closed with the request in a slot.
	Crash bool
	// Failure is a failure that the leaf stated, which a caller may be given
	// when nothing better comes; nil when it stated none.
	Failure any
}

// Tick says that a wake-up time asked for by WakeAt has passed.
type Tick struct{}

// Cancel says that the caller has gone.
type Cancel struct{}

// ViewChanged gives a newer view: what is offered from here on is planned by
// its shards and uses its indexes. The events of an attempt name leaves by the
// view of its Offer; the answer's parts use the indexes of the view that the
// query started with.
type ViewChanged struct{ View *view.View }

// Cleared says that another query has shown the request to be safe.
type Cleared struct{}

// Quarantined says that the request has been put in quarantine.
type Quarantined struct{ RetryAfter time.Duration }

func (Begin) isEvent()       {}
func (Sent) isEvent()        {}
func (Reply) isEvent()       {}
func (Declined) isEvent()    {}
func (NotSent) isEvent()     {}
func (Broken) isEvent()      {}
func (Tick) isEvent()        {}
func (Cancel) isEvent()      {}
func (ViewChanged) isEvent() {}
func (Cleared) isEvent()     {}
func (Quarantined) isEvent() {}

// DeclineReason says why an attempt did not run.
type DeclineReason string

// The reasons of an attempt that did not run.
const (
	ReasonOverloaded   DeclineReason = "overloaded"    // the leaf sheds or the queue has no room
	ReasonWrongVersion DeclineReason = "wrong_version" // the leaf does not serve the pinned version
	ReasonWrongRange   DeclineReason = "wrong_range"   // the leaf does not hold the range
	ReasonDraining     DeclineReason = "draining"      // the leaf is leaving
	ReasonDeadline     DeclineReason = "deadline"      // it could not finish in time
	ReasonDialFailed   DeclineReason = "dial_failed"   // no connection was made
	ReasonNoLeaf       DeclineReason = "no_leaf"       // no leaf may take it
	ReasonQuarantined  DeclineReason = "quarantined"   // the fingerprint is in quarantine
	ReasonNotAccepted  DeclineReason = "not_accepted"  // no other instance took the group over
)

// Action is an output of the machine.
type Action interface{ isAction() }

// Offer asks the dispatch layer to run an attempt on a leaf of the shard.
type Offer struct {
	Attempt AttemptID
	Part    Part
	Shard   int    // shard index within the upstream
	Version uint64 // pinned index version; 0 means any
	// Avoid lists leaves (view indexes) that earlier attempts of the part used.
	Avoid []int
	// Hedge and Retry mark repetition, for budgets and for extra-load accounts.
	Hedge, Retry bool
	// Solo asks for a leaf alone: a canary or a suspect.
	Solo     bool
	Deadline time.Time
}

// Withdraw cancels an attempt, queued or running.
type Withdraw struct{ Attempt AttemptID }

// WakeAt asks for a Tick at or after At; it replaces an earlier wish.
type WakeAt struct{ At time.Time }

// Verdict tells the quarantine what an attempt showed about the fingerprint.
type Verdict struct {
	Attempt AttemptID
	Leaf    int
	Crashed bool // false: the request ran to its end on the leaf
	Solo    bool // the attempt ran alone
}

// Finish gives the answer; it comes once, and last.
type Finish struct{ Answer Answer }

func (Offer) isAction()    {}
func (Withdraw) isAction() {}
func (WakeAt) isAction()   {}
func (Verdict) isAction()  {}
func (Finish) isAction()   {}

// Outcome is the truthful class of an answer.
type Outcome string

// The outcomes.
const (
	Complete Outcome = "complete" // every part is covered at one version
	Partial  Outcome = "partial"  // some parts are covered at one version
	NotRun   Outcome = "not_run"  // it provably ran nowhere
	Unknown  Outcome = "unknown"  // a non-idempotent request may have run
	Failed   Outcome = "failed"   // it ran or may have run, and nothing is covered
)

// Reasons of a missing part, besides those of DeclineReason.
const (
	MissingBroken       = "broken"        // the exchange broke after it was sent
	MissingCrashed      = "crashed"       // the leaf broke with the request in a slot
	MissingBadReply     = "bad_reply"     // the reply stated a wrong version or wrong ranges
	MissingDeadline     = "deadline"      // no reply by the deadline
	MissingSettled      = "settled"       // enough was covered, and the rest was not waited for
	MissingCancelled    = "cancelled"     // the caller went away
	MissingVersionMoved = "version_moved" // the query went on to another version
	MissingNoShard      = "no_shard"      // the configuration has no shard for it
	// MissingNotGathered: another instance was asked for it and did not get it.
	MissingNotGathered = "not_gathered"
)

// Missing is a part without a reply and why.
type Missing struct {
	Part   Part
	Reason string
}

// Result is one accepted reply.
type Result struct {
	// Part is the first range that the reply covers.
	Part Part
	// MoreRanges lists further ranges of the same reply; nearly always empty.
	MoreRanges []keyrange.Range
	Leaf       int
	Body       []byte
	// Attachment is that of the Reply.
	Attachment any
}

// Answer is what the caller gets.
type Answer struct {
	Outcome Outcome
	Version uint64
	Covered []Part
	Missing []Missing
	// Share is covered keys over all keys, each upstream weighing the same.
	Share      float64
	Results    []Result
	RetryAfter time.Duration
	Reason     string
	// Sent, Hedges, Retries and Ignored count attempts that reached a leaf,
	// repetition, and replies that were late, repeated or crossed.
	Sent, Hedges, Retries, Ignored int
	// Groups counts those that other instances were to gather; what these sent is
	// counted as sent where they reported them.
	Groups int
	// VersionMoves counts changes of the pinned version.
	VersionMoves int
	// SettledAt is when the answer was due without its missing parts; zero when it
	// was not settled.
	SettledAt time.Time
	// Failure is the last failure that a leaf stated; nil when none did.
	Failure any
}
