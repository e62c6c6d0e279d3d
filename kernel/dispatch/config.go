package dispatch

import (
	"fmt"
	"math/rand/v2"

	"github.com/fuchsiaroad/fuchsiaroad/kernel/plugin"
	"github.com/fuchsiaroad/fuchsiaroad/kernel/view"
)

// Policies names the policy plug-ins of one Machine.
type Policies struct {
	Routing string
	Order   string
	Limit   string
	// Unbounded turns refusals off, as a baseline for comparisons: every attempt waits
	// until its deadline.
	Unbounded bool
}

// DefaultPolicies returns the policies for production.
func DefaultPolicies() Policies {
	return Policies{Routing: "two-choices", Order: "adaptive", Limit: "adaptive"}
}

// BaselinePolicies returns simple policies as a baseline for comparisons.
func BaselinePolicies() Policies {
	return Policies{Routing: "round-robin", Order: "fifo", Limit: "fixed", Unbounded: true}
}

// Config configures a Machine.
type Config struct {
	// Upstream is the index of the upstream in the view.
	Upstream int
	View     *view.View
	// Zone is this instance's availability zone.
	Zone     string
	Policies Policies
	// MaxQueued is the greatest number of queued attempts per shard; 0 sets no bound
	// other than their deadlines.
	MaxQueued int
	Seed      uint64
}

// ConfigError reports an invalid field of Config.
type ConfigError struct {
	Field string
	Err   error
}

// Error returns the name of the field and the cause.
func (e *ConfigError) Error() string {
	return fmt.Sprintf("dispatch configuration: %s: %v", e.Field, e.Err)
}

// Unwrap returns the cause.
func (e *ConfigError) Unwrap() error { return e.Err }

// New returns a Machine for one upstream of the view, or a ConfigError.
func New(cfg Config) (*Machine, error) {
	if cfg.View == nil {
		return nil, &ConfigError{Field: "View", Err: fmt.Errorf("is nil")}
	}
	if cfg.Upstream < 0 || cfg.Upstream >= len(cfg.View.Upstreams) {
		return nil, &ConfigError{Field: "Upstream", Err: fmt.Errorf("%d is not in the view", cfg.Upstream)}
	}
	newRouting, err := plugin.Routings.Get(cfg.Policies.Routing)
	if err != nil {
		return nil, &ConfigError{Field: "Policies.Routing", Err: err}
	}
	newOrder, err := plugin.Orders.Get(cfg.Policies.Order)
	if err != nil {
		return nil, &ConfigError{Field: "Policies.Order", Err: err}
	}
	newLimit, err := plugin.Limits.Get(cfg.Policies.Limit)
	if err != nil {
		return nil, &ConfigError{Field: "Policies.Limit", Err: err}
	}
	rng := rand.New(rand.NewPCG(cfg.Seed, uint64(cfg.Upstream)))
	m := &Machine{
		upstream:  cfg.View.Upstreams[cfg.Upstream].Name,
		zone:      cfg.Zone,
		unbounded: cfg.Policies.Unbounded,
		newOrder:  newOrder,
		newLimit:  newLimit,
		routing:   newRouting(plugin.RoutingConfig{Rand: rng}),
		leaves:    make(map[string]*leaf),
		running:   make(map[Ticket]*attempt),
		waiting:   make(map[Ticket]*attempt),
	}
	m.installView(cfg.View)
	return m, nil
}
