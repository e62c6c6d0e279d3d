package hosted

import (
	"context"
	"errors"
	"math/rand/v2"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/fuchsiaroad/fuchsiaroad/kernel/backoff"
	"github.com/fuchsiaroad/fuchsiaroad/kernel/fleet"
)

// Times of reading the store, as shares of the bound within which a change must
// be in force everywhere: the reader reads after a quarter, the instances of its
// zone and those that ask for theirs ask after an eighth each. A change is
// everywhere after half of the bound and the calls' own time; what is left covers
// one reader that fails.
const (
	readShare = 0.25
	askShare  = 0.125
	// staleShare is the age of a peer's state above which it is old, and oldReaderShare
	// the same for that of the reader, whose state is one step newer: a lead then reads
	// the store itself.
	staleShare     = 0.55
	oldReaderShare = 0.4
	// retryShare is the time between two tries of the store by an instance that is
	// not the reader: two fit into the bound.
	retryShare = 0.4
	// triesInZone is how many of a zone's members try the store in that time while all
	// that the zone knows is old. It is the same in a large fleet: in an outage each of
	// them would pay for calls that the reader and the leads make anyway.
	triesInZone = 2
	// mostAsked is the number of peers that are asked one after the other.
	mostAsked = 3
	// mostAsk bounds the time between two questions: observations of slow
	// leaves travel with them.
	mostAsk = 600 * time.Millisecond
	// readTimeout bounds one read at first; a store that is merely slow takes up
	// to 250 ms, and one that is silent is best asked again on a new connection.
	// It doubles with each failure up to mostReadTimeout, for a store that is
	// slower still.
	readTimeout     = 300 * time.Millisecond
	mostReadTimeout = 2 * time.Second
	// firstRetry is the first pause after a failed read, doubled up to mostRetry.
	firstRetry = 50 * time.Millisecond
	mostRetry  = time.Second
)

// follow synchronizes with the store until the context ends: through other instances, or
// from the store itself where this instance is the reader or the others know nothing.
func (c *control) follow(ctx context.Context) {
	c.begin(ctx)
	pause := backoff.Backoff{Min: firstRetry, Max: mostRetry}
	random := rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))
	failing := time.Time{}
	timeout := readTimeout
	for ctx.Err() == nil {
		began := time.Now()
		asked, err := c.catchUp(ctx, timeout)
		timeout = readTimeout
		if err != nil && !asked {
			timeout = min(max(2*time.Since(began), readTimeout), mostReadTimeout)
		}
		wait := c.bound(readShare) - time.Since(began)
		if asked {
			wait = min(c.bound(askShare), mostAsk) - time.Since(began)
		}
		switch {
		case err != nil:
			if !asked {
				wait = pause.Next(random)
			}
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

// hurry synchronizes at once: another instance knows something newer.
func (c *control) hurry() {
	select {
	case c.urgent <- struct{}{}:
	default:
	}
}

// catchUp synchronizes once. It says whether the next time is that of an instance which asks
// peers, rather than that of the reader, also where this one had to read the store itself.
func (c *control) catchUp(ctx context.Context, timeout time.Duration) (asked bool, err error) {
	c.node.shareObservations()
	if better := c.suggested.Swap(nil); better != nil {
		if c.ask(ctx, *better) == nil {
			return true, nil
		}
	}
	role, err := c.askPeers(ctx)
	if role != fleet.RoleReader && err == nil {
		c.listIfDue(ctx, role)
		return true, nil
	}
	if role != fleet.RoleReader && c.fresh() {
		return true, nil
	}
	if role != fleet.RoleReader && time.Now().Before(c.notBefore) {
		return true, err
	}
	c.receiver.Forget()
	began, age := time.Now(), c.age()
	readErr := c.readStore(ctx, timeout)
	c.observeRead(storeRead{role: role, began: began, age: age, timeout: timeout, err: readErr})
	c.listIfDue(ctx, role)
	if readErr == nil {
		c.notBefore = time.Time{}
		return role != fleet.RoleReader, nil
	}
	if role != fleet.RoleReader {
		c.notBefore = time.Now().Add(c.retryAfter(role, err))
	}
	if role != fleet.RoleMember && c.askOtherLeads(ctx) {
		return true, nil
	}
	return role != fleet.RoleReader, readErr
}

// fresh reports whether what this instance knows is as new as the reader's may be. While it
// is, a peer that does not answer is no reason to read the store: another may answer next.
func (c *control) fresh() bool {
	return c.age() < c.bound(readShare)
}

// askPeers asks the instances that this one is to learn from until one answers with fresh
// state, and returns the role in which it asked last. A member does not pass over a lead
// that is well and whose state is merely old: the lead does what can be done.
func (c *control) askPeers(ctx context.Context) (role fleet.Role, err error) {
	for range mostAsked {
		var from fleet.Instance
		from, role = c.node.fleet.source(time.Now())
		if role == fleet.RoleReader {
			return role, nil
		}
		err = c.ask(ctx, from)
		if err == nil && role == fleet.RoleLead && c.age() > c.bound(oldReaderShare) {
			err = &staleStateError{c.age()}
		}
		if err == nil {
			c.node.fleet.Answered(from)
			return role, nil
		}
		if stale(err) && role == fleet.RoleMember {
			c.delayOwnRead(err)
			return role, err
		}
		c.passOver(from, err)
		c.log.Info("peer passed over", "peer", from.Name, "address", from.Peer, "as", role, "err", err)
		if role == fleet.RoleLead {
			return role, err
		}
	}
	return role, err
}

// passOver keeps this instance from asking another for a while.
func (c *control) passOver(i fleet.Instance, err error) {
	if stale(err) || errors.Is(err, errUnknownState) {
		c.node.fleet.Outdated(i, time.Now())
		return
	}
	c.node.fleet.Failed(i, time.Now())
}

// delayOwnRead spreads the first tries of a zone's members when its lead's state gets old.
func (c *control) delayOwnRead(err error) {
	if c.notBefore.IsZero() || time.Since(c.notBefore) > c.bound(1) {
		c.notBefore = time.Now().Add(rand.N(c.retryAfter(fleet.RoleMember, err) + 1))
	}
}

// retryAfter is the time until this instance may read the store again because of an error
// of those that it asks.
func (c *control) retryAfter(role fleet.Role, err error) time.Duration {
	pause := c.bound(retryShare)
	if role == fleet.RoleMember && stale(err) {
		return max(pause, pause*time.Duration(c.node.fleet.zoneSize())/triesInZone)
	}
	return pause
}

// askOtherLeads asks the leads of other zones after this instance's own read of the store
// has failed: the store may refuse some instances and serve others.
func (c *control) askOtherLeads(ctx context.Context) bool {
	leads := c.node.fleet.otherLeads(time.Now())
	answered := false
	for _, lead := range leads[:min(len(leads), mostAsked)] {
		if c.ask(ctx, lead) != nil {
			continue
		}
		answered = true
		if c.fresh() {
			break
		}
	}
	return answered
}

// storeRead is one read of the store by an instance.
type storeRead struct {
	role    fleet.Role
	began   time.Time
	age     time.Duration // of this instance's state before the read
	timeout time.Duration
	err     error
}

// observeRead counts a read of the store and logs it, but for a reader's reads that succeed.
func (c *control) observeRead(r storeRead) {
	outcome := "read"
	if r.err != nil {
		outcome = "failed"
	}
	c.node.metrics.Scope.SubScope("hosted").Tagged(map[string]string{"role": r.role.String(), "outcome": outcome}).Counter("store_reads").Inc(1)
	pairs := []any{"role", r.role, "age", r.age, "timeout", r.timeout, "took", time.Since(r.began)}
	switch {
	case r.err != nil:
		c.log.Warn("store read failed", append(pairs, "err", r.err)...)
	case r.role != fleet.RoleReader:
		c.log.Info("store read", pairs...)
	}
}

// listIfDue reads the announcements when it is this instance's turn.
func (c *control) listIfDue(ctx context.Context, role fleet.Role) {
	if c.node.fleet.listDue(role, time.Now()) {
		c.node.fleet.list(ctx)
	}
}

// readStore reads the configuration and the leaves from the store.
func (c *control) readStore(ctx context.Context, timeout time.Duration) error {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	g, ctx := errgroup.WithContext(ctx)
	g.Go(func() error { return c.readConfig(ctx) })
	g.Go(func() error { return c.readLeaves(ctx) })
	return g.Wait()
}

// readConfig reads the configuration once.
func (c *control) readConfig(ctx context.Context) error {
	began := time.Now()
	config, err := c.node.config.Source.Config(ctx)
	if err != nil {
		return err
	}
	return c.post(ctx, configRead{config: config, began: began})
}

// readLeaves reads the list of leaves once.
func (c *control) readLeaves(ctx context.Context) error {
	began := time.Now()
	list, err := c.node.config.Source.Leaves(ctx)
	if err != nil {
		return err
	}
	return c.post(ctx, leavesRead{list: list, began: began})
}
