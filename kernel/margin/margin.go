// Package margin learns how long before its objective an answer must be settled
// so that it reaches the caller in time. On an instance with a small share of a
// core, merging and sending a large answer, and getting to it at all, takes a
// good part of a short objective.
package margin

import "time"

const (
	// transit is kept for the way to the caller and back and a new connection of
	// its own: three round trips of 2 to 6 ms, as measured between zones and
	// clients.
	transit = 8 * time.Millisecond
	// first is assumed of the instance's own delay before anything is known.
	first = 4 * time.Millisecond
	// meanGain and spreadGain weigh one delay, and spreads says how many times
	// the mean deviation is added, as in the estimate of TCP's timeout (RFC
	// 6298), with fewer deviations: a late answer is worth a tenth, but one that
	// waits for a part less loses a hundredth.
	meanGain   = 0.125
	spreadGain = 0.25
	spreads    = 2
	// most bounds the margin as a share of the objective.
	most = 0.5
)

// Margin is the estimate. It is used by one goroutine at a time.
type Margin struct {
	known        bool
	mean, spread float64 // seconds
}

// Observe takes the time by which an answer went out later than it was due.
func (m *Margin) Observe(late time.Duration) {
	x := max(late, 0).Seconds()
	if !m.known {
		m.known, m.mean, m.spread = true, x, x/2
		return
	}
	off := x - m.mean
	m.mean += meanGain * off
	m.spread += spreadGain * (max(off, -off) - m.spread)
}

// Before is how long before the objective an answer is due.
func (m *Margin) Before(objective time.Duration) time.Duration {
	own := first
	if m.known {
		own = time.Duration((m.mean + spreads*m.spread) * float64(time.Second))
	}
	return min(transit+own, time.Duration(most*float64(objective)))
}
