package executor

import (
	"sync/atomic"

	"github.com/fuchsiaroad/fuchsiaroad/entry/telemetry"
	"github.com/fuchsiaroad/fuchsiaroad/kernel/dispatch"
	"github.com/fuchsiaroad/fuchsiaroad/kernel/plugin"
	"github.com/fuchsiaroad/fuchsiaroad/kernel/view"
)

// serviceState is the state of one service that outlives single queries.
type serviceState struct {
	metrics    *telemetry.ServiceMetrics
	admission  *admission
	repetition atomic.Pointer[repetition]
}

// service returns the state of a service. Its repetition policy starts anew when its
// configuration changes.
func (e *Executor) service(s *view.Service) *serviceState {
	e.mu.RLock()
	state, ok := e.services[s.Config.Name]
	e.mu.RUnlock()
	if !ok {
		state = e.addService(s)
	}
	config := plugin.RepetitionConfig{HedgeBudget: s.Config.HedgeBudget, HedgeQuantile: s.Config.HedgeQuantile, RetryBudget: s.Config.RetryBudget, Objective: s.Config.Objective}
	if r := state.repetition.Load(); r == nil || r.config != config {
		state.repetition.CompareAndSwap(r, newRepetition(e.config.Policies.Repetition, config))
	}
	return state
}

// addService creates the state of a service, unless another goroutine has just done so.
func (e *Executor) addService(s *view.Service) *serviceState {
	e.mu.Lock()
	defer e.mu.Unlock()
	state, ok := e.services[s.Config.Name]
	if !ok {
		state = &serviceState{
			metrics:   e.config.Metrics.Service(s.Config.Name),
			admission: &admission{policy: dispatch.NewAdmission(e.config.Seed)},
		}
		e.services[s.Config.Name] = state
	}
	return state
}
