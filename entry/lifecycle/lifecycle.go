// Package lifecycle holds the phase of an instance, from start to graceful stop.
// It also counts arriving queries, so that a graceful stop can wait until the load
// balancer sends no more.
package lifecycle

import (
	"context"
	"sync/atomic"
	"time"
)

// Phase is a phase in the lifecycle of an instance.
type Phase int32

// The phases, in the order in which an instance passes through them.
const (
	Starting Phase = iota // has no configuration yet and is not ready
	Serving
	Leaving  // not ready; still serves, but tells callers to give up their connections
	Refusing // refuses new queries as not run; finishes those in flight
)

// Lifecycle holds the phase of an instance and counts arriving queries. The zero
// value is in phase Starting. It is safe for concurrent use.
type Lifecycle struct {
	phase    atomic.Int32
	arrivals atomic.Int64
	answerBy atomic.Pointer[time.Time]
}

// Set sets the phase.
func (l *Lifecycle) Set(p Phase) { l.phase.Store(int32(p)) }

// Leave sets the phase Leaving. The instance ends after answerBy, by when all queries must be
// answered.
func (l *Lifecycle) Leave(answerBy time.Time) {
	l.answerBy.Store(&answerBy)
	l.Set(Leaving)
}

// BoundDeadline returns a query's deadline, or the time by which a stopping instance must
// have answered if that is earlier.
func (l *Lifecycle) BoundDeadline(deadline time.Time) time.Time {
	if by := l.answerBy.Load(); by != nil && by.Before(deadline) {
		return *by
	}
	return deadline
}

// Get returns the current phase.
func (l *Lifecycle) Get() Phase { return Phase(l.phase.Load()) }

// MarkServing changes the phase from Starting to Serving. In any other phase it does
// nothing.
func (l *Lifecycle) MarkServing() { l.phase.CompareAndSwap(int32(Starting), int32(Serving)) }

// NotReady returns the reason why the load balancer should send no queries, or "" if
// the instance is ready. The parameter starting is the reason in phase Starting: what
// the instance waits for.
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

// Times of WaitNoArrivals.
const (
	// noArrivalsTime without an arriving query shows that the load balancer sends no
	// more.
	noArrivalsTime = 1 * time.Second
	// arrivalsPollPeriod is the time between reads of the arrival count.
	arrivalsPollPeriod = 50 * time.Millisecond
)

// WaitNoArrivals returns when no query has arrived for a second, after timeout, or
// when ctx ends.
func (l *Lifecycle) WaitNoArrivals(ctx context.Context, timeout time.Duration) {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	tick := time.NewTicker(arrivalsPollPeriod)
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
			if now.Sub(since) >= noArrivalsTime {
				return
			}
		}
	}
}

// Arrived counts one arriving query.
func (l *Lifecycle) Arrived() { l.arrivals.Add(1) }

// Leaving reports whether callers should be asked to give up their connections, in
// phases Leaving and Refusing.
func (l *Lifecycle) Leaving() bool { return l.Get() >= Leaving }

// Refusing reports whether new queries must be refused as not run.
func (l *Lifecycle) Refusing() bool { return l.Get() >= Refusing }
