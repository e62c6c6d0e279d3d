// Package quarantine decides whether and how a request may run that was on a leaf
// when the leaf crashed. It identifies a request by its fingerprint, an opaque keyed
// hash of caller, service and body. Instances exchange their records, so that a
// request which crashes leaves is refused by all of them.
package quarantine

import "time"

// Config sets the durations and bounds of a Machine.
type Config struct {
	// QuarantineDuration is how long a fingerprint is refused after its first probe. After
	// that it is a suspect again, so that a resend crashes one leaf at most.
	QuarantineDuration time.Duration
	// LaterQuarantines are how long it is refused after its second and each later probe
	// since it last ran to completion. The last one applies to all further probes; empty
	// means QuarantineDuration.
	LaterQuarantines []time.Duration
	// SuspectDuration is how long a suspect is remembered.
	SuspectDuration time.Duration
	// ClearDuration is how long the clearing of a suspect is remembered; 0 means
	// SuspectDuration.
	ClearDuration time.Duration
	// MaxRecords bounds the records kept, of all phases.
	MaxRecords int
	// MaxKnownGood bounds the fingerprints kept that ran to completion.
	MaxKnownGood int
	// MaxDigestRecords bounds the records in a digest for a peer.
	MaxDigestRecords int
}

// Record is the state of a fingerprint. Of two records the one with the greater Level
// wins, of equal levels the one with more Probes and then the one with the later
// ExpiresAt: the merge is commutative, associative and idempotent.
type Record struct {
	Fingerprint string
	// Level is a counter that each change of phase increases; Level modulo 3 is the
	// Phase.
	Level int
	// Probes counts the runs alone on a leaf since the request last ran to completion.
	Probes    int
	ExpiresAt time.Time
}

// Phase is the state of a fingerprint.
type Phase int

// The phases, in the order in which growing levels pass through them.
const (
	PhaseClear       Phase = iota // it ran to completion or was released by an operator
	PhaseSuspect                  // it was on a leaf that crashed
	PhaseQuarantined              // it runs alone on a leaf, or has crashed a leaf so
	phaseCount
)

// String returns the phase's name for logs and metrics.
func (p Phase) String() string {
	switch p {
	case PhaseSuspect:
		return "suspect"
	case PhaseQuarantined:
		return "quarantined"
	default:
		return "clear"
	}
}

// Phase returns the phase of the record's level.
func (r Record) Phase() Phase { return Phase(r.Level % int(phaseCount)) }

// nextLevel returns the lowest level of phase p above the record's own; p is another
// phase than the record's.
func (r Record) nextLevel(p Phase) int {
	return r.Level + (int(p)-int(r.Phase())+int(phaseCount))%int(phaseCount)
}

// Event is an input of the machine.
type Event interface{ isEvent() }

// AttemptEnded reports that an attempt ran to completion or was on a leaf that
// crashed.
type AttemptEnded struct {
	Fingerprint string
	Leaf        string
	Crashed     bool // the leaf crashed; false: the attempt ran to completion
	Solo        bool // no other attempt ran on the leaf: a canary or a suspect
}

// RecordsReceived carries records from a peer.
type RecordsReceived struct{ Records []Record }

// RecordsLoaded carries records from a store, which may have been written long ago: a
// quarantine that has passed since leaves a suspect.
type RecordsLoaded struct{ Records []Record }

// ProbeStarted reports that a suspect is about to run alone on a leaf. It stays in
// quarantine unless it runs to completion. Record is the result of NextProbe.
type ProbeStarted struct{ Record Record }

// Lifted reports that an operator allows a fingerprint to run again.
type Lifted struct{ Fingerprint string }

// Tick makes the machine expire records.
type Tick struct{}

func (AttemptEnded) isEvent()    {}
func (RecordsReceived) isEvent() {}
func (RecordsLoaded) isEvent()   {}
func (ProbeStarted) isEvent()    {}
func (Lifted) isEvent()          {}
func (Tick) isEvent()            {}

// Action is an output of the machine.
type Action interface{ isAction() }

// Announce asks for a record to be sent to the peers at once, ahead of the next
// digest.
type Announce struct{ Record Record }

// PhaseChanged reports the new phase of a fingerprint. Running queries with this
// fingerprint get query.Cleared for PhaseClear and query.Quarantined for
// PhaseQuarantined, with Remaining as its RetryAfter.
type PhaseChanged struct {
	Fingerprint string
	Phase       Phase
	Remaining   time.Duration // until the record expires
}

func (Announce) isAction()     {}
func (PhaseChanged) isAction() {}

// Mode is how a request may run.
type Mode int

// The modes of running a request.
const (
	ModeRun     Mode = iota // without restriction
	ModeCanary              // one part runs alone first
	ModeSuspect             // one part runs alone first, and a crash quarantines the request
	ModeRefuse              // not until RetryAfter has passed
)

// Decision says how a request may run.
type Decision struct {
	Mode       Mode
	RetryAfter time.Duration // set for ModeRefuse
}
