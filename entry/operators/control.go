// Package operators serves the operators' HTTP API and holds the one path by
// which a configuration document is saved, whether it comes from the API, from
// fuchsiactl or from a form of the console.
package operators

import (
	"context"
	"time"

	"github.com/fuchsiaroad/fuchsiaroad/api/callerapi"
	"github.com/fuchsiaroad/fuchsiaroad/api/peerapi"
	"github.com/fuchsiaroad/fuchsiaroad/api/platformapi"
	"github.com/fuchsiaroad/fuchsiaroad/config/fault"
	"github.com/fuchsiaroad/fuchsiaroad/kernel/document"
	"github.com/fuchsiaroad/fuchsiaroad/kernel/view"
)

// Control is what operators need of the instance's control. Its methods may be
// called from many goroutines.
type Control interface {
	// Current is the version in force; false before there is one.
	Current() (Version, bool)
	// Submit saves a validated document on condition of the version it names
	// and waits until the outcome is settled. It gives Unknown when the outcome
	// is not settled in time or the context ends first; the save may then still
	// take effect.
	Submit(ctx context.Context, s Submission) Outcome
	// ConfigStatus is the generation in force per instance, as last received.
	ConfigStatus() callerapi.ConfigStatus
	// Instances is the platform's list as last received.
	Instances() []platformapi.Instance
}

// Quarantine is what operators need of the executor.
type Quarantine interface {
	Quarantine() []peerapi.QuarantineRecord
	LiftQuarantine(fingerprint string)
}

// Views gives the view in force; nil before there is a document.
type Views interface {
	View() *view.View
}

// Version is the configuration in force at this instance, or one that a save
// lost against. The latter has a Fault and no Document if it is not valid.
type Version struct {
	Generation uint64
	// Base is the version that a save names when its form is opened now. It is
	// above Generation when the store holds a newer version that is not a valid
	// document; Fault then says why.
	Base     uint64
	Hash     string
	TOML     []byte
	Document *document.Document
	Fault    string
}

// Stored is the generation of the store's newest version, valid or not, as far
// as this one tells of it.
func (v *Version) Stored() uint64 { return max(v.Base, v.Generation) }

// Submission is a validated document to be saved.
type Submission struct {
	TOML     []byte
	Hash     string
	Document *document.Document
	// IfVersion is the version that the submission was made from; 0 creates.
	IfVersion uint64
}

// State is the truthful class of a save's outcome.
type State string

// The states of a save.
const (
	Accepted State = "accepted" // the store holds it: it comes into force everywhere
	Conflict State = "conflict" // another version took its place: it has no effect
	Refused  State = "refused"  // the store did not take it: it has no effect
	Unknown  State = "unknown"  // the store's reply was lost: it may take effect
	Invalid  State = "invalid"  // it is not a valid document: it was not submitted
)

// Outcome is what became of a submission.
type Outcome struct {
	State State
	// Generation is the submission's own, when accepted.
	Generation uint64
	// Current is the version that the submission lost against, in a conflict;
	// nil when that can't be read.
	Current *Version
	// Reason says more, for people.
	Reason string
	// RetryAfter says when trying again may help; 0 for no saying.
	RetryAfter time.Duration
}

// SaveResult is the outcome of a save, as the operator sees it.
type SaveResult struct {
	Outcome
	// Hash is that of the submitted document, when valid.
	Hash string
	// Diff is the change from the version in the store to the submitted one, in
	// a conflict. It is empty when both say the same.
	Diff string
	// Faults say what is wrong, when invalid.
	Faults []fault.Fault
}
