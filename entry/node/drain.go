package node

import (
	"context"
	"time"

	"github.com/fuchsiaroad/fuchsiaroad/entry/lifecycle"
	"github.com/fuchsiaroad/fuchsiaroad/entry/server"
)

// Times of a graceful stop.
const (
	// finishTime bounds the wait for requests in flight beyond the longest deadline.
	finishTime = 2 * time.Second
	// flushTime bounds the last ledger writes.
	flushTime = 5 * time.Second
)

// awaitStop waits for Stop and carries the graceful stop out.
func (n *Node) awaitStop(ctx context.Context) {
	select {
	case <-n.stop:
	case <-ctx.Done():
	}
	n.drain(context.WithoutCancel(ctx))
}

// drain stops the instance without cutting a request off.
func (n *Node) drain(ctx context.Context) {
	log := n.log.Component("node")
	n.lifecycle.Set(lifecycle.Leaving)
	n.control.SetDraining()
	log.Info("leaving: still serving until the balancer has let go")
	n.lifecycle.WaitQuiet(ctx, n.settings.Limits.DrainTime)
	n.lifecycle.Set(lifecycle.Refusing)
	log.Info("finishing what is in flight", "queries", n.executor.Running())
	finish, cancel := context.WithTimeout(ctx, n.longestDeadline()+finishTime)
	defer cancel()
	if err := n.executor.Wait(finish); err != nil {
		log.Error("requests were still in flight at the end", "queries", n.executor.Running())
	}
	flush, cancelFlush := context.WithTimeout(ctx, flushTime)
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

// longestDeadline is the longest that a query in flight may take.
func (n *Node) longestDeadline() time.Duration {
	var longest time.Duration
	if v := n.View(); v != nil {
		for _, s := range v.Services {
			longest = max(longest, s.Config.Deadline)
		}
	}
	return longest
}
