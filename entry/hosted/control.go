package hosted

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync/atomic"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/fuchsiaroad/fuchsiaroad/entry/telemetry"
	"github.com/fuchsiaroad/fuchsiaroad/kernel/backoff"
	"github.com/fuchsiaroad/fuchsiaroad/kernel/catalog"
	"github.com/fuchsiaroad/fuchsiaroad/kernel/document"
	"github.com/fuchsiaroad/fuchsiaroad/kernel/view"
)

// Times of reading the store, as shares of the bound within which a change must
// be in force everywhere: the reader reads after a quarter, the instances of its
// zone and those that ask for theirs ask after an eighth each. A change is
// everywhere after half of the bound and the calls' own time; what is left covers
// one reader that fails.
const (
	readShare = 0.25
	askShare  = 0.125
	// staleShare is the age of a peer's state above which an instance reads the store itself.
	staleShare = 0.55
	// retryShare is the time between two tries of the store by an instance that is
	// not the reader: two fit into the bound.
	retryShare = 0.4
	// mostAsk bounds the time between two questions: observations of slow
	// leaves travel with them.
	mostAsk = 600 * time.Millisecond
	// readTimeout bounds one read at first; a store that is merely slow takes up
	// to 250 ms, and one that is silent is best asked again on a new connection.
	// It doubles with each failure up to mostReadTimeout, for a store that is
	// slower still. An instance that started while the store was silent for a
	// moment took 1.1 s to its first configuration with a fixed second.
	readTimeout     = 300 * time.Millisecond
	mostReadTimeout = 2 * time.Second
	// firstRetry is the first pause after a failed read, doubled up to mostRetry.
	firstRetry = 50 * time.Millisecond
	mostRetry  = time.Second
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
	log      *telemetry.Part
	catalog  *catalog.Catalog
	inbox    chan any
	sequence uint64
	// state is what this instance sends to others; nil before it knows anything.
	state atomic.Pointer[syncState]
	// version is that of the configuration in force.
	version atomic.Uint64
	// received is the list of leaves that a peer sent last; the following goroutine's own.
	received receivedLeaves
	// notBefore is when an instance that is not the reader may try the store again;
	// the following goroutine's own.
	notBefore time.Time
	// urgent wakes the synchronization early.
	urgent chan struct{}
	// badLeaves reports the entries of leaves that can't be used.
	badLeaves *badEntries
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

// leafGone says that a leaf, by its incarnation, takes no more work.
type leafGone struct{ id string }

// retuned is a change of settings.
type retuned struct{ settings catalog.Settings }

// fleetResized is the word that shares of limits have changed.
type fleetResized struct{}

// newControl makes control; it reads nothing yet.
func newControl(n *Node) *control {
	return &control{
		node: n, log: n.log.Part("control"), catalog: catalog.New(n.config.Tunables.Catalog),
		inbox: make(chan any, inboxLength), urgent: make(chan struct{}, 1),
		badLeaves: newBadEntries(n.log.Part("control"), n.metrics.Scope, "leaves"),
	}
}

// run reads the store and publishes views until the context ends.
func (c *control) run(ctx context.Context) error {
	go c.follow(ctx)
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
			if c.catalog.Tick(now) {
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
	stateMeter{n.metrics.Scope.SubScope("hosted")}.observe(state{
		configAge: configAge.Seconds(), leavesAge: leavesAge.Seconds(), version: c.catalog.Version(),
		leaves: c.catalog.Leaves(), slowLeaves: len(n.sharing.slow(now)), instances: n.fleet.size(),
		connections: open, dials: dials, running: n.executor.Running(), logDrops: n.log.Dropped(),
		repeatsLeft: repeatsLeft, limitedShards: limited, forward: n.forwardDelays.high().Seconds(), gather: n.gatherDelays.high().Seconds(),
	})
}

// handle takes one message.
func (c *control) handle(message any) {
	now := time.Now()
	changed := false
	switch m := message.(type) {
	case configRead:
		if m.config == nil {
			c.catalog.ConfigMissing(m.began)
		} else {
			changed = c.takeConfig(m.config, m.began, now, "store")
		}
	case leavesRead:
		changed = c.takeLeaves(m.list, m.began, now, "store")
	case syncRead:
		changed = c.takeSync(m, now)
	case retuned:
		c.catalog.SetSettings(m.settings)
		changed = true
	case fleetResized:
		changed = true
	case leafGone:
		if changed = c.catalog.MarkGone(m.id); changed {
			c.log.Info("leaf takes no more work", "leaf", m.id)
		}
	}
	if changed {
		c.publish()
	}
	c.refreshState(now)
}

// takeConfig puts a configuration into the catalog.
func (c *control) takeConfig(cfg *catalog.Config, began, now time.Time, from string) bool {
	before := c.catalog.Version()
	changed := c.catalog.ConfigRead(cfg, began, now)
	if changed {
		c.log.Info("configuration in force", "version", cfg.Version, "before", before, "from", from, "age", now.Sub(began), "routes", len(cfg.Routes))
		c.version.Store(cfg.Version)
	}
	until := c.catalog.FreshUntil()
	c.node.current.Store(&until)
	return changed
}

// takeLeaves puts a list of leaves into the catalog.
func (c *control) takeLeaves(list catalog.Listing, began, now time.Time, from string) bool {
	c.badLeaves.report(list.Bad)
	before := c.catalog.Leaves()
	changed := c.catalog.LeavesRead(list, began, now)
	if changed {
		c.log.Info("leaves changed", "revision", list.Revision, "bad", len(list.Bad), "leaves", c.catalog.Leaves(), "before", before, "from", from, "age", now.Sub(began))
	}
	return changed
}

// refreshState renews what other instances are sent.
func (c *control) refreshState(now time.Time) {
	state, err := newSyncState(c.catalog, c.state.Load(), now)
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
	v := view.Build(c.catalog.Version(), "", c.catalog.Document(), c.catalog.Draining, c.connections)
	v.Sequence = c.sequence
	c.node.publish(v, c.catalog.Limits())
}

// connections is this instance's share of a leaf's limit, at least one.
func (c *control) connections(u *document.Upstream, _ string) int {
	return c.node.fleet.connections(u.ConnectionLimit, len(u.Shards))
}

// follow synchronizes with the store until the context ends: from the zone's
// reader, or from the store itself where this instance is the reader or the
// reader knows nothing.
func (c *control) follow(ctx context.Context) {
	pause := backoff.Backoff{Min: firstRetry, Max: mostRetry}
	random := rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))
	failing := time.Time{}
	timeout := readTimeout
	for ctx.Err() == nil {
		began := time.Now()
		asked, err := c.catchUp(ctx, timeout)
		timeout = readTimeout
		if err != nil {
			timeout = min(max(2*time.Since(began), readTimeout), mostReadTimeout)
		}
		wait := c.bound(readShare) - time.Since(began)
		if asked {
			wait = min(c.bound(askShare), mostAsk) - time.Since(began)
		}
		switch {
		case err != nil:
			wait = pause.Next(random)
			if failing.IsZero() && ctx.Err() == nil {
				failing = began
				c.log.Warn("store lost", "err", err)
			}
		case !failing.IsZero():
			c.log.Info("store regained", "after", time.Since(failing))
			failing = time.Time{}
			pause.Reset()
		}
		c.rest(ctx, max(wait, 0))
	}
}

// rest waits for d, or less when an update is urgent.
func (c *control) rest(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-c.urgent:
	case <-ctx.Done():
	}
}

// hurry synchronizes at once: another instance knows a newer configuration.
func (c *control) hurry() {
	select {
	case c.urgent <- struct{}{}:
	default:
	}
}

// catchUp synchronizes once, and says whether a peer answered. An instance that
// is not the reader, and whose own read failed, asks others for a while before it
// tries the store again: in an outage each of a large fleet would pay for calls
// that the reader makes anyway.
func (c *control) catchUp(ctx context.Context, timeout time.Duration) (asked bool, err error) {
	c.node.shareObservations()
	reader, ask := c.node.fleet.reader(time.Now())
	if ask {
		err := c.ask(ctx, reader)
		if err == nil {
			return true, nil
		}
		c.node.fleet.failed(reader.Name, time.Now())
		c.log.Info("reader passed over", "reader", reader.Name, "err", err)
		if time.Now().Before(c.notBefore) {
			return true, err
		}
	}
	c.received.forget()
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	g, ctx := errgroup.WithContext(ctx)
	g.Go(func() error { return c.readConfig(ctx) })
	g.Go(func() error { return c.readLeaves(ctx) })
	err = g.Wait()
	if err != nil && ask {
		c.notBefore = time.Now().Add(c.bound(retryShare))
	}
	return false, err
}

// readConfig reads the configuration once.
func (c *control) readConfig(ctx context.Context) error {
	began := time.Now()
	config, err := c.node.config.Source.Config(ctx)
	if err != nil {
		return err
	}
	return c.tell(ctx, configRead{config: config, began: began})
}

// readLeaves reads the list of leaves once.
func (c *control) readLeaves(ctx context.Context) error {
	began := time.Now()
	list, err := c.node.config.Source.Leaves(ctx)
	if err != nil {
		return err
	}
	return c.tell(ctx, leavesRead{list: list, began: began})
}

// tell hands a message to the control goroutine.
func (c *control) tell(ctx context.Context, message any) error {
	select {
	case c.inbox <- message:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// post hands a message over without blocking. What finds the inbox full comes
// again by the next read of the store, or follows with the next view.
func (c *control) post(message any) {
	select {
	case c.inbox <- message:
	default:
		c.log.Warn("message to control was dropped", "what", fmt.Sprintf("%T", message))
	}
}

// leafGone takes the leaf's own sign.
func (c *control) leafGone(id string) { c.post(leafGone{id: id}) }

// resized says that the fleet's size has changed.
func (c *control) resized() { c.post(fleetResized{}) }

// SawLeaving implements executor.LeafObserver. Leaves are known by their incarnations here.
func (c *control) SawLeaving(leafID string, _ int64) { c.leafGone(leafID) }

// SawBorn implements executor.LeafObserver. Births come from the store here.
func (c *control) SawBorn(string, int64) {}

// SpreadNow implements executor.LeafObserver. Instances here do not tell each other
// of quarantines.
func (c *control) SpreadNow() {}
