package hosted

import (
	"testing"
	"testing/synctest"

	"github.com/uber-go/tally/v4"
)

// TestStateAgeGaugesResetOnRoleChange has an instance change from the reader to a member: the
// gauges with its earlier labels become inactive.
func TestStateAgeGaugesResetOnRoleChange(t *testing.T) {
	scope := tally.NewTestScope("", nil)
	m := stateMeter{scope: scope}
	m.update(gaugeValues{source: sourceStore, role: "reader", configAge: 0.5, leavesAge: 0.7, version: 3})
	m.update(gaugeValues{source: sourcePeer, role: "member", configAge: 1.5, leavesAge: 1.2, version: 4})
	got := make(map[string]float64)
	for _, g := range scope.Snapshot().Gauges() {
		if source := g.Tags()["source"]; source != "" {
			got[g.Name()+" "+source+" "+g.Tags()["role"]] = g.Value()
		}
	}
	for name, want := range map[string]float64{
		"state_age_seconds store reader": inactiveGaugeValue, "state_version store reader": inactiveGaugeValue,
		"state_age_seconds peer member": 1.5, "state_version peer member": 4,
	} {
		if value, ok := got[name]; !ok || value != want {
			t.Errorf("%s: %v, want %v", name, value, want)
		}
	}
}

// TestStateSourceOfReaderAndMembers checks the source of the state of each instance of a fleet: the
// store for the reader, a peer for all others.
func TestStateSourceOfReaderAndMembers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newSettledFleet(t, 12)
		defer f.stopAll()
		sources := make(map[string]int)
		for _, r := range f.running {
			sources[r.node.control.stateSource()]++
		}
		if sources[sourceStore] != 1 || sources[sourcePeer] != 11 {
			t.Errorf("sources %v, want one store and 11 peers", sources)
		}
	})
}
