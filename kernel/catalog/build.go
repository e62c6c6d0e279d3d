package catalog

import (
	"fmt"
	"maps"
	"slices"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/fuchsiaroad/fuchsiaroad/kernel/document"
	"github.com/fuchsiaroad/fuchsiaroad/kernel/keyrange"
)

// upstreamSpec names the services that become the shards of one upstream: a single service, or a
// set of services that a route queries together.
type upstreamSpec struct {
	name     string
	services []string
	// connectionLimit is the smallest connection limit of the services.
	connectionLimit int
}

// defaultConnectionLimit is the limit of a service that the configuration does not describe.
const defaultConnectionLimit = 8

// newUpstreamSpec returns the spec of an upstream. The described map holds the services that the
// configuration describes, by name.
func newUpstreamSpec(name string, services []string, described map[string]Service) upstreamSpec {
	u := upstreamSpec{services: services, name: name}
	for _, s := range services {
		limit := described[s].ConnectionLimit
		if limit <= 0 {
			limit = defaultConnectionLimit
		}
		if u.connectionLimit == 0 || limit < u.connectionLimit {
			u.connectionLimit = limit
		}
	}
	return u
}

// upstreamName returns the name of a single service, or a name derived from a hash of the members
// of a set, so that a set has the same name in every configuration.
func upstreamName(services []string) string {
	if len(services) == 1 {
		return services[0]
	}
	return fmt.Sprintf("set-%d-%016x", len(services), xxhash.Sum64String(strings.Join(services, "\x00")))
}

// retainDroppedSets keeps, for Settings.DroppedSetRetention, the upstreams of the current
// configuration that the next one lacks.
func (c *Catalog) retainDroppedSets(next *compiledConfig, now time.Time) {
	if c.compiled == nil {
		return
	}
	for name, u := range c.compiled.upstreams {
		if _, ok := next.upstreams[name]; !ok {
			c.droppedSets[name] = droppedSet{upstream: u, until: now.Add(c.settings.DroppedSetRetention)}
		}
	}
	for name := range next.upstreams {
		delete(c.droppedSets, name)
	}
}

// Document builds the document of the current configuration and leaves. It must be called only when
// Ready reports true. Documents of one configuration share their services and routes.
func (c *Catalog) Document() *document.Document {
	doc := &document.Document{Site: "platform", Services: c.compiled.services, Routes: c.compiled.routes}
	all := maps.Clone(c.compiled.upstreams)
	for name, s := range c.droppedSets {
		all[name] = s.upstream
	}
	leaves := c.leavesByService()
	for _, name := range slices.Sorted(maps.Keys(all)) {
		doc.Upstreams = append(doc.Upstreams, c.buildUpstream(all[name], leaves))
	}
	return doc
}

// compiledConfig is the part of a document that does not depend on the registered leaves. It is
// immutable.
type compiledConfig struct {
	config *Config
	// upstreams holds the upstreams of the routes by name.
	upstreams map[string]upstreamSpec
	services  []document.Service
	// firstService holds, per route, the index in services of the route's first service.
	firstService []int
	routes       []document.Route
	// resolvedCount is the number of routes not reused from the previous configuration.
	resolvedCount int
}

// compileConfig resolves the routes of a configuration and reuses those shared with the previous
// one, which may be nil.
func compileConfig(cfg *Config, prev *compiledConfig) *compiledConfig {
	if prev == nil {
		prev = &compiledConfig{config: &Config{}}
	}
	out := &compiledConfig{
		config: cfg, upstreams: make(map[string]upstreamSpec),
		services: make([]document.Service, 0, len(cfg.Routes)), routes: make([]document.Route, 0, len(cfg.Routes)),
		firstService: make([]int, 0, len(cfg.Routes)),
	}
	prevRoutes := newRouteIndex(prev.config.Routes)
	for _, r := range cfg.Routes {
		out.firstService = append(out.firstService, len(out.services))
		if at := prevRoutes.findNearby(r); at >= 0 && prev.config.Routes[at] == r {
			out.routes = append(out.routes, prev.routes[at])
			out.services = append(out.services, prev.servicesOf(at)...)
		} else {
			out.addRoute(r)
			out.resolvedCount++
		}
		out.addUpstreams(r)
	}
	if slices.EqualFunc(out.routes, prev.routes, routesAlike) {
		out.routes = prev.routes // the view keeps its route table if the slice is the same
	}
	return out
}

// routesAlike reports whether two routes match the same requests and send them to the same services.
func routesAlike(a, b document.Route) bool {
	return a.Name == b.Name && a.Host == b.Host && a.Prefix == b.Prefix && slices.Equal(a.Targets, b.Targets)
}

// servicesOf returns the query services of the route at an index, one per target.
func (c *compiledConfig) servicesOf(at int) []document.Service {
	return c.services[c.firstService[at]:][:len(c.routes[at].Targets)]
}

// addRoute resolves a route and appends it with its query services.
func (c *compiledConfig) addRoute(r *Route) {
	route := document.Route{Name: r.Name, Host: r.Host, Prefix: r.Prefix}
	for _, t := range r.targets() {
		service := r.querySpec(t)
		c.services = append(c.services, service)
		route.Targets = append(route.Targets, document.RouteTarget{Service: service.Name, Weight: t.weight})
	}
	c.routes = append(c.routes, route)
}

// addUpstreams adds the upstreams of r, which is the route added last.
func (c *compiledConfig) addUpstreams(r *Route) {
	for i, service := range c.servicesOf(len(c.routes) - 1) {
		name := service.Upstreams[0]
		if _, ok := c.upstreams[name]; ok {
			continue
		}
		services := r.Shards
		if len(services) == 0 {
			services = []string{r.Targets[i].Service}
		}
		c.upstreams[name] = newUpstreamSpec(name, services, c.config.Services)
	}
}

// buildUpstream returns an upstream with one shard per service. The key space has as many keys as
// there are services, and shard i holds key i.
func (c *Catalog) buildUpstream(u upstreamSpec, leaves map[string][]document.Leaf) document.Upstream {
	repeatLimit := c.settings.RepeatLimit
	out := document.Upstream{
		Name: u.name, KeySpace: uint64(len(u.services)), ConnectionLimit: u.connectionLimit,
		DialCost: c.settings.DialCost, RepeatLimit: &repeatLimit,
	}
	for i, service := range u.services {
		out.Shards = append(out.Shards, document.Shard{
			Name:   service,
			Range:  keyrange.Range{From: uint64(i), To: uint64(i) + 1},
			Leaves: leaves[service],
		})
	}
	return out
}

// target is an upstream of a route with its weight.
type target struct {
	upstream string
	weight   float64
}

// targets returns the upstreams of a route; a set of shards is one upstream.
func (r *Route) targets() []target {
	if len(r.Shards) > 0 {
		return []target{{upstream: upstreamName(r.Shards), weight: 1}}
	}
	out := make([]target, 0, len(r.Targets))
	for _, t := range r.Targets {
		out = append(out, target{upstream: t.Service, weight: t.Weight})
	}
	return out
}

// querySpec returns the query service for a target of the route. Its name is the route's name, with
// the upstream's name appended if the route has several targets.
func (r *Route) querySpec(t target) document.Service {
	name := r.Name
	if len(r.Targets) > 1 {
		name += "/" + t.upstream
	}
	s := document.Service{
		Name: name, Upstreams: []string{t.upstream}, Deadline: r.Timeout, Objective: r.Objective,
		Idempotent: r.Idempotent, Priority: r.Priority, Attempts: r.Attempts, LeastCoverage: 1,
	}
	if len(r.Shards) > 0 {
		s.Idempotent = true
		s.LeastCoverage = r.LeastCoverage
		s.TopK = r.TopK
	}
	return s
}
