package dispatch

import (
	"math"
	"slices"
	"time"
)

// Admission by priority. Each service judges its own queries by its own objective, so a
// service with small work and a short queue is taken in while a more urgent one of the
// same upstream is refused: at one and a half times the capacity 0.85 of the queries of
// priority 2 were served in time beside 0.61 of priority 1 (two kinds of query over 20
// shards, in virtual time). So of no priority a greater share is taken in than of a more
// urgent one that is refused.
const (
	// precedenceWindow is the time over which queries are remembered.
	precedenceWindow = time.Second
	// precedenceFree is the number of queries of a priority that are not held to it: a
	// share of fewer says nothing.
	precedenceFree = 2
	// precedenceLasts is for how long after the refusal of a query less urgent ones
	// yield to its kind.
	precedenceLasts = 200 * time.Millisecond
)

// precedence remembers what was lately taken in, by priority. It is used by one
// goroutine at a time.
type precedence struct {
	ranks []rankTaken // by priority, the most urgent first
}

// rankTaken are the decayed counts of one priority.
type rankTaken struct {
	priority       int
	offered, taken float64
	last           time.Time // of the counts
	refused        time.Time // when the last one was
}

// decay ages the counts.
func (r *rankTaken) decay(now time.Time) {
	kept := math.Exp(-float64(now.Sub(r.last)) / float64(precedenceWindow))
	r.offered *= kept
	r.taken *= kept
	r.last = now
}

// rank returns the counts of a priority, which are made when they are new.
func (p *precedence) rank(priority int, now time.Time) *rankTaken {
	i, ok := slices.BinarySearchFunc(p.ranks, priority, func(r rankTaken, q int) int { return r.priority - q })
	if !ok {
		p.ranks = slices.Insert(p.ranks, i, rankTaken{priority: priority, last: now})
	}
	return &p.ranks[i]
}

// yields reports whether one more query of a priority would be a greater share of its
// kind than what is taken in of a more urgent one.
func (p *precedence) yields(priority int, now time.Time) bool {
	own := p.rank(priority, now)
	own.decay(now)
	for i := range p.ranks {
		r := &p.ranks[i]
		if r.priority >= priority {
			return false
		}
		r.decay(now)
		if r.offered < precedenceFree || now.Sub(r.refused) > precedenceLasts {
			continue
		}
		if own.taken+1 > r.taken/r.offered*(own.offered+1)+precedenceFree {
			return true
		}
	}
	return false
}

// judged counts a decision.
func (p *precedence) judged(priority int, taken bool, now time.Time) {
	r := p.rank(priority, now)
	r.decay(now)
	r.offered++
	if !taken {
		r.refused = now
		return
	}
	r.taken++
}

// ShouldYield reports whether a query of a priority is to be refused since a more urgent one
// of the upstream is.
func (m *Machine) ShouldYield(priority int, now time.Time) bool {
	return m.precedence.yields(priority, now)
}

// RecordDecision tells of a decision on a query of a priority.
func (m *Machine) RecordDecision(priority int, taken bool, now time.Time) {
	m.precedence.judged(priority, taken, now)
}
