package quarantine

import "time"

// LossCounter counts the leaves that were lost under a request. Where connections end
// for many reasons one end proves nothing, and a request is suspected only when
// several leaves were lost under it and none ran it to its end.
type LossCounter struct {
	// Window is how long a loss counts.
	Window time.Duration
	// MaxRequests bounds the requests that are remembered.
	MaxRequests int

	byRequest map[string]*strikes
}

// Incarnation is the time of a leaf between two losses of it: one that serves again after it was
// lost and is lost once more counts twice, as a service may have few leaves.
type Incarnation struct {
	Leaf string
	// Number grows with each time that the leaf serves again.
	Number int
}

// strikes are the losses of one request.
type strikes struct {
	lost  map[Incarnation]bool
	until time.Time
}

// RecordLoss notes that a leaf was lost under a request, and reports whether so many
// lives were that it is suspected. It then counts from anew.
func (s *LossCounter) RecordLoss(fingerprint string, leaf Incarnation, enough int, now time.Time) bool {
	r := s.byRequest[fingerprint]
	if r == nil || !now.Before(r.until) {
		r = &strikes{lost: make(map[Incarnation]bool)}
		s.keep(fingerprint, r, now)
	}
	r.until = now.Add(s.Window)
	r.lost[leaf] = true
	if len(r.lost) < enough {
		return false
	}
	delete(s.byRequest, fingerprint)
	return true
}

// RecordSuccess notes that a leaf ran a request to its end: it breaks none.
func (s *LossCounter) RecordSuccess(fingerprint string) { delete(s.byRequest, fingerprint) }

// Empty reports whether no losses are remembered.
func (s *LossCounter) Empty() bool { return len(s.byRequest) == 0 }

// keep remembers a request's losses. Above the bound those that are over go, or
// else the ones that would be over first.
func (s *LossCounter) keep(fingerprint string, r *strikes, now time.Time) {
	if s.byRequest == nil {
		s.byRequest = make(map[string]*strikes)
	}
	if len(s.byRequest) >= max(s.MaxRequests, 1) {
		s.drop(now)
	}
	s.byRequest[fingerprint] = r
}

// drop makes room for one more.
func (s *LossCounter) drop(now time.Time) {
	first, until := "", time.Time{}
	for fingerprint, r := range s.byRequest {
		if !now.Before(r.until) {
			delete(s.byRequest, fingerprint)
			continue
		}
		if first == "" || r.until.Before(until) {
			first, until = fingerprint, r.until
		}
	}
	if len(s.byRequest) >= max(s.MaxRequests, 1) {
		delete(s.byRequest, first)
	}
}
