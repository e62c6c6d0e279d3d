// Package margin learns how long before its objective an answer must be settled
// so that it reaches the caller in time. On an instance with a small share of a
// core, merging and sending a large answer, and getting to it at all, takes a
// good part of a short objective; so does the way to the caller and back.
package margin

import "time"

const (
	// InitialOwnDelay is assumed of an instance's own delay before anything is known.
	InitialOwnDelay = 4 * time.Millisecond
	// DefaultNetworkDelay is assumed of the way from and to a caller whose connection does
	// not tell its round trip: two of 6 ms, which a new connection takes, and 2 ms to
	// be received on a small share of a core.
	DefaultNetworkDelay = 14 * time.Millisecond
	// unseen is kept for what an instance can't measure: until it is given the
	// processor to read a request, and until the answer has left. Of 1106 queries of a
	// calm day over 71 instances, most with a fifth of a core, 59 to 68 came late
	// without it and 4 with it.
	unseen = 4 * time.Millisecond
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

// DelayEstimator is what is known of one delay. It is used by one goroutine at a time.
type DelayEstimator struct {
	known        bool
	mean, spread float64 // seconds
}

// Observe takes one delay.
func (e *DelayEstimator) Observe(d time.Duration) {
	x := max(d, 0).Seconds()
	if !e.known {
		e.known, e.mean, e.spread = true, x, x/2
		return
	}
	off := x - e.mean
	e.mean += meanGain * off
	e.spread += spreadGain * (max(off, -off) - e.spread)
}

// UpperBound is what most delays do not exceed, or first before any was seen.
func (e *DelayEstimator) UpperBound(first time.Duration) time.Duration {
	if !e.known {
		return first
	}
	return time.Duration((e.mean + spreads*e.spread) * float64(time.Second))
}

// ForObjective is how long before the objective an answer is due, by the way from and to
// the caller and the instance's own delay.
func ForObjective(objective, way, own time.Duration) time.Duration {
	return min(way+own, time.Duration(most*float64(objective)))
}

// NetworkDelay is the time that a request and its answer spend between caller and instance,
// by the connection's round trip; 0: it is not known. A request that opened its
// connection waited for that first, and for the instance to take it.
func NetworkDelay(roundTrip time.Duration, opened bool, taken time.Duration) time.Duration {
	if roundTrip <= 0 {
		return DefaultNetworkDelay
	}
	if !opened {
		return roundTrip + unseen
	}
	return 2*roundTrip + taken + unseen
}
