package query_test

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/fuchsiaroad/fuchsiaroad/kernel/query"
)

// ratioBudget is a Budget with a number of tokens; the test adds a tenth of a token per
// first attempt.
type ratioBudget struct{ tokens float64 }

func (b *ratioBudget) TakeHedge(time.Time) bool { return b.TakeRetry(time.Time{}) }
func (b *ratioBudget) TakeRetry(time.Time) bool {
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}

// TestSheddingStaysWithinTheBudget lets one of the two leaves of each shard decline every
// attempt, while dispatch keeps choosing leaves at random: the retries must stay within
// the budget.
func TestSheddingStaysWithinTheBudget(t *testing.T) {
	const queries, shards = 100, 20
	rng := rand.New(rand.NewPCG(1, 2))
	budget := &ratioBudget{}
	sent, retries := 0, 0
	for range queries {
		w := newWorld(t, idempotent, equalShards("a", shards, 2))
		budget.tokens += 0.1 * shards
		w.begin(w.config(budget))
		for i := 0; w.answer == nil; i++ {
			a := w.attempts[i]
			leaves := w.allowedLeaves(a.offer)
			leaf := leaves[rng.IntN(len(leaves))]
			w.send(a.offer.Attempt, leaf)
			if leaf%2 == 0 {
				w.decline(a.offer.Attempt, query.Declined{Reason: query.ReasonOverloaded})
				continue
			}
			w.answerTruthfully(a.offer.Attempt, w.sentTo[a.offer.Attempt], false)
		}
		sent += w.answer.Sent
		retries += w.answer.Retries
	}
	perShard := float64(sent) / (queries * shards)
	if perShard > 1.1 || retries == 0 {
		t.Fatalf("%.3f sub-requests a shard, %d retries", perShard, retries)
	}
	t.Logf("%.3f sub-requests a shard, %d retries of %d", perShard, retries, sent)
}
