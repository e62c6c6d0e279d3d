// Package lifecycle says how far an instance's life has come, and lets a
// graceful stop wait until callers have gone elsewhere.
package lifecycle

import (
	"context"
	"sync/atomic"
	"time"
)

// Phase is where an instance stands in its life.
type Phase int32

// The phases, in their order.
const (
	Starting Phase = iota // no configuration yet: not ready
	Serving
	Leaving  // still serves, but tells everyone to send no more
	Refusing // refuses new queries as not run; finishes those in flight
)

// Lifecycle holds the phase and counts arrivals. The zero value is Starting. It
// is safe for concurrent use.
type Lifecycle struct {
	phase    atomic.Int32
	arrivals atomic.Int64
}

// Set moves to a phase.
func (l *Lifecycle) Set(p Phase) { l.phase.Store(int32(p)) }

// Get is the present phase.
func (l *Lifecycle) Get() Phase { return Phase(l.phase.Load()) }

// MarkServing ends the start, if the instance is still starting.
func (l *Lifecycle) MarkServing() { l.phase.CompareAndSwap(int32(Starting), int32(Serving)) }

// NotReady says why the balancer should send no one, "" when it should. The word for
// an instance that starts is the caller's: what it waits for.
func (l *Lifecycle) NotReady(starting string) string {
	switch l.Get() {
	case Starting:
		return starting
	case Leaving, Refusing:
		return "leaving"
	default:
		return ""
	}
}

// Times of a graceful stop.
const (
	// quietTime without an arrival shows that the balancer has let go.
	quietTime = 1 * time.Second
	// quietPoll is how often arrivals are looked at.
	quietPoll = 50 * time.Millisecond
)

// WaitNoArrivals returns when no query has arrived for a second, or after most.
func (l *Lifecycle) WaitNoArrivals(ctx context.Context, most time.Duration) {
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

// Arrived counts one query.
func (l *Lifecycle) Arrived() { l.arrivals.Add(1) }

// Leaving says that connections should be given up by their callers.
func (l *Lifecycle) Leaving() bool { return l.Get() >= Leaving }

// Refusing says that new queries must be refused as not run.
func (l *Lifecycle) Refusing() bool { return l.Get() >= Refusing }
