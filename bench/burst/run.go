package burst

import (
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/fuchsiaroad/fuchsiaroad/kernel/dispatch"
	"github.com/fuchsiaroad/fuchsiaroad/kernel/plugin"

	_ "github.com/fuchsiaroad/fuchsiaroad/plugins" // registers the policies
)

// epoch is where virtual time starts.
var epoch = time.Unix(0, 0)

// replyKind is what a leaf answers.
type replyKind int

const (
	replyDone replyKind = iota
	replyShed
	replyDeadline
)

// run is one simulation.
type run struct {
	p       Params
	ev      events
	rand    *rand.Rand
	entries []*entry
	leaves  []*fakeLeaf // by view index
	queries uint64
	stats   stats
}

// entry is one instance's decisions.
type entry struct {
	run        *run
	machine    *dispatch.Machine
	admissions []*dispatch.Admission // by kind
	repetition plugin.Repetition
	attempts   map[dispatch.Ticket]*attempt
	wake       int64
}

// Run simulates the parameters and returns what was measured.
func Run(p Params) (Result, error) {
	r := &run{p: p, rand: rand.New(rand.NewPCG(p.Seed, 7))}
	construct, err := plugin.Repetitions.Get(p.Repetition)
	if err != nil {
		return Result{}, fmt.Errorf("burst: %w", err)
	}
	v := p.view()
	for i := range p.Entries {
		m, err := dispatch.New(dispatch.Config{View: v, Zone: zone(i), Policies: p.Policies, Seed: p.Seed + uint64(i)})
		if err != nil {
			return Result{}, fmt.Errorf("burst: %w", err)
		}
		var admissions []*dispatch.Admission
		for k := range p.kinds() {
			admissions = append(admissions, dispatch.NewAdmission(p.Seed+uint64(i+k*p.Entries)))
		}
		r.entries = append(r.entries, &entry{
			run: r, machine: m, admissions: admissions,
			repetition: construct(plugin.RepetitionConfig{
				HedgeBudget: p.HedgeBudget, HedgeQuantile: p.HedgeQuantile, RetryBudget: p.RetryBudget,
			}),
			attempts: make(map[dispatch.Ticket]*attempt),
		})
	}
	for s := range p.Shards {
		for i := range p.Replicas {
			r.leaves = append(r.leaves, &fakeLeaf{
				run: r, shard: s, replica: i, free: p.Slots, shedding: i < p.Shedding, lying: i < p.LyingLeaves,
				slow: r.slow(),
			})
		}
	}
	for _, l := range r.leaves {
		l.pause()
	}
	r.arrivals()
	r.hints()
	for r.ev.step() {
	}
	return r.result(), nil
}

// slow draws whether a leaf is slow.
func (r *run) slow() bool { return r.p.Slow > 0 && r.rand.Float64() < r.p.Slow }

// measured is the part of [from, to) inside the measured window.
func (r *run) measured(from, to int64) int64 {
	return max(0, min(to, int64(r.p.Duration))-max(from, int64(r.p.Warm)))
}

// arrivals schedules the next query; each schedules its successor.
func (r *run) arrivals() {
	gap := int64(r.rand.ExpFloat64() / r.p.rate(time.Duration(r.ev.now)) * float64(time.Second))
	at := r.ev.now + gap
	if at >= int64(r.p.Duration) || (r.p.Burst > 0 && at >= int64(r.p.Burst)) {
		return
	}
	r.ev.add(at, func() {
		r.arrive(r.newQuery())
		r.arrivals()
	})
}

// hints polls the load endpoints every 100 ms with the state of 200 ms ago at
// best; lying leaves say that they are idle.
func (r *run) hints() {
	if !r.p.Hints {
		return
	}
	const period = int64(100 * time.Millisecond)
	r.ev.add(r.ev.now+period, func() {
		for i, l := range r.leaves {
			busy, queued := r.p.Slots-l.free, len(l.queue)
			if l.lying {
				busy, queued = 0, 0
			} else if r.p.LyingLeaves > 0 {
				queued = 1000
			}
			r.ev.add(r.ev.now+2*period, func() {
				for _, e := range r.entries {
					e.handle(dispatch.LoadHint{Leaf: i, InFlight: busy, Queued: queued})
				}
			})
		}
		if r.ev.now < int64(r.p.Duration) {
			r.hints()
		}
	})
}

// kind draws what is asked.
func (r *run) kind() int {
	kinds := r.p.kinds()
	if len(kinds) == 1 {
		return 0
	}
	x := r.rand.Float64()
	for i, k := range kinds {
		if x < k.Part {
			return i
		}
		x -= k.Part
	}
	return len(kinds) - 1
}

// caller draws who asks.
func (r *run) caller() int {
	x := r.rand.Float64()
	for i, c := range r.p.Callers {
		if x < c.Part {
			return i
		}
		x -= c.Part
	}
	return len(r.p.Callers) - 1
}

// reply sends a leaf's answer back over the network.
func (r *run) reply(x *exec, kind replyKind) {
	service := time.Duration(0)
	if kind == replyDone {
		service = time.Duration(r.ev.now - x.started)
	}
	r.ev.add(r.ev.now+int64(r.p.Delay), func() { x.at.entry.replied(x.at, kind, service) })
}
