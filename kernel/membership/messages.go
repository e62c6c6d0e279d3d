// Package membership is the state machine of who is there: entries and leaves
// of the platform's list, which lags; leaves that say they are leaving; and
// peers, from the digests that entries send each other. Nothing is agreed here:
// each fact spreads by itself, ages, and is forgotten.
package membership

import "time"

// Instance is one line of the platform's list.
type Instance struct {
	ID          string
	Entry       bool   // an entry, else a leaf
	PeerAddress string // of an entry's peer listener, IP:port
	Leaving     bool
}

// Digest is what an entry tells a peer. Its lists are bounded.
type Digest struct {
	Instance    string
	Generation  uint64
	Hash        string
	Draining    bool
	Leaving     []LeavingLeaf
	Generations []RelayedGeneration
}

// LeavingLeaf is one leaf's mark with the age of its freshest observation, and the start of
// the leaf that it is of; 0: not known.
type LeavingLeaf struct {
	Leaf        string
	StartedAtMS int64
	Age         time.Duration
}

// RelayedGeneration is another instance's generation with the age of the word.
type RelayedGeneration struct {
	Instance   string
	Generation uint64
	Age        time.Duration
}

// Event is an input of the machine.
type Event interface{ isEvent() }

// ListRead gives the platform's list of instances.
type ListRead struct{ Instances []Instance }

// LeavingObserved says that a leaf marked itself as leaving, in a reply or when asked.
// Born is the start of the leaf, 0: not known.
type LeavingObserved struct {
	Leaf        string
	StartedAtMS int64
}

// StartObserved says that a leaf reported a start that was not known before, in Unix milliseconds
// of its own clock. A mark of an earlier start counts no more.
type StartObserved struct {
	Leaf        string
	StartedAtMS int64
}

// DigestReceived gives a peer's digest.
type DigestReceived struct{ Digest *Digest }

// PeerFailed says that a peer did not answer.
type PeerFailed struct{ Peer string }

// PushNow asks to tell some peers at once, for a change outside of this machine.
type PushNow struct{}

// Drain says that this instance is leaving.
type Drain struct{}

// Tick says that a time asked for by WakeAt has passed.
type Tick struct{}

func (ListRead) isEvent()        {}
func (LeavingObserved) isEvent() {}
func (StartObserved) isEvent()   {}
func (DigestReceived) isEvent()  {}
func (PeerFailed) isEvent()      {}
func (PushNow) isEvent()         {}
func (Drain) isEvent()           {}
func (Tick) isEvent()            {}

// Action is an output of the machine.
type Action interface{ isAction() }

// SendDigest exchanges digests with a peer.
type SendDigest struct{ Peer Peer }

// MembershipChanged says that the set of leaving leaves or of entries is another.
type MembershipChanged struct{}

// GenerationReported tells the generation in force at a peer.
type GenerationReported struct {
	Peer       Peer
	Generation uint64
}

// WakeAt asks for a Tick at or after At; it replaces an earlier wish.
type WakeAt struct{ At time.Time }

func (SendDigest) isAction()         {}
func (MembershipChanged) isAction()  {}
func (GenerationReported) isAction() {}
func (WakeAt) isAction()             {}

// Peer is another entry.
type Peer struct {
	Instance string
	Address  string // of its peer listener, IP:port
}

// Config sets the name, times and bounds.
type Config struct {
	Instance string
	// Interval is the time between rounds of digests.
	Interval time.Duration
	// Fanout is the number of peers sent to in a round.
	Fanout int
	// PushFanout is the number of peers sent to at once.
	PushFanout int
	// LeavingTTL is how long a observation of a leaving leaf counts. It must be
	// longer than the list lags, since nobody sees the mark of a leaf that
	// gets no work.
	LeavingTTL time.Duration
	// FreshFor is how long a observation is sent in every digest.
	FreshFor time.Duration
	// PeerTTL is how long a peer counts after its last digest.
	PeerTTL time.Duration
	// MaxLeaving and MaxGenerations bound the lists of a digest.
	MaxLeaving     int
	MaxGenerations int
	// MaxAgedLeaving bounds the observations in a digest that are not fresh.
	MaxAgedLeaving int
	Seed           uint64
}

// DefaultConfig returns the settings for production.
func DefaultConfig(instance string, seed uint64) Config {
	return Config{
		Instance: instance, Seed: seed,
		Interval: time.Second, Fanout: 2, PushFanout: 4,
		LeavingTTL: 2 * time.Minute, PeerTTL: 5 * time.Second,
		FreshFor:   10 * time.Second,
		MaxLeaving: 64, MaxGenerations: 16, MaxAgedLeaving: 8,
	}
}
