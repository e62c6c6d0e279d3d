package soak

import (
	"fmt"
	"slices"
	"time"
)

// RepeatUse is the window in which a service came nearest to the limit on repeats.
type RepeatUse struct {
	Service  string
	From     time.Time
	Repeats  int
	Requests int // in the window that counts
	// Slack is the number of repeats beyond the ratio's share of the requests.
	Slack float64
	// Late is the number of the repeats that arrived after their client had its answer.
	Late int
}

// checkRepeats compares the arrivals beyond the first of each request with the fleet's
// limit, in all sliding windows. The requests for a service are those that clients sent on a
// route to it: in the window, the one before it or the one half a window before it,
// whichever has most.
func (r *run) checkRepeats(arrivals []arrival, outcomes []outcome) {
	answeredAt := make(map[string]time.Time, len(outcomes))
	for i := range outcomes {
		answeredAt[outcomes[i].request] = outcomes[i].end
	}
	for service, repeats := range findRepeats(arrivals) {
		use := nearestApproach(arrivalTimes(repeats), r.site.requestTimes(service, outcomes))
		use.Service = service
		for _, a := range repeats {
			if end, ok := answeredAt[a.request]; ok && a.at.After(end) && use.contains(a.at) {
				use.Late++
			}
		}
		if r.repeatUse.Service == "" || use.Slack > r.repeatUse.Slack {
			r.repeatUse = use
		}
		if use.Slack > r.site.profile.slack {
			r.violation(fmt.Sprintf("%d repeats at service %s within %v from %s, %d of them after their answer, for %d requests: %.1f of the slack of %.0f",
				use.Repeats, service, repeatWindow, use.From.Format("15:04:05.000"), use.Late, use.Requests, use.Slack, r.site.profile.slack), "", "")
		}
	}
}

// contains reports whether a time is in the window.
func (u *RepeatUse) contains(at time.Time) bool {
	return !at.Before(u.From) && at.Before(u.From.Add(repeatWindow))
}

// arrivalTimes returns the times of some arrivals.
func arrivalTimes(arrivals []arrival) []time.Time {
	out := make([]time.Time, 0, len(arrivals))
	for _, a := range arrivals {
		out = append(out, a.at)
	}
	return out
}

// findRepeats returns the arrivals beyond the first of each request, by service and in order.
func findRepeats(arrivals []arrival) map[string][]arrival {
	sorted := slices.SortedFunc(slices.Values(arrivals), func(a, b arrival) int { return a.at.Compare(b.at) })
	out := make(map[string][]arrival)
	seen := make(map[string]bool)
	for _, a := range sorted {
		key := a.service + "\x00" + a.request
		if seen[key] {
			out[a.service] = append(out[a.service], a)
		}
		seen[key] = true
	}
	return out
}

// nearestApproach returns the window in which the repeats use most of the slack. Both times
// are sorted, and there is a repeat. The worst window begins or ends with a repeat.
func nearestApproach(repeats, requests []time.Time) RepeatUse {
	var worst RepeatUse
	for _, at := range repeats {
		for _, from := range []time.Time{at, at.Add(time.Nanosecond - repeatWindow)} {
			n := countWithin(repeats, from)
			most := max(countWithin(requests, from), countWithin(requests, from.Add(-repeatWindow/2)), countWithin(requests, from.Add(-repeatWindow)))
			if used := float64(n) - ratio*float64(most); worst.From.IsZero() || used > worst.Slack {
				worst = RepeatUse{From: from, Repeats: n, Requests: most, Slack: used}
			}
		}
	}
	return worst
}

// countWithin is the number of sorted times in the window from a time on.
func countWithin(times []time.Time, from time.Time) int {
	return countBefore(times, from.Add(repeatWindow)) - countBefore(times, from)
}

// requestTimes returns when clients sent requests on routes to a service, in order.
func (s *site) requestTimes(service string, outcomes []outcome) []time.Time {
	var out []time.Time
	for i := range outcomes {
		if o := &outcomes[i]; s.leadsTo(o, service) {
			out = append(out, o.sent)
		}
	}
	slices.SortFunc(out, time.Time.Compare)
	return out
}

// leadsTo reports whether a configuration that may be in force when a request is sent leads
// it to a service.
func (s *site) leadsTo(o *outcome, service string) bool {
	if !allowed(o.kind, service) {
		return false
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	for i := range s.changed {
		replaced := i+1 < len(s.changed) && o.sent.After(s.changed[i+1].Add(s.profile.bound))
		if replaced || o.sent.Before(s.changed[i]) {
			continue
		}
		switch o.kind {
		case kindSearch:
			if slices.Contains(s.setOf[i], service) {
				return true
			}
		case kindProbe:
			if service == probeService(uint64(i+1)) {
				return true
			}
		default:
			return true
		}
	}
	return false
}
