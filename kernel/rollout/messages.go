// Package rollout is the state machine that spreads the configuration to one
// instance and saves new versions of it. The configuration is one object of
// the platform's store; its version is the generation. The machine holds the
// highest generation it has seen and never takes a lower one, whatever a stale
// read, a late watch or a restarted peer says.
package rollout

import (
	"time"

	"github.com/fuchsiaroad/fuchsiaroad/kernel/document"
)

// Version is the stored object at one generation.
type Version struct {
	Generation uint64
	// Value is the stored object: the save history and the TOML text.
	Value []byte
	// Hash and Document are set when the value is valid.
	Hash     string
	Document *document.Document
	// InvalidReason says why the value is not a valid document; empty when it is.
	InvalidReason string
}

// Source says where a version was seen.
type Source string

// The sources of versions.
const (
	SourceStore Source = "store"
	SourceWatch Source = "watch"
	SourcePeer  Source = "peer"
	SourceSave  Source = "save"
)

// SaveID names a submission within the instance.
type SaveID uint64

// Event is an input of the machine.
type Event interface{ isEvent() }

// Start begins the search for a document.
type Start struct{}

// VersionSeen gives a version that a read, a watch or a peer returned.
type VersionSeen struct {
	Version Version
	Source  Source
	Peer    string // the peer's instance ID, for SourcePeer
}

// StoreEmpty says that a read found no object. The store may be behind.
type StoreEmpty struct{}

// StoreFailed says that a read got no answer.
type StoreFailed struct{}

// PeerGeneration tells a peer's generation in force, from its digest.
type PeerGeneration struct {
	Peer       string
	Generation uint64
}

// PeerFailed says that a peer did not give its document.
type PeerFailed struct{ Peer string }

// Submit asks to save a validated document over the version that its form was
// opened with. Nonce is unique to the submission and unguessable.
type Submit struct {
	ID        SaveID
	Nonce     string
	TOML      []byte
	Hash      string
	Document  *document.Document
	IfVersion uint64
}

// PutDone says that the conditional update took effect.
type PutDone struct {
	ID         SaveID
	Generation uint64
}

// PutConflict says that the object had another version than the one named.
// An earlier try of the same save may be what changed it.
type PutConflict struct{ ID SaveID }

// PutUnknown says that the reply was lost: the update may have taken effect,
// or may still take effect.
type PutUnknown struct{ ID SaveID }

// PutRefused says that the store provably did not take the update.
type PutRefused struct {
	ID         SaveID
	Reason     string
	RetryAfter time.Duration
}

// Tick says that a time asked for by WakeAt has passed.
type Tick struct{}

func (Start) isEvent()          {}
func (VersionSeen) isEvent()    {}
func (StoreEmpty) isEvent()     {}
func (StoreFailed) isEvent()    {}
func (PeerGeneration) isEvent() {}
func (PeerFailed) isEvent()     {}
func (Submit) isEvent()         {}
func (PutDone) isEvent()        {}
func (PutConflict) isEvent()    {}
func (PutUnknown) isEvent()     {}
func (PutRefused) isEvent()     {}
func (Tick) isEvent()           {}

// Action is an output of the machine.
type Action interface{ isAction() }

// ReadStore reads the object. The runtime answers each with exactly one Seen,
// StoreEmpty or StoreFailed.
type ReadStore struct{}

// AskPeer asks a peer for its document, if newer than Above. The runtime
// answers with Seen or PeerFailed.
type AskPeer struct {
	Peer  string
	Above uint64
}

// AskAllPeers asks every known peer for its document.
type AskAllPeers struct{}

// PutStore writes the object on condition of its version; 0 creates it. The
// runtime answers with exactly one Put event and does not repeat the write.
type PutStore struct {
	ID        SaveID
	IfVersion uint64
	Value     []byte
}

// Activate puts a version in force at this instance.
type Activate struct {
	Version Version
	Source  Source
}

// AnnounceGeneration tells peers of the generation in force at once. All is set at the
// instance that saved.
type AnnounceGeneration struct{ All bool }

// RejectVersion reports a version that is not a valid document, or that contradicts
// the one in force at the same generation. The one in force stays.
type RejectVersion struct {
	Generation uint64
	Source     Source
	Reason     string
}

// ResolveSave gives the outcome of a submission. It comes once with a final
// outcome; an Unknown may come before it.
type ResolveSave struct {
	ID      SaveID
	Outcome Outcome
}

// WakeAt asks for a Tick at or after At; it replaces an earlier wish.
type WakeAt struct{ At time.Time }

func (ReadStore) isAction()          {}
func (AskPeer) isAction()            {}
func (AskAllPeers) isAction()        {}
func (PutStore) isAction()           {}
func (Activate) isAction()           {}
func (AnnounceGeneration) isAction() {}
func (RejectVersion) isAction()      {}
func (ResolveSave) isAction()        {}
func (WakeAt) isAction()             {}

// State is the truthful class of a submission's outcome.
type State string

// The states of a submission.
const (
	Accepted State = "accepted" // the store holds it, or held it
	Conflict State = "conflict" // another version took its place: it has no effect
	Refused  State = "refused"  // the store did not take it
	Unknown  State = "unknown"  // the reply was lost and nothing read since settles it
)

// Outcome is what the submitter learns.
type Outcome struct {
	State State
	// Generation is the submission's own, when accepted.
	Generation uint64
	// Current is the version that the submission lost against, in a conflict.
	Current *Version
	Reason  string
	// RetryAfter is the store's hint of when to come back, when refused.
	RetryAfter time.Duration
}
