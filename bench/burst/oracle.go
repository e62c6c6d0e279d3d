package burst

import (
	"math/rand/v2"
	"slices"
	"time"
)

// Oracle answers the run's arrivals by one dispatcher that knows every leaf's
// true queue and the work of each request on each leaf: every part goes at
// once to the leaf where it ends first. It refuses and repeats nothing.
func Oracle(p Params) Result {
	r := &run{p: p, rand: rand.New(rand.NewPCG(p.Seed, 7))}
	r.entries = make([]*entry, p.Entries)
	free := make([][]int64, p.Shards*p.Replicas) // when each slot is free
	for i := range free {
		free[i] = make([]int64, p.Slots)
	}
	for at := int64(0); ; {
		at += int64(r.rand.ExpFloat64() / p.rate() * float64(time.Second))
		if at >= int64(p.Duration) {
			break
		}
		r.ev.now = at
		q := r.newQuery()
		q.parts = make([]part, p.Shards)
		r.stats.offered(r, q)
		last := at
		for s := range p.Shards {
			end := place(p, free[s*p.Replicas:(s+1)*p.Replicas], q.id, s, at+int64(p.Delay)) + int64(p.Delay)
			if end <= q.deadline {
				// Its share of the work is not accounted for.
				q.covered++
				last = max(last, end)
			}
		}
		r.ev.now = last
		r.stats.answered(r, q)
	}
	res := r.result()
	res.Name += " oracle"
	return res
}

// place puts one part on the leaf where it ends first, and returns that time.
func place(p Params, leaves [][]int64, id uint64, shard int, at int64) int64 {
	best, bestSlot, bestEnd := 0, 0, int64(-1)
	for i, slots := range leaves {
		slot := slices.Index(slots, slices.Min(slots))
		work := p.work(id, shard, i)
		if p.blind {
			work = p.base(p.Seed^id*0x9e3779b97f4a7c15, shard)
		}
		end := max(at, slots[slot]) + work
		if bestEnd < 0 || end < bestEnd {
			best, bestSlot, bestEnd = i, slot, end
		}
	}
	if p.blind {
		bestEnd = max(at, leaves[best][bestSlot]) + p.work(id, shard, best)
	}
	leaves[best][bestSlot] = bestEnd
	return bestEnd
}
