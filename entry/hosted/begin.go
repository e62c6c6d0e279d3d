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

// Times of the start of an instance.
const (
	// seedHedgeDelay is the wait for a seed's first answer before an instance
	// reads the store beside asking seeds. One that is well takes a few milliseconds. Where
	// the first seed that is asked knows nothing, all instances may be starting, and the
	// store is read at once.
	seedHedgeDelay = 50 * time.Millisecond
	// firstSyncTimeout bounds the time in which the seeds alone are asked at the first start of all
	// instances, long before any requests come.
	firstSyncTimeout = time.Second
	// seedRetry is the pause after a seed was asked in vain, doubled up to maxSeedRetry.
	// When all instances start at once each of them asks the same few seeds: asked more
	// often, these spend their own start on the others' connections.
	seedRetry    = 100 * time.Millisecond
	maxSeedRetry = 400 * time.Millisecond
)

// begin gets the first state: from a seed, which has configuration, leaves and the fleet in
// one answer, or from the store. An instance that the store refuses serves by what the
// seeds know, and one whose seeds are gone by the store.
func (c *control) begin(ctx context.Context) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	alone := make(chan struct{}) // closed when the first seed was asked in vain
	var learning sync.WaitGroup
	learning.Go(func() { c.beginBySeeds(ctx, cancel, alone) })
	learning.Go(func() { c.beginByStore(ctx, cancel, alone) })
	learning.Wait()
}

// beginBySeeds asks the seeds in turn until one knows the state, and then ends the start.
func (c *control) beginBySeeds(ctx context.Context, learned func(), alone chan<- struct{}) {
	pause := backoff.Backoff{Min: seedRetry, Max: maxSeedRetry}
	random := rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))
	seeds := look(c.node.fleet, (*fleet.Fleet).Seeds)
	for i := 0; ctx.Err() == nil && len(seeds) > 0; i++ {
		seed := seeds[i%len(seeds)]
		err := c.ask(ctx, fleet.Instance{PeerAddress: seed})
		if err == nil || stale(err) {
			learned()
			return
		}
		if i == 0 {
			c.log.Info("first seed knows nothing", "seed", seed, "err", err)
			close(alone)
		}
		sleep(ctx, pause.Next(random))
	}
}

// beginByStore reads the store until that works, and then ends the start. At first it waits
// for the seeds. After a failure it only probes until the store serves this instance: when all
// instances start while the store is away, their tries grow with the fleet.
func (c *control) beginByStore(ctx context.Context, learned func(), alone <-chan struct{}) {
	c.awaitSeeds(ctx, alone)
	pause := backoff.Backoff{Min: firstRetry, Max: maxRetryDelay}
	random := rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))
	timeout := readTimeout
	for failed := false; ctx.Err() == nil; failed = true {
		began := time.Now()
		err := c.readAll(ctx, timeout, failed)
		if err == nil {
			learned()
			return
		}
		if ctx.Err() == nil {
			c.log.Warn("store was not read", "err", err, "since_start", time.Since(c.node.fleet.begun))
		}
		timeout = min(max(2*time.Since(began), readTimeout), maxReadTimeout)
		sleep(ctx, pause.Next(random))
	}
}

// readAll reads the configuration, the leaves and the announcements; with probe set, only if the
// store answers a probe first.
func (c *control) readAll(ctx context.Context, timeout time.Duration, probe bool) error {
	if probe {
		if err := c.within(ctx, timeout, c.node.config.Source.Probe); err != nil {
			return fmt.Errorf("probe: %w", err)
		}
	}
	var g errgroup.Group
	g.Go(func() error { return c.readStore(ctx, timeout) })
	g.Go(func() error { c.node.fleet.list(ctx); return nil })
	return g.Wait()
}

// awaitSeeds waits until it is time to read the store: a seed has nobody to wait for.
func (c *control) awaitSeeds(ctx context.Context, alone <-chan struct{}) {
	if len(c.node.config.Seeds) == 0 || look(c.node.fleet, (*fleet.Fleet).IsSeed) {
		return
	}
	if c.node.config.Bootstrap {
		sleep(ctx, firstSyncTimeout)
		return
	}
	timer := time.NewTimer(seedHedgeDelay)
	defer timer.Stop()
	select {
	case <-alone:
	case <-timer.C:
	case <-ctx.Done():
	}
}
