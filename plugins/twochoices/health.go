package twochoices

import "time"

const (
	// Weights of one outcome in the moving average of failure: a declined or
	// broken attempt and a reply, an attempt that met its deadline, which
	// overload does to good leaves too, and one that was cancelled late.
	failureGain = 0.45
	timeoutGain = 0.15
	lateGain    = 0.05
	// lateFactor times the mean latency of all leaves makes a cancelled attempt late.
	lateFactor = 2
	// A leaf is ejected when its failures are above ejectAt and exceed the
	// average of the other leaves by ejectMargin.
	ejectAt     = 0.65
	ejectMargin = 0.25
	ejectFirst  = time.Second
	ejectMost   = 30 * time.Second
)

// health decides on ejection from a leaf's own outcomes.
type health struct {
	failures float64
	ejected  bool
	until    time.Time     // next probe
	pause    time.Duration // time between probes
	probing  bool
}

// usable reports whether work may go to the leaf: it is not ejected, or its
// next probe is due and none is out.
func (h *health) usable(now time.Time) bool {
	return !h.ejected || (!h.probing && !now.Before(h.until))
}

// probe notes that an attempt goes out and reports whether it is a probe.
func (h *health) probe(now time.Time) bool {
	if !h.ejected || h.probing || now.Before(h.until) {
		return false
	}
	h.probing = true
	return true
}

// inconclusive ends a probe that showed nothing.
func (h *health) inconclusive() { h.probing = false }

// outcome takes one result and reports whether the leaf has just come back.
func (h *health) outcome(failed bool, gain, others float64, now time.Time) bool {
	h.failures += gain * (value(failed) - h.failures)
	if h.ejected {
		return h.judge(failed, now)
	}
	if failed && h.failures > ejectAt && h.failures > others+ejectMargin {
		h.ejected, h.probing = true, false
		h.pause = ejectFirst
		h.until = now.Add(h.pause)
	}
	return false
}

// judge ends a probe. Results of attempts from before the ejection count for
// a failure only.
func (h *health) judge(failed bool, now time.Time) bool {
	if !h.probing {
		return false
	}
	h.probing = false
	if failed {
		h.pause = min(2*h.pause, ejectMost)
		h.until = now.Add(h.pause)
		return false
	}
	h.ejected, h.failures = false, 0
	return true
}
