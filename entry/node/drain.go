package node

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/fuchsiaroad/fuchsiaroad/entry/server"
)

// phase is where an instance stands in its life.
type phase int32

const (
	phaseStarting phase = iota // no document yet: not ready
	phaseServing
	phaseLeaving  // still serves, but tells everyone to send no more
	phaseRefusing // refuses new queries as not run; finishes those in flight
)

// lifecycle holds the phase and counts arrivals, so that a stop can wait until
// the balancer has let go.
type lifecycle struct {
	phase    atomic.Int32
	arrivals atomic.Int64
}

func (l *lifecycle) set(p phase)         { l.phase.Store(int32(p)) }
func (l *lifecycle) get() phase          { return phase(l.phase.Load()) }
func (l *lifecycle) is(least phase) bool { return l.get() >= least }

// Times of a graceful stop.
const (
	// quietTime without an arrival shows that the balancer has let go.
	quietTime = 1 * time.Second
	// quietPoll is how often arrivals are looked at.
	quietPoll = 50 * time.Millisecond
	// finishTime bounds the wait for requests in flight beyond the longest deadline.
	finishTime = 2 * time.Second
	// flushTime bounds the last ledger writes.
	flushTime = 5 * time.Second
)

// waitQuiet returns when no query has arrived for quietTime, or after most.
func (l *lifecycle) waitQuiet(ctx context.Context, most time.Duration) {
	ctx, cancel := context.WithTimeout(ctx, most)
	defer cancel()
	tick := time.NewTicker(quietPoll)
	defer tick.Stop()
	seen, since := l.arrivals.Load(), time.Now()
	for {
		select {
		case <-ctx.Done():
			return
		case now := <-tick.C:
			if n := l.arrivals.Load(); n != seen {
				seen, since = n, now
			}
			if now.Sub(since) >= quietTime {
				return
			}
		}
	}
}

// Arrived implements server.Lifecycle.
func (l *lifecycle) Arrived() { l.arrivals.Add(1) }

// Leaving implements server.Lifecycle.
func (l *lifecycle) Leaving() bool { return l.is(phaseLeaving) }

// Refusing implements server.Lifecycle.
func (l *lifecycle) Refusing() bool { return l.is(phaseRefusing) }

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
	log := n.log.Part("node")
	n.lifecycle.set(phaseLeaving)
	n.control.SetDraining()
	log.Info("leaving: still serving until the balancer has let go")
	n.lifecycle.waitQuiet(ctx, n.settings.Limits.DrainTime)
	n.lifecycle.set(phaseRefusing)
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
