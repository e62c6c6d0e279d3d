package ledger

import "time"

// ClaimID names a claim within the entry.
type ClaimID uint64

// Event is an input of the machine.
type Event interface{ isEvent() }

// Claim asks for the right to run a request once.
type Claim struct {
	ID          ClaimID
	Key         Key
	Fingerprint Fingerprint
	Nonce       Nonce
	// Deadline is the request's: a claim confirmed later is not granted.
	Deadline time.Time
}

// Abandon says that the caller of a claim has gone: it will never be
// dispatched. After Granted it acts as Release.
type Abandon struct{ ID ClaimID }

// Release gives a granted claim back. It must only be sent when the request
// provably did not run; the key can then be claimed again.
type Release struct{ ID ClaimID }

// Settle records how a granted request ended.
type Settle struct {
	ID     ClaimID
	Result Result
}

// ReadDone is the bucket as the store has it; Version 0 means absent.
type ReadDone struct {
	Version uint64
	Records Records
}

// ReadFailed says that the bucket could not be read.
type ReadFailed struct{ RetryAfter time.Duration }

// WriteDone says that the write took effect.
type WriteDone struct{ Version uint64 }

// WriteConflict says that the write had no effect: the bucket has moved on.
type WriteConflict struct{}

// WriteRefused says that the write provably had no effect, and why it was
// refused is the store's state: down, or over its rate.
type WriteRefused struct{ RetryAfter time.Duration }

// WriteUnknown says that the reply was lost: the write may have taken effect,
// or may still do so.
type WriteUnknown struct{}

// StoreDown says that the store takes no claims for now.
type StoreDown struct{ RetryAfter time.Duration }

// StoreUp ends StoreDown.
type StoreUp struct{}

// Flush asks to write at once what waits to be combined.
type Flush struct{}

// Tick says that a time asked for by WakeAt has come.
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

// State is what the ledger knows of an earlier request with the same key.
type State string

// The states of an earlier request.
const (
	StateRunning  State = "running"  // claimed, its deadline has not passed
	StateRecorded State = "recorded" // its result is recorded
	StateUnknown  State = "unknown"  // claimed, its deadline has passed, no result
)

// Reason says why a claim was not taken. Such a request did not run.
type Reason string

// The reasons of a claim that was not taken.
const (
	ReasonStoreDown Reason = "store_down" // the store can't be read or written
	ReasonTimeout   Reason = "timeout"    // no confirmation within the claim's time
	ReasonFull      Reason = "full"       // the bucket holds as many records as it may
	ReasonDeadline  Reason = "deadline"   // the request's deadline has passed
	ReasonStopped   Reason = "stopped"    // the ledger has stopped
	ReasonAbandoned Reason = "abandoned"  // the caller has gone
)

// Action is an output of the machine.
type Action interface{ isAction() }

// Read asks to read the bucket. One Read or Write is in flight at a time.
type Read struct{}

// Write asks to write the bucket if it stands at IfVersion.
type Write struct {
	IfVersion uint64
	Records   Records
}

// Granted gives the right to run the request, once, until its deadline.
type Granted struct{ ID ClaimID }

// Held refuses a claim: an earlier request holds the key.
type Held struct {
	ID         ClaimID
	State      State
	Result     Result
	RetryAfter time.Duration
}

// Mismatch refuses a claim: the key was used with another body.
type Mismatch struct{ ID ClaimID }

// Unavailable refuses a claim: it can't be confirmed. The request did not run
// and must not.
type Unavailable struct {
	ID         ClaimID
	Reason     Reason
	RetryAfter time.Duration
}

// Persisted says that the store holds what Settle or Release asked for.
type Persisted struct{ ID ClaimID }

// WakeAt asks for a Tick at or after At; it replaces an earlier wish.
type WakeAt struct{ At time.Time }

func (Read) isAction()        {}
func (Write) isAction()       {}
func (Granted) isAction()     {}
func (Held) isAction()        {}
func (Mismatch) isAction()    {}
func (Unavailable) isAction() {}
func (Persisted) isAction()   {}
func (WakeAt) isAction()      {}
