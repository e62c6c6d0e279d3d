package peer

import (
	"context"
	"time"
)

// waitParts is the number of timer periods in a wait for a peer.
const waitParts = 3

// withRunningTime returns a context that ends after d of time in which this instance ran, with the
// cause context.DeadlineExceeded. Release it after the call.
func withRunningTime(ctx context.Context, d time.Duration) (_ context.Context, release func()) {
	ctx, cancel := context.WithCancelCause(ctx)
	timer := time.NewTimer(d / waitParts)
	go func() {
		defer timer.Stop()
		if partsPassed(ctx, timer.C, func() { timer.Reset(d / waitParts) }) {
			cancel(context.DeadlineExceeded)
		}
	}()
	return ctx, func() { cancel(nil) }
}

// partsPassed reports whether all periods ended before the context. A late period, in which this
// instance had no processor, counts once, and replies that arrived during it are read before the
// next one ends.
func partsPassed(ctx context.Context, ends <-chan time.Time, again func()) bool {
	for range waitParts {
		select {
		case <-ends:
			again()
		case <-ctx.Done():
			return false
		}
	}
	return true
}
