// Package adaptivelimit is the limit policy that moves the limit between 1 and the connection
// share by the time that attempts wait inside the leaf. This time includes the waiting that
// other entries' load causes and does not depend on the leaf's load endpoint.
package adaptivelimit

import (
	"time"

	"github.com/fuchsiaroad/fuchsiaroad/kernel/plugin"
)

// Name is the name under which the policy is registered.
const Name = "adaptive"

const (
	sampleWeight = 0.1 // of one reply in the moving averages
	// The mean wait inside the leaf, in mean service times and divided by the limit, above
	// which the limit falls (maxWaitRatio) and below which it may grow (growWaitRatio). The
	// higher the limit, the more of the wait this entry causes itself. At a limit of 1 other
	// entries cause all of it, and the limit cannot fall further.
	maxWaitRatio  = 5.0
	growWaitRatio = 3.5
	growStep      = 1.0 // a limit of n grows by this in n saturated replies
	shrinkStep    = 0.1 // taken off for each reply: a limit of n falls by this share in n replies
	shedFactor    = 0.5 // applied to the limit when the leaf sheds an attempt
	minimumWindow = 10 * time.Second
)

type policy struct {
	share      int
	limit      float64
	wait       float64     // moving average of the wait inside the leaf, seconds
	service    float64     // moving average of the time in a slot, seconds
	minOutside windowedMin // least latency outside the slot: the network's part
}

// New returns a new, independent policy, which starts at the whole share.
func New() plugin.Limit { return &policy{} }

// Limit is at least 1.
func (p *policy) Limit() int { return max(1, int(p.limit)) }

// SetShare sets the upper bound of the limit. The limit starts at the first share.
func (p *policy) SetShare(share int) {
	if p.share == 0 {
		p.limit = float64(share)
	}
	p.share = share
	p.limit = min(p.limit, float64(share))
}

// RecordResult adapts the limit to a reply or to an attempt that the leaf shed.
func (p *policy) RecordResult(r plugin.AttemptResult, now time.Time) {
	if r.Shed {
		p.limit = max(1, p.limit*shedFactor)
		return
	}
	if !r.OK {
		return
	}
	p.updateAverages(r, now)
	switch {
	case p.wait*p.limit > maxWaitRatio*p.service:
		p.limit = max(1, p.limit-shrinkStep)
	case r.Saturated && p.wait*p.limit < growWaitRatio*p.service:
		p.limit = min(float64(p.share), p.limit+growStep/max(1, p.limit))
	}
}

// updateAverages updates the mean wait and the mean service time by a reply. The wait is the
// latency outside the slot beyond its recent minimum.
func (p *policy) updateAverages(r plugin.AttemptResult, now time.Time) {
	if r.Service <= 0 {
		p.updateFromLatency(r)
		return
	}
	outsideSlot := r.Latency - r.Service
	minimum := p.minOutside.observe(outsideSlot, now)
	if p.service == 0 {
		p.service = r.Service.Seconds()
	}
	p.wait += sampleWeight * ((outsideSlot - minimum).Seconds() - p.wait)
	p.service += sampleWeight * (r.Service.Seconds() - p.service)
}

// updateFromLatency is for a leaf that does not state its service time. The estimate of it is
// the mean latency of the attempts that were dispatched below the limit, as these wait
// least. The minimum latency is no estimate where requests differ: with requests of 4 and
// 11 ms the limit fell to 1 at moderate load, and the two or three instances that query a
// leaf left its slots idle.
func (p *policy) updateFromLatency(r plugin.AttemptResult) {
	latency := r.Latency.Seconds()
	if p.service == 0 {
		p.service = latency
	}
	if !r.Saturated {
		p.service += sampleWeight * (latency - p.service)
	}
	p.wait += sampleWeight * (max(0, latency-p.service) - p.wait)
}

// windowedMin is the minimum over the present and the previous window of minimumWindow, so
// that an old minimum expires.
type windowedMin struct {
	since             time.Time
	present, previous time.Duration
}

// observe adds a sample and returns the minimum.
func (m *windowedMin) observe(d time.Duration, now time.Time) time.Duration {
	if m.since.IsZero() {
		m.since, m.present, m.previous = now, d, d
	}
	if now.Sub(m.since) > minimumWindow {
		m.since, m.previous, m.present = now, m.present, d
	}
	m.present = min(m.present, d)
	return min(m.present, m.previous)
}
