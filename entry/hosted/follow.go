package hosted

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/fuchsiaroad/fuchsiaroad/kernel/fleet"
)

// Times of learning from other instances. Shares are of the bound within which a change must
// be in force everywhere: a reader reads the store after a quarter, leads ask it and members
// ask their lead after an eighth each, so that a change is everywhere after half of the bound
// and the calls' own time. What an instance does when its state gets older is storeReader's.
const (
	askShare = 0.125
	// staleShare is the age of a peer's state above which it is old, and oldReaderShare
	// the same for that of the reader, whose state is one step newer.
	staleShare     = 0.55
	oldReaderShare = 0.4
	// reportOldShare is the age of this instance's state above which it logs that the state is old.
	reportOldShare = 0.5
	// maxPeersAsked is the number of peers that are asked one after the other.
	maxPeersAsked = 3
	// maxAskInterval bounds the time between two questions: observations of slow
	// leaves travel with them.
	maxAskInterval = 600 * time.Millisecond
)

// follow synchronizes with the store until the context ends. Learning from other instances,
// reading the store and reading the announcements never wait for each other: an instance whose
// own calls get no answer still takes what others know.
func (c *control) follow(ctx context.Context) {
	c.begin(ctx)
	var loops sync.WaitGroup
	defer loops.Wait()
	loops.Go(func() { c.followPeers(ctx) })
	loops.Go(func() { newStoreReader(c).run(ctx) })
	loops.Go(func() { c.followList(ctx) })
}

// followPeers learns from other instances.
func (c *control) followPeers(ctx context.Context) {
	for ctx.Err() == nil {
		began := time.Now()
		c.node.shareObservations()
		err := c.learn(ctx)
		if ctx.Err() == nil {
			c.observeAge(err)
		}
		c.waitNext(ctx, max(min(c.bound(askShare), maxAskInterval)-time.Since(began), 0))
	}
}

// followList reads the announcements when it is this instance's turn.
func (c *control) followList(ctx context.Context) {
	for ctx.Err() == nil {
		if c.node.fleet.listDue(time.Now()) {
			c.node.fleet.list(ctx)
		}
		sleep(ctx, c.bound(readShare))
	}
}

// waitNext waits for d, or until syncNow.
func (c *control) waitNext(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-c.wake:
	case <-ctx.Done():
	}
}

// syncNow synchronizes at once: another instance knows something newer.
func (c *control) syncNow() {
	select {
	case c.wake <- struct{}{}:
	default:
	}
}

// learn asks the instances that this one is to learn from, first one that has offered fresher
// state.
func (c *control) learn(ctx context.Context) error {
	if offered := c.suggested.Swap(nil); offered != nil && c.ask(ctx, *offered) == nil {
		return nil
	}
	role, err := c.askPeers(ctx)
	if role != fleet.RoleMember && c.readFails.Load() && !c.fresh() {
		c.askOtherLeads(ctx)
	}
	return err
}

// fresh reports whether what this instance knows is as new as the reader's may be.
func (c *control) fresh() bool {
	return c.age() < c.bound(readShare)
}

// observeAge logs when this instance's state passes half of the bound, and when it is back.
func (c *control) observeAge(err error) {
	age := c.age()
	old := age > c.bound(reportOldShare)
	_, role := c.node.fleet.source(time.Now())
	switch {
	case old && c.oldSince.IsZero():
		c.oldSince = time.Now()
		if err == nil {
			err = &staleStateError{age}
		}
		c.log.Warn("store lost", "age", age, "role", role, "source", c.stateSource(), "err", err)
	case !old && !c.oldSince.IsZero():
		c.log.Info("store regained", "after", time.Since(c.oldSince), "role", role, "source", c.stateSource())
		c.oldSince = time.Time{}
	}
}

// askPeers asks the instances that this one is to learn from until one answers with fresh
// state, and returns the role in which it asked last. A member does not pass over a lead
// that is well and whose state is merely old: the lead does what can be done.
func (c *control) askPeers(ctx context.Context) (role fleet.Role, err error) {
	for range maxPeersAsked {
		var from fleet.Instance
		from, role = c.node.fleet.source(time.Now())
		if role == fleet.RoleReader {
			return role, nil
		}
		err = c.ask(ctx, from)
		if err == nil && role == fleet.RoleZoneLead && c.age() > c.bound(oldReaderShare) {
			err = &staleStateError{c.age()}
		}
		if err == nil {
			c.node.fleet.Answered(from)
			return role, nil
		}
		if stale(err) && role == fleet.RoleMember {
			return role, err
		}
		c.backOff(from, err)
		c.log.Info("peer passed over", "peer", from.Name, "address", from.PeerAddress, "as", role, "err", err)
		if role == fleet.RoleZoneLead {
			return role, err
		}
	}
	return role, err
}

// backOff keeps this instance from asking another for a while.
func (c *control) backOff(i fleet.Instance, err error) {
	if stale(err) || errors.Is(err, errUnknownState) {
		c.node.fleet.MarkStale(i, time.Now())
		return
	}
	c.node.fleet.Failed(i, time.Now())
}

// askOtherLeads asks the leads of other zones after this instance's own read of the store
// has failed: the store may refuse some instances and serve others.
func (c *control) askOtherLeads(ctx context.Context) {
	leads := look(c.node.fleet, func(f *fleet.Fleet) []fleet.Instance { return f.OtherZoneLeads(time.Now()) })
	for _, lead := range leads[:min(len(leads), maxPeersAsked)] {
		if c.ask(ctx, lead) == nil && c.fresh() {
			return
		}
	}
}
