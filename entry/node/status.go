package node

import (
	"sort"
	"time"

	"github.com/fuchsiaroad/fuchsiaroad/entry/lifecycle"
	"github.com/fuchsiaroad/fuchsiaroad/entry/probe"
)

// Status is the reply of /status. It contains no caller names.
type Status struct {
	Instance          string       `json:"instance"`
	Zone              string       `json:"zone"`
	Version           string       `json:"version"`
	Phase             string       `json:"phase"`
	UptimeS           int64        `json:"uptime_s"`
	Generation        uint64       `json:"generation"`
	Hash              string       `json:"hash,omitempty"`
	QueriesInFlight   int64        `json:"queries_in_flight"`
	LogDrops          int64        `json:"log_drops"`
	QuarantineRecords int          `json:"quarantine"`
	Leaves            []LeafStatus `json:"leaves"`
}

// LeafStatus is one leaf as this instance sees it.
type LeafStatus struct {
	ID       string `json:"id"`
	Upstream string `json:"upstream"`
	Draining bool   `json:"leaving"`
	// Connections is the number of connections in use, out of ConnectionLimit, this
	// instance's share of the leaf's limit.
	Connections     int   `json:"connections"`
	ConnectionLimit int   `json:"share"`
	Dials           int64 `json:"dials"`
	// SinceReplyMS is the time since the leaf last replied; -1 if it never has.
	SinceReplyMS int64 `json:"heard_ms"`
}

// phaseNames maps phases to their names in Status.
var phaseNames = map[lifecycle.Phase]string{
	lifecycle.Starting: "starting", lifecycle.Serving: "serving", lifecycle.Leaving: "leaving", lifecycle.Refusing: "refusing",
}

// status returns the current Status.
func (n *Node) status() any {
	s := Status{
		Instance: n.settings.Instance, Zone: n.settings.Zone, Version: Version,
		Phase: phaseNames[n.lifecycle.Get()], UptimeS: int64(time.Since(n.startTime).Seconds()),
		QueriesInFlight: n.executor.QueriesInFlight(), LogDrops: n.log.Dropped(), Leaves: []LeafStatus{},
		QuarantineRecords: len(n.executor.Quarantine()),
	}
	v := n.View()
	if v == nil {
		return s
	}
	s.Generation, s.Hash = v.Generation, v.Hash
	for i := range v.Leaves {
		leaf := &v.Leaves[i]
		stats := n.leafClient.Stats(probe.TargetOf(v, leaf))
		sinceReply := int64(-1)
		if at := n.executor.LastReply(leaf.ID); !at.IsZero() {
			sinceReply = time.Since(at).Milliseconds()
		}
		s.Leaves = append(s.Leaves, LeafStatus{
			ID: leaf.ID, Upstream: v.Upstreams[leaf.Upstream].Name, Draining: leaf.Draining,
			Connections: stats.Used, ConnectionLimit: stats.Limit, Dials: stats.Dials, SinceReplyMS: sinceReply,
		})
	}
	sort.Slice(s.Leaves, func(i, j int) bool { return s.Leaves[i].ID < s.Leaves[j].ID })
	return s
}
