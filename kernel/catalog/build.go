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

// upstream is a service that is asked alone, or a set that is asked together.
type upstream struct {
	name     string
	services []string
	// connections is the least connection limit of its services.
	connections int
}

// defaultConnections is the limit of a service that the configuration does not describe.
const defaultConnections = 8

// newUpstream makes an upstream of services that the configuration may describe.
func newUpstream(name string, services []string, known map[string]Service) upstream {
	u := upstream{services: services, name: name}
	for _, s := range services {
		limit := known[s].ConnectionLimit
		if limit <= 0 {
			limit = defaultConnections
		}
		if u.connections == 0 || limit < u.connections {
			u.connections = limit
		}
	}
	return u
}

// setName is a lone service's own name, or a hash of the set's members: the same set has the
// same name in each configuration that has it.
func setName(services []string) string {
	if len(services) == 1 {
		return services[0]
	}
	return fmt.Sprintf("set-%d-%016x", len(services), xxhash.Sum64String(strings.Join(services, "\x00")))
}

// retire keeps the sets of the present configuration that the next one lacks.
func (c *Catalog) retire(next *compiled, now time.Time) {
	if c.compiled == nil {
		return
	}
	for name, u := range c.compiled.upstreams {
		if _, ok := next.upstreams[name]; !ok {
			c.retired[name] = retiredSet{upstream: u, until: now.Add(c.settings.DroppedSetRetention)}
		}
	}
	for name := range next.upstreams {
		delete(c.retired, name)
	}
}

// Document joins configuration and leaves. It needs Ready. Documents of one configuration share
// their services and routes.
func (c *Catalog) Document() *document.Document {
	doc := &document.Document{Site: "platform", Services: c.compiled.services, Routes: c.compiled.routes}
	all := maps.Clone(c.compiled.upstreams)
	for name, r := range c.retired {
		all[name] = r.upstream
	}
	leaves := c.byService()
	for _, name := range slices.Sorted(maps.Keys(all)) {
		doc.Upstreams = append(doc.Upstreams, c.buildUpstream(all[name], leaves))
	}
	return doc
}

// compiled is the part of a document that does not depend on the leaves. It is immutable.
type compiled struct {
	config *Config
	// upstreams holds the routes' upstreams by name.
	upstreams map[string]upstream
	services  []document.Service
	// first holds the index in services of each route's first service.
	first  []int
	routes []document.Route
	// resolved counts the routes not reused from the previous configuration.
	resolved int
}

// compile resolves a configuration's routes and reuses those shared with the previous one, which
// may be nil.
func compile(cfg *Config, before *compiled) *compiled {
	if before == nil {
		before = &compiled{config: &Config{}}
	}
	out := &compiled{
		config: cfg, upstreams: make(map[string]upstream),
		services: make([]document.Service, 0, len(cfg.Routes)), routes: make([]document.Route, 0, len(cfg.Routes)),
		first: make([]int, 0, len(cfg.Routes)),
	}
	known := newAlignment(before.config.Routes)
	for _, r := range cfg.Routes {
		out.first = append(out.first, len(out.services))
		if at := known.near(r); at >= 0 && before.config.Routes[at] == r {
			out.routes = append(out.routes, before.routes[at])
			out.services = append(out.services, before.servicesOf(at)...)
		} else {
			out.add(r)
			out.resolved++
		}
		out.addUpstreams(r)
	}
	if slices.EqualFunc(out.routes, before.routes, sameRoute) {
		out.routes = before.routes // lets the view keep its route table
	}
	return out
}

// sameRoute reports whether two routes send the same requests to the same services.
func sameRoute(a, b document.Route) bool {
	return a.Name == b.Name && a.Host == b.Host && a.Prefix == b.Prefix && slices.Equal(a.Targets, b.Targets)
}

// servicesOf returns the services of the route at an index, one per target.
func (c *compiled) servicesOf(at int) []document.Service {
	return c.services[c.first[at]:][:len(c.routes[at].Targets)]
}

// add resolves a route.
func (c *compiled) add(r *Route) {
	route := document.Route{Name: r.Name, Host: r.Host, Prefix: r.Prefix}
	for _, t := range r.targets() {
		service := r.service(t)
		c.services = append(c.services, service)
		route.Targets = append(route.Targets, document.RouteTarget{Service: service.Name, Weight: t.weight})
	}
	c.routes = append(c.routes, route)
}

// addUpstreams adds the upstreams of the last route.
func (c *compiled) addUpstreams(r *Route) {
	for i, service := range c.servicesOf(len(c.routes) - 1) {
		name := service.Upstreams[0]
		if _, ok := c.upstreams[name]; ok {
			continue
		}
		asked := r.Shards
		if len(asked) == 0 {
			asked = []string{r.Targets[i].Service}
		}
		c.upstreams[name] = newUpstream(name, asked, c.config.Services)
	}
}

// buildUpstream makes shard i of n cover key i of n.
func (c *Catalog) buildUpstream(u upstream, leaves map[string][]document.Leaf) document.Upstream {
	repeats := c.settings.RepeatLimit
	out := document.Upstream{
		Name: u.name, KeySpace: uint64(len(u.services)), ConnectionLimit: u.connections,
		DialCost: c.settings.DialCost, Repeats: &repeats,
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

// target is one upstream of a route.
type target struct {
	upstream string
	weight   float64
}

// targets lists the upstreams of a route; a set of shards is one.
func (r *Route) targets() []target {
	if len(r.Shards) > 0 {
		return []target{{upstream: setName(r.Shards), weight: 1}}
	}
	out := make([]target, 0, len(r.Targets))
	for _, t := range r.Targets {
		out = append(out, target{upstream: t.Service, weight: t.Weight})
	}
	return out
}

// service is the query service of a route's target. Its name is the route's,
// with the target's where the route has several.
func (r *Route) service(t target) document.Service {
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
