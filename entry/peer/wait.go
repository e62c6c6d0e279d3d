package peer

import (
	"context"
	"time"
)

// waitParts is the number of parts in which a wait for another instance ends.
const waitParts = 3

// withRunningTime returns a context that ends with context.DeadlineExceeded as its cause after a time in
// which this instance ran. Release it after the call.
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

// partsPassed reports whether all parts of a wait have ended before its context did. One that ends
// late, as this instance had no processor, counts like any other: what came in meanwhile is
// read before the next one ends.
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
