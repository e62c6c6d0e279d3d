package hosted

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/fuchsiaroad/fuchsiaroad/kernel/fleet"
)

// Times of synchronizing from other instances. Shares are of the freshness bound, within which a
// change must be in force everywhere. The fleet's reader reads the store when its state is a quarter
// of the bound old; each eighth of the bound, zone leads ask the reader and members ask their lead.
// A change is thus everywhere after half of the bound and the time of the calls. storeReader
// says what an instance does when its state gets older than that.
const (
	syncIntervalShare = 0.125
	// staleShare is the age above which a peer's state counts as stale, and staleReaderShare
	// the same for the reader's state, which is one step fresher.
	staleShare       = 0.55
	staleReaderShare = 0.4
	// slowStoreAgeShare is the age above which the state is synchronized twice as often: the store
	// answers late.
	slowStoreAgeShare = 0.4
	// logStaleShare is the age of its own state above which an instance logs that the state is stale.
	logStaleShare = 0.5
	// maxPeersPerSync is the largest number of peers that one synchronization asks, one after the other.
	maxPeersPerSync = 3
	// maxSyncInterval bounds the time between two synchronizations, because observations of
	// slow leaves travel with them.
	maxSyncInterval = 600 * time.Millisecond
)

// runSyncLoops loads the first state and keeps it fresh until the context ends. Synchronizing
// from peers, reading the store and reading the announcements run independently: an instance
// whose own calls to the store get no answer still takes the state of its peers.
func (c *control) runSyncLoops(ctx context.Context) {
	c.loadInitialState(ctx)
	loadedAt := time.Now()
	c.loadedAt.Store(&loadedAt)
	var loops sync.WaitGroup
	defer loops.Wait()
	loops.Go(func() { c.runPeerSync(ctx) })
	loops.Go(func() { newStoreReader(c).run(ctx) })
	loops.Go(func() { c.runListRefresh(ctx) })
}

// runPeerSync synchronizes from other instances until the context ends.
func (c *control) runPeerSync(ctx context.Context) {
	for ctx.Err() == nil {
		startedAt := time.Now()
		c.node.shareObservations()
		err := c.syncFromPeers(ctx)
		if ctx.Err() == nil {
			c.logStaleness(err)
		}
		c.waitForNextSync(ctx, max(c.syncInterval()-time.Since(startedAt), 0))
	}
}

// syncInterval returns the time between two synchronizations. It is halved while the state is older than
// it gets as long as the store answers at once, and not so old that the store is out.
func (c *control) syncInterval() time.Duration {
	interval := min(c.boundShare(syncIntervalShare), maxSyncInterval)
	if age := c.stateAge(); age > c.boundShare(slowStoreAgeShare) && age < c.boundShare(1) {
		return interval / 2
	}
	return interval
}

// runListRefresh reads the announcements whenever it is this instance's turn, until the context ends.
func (c *control) runListRefresh(ctx context.Context) {
	for ctx.Err() == nil {
		if c.node.membership.listReadDue(time.Now()) {
			c.node.membership.refreshList(ctx)
		}
		sleep(ctx, c.boundShare(readerReadAgeShare))
	}
}

// waitForNextSync waits for d, or until syncNow is called.
func (c *control) waitForNextSync(ctx context.Context, d time.Duration) {
	await(ctx, c.syncRequested, d)
}

// syncNow requests a synchronization at once, without waiting for it.
func (c *control) syncNow() {
	select {
	case c.syncRequested <- struct{}{}:
	default:
	}
}

// syncFromPeers synchronizes once: from a peer known to have fresher state if there is one, else from
// the sync source of this instance. If its own read of the store fails too, an instance other
// than a member asks the leads of other zones.
func (c *control) syncFromPeers(ctx context.Context) error {
	if peer := c.fresherPeer.Swap(nil); peer != nil && c.syncFrom(ctx, *peer) == nil {
		return nil
	}
	role, err := c.syncFromSource(ctx)
	if role != fleet.RoleMember && c.storeReadFailing.Load() && !c.isFresh() {
		c.syncFromOtherLeads(ctx)
	}
	return err
}

// staleAge returns the age from which state is stale: a share of the bound, and how late the store
// answers all.
func (c *control) staleAge(share float64) time.Duration { return c.boundShare(share) + c.storeDelay() }

// isFresh reports whether this instance's state is as fresh as the reader keeps its own.
func (c *control) isFresh() bool {
	return c.stateAge() < c.boundShare(readerReadAgeShare)
}

// logStaleness logs when this instance's state gets older than half of the bound, and when it is
// fresh again.
func (c *control) logStaleness(err error) {
	age := c.stateAge()
	isStale := age > c.staleAge(logStaleShare)
	_, role := c.node.membership.syncSource(time.Now())
	switch {
	case isStale && c.staleSince.IsZero():
		c.staleSince = time.Now()
		if err == nil {
			err = &staleStateError{age}
		}
		c.log.Warn("store lost", "age", age, "role", role, "source", c.stateSource(), "err", err)
	case !isStale && !c.staleSince.IsZero():
		c.log.Info("store regained", "after", time.Since(c.staleSince), "role", role, "source", c.stateSource())
		c.staleSince = time.Time{}
	}
}

// syncFromSource asks this instance's sync source, and the next one if that fails, until one
// answers with fresh state. It returns the role in which this instance asked last. The reader
// asks nobody, and a zone lead gives up after one failure. A member does not skip a lead that
// answers with stale state: the lead itself searches for fresher state.
func (c *control) syncFromSource(ctx context.Context) (role fleet.Role, err error) {
	for range maxPeersPerSync {
		var source fleet.Instance
		source, role = c.node.membership.syncSource(time.Now())
		if role == fleet.RoleReader {
			return role, nil
		}
		err = c.syncFrom(ctx, source)
		if err == nil && role == fleet.RoleZoneLead && c.stateAge() > c.staleAge(staleReaderShare) {
			err = &staleStateError{c.stateAge()}
		}
		if err == nil {
			c.node.membership.Answered(source)
			return role, nil
		}
		if isStaleState(err) && role == fleet.RoleMember {
			return role, err
		}
		c.backOff(source, err)
		c.log.Info("peer passed over", "peer", source.Name, "address", source.PeerAddress, "as", role, "err", err)
		if role == fleet.RoleZoneLead {
			return role, err
		}
	}
	return role, err
}

// backOff delays the next synchronization from an instance after an error.
func (c *control) backOff(i fleet.Instance, err error) {
	if isStaleState(err) || errors.Is(err, errUnknownState) {
		c.node.membership.MarkStale(i, time.Now())
		return
	}
	c.node.membership.Failed(i, time.Now())
}

// syncFromOtherLeads asks the leads of other zones after this instance's own read of the
// store failed: the store may refuse some instances and serve others.
func (c *control) syncFromOtherLeads(ctx context.Context) {
	leads := readFleet(c.node.membership, func(f *fleet.Fleet) []fleet.Instance { return f.OtherZoneLeads(time.Now()) })
	for _, lead := range leads[:min(len(leads), maxPeersPerSync)] {
		if c.syncFrom(ctx, lead) == nil && c.isFresh() {
			return
		}
	}
}
