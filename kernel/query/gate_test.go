package query_test

import (
	"slices"
	"testing"
	"time"

	"github.com/fuchsiaroad/fuchsiaroad/kernel/query"
)

// runPoisonRequest runs a request that crashes each leaf it runs on, and returns the
// crashed leaves.
func runPoisonRequest(t *testing.T, canary, suspect bool, seed uint64) []int {
	w := newWorld(t, idempotent, equalShards("a", 8, 2))
	cfg := w.config(&fixedBudget{hedges: unlimited})
	cfg.Canary, cfg.Suspect, cfg.Seed = canary, suspect, seed
	w.begin(cfg)
	var crashed []int
	for w.answer == nil {
		w.sendAll()
		a := w.attempts[len(w.attempts)-1]
		if !a.offer.Solo {
			t.Fatalf("attempt %d is not solo", a.offer.Attempt)
		}
		a.ended = true
		crashed = append(crashed, a.leaf)
		w.handle(query.Broken{Attempt: a.offer.Attempt, Leaf: a.leaf, Crash: true})
	}
	w.wantOutcome(query.Failed, query.MissingCrashed)
	return crashed
}

// TestPoisonBreaksAtMostTwoLeaves runs a request that crashes every leaf. At any entry a
// canary must crash the same two leaves, and a suspect the second of them.
func TestPoisonBreaksAtMostTwoLeaves(t *testing.T) {
	for seed := range uint64(200) {
		first := runPoisonRequest(t, true, false, seed)
		if len(first) != 2 || first[0] == first[1] || first[0]/2 != int(seed%8) {
			t.Fatalf("seed %d: a canary crashed %v", seed, first)
		}
		if second := runPoisonRequest(t, false, true, seed); !slices.Equal(second, first[1:]) {
			t.Fatalf("seed %d: a canary crashed %v, a suspect %v", seed, first, second)
		}
	}
}

// TestSuspectsOfOneLeafGoToDifferentLeaves counts how often two requests that were on
// one leaf when it crashed go on to the same one of 16 leaves. If they did so often, the
// harmless one would not be cleared.
func TestSuspectsOfOneLeafGoToDifferentLeaves(t *testing.T) {
	const n = 400
	same, pairs := 0, 0
	next := make(map[int][]int) // the second leaves, by first leaf
	for seed := range uint64(n) {
		crashed := runPoisonRequest(t, true, false, seed*0x9e3779b97f4a7c15)
		for _, other := range next[crashed[0]] {
			pairs++
			if other == crashed[1] {
				same++
			}
		}
		next[crashed[0]] = append(next[crashed[0]], crashed[1])
	}
	if share := float64(same) / float64(pairs); share > 0.12 {
		t.Fatalf("%d of %d pairs go on to the same leaf", same, pairs)
	}
	t.Logf("%d of %d pairs go on to the same leaf", same, pairs)
}

// TestHarmlessRequestOnCrashedLeafCompletes crashes a leaf that runs a harmless request:
// the request must be complete after one retry that runs alone.
func TestHarmlessRequestOnCrashedLeafCompletes(t *testing.T) {
	w := newWorld(t, idempotent, equalShards("a", 4, 2))
	w.begin(w.config(&fixedBudget{}))
	w.send(1, w.allowedLeaves(w.attempts[0].offer)[0])
	w.attempts[0].ended = true
	w.handle(query.Broken{Attempt: 1, Leaf: w.attempts[0].leaf, Crash: true})
	w.waitForProbe()
	if a := w.attempts[len(w.attempts)-1]; !a.offer.Solo || !w.attempts[1].withdrawn {
		t.Fatalf("solo %v, queued attempts withdrawn %v", a.offer.Solo, w.attempts[1].withdrawn)
	}
	w.runToAnswer()
	w.wantOutcome(query.Complete, "")
	if w.answer.Retries != 1 {
		t.Fatalf("%d retries after the crash of one leaf", w.answer.Retries)
	}
}

// TestClearedOpensGateForQueuedCanary clears a request whose canary is queued: all parts
// must be offered at once, and the part of the canary not alone.
func TestClearedOpensGateForQueuedCanary(t *testing.T) {
	w := newWorld(t, idempotent, equalShards("a", 4, 2))
	cfg := w.config(&fixedBudget{})
	cfg.Canary = true
	w.begin(cfg)
	w.gated = false
	w.handle(query.Cleared{})
	if len(w.attempts) != 5 || !w.attempts[0].withdrawn || w.attempts[4].offer.Solo || w.attempts[4].offer.Retry {
		t.Fatalf("attempts %+v", w.attempts)
	}
	w.runToAnswer()
	w.wantOutcome(query.Complete, "")
}

func TestQuarantinedIsAnsweredAtOnce(t *testing.T) {
	w := newWorld(t, idempotent, equalShards("a", 4, 2))
	cfg := w.config(&fixedBudget{})
	cfg.Suspect = true
	w.begin(cfg)
	w.handle(query.Quarantined{RetryAfter: time.Minute})
	w.wantOutcome(query.NotRun, string(query.ReasonQuarantined))
	if w.answer.RetryAfter != time.Minute {
		t.Fatalf("retry after %v", w.answer.RetryAfter)
	}
}

// TestCanaryGoesElsewhereWhenItsLeafIsRefused lets the queue refuse the leaf that the
// seed selects: the canary must be offered to the other leaves of the shard.
func TestCanaryGoesElsewhereWhenItsLeafIsRefused(t *testing.T) {
	w := newWorld(t, idempotent, equalShards("a", 4, 3))
	cfg := w.config(&fixedBudget{})
	cfg.Canary = true
	w.begin(cfg)
	if n := len(w.attempts[0].offer.Avoid); n != 2 {
		t.Fatalf("the canary avoids %d of 3 leaves", n)
	}
	w.attempts[0].ended = true
	w.handle(query.NotSent{Attempt: 1, Reason: query.ReasonNoLeaf})
	a := w.attempts[len(w.attempts)-1].offer
	if len(w.attempts) != 2 || a.Part != w.attempts[0].offer.Part || len(a.Avoid) != 0 || a.Retry {
		t.Fatalf("offered %+v", a)
	}
	w.runToAnswer()
	w.wantOutcome(query.Complete, "")
}
