package forwarding

import (
	"context"
	"math/rand/v2"
	"time"
)

const (
	// connectWithin spreads the first connections of instances that start at the same time.
	connectWithin = 200 * time.Millisecond
	// connectAgain is the time between two looks at the connections to partners, and
	// connectSoon that after one was not reached: it may be starting, too.
	connectAgain = 5 * time.Second
	connectSoon  = 500 * time.Millisecond
	// connectTimeout bounds opening one connection.
	connectTimeout = 500 * time.Millisecond
)

// KeepConnected keeps connections open to the instances to which this one hands over much,
// from when they are known until the context ends. Opening one takes four round trips and
// the other's processor: the first requests after a start would be late by it, or not be
// taken over in time.
func (f *Forwarder) KeepConnected(ctx context.Context, known <-chan struct{}) error {
	select {
	case <-known:
	case <-ctx.Done():
		return ctx.Err()
	}
	pause := rand.N(connectWithin)
	for ctx.Err() == nil {
		sleep(ctx, pause)
		pause = connectAgain
		if !f.connectAll(ctx) {
			pause = connectSoon
		}
	}
	return ctx.Err()
}

// connectAll opens the connections that are missing, one after the other, and reports
// whether all partners were reached.
func (f *Forwarder) connectAll(ctx context.Context) (all bool) {
	all = true
	partners := f.config.Fleet.Partners(time.Now())
	rand.Shuffle(len(partners), func(i, j int) { partners[i], partners[j] = partners[j], partners[i] })
	for _, to := range partners {
		call, cancel := context.WithTimeout(ctx, connectTimeout)
		err := f.config.Peers.Connect(call, targetOf(to))
		cancel()
		if err != nil && ctx.Err() == nil {
			all = false
			f.config.Log.Part(relayPart).Info("partner was not reached", "to", to.Name, "err", err)
		}
	}
	return all
}

// sleep waits for d, or less when the context ends.
func sleep(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}
