package hosted

import (
	"context"
	"math/rand/v2"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/fuchsiaroad/fuchsiaroad/kernel/backoff"
	"github.com/fuchsiaroad/fuchsiaroad/kernel/fleet"
)

// Times of the start of an instance.
const (
	// seedPatience is for how long an instance waits for a seed that knows the state before
	// it reads the store itself. When all start at once the seeds need some of it to start
	// and read; when it starts alone they answer at once.
	seedPatience = 250 * time.Millisecond
	// firstPatience is the same for the first start of all instances, long before any
	// requests come.
	firstPatience = time.Second
	// seedAgain is the first pause after all seeds were asked in vain, doubled up to
	// mostSeedAgain.
	seedAgain     = 25 * time.Millisecond
	mostSeedAgain = 250 * time.Millisecond
)

// begin gets the first state: from a seed, which has configuration, leaves and the fleet in
// one answer, or from the store. An instance that the store refuses serves by what the
// seeds know, and one whose seeds are gone by the store.
func (c *control) begin(ctx context.Context) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	var g errgroup.Group
	for _, learn := range []func(context.Context) bool{c.beginBySeeds, c.beginByStore} {
		g.Go(func() error {
			if learn(ctx) {
				cancel()
			}
			return nil
		})
	}
	_ = g.Wait() // there are no errors
	if c.storeTried {
		c.receiver.Forget() // the catalog may have another list
	}
}

// beginBySeeds asks the seeds in turn until one knows the state. It reports whether one did.
func (c *control) beginBySeeds(ctx context.Context) bool {
	pause := backoff.Backoff{Min: seedAgain, Max: mostSeedAgain}
	random := rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))
	seeds := c.node.fleet.seeds()
	for ctx.Err() == nil && len(seeds) > 0 {
		for _, seed := range seeds {
			err := c.ask(ctx, fleet.Instance{Peer: seed})
			if err == nil || stale(err) {
				return true
			}
		}
		sleep(ctx, pause.Next(random))
	}
	return false
}

// beginByStore reads the store until that works, at first only after the seeds had their
// time. It reports whether it did.
func (c *control) beginByStore(ctx context.Context) bool {
	sleep(ctx, c.patience())
	pause := backoff.Backoff{Min: firstRetry, Max: mostRetry}
	random := rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))
	timeout := readTimeout
	for ctx.Err() == nil {
		began := time.Now()
		c.storeTried = true
		var g errgroup.Group
		g.Go(func() error { return c.readStore(ctx, timeout) })
		g.Go(func() error { c.node.fleet.list(ctx); return nil })
		err := g.Wait()
		if err == nil {
			return true
		}
		if ctx.Err() == nil {
			c.log.Warn("store was not read", "err", err, "since_start", time.Since(c.node.fleet.begun))
		}
		timeout = min(max(2*time.Since(began), readTimeout), mostReadTimeout)
		sleep(ctx, pause.Next(random))
	}
	return false
}

// patience is for how long the seeds alone are asked. A seed has nobody to wait for.
func (c *control) patience() time.Duration {
	switch {
	case len(c.node.config.Seeds) == 0 || c.node.fleet.isSeed():
		return 0
	case c.node.config.FirstStart:
		return firstPatience
	default:
		return seedPatience
	}
}
