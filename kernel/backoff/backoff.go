// Package backoff computes growing, capped and jittered delays between tries.
package backoff

import (
	"math/rand/v2"
	"time"
)

// Backoff gives the delays of one sequence of tries. It is a plain value
// machine: the caller passes the random source and does the waiting.
type Backoff struct {
	// Min is the mean of the first delay, Max bounds every delay.
	Min, Max time.Duration
	failures int
}

// Failures is the number of failed tries since the last Reset.
func (b *Backoff) Failures() int { return b.failures }

// Reset begins a new sequence after a success.
func (b *Backoff) Reset() { b.failures = 0 }

// Next counts a failed try and gives the delay before the next one: evenly
// spread over (d/2, d], where d doubles from 2*Min up to Max. The spread keeps
// instances that failed together from coming back together.
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
