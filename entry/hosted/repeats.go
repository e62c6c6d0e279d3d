package hosted

import (
	"time"

	"github.com/fuchsiaroad/fuchsiaroad/kernel/fleet"
)

// repeatLogShare is the share of its part of the repeat limit at a shard that an instance uses
// up before it logs the use.
const repeatLogShare = 0.5

// repeatReporter logs how much of the limits on repeats this instance uses. Not safe for
// concurrent use.
type repeatReporter struct {
	control    *control
	reportedAt time.Time
}

// report logs, once per window of the limit, each shard at which this instance has used more
// than repeatLogShare of its part.
func (r *repeatReporter) report(now time.Time) {
	n := r.control.node
	window := n.config.Tunables.Catalog.RepeatLimit.Window
	if window <= 0 || now.Sub(r.reportedAt) < window {
		return
	}
	r.reportedAt = now
	for _, u := range n.executor.RepeatUsage(now) {
		if float64(u.Repeats) > repeatLogShare*u.Allowed {
			r.control.log.Info("repeats of the last window", "shard", u.Shard, "repeats", u.Repeats, "unsettled", u.Unsettled, "allowed", u.Allowed, "requests", u.Requests)
		}
	}
}

// reportAllowance logs this instance's share of the repeats that need no request, if it differs
// from the one logged last.
func (m *membership) reportAllowance(now time.Time) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if share := m.fleet.RepeatAllowanceShare(1, now); share != m.loggedAllowance {
		m.log.Info("share of the repeat allowance", "share", share, "before", m.loggedAllowance, "instances", m.fleet.Size(), "list_age", now.Sub(m.fleet.ListReadAt()))
		m.loggedAllowance = share
	}
}

// joinModeNames are the join modes in log lines.
var joinModeNames = map[fleet.JoinMode]string{
	fleet.JoinAtBootstrap: "bootstrap", fleet.JoinAsKnown: "restart", fleet.JoinAfterRestart: "early restart", fleet.JoinAsNew: "new",
}
