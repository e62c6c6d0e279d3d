// Package slowness detects slow leaves from the observations of many instances. One
// instance of a large fleet sends a leaf about one attempt a second and learns too
// late that it is slow; all instances together observe it often. The time between two
// observations tells a slow leaf from one that pauses briefly.
package slowness

import (
	"cmp"
	"slices"
	"time"
)

// Observation is the duration of one attempt on a leaf.
type Observation struct {
	Leaf string
	// Elapsed is the latency of the attempt, or the time until it was given up.
	Elapsed time.Duration
	// Slow says that Elapsed is far above the usual latency; an observation that is
	// not slow clears the leaf.
	Slow bool
	At   time.Time
}

// SlowLeaf is a leaf that is considered slow.
type SlowLeaf struct {
	Leaf string
	// Elapsed is the longest of the recent slow observations.
	Elapsed time.Duration
	// At is the time of the last slow observation.
	At time.Time
}

const (
	// maxPause is longer than the brief pauses of leaves (120 ms): slow observations
	// that lie closer together may all be of one pause.
	maxPause = 150 * time.Millisecond
	// observationLifetime is how long an observation counts. It is shorter than the
	// time between two pauses of a leaf (3 s).
	observationLifetime = 2 * time.Second
	// maxLeaves bounds the leaves that are tracked.
	maxLeaves = 1024
)

// Detector tracks the recent slow observations of each leaf. It is not safe for
// concurrent use.
type Detector struct {
	leaves map[string]*leafState
}

// leafState summarizes the recent slow observations of a leaf.
type leafState struct {
	first, last time.Time
	elapsed     time.Duration // the longest
}

// NewDetector returns a Detector without observations.
func NewDetector() *Detector { return &Detector{leaves: make(map[string]*leafState)} }

// Add adds observations, which may come late and in any order.
func (d *Detector) Add(list []Observation, now time.Time) {
	for _, o := range list {
		if now.Sub(o.At) < observationLifetime {
			d.add(o)
		}
	}
}

func (d *Detector) add(o Observation) {
	s := d.leaves[o.Leaf]
	switch {
	case !o.Slow:
		if s != nil && o.At.After(s.last) {
			delete(d.leaves, o.Leaf)
		}
	case s == nil:
		if len(d.leaves) < maxLeaves {
			d.leaves[o.Leaf] = &leafState{first: o.At, last: o.At, elapsed: o.Elapsed}
		}
	case o.At.Sub(s.last) >= observationLifetime:
		*s = leafState{first: o.At, last: o.At, elapsed: o.Elapsed}
	default:
		s.elapsed = max(s.elapsed, o.Elapsed)
		if o.At.Before(s.first) {
			s.first = o.At
		}
		if o.At.After(s.last) {
			s.last = o.At
		}
	}
}

// SlowLeaves returns the leaves that are considered slow at the given time, sorted by
// name, and forgets leaves whose observations have expired.
func (d *Detector) SlowLeaves(now time.Time) []SlowLeaf {
	var out []SlowLeaf
	for leaf, s := range d.leaves {
		if now.Sub(s.last) >= observationLifetime {
			delete(d.leaves, leaf)
			continue
		}
		if s.last.Sub(s.first) >= maxPause {
			out = append(out, SlowLeaf{Leaf: leaf, Elapsed: s.elapsed, At: s.last})
		}
	}
	slices.SortFunc(out, func(a, b SlowLeaf) int { return cmp.Compare(a.Leaf, b.Leaf) })
	return out
}
