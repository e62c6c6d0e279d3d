package burst

import (
	"math"
	"math/rand/v2"
	"slices"
	"time"
)

// exec is one attempt as a leaf sees it.
type exec struct {
	at       *attempt
	work     int64
	deadline int64
	started  int64
	running  bool
	gone     bool  // cancelled or ended
	held     int64 // by pauses of the leaf, still to come after its work
}

// fakeLeaf has slots and a queue of its own, first come first served.
type fakeLeaf struct {
	run      *run
	shard    int
	replica  int
	free     int
	queue    []*exec
	inSlots  []*exec
	paused   int64 // until when the leaf stands still
	shedding bool
	slow     bool
	lying    bool
	busy     int64 // slot time given, in the measured window
}

// arrive takes an attempt that has come over the network.
func (l *fakeLeaf) arrive(x *exec) {
	if x.gone {
		return
	}
	if l.shedding {
		x.gone = true
		l.run.reply(x, replyShed)
		return
	}
	if l.free > 0 {
		l.start(x)
		return
	}
	if l.run.p.LeafQueue > 0 && l.waiting() >= l.run.p.LeafQueue {
		x.gone = true
		l.run.reply(x, replyShed)
		return
	}
	l.queue = append(l.queue, x)
}

// waiting is the number of requests in the queue that were not cancelled.
func (l *fakeLeaf) waiting() int {
	n := 0
	for _, x := range l.queue {
		if !x.gone {
			n++
		}
	}
	return n
}

// work is the time that a query holds a slot of the leaf.
func (l *fakeLeaf) work(q *queryState) int64 {
	work := l.run.p.work(q, l.shard, l.replica)
	if l.slow {
		work = int64(l.run.p.SlowFactor * float64(work))
	}
	return work
}

// start gives a slot.
func (l *fakeLeaf) start(x *exec) {
	l.free--
	x.running, x.started = true, l.run.ev.now
	l.inSlots = append(l.inSlots, x)
	l.run.ev.add(max(l.run.ev.now, l.paused)+x.work, func() { l.end(x) })
}

// pause stops the leaf now and again; each pause schedules the next.
func (l *fakeLeaf) pause() {
	p := l.run.p
	if p.Pause == 0 {
		return
	}
	at := l.run.ev.now + int64((0.5+l.run.rand.Float64())*float64(p.PauseEvery))
	if at >= int64(p.Duration) {
		return
	}
	l.run.ev.add(at, func() {
		l.paused = at + int64(p.Pause)
		for _, x := range l.inSlots {
			x.held += int64(p.Pause)
		}
		l.pause()
	})
}

// end frees the slot when the work is done.
func (l *fakeLeaf) end(x *exec) {
	if x.gone {
		return
	}
	if x.held > 0 {
		l.run.ev.add(l.run.ev.now+x.held, func() { l.end(x) })
		x.held = 0
		return
	}
	x.gone = true
	l.release(x)
	l.run.reply(x, replyDone)
}

// cancel frees the slot or the place in the queue at once.
func (l *fakeLeaf) cancel(x *exec) {
	if x.gone {
		return
	}
	if x.running && l.run.p.NoCancel {
		return
	}
	x.gone = true
	if x.running {
		l.release(x)
	}
}

func (l *fakeLeaf) release(x *exec) {
	l.free++
	l.inSlots = slices.DeleteFunc(l.inSlots, func(o *exec) bool { return o == x })
	l.busy += l.run.measured(x.started, l.run.ev.now)
	for l.free > 0 && len(l.queue) > 0 {
		next := l.queue[0]
		l.queue = l.queue[1:]
		if next.gone {
			continue
		}
		if l.run.ev.now >= next.deadline {
			next.gone = true
			l.run.reply(next, replyDeadline)
			continue
		}
		l.start(next)
	}
}

// work is the time that a query holds a slot of one leaf that is not slow. The base belongs to
// the request and is the same on every leaf; straggling belongs to the
// execution, so that a hedge may escape it and so that an oracle can know it.
func (p Params) work(q *queryState, shard, replica int) int64 {
	seed, k := p.seedOf(q.id), p.kinds()[q.kind]
	if rand.New(rand.NewPCG(seed, uint64(shard)<<8|uint64(replica)+1)).Float64() < p.Stragglers {
		return int64(p.StragglerFactor * float64(p.median(k)))
	}
	return p.base(seed, shard, k)
}

// seedOf is the seed of a query's draws.
func (p Params) seedOf(query uint64) uint64 { return p.Seed ^ query*0x9e3779b97f4a7c15 }

// base is the work of a request without straggling.
func (p Params) base(seed uint64, shard int, k Kind) int64 {
	if p.Dist == Fixed {
		return int64(k.Work)
	}
	x := rand.New(rand.NewPCG(seed, uint64(shard)<<8)).ExpFloat64()
	return int64(max(x*float64(k.Work), float64(time.Microsecond)))
}

// median is the median work of a kind without straggling.
func (p Params) median(k Kind) time.Duration {
	if p.Dist == Fixed {
		return k.Work
	}
	return time.Duration(math.Ln2 * float64(k.Work))
}
