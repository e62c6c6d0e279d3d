package quarantine

import (
	"cmp"
	"slices"
	"time"
)

// LossCounter counts the leaves that were lost under a request, at this instance and at its
// peers. Where connections end for many reasons, one lost connection proves nothing: a
// request is suspected only after several leaves were lost under it and none ran it to
// completion. It is not safe for concurrent use.
type LossCounter struct {
	// Window is how long after the last loss the losses of a request count.
	Window time.Duration
	// MaxRequests bounds the requests that are tracked.
	MaxRequests int
	// ShareFor is how long after a change a request's losses are among the Changes.
	ShareFor time.Duration

	byRequest map[string]*requestLosses
}

// Incarnation identifies the time of a leaf between two losses of it. A leaf that
// serves again after a loss and is lost once more counts twice, as a service may have
// few leaves.
type Incarnation struct {
	Leaf string
	// Number grows each time the leaf serves again.
	Number int
}

// Losses are the losses of one request, as instances send them to each other.
type Losses struct {
	Fingerprint string
	// Threshold is the number of losses from which the request is suspected.
	Threshold int
	Lost      []Loss
	// ClearedAt is when the request last ran to completion, or was last suspected; earlier
	// losses don't count. It is zero if neither is known.
	ClearedAt time.Time
}

// Loss is the loss of one incarnation of a leaf.
type Loss struct {
	Incarnation
	At time.Time
}

// requestLosses are the losses of one request.
type requestLosses struct {
	threshold int
	lost      map[Incarnation]time.Time
	clearedAt time.Time
	changedAt time.Time
	expiresAt time.Time
	shared    bool // it was among the Changes
	own       bool // this instance saw one of the losses
}

// RecordLoss counts a leaf that was lost under a request. It reports whether the
// request is suspected, which it is once as many incarnations as the threshold were
// lost; the count then starts again from 0.
func (c *LossCounter) RecordLoss(fingerprint string, leaf Incarnation, threshold int, now time.Time) bool {
	r := c.live(fingerprint, now)
	if r == nil {
		r = c.add(fingerprint, now)
	}
	r.threshold = max(r.threshold, threshold)
	r.expiresAt = now.Add(c.Window)
	r.own = true
	if _, known := r.lost[leaf]; !known {
		r.lost[leaf] = now
		r.changedAt = now
	}
	return c.resetAtThreshold(r, now)
}

// resetAtThreshold reports whether the losses of a request reach its threshold, and then clears
// them.
func (c *LossCounter) resetAtThreshold(r *requestLosses, now time.Time) bool {
	if len(r.lost) < r.threshold {
		return false
	}
	r.clear(now)
	return true
}

// clear drops the losses until a time.
func (r *requestLosses) clear(at time.Time) {
	r.clearedAt, r.changedAt, r.threshold, r.own = at, at, 0, false
	clear(r.lost)
}

// RecordSuccess clears the losses of a request that a leaf ran to completion: it
// crashes no leaf.
func (c *LossCounter) RecordSuccess(fingerprint string, now time.Time) {
	r := c.live(fingerprint, now)
	if r == nil {
		return
	}
	if !r.shared {
		delete(c.byRequest, fingerprint)
		return
	}
	if len(r.lost) > 0 {
		r.clear(now)
	}
}

// OwnCount returns the number of losses of a request, seen by any instance; 0 if this instance
// saw none of them.
func (c *LossCounter) OwnCount(fingerprint string, now time.Time) int {
	r := c.live(fingerprint, now)
	if r == nil || !r.own {
		return 0
	}
	return len(r.lost)
}

// Empty reports whether no losses are tracked.
func (c *LossCounter) Empty() bool { return len(c.byRequest) == 0 }

// Changes returns the losses that changed within ShareFor, or all of them, at most limit;
// those of the requests with the most losses first.
func (c *LossCounter) Changes(all bool, limit int, now time.Time) []Losses {
	var out []Losses
	for fingerprint, r := range c.byRequest {
		if !now.Before(r.expiresAt) || (!all && now.Sub(r.changedAt) >= c.ShareFor) {
			continue
		}
		out = append(out, r.export(fingerprint))
	}
	slices.SortFunc(out, func(a, b Losses) int {
		return cmp.Or(cmp.Compare(len(b.Lost), len(a.Lost)), cmp.Compare(a.Fingerprint, b.Fingerprint))
	})
	out = out[:min(len(out), limit)]
	for i := range out {
		c.byRequest[out[i].Fingerprint].shared = true
	}
	return out
}

// export returns the losses of a request for other instances.
func (r *requestLosses) export(fingerprint string) Losses {
	out := Losses{Fingerprint: fingerprint, Threshold: r.threshold, ClearedAt: r.clearedAt}
	for leaf, at := range r.lost {
		out.Lost = append(out.Lost, Loss{Incarnation: leaf, At: at})
	}
	slices.SortFunc(out.Lost, func(a, b Loss) int {
		return cmp.Or(cmp.Compare(a.Leaf, b.Leaf), cmp.Compare(a.Number, b.Number))
	})
	return out
}

// Merge adds the losses that another instance knows. It returns the requests that are
// suspected by the losses of all instances.
func (c *LossCounter) Merge(list []Losses, now time.Time) (suspects []string) {
	for i := range list {
		if c.mergeOne(&list[i], now) {
			suspects = append(suspects, list[i].Fingerprint)
		}
	}
	return suspects
}

// mergeOne adds the losses of one request and reports whether it is suspected.
func (c *LossCounter) mergeOne(l *Losses, now time.Time) bool {
	r := c.live(l.Fingerprint, now)
	if r == nil {
		if len(l.Lost) == 0 {
			return false
		}
		r = c.add(l.Fingerprint, now)
	}
	r.shared = true
	if l.ClearedAt.After(r.clearedAt) && !l.ClearedAt.After(now) {
		r.clearUntil(l.ClearedAt, now)
	}
	changed := false
	for _, loss := range l.Lost {
		if _, known := r.lost[loss.Incarnation]; known || !loss.At.After(r.clearedAt) || loss.At.After(now) || now.Sub(loss.At) >= c.Window || len(r.lost) >= maxLossesPerRequest {
			continue
		}
		r.lost[loss.Incarnation] = loss.At
		r.expiresAt = later(r.expiresAt, loss.At.Add(c.Window))
		changed = true
	}
	if !changed {
		return false
	}
	r.changedAt = now
	r.threshold = max(r.threshold, min(l.Threshold, maxLossesPerRequest))
	return r.threshold > 0 && c.resetAtThreshold(r, now)
}

// maxLossesPerRequest bounds the losses of a request that are accepted from peers.
const maxLossesPerRequest = 1 << 10

// clearUntil drops the losses up to a time.
func (r *requestLosses) clearUntil(at, now time.Time) {
	r.clearedAt = at
	for leaf, lostAt := range r.lost {
		if !lostAt.After(at) {
			delete(r.lost, leaf)
			r.changedAt = now
		}
	}
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// live returns the unexpired losses of a request, or nil.
func (c *LossCounter) live(fingerprint string, now time.Time) *requestLosses {
	r := c.byRequest[fingerprint]
	if r == nil || !now.Before(r.expiresAt) {
		return nil
	}
	return r
}

// add starts the count of a request. At MaxRequests it deletes the expired ones or, where
// none is expired, the one that expires first.
func (c *LossCounter) add(fingerprint string, now time.Time) *requestLosses {
	if c.byRequest == nil {
		c.byRequest = make(map[string]*requestLosses)
	}
	if len(c.byRequest) >= max(c.MaxRequests, 1) {
		c.evict(now)
	}
	r := &requestLosses{lost: make(map[Incarnation]time.Time), changedAt: now, expiresAt: now.Add(c.Window)}
	c.byRequest[fingerprint] = r
	return r
}

// evict makes room for one more request.
func (c *LossCounter) evict(now time.Time) {
	first, expiresAt := "", time.Time{}
	for fingerprint, r := range c.byRequest {
		if !now.Before(r.expiresAt) {
			delete(c.byRequest, fingerprint)
			continue
		}
		if first == "" || r.expiresAt.Before(expiresAt) {
			first, expiresAt = fingerprint, r.expiresAt
		}
	}
	if len(c.byRequest) >= max(c.MaxRequests, 1) {
		delete(c.byRequest, first)
	}
}
