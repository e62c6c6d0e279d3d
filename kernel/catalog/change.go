package catalog

import (
	"encoding/binary"
	"maps"
	"math"
	"slices"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"
)

// ConfigChange is the difference between two versions of the configuration, the base and the new
// version.
type ConfigChange struct {
	Version uint64
	Limits  Limits
	// Routes holds the routes that differ and New those that the base lacks, both in the order of
	// the new version. GoneRoutes holds the names of the routes that only the base has.
	Routes     []*Route   `json:",omitempty"`
	New        []NewRoute `json:",omitempty"`
	GoneRoutes []string   `json:",omitempty"`
	// Services holds the services that differ or are new, by name, and GoneServices the names of
	// those that only the base has.
	Services     map[string]Service `json:",omitempty"`
	GoneServices []string           `json:",omitempty"`
}

// NewRoute is a route that the base version lacks, with its index in the new version.
type NewRoute struct {
	At    int
	Route *Route
}

// Size returns the number of routes changed, added and removed.
func (c *ConfigChange) Size() int { return len(c.Routes) + len(c.New) + len(c.GoneRoutes) }

// Diff computes the change from this version to another one. It returns ok = false if Apply with
// the change does not yield that version, as when the order of the routes differs.
func (c *Config) Diff(to *Config) (change *ConfigChange, ok bool) {
	out := &ConfigChange{Version: to.Version, Limits: to.Limits, Services: make(map[string]Service)}
	index := newRouteIndex(c.Routes)
	for i, r := range to.Routes {
		if at := index.find(r); at < 0 {
			out.New = append(out.New, NewRoute{At: i, Route: r})
		} else if !c.Routes[at].equal(r) {
			out.Routes = append(out.Routes, r)
		}
	}
	out.GoneRoutes = index.unmatchedNames()
	for name, s := range to.Services {
		if was, known := c.Services[name]; !known || was != s {
			out.Services[name] = s
		}
	}
	for _, name := range slices.Sorted(maps.Keys(c.Services)) {
		if _, kept := to.Services[name]; !kept {
			out.GoneServices = append(out.GoneServices, name)
		}
	}
	return out, c.Apply(out).Hash() == to.Hash()
}

// routeIndex finds the routes of one version by name. It expects lookups mostly in the order of the
// routes and builds a map of names only when a lookup is out of order.
type routeIndex struct {
	routes []*Route
	next   int            // index after the last match
	found  []bool         // whether a lookup matched the route, by index
	byName map[string]int // name to index; nil until a lookup is out of order
}

// newRouteIndex returns an index of the routes of one version.
func newRouteIndex(routes []*Route) *routeIndex {
	return &routeIndex{routes: routes, found: make([]bool, len(routes))}
}

// nearbyRoutes is the number of routes after the last match that findNearby searches.
const nearbyRoutes = 32

// findNearby returns the index of the route with the name of r among the nearbyRoutes routes after
// the last match, or -1.
func (x *routeIndex) findNearby(r *Route) int {
	for at := x.next; at < min(x.next+nearbyRoutes, len(x.routes)); at++ {
		if x.routes[at].Name == r.Name {
			return x.markFound(at)
		}
	}
	return -1
}

// find returns the index of the route with the name of r, or -1.
func (x *routeIndex) find(r *Route) int {
	if at := x.findNearby(r); at >= 0 {
		return at
	}
	if x.byName == nil {
		x.byName = make(map[string]int, len(x.routes))
		for i, route := range x.routes {
			x.byName[route.Name] = i
		}
	}
	if at, ok := x.byName[r.Name]; ok {
		return x.markFound(at)
	}
	return -1
}

// markFound marks the route at an index as found, and returns the index.
func (x *routeIndex) markFound(at int) int {
	x.next, x.found[at] = at+1, true
	return at
}

// unmatchedNames returns the sorted names of the routes that no lookup matched.
func (x *routeIndex) unmatchedNames() []string {
	var out []string
	for i, found := range x.found {
		if !found {
			out = append(out, x.routes[i].Name)
		}
	}
	slices.Sort(out)
	return slices.Compact(out)
}

// ReuseRoutes returns the next version with the routes that equal those of this version replaced by
// the pointers of this version, so that the two share them. The receiver may be nil.
func (c *Config) ReuseRoutes(next *Config) *Config {
	if c == nil || c.sharesRoutes(next) {
		return next
	}
	if change, ok := c.Diff(next); ok {
		return c.Apply(change)
	}
	return next
}

// sharesRoutes reports whether another version has the same route pointer at some index, as a
// version derived by Apply does.
func (c *Config) sharesRoutes(o *Config) bool {
	for i := range min(len(c.Routes), len(o.Routes)) {
		if c.Routes[i] == o.Routes[i] {
			return true
		}
	}
	return false
}

// Apply returns the version that results from a change. It shares the unchanged routes and services
// with this version.
func (c *Config) Apply(change *ConfigChange) *Config {
	out := &Config{Version: change.Version, Limits: change.Limits, Services: c.changedServices(change)}
	changed := make(map[string]*Route, len(change.Routes))
	for _, r := range change.Routes {
		changed[r.Name] = r
	}
	gone := make(map[string]bool, len(change.GoneRoutes))
	for _, name := range change.GoneRoutes {
		gone[name] = true
	}
	hashes := c.routeHashes()
	out.Routes = make([]*Route, 0, len(c.Routes)+len(change.New))
	out.hashes = make([]uint64, 0, cap(out.Routes))
	added := change.New
	for i, r := range c.Routes {
		if gone[r.Name] {
			continue
		}
		for len(added) > 0 && added[0].At == len(out.Routes) {
			out.appendRoute(added[0].Route, added[0].Route.hash())
			added = added[1:]
		}
		if next := changed[r.Name]; next != nil {
			out.appendRoute(next, next.hash())
		} else {
			out.appendRoute(r, hashes[i])
		}
	}
	for _, n := range added {
		out.appendRoute(n.Route, n.Route.hash())
	}
	return out
}

// appendRoute appends a route and its hash.
func (c *Config) appendRoute(r *Route, hash uint64) {
	c.Routes, c.hashes = append(c.Routes, r), append(c.hashes, hash)
}

// changedServices returns the services after a change.
func (c *Config) changedServices(change *ConfigChange) map[string]Service {
	if c.Services != nil && len(change.Services) == 0 && len(change.GoneServices) == 0 {
		return c.Services
	}
	out := maps.Clone(c.Services)
	if out == nil {
		out = make(map[string]Service, len(change.Services))
	}
	maps.Copy(out, change.Services)
	for _, name := range change.GoneServices {
		delete(out, name)
	}
	return out
}

// routeHashes returns the hash of each route, by index.
func (c *Config) routeHashes() []uint64 {
	if c.hashes != nil {
		return c.hashes
	}
	out := make([]uint64, len(c.Routes))
	buf := make([]byte, 0, routeKeyCapacity)
	for i, r := range c.Routes {
		buf = r.appendKey(buf[:0])
		out[i] = xxhash.Sum64(buf)
	}
	return out
}

// routeKeyCapacity is the initial capacity of the buffer for an encoded route, in bytes.
const routeKeyCapacity = 256

// hash returns a hash over all fields of the route.
func (r *Route) hash() uint64 { return xxhash.Sum64(r.appendKey(make([]byte, 0, routeKeyCapacity))) }

// Hash returns a hash of all exported fields, nested ones included. It is never 0.
func (c *Config) Hash() uint64 {
	h := xxhash.New()
	buf := binary.AppendUvarint(nil, c.Version)
	buf = binary.AppendVarint(buf, int64(c.Limits.HeaderBytes))
	buf = binary.AppendVarint(buf, c.Limits.BodyBytes)
	buf = appendDurations(buf, c.Limits.HeaderTime, c.Limits.IdleTime)
	_, _ = h.Write(buf) // never fails
	for _, name := range slices.Sorted(maps.Keys(c.Services)) {
		buf = appendStrings(buf[:0], name, c.Services[name].Name)
		buf = binary.AppendVarint(buf, int64(c.Services[name].ConnectionLimit))
		_, _ = h.Write(buf)
	}
	for _, hash := range c.routeHashes() {
		_, _ = h.Write(binary.LittleEndian.AppendUint64(buf[:0], hash))
	}
	return max(h.Sum64(), 1)
}

// equal reports whether all fields of two routes are equal.
func (r *Route) equal(o *Route) bool {
	return r == o || r.Name == o.Name && r.Host == o.Host && r.Prefix == o.Prefix && r.Idempotent == o.Idempotent &&
		r.Timeout == o.Timeout && r.Objective == o.Objective && r.Attempts == o.Attempts && r.Priority == o.Priority &&
		r.TopK == o.TopK && r.LeastCoverage == o.LeastCoverage && slices.Equal(r.Shards, o.Shards) && slices.Equal(r.Targets, o.Targets)
}

// appendKey appends an encoding of all fields of the route.
func (r *Route) appendKey(buf []byte) []byte {
	buf = appendStrings(buf, r.Name, r.Host, r.Prefix)
	buf = strconv.AppendBool(buf, r.Idempotent)
	buf = appendDurations(buf, r.Timeout, r.Objective)
	for _, n := range []int{r.Attempts, r.Priority, r.TopK, len(r.Shards), len(r.Targets)} {
		buf = binary.AppendVarint(buf, int64(n))
	}
	buf = binary.AppendUvarint(buf, math.Float64bits(r.LeastCoverage))
	buf = appendStrings(buf, r.Shards...)
	for i := range r.Targets {
		buf = appendStrings(buf, r.Targets[i].Service)
		buf = binary.AppendUvarint(buf, math.Float64bits(r.Targets[i].Weight))
	}
	return buf
}

// appendStrings appends strings, each prefixed with its length.
func appendStrings(buf []byte, all ...string) []byte {
	for _, s := range all {
		buf = binary.AppendUvarint(buf, uint64(len(s)))
		buf = append(buf, s...)
	}
	return buf
}

// appendDurations appends durations in nanoseconds.
func appendDurations(buf []byte, all ...time.Duration) []byte {
	for _, d := range all {
		buf = binary.AppendVarint(buf, int64(d))
	}
	return buf
}
