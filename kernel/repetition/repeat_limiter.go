package repetition

import (
	"math"
	"slices"
	"time"
)

// RepeatLimiter limits the repeats of one instance that arrive at a shard within a
// sliding window: all sub-requests beyond the first of a request, whatever their
// cause. The limit applies to the whole fleet, and each instance uses its own part:
// the ratio times its own requests, plus an equal share of the slack. The parts of
// all instances together stay within the limit in every window.
//
// When a repeat arrives is only known to lie between TakeRepeat and Settle, so it
// counts from the first until a window after the second.
//
// A retry saves a request that would fail, and a hedge makes one faster, so hedges leave
// room for the retries that a window usually asks for.
//
// Create it with NewRepeatLimiter. It is not safe for concurrent use.
type RepeatLimiter struct {
	limit     RepeatLimit
	base      time.Time // start of step 0; times are compared by the monotonic clock
	requests  stepCounts
	repeats   stepCounts // settled ones, by the time at which they were settled
	unsettled []*Repeat  // in the order in which they were taken
	retries   stepCounts // the settled repeats that are retries
	// unsettledRetries is the number of retries among unsettled.
	unsettledRetries int
	retryDemand      retryDemand
}

// Repeat is a repeat that TakeRepeat or TakeHedge granted.
type Repeat struct {
	takenAt time.Time
	isRetry bool
}

// retryDemand is the number of retries that a window usually asks for, granted or not: a
// count that decays with the window as its time constant.
type retryDemand struct {
	count float64
	at    time.Time
}

// add counts one more retry.
func (d *retryDemand) add(window time.Duration, now time.Time) {
	d.count, d.at = d.valueAt(window, now)+1, now
}

// valueAt returns the count at a time.
func (d *retryDemand) valueAt(window time.Duration, now time.Time) float64 {
	if d.at.IsZero() || window <= 0 {
		return 0
	}
	return d.count * math.Exp(-float64(now.Sub(d.at))/float64(window))
}

// RepeatLimit is one instance's part of the fleet's limit on repeats at a shard.
type RepeatLimit struct {
	// Ratio is the number of repeats allowed per request.
	Ratio float64
	// Slack is this instance's share of the repeats allowed per window whatever
	// the number of requests.
	Slack float64
	// Window is the length of the sliding window.
	Window time.Duration
}

// stepsPerWindow is the number of time steps by which a window is counted. Repeats
// in a step that is only partly within the window still count, so that the limit
// is strict: their window is effectively longer by up to one step.
const stepsPerWindow = 20

// unearnedSteps is the number of steps, the oldest of the window, whose requests earn nothing:
// one may be partly outside the window, and the requests of one make up for the difference
// between the window of the decision and that of the arrival.
const unearnedSteps = 2

// stepCounts counts events by time step in a ring buffer.
type stepCounts struct {
	counts [stepsPerWindow + 1]int
	total  int
	step   int64 // the newest step
}

// NewRepeatLimiter returns a RepeatLimiter that has counted nothing.
func NewRepeatLimiter(limit RepeatLimit) *RepeatLimiter { return &RepeatLimiter{limit: limit} }

// SetLimit changes the limit and keeps the counts.
func (l *RepeatLimiter) SetLimit(limit RepeatLimit) { l.limit = limit }

// CountRequest counts one request to the shard.
func (l *RepeatLimiter) CountRequest(now time.Time) { l.requests.add(l.stepAt(now)) }

// TakeRepeat takes one more repeat, a retry, or returns nil if the limit does not allow it.
func (l *RepeatLimiter) TakeRepeat(now time.Time) *Repeat {
	l.advance(now)
	l.retryDemand.add(l.limit.Window, now)
	if float64(l.used()+1) > l.allowed() {
		return nil
	}
	l.unsettledRetries++
	return l.take(&Repeat{takenAt: now, isRetry: true})
}

// TakeHedge takes one more repeat, a hedge, or returns nil if the limit does not allow it
// beside the usual number of retries.
func (l *RepeatLimiter) TakeHedge(now time.Time) *Repeat {
	l.advance(now)
	if float64(l.used()+1)+l.reservedForRetries(now) > l.allowed() {
		return nil
	}
	return l.take(&Repeat{takenAt: now})
}

// take adds a granted repeat.
func (l *RepeatLimiter) take(r *Repeat) *Repeat {
	l.unsettled = append(l.unsettled, r)
	return r
}

// retryMargin is added to the number of retries for which hedges leave room: the place of a
// retry becomes free before the next one is wanted, and the limit varies by the counts of a step.
const retryMargin = 2

// reservedForRetries returns the number of retries that a window usually asks for, less those
// that are in use; 0 if it asks for less than one.
func (l *RepeatLimiter) reservedForRetries(now time.Time) float64 {
	usual := l.retryDemand.valueAt(l.limit.Window, now)
	if usual < 1 {
		return 0
	}
	return max(0, math.Ceil(usual)+retryMargin-float64(l.retries.total+l.unsettledRetries))
}

// Settle notes that a repeat has arrived by now or never will. Only the first call for a
// repeat counts.
func (l *RepeatLimiter) Settle(r *Repeat, now time.Time) {
	if i := slices.Index(l.unsettled, r); i >= 0 {
		l.unsettled = slices.Delete(l.unsettled, i, i+1)
		l.repeats.add(l.stepAt(now))
		if r.isRetry {
			l.unsettledRetries--
			l.retries.add(l.stepAt(now))
		}
	}
}

// advance moves the counts to a time. It settles the repeats that were taken a window
// ago: a leaf that did not read them by then is taken for one that never will.
func (l *RepeatLimiter) advance(now time.Time) {
	step := l.stepAt(now)
	l.requests.advance(step)
	l.repeats.advance(step)
	l.retries.advance(step)
	for len(l.unsettled) > 0 && now.Sub(l.unsettled[0].takenAt) >= l.limit.Window {
		l.Settle(l.unsettled[0], now)
	}
}

// used returns the number of repeats that count now.
func (l *RepeatLimiter) used() int { return l.repeats.total + len(l.unsettled) }

// RemainingRepeats returns how many repeats the limit still allows.
func (l *RepeatLimiter) RemainingRepeats(now time.Time) float64 {
	u := l.Usage(now)
	return max(0, u.Allowed-float64(u.Repeats))
}

// RepeatUsage is what one instance has used of its part of the limit at a shard in the
// window that ends now.
type RepeatUsage struct {
	Requests, Repeats int
	// Unsettled is the number of Repeats that may still arrive.
	Unsettled int
	// Allowed is the number of repeats that the limit allows in the window.
	Allowed float64
}

// Usage returns what has been used of the limit.
func (l *RepeatLimiter) Usage(now time.Time) RepeatUsage {
	l.advance(now)
	return RepeatUsage{Requests: l.requests.total, Repeats: l.used(), Unsettled: len(l.unsettled), Allowed: l.allowed()}
}

// allowed returns the number of repeats allowed in a window. The requests of the
// unearnedSteps oldest steps earn nothing.
func (l *RepeatLimiter) allowed() float64 {
	return l.limit.Ratio*float64(l.requests.total-l.requests.oldest(unearnedSteps)) + l.limit.Slack
}

// stepAt returns the number of the step that holds a time.
func (l *RepeatLimiter) stepAt(now time.Time) int64 {
	if l.base.IsZero() {
		l.base = now
	}
	return int64(now.Sub(l.base)) / max(1, int64(l.limit.Window)/stepsPerWindow)
}

// add counts one event in a step.
func (s *stepCounts) add(step int64) {
	s.advance(step)
	s.counts[ringIndex(s.step)]++
	s.total++
}

// advance drops the steps that have left the window. A step before the newest one
// counts as the newest.
func (s *stepCounts) advance(step int64) {
	if step <= s.step {
		return
	}
	if step-s.step > stepsPerWindow {
		*s = stepCounts{step: step}
		return
	}
	for s.step < step {
		s.step++
		i := ringIndex(s.step)
		s.total -= s.counts[i]
		s.counts[i] = 0
	}
}

// oldest returns the count of the n oldest steps kept.
func (s *stepCounts) oldest(n int) (count int) {
	for i := range n {
		count += s.counts[ringIndex(s.step+1+int64(i))]
	}
	return count
}

// ringIndex returns the index of a step in the ring buffer.
func ringIndex(step int64) int { return int(step % (stepsPerWindow + 1)) }
