package hosted

import (
	"context"
	"time"
)

// An instance renews its state all the time, so the state gets older than the freshness bound
// for one of two reasons. If the store and the peers give no newer state, the instance has tried
// and failed, and serves by what it has. If it has not tried, it stood still: the state may be
// renewed within milliseconds, and until then leaves that have left would get work.

// currencyPollInterval is the time between two checks of state that is awaited.
const currencyPollInterval = 5 * time.Millisecond

// IsCurrent implements executor.State. State is current unless it is older than the freshness
// bound and no attempt to renew it has failed within the bound.
func (c *control) IsCurrent() bool {
	return time.Since(c.renewalEndedAt()) <= c.boundShare(1)
}

// renewalEndedAt returns the latest of these: when the last read began that gave state, when
// a read of the store last failed or was without an answer, and when the first state was loaded. A starting
// instance may get old state from peers that the store does not serve.
func (c *control) renewalEndedAt() time.Time {
	at := c.state.Load().AsOf()
	for _, other := range []*time.Time{c.triedAt.Load(), c.loadedAt.Load()} {
		if other != nil && other.After(at) {
			at = *other
		}
	}
	return at
}

// Await implements executor.State.
func (c *control) Await(ctx context.Context) bool {
	if c.IsCurrent() {
		return true
	}
	c.syncNow()
	poll := time.NewTicker(currencyPollInterval)
	defer poll.Stop()
	for !c.IsCurrent() {
		select {
		case <-ctx.Done():
			return false
		case <-poll.C:
		}
	}
	return true
}
