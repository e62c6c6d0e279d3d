package soak

import (
	"fmt"
	"net/http"
	"slices"
	"strings"
	"time"

	"github.com/fuchsiaroad/fuchsiaroad/standin/hosted"
)

// promisesNotRun reports whether a status says that a request has not run and
// never will.
func promisesNotRun(status int) bool {
	switch status {
	case http.StatusServiceUnavailable, http.StatusTooManyRequests, http.StatusRequestTimeout, http.StatusMisdirectedRequest:
		return true
	default:
		return false
	}
}

// mostAttempts is the routes' limit on leaves, of each shard, that run a request.
const mostAttempts = 2

// checkAll checks what only the whole run shows.
func (r *run) checkAll(calmEnd time.Time) {
	r.site.ledger.mu.Lock()
	arrivals := slices.Clone(r.site.ledger.arrivals)
	r.site.ledger.mu.Unlock()
	r.mu.Lock()
	outcomes := slices.Clone(r.outcomes)
	r.mu.Unlock()
	byRequest := make(map[string][]arrival)
	for _, a := range arrivals {
		byRequest[a.request] = append(byRequest[a.request], a)
	}
	for i := range outcomes {
		r.checkRequest(&outcomes[i], byRequest[outcomes[i].request])
		delete(byRequest, outcomes[i].request)
	}
	for request := range byRequest {
		r.violation("a leaf got a request that no client sent", request, "")
	}
	r.checkEndless(time.Now())
	r.checkSends(arrivals)
	r.checkDrains(arrivals, outcomes)
	r.checkLapses(outcomes)
	r.checkRepeats(arrivals, outcomes)
	r.checkCrashing(arrivals, outcomes)
	r.checkCalm(outcomes, calmEnd)
}

// checkRequest compares what the client saw with what the leaves did.
func (r *run) checkRequest(o *outcome, arrivals []arrival) {
	runs := make(map[string]int)
	total := 0
	for _, a := range arrivals {
		if a.path != o.path() {
			r.violation("a leaf got another target: "+a.path, o.request, a.leaf)
		}
		if !allowed(o.kind, a.service) {
			r.violation("a leaf of service "+a.service+" got it", o.request, a.leaf)
		}
		if a.ran {
			runs[a.service]++
			total++
		}
	}
	if o.kind == kindOnce && total > 1 {
		r.violation(fmt.Sprintf("a request that is not idempotent ran %d times", total), o.request, "")
	}
	if promisesNotRun(o.status) && total > 0 {
		r.violation(fmt.Sprintf("refused with %d and ran %d times", o.status, total), o.request, "")
	}
	for service, n := range runs {
		if n > mostAttempts {
			r.violation(fmt.Sprintf("%d runs at service %s, of %d allowed", n, service, mostAttempts), o.request, "")
		}
	}
	r.checkSigners(o, arrivals)
	if o.status == 0 && o.cut && o.planned && total > 0 {
		r.violation("a planned stop cut off a request that a leaf had run", o.request, "")
	}
}

// checkSigners checks that each leaf whose signature an answer bears has run the request.
func (r *run) checkSigners(o *outcome, arrivals []arrival) {
	for _, sig := range append(strings.Split(o.header.Get(hosted.HeaderSignatures), ","), o.header.Get(hosted.HeaderSignature)) {
		by, ok := signedBy(strings.TrimSpace(sig), o.request)
		if ok && !slices.ContainsFunc(arrivals, func(a arrival) bool { return a.ran && a.leaf == by.leaf }) {
			r.violation("the signature of a leaf that did not run it", o.request, by.leaf)
		}
	}
}

// allowed reports whether any configuration leads a kind of request to a service.
func allowed(k kind, service string) bool {
	switch k {
	case kindOne, kindOnce:
		return service == "alone"
	case kindProbe:
		return strings.HasPrefix(service, "p")
	default:
		return strings.HasPrefix(service, "s")
	}
}

// countBefore is the number of times before the end; they are sorted.
func countBefore(times []time.Time, end time.Time) int {
	i, _ := slices.BinarySearchFunc(times, end, time.Time.Compare)
	return i
}

// checkCalm looks whether the system is well again at the end.
func (r *run) checkCalm(outcomes []outcome, end time.Time) {
	var all []*outcome
	served := 0
	for i := range outcomes {
		if o := &outcomes[i]; !o.watch && !isCrashing(o.target) && o.sent.After(end.Add(-calmPart)) && o.sent.Before(end.Add(-maxClientTime)) {
			all = append(all, o)
			if o.status == http.StatusOK {
				served++
			}
		}
	}
	r.unserved = summarizeUnserved(all)
	if len(all) == 0 || float64(served) < calmShare*float64(len(all)) {
		r.violation(servedOf(served, len(all))+" in the calm end", "", "")
	}
}

// servedOf says how many of some requests were served.
func servedOf(served, asked int) string {
	return fmt.Sprintf("%d of %d requests were served", served, asked)
}
