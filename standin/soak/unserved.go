package soak

import (
	"cmp"
	"fmt"
	"net/http"
	"slices"
	"strings"
	"time"
)

// maxReasons and maxInstances bound what a summary of unserved requests names.
const (
	maxReasons   = 8
	maxInstances = 3
)

// responseTimes are the bounds by which a summary groups the times until unserved requests ended.
var responseTimes = []time.Duration{50 * time.Millisecond, 250 * time.Millisecond, time.Second}

// unservedReason is what requests that were not served have in common.
type unservedReason struct {
	kind   kind
	status int
	detail string // the first line of the response, or how the connection ended
}

// String names the reason.
func (u unservedReason) String() string {
	if u.status == 0 {
		return fmt.Sprintf("%s: %s", u.kind, u.detail)
	}
	return fmt.Sprintf("%s: %d %s", u.kind, u.status, u.detail)
}

// reasonOf returns why a request was not served, as its client saw it.
func reasonOf(o *outcome) unservedReason {
	detail, _, _ := strings.Cut(o.body, "\n")
	switch {
	case o.status != 0:
	case o.cut:
		detail = "connection closed"
	default:
		detail = "no response"
	}
	return unservedReason{kind: o.kind, status: o.status, detail: detail}
}

// unservedCount counts the requests of one reason.
type unservedCount struct {
	total       int
	byTime      []int // by responseTimes; the last one is of all later ones
	byInstance  map[string]int
	first, last time.Time // when they were sent
}

// add counts a request.
func (c *unservedCount) add(o *outcome) {
	if c.byInstance == nil {
		c.byInstance, c.byTime, c.first = make(map[string]int), make([]int, len(responseTimes)+1), o.sent
	}
	c.total++
	i, _ := slices.BinarySearch(responseTimes, o.end.Sub(o.sent))
	c.byTime[i]++
	c.byInstance[o.instance]++
	if o.sent.Before(c.first) {
		c.first = o.sent
	}
	if o.sent.After(c.last) {
		c.last = o.sent
	}
}

// times describes how long the requests took.
func (c *unservedCount) times() string {
	var out []string
	for i, n := range c.byTime {
		switch {
		case n == 0:
		case i < len(responseTimes):
			out = append(out, fmt.Sprintf("%d within %v", n, responseTimes[i]))
		default:
			out = append(out, fmt.Sprintf("%d later", n))
		}
	}
	return strings.Join(out, ", ")
}

// instances names the instances that were asked most.
func (c *unservedCount) instances() string {
	names := make([]string, 0, len(c.byInstance))
	for name := range c.byInstance {
		names = append(names, name)
	}
	slices.SortFunc(names, func(a, b string) int {
		return cmp.Or(cmp.Compare(c.byInstance[b], c.byInstance[a]), strings.Compare(a, b))
	})
	out := make([]string, 0, maxInstances)
	for _, name := range names[:min(len(names), maxInstances)] {
		out = append(out, fmt.Sprintf("%s %d", name, c.byInstance[name]))
	}
	return fmt.Sprintf("%d instances, most %s", len(names), strings.Join(out, ", "))
}

// summarizeUnserved describes the requests that were not served, a line for each of the
// maxReasons most frequent reasons and one for the others.
func summarizeUnserved(outcomes []*outcome) []string {
	counts := make(map[unservedReason]*unservedCount)
	for _, o := range outcomes {
		if o.status == http.StatusOK {
			continue
		}
		reason := reasonOf(o)
		if counts[reason] == nil {
			counts[reason] = &unservedCount{}
		}
		counts[reason].add(o)
	}
	reasons := make([]unservedReason, 0, len(counts))
	for reason := range counts {
		reasons = append(reasons, reason)
	}
	slices.SortFunc(reasons, func(a, b unservedReason) int {
		return cmp.Or(cmp.Compare(counts[b].total, counts[a].total), strings.Compare(a.String(), b.String()))
	})
	out := make([]string, 0, maxReasons)
	for _, reason := range reasons[:min(len(reasons), maxReasons)] {
		c := counts[reason]
		out = append(out, fmt.Sprintf("%d %s: %s; sent %s to %s; %s", c.total, reason, c.times(),
			c.first.Format("15:04:05.000"), c.last.Format("15:04:05.000"), c.instances()))
	}
	rest := 0
	for _, reason := range reasons[len(out):] {
		rest += counts[reason].total
	}
	if rest > 0 {
		out = append(out, fmt.Sprintf("%d for %d other reasons", rest, len(reasons)-len(out)))
	}
	return out
}
