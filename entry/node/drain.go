package node

import (
	"context"
	"sync/atomic"
	"time"
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
