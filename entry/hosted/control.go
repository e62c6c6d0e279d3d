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
	// tickInterval is how often the catalog drops expired entries.
	tickInterval = 500 * time.Millisecond
	// inboxLength is the number of messages that can wait for the control goroutine.
	inboxLength = 64
)

// boundShare returns a share of the freshness bound, the time within which a change in the store
// must be in force.
func (c *control) boundShare(share float64) time.Duration {
	return time.Duration(share * float64(c.node.tunables.Load().FreshnessBound))
}

// control owns the catalog. Only the goroutine of run uses the catalog; others send it messages.
type control struct {
	node     *Node
	log      *telemetry.ComponentLog
	catalog  *catalog.Catalog
	inbox    chan any
	sequence uint64
	// state is the state that this instance sends to peers; nil before there is any.
	state atomic.Pointer[statesync.State]
	// peers calls other instances.
	peers syncPeers
	// receiver keeps the list that a peer sent last, to which the next answer may be a
	// difference. It is valid while storeListChanges equals receiverListChanges. Only the
	// goroutine that synchronizes from peers uses these two and staleSince.
	receiver            statesync.Receiver
	receiverListChanges uint64
	// peerContactAt is when this instance last exchanged state with a peer; nil for never.
	peerContactAt atomic.Pointer[time.Time]
	// syncedAt is when this instance last synchronized from a peer, zero for never. Only the
	// goroutine that synchronizes uses it.
	syncedAt time.Time
	// staleSince is when this instance's state became stale; zero if it is fresh.
	staleSince time.Time
	// storeListChanges counts the lists of leaves from the store that differed from the one in
	// force. A peer's answer "unchanged" refers to the list that was in force when the peer was
	// asked, so it counts only if this number is still the same.
	storeListChanges atomic.Uint64
	// loadedAt is when the first state was loaded; nil: it was not yet.
	loadedAt atomic.Pointer[time.Time]
	// readFailedAt is when a read of the store by this instance failed last, see recordFailedRead, and
	// triedAt when one failed or had no answer for minReadTimeout; nil: none has.
	readFailedAt, triedAt atomic.Pointer[time.Time]
	// answerTimes are those of the store, and silenceLoggedAt is when a late answer was logged last;
	// nil: never.
	answerTimes     answerTimes
	silenceLoggedAt atomic.Pointer[time.Time]
	// storeReadFailing is set while this instance's last read of the store has failed or has no answer.
	storeReadFailing atomic.Bool
	// fresherPeer is a peer that has fresher state than this instance; nil: none.
	fresherPeer atomic.Pointer[fleet.Instance]
	// syncRequested ends the wait for the next synchronization early.
	syncRequested chan struct{}
	// lastSource holds a string: where the last newer state came from, as sourceOf names it.
	lastSource atomic.Value
	gauges     stateMeter
	repeats    repeatReporter
	// badLeaves reports the store's entries of leaves that can't be used.
	badLeaves *badEntryReporter
}

// syncPeers asks other instances for their state.
type syncPeers interface {
	Sync(ctx context.Context, t peer.Target, r peerapi.SyncRequest) (*peerapi.SyncReply, error)
}

// configRead is the result of a read of the configuration; config is nil if there is none.
type configRead struct {
	config    *catalog.Config
	startedAt time.Time
}

// leavesRead is the result of a read of the leaves.
type leavesRead struct {
	list      catalog.Listing
	startedAt time.Time
}

// peerUpdate is the state that a peer has sent.
type peerUpdate struct {
	update           *statesync.Update
	peer             string // its name, or its address while the name is unknown
	storeListChanges uint64 // control.storeListChanges when the peer was asked
}

// stateOrigin says where state comes from and how old it is.
type stateOrigin struct {
	peer          string    // empty: this instance's own read of the store
	readStartedAt time.Time // when the read of the store that gave the state began
	// isDelta says that the peer sent only the difference from the previous version.
	isDelta bool
}

// logAttrs returns the keys and values of the origin and its age for a log line.
func (o stateOrigin) logAttrs(now time.Time) []any {
	if o.peer == "" {
		return []any{"from", "store", "age", now.Sub(o.readStartedAt)}
	}
	return []any{"from", "peer", "peer", o.peer, "age", now.Sub(o.readStartedAt)}
}

// leafGone says that a leaf takes no more work. The ID is that of one incarnation of the leaf.
type leafGone struct{ id string }

// retuned says that the catalog's settings have changed.
type retuned struct{ settings catalog.Settings }

// fleetResized says that this instance's shares of the fleet's limits have changed.
type fleetResized struct{}

// newControl makes a control that has read nothing yet.
func newControl(n *Node) *control {
	c := &control{
		node: n, log: n.log.Component("control"), peers: n.peers, catalog: catalog.New(n.config.Tunables.Catalog),
		inbox: make(chan any, inboxLength), syncRequested: make(chan struct{}, 1),
		gauges:    stateMeter{scope: n.metrics.Scope.SubScope("hosted")},
		badLeaves: newBadEntryReporter(n.log.Component("control"), n.metrics.Scope, "leaves"),
	}
	c.repeats.control = c
	return c
}

// run follows the store and publishes views until the context ends.
func (c *control) run(ctx context.Context) error {
	var loops sync.WaitGroup
	loops.Go(func() { c.runSyncLoops(ctx) })
	defer loops.Wait()
	tick := time.NewTicker(tickInterval)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case message := <-c.inbox:
			c.handleMessage(message)
		case now := <-tick.C:
			c.updateGauges(now)
			c.repeats.report(now)
			c.node.membership.reportAllowance(now)
			if c.catalog.Expire(now) {
				c.publish()
			}
		}
	}
}

// updateGauges reports the instance's state, connections and load as gauges.
func (c *control) updateGauges(now time.Time) {
	n := c.node
	info := n.stateInfo()
	dials, open := n.leaves.Opened()
	repeatsLeft, limited := n.executor.RemainingRepeats(now)
	_, role := n.membership.syncSource(now)
	c.gauges.update(gaugeValues{
		source: c.stateSource(), role: role.String(),
		configAge: info.ConfigAge.Seconds(), leavesAge: info.LeavesAge.Seconds(), version: c.catalog.Version(),
		leaves: c.catalog.LeafCount(), lapsedLeaves: len(c.catalog.Lapsed().IDs), slowLeaves: len(n.slowLeaves.SlowLeaves(now)), instances: readFleet(n.membership, (*fleet.Fleet).Size),
		connections: open, dials: dials, clients: n.clients.Usage(), runningQueries: n.executor.QueriesInFlight(), logDrops: n.log.Dropped(),
		repeatsLeft: repeatsLeft, limitedShards: limited, forwardDelay: n.forwarder.ForwardDelay().Seconds(), gatherDelay: n.forwarder.GatherDelay().Seconds(),
	})
}

// handleMessage applies one message to the catalog, publishes a new view if anything changed, and
// renews the state that is sent to peers.
func (c *control) handleMessage(message any) {
	now := time.Now()
	changed := false
	switch m := message.(type) {
	case configRead:
		if m.config == nil {
			c.catalog.RecordConfigMissing(m.startedAt)
		} else {
			changed = c.applyConfig(m.config, stateOrigin{readStartedAt: m.startedAt}, now)
		}
	case leavesRead:
		changed = c.applyLeaves(m.list, stateOrigin{readStartedAt: m.startedAt}, now)
	case peerUpdate:
		changed = c.applyUpdate(m, now)
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
	previous := c.state.Load()
	previousHash := previous.LeavesHash()
	c.refreshPeerState(now)
	if c.state.Load().AsOf().After(previous.AsOf()) {
		c.lastSource.Store(sourceOf(message))
	}
	if _, ok := message.(leavesRead); ok && c.state.Load().LeavesHash() != previousHash {
		c.storeListChanges.Add(1)
	}
}

// Values of the metric label "source".
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
	if source, ok := c.lastSource.Load().(string); ok {
		return source
	}
	return sourceNone
}

// applyConfig applies a configuration to the catalog and reports whether anything changed.
func (c *control) applyConfig(cfg *catalog.Config, from stateOrigin, now time.Time) bool {
	previousVersion := c.catalog.Version()
	changed := c.catalog.ApplyConfig(cfg, from.readStartedAt, now)
	if changed {
		attrs := []any{"version", cfg.Version, "before", previousVersion, "routes", len(cfg.Routes), "changed", c.catalog.ChangedRouteCount(), "by_change", from.isDelta}
		c.log.Info("configuration in force", append(attrs, from.logAttrs(now)...)...)
	}
	freshUntil := c.catalog.ConfigFreshUntil()
	c.node.configFreshUntil.Store(&freshUntil)
	return changed
}

// applyLeaves applies a list of leaves to the catalog and reports whether anything changed.
func (c *control) applyLeaves(list catalog.Listing, from stateOrigin, now time.Time) bool {
	c.badLeaves.report(list.Bad)
	if failedAt := c.readFailedAt.Load(); failedAt != nil {
		c.catalog.RecordReadFailure(*failedAt)
	}
	previousCount, previous := c.catalog.LeafCount(), c.catalog.LastReads()
	if from.peer == "" && (list.Era < previous.Era || list.Era == previous.Era && list.Revision < previous.Revision) {
		attrs := []any{"era", list.Era, "revision", list.Revision, "era_in_force", previous.Era, "in_force", previous.Revision}
		c.log.Warn("list of leaves ignored", append(attrs, from.logAttrs(now)...)...)
	}
	changed := c.catalog.ApplyLeaves(list, from.readStartedAt, now)
	c.logEra(previous, from, now)
	if changed {
		attrs := []any{"revision", list.Revision, "bad", len(list.Bad), "leaves", c.catalog.LeafCount(), "before", previousCount}
		c.log.Info("leaves changed", append(attrs, from.logAttrs(now)...)...)
		c.logDepartures(list.Revision, from, now)
		c.logLapsed(from.readStartedAt.Sub(previous.LeavesAt), now)
	}
	return changed
}

// logEra logs that the store has begun another era since the previous reads.
func (c *control) logEra(previous catalog.LastReads, from stateOrigin, now time.Time) {
	if last := c.catalog.LastReads(); last.Era != previous.Era && !previous.LeavesAt.IsZero() {
		attrs := []any{"era", last.Era, "before", previous.Era, "revision", last.Revision, "revision_before", previous.Revision}
		c.log.Warn("store was restored from an older copy", append(attrs, from.logAttrs(now)...)...)
	}
}

// logDepartures logs each leaf that gets no more work since the last list.
func (c *control) logDepartures(revision uint64, from stateOrigin, now time.Time) {
	departures := c.catalog.Departures()
	for _, d := range []struct {
		reason string
		ids    []string
	}{{"drains", departures.Drained}, {"has no entry", departures.Removed}} {
		for _, id := range d.ids {
			c.log.Info("leaf left", append([]any{"leaf", id, "why", d.reason, "revision", revision}, from.logAttrs(now)...)...)
		}
	}
}

// maxLoggedLeaves is the maximum of leaves that a log line names.
const maxLoggedLeaves = 8

// logLapsed logs which leaves are kept without an entry after a list that was read a gap after the
// previous one.
func (c *control) logLapsed(gap time.Duration, now time.Time) {
	lapsed := c.catalog.Lapsed()
	if len(lapsed.IDs) == 0 {
		return
	}
	c.log.Info("leaves kept without an entry", "leaves", len(lapsed.IDs), "ids", lapsed.IDs[:min(len(lapsed.IDs), maxLoggedLeaves)], "gap", gap, "for", lapsed.Until.Sub(now))
}

// refreshPeerState renews the state that other instances are sent.
func (c *control) refreshPeerState(now time.Time) {
	state, err := statesync.New(c.catalog, c.state.Load(), now)
	if err != nil {
		c.log.Error("state for peers was not encoded", "err", err)
		return
	}
	c.state.Store(state)
}

// publish builds a view of the catalog and puts it in force, once the catalog has read both
// configuration and leaves.
func (c *control) publish() {
	if !c.catalog.Ready() {
		return
	}
	c.sequence++
	v := view.BuildReusing(c.node.View(), c.catalog.Version(), "", c.catalog.Document(), c.catalog.Draining, c.connectionShare)
	v.Sequence = c.sequence
	c.node.publish(v, c.catalog.Limits())
}

// connectionShare returns this instance's share of a leaf's connection limit, at least one.
func (c *control) connectionShare(u *document.Upstream, _ string) int {
	return readFleet(c.node.membership, func(f *fleet.Fleet) int { return f.ConnectionShare(u.ConnectionLimit, len(u.Shards)) })
}

// send passes a message to the control goroutine and waits until there is room for it.
func (c *control) send(ctx context.Context, message any) error {
	select {
	case c.inbox <- message:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// trySend passes a message to the control goroutine without blocking. If the inbox is full the
// message is dropped: the next read of the store or the next view brings what it said.
func (c *control) trySend(message any) {
	select {
	case c.inbox <- message:
	default:
		c.log.Warn("message to control was dropped", "what", fmt.Sprintf("%T", message))
	}
}

// reportLeafGone passes on that a leaf indicated itself that it takes no more work.
func (c *control) reportLeafGone(id string) { c.trySend(leafGone{id: id}) }

// reportFleetResized passes on that the fleet's size has changed.
func (c *control) reportFleetResized() { c.trySend(fleetResized{}) }

// ObserveDraining implements executor.LeafObserver. The ID alone identifies the incarnation of a leaf.
func (c *control) ObserveDraining(leafID string, _ int64) { c.reportLeafGone(leafID) }

// ObserveStart implements executor.LeafObserver. It does nothing: new incarnations of leaves are
// found in the store.
func (c *control) ObserveStart(string, int64) {}

// GossipNow implements executor.LeafObserver. Changes of the quarantine travel with the
// synchronization, which is due at once.
func (c *control) GossipNow() { c.syncNow() }
