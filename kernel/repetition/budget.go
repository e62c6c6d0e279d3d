// Package repetition holds what decides on sending a sub-request again: token
// budgets for hedges and retries, and a sketch of recent latency.
package repetition

import "time"

// Budgets of repetition keep at most this many tokens, so that a long calm
// does not pay for a storm.
const (
	hedgeBurst = 20
	retryBurst = 10
)

// bucket earns a fraction of a token per deposit and holds at most burst.
type bucket struct {
	perDeposit float64
	tokens     float64
	burst      float64
}

func (b *bucket) deposit() { b.tokens = min(b.burst, b.tokens+b.perDeposit) }

func (b *bucket) take() bool {
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}

// Budget pays for hedges and retries out of first sub-requests, so that the
// extra load is a fixed share of the load itself and stops when load stops.
type Budget struct {
	hedge bucket
	retry bucket
}

// NewBudget returns buckets that earn the given shares in [0, 1] per first
// sub-request. The retry bucket starts full, unless its share is 0: a retry
// follows a proof that nothing ran, and the first leaf that declines should
// not cost an answer. The hedge bucket starts empty.
func NewBudget(hedgeShare, retryShare float64) *Budget {
	b := &Budget{
		hedge: bucket{perDeposit: hedgeShare, burst: hedgeBurst},
		retry: bucket{perDeposit: retryShare, burst: retryBurst},
	}
	if retryShare > 0 {
		b.retry.tokens = retryBurst
	}
	return b
}

// HedgeFill is how full the hedge bucket is, in [0, 1].
func (b *Budget) HedgeFill() float64 { return b.hedge.tokens / b.hedge.burst }

// Deposit credits one first sub-request.
func (b *Budget) Deposit() {
	b.hedge.deposit()
	b.retry.deposit()
}

// TakeHedge spends one hedge; false means that the budget is empty.
func (b *Budget) TakeHedge(_ time.Time) bool { return b.hedge.take() }

// TakeRetry spends one retry; false means that the budget is empty.
func (b *Budget) TakeRetry(_ time.Time) bool { return b.retry.take() }
