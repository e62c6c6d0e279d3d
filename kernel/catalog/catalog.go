// Package catalog is the service registry of one instance: it decides which
// configuration is in force and which leaves exist, from reads of the platform's
// store. Reads may be stale, arrive in any order and fail for a long time; the
// catalog never goes back to an older state.
//
// A configuration names services, and leaves register under a service's name. The
// catalog joins both into a document: a service that is queried alone becomes an
// upstream of one shard, and a set of services that is queried together becomes an
// upstream with one shard per service. An upstream that a newer configuration drops
// is kept for some time, so that queries in flight can finish on it.
package catalog

import (
	"maps"
	"time"

	"github.com/fuchsiaroad/fuchsiaroad/kernel/document"
)

// Settings holds the durations and limits of a catalog.
type Settings struct {
	// EntryTTL is the time without a heartbeat after which the store may drop a leaf's
	// entry. A shorter outage drops no entry of a running leaf.
	EntryTTL time.Duration
	// FreshnessBound is the time within which a change in the store must be in force.
	FreshnessBound time.Duration
	// ReregisterWithin is the time after an outage within which running leaves whose
	// entries lapsed register again.
	ReregisterWithin time.Duration
	// DroppedSetRetention is how long a set of shards is kept after the configuration
	// has dropped it. It is at least the longest query timeout.
	DroppedSetRetention time.Duration
	// ConfigFreshFor is the maximum age of the last read of the configuration at which
	// a route that is not in it is taken not to exist.
	ConfigFreshFor time.Duration
	// RepeatLimit bounds the arrivals at each service beyond the first of a request.
	RepeatLimit document.RepeatLimit
	// DialCost is the typical time to open a connection to a leaf.
	DialCost time.Duration
}

// Catalog holds the configuration in force and the registered leaves. It must be
// used by one goroutine at a time.
type Catalog struct {
	settings Settings
	config   *Config
	compiled *compiledConfig // compiled from config
	// configAt is when the last read of the configuration began.
	configAt time.Time
	// listed holds the leaves of the last list, by ID, merged with earlier lists.
	listed map[string]Leaf
	// lapsed holds, by ID, the leaves that the last list lacks and that may still register
	// again.
	lapsed map[string]lapsedLeaf
	// readFailedAt is when a read of the store by this instance failed last.
	readFailedAt time.Time
	// doubtful holds the entries of listed leaves whose start time went back, by ID.
	doubtful map[string]doubtfulEntry
	// departures are the leaves that began to leave with the last list.
	departures Departures
	// unlisted holds the leaves that an earlier list had and the last one lacks, by ID.
	unlisted map[string]unlistedLeaf
	// byIncarnation maps the incarnation of an active leaf to its ID.
	byIncarnation map[string]string
	// era and revision are the store's at the last successful read of the leaves.
	era, revision uint64
	// restoredAt is when the first list of a later era was applied.
	restoredAt time.Time
	hasLeaves  bool
	// leavesAt is when the last successful read of the leaves began.
	leavesAt    time.Time
	droppedSets map[string]droppedSet // by upstream name
}

// droppedSet is an upstream that the configuration has dropped and that is kept for
// queries in flight.
type droppedSet struct {
	upstream upstreamSpec
	until    time.Time
}

// New returns an empty catalog.
func New(s Settings) *Catalog {
	return &Catalog{
		settings: s, listed: make(map[string]Leaf), lapsed: make(map[string]lapsedLeaf), droppedSets: make(map[string]droppedSet),
		doubtful: make(map[string]doubtfulEntry), unlisted: make(map[string]unlistedLeaf), byIncarnation: make(map[string]string),
	}
}

// SetSettings replaces the settings and keeps the configuration and the leaves.
func (c *Catalog) SetSettings(s Settings) { c.settings = s }

// Ready reports whether the catalog has a configuration and a list of leaves.
func (c *Catalog) Ready() bool { return c.config != nil && c.hasLeaves }

// Version returns the version of the configuration in force, or 0 if there is none.
func (c *Catalog) Version() uint64 {
	if c.config == nil {
		return 0
	}
	return c.config.Version
}

// Limits returns the limits of the configuration in force, or zero limits if there is none.
func (c *Catalog) Limits() Limits {
	if c.config == nil {
		return Limits{}
	}
	return c.config.Limits
}

// ApplyConfig applies a configuration whose read began at readStart, if its version is
// higher than the one in force. It reports whether the configuration in force changed.
func (c *Catalog) ApplyConfig(cfg *Config, readStart, now time.Time) bool {
	if readStart.After(c.configAt) {
		c.configAt = readStart
	}
	if c.config != nil && cfg.Version <= c.config.Version {
		return false
	}
	cfg = c.config.ReuseRoutes(cfg)
	next := compileConfig(cfg, c.compiled)
	c.retainDroppedSets(next, now)
	c.config, c.compiled = cfg, next
	return true
}

// ChangedRouteCount returns the number of routes that differ from the previous configuration.
func (c *Catalog) ChangedRouteCount() int { return c.compiled.resolvedCount }

// RecordConfigMissing records that a read that began at readStart found no configuration.
// It has no effect if a configuration is in force.
func (c *Catalog) RecordConfigMissing(readStart time.Time) {
	if c.config == nil && readStart.After(c.configAt) {
		c.configAt = readStart
	}
}

// ConfigFreshUntil returns the time until which the configuration in force counts as the
// newest one, so that a route that is not in it does not exist.
func (c *Catalog) ConfigFreshUntil() time.Time { return c.configAt.Add(c.settings.ConfigFreshFor) }

// LastReads tells how recent the configuration and the leaves are.
type LastReads struct {
	// ConfigAt and LeavesAt are when the last successful reads began; zero if there was none.
	ConfigAt, LeavesAt time.Time
	// Era and Revision are the store's at the last read of the leaves.
	Era, Revision uint64
}

// LastReads returns the times of the last successful reads.
func (c *Catalog) LastReads() LastReads {
	return LastReads{ConfigAt: c.configAt, LeavesAt: c.leavesAt, Era: c.era, Revision: c.revision}
}

// Config returns the configuration in force, or nil. The caller must not modify it.
func (c *Catalog) Config() *Config { return c.config }

// ListedLeaves returns the leaves of the last list, ordered by ID, for other instances.
// It leaves out lapsed leaves, because a receiver decides by the length of its own outage
// which leaves to keep. For the same reason it returns a doubtful entry as it was read.
func (c *Catalog) ListedLeaves() []Leaf {
	out := sortByID(c.listed)
	for i := range out {
		if d, ok := c.doubtful[out[i].ID]; ok {
			out[i] = d.entry
		}
	}
	return out
}

// MarkDraining marks a leaf, given by its incarnation, as draining: the leaf itself has
// signaled that it takes no more work. It reports whether that changes anything.
func (c *Catalog) MarkDraining(incarnation string) bool {
	id, ok := c.byIncarnation[incarnation]
	if !ok {
		return false
	}
	l, ok := c.activeLeaf(id)
	if !ok || l.Draining {
		return false
	}
	l.Draining = true
	if kept, ok := c.lapsed[id]; ok {
		kept.Leaf = l
		c.lapsed[id] = kept
	} else {
		c.listed[id] = l
	}
	return true
}

// Expire removes dropped sets and lapsed leaves whose retention has ended. It reports
// whether it removed any.
func (c *Catalog) Expire(now time.Time) bool {
	sets, lapsed := len(c.droppedSets), len(c.lapsed)
	maps.DeleteFunc(c.droppedSets, func(_ string, s droppedSet) bool { return !now.Before(s.until) })
	c.dropLapsed(now)
	return len(c.droppedSets) != sets || len(c.lapsed) != lapsed
}

// LeafCount returns the number of active leaves: those listed and those lapsed.
func (c *Catalog) LeafCount() int { return len(c.listed) + len(c.lapsed) }

// leavesByService returns the active leaves of each service, ordered by ID.
func (c *Catalog) leavesByService() map[string][]document.Leaf {
	out := make(map[string][]document.Leaf)
	for _, l := range sortByID(c.activeLeaves()) {
		out[l.Service] = append(out[l.Service], document.Leaf{ID: l.Incarnation(), Name: l.ID, Zone: l.Zone, Address: l.Address})
	}
	return out
}

// Draining reports whether a leaf, given by its incarnation, gets no new work.
func (c *Catalog) Draining(incarnation string) bool {
	id := c.byIncarnation[incarnation]
	l, _ := c.activeLeaf(id)
	return l.Draining || c.doubtful[id].entry.Draining
}
