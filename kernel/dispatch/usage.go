package dispatch

import (
	"math"
	"slices"
	"time"
)

// Parameters of fairness between callers at admission.
const (
	// usageWindow is the time constant with which the counts decay.
	usageWindow = 2 * time.Second
	// The factor on a caller's queue share is (fair share / used share) to the power of
	// queueShareExponent, within the two bounds.
	queueShareExponent  = 2
	minQueueShareFactor = 0.25
	maxQueueShareFactor = 20.0
	// forgetBelow is the count of offered queries below which a caller is forgotten.
	forgetBelow = 0.01
)

// callerUsage holds one caller's decayed counts of queries and its share.
type callerUsage struct {
	name              string
	offered, admitted float64
	share             float64
	decayedAt         time.Time
}

// usage tracks how the recent admissions were divided among the callers.
type usage struct {
	callers map[string]*callerUsage
	ordered []*callerUsage // in order of arrival, so that sums are the same in each run
	sweptAt time.Time
}

func newUsage() usage { return usage{callers: make(map[string]*callerUsage)} }

// recordOffer counts an offered query and returns the factor on its caller's queue share:
// above 1 for a caller that was given less than its fair share of admissions, below 1
// for one that was given more.
func (u *usage) recordOffer(caller string, share int, now time.Time) float64 {
	u.sweep(now)
	c := u.callers[caller]
	if c == nil {
		c = &callerUsage{name: caller, decayedAt: now}
		u.callers[caller] = c
		u.ordered = append(u.ordered, c)
	}
	c.decay(now)
	c.share = float64(max(1, share))
	c.offered++
	admitted, shares := 0.0, 0.0
	for _, o := range u.ordered {
		o.decay(now)
		admitted += o.admitted
		shares += o.share
	}
	if admitted == 0 {
		return 1
	}
	fair := c.share / shares * admitted
	if c.offered <= fair {
		return maxQueueShareFactor // it asks for no more than its share: max-min fairness
	}
	return min(max(math.Pow(fair/max(c.admitted, 1e-3), queueShareExponent), minQueueShareFactor), maxQueueShareFactor)
}

// recordAdmission counts an admission. The caller must have been passed to recordOffer.
func (u *usage) recordAdmission(caller string) { u.callers[caller].admitted++ }

// decay ages the counts.
func (c *callerUsage) decay(now time.Time) {
	kept := math.Exp(-float64(now.Sub(c.decayedAt)) / float64(usageWindow))
	c.offered *= kept
	c.admitted *= kept
	c.decayedAt = now
}

// sweep forgets callers that have stopped sending, so that their shares go to the
// others.
func (u *usage) sweep(now time.Time) {
	if now.Sub(u.sweptAt) < usageWindow {
		return
	}
	u.sweptAt = now
	u.ordered = slices.DeleteFunc(u.ordered, func(c *callerUsage) bool {
		c.decay(now)
		if c.offered >= forgetBelow {
			return false
		}
		delete(u.callers, c.name)
		return true
	})
}
