// Package membership is the state machine that knows which entries are live
// and which leaves are leaving. It joins three sources: the platform's list,
// which lags, the leaves' own drain marks, and the digests of other entries. A
// leaf is leaving when any of them says so.
package membership

import "time"

// Entry is one line of the platform's list for an entry instance.
type Entry struct {
	ID      string
	Zone    string
	Address string // peer address, IP:port
	Leaving bool
}

// Mark is the sighting of a leaf's own drain mark.
type Mark struct {
	Leaf string
	Age  time.Duration // since the latest sighting by anyone
}

// Sample is an instance's generation in force, seen or relayed.
type Sample struct {
	Instance   string
	Generation uint64
	Age        time.Duration
}

// Digest is what one entry tells another. Its lists are bounded by MaxMarks
// and MaxSamples, so that its size does not grow with the fleet.
type Digest struct {
	Instance   string
	Zone       string
	Sequence   uint64
	Generation uint64
	Hash       string
	Draining   bool
	Marks      []Mark // most recent first
	Samples    []Sample
}

// Event is an input of the machine.
type Event interface{ isEvent() }

// Listed gives the platform's list.
type Listed struct {
	Entries []Entry
	// LeavingLeaves are the IDs of the leaves that the list calls leaving.
	LeavingLeaves []string
}

// Heard gives another entry's digest. Digests may come late or out of order.
type Heard struct{ Digest Digest }

// LeafDraining says that a leaf's own drain mark was seen on a reply or probe.
type LeafDraining struct{ Leaf string }

// LeafReady says that a leaf answered a probe and showed no drain mark.
type LeafReady struct{ Leaf string }

// LeafSilent says that a leaf did not answer a probe.
type LeafSilent struct{ Leaf string }

// InForce tells this entry's own generation in force.
type InForce struct {
	Generation uint64
	Hash       string
}

// Drain says that this entry is leaving.
type Drain struct{}

// Tick says that a time asked for by WakeAt has passed.
type Tick struct{}

func (Listed) isEvent()       {}
func (Heard) isEvent()        {}
func (LeafDraining) isEvent() {}
func (LeafReady) isEvent()    {}
func (LeafSilent) isEvent()   {}
func (InForce) isEvent()      {}
func (Drain) isEvent()        {}
func (Tick) isEvent()         {}

// Action is an output of the machine.
type Action interface{ isAction() }

// Send exchanges this entry's digest with a peer.
type Send struct{ Peer, Address string }

// Probe asks a leaf's health endpoint whether it still drains. The endpoint
// may mislead: a leaf wrongly called ready declines with its mark.
type Probe struct{ Leaf string }

// Changed says that the set of live entries or of leaving leaves changed.
type Changed struct{}

// WakeAt asks for a Tick at or after At; it replaces an earlier wish.
type WakeAt struct{ At time.Time }

func (Send) isAction()    {}
func (Probe) isAction()   {}
func (Changed) isAction() {}
func (WakeAt) isAction()  {}
