package dispatch

import (
	"math"
	"slices"
	"time"
)

// Parameters of admission by priority. Each service admits its own queries by its own
// objective, so a service with small work and a short queue would be admitted while a
// more urgent one of the same upstream is refused: at one and a half times the capacity,
// 0.85 of the queries of priority 2 were served in time and 0.61 of priority 1 (two kinds
// of query over 20 shards, simulated). So no priority may have a greater share of its
// queries admitted than a more urgent one that is refused.
const (
	// priorityWindow is the time constant with which the counts decay.
	priorityWindow = time.Second
	// yieldAllowance is a number of queries. A priority with fewer of them makes no
	// other one yield, as their share means little; and a less urgent priority may
	// exceed the share of a refused one by as many.
	yieldAllowance = 2
	// yieldDuration is how long after the refusal of a query the less urgent priorities
	// yield.
	yieldDuration = 200 * time.Millisecond
)

// priorityAdmission counts the recent decisions by priority. It is not safe for
// concurrent use.
type priorityAdmission struct {
	counts []priorityCounts // by priority, most urgent first
}

// priorityCounts holds the decayed counts of one priority.
type priorityCounts struct {
	priority          int
	offered, admitted float64
	decayedAt         time.Time // when the counts were aged last
	lastRefusal       time.Time
}

// decay ages the counts.
func (c *priorityCounts) decay(now time.Time) {
	kept := math.Exp(-float64(now.Sub(c.decayedAt)) / float64(priorityWindow))
	c.offered *= kept
	c.admitted *= kept
	c.decayedAt = now
}

// countsFor returns the counts of a priority and creates them when they are missing.
func (p *priorityAdmission) countsFor(priority int, now time.Time) *priorityCounts {
	i, ok := slices.BinarySearchFunc(p.counts, priority, func(c priorityCounts, q int) int { return c.priority - q })
	if !ok {
		p.counts = slices.Insert(p.counts, i, priorityCounts{priority: priority, decayedAt: now})
	}
	return &p.counts[i]
}

// shouldYield reports whether one more admission of a priority would bring its admitted
// share above that of a more urgent priority that is refused.
func (p *priorityAdmission) shouldYield(priority int, now time.Time) bool {
	own := p.countsFor(priority, now)
	own.decay(now)
	for i := range p.counts {
		c := &p.counts[i]
		if c.priority >= priority {
			return false
		}
		c.decay(now)
		if c.offered < yieldAllowance || now.Sub(c.lastRefusal) > yieldDuration {
			continue
		}
		if own.admitted+1 > c.admitted/c.offered*(own.offered+1)+yieldAllowance {
			return true
		}
	}
	return false
}

// recordDecision counts a decision.
func (p *priorityAdmission) recordDecision(priority int, admitted bool, now time.Time) {
	c := p.countsFor(priority, now)
	c.decay(now)
	c.offered++
	if !admitted {
		c.lastRefusal = now
		return
	}
	c.admitted++
}

// ShouldYield reports whether a query of a priority is to be refused because more urgent
// queries of the upstream are.
func (m *Machine) ShouldYield(priority int, now time.Time) bool {
	return m.priorityAdmission.shouldYield(priority, now)
}

// RecordDecision counts a decision on a query of a priority.
func (m *Machine) RecordDecision(priority int, admitted bool, now time.Time) {
	m.priorityAdmission.recordDecision(priority, admitted, now)
}
