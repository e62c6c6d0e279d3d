package hosted

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/fuchsiaroad/fuchsiaroad/entry/telemetry"
	"github.com/fuchsiaroad/fuchsiaroad/kernel/backoff"
	"github.com/fuchsiaroad/fuchsiaroad/kernel/catalog"
	"github.com/fuchsiaroad/fuchsiaroad/kernel/document"
	"github.com/fuchsiaroad/fuchsiaroad/kernel/view"
)

// Times of reading the store.
const (
	// readInterval is the time between two reads of the configuration, and of
	// the leaves. A change is in force everywhere after at most one interval and
	// one read, a third of the least time that users allow for it (3 s).
	readInterval = time.Second
	// readTimeout bounds one read; a store that is merely slow takes up to 250 ms.
	readTimeout = time.Second
	// firstRetry is the first pause after a failed read, doubled up to readInterval.
	firstRetry = 100 * time.Millisecond
	// inboxLength bounds what waits for the control goroutine.
	inboxLength = 64
)

// control owns the catalog. One goroutine does all of its work.
type control struct {
	node     *Node
	log      *telemetry.Part
	catalog  *catalog.Catalog
	inbox    chan any
	sequence uint64
}

// configRead is a read of the configuration.
type configRead struct {
	config *catalog.Config
	began  time.Time
}

// leavesRead is a read of the leaves.
type leavesRead struct {
	leaves   []catalog.Leaf
	revision uint64
	began    time.Time
}

// leafGone is the word that a leaf takes no more work.
type leafGone struct{ id string }

// newControl makes control; it reads nothing yet.
func newControl(n *Node) *control {
	return &control{
		node: n, log: n.log.Part("control"), catalog: catalog.New(n.config.Catalog),
		inbox: make(chan any, inboxLength),
	}
}

// run reads the store and publishes views until the context ends.
func (c *control) run(ctx context.Context) error {
	go c.poll(ctx, "configuration", c.readConfig)
	go c.poll(ctx, "leaves", c.readLeaves)
	tick := time.NewTicker(readInterval)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case message := <-c.inbox:
			c.handle(message)
		case now := <-tick.C:
			if c.catalog.Tick(now) {
				c.publish()
			}
		}
	}
}

// handle takes one message.
func (c *control) handle(message any) {
	now := time.Now()
	changed := false
	switch m := message.(type) {
	case configRead:
		before := c.catalog.Version()
		if changed = c.catalog.ConfigRead(m.config, m.began, now); changed {
			c.log.Info("configuration in force", "version", c.catalog.Version(), "before", before, "age", now.Sub(m.began), "routes", len(m.config.Routes))
		}
		until := c.catalog.FreshUntil()
		c.node.current.Store(&until)
	case leavesRead:
		if changed = c.catalog.LeavesRead(m.leaves, m.revision, m.began, now); changed {
			c.log.Info("leaves changed", "revision", m.revision, "leaves", c.catalog.Leaves(), "age", now.Sub(m.began))
		}
	case leafGone:
		if changed = c.catalog.MarkGone(m.id); changed {
			c.log.Info("leaf takes no more work", "leaf", m.id)
		}
	}
	if changed {
		c.publish()
	}
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
	return max(1, u.ConnectionLimit/max(1, c.node.config.Instances))
}

// poll reads until the context ends, soon again after a failure.
func (c *control) poll(ctx context.Context, what string, read func(context.Context) error) {
	pause := backoff.Backoff{Min: firstRetry, Max: readInterval}
	random := rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))
	failing := time.Time{}
	for ctx.Err() == nil {
		began := time.Now()
		err := read(ctx)
		wait := readInterval - time.Since(began)
		switch {
		case err != nil:
			wait = pause.Next(random)
			if failing.IsZero() && ctx.Err() == nil {
				failing = began
				c.log.Warn("store lost", "reading", what, "err", err)
			}
		case !failing.IsZero():
			c.log.Info("store regained", "reading", what, "after", time.Since(failing))
			failing = time.Time{}
			pause.Reset()
		}
		sleep(ctx, max(wait, 0))
	}
}

// readConfig reads the configuration once.
func (c *control) readConfig(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, readTimeout)
	defer cancel()
	began := time.Now()
	config, err := c.node.config.Source.Config(ctx)
	if err != nil {
		return err
	}
	return c.tell(ctx, configRead{config: config, began: began})
}

// readLeaves reads the list of leaves once.
func (c *control) readLeaves(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, readTimeout)
	defer cancel()
	began := time.Now()
	leaves, revision, err := c.node.config.Source.Leaves(ctx)
	if err != nil {
		return err
	}
	return c.tell(ctx, leavesRead{leaves: leaves, revision: revision, began: began})
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

// leafGone takes the leaf's own sign. It does not block: what finds the inbox
// full is told by the next read of the list.
func (c *control) leafGone(id string) {
	select {
	case c.inbox <- leafGone{id: id}:
	default:
		c.log.Warn("sign of a leaving leaf was dropped", "leaf", id)
	}
}

// SawLeaving implements executor.Sightings.
func (c *control) SawLeaving(leafID string) { c.leafGone(leafID) }

// SpreadNow implements executor.Sightings. Instances here do not tell each other
// of quarantines.
func (c *control) SpreadNow() {}
