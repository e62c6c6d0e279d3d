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

// ConfigChange is what leads from one version of the configuration to another.
type ConfigChange struct {
	Version uint64
	Limits  Limits
	// Routes are those that differ, New those that are new, both in their order, and GoneRoutes
	// the names of those that are no more.
	Routes     []*Route   `json:",omitempty"`
	New        []NewRoute `json:",omitempty"`
	GoneRoutes []string   `json:",omitempty"`
	// Services are those that differ or are new, and GoneServices those that are no more.
	Services     map[string]Service `json:",omitempty"`
	GoneServices []string           `json:",omitempty"`
}

// NewRoute is a route missing in the base version, with its index in the new one.
type NewRoute struct {
	At    int
	Route *Route
}

// Size returns the number of routes changed, added and removed.
func (c *ConfigChange) Size() int { return len(c.Routes) + len(c.New) + len(c.GoneRoutes) }

// Diff computes the change to another version; ok is false if Apply does not yield that version,
// as after a change of the routes' order.
func (c *Config) Diff(to *Config) (change *ConfigChange, ok bool) {
	out := &ConfigChange{Version: to.Version, Limits: to.Limits, Services: make(map[string]Service)}
	before := newAlignment(c.Routes)
	for i, r := range to.Routes {
		if at := before.index(r); at < 0 {
			out.New = append(out.New, NewRoute{At: i, Route: r})
		} else if !c.Routes[at].equal(r) {
			out.Routes = append(out.Routes, r)
		}
	}
	out.GoneRoutes = before.gone()
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

// alignment matches routes of one version by name with those of another, mostly in the same order.
type alignment struct {
	routes []*Route
	next   int            // index after the last match
	found  []bool         // by index
	byName map[string]int // name to index; nil until a match is out of order
}

// newAlignment returns an alignment with the routes of one version.
func newAlignment(routes []*Route) *alignment {
	return &alignment{routes: routes, found: make([]bool, len(routes))}
}

// nearRoutes bounds the search after the last match, before all names are indexed.
const nearRoutes = 32

// near returns the index of the route with the same name among the next nearRoutes, or -1.
func (a *alignment) near(r *Route) int {
	for at := a.next; at < min(a.next+nearRoutes, len(a.routes)); at++ {
		if a.routes[at].Name == r.Name {
			return a.take(at)
		}
	}
	return -1
}

// index returns the index of the route with the same name, or -1.
func (a *alignment) index(r *Route) int {
	if at := a.near(r); at >= 0 {
		return at
	}
	if a.byName == nil {
		a.byName = make(map[string]int, len(a.routes))
		for i, known := range a.routes {
			a.byName[known.Name] = i
		}
	}
	if at, ok := a.byName[r.Name]; ok {
		return a.take(at)
	}
	return -1
}

// take marks a route as found.
func (a *alignment) take(at int) int {
	a.next, a.found[at] = at+1, true
	return at
}

// gone returns the sorted names of the routes not found.
func (a *alignment) gone() []string {
	var out []string
	for i, found := range a.found {
		if !found {
			out = append(out, a.routes[i].Name)
		}
	}
	slices.Sort(out)
	return slices.Compact(out)
}

// ReuseRoutes returns the next version with the equal routes of this one, which may be nil, in place of
// its own copies.
func (c *Config) ReuseRoutes(next *Config) *Config {
	if c == nil || c.shares(next) {
		return next
	}
	if change, ok := c.Diff(next); ok {
		return c.Apply(change)
	}
	return next
}

// shares reports whether another version holds a route of this one at the same index, as a version
// derived by Apply does.
func (c *Config) shares(o *Config) bool {
	for i := range min(len(c.Routes), len(o.Routes)) {
		if c.Routes[i] == o.Routes[i] {
			return true
		}
	}
	return false
}

// Apply returns the version that a change leads to. It shares with this one what is equal.
func (c *Config) Apply(change *ConfigChange) *Config {
	out := &Config{Version: change.Version, Limits: change.Limits, Services: c.applyServices(change)}
	changed := make(map[string]*Route, len(change.Routes))
	for _, r := range change.Routes {
		changed[r.Name] = r
	}
	gone := make(map[string]bool, len(change.GoneRoutes))
	for _, name := range change.GoneRoutes {
		gone[name] = true
	}
	sums := c.routeSums()
	out.Routes = make([]*Route, 0, len(c.Routes)+len(change.New))
	out.sums = make([]uint64, 0, cap(out.Routes))
	added := change.New
	for i, r := range c.Routes {
		if gone[r.Name] {
			continue
		}
		for len(added) > 0 && added[0].At == len(out.Routes) {
			out.add(added[0].Route, added[0].Route.sum())
			added = added[1:]
		}
		if next := changed[r.Name]; next != nil {
			out.add(next, next.sum())
		} else {
			out.add(r, sums[i])
		}
	}
	for _, n := range added {
		out.add(n.Route, n.Route.sum())
	}
	return out
}

// add appends a route and its hash.
func (c *Config) add(r *Route, sum uint64) {
	c.Routes, c.sums = append(c.Routes, r), append(c.sums, sum)
}

// applyServices returns the services of the changed version.
func (c *Config) applyServices(change *ConfigChange) map[string]Service {
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

// routeSums returns the hash of each route.
func (c *Config) routeSums() []uint64 {
	if c.sums != nil {
		return c.sums
	}
	out := make([]uint64, len(c.Routes))
	buf := make([]byte, 0, routeKeyLength)
	for i, r := range c.Routes {
		buf = r.appendKey(buf[:0])
		out[i] = xxhash.Sum64(buf)
	}
	return out
}

// routeKeyLength is the initial capacity for a route's key, in bytes.
const routeKeyLength = 256

// sum returns a hash over all fields of the route.
func (r *Route) sum() uint64 { return xxhash.Sum64(r.appendKey(make([]byte, 0, routeKeyLength))) }

// Hash is a hash of all that the version says; it is not 0.
func (c *Config) Hash() uint64 {
	h := xxhash.New()
	buf := binary.AppendUvarint(nil, c.Version)
	buf = binary.AppendVarint(buf, int64(c.Limits.HeaderBytes))
	buf = binary.AppendVarint(buf, c.Limits.BodyBytes)
	buf = appendTimes(buf, c.Limits.HeaderTime, c.Limits.IdleTime)
	_, _ = h.Write(buf) // never fails
	for _, name := range slices.Sorted(maps.Keys(c.Services)) {
		buf = appendText(buf[:0], name, c.Services[name].Name)
		buf = binary.AppendVarint(buf, int64(c.Services[name].ConnectionLimit))
		_, _ = h.Write(buf)
	}
	for _, sum := range c.routeSums() {
		_, _ = h.Write(binary.LittleEndian.AppendUint64(buf[:0], sum))
	}
	return max(h.Sum64(), 1)
}

// equal reports whether two routes say the same.
func (r *Route) equal(o *Route) bool {
	return r == o || r.Name == o.Name && r.Host == o.Host && r.Prefix == o.Prefix && r.Idempotent == o.Idempotent &&
		r.Timeout == o.Timeout && r.Objective == o.Objective && r.Attempts == o.Attempts && r.Priority == o.Priority &&
		r.TopK == o.TopK && r.LeastCoverage == o.LeastCoverage && slices.Equal(r.Shards, o.Shards) && slices.Equal(r.Targets, o.Targets)
}

// appendKey appends all that a route says.
func (r *Route) appendKey(buf []byte) []byte {
	buf = appendText(buf, r.Name, r.Host, r.Prefix)
	buf = strconv.AppendBool(buf, r.Idempotent)
	buf = appendTimes(buf, r.Timeout, r.Objective)
	for _, n := range []int{r.Attempts, r.Priority, r.TopK, len(r.Shards), len(r.Targets)} {
		buf = binary.AppendVarint(buf, int64(n))
	}
	buf = binary.AppendUvarint(buf, math.Float64bits(r.LeastCoverage))
	buf = appendText(buf, r.Shards...)
	for i := range r.Targets {
		buf = appendText(buf, r.Targets[i].Service)
		buf = binary.AppendUvarint(buf, math.Float64bits(r.Targets[i].Weight))
	}
	return buf
}

// appendText appends strings with their lengths.
func appendText(buf []byte, all ...string) []byte {
	for _, s := range all {
		buf = binary.AppendUvarint(buf, uint64(len(s)))
		buf = append(buf, s...)
	}
	return buf
}

// appendTimes appends durations.
func appendTimes(buf []byte, all ...time.Duration) []byte {
	for _, d := range all {
		buf = binary.AppendVarint(buf, int64(d))
	}
	return buf
}
