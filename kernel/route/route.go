// Package route finds the route of a request by its host and path, and shares a
// route's requests among its services by weight.
package route

import (
	"strings"

	"github.com/fuchsiaroad/fuchsiaroad/kernel/document"
)

// Table finds routes. It is immutable.
type Table struct {
	// hosts holds the routes of a host by their prefix.
	hosts map[string]map[string]*document.Route
}

// NewTable makes the table of a document's routes. Of two routes of the same
// host and prefix the later one counts.
func NewTable(routes []document.Route) *Table {
	t := &Table{hosts: make(map[string]map[string]*document.Route)}
	counts := make(map[string]int)
	for i := range routes {
		counts[strings.ToLower(routes[i].Host)]++
	}
	for host, n := range counts {
		t.hosts[host] = make(map[string]*document.Route, n)
	}
	for i := range routes {
		t.hosts[strings.ToLower(routes[i].Host)][routes[i].Prefix] = &routes[i]
	}
	return t
}

// Match returns the route of the host whose prefix is the longest that begins
// the path, or nil. The host may carry a port; the path is the raw one.
func (t *Table) Match(host, path string) *document.Route {
	prefixes := t.hosts[hostName(host)]
	if prefixes == nil {
		return nil
	}
	// Prefixes end with a slash: only the slashes of the path need a look.
	for end := strings.LastIndexByte(path, '/'); end >= 0; end = strings.LastIndexByte(path[:end], '/') {
		if r := prefixes[path[:end+1]]; r != nil {
			return r
		}
	}
	return nil
}

// hostName is the host in lower case without its port.
func hostName(host string) string {
	if i := strings.LastIndexByte(host, ':'); i >= 0 && !strings.HasSuffix(host, "]") {
		host = host[:i]
	}
	return strings.ToLower(host)
}

// PickTarget chooses a target of the route by weight: at is in [0, 1). A route whose
// weights are all zero gives none.
func PickTarget(r *document.Route, at float64) (service string, ok bool) {
	total := 0.0
	for _, t := range r.Targets {
		total += t.Weight
	}
	if total <= 0 {
		return "", false
	}
	left := at * total
	last := ""
	for _, t := range r.Targets {
		if t.Weight <= 0 {
			continue
		}
		last = t.Service
		if left < t.Weight {
			return t.Service, true
		}
		left -= t.Weight
	}
	return last, true
}
