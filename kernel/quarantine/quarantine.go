// Package quarantine decides what may run of a request that was on a leaf when
// it broke. Requests are known by their fingerprint, an opaque keyed hash of
// caller, service and body.
package quarantine

import "time"

// Config sets the times and bounds of a machine.
type Config struct {
	// QuarantineDuration is how long a fingerprint with two breaks is refused. After
	// that it is a suspect again, so that a resend breaks one leaf at most.
	QuarantineDuration time.Duration
	// SuspectDuration is how long one break, or its clearing, is remembered.
	SuspectDuration time.Duration
	// MaxRecords bounds the suspects and quarantined fingerprints kept.
	MaxRecords int
	// MaxKnownGood bounds the known-good fingerprints kept.
	MaxKnownGood int
	// MaxDigestRecords bounds the records sent to a peer.
	MaxDigestRecords int
}

// Record is the state of a fingerprint. Records merge by the greater Level
// and, of equal levels, the later Until: the merge is commutative, associative
// and idempotent.
type Record struct {
	Fingerprint string
	// Level grows with each change, and its remainder by 3 is the Phase.
	Level     int
	ExpiresAt time.Time
}

// Phase is what a record says of its fingerprint.
type Phase int

// The phases, in the order in which levels pass through them.
const (
	PhaseClear       Phase = iota // a success has shown it harmless
	PhaseSuspect                  // it was on a leaf that broke
	PhaseQuarantined              // it broke a second leaf, alone
	phases
)

// Phase returns the phase of the record's level.
func (r Record) Phase() Phase { return Phase(r.Level % int(phases)) }

// next is the lowest greater level of another phase.
func (r Record) next(p Phase) int {
	return r.Level + (int(p)-int(r.Phase())+int(phases))%int(phases)
}

// Event is an input of the machine.
type Event interface{ isEvent() }

// AttemptEnded is how an attempt ended on a leaf.
type AttemptEnded struct {
	Fingerprint string
	Leaf        string
	Crashed     bool // false: it ran to its end
	Solo        bool // it ran alone: a canary or a suspect
}

// RecordsReceived brings a peer's records.
type RecordsReceived struct{ Records []Record }

// Lifted is an operator's word that a fingerprint may run again.
type Lifted struct{ Fingerprint string }

// Tick lets records expire.
type Tick struct{}

func (AttemptEnded) isEvent()    {}
func (RecordsReceived) isEvent() {}
func (Lifted) isEvent()          {}
func (Tick) isEvent()            {}

// Action is an output of the machine.
type Action interface{ isAction() }

// Announce asks to tell the peers of a record at once, ahead of the next digest.
type Announce struct{ Record Record }

// PhaseChanged tells the running queries of a fingerprint of its new phase: Cleared
// and Condemned of the query package, the latter with Left as its RetryAfter.
type PhaseChanged struct {
	Fingerprint string
	Phase       Phase
	Remaining   time.Duration
}

func (Announce) isAction()     {}
func (PhaseChanged) isAction() {}

// Mode is how a request may run.
type Mode int

// The modes.
const (
	ModeRun     Mode = iota // as any other
	ModeCanary              // one part alone first
	ModeSuspect             // one part alone first, and a second break ends it
	ModeRefuse              // not at all, until RetryAfter has passed
)

// Decision is how a request may run.
type Decision struct {
	Mode       Mode
	RetryAfter time.Duration
}
