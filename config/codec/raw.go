package codec

import (
	"fmt"
	"time"

	"github.com/fuchsiaroad/fuchsiaroad/config/fault"
	"github.com/fuchsiaroad/fuchsiaroad/kernel/document"
	"github.com/fuchsiaroad/fuchsiaroad/kernel/keyrange"
)

// Defaults of the keys that a document may leave out.
const (
	DefaultKeySpace      = 65536
	DefaultHedgeQuantile = 0.95
	DefaultHedgeBudget   = 0.05
	DefaultRetryBudget   = 0.1
	DefaultCanaryAbove   = 8
	DefaultShare         = 1
	DefaultWeight        = 1.0
)

// rawDocument is the TOML shape; pointers mark keys with a default.
type rawDocument struct {
	Site      string        `toml:"site"`
	Upstreams []rawUpstream `toml:"upstream"`
	Services  []rawService  `toml:"service"`
	Callers   []rawCaller   `toml:"caller"`
	Routes    []rawRoute    `toml:"route"`
}

// rawUpstream is an [[upstream]] table as it is written; nil means left out.
type rawUpstream struct {
	Name            string     `toml:"name"`
	KeySpace        *int64     `toml:"key_space"`
	ConnectionLimit int        `toml:"connection_limit"`
	Slots           int        `toml:"slots"`
	DialCost        string     `toml:"dial_cost"`
	Shards          []rawShard `toml:"shard"`
}

// rawShard is an [[upstream.shard]] table as it is written.
type rawShard struct {
	Range  string    `toml:"range"`
	Leaves []rawLeaf `toml:"leaf"`
}

// rawLeaf is an [[upstream.shard.leaf]] table as it is written.
type rawLeaf struct {
	ID      string `toml:"id"`
	Zone    string `toml:"zone"`
	Address string `toml:"address"`
}

// rawService is a [[service]] table as it is written; nil means left out.
type rawService struct {
	Name          string   `toml:"name"`
	Upstreams     []string `toml:"upstreams"`
	Deadline      string   `toml:"deadline"`
	LeastCoverage float64  `toml:"least_coverage"`
	Settle        string   `toml:"settle"`
	Idempotent    bool     `toml:"idempotent"`
	HedgeBudget   *float64 `toml:"hedge_budget"`
	HedgeQuantile *float64 `toml:"hedge_quantile"`
	RetryBudget   *float64 `toml:"retry_budget"`
	CanaryAbove   *int     `toml:"canary_above"`
	KeyRequired   *bool    `toml:"key_required"`
	Objective     string   `toml:"objective"`
	Priority      int      `toml:"priority"`
	Attempts      int      `toml:"attempts"`
}

// rawRoute is a [[route]] table as it is written.
type rawRoute struct {
	Name    string      `toml:"name"`
	Host    string      `toml:"host"`
	Prefix  string      `toml:"prefix"`
	Targets []rawTarget `toml:"target"`
}

// rawTarget is a [[route.target]] table as it is written; nil means left out.
type rawTarget struct {
	Service string   `toml:"service"`
	Weight  *float64 `toml:"weight"`
}

// rawCaller is a [[caller]] table as it is written; nil means left out.
type rawCaller struct {
	Name        string   `toml:"name"`
	TokenSHA256 string   `toml:"token_sha256"`
	Share       *int     `toml:"share"`
	Services    []string `toml:"services"`
	Operator    bool     `toml:"operator"`
}

// convert fills in defaults and reads ranges and durations.
func (r *rawDocument) convert(list *fault.List) *document.Document {
	doc := &document.Document{Site: r.Site}
	for i := range r.Upstreams {
		doc.Upstreams = append(doc.Upstreams, r.Upstreams[i].convert(index("upstream", i), list))
	}
	for i := range r.Services {
		doc.Services = append(doc.Services, r.Services[i].convert(index("service", i), list))
	}
	for _, c := range r.Callers {
		doc.Callers = append(doc.Callers, document.Caller{
			Name: c.Name, TokenSHA256: c.TokenSHA256, Share: or(c.Share, DefaultShare),
			Services: c.Services, Operator: c.Operator,
		})
	}
	for i := range r.Routes {
		doc.Routes = append(doc.Routes, r.Routes[i].convert())
	}
	return doc
}

// convert fills in defaults.
func (r *rawRoute) convert() document.Route {
	route := document.Route{Name: r.Name, Host: r.Host, Prefix: r.Prefix}
	for _, t := range r.Targets {
		route.Targets = append(route.Targets, document.RouteTarget{Service: t.Service, Weight: or(t.Weight, DefaultWeight)})
	}
	return route
}

// convert fills in defaults and reads ranges; path names the table in faults.
func (r *rawUpstream) convert(path string, list *fault.List) document.Upstream {
	u := document.Upstream{
		Name:            r.Name,
		ConnectionLimit: r.ConnectionLimit,
		Slots:           r.Slots,
		DialCost:        duration(r.DialCost, path+".dial_cost", list),
	}
	// A negative number becomes 0, which validation refuses.
	u.KeySpace = uint64(max(0, or(r.KeySpace, DefaultKeySpace)))
	for i, s := range r.Shards {
		shard := document.Shard{}
		rng, err := keyrange.Parse(s.Range)
		if err != nil {
			list.Addf(index(path+".shard", i)+".range", "%v", err)
			// A shard with a bad range is left out of the tiling check.
			rng = keyrange.Range{}
		}
		shard.Range = rng
		for _, l := range s.Leaves {
			shard.Leaves = append(shard.Leaves, document.Leaf{ID: l.ID, Zone: l.Zone, Address: l.Address})
		}
		u.Shards = append(u.Shards, shard)
	}
	return u
}

// convert fills in defaults, some of which depend on whether the service is
// idempotent, and reads durations; path names the table in faults.
func (r *rawService) convert(path string, list *fault.List) document.Service {
	hedge := DefaultHedgeBudget
	if !r.Idempotent {
		hedge = 0
	}
	return document.Service{
		Name:          r.Name,
		Upstreams:     r.Upstreams,
		Deadline:      duration(r.Deadline, path+".deadline", list),
		LeastCoverage: r.LeastCoverage,
		Settle:        duration(r.Settle, path+".settle", list),
		Idempotent:    r.Idempotent,
		HedgeBudget:   or(r.HedgeBudget, hedge),
		HedgeQuantile: or(r.HedgeQuantile, DefaultHedgeQuantile),
		RetryBudget:   or(r.RetryBudget, DefaultRetryBudget),
		CanaryAbove:   or(r.CanaryAbove, DefaultCanaryAbove),
		KeyRequired:   or(r.KeyRequired, !r.Idempotent),
		Objective:     duration(r.Objective, path+".objective", list),
		Priority:      r.Priority,
		Attempts:      r.Attempts,
	}
}

// duration reads "200ms"; an absent duration is 0.
func duration(s, path string, list *fault.List) time.Duration {
	if s == "" {
		return 0
	}
	d, err := time.ParseDuration(s)
	if err != nil {
		list.Addf(path, "%q is not a duration such as \"200ms\"", s)
		return -1
	}
	return d
}

// or is the value, or the default when the key was absent.
func or[T any](v *T, def T) T {
	if v == nil {
		return def
	}
	return *v
}

// index writes a path element such as "shard[2]".
func index(path string, i int) string { return fmt.Sprintf("%s[%d]", path, i) }
