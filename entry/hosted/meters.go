package hosted

import (
	"maps"

	"github.com/uber-go/tally/v4"

	"github.com/fuchsiaroad/fuchsiaroad/entry/ingress"
)

// stateMeter reports the instance's state as gauges. Not safe for concurrent use.
type stateMeter struct {
	scope tally.Scope
	// labels are those that updateStateAge reported last.
	labels map[string]string
}

// inactiveGaugeValue is the value of a gauge with labels that do not apply at present.
const inactiveGaugeValue = -1

// gaugeValues holds the values of the gauges at one moment.
type gaugeValues struct {
	source, role         string  // source of the last newer state; role of this instance
	configAge, leavesAge float64 // seconds
	version              uint64
	leaves, instances    int
	lapsedLeaves         int // kept without an entry
	connections          int
	clients              ingress.Usage
	dials, logDrops      int64
	runningQueries       int64
	slowLeaves           int
	// repeatsLeft is the smallest number of repeats left at any of the limited shards.
	repeatsLeft               float64
	limitedShards             int
	forwardDelay, gatherDelay float64 // seconds
}

// update sets all gauges.
func (m *stateMeter) update(s gaugeValues) {
	m.updateStateAge(s)
	m.scope.Gauge("config_age_seconds").Update(s.configAge)
	m.scope.Gauge("leaves_age_seconds").Update(s.leavesAge)
	m.scope.Gauge("config_version").Update(float64(s.version))
	m.scope.Gauge("leaves").Update(float64(s.leaves))
	m.scope.Gauge("lapsed_leaves").Update(float64(s.lapsedLeaves))
	m.scope.Gauge("slow_leaves").Update(float64(s.slowLeaves))
	m.scope.Gauge("instances").Update(float64(s.instances))
	m.scope.Gauge("client_connections").Update(float64(s.clients.Connections))
	m.scope.Gauge("client_requests").Update(float64(s.clients.Running))
	m.scope.Gauge("client_memory_bytes").Update(float64(s.clients.MemoryBytes))
	m.scope.Gauge("leaf_connections").Update(float64(s.connections))
	m.scope.Gauge("leaf_dials").Update(float64(s.dials))
	if s.limitedShards > 0 {
		m.scope.Gauge("repeats_left_least").Update(s.repeatsLeft)
	}
	m.scope.Gauge("hand_over_seconds").Update(s.forwardDelay)
	m.scope.Gauge("gather_seconds").Update(s.gatherDelay)
	m.scope.Gauge("queries_in_progress").Update(float64(s.runningQueries))
	m.scope.Gauge("log_lines_dropped").Update(float64(s.logDrops))
}

// updateStateAge sets the gauges of the state's age (the greater of those of configuration and
// leaves) and version, labeled by source and role. Gauges of earlier labels become
// inactiveGaugeValue.
func (m *stateMeter) updateStateAge(s gaugeValues) {
	labels := map[string]string{"source": s.source, "role": s.role}
	if m.labels != nil && !maps.Equal(labels, m.labels) {
		m.scope.Tagged(m.labels).Gauge("state_age_seconds").Update(inactiveGaugeValue)
		m.scope.Tagged(m.labels).Gauge("state_version").Update(inactiveGaugeValue)
	}
	m.labels = labels
	m.scope.Tagged(labels).Gauge("state_age_seconds").Update(max(s.configAge, s.leavesAge))
	m.scope.Tagged(labels).Gauge("state_version").Update(float64(s.version))
}
