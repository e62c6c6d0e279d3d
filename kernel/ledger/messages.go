package ledger

import "time"

// ClaimID identifies a claim within its instance.
type ClaimID uint64

// Event is an input of the Machine.
type Event interface{ isEvent() }

// Claim asks for the exclusive right to run a request, once.
type Claim struct {
	ID          ClaimID
	Key         Key
	Fingerprint Fingerprint
	Nonce       Nonce
	// Deadline is the request's deadline: a claim confirmed later is not granted.
	Deadline time.Time
}

// Abandon reports that the caller of a claim has disconnected, so that the
// request will never be dispatched. After Granted it acts as Release.
type Abandon struct{ ID ClaimID }

// Release gives up a granted claim, so that its key can be claimed again. Send it
// only when the request provably did not run.
type Release struct{ ID ClaimID }

// Settle records how a granted request ended.
type Settle struct {
	ID     ClaimID
	Result Result
}

// ReadDone carries the bucket as stored. Version 0 means that it does not exist.
type ReadDone struct {
	Version uint64
	Records Records
}

// ReadFailed reports that the bucket could not be read.
type ReadFailed struct{ RetryAfter time.Duration }

// WriteDone reports that the write took effect.
type WriteDone struct{ Version uint64 }

// WriteConflict reports that the write had no effect because the bucket has a
// newer version.
type WriteConflict struct{}

// WriteRefused reports that the write provably had no effect because the store
// is down or rate-limits.
type WriteRefused struct{ RetryAfter time.Duration }

// WriteUnknown reports that the reply was lost: the write may have taken effect,
// or may still do so.
type WriteUnknown struct{}

// StoreDown reports that the store is unavailable, so that claims are refused.
type StoreDown struct{ RetryAfter time.Duration }

// StoreUp ends StoreDown.
type StoreUp struct{}

// Flush asks to write pending results and releases at once.
type Flush struct{}

// Tick reports that the time of a WakeAt has come.
type Tick struct{}

func (Claim) isEvent()         {}
func (Abandon) isEvent()       {}
func (Release) isEvent()       {}
func (Settle) isEvent()        {}
func (ReadDone) isEvent()      {}
func (ReadFailed) isEvent()    {}
func (WriteDone) isEvent()     {}
func (WriteConflict) isEvent() {}
func (WriteRefused) isEvent()  {}
func (WriteUnknown) isEvent()  {}
func (StoreDown) isEvent()     {}
func (StoreUp) isEvent()       {}
func (Flush) isEvent()         {}
func (Tick) isEvent()          {}

// State is what the ledger knows about an earlier request with the same key.
type State string

// The states of an earlier request.
const (
	StateRunning  State = "running"  // claimed, its deadline has not passed
	StateRecorded State = "recorded" // its result is recorded
	StateUnknown  State = "unknown"  // claimed, its deadline has passed, no result
)

// Reason is why a claim was refused. Such a request did not run.
type Reason string

// The reasons for refusing a claim.
const (
	ReasonStoreDown Reason = "store_down" // the store can't be read or written
	ReasonTimeout   Reason = "timeout"    // not confirmed within the claim timeout
	ReasonFull      Reason = "full"       // the bucket holds MaxRecords records
	ReasonDeadline  Reason = "deadline"   // the request's deadline has passed
	ReasonStopped   Reason = "stopped"    // the ledger has stopped
	ReasonAbandoned Reason = "abandoned"  // the caller has disconnected
)

// Action is an output of the Machine.
type Action interface{ isAction() }

// Read asks to read the bucket. At most one Read or Write is in flight.
type Read struct{}

// Write asks to replace the bucket's records if its version is IfVersion.
type Write struct {
	IfVersion uint64
	Records   Records
}

// Granted gives the right to run the request, once, until its deadline.
type Granted struct{ ID ClaimID }

// Held refuses a claim because an earlier request holds the key.
type Held struct {
	ID         ClaimID
	State      State
	Result     Result
	RetryAfter time.Duration
}

// Mismatch refuses a claim because its key was used with another body.
type Mismatch struct{ ID ClaimID }

// Unavailable refuses a claim because it can't be confirmed. The request did not
// run and must not be run.
type Unavailable struct {
	ID         ClaimID
	Reason     Reason
	RetryAfter time.Duration
}

// Persisted reports that the store reflects the Settle or Release of a claim.
type Persisted struct{ ID ClaimID }

// WakeAt asks for a Tick at or after At. It replaces an earlier WakeAt.
type WakeAt struct{ At time.Time }

func (Read) isAction()        {}
func (Write) isAction()       {}
func (Granted) isAction()     {}
func (Held) isAction()        {}
func (Mismatch) isAction()    {}
func (Unavailable) isAction() {}
func (Persisted) isAction()   {}
func (WakeAt) isAction()      {}
