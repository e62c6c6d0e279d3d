package hosted

import (
	"context"
	"fmt"
	"sync"
	"sync/atomic"
	"time"

	"github.com/fuchsiaroad/fuchsiaroad/api/peerapi"
	"github.com/fuchsiaroad/fuchsiaroad/entry/hosted/statesync"
	"github.com/fuchsiaroad/fuchsiaroad/entry/peer"
	"github.com/fuchsiaroad/fuchsiaroad/entry/telemetry"
	"github.com/fuchsiaroad/fuchsiaroad/kernel/catalog"
	"github.com/fuchsiaroad/fuchsiaroad/kernel/document"
	"github.com/fuchsiaroad/fuchsiaroad/kernel/fleet"
	"github.com/fuchsiaroad/fuchsiaroad/kernel/view"
)

const (
	// tickInterval is how often the catalog drops what is over.
	tickInterval = 500 * time.Millisecond
	// inboxLength bounds what waits for the control goroutine.
	inboxLength = 64
)

// bound is a share of the time within which a change must be in force.
func (c *control) bound(share float64) time.Duration {
	return time.Duration(share * float64(c.node.tunables.Load().Bound))
}

// control owns the catalog. One goroutine does all of its work.
type control struct {
	node     *Node
	log      *telemetry.ComponentLog
	catalog  *catalog.Catalog
	inbox    chan any
	sequence uint64
	// state is what this instance sends to others; nil before it knows anything.
	state atomic.Pointer[statesync.State]
	// peers reaches other instances.
	peers syncPeers
	// receiver keeps what a peer sent last, on top of the store's lists up to receiverBase;
	// the goroutine's own that learns from peers, like oldSince.
	receiver     statesync.Receiver
	receiverBase uint64
	// oldSince is when this instance's state became old; zero: it is not.
	oldSince time.Time
	// storeLists counts the lists from the store that differed from the one in force. What a
	// peer says to be unchanged is the list that was in force when it was asked.
	storeLists atomic.Uint64
	// readFails says that the last read of the store by this instance failed.
	readFails atomic.Bool
	// suggested is a peer that knows better than this instance; nil: none.
	suggested atomic.Pointer[fleet.Instance]
	// wake ends the wait for the next synchronization.
	wake chan struct{}
	// source holds a string: the source of the last newer state, see sourceOf.
	source atomic.Value
	meters stateMeter
	// badLeaves reports the entries of leaves that can't be used.
	badLeaves *badEntries
}

// syncPeers asks other instances what they know.
type syncPeers interface {
	Sync(ctx context.Context, t peer.Target, r peerapi.SyncRequest) (*peerapi.SyncReply, error)
}

// configRead is a read of the configuration; nil: there is none.
type configRead struct {
	config *catalog.Config
	began  time.Time
}

// leavesRead is a read of the leaves.
type leavesRead struct {
	list  catalog.Listing
	began time.Time
}

// peerUpdate is the state that a peer has sent.
type peerUpdate struct {
	update *statesync.Update
	peer   string // its name, or its address before it is known
	base   uint64 // the store's lists when it was asked
}

// origin is where state comes from.
type origin struct {
	peer  string    // empty: this instance's own read of the store
	began time.Time // when the read of the store began
	// byChange is set if the peer sent only the change from the previous version.
	byChange bool
}

// pairs names the origin and its age in a log line.
func (o origin) pairs(now time.Time) []any {
	if o.peer == "" {
		return []any{"from", "store", "age", now.Sub(o.began)}
	}
	return []any{"from", "peer", "peer", o.peer, "age", now.Sub(o.began)}
}

// leafGone says that a leaf, by its incarnation, takes no more work.
type leafGone struct{ id string }

// retuned is a change of settings.
type retuned struct{ settings catalog.Settings }

// fleetResized is the word that shares of limits have changed.
type fleetResized struct{}

// newControl makes control; it reads nothing yet.
func newControl(n *Node) *control {
	return &control{
		node: n, log: n.log.Component("control"), peers: n.peers, catalog: catalog.New(n.config.Tunables.Catalog),
		inbox: make(chan any, inboxLength), wake: make(chan struct{}, 1),
		meters:    stateMeter{scope: n.metrics.Scope.SubScope("hosted")},
		badLeaves: newBadEntries(n.log.Component("control"), n.metrics.Scope, "leaves"),
	}
}

// run follows the store and publishes views until the context ends.
func (c *control) run(ctx context.Context) error {
	var following sync.WaitGroup
	following.Go(func() { c.follow(ctx) })
	defer following.Wait()
	tick := time.NewTicker(tickInterval)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case message := <-c.inbox:
			c.handle(message)
		case now := <-tick.C:
			c.meter(now)
			if c.catalog.Expire(now) {
				c.publish()
			}
		}
	}
}

// meter tells what this instance believes and holds.
func (c *control) meter(now time.Time) {
	n := c.node
	configAge, leavesAge := n.ages()
	dials, open := n.leaves.Opened()
	repeatsLeft, limited := n.executor.RepeatsLeft(now)
	_, role := n.fleet.source(now)
	c.meters.observe(state{
		source: c.stateSource(), role: role.String(),
		configAge: configAge.Seconds(), leavesAge: leavesAge.Seconds(), version: c.catalog.Version(),
		leaves: c.catalog.LeafCount(), slowLeaves: len(n.slow.SlowLeaves(now)), instances: look(n.fleet, (*fleet.Fleet).Size),
		connections: open, dials: dials, running: n.executor.Running(), logDrops: n.log.Dropped(),
		repeatsLeft: repeatsLeft, limitedShards: limited, forward: n.forwarder.ForwardDelay().Seconds(), gather: n.forwarder.GatherDelay().Seconds(),
	})
}

// handle takes one message.
func (c *control) handle(message any) {
	now := time.Now()
	changed := false
	switch m := message.(type) {
	case configRead:
		if m.config == nil {
			c.catalog.RecordConfigMissing(m.began)
		} else {
			changed = c.takeConfig(m.config, origin{began: m.began}, now)
		}
	case leavesRead:
		changed = c.takeLeaves(m.list, origin{began: m.began}, now)
	case peerUpdate:
		changed = c.takeUpdate(m, now)
	case retuned:
		c.catalog.SetSettings(m.settings)
		changed = true
	case fleetResized:
		changed = true
	case leafGone:
		if changed = c.catalog.MarkDraining(m.id); changed {
			c.log.Info("leaf takes no more work", "leaf", m.id)
		}
	}
	if changed {
		c.publish()
	}
	before := c.state.Load()
	hash := before.LeavesHash()
	c.refreshState(now)
	if c.state.Load().AsOf().After(before.AsOf()) {
		c.source.Store(sourceOf(message))
	}
	if _, ok := message.(leavesRead); ok && c.state.Load().LeavesHash() != hash {
		c.storeLists.Add(1)
	}
}

// Sources of newer state.
const (
	sourceStore = "store"
	sourcePeer  = "peer"
	sourceNone  = "none"
)

// sourceOf returns the source of a state message.
func sourceOf(message any) string {
	if _, ok := message.(peerUpdate); ok {
		return sourcePeer
	}
	return sourceStore
}

// stateSource returns the source of the last newer state.
func (c *control) stateSource() string {
	if source, ok := c.source.Load().(string); ok {
		return source
	}
	return sourceNone
}

// takeConfig puts a configuration into the catalog.
func (c *control) takeConfig(cfg *catalog.Config, from origin, now time.Time) bool {
	before := c.catalog.Version()
	changed := c.catalog.ApplyConfig(cfg, from.began, now)
	if changed {
		pairs := []any{"version", cfg.Version, "before", before, "routes", len(cfg.Routes), "changed", c.catalog.ChangedRouteCount(), "by_change", from.byChange}
		c.log.Info("configuration in force", append(pairs, from.pairs(now)...)...)
	}
	until := c.catalog.ConfigFreshUntil()
	c.node.current.Store(&until)
	return changed
}

// takeLeaves puts a list of leaves into the catalog.
func (c *control) takeLeaves(list catalog.Listing, from origin, now time.Time) bool {
	c.badLeaves.report(list.Bad)
	before := c.catalog.LeafCount()
	changed := c.catalog.ApplyLeaves(list, from.began, now)
	if changed {
		pairs := []any{"revision", list.Revision, "bad", len(list.Bad), "leaves", c.catalog.LeafCount(), "before", before}
		c.log.Info("leaves changed", append(pairs, from.pairs(now)...)...)
	}
	return changed
}

// refreshState renews what other instances are sent.
func (c *control) refreshState(now time.Time) {
	state, err := statesync.New(c.catalog, c.state.Load(), now)
	if err != nil {
		c.log.Error("state for peers was not encoded", "err", err)
		return
	}
	c.state.Store(state)
}

// publish builds a view of what is in force.
func (c *control) publish() {
	if !c.catalog.Ready() {
		return
	}
	c.sequence++
	v := view.BuildReusing(c.node.View(), c.catalog.Version(), "", c.catalog.Document(), c.catalog.Draining, c.connections)
	v.Sequence = c.sequence
	c.node.publish(v, c.catalog.Limits())
}

// connections is this instance's share of a leaf's limit, at least one.
func (c *control) connections(u *document.Upstream, _ string) int {
	return look(c.node.fleet, func(f *fleet.Fleet) int { return f.ConnectionShare(u.ConnectionLimit, len(u.Shards)) })
}

// post hands a message to the control goroutine.
func (c *control) post(ctx context.Context, message any) error {
	select {
	case c.inbox <- message:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// offer hands a message over without blocking. What finds the inbox full comes
// again with the next read of the store, or follows with the next view.
func (c *control) offer(message any) {
	select {
	case c.inbox <- message:
	default:
		c.log.Warn("message to control was dropped", "what", fmt.Sprintf("%T", message))
	}
}

// leafGone takes the leaf's own sign.
func (c *control) leafGone(id string) { c.offer(leafGone{id: id}) }

// resized says that the fleet's size has changed.
func (c *control) resized() { c.offer(fleetResized{}) }

// SawLeaving implements executor.LeafObserver. Leaves are known by their incarnations here.
func (c *control) SawLeaving(leafID string, _ int64) { c.leafGone(leafID) }

// SawBorn implements executor.LeafObserver. Births come from the store here.
func (c *control) SawBorn(string, int64) {}

// SpreadNow implements executor.LeafObserver. Instances here do not tell each other
// of quarantines.
func (c *control) SpreadNow() {}
