// Package slowleaves keeps what this instance and those that ask it saw of slow leaves, and
// what the instance that it asks reported. One instance of a large fleet asks a leaf rarely
// and would learn too late on its own that it is slow.
package slowleaves

import (
	"sync"
	"time"

	"github.com/fuchsiaroad/fuchsiaroad/api/peerapi"
	"github.com/fuchsiaroad/fuchsiaroad/kernel/slowness"
)

// mostPending bounds the observations that wait to be sent.
const mostPending = 512

// Exchange gathers what this instance and those that ask it see of slow leaves,
// and keeps what it was sent itself. It guards the kernel's detector by a lock.
type Exchange struct {
	mu       sync.Mutex
	detector *slowness.Detector
	pending  []slowness.Observation // for the instance that this one asks
	others   []slowness.SlowLeaf    // what that one reported
}

// New makes an empty one.
func New() *Exchange { return &Exchange{detector: slowness.NewDetector()} }

// Add takes observations, to be passed on.
func (s *Exchange) Add(list []slowness.Observation, now time.Time) {
	if len(list) == 0 {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.detector.Add(list, now)
	s.pending = append(s.pending, list[:min(len(list), mostPending-len(s.pending))]...)
}

// Observe takes the observations of an instance that asks. Their ages are as it says:
// the way here takes about a millisecond.
func (s *Exchange) Observe(seen []peerapi.LeafObservation, now time.Time) {
	list := make([]slowness.Observation, 0, len(seen))
	for _, l := range seen {
		list = append(list, slowness.Observation{Leaf: l.Leaf, Elapsed: ms(l.TookMS), Slow: l.Slow, At: now.Add(-ms(l.AgeMS))})
	}
	s.Add(list, now)
}

// ms converts milliseconds of the wire.
func ms(n int64) time.Duration { return time.Duration(n) * time.Millisecond }

// TakePending returns what is to be sent to the instance that this one asks.
func (s *Exchange) TakePending(now time.Time) []peerapi.LeafObservation {
	s.mu.Lock()
	defer s.mu.Unlock()
	out := make([]peerapi.LeafObservation, 0, len(s.pending))
	for _, p := range s.pending {
		out = append(out, peerapi.LeafObservation{Leaf: p.Leaf, TookMS: p.Elapsed.Milliseconds(), Slow: p.Slow, AgeMS: now.Sub(p.At).Milliseconds()})
	}
	s.pending = s.pending[:0]
	return out
}

// SetReported keeps what the asked instance says.
func (s *Exchange) SetReported(slow []peerapi.LeafObservation, began time.Time) {
	list := make([]slowness.SlowLeaf, 0, len(slow))
	for _, l := range slow {
		list = append(list, slowness.SlowLeaf{Leaf: l.Leaf, Elapsed: ms(l.TookMS), At: began.Add(-ms(l.AgeMS))})
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.others = list
}

// Slow lists the leaves that are taken to be slow here or by the asked instance.
func (s *Exchange) Slow(now time.Time) []slowness.SlowLeaf {
	s.mu.Lock()
	defer s.mu.Unlock()
	own := s.detector.SlowLeaves(now)
	known := make(map[string]bool, len(own))
	for _, l := range own {
		known[l.Leaf] = true
	}
	for _, l := range s.others {
		if !known[l.Leaf] {
			own = append(own, l)
		}
	}
	return own
}

// Report is the list for an instance that asks.
func (s *Exchange) Report(now time.Time) []peerapi.LeafObservation {
	var out []peerapi.LeafObservation
	for _, l := range s.Slow(now) {
		out = append(out, peerapi.LeafObservation{Leaf: l.Leaf, TookMS: l.Elapsed.Milliseconds(), Slow: true, AgeMS: now.Sub(l.At).Milliseconds()})
	}
	return out
}
