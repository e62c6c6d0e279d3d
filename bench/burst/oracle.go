package burst

import (
	"math/rand/v2"
	"slices"
	"time"
)

// Knowledge is what an oracle knows.
type Knowledge int

// The oracles. Both know every leaf's true queue and every request's work.
const (
	// KnowsRequests does not know which execution will straggle.
	KnowsRequests Knowledge = iota
	// KnowsAll also knows which execution will straggle, and so avoids it.
	KnowsAll
)

// Oracle answers the run's arrivals by one dispatcher with the knowledge: every
// part goes at once to the leaf where it ends first. It refuses and repeats
// nothing, and its Work, Busy, Extra and Starts are not measured.
func Oracle(p Params, k Knowledge) Result {
	r := &run{p: p, rand: rand.New(rand.NewPCG(p.Seed, 7))}
	r.entries = make([]*entry, p.Entries)
	free := make([][]int64, p.Shards*p.Replicas) // when each slot is free
	for i := range free {
		free[i] = make([]int64, p.Slots)
	}
	for at := int64(0); ; {
		at += int64(r.rand.ExpFloat64() / p.rate(time.Duration(at)) * float64(time.Second))
		if at >= int64(p.Duration) {
			break
		}
		r.ev.now = at
		q := r.newQuery()
		q.parts = make([]part, p.Shards)
		r.stats.offered(r, q)
		last := at
		for s := range p.Shards {
			leaves := free[s*p.Replicas : (s+1)*p.Replicas]
			end := place(p, k, leaves, q, s, at+int64(p.Delay)) + int64(p.Delay)
			if end <= q.deadline {
				q.covered++
				last = max(last, end)
			}
		}
		r.ev.now, q.ended = last, last
		r.stats.answered(r, q)
	}
	res := r.result()
	res.Oracle = true
	return res
}

// place puts one part on the leaf where it ends first as far as the oracle
// knows, and returns when it really ends.
func place(p Params, k Knowledge, leaves [][]int64, q *queryState, shard int, at int64) int64 {
	best, bestSlot, bestEnd := 0, 0, int64(-1)
	for i, slots := range leaves {
		slot := slices.Index(slots, slices.Min(slots))
		work := p.work(q, shard, i)
		if k == KnowsRequests {
			work = p.base(p.seedOf(q.id), shard, p.kinds()[q.kind])
		}
		if end := max(at, slots[slot]) + work; bestEnd < 0 || end < bestEnd {
			best, bestSlot, bestEnd = i, slot, end
		}
	}
	end := max(at, leaves[best][bestSlot]) + p.work(q, shard, best)
	leaves[best][bestSlot] = end
	return end
}
