// Package quarantine decides what may run of a request that was on a leaf when
// it broke. Requests are known by their fingerprint, an opaque keyed hash of
// caller, service and body.
package quarantine

import "time"

// Config sets the times and bounds of a machine.
type Config struct {
	// QuarantineFor is how long a fingerprint with two breaks is refused.
	QuarantineFor time.Duration
	// SuspectFor is how long one break, or its clearing, is remembered.
	SuspectFor time.Duration
	// MaxRecords bounds the suspects and quarantined fingerprints kept.
	MaxRecords int
	// MaxGood bounds the known-good fingerprints kept.
	MaxGood int
	// DigestRecords bounds the records told to a peer.
	DigestRecords int
}

// Record is the state of a fingerprint. Records merge by the greater Level and,
// of equal levels, the later Until.
type Record struct {
	Fingerprint string
	// Level grows with each event: odd is a suspect, even and positive is a
	// cleared suspect, LevelQuarantined is in quarantine.
	Level int
	Until time.Time
}

// LevelQuarantined is the level of a quarantined fingerprint.
const LevelQuarantined = 1 << 20

// Event is an input of the machine.
type Event interface{ isEvent() }

// Observed is how an attempt ended on a leaf.
type Observed struct {
	Fingerprint string
	Leaf        string
	Crashed     bool // false: it ran to its end
	Solo        bool // it ran alone: a canary or a suspect
}

// Merged brings a peer's records.
type Merged struct{ Records []Record }

// Lifted is an operator's word that a fingerprint may run again.
type Lifted struct{ Fingerprint string }

// Tick lets records expire.
type Tick struct{}

func (Observed) isEvent() {}
func (Merged) isEvent()   {}
func (Lifted) isEvent()   {}
func (Tick) isEvent()     {}

// Action is an output of the machine.
type Action interface{ isAction() }

// Announce asks to tell the peers of a record at once.
type Announce struct{ Record Record }

func (Announce) isAction() {}

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
