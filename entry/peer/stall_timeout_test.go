package peer

import (
	"context"
	"errors"
	"testing"
	"testing/synctest"
	"time"
)

// TestStallCountsAsOnePeriod has the first period of a wait end a second late: the wait
// continues, and ends after the remaining periods.
func TestStallCountsAsOnePeriod(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		periodEnds, restarts := make(chan time.Time), 0
		ended := make(chan bool, 1)
		go func() { ended <- waitForPeriods(t.Context(), periodEnds, func() { restarts++ }) }()
		time.Sleep(time.Second)
		periodEnds <- time.Now()
		synctest.Wait()
		if len(ended) > 0 || restarts != 1 {
			t.Errorf("the wait has ended: %v, after %d periods", len(ended) > 0, restarts)
		}
		for range waitPeriods - 1 {
			periodEnds <- time.Now()
		}
		if !<-ended {
			t.Error("the wait ended before all its periods")
		}
	})
}

// TestStallTolerantTimeoutEnds waits for the timeout without a stall.
func TestStallTolerantTimeoutEnds(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		begin := time.Now()
		ctx, release := withStallTolerantTimeout(t.Context(), 15*time.Millisecond)
		defer release()
		<-ctx.Done()
		if took := time.Since(begin); took != 15*time.Millisecond || !errors.Is(context.Cause(ctx), context.DeadlineExceeded) {
			t.Errorf("ended after %v by %v", took, context.Cause(ctx))
		}
	})
}
