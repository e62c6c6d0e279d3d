package hosted

import (
	"context"
	"time"

	"github.com/fuchsiaroad/fuchsiaroad/entry/lifecycle"
)

// Shares of the grace time of a stop.
const (
	// leaveShare is for how long requests are still taken, so that the balancer
	// has let go and clients have been asked to close their connections.
	leaveShare = 0.7
	// finishShare is when the instance ends at the latest. What is kept of the
	// grace time covers a late timer.
	finishShare = 0.95
	// leastLeave is the least time to go on taking requests: the balancer lets
	// go after two questions, one a second.
	leastLeave = 2500 * time.Millisecond
)

// drain stops the instance without cutting a request off. Connections stay open
// until the end: a client may always be about to use one, and its request is
// answered, late ones with a true "not run".
func (n *Node) drain(ctx context.Context) {
	log := n.log.Component("node")
	begin := time.Now()
	grace := n.tunables.Load().Grace
	n.lifecycle.Set(lifecycle.Leaving)
	log.Info("leaving: still serving until the balancer has let go", "queries", n.executor.Running())
	most := time.Duration(leaveShare * float64(grace))
	sleep(ctx, min(leastLeave, most))
	n.lifecycle.WaitQuiet(ctx, most-time.Since(begin))
	n.lifecycle.Set(lifecycle.Refusing)
	log.Info("finishing what is in flight", "queries", n.executor.Running(), "after", time.Since(begin))
	finish, cancel := context.WithTimeout(ctx, time.Duration(finishShare*float64(grace))-time.Since(begin))
	defer cancel()
	if err := n.executor.Wait(finish); err != nil {
		log.Error("requests were still in flight at the end", "queries", n.executor.Running())
	}
	sleep(ctx, min(flushTime, time.Duration(finishShare*float64(grace))-time.Since(begin)))
	log.Info("stopped", "after", time.Since(begin))
}

// flushTime lets the last answers leave before their connections are closed.
const flushTime = 50 * time.Millisecond

// sleep waits for d, or less when the context ends.
func sleep(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}
