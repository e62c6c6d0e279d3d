package burst

import (
	"math"
	"math/rand/v2"
	"time"
)

// exec is one attempt as a leaf sees it.
type exec struct {
	at       *attempt
	work     int64
	deadline int64
	started  int64
	running  bool
	gone     bool // cancelled or ended
}

// fakeLeaf has slots and a queue of its own, first come first served.
type fakeLeaf struct {
	run      *run
	shard    int
	replica  int
	free     int
	queue    []*exec
	shedding bool
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
	l.queue = append(l.queue, x)
}

// start gives a slot.
func (l *fakeLeaf) start(x *exec) {
	l.free--
	x.running, x.started = true, l.run.ev.now
	l.run.ev.add(l.run.ev.now+x.work, func() { l.end(x) })
}

// end frees the slot when the work is done.
func (l *fakeLeaf) end(x *exec) {
	if x.gone {
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

// work is the time that a query holds a slot of one leaf. The base belongs to
// the request and is the same on every leaf; straggling belongs to the
// execution, so that a hedge may escape it and so that an oracle can know it.
func (p Params) work(query uint64, shard, replica int) int64 {
	seed := p.seedOf(query)
	if rand.New(rand.NewPCG(seed, uint64(shard)<<8|uint64(replica)+1)).Float64() < p.Stragglers {
		return int64(p.StragglerFactor * float64(p.median()))
	}
	return p.base(seed, shard)
}

// seedOf is the seed of a query's draws.
func (p Params) seedOf(query uint64) uint64 { return p.Seed ^ query*0x9e3779b97f4a7c15 }

// base is the work of a request without straggling.
func (p Params) base(seed uint64, shard int) int64 {
	if p.Dist == Fixed {
		return int64(p.Work)
	}
	x := rand.New(rand.NewPCG(seed, uint64(shard)<<8)).ExpFloat64()
	return int64(max(x*float64(p.Work), float64(time.Microsecond)))
}

// median is the median work without straggling.
func (p Params) median() time.Duration {
	if p.Dist == Fixed {
		return p.Work
	}
	return time.Duration(math.Ln2 * float64(p.Work))
}
