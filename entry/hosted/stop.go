package hosted

import (
	"context"
	"time"

	"github.com/fuchsiaroad/fuchsiaroad/entry/lifecycle"
)

// Times of a stop; shares are of the grace period.
const (
	// acceptShare is how long requests are still accepted at most, so that the balancer
	// notices the stop and clients have been asked to close their connections.
	acceptShare = 0.7
	// endShare is when the instance ends at the latest. The rest of the grace period
	// covers a timer that fires late.
	endShare = 0.95
	// minAcceptTime is how long requests are still accepted at least: the balancer stops
	// sending them after two failed checks, one a second.
	minAcceptTime = 2500 * time.Millisecond
)

// drain stops the instance without cutting off a request. Connections stay open
// until the end, because a client may be about to use one. Each request gets an
// answer; one that comes too late is refused as not run.
func (n *Node) drain(ctx context.Context) {
	log := n.log.Component("node")
	startedAt := time.Now()
	grace := n.tunables.Load().GracePeriod
	end := startedAt.Add(time.Duration(endShare * float64(grace)))
	n.lifecycle.Leave(end.Add(-answerTime))
	log.Info("leaving: still serving until the balancer has let go", "queries", n.executor.QueriesInFlight())
	maxAcceptTime := time.Duration(acceptShare * float64(grace))
	sleep(ctx, min(minAcceptTime, maxAcceptTime))
	n.lifecycle.WaitNoArrivals(ctx, maxAcceptTime-time.Since(startedAt))
	n.lifecycle.Set(lifecycle.Refusing)
	log.Info("finishing what is in flight", "queries", n.executor.QueriesInFlight(), "after", time.Since(startedAt))
	finishCtx, cancel := context.WithTimeout(ctx, time.Until(end))
	defer cancel()
	if err := n.executor.Wait(finishCtx); err != nil {
		log.Error("requests were still in flight at the end", "queries", n.executor.QueriesInFlight())
	}
	sleep(ctx, min(flushDelay, time.Until(end)))
	log.Info("stopped", "after", time.Since(startedAt))
}

// answerTime is the time before the end of the instance at which the last queries must be
// answered.
const answerTime = 2 * flushDelay

// flushDelay gives the last answers time to be sent before their connections are closed.
const flushDelay = 50 * time.Millisecond

// sleep waits for d, or until the context ends.
func sleep(ctx context.Context, d time.Duration) { await(ctx, nil, d) }

// await waits until something is received from the channel or it is closed, but at most for d
// and until the context ends.
func await(ctx context.Context, c <-chan struct{}, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-c:
	case <-timer.C:
	case <-ctx.Done():
	}
}
