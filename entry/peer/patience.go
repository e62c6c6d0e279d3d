package peer

import (
	"context"
	"time"
)

// patienceParts is the number of parts in which a wait for another instance ends.
const patienceParts = 3

// patient returns a context that ends with context.DeadlineExceeded as its cause after a time in
// which this instance ran. Release it after the call.
func patient(ctx context.Context, d time.Duration) (_ context.Context, release func()) {
	ctx, cancel := context.WithCancelCause(ctx)
	timer := time.NewTimer(d / patienceParts)
	go func() {
		defer timer.Stop()
		if passed(ctx, timer.C, func() { timer.Reset(d / patienceParts) }) {
			cancel(context.DeadlineExceeded)
		}
	}()
	return ctx, func() { cancel(nil) }
}

// passed reports whether all parts of a wait have ended before its context did. One that ends
// late, as this instance had no processor, counts like any other: what came in meanwhile is
// read before the next one ends.
func passed(ctx context.Context, ends <-chan time.Time, again func()) bool {
	for range patienceParts {
		select {
		case <-ends:
			again()
		case <-ctx.Done():
			return false
		}
	}
	return true
}
