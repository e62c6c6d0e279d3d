// Package rollout is the state machine that rolls out the configuration at one
// instance and saves new versions of it. The configuration is one object of the
// platform's store, and its version is the object's generation. The machine keeps
// the highest generation it has seen and never goes back to a lower one, whatever a
// stale read, a delayed watch event or a restarted peer returns.
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
	// Hash and Document are set if the value is a valid document.
	Hash     string
	Document *document.Document
	// InvalidReason tells why the value is not a valid document; empty if it is valid.
	InvalidReason string
}

// Source tells where a version came from.
type Source string

// Sources of versions.
const (
	SourceStore Source = "store"
	SourceWatch Source = "watch"
	SourcePeer  Source = "peer"
	SourceSave  Source = "save"
)

// SaveID identifies a submission within the instance.
type SaveID uint64

// Event is an input of the machine.
type Event interface{ isEvent() }

// Start is the first event. It starts the search for a document.
type Start struct{}

// VersionSeen delivers a version that a read, a watch or a peer returned.
type VersionSeen struct {
	Version Version
	Source  Source
	Peer    string // the peer's instance ID, for SourcePeer
}

// StoreEmpty tells that a read found no object. The read may be stale.
type StoreEmpty struct{}

// StoreFailed tells that a read got no answer.
type StoreFailed struct{}

// PeerGeneration tells the generation in force at a peer, from its gossip digest.
type PeerGeneration struct {
	Peer       string
	Generation uint64
}

// PeerFailed tells that a peer did not return its document.
type PeerFailed struct{ Peer string }

// Submit requests to save a validated document over the version that its form was
// opened with. Nonce is unique to the submission and unguessable.
type Submit struct {
	ID        SaveID
	Nonce     string
	TOML      []byte
	Hash      string
	Document  *document.Document
	IfVersion uint64
}

// PutDone tells that the conditional update took effect.
type PutDone struct {
	ID         SaveID
	Generation uint64
}

// PutConflict tells that the object had another version than the expected one. An
// earlier attempt of the same save may have changed it.
type PutConflict struct{ ID SaveID }

// PutUnknown tells that the reply was lost: the update may have taken effect, or may
// still do so.
type PutUnknown struct{ ID SaveID }

// PutRefused tells that the store has certainly not applied the update.
type PutRefused struct {
	ID         SaveID
	Reason     string
	RetryAfter time.Duration
}

// Tick tells that a time requested by WakeAt has passed.
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

// ReadStore reads the object. The runtime answers each with exactly one VersionSeen,
// StoreEmpty or StoreFailed.
type ReadStore struct{}

// AskPeer requests a peer's document if its generation is above Above. The runtime
// answers with VersionSeen or PeerFailed.
type AskPeer struct {
	Peer  string
	Above uint64
}

// AskAllPeers requests the document of every known peer.
type AskAllPeers struct{}

// PutStore writes the object if its version is IfVersion; 0 creates the object. The
// runtime answers with exactly one Put event and does not retry the write.
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

// AnnounceGeneration sends the generation in force to peers at once. All is true at
// the instance that saved it.
type AnnounceGeneration struct{ All bool }

// RejectVersion reports a version that is not a valid document, or that differs from
// the one in force at the same generation. The version in force stays.
type RejectVersion struct {
	Generation uint64
	Source     Source
	Reason     string
}

// ResolveSave delivers the outcome of a submission. It comes once with a final
// outcome; one with the state Unknown may come before it.
type ResolveSave struct {
	ID      SaveID
	Outcome Outcome
}

// WakeAt requests a Tick at or after At. It replaces an earlier request.
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

// State tells what is known for certain about the effect of a submission.
type State string

// States of a submission.
const (
	Accepted State = "accepted" // the store applied the submission
	Conflict State = "conflict" // another submission replaced the base version: this one has no effect
	Refused  State = "refused"  // the store did not apply the submission
	Unknown  State = "unknown"  // the reply was lost and no later read shows whether the submission took effect
)

// Outcome is the result of a submission.
type Outcome struct {
	State State
	// Generation is that of the submission, if accepted.
	Generation uint64
	// Current is the version that the submission lost against, if in conflict.
	Current *Version
	Reason  string
	// RetryAfter is the retry delay that the store suggested, if refused.
	RetryAfter time.Duration
}
