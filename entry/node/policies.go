package node

import (
	"github.com/fuchsiaroad/fuchsiaroad/config/settings"
	"github.com/fuchsiaroad/fuchsiaroad/entry/executor"
	"github.com/fuchsiaroad/fuchsiaroad/kernel/dispatch"
	"github.com/fuchsiaroad/fuchsiaroad/kernel/plugin"
	_ "github.com/fuchsiaroad/fuchsiaroad/plugins" // registers the policies
)

// CheckPolicies returns an error if the settings name a policy that is not registered.
func CheckPolicies(p settings.Policy) error {
	if _, err := plugin.Placements.Get(p.Placement); err != nil {
		return err
	}
	return executorPolicies(p).Check()
}

// executorPolicies converts the policy names of the settings to the executor's.
func executorPolicies(p settings.Policy) executor.Policies {
	return executor.Policies{
		Dispatch:   dispatch.Policies{Routing: p.Routing, Order: p.Order, Limit: p.Limit},
		Repetition: p.Repetition,
	}
}
