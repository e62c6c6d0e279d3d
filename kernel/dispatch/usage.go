package dispatch

import (
	"math"
	"slices"
	"time"
)

// Fairness between callers at admission.
const (
	// usageWindow is the time over which admissions are remembered.
	usageWindow = 2 * time.Second
	// A caller's patience is multiplied by (fair share / used share) to the
	// power usagePower, within the bounds.
	usagePower = 2
	leastUsage = 0.25
	mostUsage  = 20.0
	// forgetBelow is the weight at which a silent caller is forgotten.
	forgetBelow = 0.01
)

// callerUsage is one caller's decayed counts.
type callerUsage struct {
	name              string
	offered, admitted float64
	share             float64
	last              time.Time
}

// usage remembers what each caller has lately been given of the admissions.
type usage struct {
	callers map[string]*callerUsage
	order   []*callerUsage // as they came, so that sums are the same in each run
	swept   time.Time
}

func newUsage() usage { return usage{callers: make(map[string]*callerUsage)} }

// offered counts a query and returns the factor on the caller's patience:
// above 1 for one who has been given less than its fair share, below 1 for one
// who has been given more.
func (u *usage) offered(caller string, share int, now time.Time) float64 {
	u.sweep(now)
	c := u.callers[caller]
	if c == nil {
		c = &callerUsage{name: caller, last: now}
		u.callers[caller] = c
		u.order = append(u.order, c)
	}
	c.decay(now)
	c.share = float64(max(1, share))
	c.offered++
	admitted, shares := 0.0, 0.0
	for _, o := range u.order {
		o.decay(now)
		admitted += o.admitted
		shares += o.share
	}
	if admitted == 0 {
		return 1
	}
	fair := c.share / shares * admitted
	if c.offered <= fair {
		return mostUsage // asks for no more than its share: max-min fairness
	}
	return min(max(math.Pow(fair/max(c.admitted, 1e-3), usagePower), leastUsage), mostUsage)
}

// admitted counts an admission of a caller who was just offered.
func (u *usage) admitted(caller string) { u.callers[caller].admitted++ }

// decay ages the counts.
func (c *callerUsage) decay(now time.Time) {
	kept := math.Exp(-float64(now.Sub(c.last)) / float64(usageWindow))
	c.offered *= kept
	c.admitted *= kept
	c.last = now
}

// sweep forgets silent callers, so that their shares fall to the others.
func (u *usage) sweep(now time.Time) {
	if now.Sub(u.swept) < usageWindow {
		return
	}
	u.swept = now
	u.order = slices.DeleteFunc(u.order, func(c *callerUsage) bool {
		c.decay(now)
		if c.offered >= forgetBelow {
			return false
		}
		delete(u.callers, c.name)
		return true
	})
}
