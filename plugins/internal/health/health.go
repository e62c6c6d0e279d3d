// Package health judges a leaf by its own outcomes: it ejects one that fails far
// more than its peers and lets single attempts probe whether it is back.
package health

import (
	"time"

	"github.com/fuchsiaroad/fuchsiaroad/kernel/plugin"
)

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
	ejectMost   = 30 * time.Second
)

// FirstProbeDelay is the time between an ejection and the first probe.
const FirstProbeDelay = time.Second

// Leaf decides on ejection from a leaf's own outcomes. The zero value is a leaf
// of which nothing is known.
type Leaf struct {
	// FailureRate is the moving average of failure, in [0, 1].
	FailureRate float64
	ejected     bool
	until       time.Time     // next probe
	pause       time.Duration // time between probes
	probing     bool
}

// Usable reports whether work may go to the leaf: it is not ejected, or its
// next probe is due and none is out.
func (h *Leaf) Usable(now time.Time) bool {
	return !h.ejected || (!h.probing && !now.Before(h.until))
}

// StartProbe notes that an attempt goes out and reports whether it is a probe.
func (h *Leaf) StartProbe(now time.Time) bool {
	if !h.ejected || h.probing || now.Before(h.until) {
		return false
	}
	h.probing = true
	return true
}

// EndInconclusiveProbe ends a probe that showed nothing.
func (h *Leaf) EndInconclusiveProbe() { h.probing = false }

// RecordOutcome takes one result and reports whether the leaf has just come back.
func (h *Leaf) RecordOutcome(failed bool, gain, others float64, now time.Time) bool {
	h.FailureRate += gain * (value(failed) - h.FailureRate)
	if h.ejected {
		return h.judge(failed, now)
	}
	if failed && h.FailureRate > ejectAt && h.FailureRate > others+ejectMargin {
		h.ejected, h.probing = true, false
		h.pause = FirstProbeDelay
		h.until = now.Add(h.pause)
	}
	return false
}

// judge ends a probe. Results of attempts from before the ejection count for
// a failure only.
func (h *Leaf) judge(failed bool, now time.Time) bool {
	if !h.probing {
		return false
	}
	h.probing = false
	if failed {
		h.pause = min(2*h.pause, ejectMost)
		h.until = now.Add(h.pause)
		return false
	}
	h.ejected, h.FailureRate = false, 0
	return true
}

// OutcomeWeight is the weight of an outcome in the average of failure, 0 for one that
// shows nothing. A cancelled attempt shows something when it was late: a leaf
// that swallows requests is otherwise hidden by the hedges that answer. mean is
// the mean latency of all leaves in seconds, 0 while it is unknown.
func OutcomeWeight(s plugin.AttemptResult, mean float64) float64 {
	switch {
	case s.OK, s.Shed, s.Failed:
		return failureGain
	case s.TimedOut:
		return timeoutGain
	case s.Cancelled && mean > 0 && s.Latency.Seconds() > lateFactor*mean:
		return lateGain
	default:
		return 0
	}
}

// value is 1 for true.
func value(b bool) float64 {
	if b {
		return 1
	}
	return 0
}
