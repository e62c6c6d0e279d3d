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

// newUpstream names a set by its members, so that the same set has the same
// name in each configuration that has it.
func newUpstream(services []string, known map[string]Service) upstream {
	u := upstream{services: services, name: setName(services)}
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

// setName is a lone service's own name, or a hash of the set's members.
func setName(services []string) string {
	if len(services) == 1 {
		return services[0]
	}
	return fmt.Sprintf("set-%d-%016x", len(services), xxhash.Sum64String(strings.Join(services, "\x00")))
}

// upstreams lists what the configuration's routes ask, each once.
func (cfg *Config) upstreams() map[string]upstream {
	out := make(map[string]upstream)
	add := func(services []string) {
		u := newUpstream(services, cfg.Services)
		out[u.name] = u
	}
	for i := range cfg.Routes {
		r := &cfg.Routes[i]
		if len(r.Shards) > 0 {
			add(r.Shards)
		}
		for _, t := range r.Targets {
			add([]string{t.Service})
		}
	}
	return out
}

// retire keeps the sets of the present configuration that the next one lacks.
func (c *Catalog) retire(next *Config, now time.Time) {
	if c.config == nil {
		return
	}
	kept := next.upstreams()
	for name, u := range c.config.upstreams() {
		if _, ok := kept[name]; !ok {
			c.retired[name] = retiredSet{upstream: u, until: now.Add(c.settings.Retire)}
		}
	}
	for name := range kept {
		delete(c.retired, name)
	}
}

// Document joins configuration and leaves. It needs Ready. Documents of one configuration share
// their services and routes.
func (c *Catalog) Document() *document.Document {
	if c.compiled == nil || c.compiled.config != c.config {
		c.compiled = compile(c.config)
	}
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

// compiled is what a configuration says whatever the leaves are. It is immutable.
type compiled struct {
	config    *Config
	upstreams map[string]upstream
	services  []document.Service
	routes    []document.Route
}

// compile resolves a configuration's routes.
func compile(cfg *Config) *compiled {
	out := &compiled{
		config: cfg, upstreams: cfg.upstreams(),
		services: make([]document.Service, 0, len(cfg.Routes)), routes: make([]document.Route, 0, len(cfg.Routes)),
	}
	for i := range cfg.Routes {
		r := &cfg.Routes[i]
		route := document.Route{Name: r.Name, Host: r.Host, Prefix: r.Prefix}
		for _, t := range r.targets() {
			service := r.service(t)
			out.services = append(out.services, service)
			route.Targets = append(route.Targets, document.RouteTarget{Service: service.Name, Weight: t.weight})
		}
		out.routes = append(out.routes, route)
	}
	return out
}

// buildUpstream makes shard i of n cover key i of n.
func (c *Catalog) buildUpstream(u upstream, leaves map[string][]document.Leaf) document.Upstream {
	repeats := c.settings.Repeats
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
