// Package catalog decides which configuration is in force and which leaves are
// there, from reads of the platform's store. Reads may be old, may come in any
// order and may fail for long; what is in force never goes back.
//
// A configuration names services, the leaves register themselves under a
// service's name. The catalog joins both to a document: a service that is asked
// alone is an upstream of one shard, a set of services that is asked together is
// an upstream of as many shards. A set that a newer configuration no longer
// names stays for a while, so that queries which began on it end on it.
package catalog

import (
	"maps"
	"time"

	"github.com/fuchsiaroad/fuchsiaroad/kernel/document"
)

// Settings are the times that the catalog works with.
type Settings struct {
	// EntryTTL is the silence after which the store may drop a leaf's entry.
	// An outage that lasted shorter drops no entry of a leaf that lives.
	EntryTTL time.Duration
	// ReregisterWithin is how long after an outage the entries that lapsed in it
	// take to come back.
	ReregisterWithin time.Duration
	// DroppedSetRetention is how long a set of shards is kept after the configuration has
	// dropped it. It is at least the longest time of a query.
	DroppedSetRetention time.Duration
	// ConfigFreshFor is how old the last read of the configuration may be for its word
	// on an unknown route to count.
	ConfigFreshFor time.Duration
	// RepeatLimit bounds the extra arrivals at each service.
	RepeatLimit document.RepeatLimit
	// DialCost is the usual time of a new connection to a leaf.
	DialCost time.Duration
}

// Catalog is the state. It is used by one goroutine at a time.
type Catalog struct {
	settings Settings
	config   *Config
	compiled *compiled // of the configuration
	// configAt is when the last read of the configuration began.
	configAt time.Time
	// listed are the leaves of the last list, held those that were missing in the
	// first list after an outage and may still come back.
	listed map[string]Leaf // by ID, as held
	held   map[string]Leaf
	// doubts are the entries of listed leaves whose birth went back, by ID.
	doubts map[string]doubt
	// absent are the leaves that lists named once, by ID.
	absent map[string]absent
	// byIncarnation finds the ID of a leaf in force.
	byIncarnation map[string]string
	revision      uint64
	hasList       bool
	// listedAt is when the last good read of the leaves began.
	listedAt time.Time
	// heldUntil is until when they are kept.
	heldUntil time.Time
	retired   map[string]retiredSet // by upstream name
}

// retiredSet is a set of shards that is kept for queries in flight.
type retiredSet struct {
	upstream upstream
	until    time.Time
}

// New returns an empty catalog.
func New(s Settings) *Catalog {
	return &Catalog{
		settings: s, listed: make(map[string]Leaf), held: make(map[string]Leaf), retired: make(map[string]retiredSet),
		doubts: make(map[string]doubt), absent: make(map[string]absent), byIncarnation: make(map[string]string),
	}
}

// SetSettings changes the times and limits; what is known stays.
func (c *Catalog) SetSettings(s Settings) { c.settings = s }

// Ready reports whether there is a configuration and a list of leaves.
func (c *Catalog) Ready() bool { return c.config != nil && c.hasList }

// Version is the configuration's version in force, 0 before there is one.
func (c *Catalog) Version() uint64 {
	if c.config == nil {
		return 0
	}
	return c.config.Version
}

// Limits are those of the configuration in force.
func (c *Catalog) Limits() Limits {
	if c.config == nil {
		return Limits{}
	}
	return c.config.Limits
}

// ApplyConfig takes a configuration whose read began at the given time. Only a
// higher version comes into force. It reports whether anything changed.
func (c *Catalog) ApplyConfig(cfg *Config, began, now time.Time) bool {
	if began.After(c.configAt) {
		c.configAt = began
	}
	if c.config != nil && cfg.Version <= c.config.Version {
		return false
	}
	cfg = c.config.ReuseRoutes(cfg)
	next := compile(cfg, c.compiled)
	c.retire(next, now)
	c.config, c.compiled = cfg, next
	return true
}

// ChangedRouteCount returns the number of routes that differ from the previous configuration.
func (c *Catalog) ChangedRouteCount() int { return c.compiled.resolved }

// RecordConfigMissing notes that there was no configuration at a read that began at the
// given time.
func (c *Catalog) RecordConfigMissing(began time.Time) {
	if c.config == nil && began.After(c.configAt) {
		c.configAt = began
	}
}

// ConfigFreshUntil is until when the configuration in force may be taken for the
// newest: an unknown route does not exist.
func (c *Catalog) ConfigFreshUntil() time.Time { return c.configAt.Add(c.settings.ConfigFreshFor) }

// LastReads says how new what is in force is.
type LastReads struct {
	// ConfigAt and LeavesAt are when the last good reads began; zero for never.
	ConfigAt, LeavesAt time.Time
	// Revision is the store's at the last read of the leaves.
	Revision uint64
}

// LastReads returns the times of the last good reads.
func (c *Catalog) LastReads() LastReads {
	return LastReads{ConfigAt: c.configAt, LeavesAt: c.listedAt, Revision: c.revision}
}

// Config is the configuration in force, or nil. It must not be changed.
func (c *Catalog) Config() *Config { return c.config }

// ListedLeaves returns the leaves of the last list in the order of their IDs, without
// those that are held: whoever receives them decides that by its own gap. Entries
// in doubt are sent as they were read, for the same reason.
func (c *Catalog) ListedLeaves() []Leaf {
	out := sorted(c.listed)
	for i := range out {
		if d, ok := c.doubts[out[i].ID]; ok {
			out[i] = d.entry
		}
	}
	return out
}

// MarkDraining takes the sign of a leaf, by its incarnation, that it takes no more work.
// It reports whether that changes anything.
func (c *Catalog) MarkDraining(incarnation string) bool {
	id, ok := c.byIncarnation[incarnation]
	if !ok {
		return false
	}
	l, ok := c.known(id)
	if !ok || l.Draining {
		return false
	}
	l.Draining = true
	if _, held := c.held[id]; held {
		c.held[id] = l
	} else {
		c.listed[id] = l
	}
	return true
}

// Expire drops retired sets and held leaves whose time is over. It reports whether
// any was.
func (c *Catalog) Expire(now time.Time) bool {
	sets, held := len(c.retired), len(c.held)
	maps.DeleteFunc(c.retired, func(_ string, r retiredSet) bool { return !now.Before(r.until) })
	c.release(now)
	return len(c.retired) != sets || len(c.held) != held
}

// LeafCount is the number of leaves in force.
func (c *Catalog) LeafCount() int { return len(c.listed) + len(c.held) }

// byService lists the leaves of each service, in the order of their IDs.
func (c *Catalog) byService() map[string][]document.Leaf {
	out := make(map[string][]document.Leaf)
	for _, l := range sorted(c.leaves()) {
		out[l.Service] = append(out[l.Service], document.Leaf{ID: l.Incarnation(), Name: l.ID, Zone: l.Zone, Address: l.Address})
	}
	return out
}

// Draining reports whether a leaf, by its incarnation, gets no new work.
func (c *Catalog) Draining(incarnation string) bool {
	id := c.byIncarnation[incarnation]
	l, _ := c.known(id)
	return l.Draining || c.doubts[id].entry.Draining
}
