package query_test

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/fuchsiaroad/fuchsiaroad/kernel/query"
)

// ratio is a Budget of a tenth of the first attempts.
type ratio struct{ saved float64 }

func (b *ratio) TakeHedge(time.Time) bool { return b.TakeRetry(time.Time{}) }
func (b *ratio) TakeRetry(time.Time) bool {
	if b.saved < 1 {
		return false
	}
	b.saved--
	return true
}

// TestSheddingStaysWithinTheBudget lets one of the two leaves of each shard
// shed everything, and a dispatch layer that does not learn.
func TestSheddingStaysWithinTheBudget(t *testing.T) {
	const queries, shards = 100, 20
	rng := rand.New(rand.NewPCG(1, 2))
	budget := &ratio{}
	sent, retries := 0, 0
	for range queries {
		w := newWorld(t, idempotent, grid("a", shards, 2))
		budget.saved += 0.1 * shards
		w.begin(w.config(budget))
		for i := 0; w.answer == nil; i++ {
			a := w.attempts[i]
			leaves := w.allowed(a.offer)
			leaf := leaves[rng.IntN(len(leaves))]
			w.send(a.offer.Attempt, leaf)
			if leaf%2 == 0 {
				w.decline(a.offer.Attempt, query.Declined{Reason: query.ReasonOverloaded})
				continue
			}
			w.honestAnswer(a.offer.Attempt, w.sentTo[a.offer.Attempt], false)
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
