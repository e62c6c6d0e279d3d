// Package health ejects outliers: a leaf whose attempts fail far more often than those of the
// other leaves gets no work, except single attempts that probe whether it has recovered. The
// routing policies share it.
package health

import (
	"time"

	"github.com/fuchsiaroad/fuchsiaroad/kernel/plugin"
)

const (
	// Weights of one outcome in the moving average of failures. failureWeight is for a
	// reply and for a declined or broken attempt. timeoutWeight is for an attempt that
	// reached its deadline; it is lower because overload does this to healthy leaves too.
	// lateWeight is for an attempt that was cancelled late.
	failureWeight = 0.45
	timeoutWeight = 0.15
	lateWeight    = 0.05
	// lateFactor times the mean latency of all leaves is the age from which a cancelled
	// attempt is late.
	lateFactor = 2
	// A leaf is ejected when its failure rate is above ejectThreshold and exceeds the mean
	// of the other leaves by more than ejectMargin.
	ejectThreshold = 0.65
	ejectMargin    = 0.25
	maxProbeDelay  = 30 * time.Second
	// servingTime is the time after a reply in which a leaf counts as serving. Attempts that a
	// serving leaf declines show that it is full: it is ejected for them only after
	// minServingDeclines in a row.
	servingTime        = 3 * time.Second
	minServingDeclines = 8
)

// FirstProbeDelay is the time between an ejection and the first probe. The delay doubles with
// each failed probe, up to maxProbeDelay.
const FirstProbeDelay = time.Second

// FirstFullProbeDelay replaces FirstProbeDelay for a serving leaf that was ejected because it
// declined attempts. It is short because a slot may be free soon.
const FirstFullProbeDelay = 200 * time.Millisecond

// Leaf is the health of one leaf. The zero value is a leaf without outcomes.
type Leaf struct {
	// FailureRate is the moving average of failures, in [0, 1].
	FailureRate float64
	ejected     bool
	nextProbeAt time.Time
	probeDelay  time.Duration // doubles with each failed probe
	probing     bool          // a probe is in flight
	repliedAt   time.Time     // of the last reply
	declines    int           // attempts declined since then
}

// Usable reports whether an attempt may go to the leaf: it is not ejected, or its next probe
// is due and none is in flight.
func (h *Leaf) Usable(now time.Time) bool {
	return !h.ejected || (!h.probing && !now.Before(h.nextProbeAt))
}

// StartProbe notes that an attempt is dispatched to the leaf and reports whether it is a probe.
func (h *Leaf) StartProbe(now time.Time) bool {
	if !h.ejected || h.probing || now.Before(h.nextProbeAt) {
		return false
	}
	h.probing = true
	return true
}

// EndInconclusiveProbe ends a probe whose outcome says nothing about the leaf. The next
// attempt may be a probe again.
func (h *Leaf) EndInconclusiveProbe() { h.probing = false }

// RecordOutcome adds one outcome with its weight to the failure rate. peersRate is the mean
// failure rate of the other leaves. It reports whether the outcome ends the leaf's ejection.
func (h *Leaf) RecordOutcome(r plugin.AttemptResult, weight, peersRate float64, now time.Time) bool {
	failed := !r.OK
	h.FailureRate += weight * (failureValue(failed) - h.FailureRate)
	h.countDecline(r, now)
	if h.ejected {
		return h.endProbe(failed, now)
	}
	if failed && h.FailureRate > ejectThreshold && h.FailureRate > peersRate+ejectMargin {
		h.ejectUnlessFull(r.Shed, now)
	}
	return false
}

// countDecline counts the attempts that were declined since the last reply.
func (h *Leaf) countDecline(r plugin.AttemptResult, now time.Time) {
	switch {
	case r.OK:
		h.repliedAt, h.declines = now, 0
	case r.Shed:
		h.declines++
	}
}

// ejectUnlessFull ejects the leaf, unless a declined attempt shows that it is merely full.
func (h *Leaf) ejectUnlessFull(declined bool, now time.Time) {
	h.probeDelay = FirstProbeDelay
	if declined && now.Sub(h.repliedAt) < servingTime {
		if h.declines < minServingDeclines {
			return
		}
		h.probeDelay = FirstFullProbeDelay
	}
	h.ejected, h.probing = true, false
	h.nextProbeAt = now.Add(h.probeDelay)
}

// endProbe ends a probe, and the ejection if it succeeded; it reports the latter. While no
// probe is in flight, an outcome stems from an attempt that was dispatched before the
// ejection, and counts for the failure rate only.
func (h *Leaf) endProbe(failed bool, now time.Time) bool {
	if !h.probing {
		return false
	}
	h.probing = false
	if failed {
		h.probeDelay = min(2*h.probeDelay, maxProbeDelay)
		h.nextProbeAt = now.Add(h.probeDelay)
		return false
	}
	h.ejected, h.FailureRate = false, 0
	return true
}

// OutcomeWeight is the weight of an outcome in the failure rate; 0 if it says nothing about
// the leaf. An attempt that was cancelled late counts, as otherwise the hedges that are
// answered in its place would hide a leaf that never answers. meanLatency is the mean over
// all leaves in seconds; 0 while it is unknown.
func OutcomeWeight(r plugin.AttemptResult, meanLatency float64) float64 {
	switch {
	case r.OK, r.Shed, r.Failed:
		return failureWeight
	case r.TimedOut:
		return timeoutWeight
	case r.Cancelled && meanLatency > 0 && r.Latency.Seconds() > lateFactor*meanLatency:
		return lateWeight
	default:
		return 0
	}
}

// failureValue is the sample of an outcome in the failure rate.
func failureValue(failed bool) float64 {
	if failed {
		return 1
	}
	return 0
}
