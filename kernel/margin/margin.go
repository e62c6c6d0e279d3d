// Package margin estimates how long before its objective an answer must be
// settled so that it reaches the caller in time. The margin covers the network
// delay to the caller and back, and the instance's own delay: on a small share of
// a core, scheduling the instance, merging the parts and sending a large answer
// take a good part of a short objective.
package margin

import "time"

const (
	// InitialOwnDelay is the assumed own delay of an instance that has measured none.
	InitialOwnDelay = 4 * time.Millisecond
	// DefaultNetworkDelay is assumed for a caller whose connection does not report
	// its round trip: two round trips of 6 ms, as a new connection takes, and 2 ms
	// until an instance on a small share of a core accepts the connection.
	DefaultNetworkDelay = 14 * time.Millisecond
	// unmeasuredDelay covers the delays that an instance can't measure: until it is
	// scheduled to read a request, and until the answer has left. Without it, queries
	// just miss the objective on instances with a fraction of a core.
	unmeasuredDelay = 4 * time.Millisecond
	// meanGain and deviationGain are the weights of one delay in the moving averages,
	// as in the estimate of TCP's retransmission timeout (RFC 6298). deviationFactor
	// is below the 4 of the RFC: a late answer still has a tenth of its value, and
	// an answer that is settled early for lack of one part loses a hundredth.
	meanGain        = 0.125
	deviationGain   = 0.25
	deviationFactor = 2
	// maxShare bounds the margin as a share of the objective.
	maxShare = 0.5
)

// DelayEstimator keeps a moving average of one delay and of its mean deviation. It
// is not safe for concurrent use.
type DelayEstimator struct {
	known           bool    // a delay was observed
	mean, deviation float64 // seconds
}

// Observe adds one measured delay.
func (e *DelayEstimator) Observe(d time.Duration) {
	x := max(d, 0).Seconds()
	if !e.known {
		e.known, e.mean, e.deviation = true, x, x/2
		return
	}
	off := x - e.mean
	e.mean += meanGain * off
	e.deviation += deviationGain * (max(off, -off) - e.deviation)
}

// UpperBound returns a delay that most observations do not exceed, or initial
// before the first observation.
func (e *DelayEstimator) UpperBound(initial time.Duration) time.Duration {
	if !e.known {
		return initial
	}
	return time.Duration((e.mean + deviationFactor*e.deviation) * float64(time.Second))
}

// ForObjective returns how long before the objective an answer is due, given the
// network delay and the instance's own delay.
func ForObjective(objective, networkDelay, ownDelay time.Duration) time.Duration {
	return min(networkDelay+ownDelay, time.Duration(maxShare*float64(objective)))
}

// NetworkDelay returns the time that a request and its answer spend between caller
// and instance, from the round trip of the connection; a round trip of 0 is
// unknown. A request that opened its connection has also waited for the handshake,
// one more round trip, and for acceptDelay until the instance accepted it.
func NetworkDelay(roundTrip time.Duration, newConnection bool, acceptDelay time.Duration) time.Duration {
	if roundTrip <= 0 {
		return DefaultNetworkDelay
	}
	if !newConnection {
		return roundTrip + unmeasuredDelay
	}
	return 2*roundTrip + acceptDelay + unmeasuredDelay
}
