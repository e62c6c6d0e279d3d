// Package adaptivelimit moves the limit between 1 and the connection share by
// the time that attempts spend waiting inside the leaf, which no other entry's
// queue and no load endpoint can hide.
package adaptivelimit

import (
	"time"

	"github.com/fuchsiaroad/fuchsiaroad/kernel/plugin"
)

// Name is the name that the policy registers under.
const Name = "adaptive"

const (
	gain = 0.1 // weight of one reply in the moving averages
	// Wait inside the leaf, in mean service times and divided by the limit,
	// above which the limit falls and below which it may grow. The higher the
	// limit, the more of that wait is this entry's own doing; at 1 it is all
	// the other entries', and lower than 1 there is nothing to go.
	waitHigh = 5.0
	waitLow  = 3.5
	grow     = 1.0 // a limit of n grows by this after n saturated replies
	shrink   = 0.1 // share by which the limit falls after n replies
	shedCut  = 0.5 // factor after a shed reply
	floorAge = 10 * time.Second
)

type policy struct {
	share   int
	limit   float64
	wait    float64 // moving average of time outside the slot, seconds
	service float64 // moving average of time in the slot, seconds
	floor   lowest
}

// New returns an independent instance, which starts at the whole share.
func New() plugin.Limit { return &policy{} }

// Limit is at least 1.
func (p *policy) Limit() int { return max(1, int(p.limit)) }

// SetShare bounds the limit; the first share is where it starts.
func (p *policy) SetShare(share int) {
	if p.share == 0 {
		p.limit = float64(share)
	}
	p.share = share
	p.limit = min(p.limit, float64(share))
}

// RecordResult adapts the limit.
func (p *policy) RecordResult(s plugin.AttemptResult, now time.Time) {
	if s.Shed {
		p.limit = max(1, p.limit*shedCut)
		return
	}
	if !s.OK {
		return
	}
	p.learn(s, now)
	switch {
	case p.wait*p.limit > waitHigh*p.service:
		p.limit = max(1, p.limit-shrink)
	case s.Saturated && p.wait*p.limit < waitLow*p.service:
		p.limit = min(float64(p.share), p.limit+grow/max(1, p.limit))
	}
}

// learn updates the averages.
func (p *policy) learn(s plugin.AttemptResult, now time.Time) {
	if s.Service <= 0 {
		p.guess(s)
		return
	}
	outside := s.Latency - s.Service
	least := p.floor.observe(outside, now)
	if p.service == 0 {
		p.service = s.Service.Seconds()
	}
	p.wait += gain * ((outside - least).Seconds() - p.wait)
	p.service += gain * (s.Service.Seconds() - p.service)
}

// guess is for a leaf that does not state its service time: it is taken to serve in the
// mean latency of the attempts that found room to spare, which wait least. The least
// latency is no measure where requests differ: with work of 4 and 11 ms the limit fell to
// 1 at moderate load, and the two or three instances that ask a leaf left its slots idle.
func (p *policy) guess(s plugin.AttemptResult) {
	latency := s.Latency.Seconds()
	if p.service == 0 {
		p.service = latency
	}
	if !s.Saturated {
		p.service += gain * (latency - p.service)
	}
	p.wait += gain * (max(0, latency-p.service) - p.wait)
}

// lowest is the least of two windows, so that an old floor is forgotten.
type lowest struct {
	since             time.Time
	present, previous time.Duration
}

func (l *lowest) observe(d time.Duration, now time.Time) time.Duration {
	if l.since.IsZero() {
		l.since, l.present, l.previous = now, d, d
	}
	if now.Sub(l.since) > floorAge {
		l.since, l.previous, l.present = now, l.present, d
	}
	l.present = min(l.present, d)
	return min(l.present, l.previous)
}
