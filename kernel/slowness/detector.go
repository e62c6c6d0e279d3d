// Package slowness gathers what many instances see of slow leaves. One instance
// of a large fleet asks a leaf about once a second and learns too late that it
// is slow; together they ask it often. A leaf that merely pauses for a moment is
// distinguished by the time between two observations.
package slowness

import (
	"cmp"
	"slices"
	"time"
)

// Observation is one outcome at a leaf.
type Observation struct {
	Leaf string
	// Elapsed is how long the attempt took, or was out before it was given up.
	Elapsed time.Duration
	// Slow says that this was far more than usual; else it clears the leaf.
	Slow bool
	At   time.Time
}

// SlowLeaf is a leaf that is taken to be slow.
type SlowLeaf struct {
	Leaf string
	// Elapsed is the longest that was seen lately.
	Elapsed time.Duration
	// At is when it was last seen to be slow.
	At time.Time
}

const (
	// pause is longer than leaves pause for a moment (120 ms): observations that
	// lie closer together may all be of one pause.
	pause = 150 * time.Millisecond
	// remember is for how long a observation counts. It is shorter than the time
	// between two pauses of a leaf (3 s).
	remember = 2 * time.Second
	// mostLeaves bounds the leaves that are kept.
	mostLeaves = 1024
)

// Detector is the state. It is used by one goroutine at a time.
type Detector struct {
	leaves map[string]*entry
}

// entry is what was seen of a leaf.
type entry struct {
	first, last time.Time // of the slow observations that count
	took        time.Duration
}

// NewDetector returns an empty detector.
func NewDetector() *Detector { return &Detector{leaves: make(map[string]*entry)} }

// Add takes observations; they may come late and in any order.
func (b *Detector) Add(list []Observation, now time.Time) {
	for _, s := range list {
		if now.Sub(s.At) < remember {
			b.add(s)
		}
	}
}

// add takes one observation.
func (b *Detector) add(s Observation) {
	e := b.leaves[s.Leaf]
	switch {
	case !s.Slow:
		if e != nil && s.At.After(e.last) {
			delete(b.leaves, s.Leaf)
		}
	case e == nil:
		if len(b.leaves) < mostLeaves {
			b.leaves[s.Leaf] = &entry{first: s.At, last: s.At, took: s.Elapsed}
		}
	case s.At.Sub(e.last) >= remember:
		*e = entry{first: s.At, last: s.At, took: s.Elapsed}
	default:
		e.took = max(e.took, s.Elapsed)
		if s.At.Before(e.first) {
			e.first = s.At
		}
		if s.At.After(e.last) {
			e.last = s.At
		}
	}
}

// SlowLeaves lists the leaves that are taken to be slow now, in the order of their
// names, and forgets what no longer counts.
func (b *Detector) SlowLeaves(now time.Time) []SlowLeaf {
	var out []SlowLeaf
	for leaf, e := range b.leaves {
		if now.Sub(e.last) >= remember {
			delete(b.leaves, leaf)
			continue
		}
		if e.last.Sub(e.first) >= pause {
			out = append(out, SlowLeaf{Leaf: leaf, Elapsed: e.took, At: e.last})
		}
	}
	slices.SortFunc(out, func(a, b SlowLeaf) int { return cmp.Compare(a.Leaf, b.Leaf) })
	return out
}
