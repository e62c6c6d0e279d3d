package forwarding

import (
	"context"
	"math/rand/v2"
	"time"
)

const (
	// connectJitter is the longest random delay before the first connections. It spreads
	// those of instances that start at the same time.
	connectJitter = 200 * time.Millisecond
	// connectCheckInterval is the time between two checks of the connections to partners.
	// connectRetryInterval replaces it after a partner could not be reached: that partner
	// may be starting, too.
	connectCheckInterval = 5 * time.Second
	connectRetryInterval = 500 * time.Millisecond
	// connectTimeout limits the time to open one connection.
	connectTimeout = 500 * time.Millisecond
)

// KeepConnected keeps connections open to the partners, the instances to which this one
// forwards many requests. It starts when known is closed and returns the context's error
// when the context ends. Opening a connection takes four round trips and processor time of
// the other instance. Without open connections the first requests after a start would be
// late by that, or not be accepted in time.
func (f *Forwarder) KeepConnected(ctx context.Context, known <-chan struct{}) error {
	select {
	case <-known:
	case <-ctx.Done():
		return ctx.Err()
	}
	pause := rand.N(connectJitter)
	for ctx.Err() == nil {
		sleep(ctx, pause)
		pause = connectCheckInterval
		if !f.connectPartners(ctx) {
			pause = connectRetryInterval
		}
	}
	return ctx.Err()
}

// connectPartners opens the missing connections, one after the other and in random order,
// and reports whether all partners were reached.
func (f *Forwarder) connectPartners(ctx context.Context) (reachedAll bool) {
	reachedAll = true
	partners := f.config.Fleet.Partners(time.Now())
	rand.Shuffle(len(partners), func(i, j int) { partners[i], partners[j] = partners[j], partners[i] })
	for _, to := range partners {
		connectCtx, cancel := context.WithTimeout(ctx, connectTimeout)
		err := f.config.Peers.Connect(connectCtx, peerTarget(to))
		cancel()
		if err != nil && ctx.Err() == nil {
			reachedAll = false
			f.config.Log.Component(relayLogPrefix).Info("could not connect to a partner instance", "to", to.Name, "err", err)
		}
	}
	return reachedAll
}

// sleep waits for d or until the context ends.
func sleep(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}
