// Package membership is the gossip state machine that tracks which entries (the instances
// that run queries) and leaves are present. It merges the platform's list, which lags,
// with the leaves' own reports that they are leaving and with the digests that entries
// exchange. There is no consensus: each fact spreads independently, ages and expires.
package membership

import "time"

// Instance is one line of the platform's list.
type Instance struct {
	ID          string
	Entry       bool   // an entry; otherwise a leaf
	PeerAddress string // address of an entry's peer listener, IP:port
	Leaving     bool
}

// Digest is the gossip message that an entry sends to a peer. Its lists are bounded.
type Digest struct {
	Instance    string // the sender
	Generation  uint64 // of the configuration in force at the sender
	Hash        string // of that configuration
	Draining    bool
	Leaving     []LeavingLeaf
	Generations []RelayedGeneration
}

// LeavingLeaf is the latest observation that a leaf says it is leaving.
type LeavingLeaf struct {
	Leaf        string
	StartedAtMS int64         // the leaf's start to which it belongs, Unix milliseconds; 0: not known
	Age         time.Duration // since the observation
}

// RelayedGeneration is the generation in force at another instance, as the sender knows it.
type RelayedGeneration struct {
	Instance   string
	Generation uint64
	Age        time.Duration // since it was current
}

// Event is an input of the machine.
type Event interface{ isEvent() }

// ListRead gives the platform's list of instances.
type ListRead struct{ Instances []Instance }

// LeavingObserved reports that a leaf said that it is leaving, in a reply or when asked.
type LeavingObserved struct {
	Leaf        string
	StartedAtMS int64 // the leaf's start, Unix milliseconds; 0: not known
}

// StartObserved reports that a leaf stated a start that was not known before. Observations
// that an earlier start was leaving do not count any more.
type StartObserved struct {
	Leaf        string
	StartedAtMS int64 // Unix milliseconds of the leaf's own clock
}

// DigestReceived gives a peer's digest.
type DigestReceived struct{ Digest *Digest }

// PeerFailed reports that a peer did not answer.
type PeerFailed struct{ Peer string }

// PushNow asks for a push to some peers, for a change outside of this machine.
type PushNow struct{}

// Drain reports that this instance is leaving.
type Drain struct{}

// Tick reports that the time of the last WakeAt has passed.
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

// SendDigest asks for an exchange of digests with a peer.
type SendDigest struct{ Peer Peer }

// MembersChanged reports that the set of leaving leaves or the set of entries changed.
type MembersChanged struct{}

// GenerationReported reports the generation in force at a peer, for each digest received.
type GenerationReported struct {
	Peer       Peer
	Generation uint64
}

// WakeAt asks for a Tick at or after At; it replaces an earlier WakeAt.
type WakeAt struct{ At time.Time }

func (SendDigest) isAction()         {}
func (MembersChanged) isAction()     {}
func (GenerationReported) isAction() {}
func (WakeAt) isAction()             {}

// Peer is another entry.
type Peer struct {
	Instance string
	Address  string // address of its peer listener, IP:port
}

// Config sets the instance's name, the intervals and the bounds.
type Config struct {
	Instance string // this instance
	// Interval is the mean time between rounds of digests.
	Interval time.Duration
	// Fanout is the number of peers that get a digest in a round.
	Fanout int
	// PushFanout is the number of peers that get a digest in a push.
	PushFanout int
	// LeavingTTL is how long an observation of a leaving leaf counts. It must be longer than
	// the lag of the platform's list: a leaf that gets no work sends no replies in which
	// it could be observed again. What is known of a peer expires after it too.
	LeavingTTL time.Duration
	// FreshFor is how long an observation is sent in every digest.
	FreshFor time.Duration
	// PeerTTL is how long an entry that is not on the list may hold connections after
	// the last sign of it.
	PeerTTL time.Duration
	// MaxLeaving and MaxGenerations bound the lists of a digest.
	MaxLeaving     int
	MaxGenerations int
	// MaxAgedLeaving bounds the observations in a digest that are not fresh.
	MaxAgedLeaving int
	Seed           uint64 // of the random choices
}

// DefaultConfig returns the production configuration.
func DefaultConfig(instance string, seed uint64) Config {
	return Config{
		Instance: instance, Seed: seed,
		Interval: time.Second, Fanout: 2, PushFanout: 4,
		LeavingTTL: 2 * time.Minute, PeerTTL: 5 * time.Second,
		FreshFor:   10 * time.Second,
		MaxLeaving: 64, MaxGenerations: 16, MaxAgedLeaving: 8,
	}
}
