package node

import (
	"context"
	"time"

	"github.com/fuchsiaroad/fuchsiaroad/entry/lifecycle"
	"github.com/fuchsiaroad/fuchsiaroad/entry/server"
)

// Time limits of a graceful stop.
const (
	// finishMargin is added to the longest deadline to get the maximum wait for
	// requests in flight.
	finishMargin = 2 * time.Second
	// flushTimeout is the maximum time for the last ledger writes.
	flushTimeout = 5 * time.Second
)

// waitAndDrain waits for Stop or the end of the context, then stops gracefully.
func (n *Node) waitAndDrain(ctx context.Context) {
	select {
	case <-n.stop:
	case <-ctx.Done():
	}
	n.drain(context.WithoutCancel(ctx))
}

// drain stops the instance gracefully: it goes on serving until no new queries
// arrive, then refuses new queries, waits for those in flight, flushes the ledger and
// shuts the servers down.
func (n *Node) drain(ctx context.Context) {
	log := n.log.Component("node")
	n.lifecycle.Set(lifecycle.Leaving)
	n.control.SetDraining()
	log.Info("leaving: still serving until the balancer has let go")
	n.lifecycle.WaitNoArrivals(ctx, n.settings.Limits.DrainTime)
	n.lifecycle.Set(lifecycle.Refusing)
	log.Info("finishing what is in flight", "queries", n.executor.QueriesInFlight())
	finish, cancel := context.WithTimeout(ctx, n.longestDeadline()+finishMargin)
	defer cancel()
	if err := n.executor.Wait(finish); err != nil {
		log.Error("requests were still in flight at the end", "queries", n.executor.QueriesInFlight())
	}
	flush, cancelFlush := context.WithTimeout(ctx, flushTimeout)
	defer cancelFlush()
	if err := n.ledger.Flush(flush); err != nil {
		log.Error("outcomes were not all recorded", "err", err)
	}
	for _, s := range []*server.Server{n.server, n.operators} {
		if s == nil {
			continue
		}
		if err := s.Shutdown(finish); err != nil {
			log.Error("connections were still open at the end", "err", err)
		}
	}
	log.Info("stopped")
}

// longestDeadline returns the longest deadline of any service.
func (n *Node) longestDeadline() time.Duration {
	var longest time.Duration
	if v := n.View(); v != nil {
		for _, s := range v.Services {
			longest = max(longest, s.Config.Deadline)
		}
	}
	return longest
}
