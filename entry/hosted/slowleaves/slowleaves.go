// Package slowleaves combines observations of leaves across instances to detect slow leaves. An
// instance collects its own observations and those of the instances that sync from it, and
// passes them on to the instance from which it syncs, which reports the slow leaves that it
// knows. One instance of a large fleet queries a leaf rarely, and would detect too late on its
// own that the leaf is slow.
package slowleaves

import (
	"sync"
	"time"

	"github.com/fuchsiaroad/fuchsiaroad/api/peerapi"
	"github.com/fuchsiaroad/fuchsiaroad/kernel/slowness"
)

// maxPending limits the number of observations that wait to be sent.
const maxPending = 512

// Exchange collects observations of leaves from this instance and from those that sync from it,
// and keeps the last report of the instance from which this one syncs. It is safe for
// concurrent use.
type Exchange struct {
	mu       sync.Mutex
	detector *slowness.Detector
	pending  []slowness.Observation // to be sent to the instance from which this one syncs
	reported []slowness.SlowLeaf    // last report of that instance
}

// New returns an empty Exchange.
func New() *Exchange { return &Exchange{detector: slowness.NewDetector()} }

// Add adds observations to the detector and to those that wait to be sent. Of the latter, those
// above maxPending are dropped.
func (e *Exchange) Add(observations []slowness.Observation, now time.Time) {
	if len(observations) == 0 {
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	e.detector.Add(observations, now)
	e.pending = append(e.pending, observations[:min(len(observations), maxPending-len(e.pending))]...)
}

// AddFromPeer adds the observations of an instance that syncs from this one. Their ages are
// used as sent, because the message takes only about a millisecond.
func (e *Exchange) AddFromPeer(seen []peerapi.LeafObservation, now time.Time) {
	observations := make([]slowness.Observation, 0, len(seen))
	for _, l := range seen {
		observations = append(observations, slowness.Observation{Leaf: l.Leaf, Elapsed: milliseconds(l.TookMS), Slow: l.Slow, At: now.Add(-milliseconds(l.AgeMS))})
	}
	e.Add(observations, now)
}

// milliseconds returns a number of milliseconds as a Duration.
func milliseconds(n int64) time.Duration { return time.Duration(n) * time.Millisecond }

// TakePending returns the observations for the instance from which this one syncs, and removes
// them from those that wait to be sent.
func (e *Exchange) TakePending(now time.Time) []peerapi.LeafObservation {
	e.mu.Lock()
	defer e.mu.Unlock()
	out := make([]peerapi.LeafObservation, 0, len(e.pending))
	for _, p := range e.pending {
		out = append(out, peerapi.LeafObservation{Leaf: p.Leaf, TookMS: p.Elapsed.Milliseconds(), Slow: p.Slow, AgeMS: now.Sub(p.At).Milliseconds()})
	}
	e.pending = e.pending[:0]
	return out
}

// SetPeerReport replaces the report of the instance from which this one syncs. Its ages count
// from start, when the sync began.
func (e *Exchange) SetPeerReport(slow []peerapi.LeafObservation, start time.Time) {
	reported := make([]slowness.SlowLeaf, 0, len(slow))
	for _, l := range slow {
		reported = append(reported, slowness.SlowLeaf{Leaf: l.Leaf, Elapsed: milliseconds(l.TookMS), At: start.Add(-milliseconds(l.AgeMS))})
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	e.reported = reported
}

// SlowLeaves returns the leaves that are slow according to this instance's detector or to the
// last report of the instance from which it syncs.
func (e *Exchange) SlowLeaves(now time.Time) []slowness.SlowLeaf {
	e.mu.Lock()
	defer e.mu.Unlock()
	slow := e.detector.SlowLeaves(now)
	detected := make(map[string]bool, len(slow))
	for _, l := range slow {
		detected[l.Leaf] = true
	}
	for _, l := range e.reported {
		if !detected[l.Leaf] {
			slow = append(slow, l)
		}
	}
	return slow
}

// Report returns the slow leaves as they are sent to an instance that syncs from this one.
func (e *Exchange) Report(now time.Time) []peerapi.LeafObservation {
	var out []peerapi.LeafObservation
	for _, l := range e.SlowLeaves(now) {
		out = append(out, peerapi.LeafObservation{Leaf: l.Leaf, TookMS: l.Elapsed.Milliseconds(), Slow: true, AgeMS: now.Sub(l.At).Milliseconds()})
	}
	return out
}
