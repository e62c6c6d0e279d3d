// Package operatorstest is a control in memory, with faults, for tests of what
// operators use.
package operatorstest

import (
	"context"
	"sync"
	"time"

	"github.com/fuchsiaroad/fuchsiaroad/api/callerapi"
	"github.com/fuchsiaroad/fuchsiaroad/api/peerapi"
	"github.com/fuchsiaroad/fuchsiaroad/api/platformapi"
	"github.com/fuchsiaroad/fuchsiaroad/config/codec"
	"github.com/fuchsiaroad/fuchsiaroad/entry/operators"
	"github.com/fuchsiaroad/fuchsiaroad/kernel/document"
	"github.com/fuchsiaroad/fuchsiaroad/kernel/view"
)

// Fault is what goes wrong with the next submission.
type Fault int

// The faults of a submission.
const (
	None        Fault = iota
	LostReply         // it takes effect, and the submitter doesn't learn it
	LostRequest       // it does not take effect, and the submitter doesn't learn it
	Refuse            // the store does not take it
	Overtaken         // another operator's save comes first
	Unreadable        // the same, and the other's version can't be read
)

// RetryAfter is what a refusal says.
const RetryAfter = 1200 * time.Millisecond

// Control holds one document and its version. It implements operators.Control,
// Quarantine and Views.
type Control struct {
	mu      sync.Mutex
	version operators.Version
	next    Fault
	// other is what another operator saves when it overtakes.
	other     *document.Document
	submitted []operators.Submission

	// Status, List and Records are the answers of the methods of like name.
	Status  callerapi.ConfigStatus
	List    []platformapi.Instance
	Records []peerapi.QuarantineRecord
	// Lifted lists the fingerprints that were lifted.
	Lifted []string
}

// New makes a control with a document in force at a generation; nil for none.
func New(generation uint64, doc *document.Document) *Control {
	c := &Control{}
	if doc != nil {
		c.put(generation, doc)
	}
	return c
}

// put makes a document the one in force.
func (c *Control) put(generation uint64, doc *document.Document) {
	c.version = operators.Version{Generation: generation, Base: generation, Hash: codec.Hash(doc), TOML: codec.Format(doc), Document: doc}
}

// Put saves as another operator, at another instance.
func (c *Control) Put(doc *document.Document) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.put(c.version.Base+1, doc)
}

// Break stores a newer version that is not a valid document.
func (c *Control) Break(why string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.version.Base++
	c.version.Fault = why
}

// FailNext sets the fault of the next submission.
func (c *Control) FailNext(f Fault) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.next = f
}

// OvertakeNext lets another operator's document be saved just before the next
// submission.
func (c *Control) OvertakeNext(f Fault, doc *document.Document) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.next, c.other = f, doc
}

// Submitted lists what was submitted.
func (c *Control) Submitted() []operators.Submission {
	c.mu.Lock()
	defer c.mu.Unlock()
	return append([]operators.Submission(nil), c.submitted...)
}

// Current implements operators.Control.
func (c *Control) Current() (operators.Version, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.version, c.version.Document != nil
}

// Submit implements operators.Control.
func (c *Control) Submit(_ context.Context, s operators.Submission) operators.Outcome {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.submitted = append(c.submitted, s)
	fault := c.next
	c.next = None
	switch fault {
	case Refuse:
		return operators.Outcome{State: operators.Refused, Reason: "the store is down", RetryAfter: RetryAfter}
	case LostRequest:
		return operators.Outcome{State: operators.Unknown}
	case Overtaken, Unreadable:
		c.put(c.version.Base+1, c.other)
	case LostReply, None:
	}
	outcome := c.store(s)
	if fault == LostReply {
		return operators.Outcome{State: operators.Unknown}
	}
	if fault == Unreadable {
		outcome.Current = nil
	}
	return outcome
}

// store is the conditional update.
func (c *Control) store(s operators.Submission) operators.Outcome {
	if s.IfVersion != c.version.Base {
		current := c.version
		if current.Fault != "" {
			current = operators.Version{Generation: current.Base, Base: current.Base, Fault: current.Fault}
		}
		return operators.Outcome{State: operators.Conflict, Current: &current}
	}
	c.put(c.version.Base+1, s.Document)
	return operators.Outcome{State: operators.Accepted, Generation: c.version.Generation}
}

// View implements operators.Views.
func (c *Control) View() *view.View {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.version.Document == nil {
		return nil
	}
	leaving := func(string) bool { return false }
	connections := func(*document.Upstream, string) int { return 1 }
	return view.Build(c.version.Generation, c.version.Hash, c.version.Document, leaving, connections)
}

// ConfigStatus implements operators.Control.
func (c *Control) ConfigStatus() callerapi.ConfigStatus { return c.Status }

// Instances implements operators.Control.
func (c *Control) Instances() []platformapi.Instance { return c.List }

// Quarantine implements operators.Quarantine.
func (c *Control) Quarantine() []peerapi.QuarantineRecord { return c.Records }

// LiftQuarantine implements operators.Quarantine.
func (c *Control) LiftQuarantine(fingerprint string) { c.Lifted = append(c.Lifted, fingerprint) }
