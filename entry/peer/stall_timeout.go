package peer

import (
	"context"
	"time"
)

// waitPeriods is the number of timer periods that make up a stall-tolerant timeout.
const waitPeriods = 3

// withStallTolerantTimeout returns a context that ends after d with the cause
// context.DeadlineExceeded. A stall of this process uses up at most one of the
// waitPeriods periods of d. The caller calls release when its call has ended.
func withStallTolerantTimeout(ctx context.Context, d time.Duration) (_ context.Context, release func()) {
	ctx, cancel := context.WithCancelCause(ctx)
	timer := time.NewTimer(d / waitPeriods)
	go func() {
		defer timer.Stop()
		if waitForPeriods(ctx, timer.C, func() { timer.Reset(d / waitPeriods) }) {
			cancel(context.DeadlineExceeded)
		}
	}()
	return ctx, func() { cancel(nil) }
}

// waitForPeriods waits for waitPeriods timer periods, and calls restart after each.
// It returns false if ctx ends first. A period that ends late because this process
// got no processor time counts once; replies that arrived during it are read before
// the next period ends, so that the peer isn't blamed for the stall.
func waitForPeriods(ctx context.Context, periodEnds <-chan time.Time, restart func()) bool {
	for range waitPeriods {
		select {
		case <-periodEnds:
			restart()
		case <-ctx.Done():
			return false
		}
	}
	return true
}
