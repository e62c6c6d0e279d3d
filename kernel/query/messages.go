// Package query is the state machine of one query. It fans a request out over the
// shards of its service's upstreams, with retries, hedges and canaries, and collects the
// replies by index version. It computes the coverage from these replies alone and
// derives the outcome. It does no I/O: the runtime feeds it events and carries out its
// actions.
package query

import (
	"time"

	"github.com/fuchsiaroad/fuchsiaroad/kernel/keyrange"
	"github.com/fuchsiaroad/fuchsiaroad/kernel/view"
)

// AttemptID identifies an attempt within its query; the first one is 1. It does not
// leave the process: on the wire the runtime uses a random token instead, which can't
// be guessed.
type AttemptID uint64

// Part is a range of one upstream's key space.
type Part struct {
	Upstream int // index in the view; see ViewChanged for which one
	Range    keyrange.Range
}

// Event is an input of the machine.
type Event interface{ isEvent() }

// Begin starts the query.
type Begin struct{}

// Sent says that the attempt's bytes may have reached the leaf. From then on the
// attempt may have run, unless the leaf declines it. The runtime reports Sent before it
// writes the first byte, and writes nothing if the attempt was withdrawn or the query
// finished by then. The outcome "not run" relies on this.
type Sent struct {
	Attempt AttemptID
	Leaf    int
}

// Reply is a complete reply of a leaf whose encoding the runtime has checked.
type Reply struct {
	Attempt  AttemptID
	Leaf     int
	Version  uint64
	Ranges   []keyrange.Range
	Body     []byte
	Versions []uint64 // all versions that the leaf serves
	// Attachment is opaque data of the runtime that is passed on to the Result.
	Attachment any
}

// Declined is a leaf's statement that it did not run the attempt.
type Declined struct {
	Attempt  AttemptID
	Leaf     int
	Reason   DeclineReason
	Versions []uint64         // all versions that the leaf serves, if stated
	Ranges   []keyrange.Range // the ranges that the leaf holds, for ReasonWrongRange
}

// NotSent says that the attempt never reached a leaf: the queue refused it or the
// dial failed.
type NotSent struct {
	Attempt AttemptID
	Reason  DeclineReason
	// Leaf is the leaf of a failed dial; it is only used with ReasonDialFailed.
	Leaf int
	// RetryAfter is the queue's hint when to come back; 0 if it gave none.
	RetryAfter time.Duration
}

// Broken says that after Sent the connection broke, timed out or brought a malformed
// reply: the attempt may have run.
type Broken struct {
	Attempt AttemptID
	Leaf    int
	Cause   string
	// Crash is set if the leaf closed the connection while the request had one of its
	// slots.
	Crash bool
	// Failure is the failure that the leaf stated, which the caller may get if no
	// reply is accepted; nil if it stated none.
	Failure any
}

// Tick says that the time of a WakeAt has passed.
type Tick struct{}

// Cancel says that the caller has gone away.
type Cancel struct{}

// ViewChanged gives a newer view. Later offers are planned by its shards and use its
// indexes. The events of an attempt use the leaf indexes of the view at its Offer, and
// the parts of the answer use the upstream indexes of the view at the start of the
// query.
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

// DeclineReason says why an attempt did not run, in Declined and NotSent.
type DeclineReason string

// The reasons for which an attempt did not run.
const (
	ReasonOverloaded   DeclineReason = "overloaded"    // the leaf sheds load or the queue is full
	ReasonWrongVersion DeclineReason = "wrong_version" // the leaf does not serve the pinned version
	ReasonWrongRange   DeclineReason = "wrong_range"   // the leaf does not hold the range
	ReasonDraining     DeclineReason = "draining"      // the leaf is draining
	ReasonDeadline     DeclineReason = "deadline"      // the attempt could not finish in time
	ReasonDialFailed   DeclineReason = "dial_failed"   // no connection was made
	ReasonNoLeaf       DeclineReason = "no_leaf"       // the shard has no eligible leaf
	ReasonQuarantined  DeclineReason = "quarantined"   // the fingerprint is in quarantine
	ReasonNotAccepted  DeclineReason = "not_accepted"  // no other instance accepted the group
)

// Action is an output of the machine.
type Action interface{ isAction() }

// Offer asks the dispatch layer to run an attempt on a leaf of the shard.
type Offer struct {
	Attempt AttemptID
	Part    Part
	Shard   int    // shard index within the upstream
	Version uint64 // pinned index version; 0 means any
	// Avoid lists the leaves not to choose, as indexes in the current view: those of
	// the part's earlier attempts, those that lack the version, and for a probe all but
	// the selected one.
	Avoid []int
	// Hedge and Retry mark repeated attempts, for budgets and accounting of extra load.
	Hedge, Retry bool
	// Solo asks for a leaf that runs nothing else meanwhile: the attempt is a probe of a
	// canary or of a suspect request.
	Solo     bool
	Deadline time.Time
}

// Withdraw cancels an attempt that is queued or was sent.
type Withdraw struct{ Attempt AttemptID }

// WakeAt asks for a Tick at or after At. It replaces an earlier WakeAt.
type WakeAt struct{ At time.Time }

// Verdict reports to the quarantine what an attempt showed about the request's
// fingerprint.
type Verdict struct {
	Attempt AttemptID
	Leaf    int
	Crashed bool // the leaf crashed; false if it ran the request to its end
	Solo    bool // the attempt ran alone
}

// Finish gives the answer. It is the last action of a query.
type Finish struct{ Answer Answer }

func (Offer) isAction()    {}
func (Withdraw) isAction() {}
func (WakeAt) isAction()   {}
func (Verdict) isAction()  {}
func (Finish) isAction()   {}

// Outcome is the class of an answer. It claims no more than is proved.
type Outcome string

// The outcomes.
const (
	Complete Outcome = "complete" // every part is covered at one version
	Partial  Outcome = "partial"  // some parts are covered at one version
	NotRun   Outcome = "not_run"  // it is certain that no leaf ran it
	Unknown  Outcome = "unknown"  // a non-idempotent request ran or may have run, and nothing is covered
	Failed   Outcome = "failed"   // an idempotent request ran or may have run, and nothing is covered
)

// The reasons for which a part is missing, besides the values of DeclineReason.
const (
	MissingBroken       = "broken"        // the exchange with the leaf broke after Sent
	MissingCrashed      = "crashed"       // the leaf crashed while the request had one of its slots
	MissingBadReply     = "bad_reply"     // the reply stated a wrong version or wrong ranges
	MissingDeadline     = "deadline"      // no reply by the deadline
	MissingSettled      = "settled"       // the least coverage was reached, and the query did not wait for the rest
	MissingCancelled    = "cancelled"     // the caller cancelled the query
	MissingVersionMoved = "version_moved" // the query moved to another version
	MissingNoShard      = "no_shard"      // the view has no shard for the range
	// MissingNotGathered means that the instance which gathered the part's group did not
	// cover it.
	MissingNotGathered = "not_gathered"
)

// Missing is a part that the answer does not cover, and the reason.
type Missing struct {
	Part   Part
	Reason string
}

// Result is one accepted reply.
type Result struct {
	// Part is the first range that the reply covers.
	Part Part
	// MoreRanges lists the further ranges of the reply; it is nearly always empty.
	MoreRanges []keyrange.Range
	Leaf       int
	Body       []byte
	// Attachment is that of the Reply or the Gathered.
	Attachment any
}

// Answer is the result of a query.
type Answer struct {
	Outcome Outcome
	Version uint64
	Covered []Part
	Missing []Missing
	// Share is the mean over the upstreams of the fraction of keys that are covered.
	Share      float64
	Results    []Result
	RetryAfter time.Duration
	Reason     string
	// Sent counts the attempts that were sent to a leaf, Hedges and Retries the repeated
	// ones among them. Ignored counts the events that were dropped because they were
	// late, repeated, invalid or of another attempt or leaf.
	Sent, Hedges, Retries, Ignored int
	// Groups counts the groups that were sent to other instances. The attempts that these
	// instances reported are included in Sent, Hedges and Retries.
	Groups int
	// VersionMoves counts changes of the pinned version.
	VersionMoves int
	// SettledAt is the time for which an answer without its missing parts was due; zero
	// unless the reason is MissingSettled.
	SettledAt time.Time
	// Failure is the last failure that a leaf stated; nil if none did.
	Failure any
}
