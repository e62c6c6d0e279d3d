// Package repetition limits how often sub-requests are sent again. It has token
// budgets for hedges and retries, a sliding-window limit on repeats per shard, and
// a quantile sketch of recent latency.
package repetition

import "time"

// The capacities of the token buckets bound the tokens that a long quiet period
// can save up for a burst of hedges or retries.
const (
	hedgeBurst = 20
	retryBurst = 10
)

// tokenBucket earns a fraction of a token per deposit and holds at most burst
// tokens.
type tokenBucket struct {
	perDeposit float64
	tokens     float64
	burst      float64
}

func (b *tokenBucket) deposit() { b.tokens = min(b.burst, b.tokens+b.perDeposit) }

func (b *tokenBucket) take() bool {
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}

// Budget limits hedges and retries to fixed shares of the first sub-requests, so
// that the extra load is proportional to the load itself and stops with it.
type Budget struct {
	hedge tokenBucket
	retry tokenBucket
}

// NewBudget returns a Budget that earns the given shares, in [0, 1], of a hedge and
// a retry per first sub-request. The retry bucket starts full, unless its share is
// 0: a retry follows proof that nothing ran, and the first leaf that declines
// should not cost an answer. The hedge bucket starts empty.
func NewBudget(hedgeShare, retryShare float64) *Budget {
	b := &Budget{
		hedge: tokenBucket{perDeposit: hedgeShare, burst: hedgeBurst},
		retry: tokenBucket{perDeposit: retryShare, burst: retryBurst},
	}
	if retryShare > 0 {
		b.retry.tokens = retryBurst
	}
	return b
}

// HedgeFill returns the fill level of the hedge bucket, in [0, 1].
func (b *Budget) HedgeFill() float64 { return b.hedge.tokens / b.hedge.burst }

// Deposit credits one first sub-request.
func (b *Budget) Deposit() {
	b.hedge.deposit()
	b.retry.deposit()
}

// TakeHedge spends the token of one hedge. It returns false when there is none.
func (b *Budget) TakeHedge(_ time.Time) bool { return b.hedge.take() }

// TakeRetry spends the token of one retry. It returns false when there is none.
func (b *Budget) TakeRetry(_ time.Time) bool { return b.retry.take() }
