package hosted

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/fuchsiaroad/fuchsiaroad/kernel/backoff"
	"github.com/fuchsiaroad/fuchsiaroad/kernel/fleet"
)

// Times of the initial load of the state.
const (
	// seedHedgeDelay is the wait for the first seed's answer before an instance also reads
	// the store. A healthy seed answers within a few milliseconds. If the first seed has no
	// state, all instances may be starting, and the store is read at once.
	seedHedgeDelay = 50 * time.Millisecond
	// bootstrapSeedWait is the time in which only the seeds are asked at a bootstrap of the fleet.
	// Requests come only long after it.
	bootstrapSeedWait = time.Second
	// minSeedRetryDelay is the delay after a seed had no answer, doubled up to maxSeedRetryDelay.
	// When all instances start at once, each asks the same few seeds: shorter delays would
	// make the seeds spend their own start on serving those connections.
	minSeedRetryDelay = 100 * time.Millisecond
	maxSeedRetryDelay = 400 * time.Millisecond
)

// loadInitialState loads the first state from a seed, which sends configuration, leaves and the
// list of instances in one answer, or from the store. The instance can serve if either works:
// the seeds if the store refuses it, the store if all seeds are gone.
func (c *control) loadInitialState(ctx context.Context) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	firstSeedFailed := make(chan struct{}) // closed when the first seed had no state
	var loads sync.WaitGroup
	loads.Go(func() { c.loadFromSeeds(ctx, cancel, firstSeedFailed) })
	loads.Go(func() { c.loadFromStore(ctx, cancel, firstSeedFailed) })
	loads.Wait()
}

// loadFromSeeds asks the seeds in turn until one sends its state, and then calls loaded.
func (c *control) loadFromSeeds(ctx context.Context, loaded func(), firstSeedFailed chan<- struct{}) {
	retryDelay := backoff.Backoff{Min: minSeedRetryDelay, Max: maxSeedRetryDelay}
	random := rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))
	seeds := readFleet(c.node.membership, (*fleet.Fleet).Seeds)
	for i := 0; ctx.Err() == nil && len(seeds) > 0; i++ {
		seed := seeds[i%len(seeds)]
		err := c.syncFrom(ctx, fleet.Instance{PeerAddress: seed})
		if err == nil || isStaleState(err) {
			loaded()
			return
		}
		if i == 0 {
			c.log.Info("first seed knows nothing", "seed", seed, "err", err)
			close(firstSeedFailed)
		}
		sleep(ctx, retryDelay.Next(random))
	}
}

// loadFromStore reads the store until a read succeeds, and then calls loaded. It first gives
// the seeds time to answer. After a failure it reads again only once a cheap probe succeeds,
// because the number of attempts grows with the fleet when all instances start in an outage.
func (c *control) loadFromStore(ctx context.Context, loaded func(), firstSeedFailed <-chan struct{}) {
	c.awaitSeeds(ctx, firstSeedFailed)
	retryDelay := backoff.Backoff{Min: minStoreRetryDelay, Max: maxInitialRetryDelay}
	random := rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))
	timeout := minReadTimeout
	for probeFirst := false; ctx.Err() == nil; probeFirst = true {
		startedAt := time.Now()
		err := c.readStoreAndInstances(ctx, timeout, probeFirst)
		if err == nil {
			loaded()
			return
		}
		if ctx.Err() == nil {
			c.log.Warn("store was not read", "err", err, "since_start", time.Since(c.node.membership.startedAt))
		}
		timeout = min(max(2*time.Since(startedAt), minReadTimeout), maxInitialReadTimeout)
		sleep(ctx, retryDelay.Next(random))
	}
}

// readStoreAndInstances reads the configuration, the leaves and the announcements; with probe
// set, only if the store answers a probe first.
func (c *control) readStoreAndInstances(ctx context.Context, timeout time.Duration, probe bool) error {
	if probe {
		if err := c.callWithTimeout(ctx, timeout, c.node.config.Source.Probe); err != nil {
			return fmt.Errorf("probe: %w", err)
		}
	}
	if !c.node.config.Bootstrap {
		// Before there is any state to serve by: the instance may not know of requests that
		// crash leaves.
		if err := c.callWithTimeout(ctx, timeout, c.node.probeStore.load); err != nil {
			return fmt.Errorf("quarantine: %w", err)
		}
	}
	var g errgroup.Group
	g.Go(func() error { return c.readStore(ctx, timeout) })
	g.Go(func() error { c.readInstances(ctx); return nil })
	return g.Wait()
}

// readInstances reads the announcements; at a bootstrap after this instance's own, as only a
// list that has it gives it a share of the fleet's limits.
func (c *control) readInstances(ctx context.Context) {
	if c.node.config.Bootstrap {
		await(ctx, c.node.membership.joined, ownAnnouncementWait)
	}
	c.node.membership.refreshList(ctx)
}

// awaitSeeds waits until it is time to read the store. An instance that is a seed itself, or
// has no seeds, does not wait.
func (c *control) awaitSeeds(ctx context.Context, firstSeedFailed <-chan struct{}) {
	if len(c.node.config.Seeds) == 0 || readFleet(c.node.membership, (*fleet.Fleet).IsSeed) {
		return
	}
	if c.node.config.Bootstrap {
		sleep(ctx, bootstrapSeedWait)
		return
	}
	await(ctx, firstSeedFailed, seedHedgeDelay)
}
