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
	"fmt"
	"maps"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/fuchsiaroad/fuchsiaroad/kernel/document"
)

// Config is one version of the operator's configuration.
type Config struct {
	Version  uint64
	Routes   []Route
	Services map[string]Service
	Limits   Limits
}

// Route leads requests of a host and path prefix to one set of shards, or to
// services by weight.
type Route struct {
	Name       string
	Host       string
	Prefix     string
	Idempotent bool
	Timeout    time.Duration
	Objective  time.Duration // 0: none
	Attempts   int
	Priority   int
	// Shards lists the services of a route that asks all of them; else Targets is set.
	Shards        []string
	TopK          int
	LeastCoverage float64
	Targets       []document.RouteTarget
}

// Service is what the configuration says of a service.
type Service struct {
	Name string
	// ConnectionLimit is the most connections a leaf takes from all instances.
	ConnectionLimit int
}

// Limits bound what a client may send. A zero field sets no bound.
type Limits struct {
	HeaderBytes int
	BodyBytes   int64
	HeaderTime  time.Duration
	IdleTime    time.Duration
}

// Leaf is one registered leaf. Each start of a leaf is a new one, with a new ID.
type Leaf struct {
	ID       string
	Service  string
	Address  string
	Zone     string
	Slots    int
	Draining bool
	// WarmAt is when the leaf has got over its slow start; it may have passed.
	WarmAt time.Time
}

// Settings are the times that the catalog works with.
type Settings struct {
	// LapseAfter is the silence after which the store may drop a leaf's entry.
	// An outage that lasted shorter drops no entry of a leaf that lives.
	LapseAfter time.Duration
	// ReturnWithin is how long after an outage the entries that lapsed in it
	// take to come back.
	ReturnWithin time.Duration
	// Retire is how long a set of shards is kept after the configuration has
	// dropped it. It is at least the longest time of a query.
	Retire time.Duration
	// Fresh is how old the last read of the configuration may be for its word
	// on an unknown route to count.
	Fresh time.Duration
	// Repeats bounds the extra arrivals at each service.
	Repeats document.RepeatLimit
	// DialCost is the usual time of a new connection to a leaf.
	DialCost time.Duration
}

// Catalog is the state. It is used by one goroutine at a time.
type Catalog struct {
	settings Settings
	config   *Config
	// configAt is when the last read of the configuration began.
	configAt time.Time
	// listed are the leaves of the last list, held those that were missing in the
	// first list after an outage and may still come back.
	listed   map[string]Leaf
	held     map[string]Leaf
	revision uint64
	hasList  bool
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
	return &Catalog{settings: s, listed: make(map[string]Leaf), held: make(map[string]Leaf), retired: make(map[string]retiredSet)}
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

// ConfigRead takes a configuration whose read began at the given time. Only a
// higher version comes into force. It reports whether anything changed.
func (c *Catalog) ConfigRead(cfg *Config, began, now time.Time) bool {
	if began.After(c.configAt) {
		c.configAt = began
	}
	if c.config != nil && cfg.Version <= c.config.Version {
		return false
	}
	c.retire(cfg, now)
	c.config = cfg
	return true
}

// ConfigMissing notes that there was no configuration at a read that began at the
// given time.
func (c *Catalog) ConfigMissing(began time.Time) {
	if c.config == nil && began.After(c.configAt) {
		c.configAt = began
	}
}

// FreshUntil is until when the configuration in force may be taken for the
// newest: an unknown route does not exist.
func (c *Catalog) FreshUntil() time.Time { return c.configAt.Add(c.settings.Fresh) }

// Sees reports whether a list at the revision is news.
func (c *Catalog) sees(revision uint64) bool { return !c.hasList || revision >= c.revision }

// LeavesRead takes the whole list of leaves at a revision of the store. A list
// older than one taken before is dropped: what was seen leaving stays so. It
// reports whether anything changed; the first list is a change, also an empty one.
//
// Entries of leaves that live lapse in an outage and come back after it. Those
// missing in the first list after one are held for that time; what is missing
// later is gone. To hold these too let leaves that left after the outage get new
// work for as long.
func (c *Catalog) LeavesRead(list []Leaf, revision uint64, began, now time.Time) bool {
	if !c.sees(revision) {
		return false
	}
	first := !c.hasList
	before := c.leaves()
	next := make(map[string]Leaf, len(list))
	for _, l := range list {
		next[l.ID] = c.merge(l)
	}
	if c.hasList && began.Sub(c.listedAt) >= c.settings.LapseAfter {
		c.held = missing(before, next)
		c.heldUntil = now.Add(c.settings.ReturnWithin)
	}
	c.hasList, c.revision, c.listedAt = true, revision, began
	c.listed = next
	c.release(now)
	return first || !maps.EqualFunc(before, c.leaves(), sameForRouting)
}

// release ends the holding of leaves that are back, or whose time is over.
func (c *Catalog) release(now time.Time) {
	if !now.Before(c.heldUntil) {
		clear(c.held)
		return
	}
	maps.DeleteFunc(c.held, func(id string, _ Leaf) bool {
		_, back := c.listed[id]
		return back
	})
}

// missing returns the leaves of one list that another lacks.
func missing(from, in map[string]Leaf) map[string]Leaf {
	out := make(map[string]Leaf)
	for id, l := range from {
		if _, ok := in[id]; !ok {
			out[id] = l
		}
	}
	return out
}

// leaves are those in force: the listed and the held ones.
func (c *Catalog) leaves() map[string]Leaf {
	out := maps.Clone(c.listed)
	maps.Copy(out, c.held)
	return out
}

// known returns a leaf in force.
func (c *Catalog) known(id string) (Leaf, bool) {
	if l, ok := c.listed[id]; ok {
		return l, true
	}
	l, ok := c.held[id]
	return l, ok
}

// LeavesConfirmed notes that the list in force was still the newest at a read
// that began at the given time.
func (c *Catalog) LeavesConfirmed(revision uint64, began time.Time) {
	if !c.hasList || !c.sees(revision) || !began.After(c.listedAt) {
		return
	}
	c.revision, c.listedAt = revision, began
}

// Known says how new what is in force is.
type Known struct {
	// ConfigAt and LeavesAt are when the last good reads began; zero for never.
	ConfigAt, LeavesAt time.Time
	// Revision is the store's at the last read of the leaves.
	Revision uint64
}

// Known returns the times of the last good reads.
func (c *Catalog) Known() Known {
	return Known{ConfigAt: c.configAt, LeavesAt: c.listedAt, Revision: c.revision}
}

// Config is the configuration in force, or nil. It must not be changed.
func (c *Catalog) Config() *Config { return c.config }

// List returns the leaves of the last list in the order of their IDs, without
// those that are held: whoever is told of them decides that by its own gap.
func (c *Catalog) List() []Leaf { return sorted(c.listed) }

// sorted returns leaves in the order of their IDs.
func sorted(leaves map[string]Leaf) []Leaf {
	out := make([]Leaf, 0, len(leaves))
	for _, id := range slices.Sorted(maps.Keys(leaves)) {
		out = append(out, leaves[id])
	}
	return out
}

// HashOf is a hash of what a list of leaves means to routing; never 0.
func HashOf(list []Leaf) uint64 {
	h := xxhash.New()
	for _, l := range list {
		fmt.Fprintf(h, "%q %q %q %q %d %t\n", l.ID, l.Service, l.Address, l.Zone, l.Slots, l.Draining)
	}
	return max(h.Sum64(), 1)
}

// merge keeps what is known of a leaf: a drain is never taken back, and the end
// of its slow start does not move with each reading.
func (c *Catalog) merge(l Leaf) Leaf {
	old, ok := c.known(l.ID)
	if !ok {
		return l
	}
	l.Draining = l.Draining || old.Draining
	l.WarmAt = old.WarmAt
	return l
}

// sameForRouting reports whether two readings of a leaf mean the same to routing.
func sameForRouting(a, b Leaf) bool {
	return a.ID == b.ID && a.Service == b.Service && a.Address == b.Address && a.Zone == b.Zone &&
		a.Slots == b.Slots && a.Draining == b.Draining
}

// MarkGone takes a leaf's own sign, or a peer's word, that it takes no more
// work. It reports whether that is news.
func (c *Catalog) MarkGone(id string) bool {
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

// Tick drops retired sets and held leaves whose time is over. It reports whether
// any was.
func (c *Catalog) Tick(now time.Time) bool {
	sets, held := len(c.retired), len(c.held)
	maps.DeleteFunc(c.retired, func(_ string, r retiredSet) bool { return !now.Before(r.until) })
	c.release(now)
	return len(c.retired) != sets || len(c.held) != held
}

// Leaves is the number of leaves in force.
func (c *Catalog) Leaves() int { return len(c.listed) + len(c.held) }

// byService lists the leaves of each service, in the order of their IDs.
func (c *Catalog) byService() map[string][]document.Leaf {
	out := make(map[string][]document.Leaf)
	for _, l := range sorted(c.leaves()) {
		out[l.Service] = append(out[l.Service], document.Leaf{ID: l.ID, Zone: l.Zone, Address: l.Address})
	}
	return out
}

// Draining reports whether a leaf gets no new work.
func (c *Catalog) Draining(id string) bool {
	l, _ := c.known(id)
	return l.Draining
}
