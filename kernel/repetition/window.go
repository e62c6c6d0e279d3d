package repetition

import "time"

// RepeatLimiter counts one instance's arrivals at a shard over a sliding span of time
// and says how many beyond the first of each request it may add. The limit is
// the fleet's; each instance spends its own part of it: the ratio over its own
// requests, and an equal share of the slack. The parts of all instances
// together stay within the limit, whichever span is looked at.
//
// The zero value is not ready; see NewWindow. It is used by one goroutine at a
// time.
type RepeatLimiter struct {
	limit    RepeatLimit
	base     time.Time // step 0; only the steady clock counts from there
	requests spans
	repeats  spans
}

// RepeatLimit is an instance's own part of a fleet's limit.
type RepeatLimit struct {
	// Ratio is the arrivals beyond the first that one request allows.
	Ratio float64
	// Slack is this instance's share of what is allowed without any request.
	Slack float64
	// Window is the length of time that the limit holds for.
	Window time.Duration
}

// spansPerWindow cuts the span into steps. What happened in a step that is
// partly outside of the span still counts: the count of repeats errs to the safe
// side by a twentieth of the span.
const spansPerWindow = 20

// spans counts events by step of time, in a ring.
type spans struct {
	counts [spansPerWindow + 1]int
	total  int
	step   int64 // the newest step counted
}

// NewRepeatLimiter returns a window that has seen nothing.
func NewRepeatLimiter(l RepeatLimit) *RepeatLimiter { return &RepeatLimiter{limit: l} }

// SetLimit changes the limit; what was counted stays.
func (w *RepeatLimiter) SetLimit(l RepeatLimit) { w.limit = l }

// CountRequest counts one request for the shard.
func (w *RepeatLimiter) CountRequest(now time.Time) { w.requests.add(w.stepOf(now)) }

// TakeRepeat reports whether one more repeat fits now, and counts it if so.
func (w *RepeatLimiter) TakeRepeat(now time.Time) bool {
	step := w.stepOf(now)
	w.requests.advance(step)
	w.repeats.advance(step)
	if float64(w.repeats.total+1) > w.allowed() {
		return false
	}
	w.repeats.add(step)
	return true
}

// RemainingRepeats is how many repeats fit now.
func (w *RepeatLimiter) RemainingRepeats(now time.Time) float64 {
	step := w.stepOf(now)
	w.requests.advance(step)
	w.repeats.advance(step)
	return max(0, w.allowed()-float64(w.repeats.total))
}

// allowed is the number of repeats that the span may hold. The requests counted
// reach a step further back than the repeats may; that step is left out.
func (w *RepeatLimiter) allowed() float64 {
	return w.limit.Ratio*float64(w.requests.total-w.requests.oldest()) + w.limit.Slack
}

// stepOf numbers the step of a time.
func (w *RepeatLimiter) stepOf(now time.Time) int64 {
	if w.base.IsZero() {
		w.base = now
	}
	return int64(now.Sub(w.base)) / max(1, int64(w.limit.Window)/spansPerWindow)
}

// add counts one event of a step.
func (s *spans) add(step int64) {
	s.advance(step)
	s.counts[slot(s.step)]++
	s.total++
}

// advance forgets the steps that have left the window. Time that went back
// counts as the newest step.
func (s *spans) advance(step int64) {
	if step <= s.step {
		return
	}
	if step-s.step > spansPerWindow {
		*s = spans{step: step}
		return
	}
	for s.step < step {
		s.step++
		i := slot(s.step)
		s.total -= s.counts[i]
		s.counts[i] = 0
	}
}

// oldest is the count of the oldest step kept.
func (s *spans) oldest() int { return s.counts[slot(s.step+1)] }

// slot is a step's place in the ring.
func slot(step int64) int { return int(step % (spansPerWindow + 1)) }
