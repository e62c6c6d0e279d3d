// Package backoff computes exponential delays between retries, capped and with
// jitter.
package backoff

import (
	"math/rand/v2"
	"time"
)

// Backoff computes the delays of one sequence of attempts. It reads no clock and
// does not sleep: the caller passes the random source and waits.
type Backoff struct {
	// Min is the lower bound of the first delay; Max is the upper bound of all.
	Min, Max time.Duration
	failures int
}

// Failures returns the number of failed attempts since the last Reset.
func (b *Backoff) Failures() int { return b.failures }

// Reset starts a new sequence after a success.
func (b *Backoff) Reset() { b.failures = 0 }

// Next counts a failed attempt and returns the delay before the next one: uniform
// in (d/2, d], where d doubles from 2*Min up to Max. The jitter keeps instances
// that failed together from retrying together.
func (b *Backoff) Next(rng *rand.Rand) time.Duration {
	d := b.Max
	if shift := b.failures + 1; shift < 32 && b.Min<<shift>>shift == b.Min {
		d = min(b.Max, b.Min<<shift)
	}
	b.failures++
	if d <= 1 {
		return d
	}
	return d - time.Duration(rng.Int64N(int64(d)/2))
}
