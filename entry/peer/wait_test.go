package peer

import (
	"context"
	"errors"
	"testing"
	"testing/synctest"
	"time"
)

// TestOwnStallIsNotThePeersSilence has the first part of a wait end a second late: the wait goes
// on, and ends after the parts that follow.
func TestOwnStallIsNotThePeersSilence(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ends, again := make(chan time.Time), 0
		ended := make(chan bool, 1)
		go func() { ended <- partsPassed(t.Context(), ends, func() { again++ }) }()
		time.Sleep(time.Second)
		ends <- time.Now()
		synctest.Wait()
		if len(ended) > 0 || again != 1 {
			t.Errorf("the wait has ended: %v, after %d parts", len(ended) > 0, again)
		}
		for range waitParts - 1 {
			ends <- time.Now()
		}
		if !<-ended {
			t.Error("the wait ends without its time")
		}
	})
}

// TestWaitForSilentPeerEnds waits for a peer that is silent.
func TestWaitForSilentPeerEnds(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		begin := time.Now()
		ctx, release := withRunningTime(t.Context(), 15*time.Millisecond)
		defer release()
		<-ctx.Done()
		if took := time.Since(begin); took != 15*time.Millisecond || !errors.Is(context.Cause(ctx), context.DeadlineExceeded) {
			t.Errorf("ended after %v by %v", took, context.Cause(ctx))
		}
	})
}
