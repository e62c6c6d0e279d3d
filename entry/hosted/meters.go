package hosted

import (
	"maps"

	"github.com/uber-go/tally/v4"
)

// stateMeter reports the instance's state as gauges. Not safe for concurrent use.
type stateMeter struct {
	scope tally.Scope
	// labels are the last ones reported by observeAge.
	labels map[string]string
}

// notNow is the value of a gauge whose labels no longer apply.
const notNow = -1

// state is one look at the instance.
type state struct {
	source, role         string  // of the last newer state, and of this instance
	configAge, leavesAge float64 // seconds
	version              uint64
	leaves, instances    int
	connections          int
	dials, logDrops      int64
	running              int64
	slowLeaves           int
	// repeatsLeft is the least number of repeats left at any of the limited shards.
	repeatsLeft     float64
	limitedShards   int
	forward, gather float64 // seconds
}

// observe updates the gauges.
func (m *stateMeter) observe(s state) {
	m.observeAge(s)
	m.scope.Gauge("config_age_seconds").Update(s.configAge)
	m.scope.Gauge("leaves_age_seconds").Update(s.leavesAge)
	m.scope.Gauge("config_version").Update(float64(s.version))
	m.scope.Gauge("leaves").Update(float64(s.leaves))
	m.scope.Gauge("slow_leaves").Update(float64(s.slowLeaves))
	m.scope.Gauge("instances").Update(float64(s.instances))
	m.scope.Gauge("leaf_connections").Update(float64(s.connections))
	m.scope.Gauge("leaf_dials").Update(float64(s.dials))
	if s.limitedShards > 0 {
		m.scope.Gauge("repeats_left_least").Update(s.repeatsLeft)
	}
	m.scope.Gauge("hand_over_seconds").Update(s.forward)
	m.scope.Gauge("gather_seconds").Update(s.gather)
	m.scope.Gauge("queries_in_progress").Update(float64(s.running))
	m.scope.Gauge("log_lines_dropped").Update(float64(s.logDrops))
}

// observeAge reports the age of the older of configuration and leaves, and the version, by source
// and role.
func (m *stateMeter) observeAge(s state) {
	labels := map[string]string{"source": s.source, "role": s.role}
	if m.labels != nil && !maps.Equal(labels, m.labels) {
		m.scope.Tagged(m.labels).Gauge("state_age_seconds").Update(notNow)
		m.scope.Tagged(m.labels).Gauge("state_version").Update(notNow)
	}
	m.labels = labels
	m.scope.Tagged(labels).Gauge("state_age_seconds").Update(max(s.configAge, s.leavesAge))
	m.scope.Tagged(labels).Gauge("state_version").Update(float64(s.version))
}
