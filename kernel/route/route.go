// Package route matches a request to a route by host and path prefix, and distributes the
// requests of a route over its services by weight.
package route

import (
	"strings"

	"github.com/fuchsiaroad/fuchsiaroad/kernel/document"
)

// Table matches requests to routes. It is immutable.
type Table struct {
	// hosts holds the routes by host in lower case, then by prefix.
	hosts map[string]map[string]*document.Route
}

// NewTable returns the table of a document's routes. If two routes have the same host and
// prefix, the later one is used.
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

// Match returns the route of the host with the longest prefix of the path, or nil. The host
// may include a port, and the path must be as received, without decoding.
func (t *Table) Match(host, path string) *document.Route {
	prefixes := t.hosts[hostName(host)]
	if prefixes == nil {
		return nil
	}
	// Prefixes end with a slash, so only parts of the path that end with one can match.
	for end := strings.LastIndexByte(path, '/'); end >= 0; end = strings.LastIndexByte(path[:end], '/') {
		if r := prefixes[path[:end+1]]; r != nil {
			return r
		}
	}
	return nil
}

// hostName returns the host in lower case without its port.
func hostName(host string) string {
	if i := strings.LastIndexByte(host, ':'); i >= 0 && !strings.HasSuffix(host, "]") {
		host = host[:i]
	}
	return strings.ToLower(host)
}

// PickTarget chooses a target of the route by weight. The at parameter in [0, 1) is a position
// on the scale of cumulative weights. It returns ok = false if all weights are zero.
func PickTarget(r *document.Route, at float64) (service string, ok bool) {
	total := 0.0
	for _, t := range r.Targets {
		total += t.Weight
	}
	if total <= 0 {
		return "", false
	}
	rest := at * total
	last := ""
	for _, t := range r.Targets {
		if t.Weight <= 0 {
			continue
		}
		last = t.Service
		if rest < t.Weight {
			return t.Service, true
		}
		rest -= t.Weight
	}
	return last, true
}
