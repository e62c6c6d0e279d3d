package hosted

import (
	"context"
	"fmt"
	"net/http/httptrace"
	"sync"
	"sync/atomic"
	"time"
)

// Times of calls to the store. Shares are of the freshness bound.
const (
	// minReadTimeout is the time without the first byte of an answer after which a read is followed
	// by another one, on a new connection, and not given up: the store may be slower. Reads without
	// an answer follow each other at twice the time, up to readerReadAgeShare.
	minReadTimeout = 300 * time.Millisecond
	// readLifetimeShare is the time after which a read without an answer is given up.
	readLifetimeShare = 1
	// minOutageTimeout is the time without the first byte of an answer after which the store counts as
	// out, unless it has answered late recently: then it is slowAnswerFactor times the longest answer of
	// the last slowAnswerMemory, up to maxOutageTimeoutShare.
	minOutageTimeout      = time.Second
	maxOutageTimeoutShare = 0.55
	slowAnswerFactor      = 1.5
	slowAnswerMemory      = 10 * time.Second
	// maxStoreDelayShare is how late the store may answer.
	maxStoreDelayShare = 0.5
	// standToleranceShare is how late the end of a timeout may be noticed. The process stood still if
	// it is later, and the timeout shows nothing.
	standToleranceShare = 0.25
	// transferTimeoutShare and maxInitialReadTimeout bound the calls of the initial load.
	transferTimeoutShare  = 0.3
	maxInitialReadTimeout = 2 * time.Second
)

// outageTimeout returns the time without the first byte of an answer after which the store counts as
// out.
func (c *control) outageTimeout() time.Duration {
	slowest := c.answerTimes.longest(time.Now())
	return max(minOutageTimeout, min(time.Duration(slowAnswerFactor*float64(slowest)), c.boundShare(maxOutageTimeoutShare)))
}

// storeDelay returns how late the store answers, at most half of the bound; 0: at once.
func (c *control) storeDelay() time.Duration {
	longest := c.answerTimes.longest(time.Now())
	if longest <= minReadTimeout {
		return 0
	}
	return min(longest, c.boundShare(maxStoreDelayShare))
}

// recordFailedRead records that a read of the store has failed, or has had no answer for
// outageTimeout, unless the process stood still in it.
func (c *control) recordFailedRead(startedAt, now time.Time) {
	if now.Sub(startedAt) <= c.outageTimeout()+c.boundShare(standToleranceShare) {
		c.readFailedAt.Store(&now)
		c.recordTry(now)
	}
}

// recordSilence records that a read of the store has had no answer for minReadTimeout, unless the
// process stood still in it, and reports whether it did so. The store may be slow: that proves no
// outage.
func (c *control) recordSilence(startedAt, now time.Time) bool {
	if now.Sub(startedAt) > minReadTimeout+c.boundShare(standToleranceShare) {
		return false
	}
	c.recordTry(now)
	c.storeReadFailing.Store(true)
	if last := c.silenceLoggedAt.Load(); last == nil || now.Sub(*last) > slowAnswerMemory {
		c.silenceLoggedAt.Store(&now)
		c.log.Warn("store answers late", "after", now.Sub(startedAt), "longest", c.answerTimes.longest(now))
	}
	return true
}

// recordTry records that this instance tried at a time to renew its state.
func (c *control) recordTry(now time.Time) { c.triedAt.Store(&now) }

// watchedCall makes a call to the store, records when its answer does not begin in time, and gives it
// up after readLifetimeShare. An answer that is late because the process stood still tells nothing of
// the store.
func (c *control) watchedCall(ctx context.Context, call func(context.Context) error) error {
	ctx, cancel := context.WithTimeout(ctx, c.boundShare(readLifetimeShare))
	defer cancel()
	startedAt := time.Now()
	var isLate atomic.Bool
	silence := time.AfterFunc(minReadTimeout, func() { isLate.Store(c.recordSilence(startedAt, time.Now())) })
	outage := time.AfterFunc(c.outageTimeout(), func() { c.recordFailedRead(startedAt, time.Now()) })
	defer outage.Stop()
	defer silence.Stop()
	answered := sync.OnceFunc(func() {
		silence.Stop()
		outage.Stop()
		if now := time.Now(); isLate.Load() || now.Sub(startedAt) <= minReadTimeout {
			c.answerTimes.record(now.Sub(startedAt), now)
		}
	})
	err := call(httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{GotFirstResponseByte: answered}))
	if err == nil {
		answered()
	}
	return err
}

// callWithTimeout makes a call and fails it with context.DeadlineExceeded if an HTTP answer does not
// begin within the timeout. An answer that has begun may take longer, up to
// transferTimeoutShare, as a large configuration does on a slow link.
func (c *control) callWithTimeout(ctx context.Context, timeout time.Duration, call func(context.Context) error) error {
	ctx, cancel := context.WithTimeout(ctx, max(timeout, c.boundShare(transferTimeoutShare)))
	defer cancel()
	var timedOut atomic.Bool
	timer := time.AfterFunc(timeout, func() {
		timedOut.Store(true)
		cancel()
	})
	defer timer.Stop()
	startedAt := time.Now()
	err := call(httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GetConn: func(string) { timer.Reset(timeout) },
		GotFirstResponseByte: func() {
			timer.Stop()
			now := time.Now()
			c.answerTimes.record(now.Sub(startedAt), now)
		},
	}))
	if err != nil && timedOut.Load() {
		return fmt.Errorf("no answer within %v: %w", timeout, context.DeadlineExceeded)
	}
	return err
}
