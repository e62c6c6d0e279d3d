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
// everywhere after half of the bound and the calls' own time. An instance whose state
// gets older reads the store itself in its turn, the last one while two silent calls still
// fit into the bound: what the others know or do adds nothing to that.
const (
	readShare = 0.25
	askShare  = 0.125
	// staleShare is the age of a peer's state above which it is old, and oldReaderShare
	// the same for that of the reader, whose state is one step newer: a lead then reads
	// the store itself.
	staleShare     = 0.55
	oldReaderShare = 0.4
	// lastTurnShare is the age of its own state at which the last member of a zone reads the
	// store itself; the first does so at staleShare.
	lastTurnShare = 0.7
	// leadRetryShare is the time between two tries of the store by a lead: two fit into
	// the bound. memberRetryShare is the mean time between those of a member.
	leadRetryShare   = 0.4
	memberRetryShare = 2.0
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
			wait = min(wait, c.untilOwnRead())
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
	if role != fleet.RoleReader && !c.ownReadDue(role) {
		return true, err
	}
	c.receiver.Forget()
	began, age := time.Now(), c.age()
	readErr := c.readAs(ctx, role, timeout)
	c.observeRead(storeRead{role: role, began: began, age: age, timeout: timeout, err: readErr})
	c.listIfDue(ctx, role)
	if readErr == nil {
		c.notBefore = time.Time{}
		return role != fleet.RoleReader, nil
	}
	if role != fleet.RoleReader {
		c.notBefore = time.Now().Add(c.retryAfter(role))
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

// untilOwnRead is the time until this instance reads the store itself, unless it learns
// something newer before.
func (c *control) untilOwnRead() time.Duration {
	turn := c.bound(staleShare) + time.Duration(c.node.fleet.searchTurn()*float64(c.bound(lastTurnShare-staleShare)))
	return max(turn-c.age(), time.Until(c.notBefore))
}

// ownReadDue reports whether an instance that is not the reader reads the store now. A lead
// does so when it has nobody to ask.
func (c *control) ownReadDue(role fleet.Role) bool {
	if role == fleet.RoleMember {
		return c.untilOwnRead() <= 0
	}
	return !time.Now().Before(c.notBefore)
}

// retryAfter is the time between two reads of the store by an instance that is not the
// reader, after one that failed.
func (c *control) retryAfter(role fleet.Role) time.Duration {
	if role != fleet.RoleMember {
		return c.bound(leadRetryShare)
	}
	pause := c.bound(memberRetryShare)
	return pause/2 + rand.N(pause)
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

// readAs reads the store in a role. But for the reader this is a search for an instance that
// the store serves: it costs one call where the store does not, and a call that gets no answer
// is made once more, on a new connection.
func (c *control) readAs(ctx context.Context, role fleet.Role, timeout time.Duration) error {
	if role == fleet.RoleReader {
		return c.readStore(ctx, timeout)
	}
	err := c.within(ctx, timeout, c.readConfig)
	if errors.Is(err, context.DeadlineExceeded) {
		err = c.within(ctx, 2*timeout, c.readConfig)
	}
	if err != nil {
		return err
	}
	return c.within(ctx, 2*timeout, c.readLeaves)
}

// within makes a call within a time.
func (c *control) within(ctx context.Context, timeout time.Duration, call func(context.Context) error) error {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	return call(ctx)
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
