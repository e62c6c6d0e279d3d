package quarantine

import "time"

// LossCounter counts the leaves that were lost under a request. Where connections
// end for many reasons, one lost connection proves nothing: a request is suspected
// only after several leaves were lost under it and none ran it to completion. It is
// not safe for concurrent use.
type LossCounter struct {
	// Window is how long after the last loss the losses of a request count.
	Window time.Duration
	// MaxRequests bounds the requests that are tracked.
	MaxRequests int

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

// requestLosses are the losses of one request.
type requestLosses struct {
	lost      map[Incarnation]bool
	expiresAt time.Time
}

// RecordLoss counts a leaf that was lost under a request. It reports whether the
// request is suspected, which it is once as many incarnations as the threshold were
// lost; the count then starts again from 0.
func (c *LossCounter) RecordLoss(fingerprint string, leaf Incarnation, threshold int, now time.Time) bool {
	r := c.byRequest[fingerprint]
	if r == nil || !now.Before(r.expiresAt) {
		r = &requestLosses{lost: make(map[Incarnation]bool)}
		c.put(fingerprint, r, now)
	}
	r.expiresAt = now.Add(c.Window)
	r.lost[leaf] = true
	if len(r.lost) < threshold {
		return false
	}
	delete(c.byRequest, fingerprint)
	return true
}

// RecordSuccess clears the losses of a request that a leaf ran to completion: it
// crashes no leaf.
func (c *LossCounter) RecordSuccess(fingerprint string) { delete(c.byRequest, fingerprint) }

// Empty reports whether no losses are tracked.
func (c *LossCounter) Empty() bool { return len(c.byRequest) == 0 }

// put stores the losses of a request. At MaxRequests it deletes the expired ones or,
// where none is expired, the one that expires first.
func (c *LossCounter) put(fingerprint string, r *requestLosses, now time.Time) {
	if c.byRequest == nil {
		c.byRequest = make(map[string]*requestLosses)
	}
	if len(c.byRequest) >= max(c.MaxRequests, 1) {
		c.evict(now)
	}
	c.byRequest[fingerprint] = r
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
